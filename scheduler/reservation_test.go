package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// largeJob is a job of one task that takes half of a worker of the bench.
func (b *bench) largeJob(id string) scheduler.Job {
	j := b.job(id, 1)
	j.Queue.Slack = time.Second
	j.Steps[0].Demand.CPU = 16_000
	return j
}

// full reports agents without room that echo the entry's heartbeats, and changes
// each report first.
func (b *bench) full(change func(r *messenger.Report), agents ...string) {
	for _, a := range agents {
		b.s.Held()
		r := report(a, 9)
		r.Free = messenger.Resources{CPU: 3000, Memory: 64_000}
		r.Echo = b.clock.Since(b.opened[a])
		if change != nil {
			change(&r)
		}
		b.s.Report(r)
	}
}

// wait lets time go on, with reports of full agents.
func (b *bench) wait(d time.Duration, change func(r *messenger.Report), agents ...string) {
	b.clock.Advance(d)
	b.full(change, agents...)
	b.s.Tick()
}

// reserves returns the requests to keep room among the last messages, by agent.
func (b *bench) reserves() map[string]messenger.Reserve {
	out := make(map[string]messenger.Reserve)
	b.sent = nil
	for _, e := range b.s.Drain() {
		if m, ok := e.(scheduler.Send); ok {
			b.sent = append(b.sent, m.Message)
			if r, ok := m.Message.(messenger.Reserve); ok {
				out[m.Agent] = r
			}
		}
	}
	return out
}

// newCrowded returns a bench with full agents.
func newCrowded(t *testing.T, agents ...string) *bench {
	b := newBench(t)
	for _, a := range agents {
		b.open(a)
	}
	b.full(nil, agents...)
	b.drain()
	return b
}

// asked has a large job wait until an agent is asked to keep room for it.
func (b *bench) asked(agents ...string) messenger.Reserve {
	b.s.Submit(1, b.largeJob(jobID))
	b.wait(30*time.Millisecond, nil, agents...)
	list := b.reserves()
	require.Len(b.t, list, 1)
	for _, r := range list {
		require.NotZero(b.t, r.TTL)
		return r
	}
	return messenger.Reserve{}
}

// keeps makes a report name a reservation.
func keeps(number uint64) func(r *messenger.Report) {
	return func(r *messenger.Report) { r.ReservationNumber = number }
}

// TestRoomIsReservedForALargeTaskThatHasWaited guards against requests for tasks
// that find room by themselves, and against several for one job.
func TestRoomIsReservedForALargeTaskThatHasWaited(t *testing.T) {
	b := newCrowded(t, "a", "b")
	b.s.Submit(1, b.largeJob(jobID))
	b.wait(29*time.Millisecond, nil, "a", "b")
	require.Empty(t, b.reserves(), "has not waited for long enough")
	b.wait(time.Millisecond, nil, "a", "b")
	list := b.reserves()
	require.Len(t, list, 1)
	for _, r := range list {
		require.Equal(t, messenger.Resources{CPU: 16_000}, r.Demand)
		require.LessOrEqual(t, r.TTL, time.Second)
	}
	b.wait(19*time.Millisecond, nil, "a", "b")
	require.Empty(t, b.reserves())
}

// TestSmallTasksReserveNothing guards deployments whose tasks are all small.
func TestSmallTasksReserveNothing(t *testing.T) {
	b := newCrowded(t, "a")
	j := b.job(jobID, 4)
	j.Queue.Slack = time.Second
	j.Steps[0].Demand.CPU = 7749 // A quarter of the worker is 7,750.
	b.s.Submit(1, j)
	for range 10 {
		b.wait(20*time.Millisecond, nil, "a")
		require.Empty(t, b.reserves())
	}
}

// TestReservationsAreBounded guards against an entry that has room kept at every
// agent.
func TestReservationsAreBounded(t *testing.T) {
	agents := []string{"a", "b", "c", "d", "e", "f"}
	b := newCrowded(t, agents...)
	for i := range 6 {
		b.s.Submit(uint64(i), b.largeJob(fmt.Sprintf("%016x", i+1)))
	}
	b.wait(30*time.Millisecond, nil, agents...)
	require.Len(t, b.reserves(), 4)
}

// TestLargeTaskWaitsWhileSmallOnesBeforeItDo guards against small jobs that lose
// their place to large ones when room is short for all.
func TestLargeTaskWaitsWhileSmallOnesBeforeItDo(t *testing.T) {
	b := newCrowded(t, "a")
	early := b.job(jobID, 1)
	early.Queue.Slack = 900 * time.Millisecond
	b.s.Submit(1, early)
	b.s.Submit(2, b.largeJob("0000000000000002"))
	b.wait(40*time.Millisecond, nil, "a")
	require.Empty(t, b.reserves())
	require.True(t, b.s.Cancel(jobID))
	require.Len(t, b.reserves(), 1)
}

