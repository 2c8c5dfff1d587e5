package executor_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// bench is an executor whose worker and entries the test plays itself.
type bench struct {
	t     *testing.T
	clock *clockwork.FakeClock
	x     *executor.Executor
	// placed counts the Place messages.
	placed uint64
	starts []executor.Start
	stops  []executor.Stop
	looks  []executor.Look
	// lastLook is the number of the last look that was sent.
	lastLook uint64
	// firstLook is the first one.
	firstLook executor.Look
	tells     []messenger.Report
	// stamp is the last one that the agent has sent.
	stamp time.Duration
	// told counts the reports of the last effects by entry.
	told map[string]int
	// held is what the last effects told each entry of the others' jobs.
	held map[string]*messenger.HeldJobs
}

func newBench(t *testing.T) *bench {
	clock := clockwork.NewFakeClock()
	b := &bench{t: t, clock: clock}
	b.x = executor.NewExecutor(clock, executor.Identity{Agent: "a", DataCentre: "dc", Incarnation: 1, Token: 100}, executor.Config{DrainWithin: 2 * time.Second})
	b.x.Hello(messenger.Hello{Entry: "e", Incarnation: 1})
	b.x.SetUpstream(upstream(1))
	b.drain()
	return b
}

func upstream(born int64) messenger.Upstream {
	return messenger.Upstream{ID: "w", Born: born, Service: "quotes", Capacity: messenger.Resources{CPU: 8000, Memory: 1000}}
}

func (b *bench) drain() {
	b.starts, b.stops, b.looks, b.tells = nil, nil, nil, nil
	b.held = make(map[string]*messenger.HeldJobs)
	b.told = make(map[string]int)
	for _, e := range b.x.Drain() {
		switch e := e.(type) {
		case executor.Start:
			b.starts = append(b.starts, e)
		case executor.Stop:
			b.stops = append(b.stops, e)
		case executor.Look:
			b.looks = append(b.looks, e)
			b.lastLook = e.Number
			if e.Number == 1 {
				b.firstLook = e
			}
		case executor.Tell:
			b.tells = append(b.tells, e.Report)
			b.stamp = e.Report.Timestamp
			b.told[e.Entry]++
			if e.Report.HeldJobs != nil {
				b.held[e.Entry] = e.Report.HeldJobs
			}
		}
	}
}

var run1 = messenger.Run{Task: "j.0.0.0", Number: 1}

// place hands one run in.
func (b *bench) place(r messenger.Run, cpu int) {
	b.placed++
	b.x.Place("e", messenger.Place{
		Number: b.placed, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: cpu}, Estimate: 60 * time.Millisecond}},
	})
	b.drain()
}

// lookAnswered answers the last look.
func (b *bench) lookAnswered(number uint64, running []messenger.Progress, ended ...executor.Ended) {
	b.x.Looked(executor.Seen{Number: number, Born: 1, Running: running, Ended: ended})
	b.drain()
}

// ended returns the ends in the last reports.
func (b *bench) ended() []messenger.RunEnd {
	var out []messenger.RunEnd
	for _, r := range b.tells {
		out = append(out, r.Ended...)
	}
	return out
}

func (b *bench) refused() []messenger.Refusal {
	var out []messenger.Refusal
	for _, r := range b.tells {
		out = append(out, r.Refused...)
	}
	return out
}

func TestUnansweredStartIsFencedOffAndSentAgainOnlyWhenItDidNothing(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	require.Len(t, b.starts, 1)
	b.x.Started(run1, b.starts[0].Token, executor.Unanswered)
	b.drain()
	require.Empty(t, b.starts)
	require.Len(t, b.looks, 1)
	require.Greater(t, b.looks[0].Token, uint64(100))
	look := b.looks[0]
	b.lookAnswered(look.Number, nil)
	require.Len(t, b.starts, 1)
	require.Equal(t, look.Token, b.starts[0].Token)
}

func TestUnansweredStartThatTookEffectIsKept(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	b.x.Started(run1, b.starts[0].Token, executor.Unanswered)
	b.drain()
	b.lookAnswered(b.looks[0].Number, []messenger.Progress{{Run: run1, Percent: 10}})
	require.Empty(t, b.starts)
	require.False(t, b.x.Idle())
}

func TestTokenRisesUntilTheWorkerTakesIt(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	b.x.Started(run1, b.starts[0].Token, executor.Fenced)
	b.drain()
	require.Len(t, b.starts, 1)
	first := b.starts[0].Token
	require.Greater(t, first, uint64(100))
	b.x.Started(run1, first, executor.Fenced)
	b.drain()
	require.Greater(t, b.starts[0].Token-first, first-100)
}

