package executor_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// large is the demand, in millicores, that capacity is reserved for, and small that
	// of other tasks. The harness's worker has 8,000.
	large = 4000
	small = 1000
)

// reservationHarness is an executor at which entry "e" makes reservations. Tasks of
// entry "o" use the other capacity.
type reservationHarness struct {
	*harness
	// lastReport is the last report to each entry.
	lastReport map[string]messenger.Report
	notes      []string
	placedRuns int
	// runningRuns are the runs at the worker, in the order of their starts.
	runningRuns []messenger.Run
}

func newReservationHarness(t *testing.T) *reservationHarness {
	h := &reservationHarness{harness: newHarness(t), lastReport: make(map[string]messenger.Report)}
	h.connect("o")
	return h
}

// collectNotes collects the reports, starts and notes, and accepts the starts.
func (h *reservationHarness) collectNotes() {
	h.starts = nil
	for _, e := range h.x.TakeEffects() {
		switch m := e.(type) {
		case executor.SendReport:
			h.lastReport[m.Entry] = m.Report
			h.timestamp = m.Report.Timestamp
		case executor.Poll:
			h.lastPoll = m.Number
		case executor.Start:
			h.starts = append(h.starts, m)
			h.runningRuns = append(h.runningRuns, m.Run)
			h.x.HandleStartResult(m.Run, m.Token, executor.Accepted)
		case executor.Note:
			h.notes = append(h.notes, m.What)
		}
	}
}

// advance advances the clock, with heartbeats of both entries. A new small task waits
// at "o" each time.
func (h *reservationHarness) advance(d time.Duration) {
	h.clock.Advance(d)
	backlog := messenger.Backlog{}.With(messenger.Resources{CPU: small})
	h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: h.timestamp, Echo: h.timestamp})
	h.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: h.timestamp, Echo: h.timestamp})
	h.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: h.timestamp, Echo: h.timestamp, Backlog: backlog})
	h.x.Tick()
	h.collectNotes()
}

// placeFor places a task of an entry and returns its run.
func (h *reservationHarness) placeFor(owner string, cpu int, estimate time.Duration) messenger.Run {
	h.placedRuns++
	r := messenger.Run{Task: fmt.Sprintf("j%d.0.0.0", h.placedRuns), Number: 1}
	h.x.HandlePlace(owner, messenger.Place{
		Number: uint64(h.placedRuns), Job: "j", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: h.timestamp,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: cpu}, Estimate: estimate}},
	})
	h.collectNotes()
	return r
}

// fill places a number of small tasks of entry "o", each with the same estimate, and
// returns their runs.
func (h *reservationHarness) fill(runs int, estimate time.Duration) []messenger.Run {
	out := make([]messenger.Run, runs)
	for i := range out {
		out[i] = h.placeFor("o", small, estimate)
	}
	return out
}

// end has the worker end runs.
func (h *reservationHarness) end(runs ...messenger.Run) {
	ended := make([]executor.EndRecord, len(runs))
	for i, r := range runs {
		h.placed++
		ended[i] = executor.EndRecord{Number: int64(h.placed), RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunDone}}
		h.runningRuns = slices.DeleteFunc(h.runningRuns, func(o messenger.Run) bool { return o == r })
	}
	var running []messenger.Progress
	for _, r := range h.runningRuns {
		running = append(running, messenger.Progress{Run: r})
	}
	h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: 1, Running: running, Ended: ended})
	h.collectNotes()
}

func (h *reservationHarness) reserve(owner string, number uint64, ttl time.Duration) {
	h.x.HandleReserve(owner, messenger.Reserve{Number: number, Demand: messenger.Resources{CPU: large}, TTL: ttl})
	h.collectNotes()
}

// started reports whether the last effects start a run.
func (h *reservationHarness) started(r messenger.Run) bool {
	return slices.ContainsFunc(h.starts, func(s executor.Start) bool { return s.Run == r })
}

