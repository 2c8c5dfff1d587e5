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
	// large is what room is kept for, and small the demand of other tasks, of the
	// bench's 8,000.
	large = 4000
	small = 1000
)

// reservationHarness is an executor at which entry "e" reserves room and entry "o" does not.
type reservationHarness struct {
	*harness
	// lastReport is the last report to each entry.
	lastReport map[string]messenger.Report
	notes      []string
	runs       int
	// runningRuns are the runs at the worker, in the order of their starts.
	runningRuns []messenger.Run
}

func newReservationHarness(t *testing.T) *reservationHarness {
	k := &reservationHarness{harness: newHarness(t), lastReport: make(map[string]messenger.Report)}
	k.connect("o")
	return k
}

// collectNotes sorts the effects.
func (k *reservationHarness) collectNotes() {
	k.starts = nil
	for _, e := range k.x.TakeEffects() {
		switch m := e.(type) {
		case executor.SendReport:
			k.lastReport[m.Entry] = m.Report
			k.stamp = m.Report.Timestamp
		case executor.Poll:
			k.lastPoll = m.Number
		case executor.Start:
			k.starts = append(k.starts, m)
			k.runningRuns = append(k.runningRuns, m.Run)
			k.x.HandleStartResult(m.Run, m.Token, executor.Accepted)
		case executor.Note:
			k.notes = append(k.notes, m.What)
		}
	}
}

// advance lets time go on, with heartbeats of both entries. Another small task waits at
// "o" each time.
func (k *reservationHarness) advance(d time.Duration) {
	k.clock.Advance(d)
	want := messenger.Backlog{}.With(messenger.Resources{CPU: small})
	k.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: k.stamp, Echo: k.stamp})
	k.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: k.stamp, Echo: k.stamp})
	k.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: k.stamp, Echo: k.stamp, Backlog: want})
	k.x.Tick()
	k.collectNotes()
}

// placeFor places a task of an entry and returns its run.
func (k *reservationHarness) placeFor(owner string, cpu int, estimate time.Duration) messenger.Run {
	k.runs++
	r := messenger.Run{Task: fmt.Sprintf("j%d.0.0.0", k.runs), Number: 1}
	k.x.HandlePlace(owner, messenger.Place{
		Number: uint64(k.runs), Job: "j", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: k.stamp,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: cpu}, Estimate: estimate}},
	})
	k.collectNotes()
	return r
}

// fill starts small runs until a number of them fits no more, each expected to
// last for estimate, and returns them.
func (k *reservationHarness) fill(runs int, estimate time.Duration) []messenger.Run {
	out := make([]messenger.Run, runs)
	for i := range out {
		out[i] = k.placeFor("o", small, estimate)
	}
	return out
}

// end has the worker end runs.
func (k *reservationHarness) end(runs ...messenger.Run) {
	ended := make([]executor.EndRecord, len(runs))
	for i, r := range runs {
		k.placed++
		ended[i] = executor.EndRecord{Number: int64(k.placed), RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunDone}}
		k.runningRuns = slices.DeleteFunc(k.runningRuns, func(o messenger.Run) bool { return o == r })
	}
	var running []messenger.Progress
	for _, r := range k.runningRuns {
		running = append(running, messenger.Progress{Run: r})
	}
	k.x.HandlePollResult(executor.PollResult{Number: k.lastPoll, Born: 1, Running: running, Ended: ended})
	k.collectNotes()
}

func (k *reservationHarness) reserve(owner string, number uint64, span time.Duration) {
	k.x.HandleReserve(owner, messenger.Reserve{Number: number, Demand: messenger.Resources{CPU: large}, TTL: span})
	k.collectNotes()
}

// started reports whether the last effects start a run.
func (k *reservationHarness) started(r messenger.Run) bool {
	return slices.ContainsFunc(k.starts, func(s executor.Start) bool { return s.Run == r })
}

