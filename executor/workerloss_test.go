package executor_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// longerThanLease is longer than any lease that an agent has asked for.
const longerThanLease = 700 * time.Millisecond

// startAccepted places one run and has the worker accept it.
func (h *harness) startAccepted(r messenger.Run) {
	h.place(r, 1000)
	require.Len(h.t, h.starts, 1)
	h.x.HandleStartResult(r, h.starts[0].Token, executor.Accepted)
	h.collect()
}

// passUnanswered advances the clock while the entry sends heartbeats and the worker
// answers nothing.
func (h *harness) passUnanswered(d time.Duration) { h.passWithoutWorker(d, executor.Unanswered) }

// passWithoutWorker is like passUnanswered, but the polls fail with a result.
func (h *harness) passWithoutWorker(d time.Duration, result executor.CallResult) {
	const step = 10 * time.Millisecond
	var earlier []messenger.Report
	for ; d > 0; d -= step {
		h.clock.Advance(step)
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.x.Tick()
		h.collect()
		for _, p := range h.polls {
			h.x.HandlePollFailure(p.Number, result)
		}
		earlier = append(earlier, h.reports...)
	}
	h.collect()
	h.reports = append(earlier, h.reports...)
}

// anotherWorker returns a worker that announces itself in place of the usual one.
func anotherWorker() messenger.Upstream {
	u := upstream(2)
	u.ID = "w2"
	return u
}

// announceAnother has another worker announce itself, and returns the poll of it.
func (h *harness) announceAnother() executor.Poll {
	h.clock.Advance(time.Millisecond)
	h.x.SetUpstream(anotherWorker())
	h.collect()
	return h.polls[len(h.polls)-1]
}

func TestRunsDoNotEndBecauseTheirWorkerIsReportedGone(t *testing.T) {
	tests := []struct {
		name string
		play func(h *harness)
	}{
		{"its departure", func(h *harness) { h.x.HandleWorkerDeparture("w") }},
		{"another worker's announcement", func(h *harness) { h.x.SetUpstream(anotherWorker()) }},
		{"announcement of a worker that is not at its address", func(h *harness) {
			h.x.SetUpstream(anotherWorker())
			h.collect()
			h.x.HandlePollFailure(h.polls[len(h.polls)-1].Number, executor.Misdirected)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.startAccepted(run1)
			tt.play(h)
			h.collect()
			require.Empty(t, h.ended(), "run 1 may still be active")
			h.passUnanswered(100 * time.Millisecond)
			require.Empty(t, h.ended(), "its lease has not expired")
			h.passUnanswered(longerThanLease)
			require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLost}}, h.ended())
		})
	}
}

func TestRunsOfADepartedWorkerAreFollowedToTheirEnds(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.clock.Advance(time.Millisecond)
	h.x.HandleWorkerDeparture("w")
	h.place(messenger.Run{Task: "j.0.0.1", Number: 1}, 1000)
	require.Empty(t, h.starts)
	require.Equal(t, messenger.RefusedNoWorker, h.refused()[0].Reason)
	h.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}}, h.ended())
	h.passUnanswered(longerThanLease)
	require.Empty(t, h.polls, "no run is left to poll for")
	h.x.SetUpstream(upstream(1))
	h.collect()
	h.place(messenger.Run{Task: "j.0.0.2", Number: 1}, 1000)
	require.Len(t, h.starts, 1, "the worker is back")
}

func TestWorkerIsKeptWhenTheOneThatAnnouncedItselfInItsPlaceIsNotAtItsAddress(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	poll := h.announceAnother()
	require.Equal(t, "w2", poll.Upstream.ID)
	h.x.HandlePollFailure(poll.Number, executor.Misdirected)
	h.collect()
	poll = h.polls[len(h.polls)-1]
	require.Equal(t, "w", poll.Upstream.ID)
	h.answerPoll(poll.Number, []messenger.Progress{{Run: run1, Percent: 50}})
	h.passUnanswered(30 * time.Millisecond)
	require.Empty(t, h.ended())
	require.Equal(t, 7000, h.x.Dump().Free.CPU)
}

// newRestarted returns an agent that has just restarted, and whose entry knows the
// worker or does not.
func newRestarted(t *testing.T, known messenger.Upstream) *harness {
	clock := clockwork.NewFakeClock()
	h := &harness{t: t, clock: clock}
	h.x = executor.NewExecutor(clock, executor.Identity{Agent: "a", DataCentre: "dc", Incarnation: 2, Token: 100}, executor.Config{})
	h.x.HandleEvacuationsUnread()
	h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1, Upstream: known})
	h.collect()
	return h
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
			h := newRestarted(t, tt.known)
			earlier := h.reports
			for _, p := range h.polls {
				h.x.HandlePollFailure(p.Number, executor.NotSent)
			}
			h.passUnanswered(100 * time.Millisecond)
			for _, r := range append(earlier, h.reports...) {
				require.False(t, r.RunsComplete, "runs of an earlier incarnation may be active")
			}
			h.passUnanswered(longerThanLease)
			require.True(t, anyComplete(h.reports), "the leases of the earlier incarnation have expired")
		})
	}
}

