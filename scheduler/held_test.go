package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// heldBy returns an agent's word that other entries hold jobs.
func heldBy(agent string, jobs ...string) messenger.Report {
	r := report(agent, 0)
	r.HeldJobs = &messenger.HeldJobs{Running: jobs}
	return r
}

// waitingBy returns an agent's word that jobs wait at other entries.
func waitingBy(agent string, jobs ...string) messenger.Report {
	r := report(agent, 0)
	r.HeldJobs = &messenger.HeldJobs{Yielding: jobs}
	return r
}

func TestJobThatAnotherEntryHoldsIsNotPlaced(t *testing.T) {
	tests := []struct {
		name string
		over func(b *bench)
	}{
		{"until it holds it no longer", func(b *bench) { b.s.Report(heldBy("a")) }},
		{"until the agent that said so has been silent for long", func(b *bench) {
			b.s.Closed("a")
			b.clock.Advance(messenger.HeldJobsTTL)
			b.s.Report(report("b", 0))
			b.s.Tick()
			require.Empty(b.t, b.drain())
			b.clock.Advance(time.Millisecond)
			b.s.Report(report("b", 0))
			b.s.Tick()
		}},
		{"until the agent that said so has been back for long", func(b *bench) {
			for i := range int64(2) {
				r := heldBy("a")
				r.Incarnation = 2 + i
				b.s.Report(r)
			}
			require.Empty(b.t, b.drain(), "it has not heard of the job yet")
			b.clock.Advance(messenger.HeldJobsTTL)
			b.s.Report(report("b", 0))
			b.s.Tick()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.open("a")
			b.open("b")
			b.s.Report(heldBy("a", jobID))
			b.s.Submit(1, b.lasting())
			b.s.Report(report("a", 0))
			b.s.Report(report("b", 0))
			b.s.Tick()
			require.Empty(t, b.drain())
			require.Empty(t, b.replies, "it is not known that it has not run")
			tt.over(b)
			b.drain()
			require.Equal(t, 1, b.placed().Tasks[0].Number)
		})
	}
}

func TestEntryThatWasPausedPlacesNothingByWhatWasSaidBefore(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.clock.Advance(500 * time.Millisecond)
	b.s.Woke()
	b.s.Report(report("a", 0))
	b.s.Submit(1, b.lasting())
	require.Empty(t, b.drain(), "the report may have been made before the pause")
	b.clock.Advance(time.Millisecond)
	b.beat("a", 0)
	b.drain()
	require.Len(t, b.placed().Tasks, 1)
}

func TestJobThatAnotherEntryHoldsIsNotSaidToHaveNotRun(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.s.Report(heldBy("a", jobID))
	b.s.Submit(1, b.job(jobID, 1))
	b.clock.Advance(1500 * time.Millisecond)
	b.s.Tick()
	b.drain()
	require.Equal(t, scheduler.Unsettled, b.replies[1].Outcome)
}

func TestJobsThatGoOnForLongAreNamedInHeartbeats(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.s.Submit(1, b.lasting())
	b.s.Submit(2, b.job("0000000000000005", 1))
	b.drain()
	require.Empty(t, b.beat("a", 2))
	b.clock.Advance(500 * time.Millisecond)
	require.Equal(t, []string{jobID, "0000000000000005"}, b.beat("a", 2))
	b.s.Leave(1)
	require.Contains(t, b.beat("a", 2), jobID, "its run may go on")
	r := report("a", 2)
	r.Ended = []messenger.RunEnd{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Reason: messenger.RunStopped}}
	b.s.Report(r)
	require.NotContains(t, b.beat("a", 2), jobID)
}

func TestJobThatWaitsAtAnotherEntryIsGivenUp(t *testing.T) {
	tests := []struct {
		name  string
		begin func(b *bench)
	}{
		{"while it runs", func(b *bench) { b.s.Submit(1, b.lasting()) }},
		{"while it waits as well", func(b *bench) {
			b.s.Report(heldBy("a", jobID))
			b.s.Submit(1, b.lasting())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.open("a")
			tt.begin(b)
			b.clock.Advance(600 * time.Millisecond)
			b.beat("a", 1)
			b.s.Report(waitingBy("a", jobID))
			b.s.Tick()
			b.drain()
			require.Empty(t, b.replies, "its caller may still be here")
			b.clock.Advance(600 * time.Millisecond)
			b.turn("a")
			require.Equal(t, scheduler.Unsettled, b.replies[1].Outcome)
		})
	}
}

func TestJobThatEndsAsItsCallerSendsItElsewhereIsComplete(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.s.Submit(1, b.lasting())
	for range 2 {
		b.clock.Advance(650 * time.Millisecond)
		b.beat("a", 1)
	}
	r := waitingBy("a", jobID)
	r.Ended = []messenger.RunEnd{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Reason: messenger.RunDone}}
	b.s.Report(r)
	b.drain()
	require.Equal(t, scheduler.Complete, b.replies[1].Outcome)
}

