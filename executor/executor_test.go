package executor_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// harness is an executor whose worker and entries the test plays itself.
type harness struct {
	t     *testing.T
	clock *clockwork.FakeClock
	x     *executor.Executor
	// placed counts the Place messages.
	placed uint64
	starts []executor.Start
	stops  []executor.Stop
	polls  []executor.Poll
	// lastPoll is the number of the last look that was sent.
	lastPoll uint64
	// firstPoll is the first one.
	firstPoll executor.Poll
	reports   []messenger.Report
	// stamp is the last one that the agent has sent.
	stamp time.Duration
	// reportCounts counts the reports of the last effects by entry.
	reportCounts map[string]int
	// reportedHeld is what the last effects told each entry of the others' jobs.
	reportedHeld map[string]*messenger.HeldJobs
}

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	b := &harness{t: t, clock: clock}
	b.x = executor.NewExecutor(clock, executor.Identity{Agent: "a", DataCentre: "dc", Incarnation: 1, Token: 100}, executor.Config{DrainTimeout: 2 * time.Second})
	b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	b.x.SetUpstream(upstream(1))
	b.collect()
	return b
}

func upstream(born int64) messenger.Upstream {
	return messenger.Upstream{ID: "w", Born: born, Service: "quotes", Capacity: messenger.Resources{CPU: 8000, Memory: 1000}}
}

func (b *harness) collect() {
	b.starts, b.stops, b.polls, b.reports = nil, nil, nil, nil
	b.reportedHeld = make(map[string]*messenger.HeldJobs)
	b.reportCounts = make(map[string]int)
	for _, e := range b.x.TakeEffects() {
		switch e := e.(type) {
		case executor.Start:
			b.starts = append(b.starts, e)
		case executor.Stop:
			b.stops = append(b.stops, e)
		case executor.Poll:
			b.polls = append(b.polls, e)
			b.lastPoll = e.Number
			if e.Number == 1 {
				b.firstPoll = e
			}
		case executor.SendReport:
			b.reports = append(b.reports, e.Report)
			b.stamp = e.Report.Timestamp
			b.reportCounts[e.Entry]++
			if e.Report.HeldJobs != nil {
				b.reportedHeld[e.Entry] = e.Report.HeldJobs
			}
		}
	}
}

var run1 = messenger.Run{Task: "j.0.0.0", Number: 1}

// place hands one run in.
func (b *harness) place(r messenger.Run, cpu int) {
	b.placed++
	b.x.HandlePlace("e", messenger.Place{
		Number: b.placed, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: cpu}, Estimate: 60 * time.Millisecond}},
	})
	b.collect()
}

// answerPoll answers the last look.
func (b *harness) answerPoll(number uint64, running []messenger.Progress, ended ...executor.EndRecord) {
	b.x.HandlePollResult(executor.PollResult{Number: number, Born: 1, Running: running, Ended: ended})
	b.collect()
}

// ended returns the ends in the last reports.
func (b *harness) ended() []messenger.RunEnd {
	var out []messenger.RunEnd
	for _, r := range b.reports {
		out = append(out, r.Ended...)
	}
	return out
}

func (b *harness) refused() []messenger.Refusal {
	var out []messenger.Refusal
	for _, r := range b.reports {
		out = append(out, r.Refused...)
	}
	return out
}

func TestUnansweredStartIsFencedOffAndSentAgainOnlyWhenItDidNothing(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	require.Len(t, b.starts, 1)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Unanswered)
	b.collect()
	require.Empty(t, b.starts)
	require.Len(t, b.polls, 1)
	require.Greater(t, b.polls[0].Token, uint64(100))
	look := b.polls[0]
	b.answerPoll(look.Number, nil)
	require.Len(t, b.starts, 1)
	require.Equal(t, look.Token, b.starts[0].Token)
}

func TestUnansweredStartThatTookEffectIsKept(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Unanswered)
	b.collect()
	b.answerPoll(b.polls[0].Number, []messenger.Progress{{Run: run1, Percent: 10}})
	require.Empty(t, b.starts)
	require.False(t, b.x.Idle())
}

func TestTokenRisesUntilTheWorkerTakesIt(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Fenced)
	b.collect()
	require.Len(t, b.starts, 1)
	first := b.starts[0].Token
	require.Greater(t, first, uint64(100))
	b.x.HandleStartResult(run1, first, executor.Fenced)
	b.collect()
	require.Greater(t, b.starts[0].Token-first, first-100)
}

