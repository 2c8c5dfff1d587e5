package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJobsThatArriveAsAllProcessesReturnAreServed(t *testing.T) {
	const away = 1300 * time.Millisecond
	w := newSimulation(t, 7, 3, 11, cores)
	w.run(time.Second)
	for _, a := range w.agents {
		a.kill(away)
	}
	for _, e := range w.entries {
		e.kill(away)
	}
	w.run(away + 20*time.Millisecond)
	w.load(300*time.Millisecond, 0.5)
	w.run(5 * time.Second)
	w.check()
	s := w.summary()
	t.Logf("%+v", s)
	require.GreaterOrEqual(t, float64(s.inTime), 0.95*float64(s.all))
}