func anyComplete(list []messenger.Report) bool {
	for _, r := range list {
		if r.RunsComplete {
			return true
		}
	}
	return false
}

func TestLeaseOfAllRunsExpiresOnlyAfterThatOfTheLastStart(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.passUnanswered(500 * time.Millisecond)
	h.place(messenger.Run{Task: "j.0.0.1", Number: 1}, 1000)
	require.Len(t, h.starts, 1)
	h.passUnanswered(300 * time.Millisecond)
	require.Empty(t, h.ended(), "the second start has extended the lease of the first run")
	h.passUnanswered(longerThanLease)
	require.Len(t, h.ended(), 2)
}

func TestAgentThatWasPausedStartsNothingForAnEntryThatHasGivenItUp(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	require.Len(t, h.starts, 1)
	start := h.starts[0]
	h.clock.Advance(2 * time.Second)
	require.True(t, start.LeaseUntil.Before(h.clock.Now()), "the worker rejects the start if it arrives now")
	h.x.HandleStartResult(run1, start.Token, executor.Expired)
	h.collect()
	require.Empty(t, h.starts)
	require.Equal(t, []messenger.Refusal{{Run: run1, Reason: messenger.RefusedWithdrawn}}, h.refused())
}

func TestPausedAgentSendsNoUnansweredStartAgainForAnEntryThatHasGivenItUp(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Unanswered)
	h.collect()
	poll := h.polls[0]
	h.clock.Advance(2 * time.Second)
	h.answerPoll(poll.Number, nil)
	require.Empty(t, h.starts)
	require.Equal(t, []messenger.Refusal{{Run: run1, Reason: messenger.RefusedWithdrawn}}, h.refused())
}

func TestNoStartIsSentAgainWhileARunThatHasToEndGoesOn(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	h.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	h.x.Tick()
	h.collect()
	other := messenger.Run{Task: "k.0.0.0", Number: 1}
	h.x.HandlePlace("f", messenger.Place{
		Number: 1, Job: "k", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: h.timestamp,
		Tasks: []messenger.Task{{Run: other, Demand: messenger.Resources{CPU: 1000}}},
	})
	h.collect()
	require.Len(t, h.starts, 1)
	h.x.HandleStartResult(other, h.starts[0].Token, executor.Unanswered)
	h.collect()
	poll := h.polls[0]
	h.clock.Advance(110 * time.Millisecond)
	h.answerPoll(poll.Number, []messenger.Progress{{Run: run1, Percent: 50}})
	require.Empty(t, h.starts, "the start would extend the lease of run 1")
	require.Equal(t, []messenger.Refusal{{Run: other, Reason: messenger.RefusedUnhealthy}}, h.refused())
}

func TestPausedAgentStartsNothingThatHasWaitedTooLong(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(messenger.Run{Task: "big", Number: 1})
	h.place(run1, 8000)
	require.Empty(t, h.starts)
	h.clock.Advance(200 * time.Millisecond)
	h.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: messenger.Run{Task: "big", Number: 1}, Reason: messenger.RunDone}})
	require.Empty(t, h.starts)
	require.Equal(t, []messenger.Refusal{{Run: run1, Reason: messenger.RefusedNoRoom}}, h.refused())
}

func TestRestartedAgentDoesNotWaitForAnEndBeforeItReportsWhatRuns(t *testing.T) {
	h := newHarness(t)
	require.NotZero(t, h.lastPoll)
	require.Zero(t, h.firstPoll.MaxWait)
	h.answerPoll(h.lastPoll, nil)
	require.Positive(t, h.polls[0].MaxWait, "the runs are known by now")
}

func TestLossOfAWorkerIsLoggedWithItsCause(t *testing.T) {
	otherBorn := func(h *harness) { h.x.SetUpstream(upstream(2)) }
	tests := []struct {
		name string
		// announce is what the worker announces before it is lost.
		announce func(h *harness)
		// comeBack is what is announced afterwards.
		comeBack func(h *harness)
		born     int64
		want     string
	}{
		{"the same incarnation answers", nil, nil, 1, "lost worker answers again"},
		{"another incarnation answers", nil, otherBorn, 2, "worker crashed"},
		{"it was draining", func(h *harness) {
			u := upstream(1)
			u.Draining = true
			h.x.SetUpstream(u)
		}, otherBorn, 2, "worker ended with runs"},
		{"it had departed", func(h *harness) { h.x.HandleWorkerDeparture("w") }, otherBorn, 2, "worker ended with runs"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.startAccepted(run1)
			if tt.announce != nil {
				tt.announce(h)
			}
			h.passUnanswered(longerThanLease)
			require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLost}}, h.ended())
			if tt.comeBack != nil {
				tt.comeBack(h)
			}
			h.clock.Advance(time.Second)
			h.x.Tick()
			h.collect()
			h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: tt.born})
			h.collect()
			require.Equal(t, []string{"worker lost", tt.want}, h.lossNotes)
		})
	}
}