func TestRunsLapseOnlyWhenNoLookCanHaveRenewedTheirLease(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Accepted)
	b.collect()
	look := uint64(1)
	began := b.clock.Now()
	renewed := began
	for b.clock.Since(began) < 3*time.Second {
		b.x.HandlePollFailure(look, executor.Unanswered)
		b.collect()
		for _, l := range b.polls {
			look = l.Number
			if !l.LeaseUntil.IsZero() {
				renewed = b.clock.Now()
			}
		}
		b.clock.Advance(80 * time.Millisecond)
		b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.x.Tick()
		b.collect()
		for _, l := range b.polls {
			look = l.Number
		}
		if len(b.ended()) > 0 {
			break
		}
	}
	require.Greater(t, b.clock.Since(renewed), executor.LeaseDuration)
	require.Less(t, b.clock.Since(began), 1200*time.Millisecond)
}

func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Accepted)
	b.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	b.x.Tick()
	b.collect()
	require.Len(t, b.stops, 1)
	require.Equal(t, run1, b.stops[0].Run)
}

func TestPlaceThatIsOldIsRefused(t *testing.T) {
	b := newHarness(t)
	stamp := b.stamp
	b.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	b.stamp = stamp
	b.place(run1, 1000)
	require.Empty(t, b.starts)
	require.Equal(t, messenger.RefusedWithdrawn, b.refused()[0].Reason)
}

func TestRunWaitsForRoomAndIsRefusedWhenItWaitsTooLong(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 6000)
	run2 := messenger.Run{Task: "j.0.0.1", Number: 1}
	run3 := messenger.Run{Task: "j.0.0.2", Number: 1}
	b.place(run2, 6000)
	require.Empty(t, b.starts)
	b.clock.Advance(5 * time.Millisecond)
	b.place(run3, 6000)
	b.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	require.Len(t, b.starts, 1)
	require.Equal(t, run2, b.starts[0].Run)
	b.clock.Advance(13 * time.Millisecond)
	b.x.Tick()
	b.collect()
	require.Equal(t, []messenger.Refusal{{Run: run3, Reason: messenger.RefusedNoRoom}}, b.refused())
}

// TestRefusalForLackOfRoomIsToldWhenItIsDue guards against a run that waits for the
// next tick to be refused, up to 20 ms in which its entry could place it elsewhere.
func TestRefusalForLackOfRoomIsToldWhenItIsDue(t *testing.T) {
	const patience = 5 * time.Millisecond
	b := newHarness(t)
	b.place(run1, 6000)
	b.x.HandlePlace("e", messenger.Place{
		Number: 2, Job: "j", Service: "quotes", MaxWait: patience, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: messenger.Run{Task: "j.0.0.1", Number: 1}, Demand: messenger.Resources{CPU: 6000}}},
	})
	var wake time.Duration
	for _, e := range b.x.TakeEffects() {
		if w, ok := e.(executor.TickAfter); ok {
			wake = w.Delay
		}
	}
	require.Greater(t, wake, patience)
	b.clock.Advance(wake)
	b.x.Tick()
	b.collect()
	require.Len(t, b.refused(), 1)
}

func TestRunFoundAtTheWorkerIsStoppedUnlessItsOwnerClaimsIt(t *testing.T) {
	found := []messenger.Progress{{Run: run1, Percent: 10}}
	for _, claimed := range []bool{true, false} {
		b := newHarness(t)
		b.answerPoll(1, found)
		if claimed {
			b.place(run1, 1000)
			require.Empty(t, b.starts, "a run that is there is not started")
		}
		for range 5 {
			b.clock.Advance(100 * time.Millisecond)
			b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
			b.x.Tick()
			b.collect()
		}
		require.Equal(t, !claimed, len(b.stops) > 0)
	}
}

func TestRunOfAnEarlierIncarnationHasEndedWhenTheNewOneDoesNotListIt(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Accepted)
	b.collect()
	b.clock.Advance(time.Millisecond)
	b.x.SetUpstream(upstream(2))
	b.collect()
	require.Empty(t, b.ended(), "a start that was on its way may have reached it")
	look := b.polls[len(b.polls)-1]
	b.x.HandlePollResult(executor.PollResult{Number: look.Number, Born: 2})
	b.collect()
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLapsed}}, b.ended())
	// A word of the earlier incarnation that comes late changes nothing.
	b.x.SetUpstream(upstream(1))
	require.Equal(t, int64(2), b.x.Upstream().Born)
}