// TestKeptRoomIsToldToItsHolderOnceComplete guards against room that falls free
// piece by piece and goes to small tasks each time.
func TestKeptRoomIsToldToItsHolderOnceComplete(t *testing.T) {
	k := newReservationHarness(t)
	runs := k.fill(8, 100*time.Millisecond)
	k.reserve("e", 1, time.Second)
	k.advance(20 * time.Millisecond)
	require.EqualValues(t, 1, k.lastReport["e"].ReservationNumber)
	require.Zero(t, k.lastReport["o"].ReservationNumber)
	for n := range 3 {
		k.end(runs[n])
		k.advance(20 * time.Millisecond)
		require.Zero(t, k.lastReport["o"].Free.CPU, "%d runs ended", n+1)
		require.Zero(t, k.lastReport["e"].Free.CPU, "%d runs ended", n+1)
		require.Equal(t, (n+1)*small, k.x.ReservedCapacity().CPU)
	}
	k.end(runs[3])
	require.Equal(t, large, k.lastReport["e"].Free.CPU, "told at once")
	k.end(runs[4])
	k.advance(messenger.HeartbeatInterval)
	require.Equal(t, small, k.lastReport["o"].Free.CPU, "the rest is open to all")
	require.Equal(t, large+small, k.lastReport["e"].Free.CPU)
	require.True(t, k.started(k.placeFor("e", large, time.Second)))
	require.Zero(t, k.x.ReservedCapacity())
	require.Contains(t, k.notes, "reservation ended")
	k.advance(20 * time.Millisecond)
	require.Zero(t, k.lastReport["e"].ReservationNumber)
}

// TestRunsStartInKeptRoomOnlyIfTheyEndBeforeItIsComplete guards against kept room
// that stands idle, and against backfilled runs that delay the holder.
func TestRunsStartInKeptRoomOnlyIfTheyEndBeforeItIsComplete(t *testing.T) {
	k := newReservationHarness(t)
	k.fill(6, 100*time.Millisecond)
	k.reserve("e", 1, time.Second)
	k.advance(20 * time.Millisecond)
	require.Equal(t, messenger.Backfill{Resources: messenger.Resources{CPU: 2 * small}, Window: 80 * time.Millisecond}, k.lastReport["o"].Backfill)
	require.False(t, k.started(k.placeFor("o", small, 81*time.Millisecond)), "ends too late")
	require.False(t, k.started(k.placeFor("e", small, 81*time.Millisecond)), "another task of the holder's")
	require.True(t, k.started(k.placeFor("o", small, 80*time.Millisecond)))
	require.Contains(t, k.notes, "run backfilled")
	k.advance(90 * time.Millisecond)
	require.Zero(t, k.lastReport["o"].Backfill, "the room should be complete by now")
	require.False(t, k.started(k.placeFor("o", small, time.Millisecond)), "runs that take longer put nothing off")
}

// TestOneReservationIsKeptAtATime guards against two holders of the same room.
func TestOneReservationIsKeptAtATime(t *testing.T) {
	k := newReservationHarness(t)
	k.fill(6, 100*time.Millisecond)
	k.reserve("e", 1, time.Second)
	k.reserve("o", 7, time.Second)
	k.advance(20 * time.Millisecond)
	require.EqualValues(t, 1, k.lastReport["e"].ReservationNumber)
	require.Zero(t, k.lastReport["o"].ReservationNumber)
	k.reserve("o", 7, 0)
	require.NotZero(t, k.x.ReservedCapacity(), "only the holder may end it")
	k.reserve("e", 1, 0)
	k.reserve("o", 8, time.Second)
	k.advance(20 * time.Millisecond)
	require.EqualValues(t, 8, k.lastReport["o"].ReservationNumber)
}

// TestReservationThatCannotBeOfUseIsNotKept guards against room that stands idle
// for a task that will not start here.
func TestReservationThatCannotBeOfUseIsNotKept(t *testing.T) {
	tests := map[string]func(k *reservationHarness){
		"complete too late": func(k *reservationHarness) { k.reserve("e", 1, 50*time.Millisecond) },
		"larger than the worker": func(k *reservationHarness) {
			k.x.HandleReserve("e", messenger.Reserve{Number: 1, Demand: messenger.Resources{CPU: 8001}, TTL: time.Second})
		},
		"unknown entry": func(k *reservationHarness) { k.reserve("stranger", 1, time.Second) },
		"agent leaves":  func(k *reservationHarness) { k.x.BeginShutdown(); k.reserve("e", 1, time.Second) },
		"evacuated": func(k *reservationHarness) {
			k.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: 1, Echo: k.stamp, Revision: 3, Evacuated: []string{"dc"}})
			k.reserve("e", 1, time.Second)
		},
		"worker leaves": func(k *reservationHarness) {
			up := upstream(1)
			up.Draining = true
			k.x.SetUpstream(up)
			k.reserve("e", 1, time.Second)
		},
	}
	for name, ask := range tests {
		t.Run(name, func(t *testing.T) {
			k := newReservationHarness(t)
			k.fill(6, 100*time.Millisecond)
			ask(k)
			require.Zero(t, k.x.ReservedCapacity())
		})
	}
}

