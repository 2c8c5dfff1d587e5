package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// entryLossAfter is the time after which an entry places elsewhere what it had placed
// at an agent that it cannot reach; see AgentLossTimeout in package scheduler.
const entryLossAfter = 1200 * time.Millisecond

// maxLease is the longest time for which a lease may last at a worker after it was
// asked for.
const maxLease = 612 * time.Millisecond

func TestRunWhoseStopsHaveNoEffectEndsBeforeItsTimedOutEntryGivesItUp(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	lastSeenAt := h.clock.Now()
	running := []messenger.Progress{{Run: run1, Percent: 1}}
	// Polls are answered; stops are delayed, as calls may be for seconds.
	h.answerPoll(1, running)
	h.x.Tick()
	renewedAt := lastSeenAt
	for h.clock.Since(lastSeenAt) < 3*time.Second && h.clock.Since(renewedAt) <= maxLease {
		for _, p := range h.polls {
			if !p.LeaseUntil.IsZero() {
				renewedAt = h.clock.Now()
			}
			h.x.HandlePollResult(executor.PollResult{Number: p.Number, Born: 1, Running: running})
		}
		h.clock.Advance(10 * time.Millisecond)
		h.x.Tick()
		h.collect()
	}
	require.LessOrEqual(t, renewedAt.Add(maxLease).Sub(lastSeenAt), entryLossAfter, "run 1 goes on after the entry has placed the task elsewhere")
}

func TestRestartedAgentListsNothingBeforeItsOwnPollsLeaseHasExpired(t *testing.T) {
	h := newRestarted(t, messenger.Upstream{})
	h.passUnanswered(550 * time.Millisecond)
	// The worker announces itself and processes the poll; the answer is lost.
	h.x.SetUpstream(upstream(1))
	h.collect()
	require.NotEmpty(t, h.polls)
	require.False(t, h.polls[0].LeaseUntil.IsZero())
	leaseUntil := h.polls[0].LeaseUntil
	h.x.HandlePollFailure(h.polls[0].Number, executor.Unanswered)
	for h.clock.Now().Before(leaseUntil) {
		h.passUnanswered(10 * time.Millisecond)
		require.False(t, anyComplete(h.reports), "the poll has extended the leases of the worker's runs")
	}
}

func TestDetachedRunIsKeptWhilePollsOfItsWorkerExtendItsLease(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	otherPoll := h.announceAnother()
	h.clock.Advance(300 * time.Millisecond)
	h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
	h.x.HandlePollFailure(otherPoll.Number, executor.Misdirected)
	h.collect()
	poll := h.polls[len(h.polls)-1]
	require.Equal(t, "w", poll.Upstream.ID)
	require.False(t, poll.LeaseUntil.IsZero())
	// The worker processes the poll; its answer is lost.
	for h.clock.Now().Before(poll.LeaseUntil) {
		h.passUnanswered(10 * time.Millisecond)
		require.Empty(t, h.ended(), "the poll has extended the lease of run 1")
	}
}

func TestRestartedWorkerWithAnEarlierStartTimeIsAcceptedWhenItAnswers(t *testing.T) {
	h := newHarness(t)
	h.x.SetUpstream(upstream(5000))
	h.collect()
	poll := h.polls[0]
	h.startAccepted(run1)
	h.polls = []executor.Poll{poll}
	// The worker crashes, its clock is set back, and it starts again under its ID.
	for range 300 {
		for _, p := range h.polls {
			h.x.HandlePollResult(executor.PollResult{Number: p.Number, Born: 3000})
		}
		h.clock.Advance(10 * time.Millisecond)
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.x.Tick()
		h.collect()
		if len(h.ended()) > 0 {
			return
		}
	}
	t.Fatal("run 1 ended with its worker, and the agent has not reported it within 3 s")
}

func TestHeartbeatThatWasReadLateKeepsNoRunLonger(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	timestamp := h.timestamp
	// The agent is paused with the heartbeat unread. The entry's link closed right
	// after the heartbeat.
	h.clock.Advance(390 * time.Millisecond)
	h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: timestamp})
	h.x.HandleLinkClosed("e")
	h.clock.Advance(20 * time.Millisecond)
	h.x.Tick()
	h.collect()
	require.Len(t, h.stops, 1, "the entry was last seen 410 ms ago, not later")
}

func TestEndOfAWithdrawnRunThatNobodyClaimedIsReported(t *testing.T) {
	h := newHarness(t)
	h.answerPoll(1, []messenger.Progress{{Run: run1, Percent: 10}})
	h.clock.Advance(10 * time.Millisecond)
	h.x.Tick()
	h.collect()
	require.True(t, anyComplete(h.reports))
	h.x.HandleWithdraw("e", messenger.Withdraw{Runs: []messenger.Run{run1}})
	h.collect()
	require.Len(t, h.stops, 1)
	h.clock.Advance(50 * time.Millisecond)
	h.answerPoll(2, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunStopped}})
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunStopped}}, h.ended(), "the entry's next attempt waits for the end")
}

func TestOutcomesOfAnEarlierIncarnationOfAnEntryAreNotReportedToTheNext(t *testing.T) {
	h := newHarness(t)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Unanswered)
	h.collect()
	poll := h.polls[0]
	h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 2})
	h.collect()
	// The new incarnation places a run of the same name; the refusal crosses it.
	h.answerPoll(poll.Number, nil)
	require.Empty(t, h.refused(), "the new incarnation would take it for a refusal of its own run 1 and place run 2")
	h.place(run1, 1000)
	require.Len(t, h.starts, 1, "run 1 has never started")
}

func TestTaskThatRunsHereForAnotherEntryIsNotStartedButItsEndIsReportedToBoth(t *testing.T) {
	for _, number := range []int{1, 2} {
		t.Run(fmt.Sprintf("placed as run %d", number), func(t *testing.T) {
			h := newHarness(t)
			h.startAccepted(run1)
			h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
			h.collect()
			h.clock.Advance(10 * time.Millisecond)
			other := messenger.Run{Task: run1.Task, Number: number}
			h.x.HandlePlace("f", messenger.Place{
				Number: 1, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: 10 * time.Millisecond,
				Tasks: []messenger.Task{{Run: other, Demand: messenger.Resources{CPU: 1000}}},
			})
			h.collect()
			require.Empty(t, h.starts)
			require.Empty(t, h.refused(), "a refused task would be placed elsewhere")
			h.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
			require.ElementsMatch(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}, {Run: other, Reason: messenger.RunDone}}, h.ended())
		})
	}
}