func TestJobThatWasBegunHereAndElsewhereIsGivenUpOnceItIsOld(t *testing.T) {
	tests := []struct {
		name string
		over bool
		want map[uint64]scheduler.Answer
	}{
		{"it goes on there", false, map[uint64]scheduler.Answer{1: {Outcome: scheduler.Unsettled, RetryAfter: scheduler.LossAfter, Why: "another entry has begun it"}}},
		{"its runs there are being stopped", true, map[uint64]scheduler.Answer{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.open("a")
			b.s.Submit(1, b.lasting())
			r := heldBy("a", jobID)
			if tt.over {
				r.HeldJobs = &messenger.HeldJobs{Finished: []string{jobID}}
			}
			b.s.Report(r)
			for range 13 {
				b.drain()
				require.Empty(t, b.replies, "its caller may still be here")
				b.clock.Advance(100 * time.Millisecond)
				b.beat("a", 1)
				b.s.Tick()
			}
			b.drain()
			require.Equal(t, tt.want, b.replies)
		})
	}
}

func TestJobIsNotGivenUpForWhatALostAgentSaidLongAgo(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.open("b")
	b.s.Report(waitingBy("b", jobID))
	b.s.Closed("b")
	b.clock.Advance(messenger.HeldJobsTTL + time.Millisecond)
	b.s.Report(report("a", 0))
	b.s.Submit(1, b.lasting())
	for range 20 {
		b.clock.Advance(100 * time.Millisecond)
		b.beat("a", 1)
		b.s.Tick()
	}
	b.drain()
	require.Empty(t, b.replies)
}

func TestJobThatWaitsIsNamedAsWaiting(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.s.Report(heldBy("a", jobID))
	b.s.Submit(1, b.lasting())
	require.Equal(t, messenger.HeldJobs{Yielding: []string{jobID}}, b.s.Held())
}

func TestJobThatWaitedIsNotLeftBehindWhenItsCallerSendsItAgain(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.s.Report(heldBy("a", jobID))
	b.s.Submit(1, b.lasting())
	b.s.Leave(1)
	b.s.Submit(2, b.lasting())
	b.drain()
	b.s.Report(heldBy("a"))
	b.drain()
	b.placed()
}

func TestJobThatOtherEntriesMayNotKnowOfIsGivenUpBeforeItIsSentAgain(t *testing.T) {
	tests := []struct {
		name string
		play func(b *bench)
		want scheduler.Outcome
	}{
		{"no agent has heard of it", func(b *bench) {
			b.s.Submit(1, b.lasting())
			for range 12 {
				b.clock.Advance(100 * time.Millisecond)
				b.s.Held()
				b.s.Report(report("a", 1))
			}
		}, scheduler.Unsettled},
		{"no agent has heard anything for long", func(b *bench) {
			b.s.Submit(1, b.lasting())
			b.clock.Advance(600 * time.Millisecond)
			b.beat("a", 1)
			b.clock.Advance(time.Second)
			b.s.Report(report("a", 1))
		}, scheduler.Unsettled},
		{"the entry was paused before it read it", func(b *bench) {
			j := b.lasting()
			j.Sent = b.clock.Now().Add(-1300 * time.Millisecond)
			b.s.Submit(1, j)
			require.Empty(b.t, b.sent)
		}, scheduler.Overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.open("a")
			tt.play(b)
			b.s.Tick()
			b.drain()
			require.Equal(t, tt.want, b.replies[1].Outcome)
		})
	}
}

func TestJobThatOtherEntriesKnowOfGoesOn(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.s.Submit(1, b.lasting())
	for range 30 {
		b.clock.Advance(100 * time.Millisecond)
		b.turn("a")
		require.Empty(t, b.replies)
	}
}

func TestJobsWhoseCallersLeftUnnoticedRunOnceAtATime(t *testing.T) {
	long := kind{tasks: 2, work: 2 * time.Second, cpu: 3100}
	for seed := range uint64(10) {
		w := newWorld(t, 9100+seed, 3, 6, 31_000)
		w.load(6*time.Second, 0.3)
		for range 60 {
			w.run(100 * time.Millisecond)
			e := w.entries[w.rng.IntN(len(w.entries))]
			if w.rng.IntN(20) == 0 && !e.down {
				e.kill(time.Duration(w.rng.Int64N(int64(600 * time.Millisecond))))
			}
			w.submit(e, long)
			w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() {
				if tickets := slices.Sorted(maps.Keys(e.tickets)); len(tickets) > 0 {
					e.breakUnheard(tickets[w.rng.IntN(len(tickets))])
				}
			})
		}
		w.run(8 * time.Second)
		w.check()
		require.NotZero(t, w.summary().inAim, "seed %d", seed)
	}
}