// TestNoRoomIsReservedWhileSmallTasksWaitLong guards against small jobs that are late since
// room is kept for large ones, where both wait because room is short altogether.
func TestNoRoomIsReservedWhileSmallTasksWaitLong(t *testing.T) {
	for wait, want := range map[time.Duration]int{25 * time.Millisecond: 1, 32 * time.Millisecond: 0} {
		t.Run(wait.String(), func(t *testing.T) {
			b := newCrowded(t, "a")
			early := b.job(jobID, 1)
			early.Queue.Slack = time.Second
			b.s.Submit(1, early)
			b.s.Submit(2, b.largeJob("0000000000000002"))
			b.wait(100*time.Millisecond, nil, "a")
			later := b.job("00000000000000b3", 1)
			later.Queue.Slack = time.Second
			b.s.Submit(3, later)
			b.wait(wait, nil, "a")
			require.Empty(t, b.reserves())
			b.s.Cancel(jobID)
			require.Len(t, b.reserves(), want)
		})
	}
}

// TestRoomIsAskedForWhereItIsExpectedFirst guards against an agent that keeps room
// for long while another one would have had it soon.
func TestRoomIsAskedForWhereItIsExpectedFirst(t *testing.T) {
	ahead := func(cpu ...int) []messenger.Resources {
		out := make([]messenger.Resources, len(cpu))
		for i, c := range cpu {
			out[i].CPU = c
		}
		return out
	}
	// The agents have 3 of the 16 cores, if nothing else is said.
	tests := map[string]map[string]func(r *messenger.Report){
		"soonest": {
			"a": func(r *messenger.Report) { r.Forecast = ahead(0, 0, 0, 13_000, 13_000) },
			"b": func(r *messenger.Report) { r.Forecast = ahead(0, 0, 13_000, 13_000, 13_000) },
			"c": func(r *messenger.Report) { r.Forecast = ahead(0, 0, 0, 0, 13_000) },
		},
		"known before not known": {
			"a": func(r *messenger.Report) { r.Free.CPU = 9000 },
			"b": func(r *messenger.Report) { r.Forecast = ahead(0, 0, 0, 0, 13_000) },
		},
		"not known before late": {
			"a": func(r *messenger.Report) { r.Forecast = ahead(0, 0, 0, 0, 12_000) },
			"b": func(*messenger.Report) {},
		},
		"most room when not known": {
			"a": func(r *messenger.Report) { r.Free.CPU = 4000 },
			"b": func(r *messenger.Report) { r.Free.CPU = 5000 },
			"c": func(*messenger.Report) {},
		},
		"no room kept for another entry": {
			"a": func(r *messenger.Report) {
				r.Forecast = ahead(13_000)
				r.Backfill = messenger.Backfill{Resources: messenger.Resources{CPU: 1}, Window: time.Second}
			},
			"b": func(*messenger.Report) {},
		},
		"large enough": {
			"a": func(r *messenger.Report) {
				r.Forecast = ahead(13_000)
				r.Upstream.Capacity.CPU = 15_999
			},
			"b": func(*messenger.Report) {},
		},
	}
	for name, agents := range tests {
		t.Run(name, func(t *testing.T) {
			b := newCrowded(t)
			for a := range agents {
				b.open(a)
				b.full(agents[a], a)
			}
			b.s.Submit(1, b.largeJob(jobID))
			b.clock.Advance(30 * time.Millisecond)
			for a := range agents {
				b.full(agents[a], a)
			}
			b.s.Tick()
			list := b.reserves()
			require.Len(t, list, 1)
			require.Contains(t, list, "b")
		})
	}
}

// TestKeptRoomGoesToItsJob guards against a small job of the same entry that takes
// the room which was kept for the large one.
func TestKeptRoomGoesToItsJob(t *testing.T) {
	b := newCrowded(t, "a")
	r := b.asked("a")
	small := b.job("0000000000000002", 1)
	b.s.Submit(2, small)
	b.reserves()
	b.full(func(m *messenger.Report) {
		m.ReservationNumber = r.Number
		m.Free.CPU = 16_000
	}, "a")
	require.Empty(t, b.reserves(), "the agent ends the reservation with the placement")
	require.Len(t, b.sent, 1)
	require.Equal(t, jobID, b.sent[0].(messenger.Place).Job)
	b.wait(40*time.Millisecond, nil, "a")
	require.Empty(t, b.reserves(), "it is over")
}

