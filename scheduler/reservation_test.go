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
func (b *fixture) largeJob(id string) scheduler.Job {
	j := b.job(id, 1)
	j.Queue.Slack = time.Second
	j.Steps[0].Demand.CPU = 16_000
	return j
}

// reportFull has agents report that they are full and echo the entry's heartbeats. It
// applies change to each report first.
func (b *fixture) reportFull(change func(r *messenger.Report), agents ...string) {
	for _, a := range agents {
		b.s.HeldJobs()
		r := newReport(a, 9)
		r.Free = messenger.Resources{CPU: 3000, Memory: 64_000}
		r.Echo = b.clock.Since(b.linkOpenedAt[a])
		if change != nil {
			change(&r)
		}
		b.s.HandleReport(r)
	}
}

// advanceFull advances the clock and has the agents report that they are full.
func (b *fixture) advanceFull(d time.Duration, change func(r *messenger.Report), agents ...string) {
	b.clock.Advance(d)
	b.reportFull(change, agents...)
	b.s.Tick()
}

// reserveMessages returns the Reserve messages among the last effects, by agent.
func (b *fixture) reserveMessages() map[string]messenger.Reserve {
	out := make(map[string]messenger.Reserve)
	b.sent = nil
	for _, e := range b.s.TakeEffects() {
		if m, ok := e.(scheduler.Send); ok {
			b.sent = append(b.sent, m.Message)
			if r, ok := m.Message.(messenger.Reserve); ok {
				out[m.Agent] = r
			}
		}
	}
	return out
}

// newFullFixture returns a fixture with full agents.
func newFullFixture(t *testing.T, agents ...string) *fixture {
	b := newFixture(t)
	for _, a := range agents {
		b.connect(a)
	}
	b.reportFull(nil, agents...)
	b.drain()
	return b
}

// requestReservation submits a large job and lets it wait until an agent is asked for a
// reservation, which it returns.
func (b *fixture) requestReservation(agents ...string) messenger.Reserve {
	b.s.Submit(1, b.largeJob(jobID))
	b.advanceFull(30*time.Millisecond, nil, agents...)
	requests := b.reserveMessages()
	require.Len(b.t, requests, 1)
	for _, r := range requests {
		require.NotZero(b.t, r.TTL)
		return r
	}
	return messenger.Reserve{}
}

// confirming returns a change that makes a report confirm a reservation.
func confirming(number uint64) func(r *messenger.Report) {
	return func(r *messenger.Report) { r.ReservationNumber = number }
}

// TestRoomIsReservedForALargeTaskThatHasWaited guards against reservations for tasks
// that find capacity without one, and against several reservations for one job.
func TestRoomIsReservedForALargeTaskThatHasWaited(t *testing.T) {
	b := newFullFixture(t, "a", "b")
	b.s.Submit(1, b.largeJob(jobID))
	b.advanceFull(29*time.Millisecond, nil, "a", "b")
	require.Empty(t, b.reserveMessages(), "has not waited long enough")
	b.advanceFull(time.Millisecond, nil, "a", "b")
	requests := b.reserveMessages()
	require.Len(t, requests, 1)
	for _, r := range requests {
		require.Equal(t, messenger.Resources{CPU: 16_000}, r.Demand)
		require.LessOrEqual(t, r.TTL, time.Second)
	}
	b.advanceFull(19*time.Millisecond, nil, "a", "b")
	require.Empty(t, b.reserveMessages())
}

// TestSmallTasksReserveNothing guards against reservations in deployments whose tasks
// are all small.
func TestSmallTasksReserveNothing(t *testing.T) {
	b := newFullFixture(t, "a")
	j := b.job(jobID, 4)
	j.Queue.Slack = time.Second
	j.Steps[0].Demand.CPU = 7749 // A quarter of the worker is 7,750.
	b.s.Submit(1, j)
	for range 10 {
		b.advanceFull(20*time.Millisecond, nil, "a")
		require.Empty(t, b.reserveMessages())
	}
}

// TestReservationsAreBounded guards against an entry that reserves capacity at every
// agent.
func TestReservationsAreBounded(t *testing.T) {
	agents := []string{"a", "b", "c", "d", "e", "f"}
	b := newFullFixture(t, agents...)
	for i := range 6 {
		b.s.Submit(uint64(i), b.largeJob(fmt.Sprintf("%016x", i+1)))
	}
	b.advanceFull(30*time.Millisecond, nil, agents...)
	require.Len(t, b.reserveMessages(), 4)
}