func TestRunsLapseOnlyWhenNoLookCanHaveRenewedTheirLease(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	b.x.Started(run1, b.starts[0].Token, executor.Accepted)
	b.drain()
	look := uint64(1)
	began := b.clock.Now()
	renewed := began
	for b.clock.Since(began) < 3*time.Second {
		b.x.LookFailed(look, executor.Unanswered)
		b.drain()
		for _, l := range b.looks {
			look = l.Number
			if !l.Until.IsZero() {
				renewed = b.clock.Now()
			}
		}
		b.clock.Advance(80 * time.Millisecond)
		b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.x.Tick()
		b.drain()
		for _, l := range b.looks {
			look = l.Number
		}
		if len(b.ended()) > 0 {
			break
		}
	}
	require.Greater(t, b.clock.Since(renewed), executor.Lease)
	require.Less(t, b.clock.Since(began), 1200*time.Millisecond)
}

func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	b.x.Started(run1, b.starts[0].Token, executor.Accepted)
	b.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	b.x.Tick()
	b.drain()
	require.Len(t, b.stops, 1)
	require.Equal(t, run1, b.stops[0].Run)
}

func TestPlaceThatIsOldIsRefused(t *testing.T) {
	b := newBench(t)
	stamp := b.stamp
	b.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	b.stamp = stamp
	b.place(run1, 1000)
	require.Empty(t, b.starts)
	require.Equal(t, messenger.RefusedWithdrawn, b.refused()[0].Reason)
}

func TestRunWaitsForRoomAndIsRefusedWhenItWaitsTooLong(t *testing.T) {
	b := newBench(t)
	b.place(run1, 6000)
	run2 := messenger.Run{Task: "j.0.0.1", Number: 1}
	run3 := messenger.Run{Task: "j.0.0.2", Number: 1}
	b.place(run2, 6000)
	require.Empty(t, b.starts)
	b.clock.Advance(5 * time.Millisecond)
	b.place(run3, 6000)
	b.lookAnswered(1, nil, executor.Ended{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	require.Len(t, b.starts, 1)
	require.Equal(t, run2, b.starts[0].Run)
	b.clock.Advance(13 * time.Millisecond)
	b.x.Tick()
	b.drain()
	require.Equal(t, []messenger.Refusal{{Run: run3, Reason: messenger.RefusedNoRoom}}, b.refused())
}

// TestRefusalForLackOfRoomIsToldWhenItIsDue guards against a run that waits for the
// next tick to be refused, up to 20 ms in which its entry could place it elsewhere.
func TestRefusalForLackOfRoomIsToldWhenItIsDue(t *testing.T) {
	const patience = 5 * time.Millisecond
	b := newBench(t)
	b.place(run1, 6000)
	b.x.Place("e", messenger.Place{
		Number: 2, Job: "j", Service: "quotes", MaxWait: patience, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: messenger.Run{Task: "j.0.0.1", Number: 1}, Demand: messenger.Resources{CPU: 6000}}},
	})
	var wake time.Duration
	for _, e := range b.x.Drain() {
		if w, ok := e.(executor.Wake); ok {
			wake = w.After
		}
	}
	require.Greater(t, wake, patience)
	b.clock.Advance(wake)
	b.x.Tick()
	b.drain()
	require.Len(t, b.refused(), 1)
}

func TestRunFoundAtTheWorkerIsStoppedUnlessItsOwnerClaimsIt(t *testing.T) {
	found := []messenger.Progress{{Run: run1, Percent: 10}}
	for _, claimed := range []bool{true, false} {
		b := newBench(t)
		b.lookAnswered(1, found)
		if claimed {
			b.place(run1, 1000)
			require.Empty(t, b.starts, "a run that is there is not started")
		}
		for range 5 {
			b.clock.Advance(100 * time.Millisecond)
			b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
			b.x.Tick()
			b.drain()
		}
		require.Equal(t, !claimed, len(b.stops) > 0)
	}
}

func TestRunOfAnEarlierIncarnationHasEndedWhenTheNewOneDoesNotListIt(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	b.x.Started(run1, b.starts[0].Token, executor.Accepted)
	b.drain()
	b.clock.Advance(time.Millisecond)
	b.x.SetUpstream(upstream(2))
	b.drain()
	require.Empty(t, b.ended(), "a start that was on its way may have reached it")
	look := b.looks[len(b.looks)-1]
	b.x.Looked(executor.Seen{Number: look.Number, Born: 2})
	b.drain()
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLapsed}}, b.ended())
	// A word of the earlier incarnation that comes late changes nothing.
	b.x.SetUpstream(upstream(1))
	require.Equal(t, int64(2), b.x.Upstream().Born)
}

func TestStartThatReachedTheNewIncarnationIsKept(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	token := b.starts[0].Token
	b.x.SetUpstream(upstream(2))
	b.drain()
	look := b.looks[len(b.looks)-1]
	require.Greater(t, look.Token, token)
	b.x.Looked(executor.Seen{Number: look.Number, Born: 2, Running: []messenger.Progress{{Run: run1, Percent: 5}}})
	b.drain()
	require.Empty(t, b.ended())
	require.Empty(t, b.refused())
	require.False(t, b.x.Idle())
}