// TestReservedCapacityIsReportedToItsHolderOnceComplete guards against capacity that
// becomes free piece by piece and goes to small tasks each time.
func TestReservedCapacityIsReportedToItsHolderOnceComplete(t *testing.T) {
	h := newReservationHarness(t)
	runs := h.fill(8, 100*time.Millisecond)
	h.reserve("e", 1, time.Second)
	h.advance(20 * time.Millisecond)
	require.EqualValues(t, 1, h.lastReport["e"].ReservationNumber)
	require.Zero(t, h.lastReport["o"].ReservationNumber)
	for n := range 3 {
		h.end(runs[n])
		h.advance(20 * time.Millisecond)
		require.Zero(t, h.lastReport["o"].Free.CPU, "%d runs ended", n+1)
		require.Zero(t, h.lastReport["e"].Free.CPU, "%d runs ended", n+1)
		require.Equal(t, (n+1)*small, h.x.ReservedCapacity().CPU)
	}
	h.end(runs[3])
	require.Equal(t, large, h.lastReport["e"].Free.CPU, "reported at once")
	h.end(runs[4])
	h.advance(messenger.HeartbeatInterval)
	require.Equal(t, small, h.lastReport["o"].Free.CPU, "the rest is reported to all")
	require.Equal(t, large+small, h.lastReport["e"].Free.CPU)
	require.True(t, h.started(h.placeFor("e", large, time.Second)))
	require.Zero(t, h.x.ReservedCapacity())
	require.Contains(t, h.notes, "reservation ended")
	h.advance(20 * time.Millisecond)
	require.Zero(t, h.lastReport["e"].ReservationNumber)
}

// TestRunsStartInReservedCapacityOnlyIfTheyEndBeforeItIsComplete guards against
// reserved capacity that stays idle, and against backfilled runs that delay the holder.
func TestRunsStartInReservedCapacityOnlyIfTheyEndBeforeItIsComplete(t *testing.T) {
	h := newReservationHarness(t)
	h.fill(6, 100*time.Millisecond)
	h.reserve("e", 1, time.Second)
	h.advance(20 * time.Millisecond)
	require.Equal(t, messenger.Backfill{Resources: messenger.Resources{CPU: 2 * small}, Window: 80 * time.Millisecond}, h.lastReport["o"].Backfill)
	require.False(t, h.started(h.placeFor("o", small, 81*time.Millisecond)), "ends too late")
	require.False(t, h.started(h.placeFor("e", small, 81*time.Millisecond)), "another task of the holder")
	require.True(t, h.started(h.placeFor("o", small, 80*time.Millisecond)))
	require.Contains(t, h.notes, "run backfilled")
	h.advance(90 * time.Millisecond)
	require.Zero(t, h.lastReport["o"].Backfill, "the reservation should be complete by now")
	require.False(t, h.started(h.placeFor("o", small, time.Millisecond)), "runs that take longer do not move the expected completion")
}

// TestOneReservationIsActiveAtATime guards against two holders of the same capacity.
func TestOneReservationIsActiveAtATime(t *testing.T) {
	h := newReservationHarness(t)
	h.fill(6, 100*time.Millisecond)
	h.reserve("e", 1, time.Second)
	h.reserve("o", 7, time.Second)
	h.advance(20 * time.Millisecond)
	require.EqualValues(t, 1, h.lastReport["e"].ReservationNumber)
	require.Zero(t, h.lastReport["o"].ReservationNumber)
	h.reserve("o", 7, 0)
	require.NotZero(t, h.x.ReservedCapacity(), "only the holder may end it")
	h.reserve("e", 1, 0)
	h.reserve("o", 8, time.Second)
	h.advance(20 * time.Millisecond)
	require.EqualValues(t, 8, h.lastReport["o"].ReservationNumber)
}

// TestReservationThatCannotBeOfUseIsNotKept guards against capacity that stays idle for
// a task that will not start here.
func TestReservationThatCannotBeOfUseIsNotKept(t *testing.T) {
	tests := map[string]func(h *reservationHarness){
		"complete too late": func(h *reservationHarness) { h.reserve("e", 1, 50*time.Millisecond) },
		"larger than the worker": func(h *reservationHarness) {
			h.x.HandleReserve("e", messenger.Reserve{Number: 1, Demand: messenger.Resources{CPU: 8001}, TTL: time.Second})
		},
		"unknown entry":    func(h *reservationHarness) { h.reserve("unknown", 1, time.Second) },
		"agent shuts down": func(h *reservationHarness) { h.x.BeginShutdown(); h.reserve("e", 1, time.Second) },
		"evacuated": func(h *reservationHarness) {
			h.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: messenger.Evacuations{Revision: 3, DataCentres: []string{"dc"}}})
			h.reserve("e", 1, time.Second)
		},
		"worker drains": func(h *reservationHarness) {
			up := upstream(1)
			up.Draining = true
			h.x.SetUpstream(up)
			h.reserve("e", 1, time.Second)
		},
	}
	for name, ask := range tests {
		t.Run(name, func(t *testing.T) {
			h := newReservationHarness(t)
			h.fill(6, 100*time.Millisecond)
			ask(h)
			require.Zero(t, h.x.ReservedCapacity())
		})
	}
}

