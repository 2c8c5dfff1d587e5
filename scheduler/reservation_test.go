package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// largeJob returns a job of one task that takes half of a worker of the fixture.
func (f *fixture) largeJob(id string) scheduler.Job {
	j := f.job(id, 1)
	j.Queue.Slack = time.Second
	j.Steps[0].Demand.CPU = 16_000
	return j
}

// reportFull has agents report that they are full and echo the entry's heartbeats. It
// applies change to each report first.
func (f *fixture) reportFull(change func(r *messenger.Report), agents ...string) {
	for _, a := range agents {
		r := newReport(a, 9)
		r.Free = messenger.Resources{CPU: 3000, Memory: 64_000}
		r.Echo = f.clock.Since(f.linkOpenedAt[a])
		if change != nil {
			change(&r)
		}
		f.s.HandleReport(r)
	}
}

// advanceFull advances the clock and has the agents report that they are full.
func (f *fixture) advanceFull(d time.Duration, change func(r *messenger.Report), agents ...string) {
	f.clock.Advance(d)
	f.reportFull(change, agents...)
	f.s.Tick()
}

// reserveMessages returns the Reserve messages among the last effects, by agent.
func (f *fixture) reserveMessages() map[string]messenger.Reserve {
	out := make(map[string]messenger.Reserve)
	f.sentMessages = nil
	for _, e := range f.s.TakeEffects() {
		if m, ok := e.(scheduler.Send); ok {
			f.sentMessages = append(f.sentMessages, m.Message)
			if r, ok := m.Message.(messenger.Reserve); ok {
				out[m.Agent] = r
			}
		}
	}
	return out
}

// newFullFixture returns a fixture with full agents.
func newFullFixture(t *testing.T, agents ...string) *fixture {
	f := newFixture(t)
	for _, a := range agents {
		f.connect(a)
	}
	f.reportFull(nil, agents...)
	f.takeEffects()
	return f
}

// requestReservation submits a large job and lets it wait until an agent is asked for a
// reservation, which it returns.
func (f *fixture) requestReservation(agents ...string) messenger.Reserve {
	f.s.Submit(1, f.largeJob(jobID))
	f.advanceFull(30*time.Millisecond, nil, agents...)
	requests := f.reserveMessages()
	require.Len(f.t, requests, 1)
	for _, r := range requests {
		require.NotZero(f.t, r.TTL)
		return r
	}
	return messenger.Reserve{}
}

// confirming returns a change that makes a report confirm a reservation.
func confirming(number uint64) func(r *messenger.Report) {
	return func(r *messenger.Report) { r.ReservationNumber = number }
}

// TestCapacityIsReservedForALargeTaskThatHasWaited guards against reservations for tasks
// that find capacity without one, and against several reservations for one job.
func TestCapacityIsReservedForALargeTaskThatHasWaited(t *testing.T) {
	f := newFullFixture(t, "a", "b")
	f.s.Submit(1, f.largeJob(jobID))
	f.advanceFull(29*time.Millisecond, nil, "a", "b")
	require.Empty(t, f.reserveMessages(), "has not waited long enough")
	f.advanceFull(time.Millisecond, nil, "a", "b")
	requests := f.reserveMessages()
	require.Len(t, requests, 1)
	for _, r := range requests {
		require.Equal(t, messenger.Resources{CPU: 16_000}, r.Demand)
		require.LessOrEqual(t, r.TTL, time.Second)
	}
	f.advanceFull(19*time.Millisecond, nil, "a", "b")
	require.Empty(t, f.reserveMessages())
}

// TestSmallTasksReserveNothing guards against reservations in deployments whose tasks
// are all small.
func TestSmallTasksReserveNothing(t *testing.T) {
	f := newFullFixture(t, "a")
	j := f.job(jobID, 4)
	j.Queue.Slack = time.Second
	j.Steps[0].Demand.CPU = 7749 // A quarter of the worker is 7,750.
	f.s.Submit(1, j)
	for range 10 {
		f.advanceFull(20*time.Millisecond, nil, "a")
		require.Empty(t, f.reserveMessages())
	}
}

// TestReservationsAreBounded guards against an entry that reserves capacity at every
// agent.
func TestReservationsAreBounded(t *testing.T) {
	agents := []string{"a", "b", "c", "d", "e", "f"}
	f := newFullFixture(t, agents...)
	for i := range 6 {
		f.s.Submit(uint64(i), f.largeJob(fmt.Sprintf("%016x", i+1)))
	}
	f.advanceFull(30*time.Millisecond, nil, agents...)
	require.Len(t, f.reserveMessages(), 4)
}

// TestLargeTaskWaitsWhileSmallOnesBeforeItDo guards against small jobs that lose their
// place in the queue to large ones when capacity is short for all.
func TestLargeTaskWaitsWhileSmallOnesBeforeItDo(t *testing.T) {
	f := newFullFixture(t, "a")
	early := f.job(jobID, 1)
	early.Queue.Slack = 900 * time.Millisecond
	f.s.Submit(1, early)
	f.s.Submit(2, f.largeJob("0000000000000002"))
	f.advanceFull(40*time.Millisecond, nil, "a")
	require.Empty(t, f.reserveMessages())
	require.True(t, f.s.Cancel(jobID))
	require.Len(t, f.reserveMessages(), 1)
}