func TestStartThatWasOnItsWayWhenTheWorkerRestartedMayHaveBegun(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	b.x.SetUpstream(upstream(2))
	b.drain()
	look := b.looks[len(b.looks)-1]
	b.x.Looked(executor.Seen{Number: look.Number, Born: 2})
	b.drain()
	require.Empty(t, b.starts)
	require.Empty(t, b.refused())
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLapsed}}, b.ended())
}

func TestWorkerKnownOnlyByItsListsTakesNothing(t *testing.T) {
	b := newBench(t)
	b.x.Looked(executor.Seen{Number: 1, Born: 2})
	b.drain()
	require.NotEmpty(t, b.looks)
	b.place(run1, 1000)
	require.Empty(t, b.starts)
	b.x.SetUpstream(upstream(2))
	b.place(messenger.Run{Task: run1.Task, Number: 2}, 1000)
	require.Len(t, b.starts, 1)
}

func TestEndsAreKeptForAnEntryThatWasPaused(t *testing.T) {
	b := newBench(t)
	b.place(run1, 1000)
	b.x.Started(run1, b.starts[0].Token, executor.Accepted)
	b.x.Closed("e")
	b.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	b.x.Tick()
	b.drain()
	b.lookAnswered(1, nil, executor.Ended{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunStopped}})
	b.x.Tick()
	b.x.Hello(messenger.Hello{Entry: "e", Incarnation: 1})
	b.drain()
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunStopped}}, b.ended())
}

func TestDrainingWorkerTakesOnlyWhatEndsInTime(t *testing.T) {
	tests := []struct {
		name      string
		remaining time.Duration
		since     time.Duration
		starts    int
	}{
		{"time enough", 3 * time.Second, 100 * time.Millisecond, 1},
		{"leaves soon", 500 * time.Millisecond, 100 * time.Millisecond, 0},
		{"notice is long ago", 30 * time.Second, 1600 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			up := upstream(1)
			up.Draining = true
			up.Remaining = tt.remaining
			b.x.SetUpstream(up)
			b.clock.Advance(tt.since)
			b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: tt.since})
			b.x.Tick()
			b.drain()
			b.place(run1, 1000)
			require.Len(t, b.starts, tt.starts)
		})
	}
}

func TestReportsTellOfFailuresByJobAndOfThePace(t *testing.T) {
	b := newBench(t)
	for i, job := range []string{"j", "k"} {
		r := messenger.Run{Task: job + ".0.0.0", Number: 1}
		b.placed++
		b.x.Place("e", messenger.Place{
			Number: b.placed, Job: job, Service: "quotes", MaxWait: time.Second, Echo: b.stamp,
			Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: 1000}, Estimate: 60 * time.Millisecond}},
		})
		b.drain()
		b.clock.Advance(10 * time.Millisecond)
		b.lookAnswered(uint64(i+1), nil, executor.Ended{Number: int64(i + 1), RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunFailed}})
	}
	require.Equal(t, 2, b.tells[len(b.tells)-1].ConsecutiveFailedJobs)
}

func TestAgentGoesByTheNewestDirectivesOfAnyEntry(t *testing.T) {
	b := newBench(t)
	b.x.Hello(messenger.Hello{Entry: "cut off", Incarnation: 1})
	beat := func(entry string, revision int64, evacuated ...string) {
		b.x.Beat(entry, messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Revision: revision, Evacuated: evacuated})
	}
	starts := func(number int) int {
		b.place(messenger.Run{Task: "j.0.0.0", Number: number}, 100)
		n := len(b.starts)
		for _, s := range b.starts {
			b.x.Started(s.Run, s.Token, executor.Rejected)
		}
		b.drain()
		return n
	}
	beat("e", 5, "dc")
	require.Zero(t, starts(1), "the data centre is evacuated")
	beat("cut off", 4)
	require.Zero(t, starts(2), "older directives change nothing")
	beat("e", 6)
	require.Equal(t, 1, starts(3), "the data centre is taken back")
}

func TestDeadWorkerIsLookedAtLessAndLessUntilItIsHeardOf(t *testing.T) {
	for name, out := range map[string]executor.Outcome{"refuses connections": executor.NotSent, "resets them": executor.Unanswered} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.x.LookFailed(1, out)
			looks := 0
			const step, span = 20 * time.Millisecond, 10 * time.Second
			for range int(span / step) {
				b.clock.Advance(step)
				b.x.Tick()
				for b.drain(); len(b.looks) > 0; b.drain() {
					looks++
					require.LessOrEqual(t, looks, 24, "each look opens a connection")
					b.x.LookFailed(b.looks[0].Number, out)
				}
			}
			b.x.SetUpstream(upstream(2))
			b.drain()
			require.Len(t, b.looks, 1, "a heartbeat is answered with a look at once")
		})
	}
}
