package executor_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// harness is an executor whose worker and entries are played by the test.
type harness struct {
	t     *testing.T
	clock *clockwork.FakeClock
	x     *executor.Executor
	// placed counts the Place messages.
	placed uint64
	starts []executor.Start
	stops  []executor.Stop
	polls  []executor.Poll
	// lastPoll is the number of the last poll that was sent.
	lastPoll uint64
	// firstPoll is the first poll.
	firstPoll executor.Poll
	reports   []messenger.Report
	// timestamp is the last one that the agent has sent.
	timestamp time.Duration
	// reportCounts counts the reports in the last effects by entry.
	reportCounts map[string]int
	// lockReplies holds the lock replies in the last effects by entry.
	lockReplies map[string][]messenger.LockReply
	// lossNotes are the notes so far on the loss of a worker.
	lossNotes []string
}

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	h := &harness{t: t, clock: clock}
	h.x = executor.NewExecutor(clock, executor.Identity{Agent: "a", DataCentre: "dc", Incarnation: 1, Token: 100}, executor.Config{DrainTimeout: 2 * time.Second})
	h.x.HandleEvacuationsUnread()
	h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	h.x.SetUpstream(upstream(1))
	h.collect()
	return h
}

func upstream(born int64) messenger.Upstream {
	return messenger.Upstream{ID: "w", Born: born, Service: "quotes", Capacity: messenger.Resources{CPU: 8000, Memory: 1000}}
}

func (h *harness) collect() {
	h.starts, h.stops, h.polls, h.reports = nil, nil, nil, nil
	h.lockReplies = make(map[string][]messenger.LockReply)
	h.reportCounts = make(map[string]int)
	for _, e := range h.x.TakeEffects() {
		switch e := e.(type) {
		case executor.Start:
			h.starts = append(h.starts, e)
		case executor.Stop:
			h.stops = append(h.stops, e)
		case executor.Note:
			if strings.Contains(e.What, "worker") {
				h.lossNotes = append(h.lossNotes, e.What)
			}
		case executor.Poll:
			h.polls = append(h.polls, e)
			h.lastPoll = e.Number
			if e.Number == 1 {
				h.firstPoll = e
			}
		case executor.SendReport:
			h.reports = append(h.reports, e.Report)
			h.timestamp = e.Report.Timestamp
			h.reportCounts[e.Entry]++
		case executor.SendLockReply:
			h.lockReplies[e.Entry] = append(h.lockReplies[e.Entry], e.Reply)
		}
	}
}

var run1 = messenger.Run{Task: "j.0.0.0", Number: 1}

// place places one run.
func (h *harness) place(r messenger.Run, cpu int) {
	h.placed++
	h.x.HandlePlace("e", messenger.Place{
		Number: h.placed, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: h.timestamp,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: cpu}, Estimate: 60 * time.Millisecond}},
	})
	h.collect()
}

// answerPoll has the worker answer the poll of a number.
func (h *harness) answerPoll(number uint64, running []messenger.Progress, ended ...executor.EndRecord) {
	h.x.HandlePollResult(executor.PollResult{Number: number, Born: 1, Running: running, Ended: ended})
	h.collect()
}

// ended returns the ends in the last reports.
func (h *harness) ended() []messenger.RunEnd {
	var out []messenger.RunEnd
	for _, r := range h.reports {
		out = append(out, r.Ended...)
	}
	return out
}

func (h *harness) refused() []messenger.Refusal {
	var out []messenger.Refusal
	for _, r := range h.reports {
		out = append(out, r.Refused...)
	}
	return out
}

func TestUnansweredStartIsFencedOffAndSentAgainOnlyWhenItHadNoEffect(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	require.Len(t, h.starts, 1)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Unanswered)
	h.collect()
	require.Empty(t, h.starts)
	require.Len(t, h.polls, 1)
	require.Greater(t, h.polls[0].Token, uint64(100))
	poll := h.polls[0]
	h.answerPoll(poll.Number, nil)
	require.Len(t, h.starts, 1)
	require.Equal(t, poll.Token, h.starts[0].Token)
}

func TestUnansweredStartThatTookEffectIsKept(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Unanswered)
	h.collect()
	h.answerPoll(h.polls[0].Number, []messenger.Progress{{Run: run1, Percent: 10}})
	require.Empty(t, h.starts)
	require.False(t, h.x.Idle())
}

func TestTokenRisesUntilTheWorkerAcceptsIt(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Fenced)
	h.collect()
	require.Len(t, h.starts, 1)
	first := h.starts[0].Token
	require.Greater(t, first, uint64(100))
	h.x.HandleStartResult(run1, first, executor.Fenced)
	h.collect()
	require.Greater(t, h.starts[0].Token-first, first-100)
}