// TestLargeTaskWaitsWhileSmallOnesBeforeItDo guards against small jobs that lose their
// place in the queue to large ones when capacity is short for all.
func TestLargeTaskWaitsWhileSmallOnesBeforeItDo(t *testing.T) {
	b := newFullFixture(t, "a")
	early := b.job(jobID, 1)
	early.Queue.Slack = 900 * time.Millisecond
	b.s.Submit(1, early)
	b.s.Submit(2, b.largeJob("0000000000000002"))
	b.advanceFull(40*time.Millisecond, nil, "a")
	require.Empty(t, b.reserveMessages())
	require.True(t, b.s.Cancel(jobID))
	require.Len(t, b.reserveMessages(), 1)
}

// TestNoRoomIsReservedWhileSmallTasksWaitLong guards against small jobs that are late
// because capacity is reserved for large ones, where both wait because capacity is
// short altogether.
func TestNoRoomIsReservedWhileSmallTasksWaitLong(t *testing.T) {
	for wait, want := range map[time.Duration]int{25 * time.Millisecond: 1, 32 * time.Millisecond: 0} {
		t.Run(wait.String(), func(t *testing.T) {
			b := newFullFixture(t, "a")
			early := b.job(jobID, 1)
			early.Queue.Slack = time.Second
			b.s.Submit(1, early)
			b.s.Submit(2, b.largeJob("0000000000000002"))
			b.advanceFull(100*time.Millisecond, nil, "a")
			later := b.job("00000000000000b3", 1)
			later.Queue.Slack = time.Second
			b.s.Submit(3, later)
			b.advanceFull(wait, nil, "a")
			require.Empty(t, b.reserveMessages())
			b.s.Cancel(jobID)
			require.Len(t, b.reserveMessages(), want)
		})
	}
}

// TestRoomIsAskedForWhereItIsExpectedFirst guards against a long reservation at one
// agent while another one would have had the capacity soon.
func TestRoomIsAskedForWhereItIsExpectedFirst(t *testing.T) {
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
			b := newFullFixture(t)
			for a := range agents {
				b.connect(a)
				b.reportFull(agents[a], a)
			}
			b.s.Submit(1, b.largeJob(jobID))
			b.clock.Advance(30 * time.Millisecond)
			for a := range agents {
				b.reportFull(agents[a], a)
			}
			b.s.Tick()
			requests := b.reserveMessages()
			require.Len(t, requests, 1)
			require.Contains(t, requests, "b")
		})
	}
}

// TestKeptRoomGoesToItsJob guards against a small job of the same entry that takes the
// capacity reserved for the large one.
func TestKeptRoomGoesToItsJob(t *testing.T) {
	b := newFullFixture(t, "a")
	r := b.requestReservation("a")
	small := b.job("0000000000000002", 1)
	b.s.Submit(2, small)
	b.reserveMessages()
	b.reportFull(func(m *messenger.Report) {
		m.ReservationNumber = r.Number
		m.Free.CPU = 16_000
	}, "a")
	require.Empty(t, b.reserveMessages(), "the agent ends the reservation with the placement")
	require.Len(t, b.sent, 1)
	require.Equal(t, jobID, b.sent[0].(messenger.Place).Job)
	b.advanceFull(40*time.Millisecond, nil, "a")
	require.Empty(t, b.reserveMessages(), "the reservation has ended")
}

// TestSmallTaskBackfillsOnlyIfItEndsInTime guards against capacity that is idle while
// it is being collected for another entry's task.
func TestSmallTaskBackfillsOnlyIfItEndsInTime(t *testing.T) {
	for _, tt := range []struct {
		window time.Duration
		placed int
	}{{70 * time.Millisecond, 1}, {69 * time.Millisecond, 0}} {
		b := newFullFixture(t, "a")
		b.s.Submit(1, b.job(jobID, 1)) // It takes 60 ms, and 10 ms to reach the worker.
		b.reserveMessages()
		b.reportFull(func(m *messenger.Report) {
			m.Backfill = messenger.Backfill{Resources: messenger.Resources{CPU: 4000}, Window: tt.window}
		}, "a")
		b.reserveMessages()
		require.Len(t, b.sent, tt.placed, tt.window)
	}
}