// TestReservationEnds guards, for each way in which a reservation ends, against
// capacity that stays reserved for no entry.
func TestReservationEnds(t *testing.T) {
	tests := map[string]func(h *reservationHarness){
		"expired": func(h *reservationHarness) {
			for range 10 {
				h.advance(50 * time.Millisecond)
			}
		},
		"cancelled by its entry": func(h *reservationHarness) { h.reserve("e", 1, 0) },
		"link closed":            func(h *reservationHarness) { h.x.HandleLinkClosed("e") },
		"link replaced":          func(h *reservationHarness) { h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1}) },
		"entry restarted":        func(h *reservationHarness) { h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 2}) },
		"entry timed out": func(h *reservationHarness) {
			for range 5 {
				h.clock.Advance(messenger.IdleTimeout / 4)
				h.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
				h.x.Tick()
				h.collectNotes()
			}
		},
		"worker restarted": func(h *reservationHarness) { h.x.SetUpstream(upstream(2)) },
		"another worker": func(h *reservationHarness) {
			up := upstream(2)
			up.ID = "w2"
			h.x.SetUpstream(up)
		},
		"another incarnation answers": func(h *reservationHarness) { h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: 9}) },
		"worker has less capacity": func(h *reservationHarness) {
			up := upstream(1)
			up.Capacity.CPU = large - 1
			h.x.SetUpstream(up)
		},
		"worker drains": func(h *reservationHarness) {
			up := upstream(1)
			up.Draining = true
			h.x.SetUpstream(up)
		},
		"worker left": func(h *reservationHarness) { h.x.HandleWorkerDeparture("w") },
		"evacuated": func(h *reservationHarness) {
			h.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: messenger.Evacuations{Revision: 3, DataCentres: []string{"dc"}}})
		},
		"agent shuts down": func(h *reservationHarness) { h.x.BeginShutdown() },
		"placement":        func(h *reservationHarness) { h.placeFor("e", large, time.Second) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			h := newReservationHarness(t)
			h.fill(6, 100*time.Millisecond)
			h.reserve("e", 1, 450*time.Millisecond)
			h.advance(20 * time.Millisecond)
			require.Equal(t, 2*small, h.x.ReservedCapacity().CPU)
			end(h)
			h.collectNotes()
			require.Zero(t, h.x.ReservedCapacity())
			require.Contains(t, h.notes, "reservation ended")
			require.Zero(t, h.x.Dump().Kept)
		})
	}
}

// TestCapacityOfAnEndedReservationIsUsed guards against tasks that wait although an
// ended reservation has left capacity for them.
func TestCapacityOfAnEndedReservationIsUsed(t *testing.T) {
	const ttl = 450 * time.Millisecond
	tests := map[string]func(h *reservationHarness){
		"cancelled by its entry": func(h *reservationHarness) { h.x.HandleReserve("e", messenger.Reserve{Number: 1}) },
		"link closed":            func(h *reservationHarness) { h.x.HandleLinkClosed("e") },
		"link replaced":          func(h *reservationHarness) { h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1}) },
		"expired":                func(h *reservationHarness) { h.clock.Advance(5 * time.Millisecond) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			h := newReservationHarness(t)
			h.fill(6, 100*time.Millisecond)
			h.reserve("e", 1, ttl)
			for range 8 {
				h.advance(ttl / 9)
			}
			h.advance(ttl/9 - 4*time.Millisecond)
			r := h.placeFor("o", small, time.Second)
			require.False(t, h.started(r))
			end(h)
			h.collectNotes()
			require.True(t, h.started(r))
			h.advance(20 * time.Millisecond)
			require.Equal(t, small, h.lastReport["o"].Free.CPU)
		})
	}
}

// TestNothingIsReservedWhileSmallerTasksWaitForLong guards against workers that each
// reserve capacity for one large task while many small ones are late.
func TestNothingIsReservedWhileSmallerTasksWaitForLong(t *testing.T) {
	h := newReservationHarness(t)
	h.fill(8, 100*time.Millisecond)
	h.reserve("e", 1, time.Second)
	h.advance(10 * time.Millisecond)
	backlog := messenger.Backlog{}.With(messenger.Resources{CPU: small})
	for range 3 {
		require.EqualValues(t, 1, h.lastReport["e"].ReservationNumber)
		h.clock.Advance(20 * time.Millisecond)
		h.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: h.timestamp, Echo: h.timestamp, Backlog: backlog})
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: h.timestamp, Echo: h.timestamp})
		h.x.Tick()
		h.collectNotes()
	}
	require.Contains(t, h.notes, "reservation ended")
	h.reserve("e", 2, time.Second)
	require.Contains(t, h.notes, "reservation not kept")
}

