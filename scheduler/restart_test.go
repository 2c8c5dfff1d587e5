package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJobsThatArriveAsAllProcessesRestartAreServed(t *testing.T) {
	const downtime = 1300 * time.Millisecond
	sim := newSimulation(t, 7, 3, 11, workerCPU)
	sim.run(time.Second)
	for _, a := range sim.agents {
		a.kill(downtime)
	}
	for _, e := range sim.entries {
		e.kill(downtime)
	}
	sim.run(downtime + 20*time.Millisecond)
	sim.load(300*time.Millisecond, 0.5)
	sim.run(5 * time.Second)
	sim.check()
	s := sim.summary()
	t.Logf("%+v", s)
	require.GreaterOrEqual(t, float64(s.inTime), 0.95*float64(s.all))
}