// TestReservationEnds guards, for each of its ends, against room that stays kept
// for nobody.
func TestReservationEnds(t *testing.T) {
	tests := map[string]func(k *reservationHarness){
		"time passed": func(k *reservationHarness) {
			for range 10 {
				k.advance(50 * time.Millisecond)
			}
		},
		"given up by its entry": func(k *reservationHarness) { k.reserve("e", 1, 0) },
		"link closed":           func(k *reservationHarness) { k.x.HandleLinkClosed("e") },
		"link replaced":         func(k *reservationHarness) { k.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1}) },
		"entry restarted":       func(k *reservationHarness) { k.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 2}) },
		"entry silent": func(k *reservationHarness) {
			for range 5 {
				k.clock.Advance(messenger.IdleTimeout / 4)
				k.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: 1, Echo: k.stamp})
				k.x.Tick()
				k.collectNotes()
			}
		},
		"worker restarted": func(k *reservationHarness) { k.x.SetUpstream(upstream(2)) },
		"another worker": func(k *reservationHarness) {
			up := upstream(2)
			up.ID = "w2"
			k.x.SetUpstream(up)
		},
		"another incarnation answers": func(k *reservationHarness) { k.x.HandlePollResult(executor.PollResult{Number: k.lastPoll, Born: 9}) },
		"worker shrunk": func(k *reservationHarness) {
			up := upstream(1)
			up.Capacity.CPU = large - 1
			k.x.SetUpstream(up)
		},
		"worker drains": func(k *reservationHarness) {
			up := upstream(1)
			up.Draining = true
			k.x.SetUpstream(up)
		},
		"worker left": func(k *reservationHarness) { k.x.HandleWorkerDeparture("w") },
		"evacuated": func(k *reservationHarness) {
			k.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: 1, Echo: k.stamp, Revision: 3, Evacuated: []string{"dc"}})
		},
		"agent leaves": func(k *reservationHarness) { k.x.BeginShutdown() },
		"placement":    func(k *reservationHarness) { k.placeFor("e", large, time.Second) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			k := newReservationHarness(t)
			k.fill(6, 100*time.Millisecond)
			k.reserve("e", 1, 450*time.Millisecond)
			k.advance(20 * time.Millisecond)
			require.Equal(t, 2*small, k.x.ReservedCapacity().CPU)
			end(k)
			k.collectNotes()
			require.Zero(t, k.x.ReservedCapacity())
			require.Contains(t, k.notes, "reservation ended")
			require.Zero(t, k.x.Dump().Kept)
		})
	}
}

// TestRoomOfAnEndedReservationIsUsed guards against tasks that wait for room which
// has been given back.
func TestRoomOfAnEndedReservationIsUsed(t *testing.T) {
	const span = 450 * time.Millisecond
	tests := map[string]func(k *reservationHarness){
		"given up by its entry": func(k *reservationHarness) { k.x.HandleReserve("e", messenger.Reserve{Number: 1}) },
		"link closed":           func(k *reservationHarness) { k.x.HandleLinkClosed("e") },
		"link replaced":         func(k *reservationHarness) { k.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1}) },
		"time passed":           func(k *reservationHarness) { k.clock.Advance(5 * time.Millisecond) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			k := newReservationHarness(t)
			k.fill(6, 100*time.Millisecond)
			k.reserve("e", 1, span)
			for range 8 {
				k.advance(span / 9)
			}
			k.advance(span/9 - 4*time.Millisecond)
			r := k.placeFor("o", small, time.Second)
			require.False(t, k.started(r))
			end(k)
			k.collectNotes()
			require.True(t, k.started(r))
			k.advance(20 * time.Millisecond)
			require.Equal(t, small, k.lastReport["o"].Free.CPU)
		})
	}
}

// TestNoRoomIsKeptWhileSmallerTasksWaitForLong guards against workers that keep room
// each for one large task while many small ones are late.
func TestNoRoomIsKeptWhileSmallerTasksWaitForLong(t *testing.T) {
	k := newReservationHarness(t)
	k.fill(8, 100*time.Millisecond)
	k.reserve("e", 1, time.Second)
	k.advance(10 * time.Millisecond)
	want := messenger.Backlog{}.With(messenger.Resources{CPU: small})
	for range 3 {
		require.EqualValues(t, 1, k.lastReport["e"].ReservationNumber)
		k.clock.Advance(20 * time.Millisecond)
		k.x.HandleHeartbeat("o", messenger.Heartbeat{Timestamp: k.stamp, Echo: k.stamp, Backlog: want})
		k.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: k.stamp, Echo: k.stamp})
		k.x.Tick()
		k.collectNotes()
	}
	require.Contains(t, k.notes, "reservation ended")
	k.reserve("e", 2, time.Second)
	require.Contains(t, k.notes, "reservation not kept")
}