func TestRunsLapseOnlyWhenNoPollCanHaveRenewedTheirLease(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
	h.collect()
	pollNumber := uint64(1)
	startedAt := h.clock.Now()
	renewedAt := startedAt
	for h.clock.Since(startedAt) < 3*time.Second {
		h.x.HandlePollFailure(pollNumber, executor.Unanswered)
		h.collect()
		for _, p := range h.polls {
			pollNumber = p.Number
			if !p.LeaseUntil.IsZero() {
				renewedAt = h.clock.Now()
			}
		}
		h.clock.Advance(80 * time.Millisecond)
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.x.Tick()
		h.collect()
		for _, p := range h.polls {
			pollNumber = p.Number
		}
		if len(h.ended()) > 0 {
			break
		}
	}
	require.Greater(t, h.clock.Since(renewedAt), executor.LeaseDuration)
	require.Less(t, h.clock.Since(startedAt), 1200*time.Millisecond)
}

func TestRunsOfATimedOutEntryAreStopped(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
	h.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	h.x.Tick()
	h.collect()
	require.Len(t, h.stops, 1)
	require.Equal(t, run1, h.stops[0].Run)
}

func TestPlaceThatIsOldIsRefused(t *testing.T) {
	h := newHarness(t)
	timestamp := h.timestamp
	h.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	h.timestamp = timestamp
	h.place(run1, 1000)
	require.Empty(t, h.starts)
	require.Equal(t, messenger.RefusedWithdrawn, h.refused()[0].Reason)
}

func TestRunWaitsForCapacityAndIsRefusedWhenItWaitsTooLong(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 6000)
	run2 := messenger.Run{Task: "j.0.0.1", Number: 1}
	run3 := messenger.Run{Task: "j.0.0.2", Number: 1}
	h.place(run2, 6000)
	require.Empty(t, h.starts)
	h.clock.Advance(5 * time.Millisecond)
	h.place(run3, 6000)
	h.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	require.Len(t, h.starts, 1)
	require.Equal(t, run2, h.starts[0].Run)
	h.clock.Advance(13 * time.Millisecond)
	h.x.Tick()
	h.collect()
	require.Equal(t, []messenger.Refusal{{Run: run3, Reason: messenger.RefusedNoRoom}}, h.refused())
}

// TestRefusalForLackOfCapacityIsReportedWhenItIsDue guards against a run whose refusal
// waits for the next tick, up to 20 ms in which its entry could place it elsewhere.
func TestRefusalForLackOfCapacityIsReportedWhenItIsDue(t *testing.T) {
	const maxWait = 5 * time.Millisecond
	h := newHarness(t)
	h.place(run1, 6000)
	h.x.HandlePlace("e", messenger.Place{
		Number: 2, Job: "j", Service: "quotes", MaxWait: maxWait, Echo: h.timestamp,
		Tasks: []messenger.Task{{Run: messenger.Run{Task: "j.0.0.1", Number: 1}, Demand: messenger.Resources{CPU: 6000}}},
	})
	var delay time.Duration
	for _, e := range h.x.TakeEffects() {
		if w, ok := e.(executor.TickAfter); ok {
			delay = w.Delay
		}
	}
	require.Greater(t, delay, maxWait)
	h.clock.Advance(delay)
	h.x.Tick()
	h.collect()
	require.Len(t, h.refused(), 1)
}

func TestRunFoundAtTheWorkerIsStoppedUnlessItsOwnerClaimsIt(t *testing.T) {
	found := []messenger.Progress{{Run: run1, Percent: 10}}
	for _, claimed := range []bool{true, false} {
		h := newHarness(t)
		h.answerPoll(1, found)
		if claimed {
			h.place(run1, 1000)
			require.Empty(t, h.starts, "a run that the worker has is not started")
		}
		for range 5 {
			h.clock.Advance(100 * time.Millisecond)
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
			h.x.Tick()
			h.collect()
		}
		require.Equal(t, !claimed, len(h.stops) > 0)
	}
}

func TestRunOfAnEarlierIncarnationHasEndedWhenTheNewOneDoesNotListIt(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
	h.collect()
	h.clock.Advance(time.Millisecond)
	h.x.SetUpstream(upstream(2))
	h.collect()
	require.Empty(t, h.ended(), "a start in transit may have reached the new incarnation")
	poll := h.polls[len(h.polls)-1]
	h.x.HandlePollResult(executor.PollResult{Number: poll.Number, Born: 2})
	h.collect()
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLost}}, h.ended())
	// A heartbeat of the earlier incarnation that arrives late changes nothing.
	h.x.SetUpstream(upstream(1))
	require.Equal(t, int64(2), h.x.Upstream().Born)
}

func TestStartThatReachedTheNewIncarnationIsKept(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	token := h.starts[0].Token
	h.x.SetUpstream(upstream(2))
	h.collect()
	poll := h.polls[len(h.polls)-1]
	require.Greater(t, poll.Token, token)
	h.x.HandlePollResult(executor.PollResult{Number: poll.Number, Born: 2, Running: []messenger.Progress{{Run: run1, Percent: 5}}})
	h.collect()
	require.Empty(t, h.ended())
	require.Empty(t, h.refused())
	require.False(t, h.x.Idle())
}