// TestReservationIsGivenUp guards, for each reason, against capacity that stays
// reserved without use, and against an entry that counts on capacity which no agent
// reserves for it.
func TestReservationIsGivenUp(t *testing.T) {
	tests := map[string]struct {
		change func(b *fixture, number uint64)
		// sent is whether the agent is sent the cancellation.
		sent bool
	}{
		"missing from two reports": {sent: true, change: func(b *fixture, _ uint64) {
			b.advanceFull(20*time.Millisecond, nil, "a")
			require.Empty(b.t, b.reserveMessages())
			b.advanceFull(20*time.Millisecond, nil, "a")
		}},
		"confirmed, then missing": {sent: true, change: func(b *fixture, n uint64) {
			b.advanceFull(20*time.Millisecond, confirming(n), "a")
			b.advanceFull(20*time.Millisecond, nil, "a")
			require.Empty(b.t, b.reserveMessages())
			b.advanceFull(20*time.Millisecond, nil, "a")
		}},
		"caller left": {sent: true, change: func(b *fixture, n uint64) {
			b.s.CallerLeft(1)
		}},
		"placed elsewhere": {sent: true, change: func(b *fixture, n uint64) {
			b.connect("b")
			b.advanceFull(10*time.Millisecond, confirming(n), "a")
			require.Empty(b.t, b.reserveMessages(), "the placement may still be refused")
			b.advanceFull(24*time.Millisecond, confirming(n), "a")
		}},
		"expired": {sent: true, change: func(b *fixture, n uint64) {
			for range 20 {
				b.advanceFull(20*time.Millisecond, confirming(n), "a")
				if len(b.reserveMessages()) > 0 {
					// Put back for the check below.
					b.sent = append(b.sent, messenger.Reserve{Number: n})
					return
				}
			}
		}},
		"worker drains": {sent: true, change: func(b *fixture, n uint64) {
			b.advanceFull(20*time.Millisecond, func(r *messenger.Report) {
				r.ReservationNumber = n
				r.Upstream.Draining = true
			}, "a")
		}},
		"evacuated": {sent: true, change: func(b *fixture, _ uint64) {
			b.s.Configure(configuration().WithEvacuated(map[string]bool{"dc-0": true}, 2))
		}},
		"worker does not answer": {sent: true, change: func(b *fixture, n uint64) {
			b.advanceFull(20*time.Millisecond, func(r *messenger.Report) {
				r.ReservationNumber = n
				r.UnansweredCalls = 1
			}, "a")
		}},
		"link closed": {change: func(b *fixture, _ uint64) { b.s.LinkClosed("a") }},
		"link opened": {change: func(b *fixture, _ uint64) { b.s.LinkOpened("a") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newFullFixture(t, "a")
			r := b.requestReservation("a")
			tt.change(b, r.Number)
			b.requireCancelled(r.Number, tt.sent)
			// Nothing depends on the reservation any more: the job, if it is still
			// waiting, gets a new one.
			b.connect("a")
			b.reportFull(nil, "a")
			b.s.Tick()
			for _, request := range b.reserveMessages() {
				require.NotZero(t, request.TTL)
			}
		})
	}
}

// requireCancelled asserts whether the agent has been sent the cancellation of a
// reservation.
func (b *fixture) requireCancelled(number uint64, wantSent bool) {
	b.t.Helper()
	cancellations := 0
	for _, m := range b.sent {
		if r, ok := m.(messenger.Reserve); ok && r.TTL == 0 && r.Number == number {
			cancellations++
		}
	}
	for _, r := range b.reserveMessages() {
		if r.TTL == 0 && r.Number == number {
			cancellations++
		}
	}
	require.Equal(b.t, wantSent, cancellations > 0)
}

// TestRefusedPlacementDoesNotRestartTheWait guards against a large task that loses
// race after race for capacity and never gets a reservation.
func TestRefusedPlacementDoesNotRestartTheWait(t *testing.T) {
	b := newFullFixture(t, "a", "b")
	b.s.Submit(1, b.largeJob(jobID))
	b.advanceFull(20*time.Millisecond, func(r *messenger.Report) { r.Free.CPU = 16_000 }, "a")
	b.reserveMessages()
	require.Len(t, b.sent, 1)
	run := b.sent[0].(messenger.Place).Tasks[0].Run
	b.advanceFull(10*time.Millisecond, func(r *messenger.Report) {
		r.Refused = []messenger.Refusal{{Run: run, Reason: messenger.RefusedNoRoom}}
	}, "a")
	require.Len(t, b.reserveMessages(), 1)
}