// TestScarceCapacityBesideAReservationIsSharedInTurns guards against a holder that has
// to wait for its turn, and against reserved capacity that is reported to other
// entries.
func TestScarceCapacityBesideAReservationIsSharedInTurns(t *testing.T) {
	h := newReservationHarness(t)
	backlog := messenger.Backlog{Tasks: 20, Total: messenger.Resources{CPU: 20 * small}, Min: messenger.Resources{CPU: small}}
	runs := h.fill(8, 100*time.Millisecond)
	h.reserve("e", 1, time.Second)
	h.connect("p")
	for _, name := range []string{"o", "p"} {
		h.x.HandleHeartbeat(name, messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Backlog: backlog})
	}
	h.end(runs[:5]...)
	require.Equal(t, large, h.lastReport["e"].Free.CPU)
	reportedFree := h.lastReport["o"].Free.CPU + h.lastReport["p"].Free.CPU
	require.Equal(t, small, reportedFree, "the unreserved capacity goes to one of them")
}

// TestCapacityIsNeverAssignedTwice plays random runs, reservations and ends. It guards
// against reserved capacity that is reported to other entries or used by runs that end
// too late, against more runs than the worker has capacity for, and against a
// reservation that does not end.
func TestCapacityIsNeverAssignedTwice(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 7))
		h := newReservationHarness(t)
		var number uint64
		for range 400 {
			switch rng.IntN(5) {
			case 0:
				number++
				h.reserve([]string{"e", "o"}[rng.IntN(2)], number, time.Duration(rng.IntN(1200))*time.Millisecond)
			case 1, 2:
				owner := []string{"e", "o"}[rng.IntN(2)]
				cpu := []int{small, small, large}[rng.IntN(3)]
				h.placeFor(owner, cpu, time.Duration(rng.IntN(300))*time.Millisecond)
			case 3:
				if len(h.runningRuns) > 0 {
					h.end(h.runningRuns[rng.IntN(len(h.runningRuns))])
				}
			case 4:
				h.advance(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
			d := h.x.Dump()
			require.GreaterOrEqual(t, d.Free.CPU, 0, "seed %d", seed)
			require.LessOrEqual(t, d.Kept.CPU, d.Free.CPU, "seed %d", seed)
		}
		for range 30 {
			h.advance(50 * time.Millisecond)
		}
		require.Zero(t, h.x.ReservedCapacity(), "seed %d", seed)
	}
}

// TestBackfillNeverDelaysTheHolder plays random small tasks that take as long as
// estimated. It guards against backfilled runs that delay the completion of the
// reservation, and against a stream of small tasks that starves the holder.
func TestBackfillNeverDelaysTheHolder(t *testing.T) {
	backfilled := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 8))
		h := newReservationHarness(t)
		estimates := make(map[messenger.Run]time.Duration)
		ends := make(map[messenger.Run]time.Time)
		// recordStarts records the end times of the runs that have just started.
		recordStarts := func() {
			for _, r := range h.runningRuns {
				if _, ok := ends[r]; !ok {
					ends[r] = h.clock.Now().Add(estimates[r])
				}
			}
		}
		step := func() {
			estimate := time.Duration(5+rng.IntN(200)) * time.Millisecond
			r := h.placeFor("o", small, estimate)
			estimates[r] = estimate
			recordStarts()
			h.advance(time.Millisecond)
			recordStarts()
			for _, r := range slices.Clone(h.runningRuns) {
				if !h.clock.Now().Before(ends[r]) {
					h.end(r)
					recordStarts()
				}
			}
		}
		for range 150 + rng.IntN(100) {
			step()
		}
		h.notes = nil
		var endTimes []time.Time
		for _, r := range h.runningRuns {
			endTimes = append(endTimes, ends[r])
		}
		slices.SortFunc(endTimes, time.Time.Compare)
		completeAt := h.clock.Now()
		if missing := large/small - (8 - len(endTimes)); missing > 0 {
			completeAt = endTimes[missing-1]
		}
		h.reserve("e", 1, time.Second)
		for h.clock.Now().Before(completeAt) {
			step()
		}
		for range 3 {
			step()
		}
		require.Equal(t, large, h.x.ReservedCapacity().CPU, "seed %d", seed)
		for _, what := range h.notes {
			if what == "run backfilled" {
				backfilled++
			}
		}
	}
	require.Positive(t, backfilled)
}