func TestStartThatWasOnItsWayWhenTheWorkerRestartedMayHaveBegun(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.SetUpstream(upstream(2))
	h.collect()
	poll := h.polls[len(h.polls)-1]
	h.x.HandlePollResult(executor.PollResult{Number: poll.Number, Born: 2})
	h.collect()
	require.Empty(t, h.starts)
	require.Empty(t, h.refused())
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLost}}, h.ended())
}

func TestWorkerKnownOnlyByItsPollResultsGetsNoRuns(t *testing.T) {
	h := newHarness(t)
	h.x.HandlePollResult(executor.PollResult{Number: 1, Born: 2})
	h.collect()
	require.NotEmpty(t, h.polls)
	h.place(run1, 1000)
	require.Empty(t, h.starts)
	h.x.SetUpstream(upstream(2))
	h.place(messenger.Run{Task: run1.Task, Number: 2}, 1000)
	require.Len(t, h.starts, 1)
}

func TestEndsAreKeptForAnEntryThatWasPaused(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
	h.x.HandleLinkClosed("e")
	h.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	h.x.Tick()
	h.collect()
	h.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunStopped}})
	h.x.Tick()
	h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	h.collect()
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunStopped}}, h.ended())
}

func TestDrainingWorkerTakesOnlyWhatEndsInTime(t *testing.T) {
	tests := []struct {
		name      string
		remaining time.Duration
		since     time.Duration
		starts    int
	}{
		{"enough time left", 3 * time.Second, 100 * time.Millisecond, 1},
		{"too little time left", 500 * time.Millisecond, 100 * time.Millisecond, 0},
		{"drain notice was long ago", 30 * time.Second, 1600 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			up := upstream(1)
			up.Draining = true
			up.Remaining = tt.remaining
			h.x.SetUpstream(up)
			h.clock.Advance(tt.since)
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: tt.since})
			h.x.Tick()
			h.collect()
			h.place(run1, 1000)
			require.Len(t, h.starts, tt.starts)
		})
	}
}

func TestReportsCountConsecutiveFailedJobs(t *testing.T) {
	h := newHarness(t)
	for i, job := range []string{"j", "k"} {
		r := messenger.Run{Task: job + ".0.0.0", Number: 1}
		h.placed++
		h.x.HandlePlace("e", messenger.Place{
			Number: h.placed, Job: job, Service: "quotes", MaxWait: time.Second, Echo: h.timestamp,
			Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: 1000}, Estimate: 60 * time.Millisecond}},
		})
		h.collect()
		h.clock.Advance(10 * time.Millisecond)
		h.answerPoll(uint64(i+1), nil, executor.EndRecord{Number: int64(i + 1), RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunFailed}})
	}
	require.Equal(t, 2, h.reports[len(h.reports)-1].ConsecutiveFailedJobs)
}

func TestAgentAppliesTheNewestDirectivesOfAnyEntry(t *testing.T) {
	h := newHarness(t)
	h.x.HandleHello(messenger.Hello{Entry: "cut off", Incarnation: 1})
	sendHeartbeat := func(entry string, revision int64, evacuated ...string) {
		h.x.HandleHeartbeat(entry, messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: messenger.Evacuations{Revision: revision, DataCentres: evacuated}})
	}
	starts := func(number int) int {
		h.place(messenger.Run{Task: "j.0.0.0", Number: number}, 100)
		n := len(h.starts)
		for _, s := range h.starts {
			h.x.HandleStartResult(s.Run, s.Token, executor.Rejected)
		}
		h.collect()
		return n
	}
	sendHeartbeat("e", 5, "dc")
	require.Zero(t, starts(1), "the data centre is evacuated")
	sendHeartbeat("cut off", 4)
	require.Zero(t, starts(2), "older directives change nothing")
	sendHeartbeat("e", 6)
	require.Equal(t, 1, starts(3), "the evacuation has ended")
}

func TestDeadWorkerIsPolledWithBackoffUntilItsNextHeartbeat(t *testing.T) {
	for name, out := range map[string]executor.CallResult{"refuses connections": executor.NotSent, "resets them": executor.Unanswered} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.x.HandlePollFailure(1, out)
			pollCount := 0
			const step, span = 20 * time.Millisecond, 10 * time.Second
			for range int(span / step) {
				h.clock.Advance(step)
				h.x.Tick()
				for h.collect(); len(h.polls) > 0; h.collect() {
					pollCount++
					require.LessOrEqual(t, pollCount, 24, "each poll opens a connection")
					h.x.HandlePollFailure(h.polls[0].Number, out)
				}
			}
			h.x.SetUpstream(upstream(2))
			h.collect()
			require.Len(t, h.polls, 1, "a heartbeat causes a poll at once")
		})
	}
}