// TestNoCapacityIsReservedWhileSmallTasksWaitLong guards against small jobs that are late
// because capacity is reserved for large ones, where both wait because capacity is
// short altogether.
func TestNoCapacityIsReservedWhileSmallTasksWaitLong(t *testing.T) {
	for wait, want := range map[time.Duration]int{25 * time.Millisecond: 1, 32 * time.Millisecond: 0} {
		t.Run(wait.String(), func(t *testing.T) {
			f := newFullFixture(t, "a")
			early := f.job(jobID, 1)
			early.Queue.Slack = time.Second
			f.s.Submit(1, early)
			f.s.Submit(2, f.largeJob("0000000000000002"))
			f.advanceFull(100*time.Millisecond, nil, "a")
			later := f.job("00000000000000b3", 1)
			later.Queue.Slack = time.Second
			f.s.Submit(3, later)
			f.advanceFull(wait, nil, "a")
			require.Empty(t, f.reserveMessages())
			f.s.Cancel(jobID)
			require.Len(t, f.reserveMessages(), want)
		})
	}
}

// TestCapacityIsReservedWhereItIsExpectedFirst guards against a long reservation at one
// agent while another one would have had the capacity soon.
func TestCapacityIsReservedWhereItIsExpectedFirst(t *testing.T) {
	forecast := func(cpu ...int) []messenger.Resources {
		out := make([]messenger.Resources, len(cpu))
		for i, c := range cpu {
			out[i].CPU = c
		}
		return out
	}
	// By default the agents have 3 of the 16 cores free.
	tests := map[string]map[string]func(r *messenger.Report){
		"soonest": {
			"a": func(r *messenger.Report) { r.Forecast = forecast(0, 0, 0, 13_000, 13_000) },
			"b": func(r *messenger.Report) { r.Forecast = forecast(0, 0, 13_000, 13_000, 13_000) },
			"c": func(r *messenger.Report) { r.Forecast = forecast(0, 0, 0, 0, 13_000) },
		},
		"within a horizon before no forecast": {
			"a": func(r *messenger.Report) { r.Free.CPU = 9000 },
			"b": func(r *messenger.Report) { r.Forecast = forecast(0, 0, 0, 0, 13_000) },
		},
		"no forecast before beyond all horizons": {
			"a": func(r *messenger.Report) { r.Forecast = forecast(0, 0, 0, 0, 12_000) },
			"b": func(*messenger.Report) {},
		},
		"most free capacity without a forecast": {
			"a": func(r *messenger.Report) { r.Free.CPU = 4000 },
			"b": func(r *messenger.Report) { r.Free.CPU = 5000 },
			"c": func(*messenger.Report) {},
		},
		"not reserving for another entry": {
			"a": func(r *messenger.Report) {
				r.Forecast = forecast(13_000)
				r.Backfill = messenger.Backfill{Resources: messenger.Resources{CPU: 1}, Window: time.Second}
			},
			"b": func(*messenger.Report) {},
		},
		"worker large enough for the task": {
			"a": func(r *messenger.Report) {
				r.Forecast = forecast(13_000)
				r.Upstream.Capacity.CPU = 15_999
			},
			"b": func(*messenger.Report) {},
		},
	}
	for name, agents := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFullFixture(t)
			for a := range agents {
				f.connect(a)
				f.reportFull(agents[a], a)
			}
			f.s.Submit(1, f.largeJob(jobID))
			f.clock.Advance(30 * time.Millisecond)
			for a := range agents {
				f.reportFull(agents[a], a)
			}
			f.s.Tick()
			requests := f.reserveMessages()
			require.Len(t, requests, 1)
			require.Contains(t, requests, "b")
		})
	}
}

// TestReservedCapacityGoesToItsJob guards against a small job of the same entry that
// takes the capacity reserved for the large one.
func TestReservedCapacityGoesToItsJob(t *testing.T) {
	f := newFullFixture(t, "a")
	r := f.requestReservation("a")
	small := f.job("0000000000000002", 1)
	f.s.Submit(2, small)
	f.reserveMessages()
	f.reportFull(func(m *messenger.Report) {
		m.ReservationNumber = r.Number
		m.Free.CPU = 16_000
	}, "a")
	require.Empty(t, f.reserveMessages(), "the agent ends the reservation with the placement")
	require.Len(t, f.sentMessages, 1)
	require.Equal(t, jobID, f.sentMessages[0].(messenger.Place).Job)
	f.advanceFull(40*time.Millisecond, nil, "a")
	require.Empty(t, f.reserveMessages(), "the reservation has ended")
}

