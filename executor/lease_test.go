package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// entryLossAfter is when an entry places elsewhere what it had at an agent that it
// cannot reach; see lossAfter in package scheduler.
const entryLossAfter = 1200 * time.Millisecond

// maxLease is how long after it was asked for a lease may last at a worker.
const maxLease = 612 * time.Millisecond

func TestRunWhoseStopsDoNothingIsOverBeforeItsSilentEntryGivesItUp(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	heard := b.clock.Now()
	there := []messenger.Progress{{Run: run1, Percent: 1}}
	// Looks are answered; stops are held up, as orders may be for seconds.
	b.answerPoll(1, there)
	b.x.Tick()
	last := heard
	for b.clock.Since(heard) < 3*time.Second && b.clock.Since(last) <= maxLease {
		for _, l := range b.polls {
			if !l.LeaseUntil.IsZero() {
				last = b.clock.Now()
			}
			b.x.HandlePollResult(executor.PollResult{Number: l.Number, Born: 1, Running: there})
		}
		b.clock.Advance(10 * time.Millisecond)
		b.x.Tick()
		b.collect()
	}
	require.LessOrEqual(t, last.Add(maxLease).Sub(heard), entryLossAfter, "run 1 goes on after the entry has placed the task elsewhere")
}

func TestRestartedAgentListsNothingBeforeItsOwnPollsLeaseIsOver(t *testing.T) {
	b := newRestarted(t, messenger.Upstream{})
	b.passUnanswered(550 * time.Millisecond)
	// The worker announces itself and carries the look out; the answer is lost.
	b.x.SetUpstream(upstream(1))
	b.collect()
	require.NotEmpty(t, b.polls)
	require.False(t, b.polls[0].LeaseUntil.IsZero())
	renewed := b.polls[0].LeaseUntil
	b.x.HandlePollFailure(b.polls[0].Number, executor.Unanswered)
	for b.clock.Now().Before(renewed) {
		b.passUnanswered(10 * time.Millisecond)
		require.False(t, anyComplete(b.reports), "the look has lengthened the lease of what runs there")
	}
}

func TestDetachedRunIsKeptWhilePollsOfItsWorkerExtendItsLease(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	stranger := b.announceAnother()
	b.clock.Advance(300 * time.Millisecond)
	b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
	b.x.HandlePollFailure(stranger.Number, executor.Misdirected)
	b.collect()
	look := b.polls[len(b.polls)-1]
	require.Equal(t, "w", look.Upstream.ID)
	require.False(t, look.LeaseUntil.IsZero())
	// The worker carries it out; its answer is lost.
	for b.clock.Now().Before(look.LeaseUntil) {
		b.passUnanswered(10 * time.Millisecond)
		require.Empty(t, b.ended(), "the look has lengthened the lease of run 1")
	}
}

func TestRestartedWorkerWithAnEarlierStartTimeIsAcceptedWhenItAnswers(t *testing.T) {
	b := newHarness(t)
	b.x.SetUpstream(upstream(5000))
	b.collect()
	look := b.polls[0]
	b.startAccepted(run1)
	b.polls = []executor.Poll{look}
	// The worker crashes, its clock is set back, and it starts again under its id.
	for range 300 {
		for _, l := range b.polls {
			b.x.HandlePollResult(executor.PollResult{Number: l.Number, Born: 3000})
		}
		b.clock.Advance(10 * time.Millisecond)
		b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.x.Tick()
		b.collect()
		if len(b.ended()) > 0 {
			return
		}
	}
	t.Fatal("run 1 ended with its worker; the agent has not noticed in 3 s")
}

func TestHeartbeatThatWasReadLateKeepsNoRunLonger(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	stamp := b.stamp
	// The agent is paused with the heartbeat unread; the entry's link has ended
	// right after it.
	b.clock.Advance(390 * time.Millisecond)
	b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: stamp})
	b.x.HandleLinkClosed("e")
	b.clock.Advance(20 * time.Millisecond)
	b.x.Tick()
	b.collect()
	require.Len(t, b.stops, 1, "the entry is known to have been there 410 ms ago, not later")
}

func TestEndOfAWithdrawnRunThatNobodyClaimedIsTold(t *testing.T) {
	b := newHarness(t)
	b.answerPoll(1, []messenger.Progress{{Run: run1, Percent: 10}})
	b.clock.Advance(10 * time.Millisecond)
	b.x.Tick()
	b.collect()
	require.True(t, anyComplete(b.reports))
	b.x.HandleWithdraw("e", messenger.Withdraw{Runs: []messenger.Run{run1}})
	b.collect()
	require.Len(t, b.stops, 1)
	b.clock.Advance(50 * time.Millisecond)
	b.answerPoll(2, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunStopped}})
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunStopped}}, b.ended(), "the entry's next try waits for it")
}

func TestOutcomesOfAnEarlierIncarnationOfAnEntryAreNotToldToTheNext(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Unanswered)
	b.collect()
	look := b.polls[0]
	b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 2})
	b.collect()
	// The new life places a run of the same name; the refusal crosses it.
	b.answerPoll(look.Number, nil)
	require.Empty(t, b.refused(), "the new life takes it for its own run 1 and places run 2")
	b.place(run1, 1000)
	require.Len(t, b.starts, 1, "it has never started")
}

func TestTaskThatRunsHereForAnotherEntryIsNotStartedButItsEndIsToldToBoth(t *testing.T) {
	for _, number := range []int{1, 2} {
		t.Run(fmt.Sprintf("placed as run %d", number), func(t *testing.T) {
			b := newHarness(t)
			b.startAccepted(run1)
			b.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
			b.collect()
			b.clock.Advance(10 * time.Millisecond)
			other := messenger.Run{Task: run1.Task, Number: number}
			b.x.HandlePlace("f", messenger.Place{
				Number: 1, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: 10 * time.Millisecond,
				Tasks: []messenger.Task{{Run: other, Demand: messenger.Resources{CPU: 1000}}},
			})
			b.collect()
			require.Empty(t, b.starts)
			require.Empty(t, b.refused(), "it may not run elsewhere either")
			b.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
			require.ElementsMatch(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}, {Run: other, Reason: messenger.RunDone}}, b.ended())
		})
	}
}