func TestStartThatReachedTheNewIncarnationIsKept(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	token := b.starts[0].Token
	b.x.SetUpstream(upstream(2))
	b.collect()
	look := b.polls[len(b.polls)-1]
	require.Greater(t, look.Token, token)
	b.x.HandlePollResult(executor.PollResult{Number: look.Number, Born: 2, Running: []messenger.Progress{{Run: run1, Percent: 5}}})
	b.collect()
	require.Empty(t, b.ended())
	require.Empty(t, b.refused())
	require.False(t, b.x.Idle())
}

func TestStartThatWasOnItsWayWhenTheWorkerRestartedMayHaveBegun(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.SetUpstream(upstream(2))
	b.collect()
	look := b.polls[len(b.polls)-1]
	b.x.HandlePollResult(executor.PollResult{Number: look.Number, Born: 2})
	b.collect()
	require.Empty(t, b.starts)
	require.Empty(t, b.refused())
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLapsed}}, b.ended())
}

func TestWorkerKnownOnlyByItsListsTakesNothing(t *testing.T) {
	b := newHarness(t)
	b.x.HandlePollResult(executor.PollResult{Number: 1, Born: 2})
	b.collect()
	require.NotEmpty(t, b.polls)
	b.place(run1, 1000)
	require.Empty(t, b.starts)
	b.x.SetUpstream(upstream(2))
	b.place(messenger.Run{Task: run1.Task, Number: 2}, 1000)
	require.Len(t, b.starts, 1)
}

func TestEndsAreKeptForAnEntryThatWasPaused(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Accepted)
	b.x.HandleLinkClosed("e")
	b.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	b.x.Tick()
	b.collect()
	b.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunStopped}})
	b.x.Tick()
	b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	b.collect()
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
			b := newHarness(t)
			up := upstream(1)
			up.Draining = true
			up.Remaining = tt.remaining
			b.x.SetUpstream(up)
			b.clock.Advance(tt.since)
			b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: tt.since})
			b.x.Tick()
			b.collect()
			b.place(run1, 1000)
			require.Len(t, b.starts, tt.starts)
		})
	}
}

func TestReportsTellOfFailuresByJobAndOfThePace(t *testing.T) {
	b := newHarness(t)
	for i, job := range []string{"j", "k"} {
		r := messenger.Run{Task: job + ".0.0.0", Number: 1}
		b.placed++
		b.x.HandlePlace("e", messenger.Place{
			Number: b.placed, Job: job, Service: "quotes", MaxWait: time.Second, Echo: b.stamp,
			Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: 1000}, Estimate: 60 * time.Millisecond}},
		})
		b.collect()
		b.clock.Advance(10 * time.Millisecond)
		b.answerPoll(uint64(i+1), nil, executor.EndRecord{Number: int64(i + 1), RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunFailed}})
	}
	require.Equal(t, 2, b.reports[len(b.reports)-1].ConsecutiveFailedJobs)
}

func TestAgentGoesByTheNewestDirectivesOfAnyEntry(t *testing.T) {
	b := newHarness(t)
	b.x.HandleHello(messenger.Hello{Entry: "cut off", Incarnation: 1})
	beat := func(entry string, revision int64, evacuated ...string) {
		b.x.HandleHeartbeat(entry, messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, Revision: revision, Evacuated: evacuated})
	}
	starts := func(number int) int {
		b.place(messenger.Run{Task: "j.0.0.0", Number: number}, 100)
		n := len(b.starts)
		for _, s := range b.starts {
			b.x.HandleStartResult(s.Run, s.Token, executor.Rejected)
		}
		b.collect()
		return n
	}
	beat("e", 5, "dc")
	require.Zero(t, starts(1), "the data centre is evacuated")
	beat("cut off", 4)
	require.Zero(t, starts(2), "older directives change nothing")
	beat("e", 6)
	require.Equal(t, 1, starts(3), "the data centre is taken back")
}

func TestDeadWorkerIsPolledWithBackoffUntilItsNextHeartbeat(t *testing.T) {
	for name, out := range map[string]executor.CallResult{"refuses connections": executor.NotSent, "resets them": executor.Unanswered} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.x.HandlePollFailure(1, out)
			looks := 0
			const step, span = 20 * time.Millisecond, 10 * time.Second
			for range int(span / step) {
				b.clock.Advance(step)
				b.x.Tick()
				for b.collect(); len(b.polls) > 0; b.collect() {
					looks++
					require.LessOrEqual(t, looks, 24, "each look opens a connection")
					b.x.HandlePollFailure(b.polls[0].Number, out)
				}
			}
			b.x.SetUpstream(upstream(2))
			b.collect()
			require.Len(t, b.polls, 1, "a heartbeat is answered with a look at once")
		})
	}
}