// TestSmallTaskUsesKeptRoomWhileItMay guards against room that stands idle while
// it is collected for another entry's task.
func TestSmallTaskUsesKeptRoomWhileItMay(t *testing.T) {
	for _, tt := range []struct {
		span   time.Duration
		placed int
	}{{70 * time.Millisecond, 1}, {69 * time.Millisecond, 0}} {
		b := newCrowded(t, "a")
		b.s.Submit(1, b.job(jobID, 1)) // It takes 60 ms, and 10 ms are for its way.
		b.reserves()
		b.full(func(m *messenger.Report) {
			m.Backfill = messenger.Backfill{Resources: messenger.Resources{CPU: 4000}, Window: tt.span}
		}, "a")
		b.reserves()
		require.Len(t, b.sent, tt.placed, tt.span)
	}
}

// TestReservationIsGivenUp guards, for each reason, against room that stays kept
// without use, and against an entry that counts on room which nobody keeps.
func TestReservationIsGivenUp(t *testing.T) {
	tests := map[string]struct {
		change func(b *bench, number uint64)
		// told is whether the agent hears of it.
		told bool
	}{
		"not kept in two reports": {told: true, change: func(b *bench, _ uint64) {
			b.wait(20*time.Millisecond, nil, "a")
			require.Empty(b.t, b.reserves())
			b.wait(20*time.Millisecond, nil, "a")
		}},
		"kept no longer": {told: true, change: func(b *bench, n uint64) {
			b.wait(20*time.Millisecond, keeps(n), "a")
			b.wait(20*time.Millisecond, nil, "a")
			require.Empty(b.t, b.reserves())
			b.wait(20*time.Millisecond, nil, "a")
		}},
		"caller left": {told: true, change: func(b *bench, n uint64) {
			b.s.Leave(1)
		}},
		"placed elsewhere": {told: true, change: func(b *bench, n uint64) {
			b.open("b")
			b.wait(10*time.Millisecond, keeps(n), "a")
			require.Empty(b.t, b.reserves(), "it may be refused there")
			b.wait(24*time.Millisecond, keeps(n), "a")
		}},
		"time passed": {told: true, change: func(b *bench, n uint64) {
			for range 20 {
				b.wait(20*time.Millisecond, keeps(n), "a")
				if len(b.reserves()) > 0 {
					// Put back for the check below.
					b.sent = append(b.sent, messenger.Reserve{Number: n})
					return
				}
			}
		}},
		"worker drains": {told: true, change: func(b *bench, n uint64) {
			b.wait(20*time.Millisecond, func(r *messenger.Report) {
				r.ReservationNumber = n
				r.Upstream.Draining = true
			}, "a")
		}},
		"evacuated": {told: true, change: func(b *bench, _ uint64) {
			b.s.Configure(configuration().WithEvacuated(map[string]bool{"dc-0": true}, 2))
		}},
		"worker does not answer": {told: true, change: func(b *bench, n uint64) {
			b.wait(20*time.Millisecond, func(r *messenger.Report) {
				r.ReservationNumber = n
				r.UnansweredCalls = 1
			}, "a")
		}},
		"link closed": {change: func(b *bench, _ uint64) { b.s.Closed("a") }},
		"link opened": {change: func(b *bench, _ uint64) { b.s.Opened("a") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newCrowded(t, "a")
			r := b.asked("a")
			tt.change(b, r.Number)
			b.reserved(r.Number, tt.told)
			// Nothing depends on it any more: the job, if it goes on, gets another.
			b.open("a")
			b.full(nil, "a")
			b.s.Tick()
			for _, again := range b.reserves() {
				require.NotZero(t, again.TTL)
			}
		})
	}
}

// reserved asserts whether the agent has been told that a reservation is given up.
func (b *bench) reserved(number uint64, told bool) {
	b.t.Helper()
	ends := 0
	for _, m := range b.sent {
		if r, ok := m.(messenger.Reserve); ok && r.TTL == 0 && r.Number == number {
			ends++
		}
	}
	for _, r := range b.reserves() {
		if r.TTL == 0 && r.Number == number {
			ends++
		}
	}
	require.Equal(b.t, told, ends > 0)
}

// TestRefusedPlacementDoesNotBeginTheWaitAnew guards against a large task that
// loses races for room again and again and never gets a reservation.
func TestRefusedPlacementDoesNotBeginTheWaitAnew(t *testing.T) {
	b := newCrowded(t, "a", "b")
	b.s.Submit(1, b.largeJob(jobID))
	b.wait(20*time.Millisecond, func(r *messenger.Report) { r.Free.CPU = 16_000 }, "a")
	b.reserves()
	require.Len(t, b.sent, 1)
	run := b.sent[0].(messenger.Place).Tasks[0].Run
	b.wait(10*time.Millisecond, func(r *messenger.Report) {
		r.Refused = []messenger.Refusal{{Run: run, Reason: messenger.RefusedNoRoom}}
	}, "a")
	require.Len(t, b.reserves(), 1)
}
