package executor_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// leaseOver is longer than any lease that an agent has asked for lasts.
const leaseOver = 700 * time.Millisecond

// pass lets time go by, in which the entry stays in touch and the worker
// answers nothing.
func (b *bench) pass(d time.Duration) {
	const step = 10 * time.Millisecond
	var ends []messenger.Report
	for ; d > 0; d -= step {
		b.clock.Advance(step)
		b.x.Beat("e", messenger.Beat{Stamp: 1, Echo: b.stamp})
		b.x.Tick()
		b.drain()
		for _, l := range b.looks {
			b.x.LookFailed(l.Number, executor.Unanswered)
		}
		ends = append(ends, b.tells...)
	}
	b.drain()
	b.tells = append(ends, b.tells...)
}

func TestRestartedAgentListsNothingBeforeItsWorkerHasAnswered(t *testing.T) {
	tests := []struct {
		name  string
		known messenger.Upstream
	}{
		{"worker known from the entry", upstream(1)},
		{"worker not known", messenger.Upstream{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := &bench{t: t, clock: clock}
			b.x = executor.NewExecutor(clock, executor.Identity{Agent: "a", DataCentre: "dc", Incarnation: 2, Token: 100}, executor.Config{})
			b.x.Hello(messenger.Hello{Entry: "e", Incarnation: 1, Upstream: tt.known})
			b.drain()
			tells := b.tells
			for _, l := range b.looks {
				b.x.LookFailed(l.Number, executor.NotSent)
			}
			b.pass(100 * time.Millisecond)
			for _, r := range append(tells, b.tells...) {
				require.False(t, r.Complete, "what an earlier incarnation started may run")
			}
			b.pass(leaseOver)
			require.True(t, complete(b.tells), "its leases are over")
		})
	}
}

func complete(list []messenger.Report) bool {
	for _, r := range list {
		if r.Complete {
			return true
		}
	}
	return false
}
