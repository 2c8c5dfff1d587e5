package acceptor

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

func TestStoppingEntryTakesOnlyJobsThatEndBeforeIt(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := &Acceptor{deps: provider.Deps{Clock: clock}}
	job := func(estimate time.Duration) scheduler.Job {
		return scheduler.Job{Steps: []scheduler.Step{{Count: 1, Estimate: estimate}}}
	}
	require.False(t, a.endsAfterShutdown(job(time.Hour)), "no shutdown is in progress")
	a.shutdownDeadline.Store(clock.Now().Add(2 * time.Second).UnixNano())
	require.False(t, a.endsAfterShutdown(job(time.Second)))
	require.True(t, a.endsAfterShutdown(job(1500*time.Millisecond)), "the estimate may be too low")
}