// TestSmallTaskBackfillsOnlyIfItEndsInTime guards against capacity that is idle while
// it is being collected for another entry's task.
func TestSmallTaskBackfillsOnlyIfItEndsInTime(t *testing.T) {
	for _, tt := range []struct {
		window time.Duration
		placed int
	}{{70 * time.Millisecond, 1}, {69 * time.Millisecond, 0}} {
		f := newFullFixture(t, "a")
		f.s.Submit(1, f.job(jobID, 1)) // It takes 60 ms, and 10 ms to reach the worker.
		f.reserveMessages()
		f.reportFull(func(m *messenger.Report) {
			m.Backfill = messenger.Backfill{Resources: messenger.Resources{CPU: 4000}, Window: tt.window}
		}, "a")
		f.reserveMessages()
		require.Len(t, f.sentMessages, tt.placed, tt.window)
	}
}

// TestReservationIsGivenUp guards, for each reason, against capacity that stays
// reserved without use, and against an entry that counts on capacity which no agent
// reserves for it.
func TestReservationIsGivenUp(t *testing.T) {
	tests := map[string]struct {
		change func(f *fixture, number uint64)
		// sent is whether the agent is sent the cancellation.
		sent bool
	}{
		"missing from two reports": {sent: true, change: func(f *fixture, _ uint64) {
			f.advanceFull(20*time.Millisecond, nil, "a")
			require.Empty(f.t, f.reserveMessages())
			f.advanceFull(20*time.Millisecond, nil, "a")
		}},
		"confirmed, then missing": {sent: true, change: func(f *fixture, n uint64) {
			f.advanceFull(20*time.Millisecond, confirming(n), "a")
			f.advanceFull(20*time.Millisecond, nil, "a")
			require.Empty(f.t, f.reserveMessages())
			f.advanceFull(20*time.Millisecond, nil, "a")
		}},
		"caller left": {sent: true, change: func(f *fixture, n uint64) {
			f.s.CallerLeft(1)
		}},
		"placed elsewhere": {sent: true, change: func(f *fixture, n uint64) {
			f.connect("b")
			f.advanceFull(10*time.Millisecond, confirming(n), "a")
			require.Empty(f.t, f.reserveMessages(), "the placement may still be refused")
			f.advanceFull(24*time.Millisecond, confirming(n), "a")
		}},
		"expired": {sent: true, change: func(f *fixture, n uint64) {
			for range 20 {
				f.advanceFull(20*time.Millisecond, confirming(n), "a")
				if len(f.reserveMessages()) > 0 {
					// Put back for the check below.
					f.sentMessages = append(f.sentMessages, messenger.Reserve{Number: n})
					return
				}
			}
		}},
		"worker drains": {sent: true, change: func(f *fixture, n uint64) {
			f.advanceFull(20*time.Millisecond, func(r *messenger.Report) {
				r.ReservationNumber = n
				r.Upstream.Draining = true
			}, "a")
		}},
		"evacuated": {sent: true, change: func(f *fixture, _ uint64) {
			f.s.Configure(configuration().WithEvacuated(map[string]bool{"dc-0": true}, 2))
		}},
		"worker does not answer": {sent: true, change: func(f *fixture, n uint64) {
			f.advanceFull(20*time.Millisecond, func(r *messenger.Report) {
				r.ReservationNumber = n
				r.UnansweredCalls = 1
			}, "a")
		}},
		"link closed": {change: func(f *fixture, _ uint64) { f.s.LinkClosed("a") }},
		"link opened": {change: func(f *fixture, _ uint64) { f.s.LinkOpened("a") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFullFixture(t, "a")
			r := f.requestReservation("a")
			tt.change(f, r.Number)
			f.requireCancelled(r.Number, tt.sent)
			// Nothing depends on the reservation any more: the job, if it is still
			// waiting, gets a new one.
			f.connect("a")
			f.reportFull(nil, "a")
			f.s.Tick()
			for _, request := range f.reserveMessages() {
				require.NotZero(t, request.TTL)
			}
		})
	}
}

// requireCancelled asserts whether the agent has been sent the cancellation of a
// reservation.
func (f *fixture) requireCancelled(number uint64, wantSent bool) {
	f.t.Helper()
	cancellations := 0
	for _, m := range f.sentMessages {
		if r, ok := m.(messenger.Reserve); ok && r.TTL == 0 && r.Number == number {
			cancellations++
		}
	}
	for _, r := range f.reserveMessages() {
		if r.TTL == 0 && r.Number == number {
			cancellations++
		}
	}
	require.Equal(f.t, wantSent, cancellations > 0)
}

// TestRefusedPlacementDoesNotRestartTheWait guards against a large task that loses
// race after race for capacity and never gets a reservation.
func TestRefusedPlacementDoesNotRestartTheWait(t *testing.T) {
	f := newFullFixture(t, "a", "b")
	f.s.Submit(1, f.largeJob(jobID))
	f.advanceFull(20*time.Millisecond, func(r *messenger.Report) { r.Free.CPU = 16_000 }, "a")
	f.reserveMessages()
	require.Len(t, f.sentMessages, 1)
	run := f.sentMessages[0].(messenger.Place).Tasks[0].Run
	f.advanceFull(10*time.Millisecond, func(r *messenger.Report) {
		r.Refused = []messenger.Refusal{{Run: run, Reason: messenger.RefusedNoRoom}}
	}, "a")
	require.Len(t, f.reserveMessages(), 1)
}