// TestScarceRoomBesideAReservationIsSharedInTurns guards against a holder that
// has to wait for its turn, and against others that are told of its room.
func TestScarceRoomBesideAReservationIsSharedInTurns(t *testing.T) {
	k := newReservationHarness(t)
	want := messenger.Backlog{Tasks: 20, Total: messenger.Resources{CPU: 20 * small}, Min: messenger.Resources{CPU: small}}
	runs := k.fill(8, 100*time.Millisecond)
	k.reserve("e", 1, time.Second)
	k.connect("p")
	for _, name := range []string{"o", "p"} {
		k.x.HandleHeartbeat(name, messenger.Heartbeat{Timestamp: 1, Echo: k.stamp, Backlog: want})
	}
	k.end(runs[:5]...)
	require.Equal(t, large, k.lastReport["e"].Free.CPU)
	told := k.lastReport["o"].Free.CPU + k.lastReport["p"].Free.CPU
	require.Equal(t, small, told, "the room beside goes to one of them")
}

// TestRoomIsNeverGivenTwice plays random runs, reservations and ends. It guards
// against kept room that is told to others or taken by runs that end too late,
// against more runs than the worker holds, and against a reservation that stays.
func TestRoomIsNeverGivenTwice(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 7))
		k := newReservationHarness(t)
		var number uint64
		for range 400 {
			switch rng.IntN(5) {
			case 0:
				number++
				k.reserve([]string{"e", "o"}[rng.IntN(2)], number, time.Duration(rng.IntN(1200))*time.Millisecond)
			case 1, 2:
				owner := []string{"e", "o"}[rng.IntN(2)]
				cpu := []int{small, small, large}[rng.IntN(3)]
				k.placeFor(owner, cpu, time.Duration(rng.IntN(300))*time.Millisecond)
			case 3:
				if len(k.runningRuns) > 0 {
					k.end(k.runningRuns[rng.IntN(len(k.runningRuns))])
				}
			case 4:
				k.advance(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
			d := k.x.Dump()
			require.GreaterOrEqual(t, d.Free.CPU, 0, "seed %d", seed)
			require.LessOrEqual(t, d.Kept.CPU, d.Free.CPU, "seed %d", seed)
		}
		for range 30 {
			k.advance(50 * time.Millisecond)
		}
		require.Zero(t, k.x.ReservedCapacity(), "seed %d", seed)
	}
}

// TestBackfillNeverDelaysTheHolder plays random small tasks that take as long as
// estimated. It guards against backfilled runs that put the reserved room off, and
// against a stream of small tasks that starves the holder.
func TestBackfillNeverDelaysTheHolder(t *testing.T) {
	backfilled := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 8))
		k := newReservationHarness(t)
		estimates := make(map[messenger.Run]time.Duration)
		ends := make(map[messenger.Run]time.Time)
		// begin notes the runs that have just started.
		begin := func() {
			for _, r := range k.runningRuns {
				if _, ok := ends[r]; !ok {
					ends[r] = k.clock.Now().Add(estimates[r])
				}
			}
		}
		step := func() {
			estimate := time.Duration(5+rng.IntN(200)) * time.Millisecond
			r := k.placeFor("o", small, estimate)
			estimates[r] = estimate
			begin()
			k.advance(time.Millisecond)
			begin()
			for _, r := range slices.Clone(k.runningRuns) {
				if !k.clock.Now().Before(ends[r]) {
					k.end(r)
					begin()
				}
			}
		}
		for range 150 + rng.IntN(100) {
			step()
		}
		k.notes = nil
		var at []time.Time
		for _, r := range k.runningRuns {
			at = append(at, ends[r])
		}
		slices.SortFunc(at, time.Time.Compare)
		due := k.clock.Now()
		if missing := large/small - (8 - len(at)); missing > 0 {
			due = at[missing-1]
		}
		k.reserve("e", 1, time.Second)
		for k.clock.Now().Before(due) {
			step()
		}
		for range 3 {
			step()
		}
		require.Equal(t, large, k.x.ReservedCapacity().CPU, "seed %d", seed)
		for _, what := range k.notes {
			if what == "run backfilled" {
				backfilled++
			}
		}
	}
	require.Positive(t, backfilled)
}
