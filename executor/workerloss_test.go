package executor_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// longerThanLease is longer than any lease that an agent has asked for lasts.
const longerThanLease = 700 * time.Millisecond

// startAccepted has one run accepted by the worker.
func (b *harness) startAccepted(r messenger.Run) {
	b.place(r, 1000)
	require.Len(b.t, b.starts, 1)
	b.x.HandleStartResult(r, b.starts[0].Token, executor.Accepted)
	b.collect()
}

// passUnanswered lets time go by, in which the entry stays in touch and the worker
// answers nothing.
func (b *harness) passUnanswered(d time.Duration) {
	const step = 10 * time.Millisecond
	var ends []messenger.Report
	for ; d > 0; d -= step {
		b.clock.Advance(step)
		b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.x.Tick()
		b.collect()
		for _, l := range b.polls {
			b.x.HandlePollFailure(l.Number, executor.Unanswered)
		}
		ends = append(ends, b.reports...)
	}
	b.collect()
	b.reports = append(ends, b.reports...)
}

// anotherWorker is one that announces itself in the place of the usual one.
func anotherWorker() messenger.Upstream {
	u := upstream(2)
	u.ID = "w2"
	return u
}

// announceAnother has one announce itself, and returns the look at it.
func (b *harness) announceAnother() executor.Poll {
	b.clock.Advance(time.Millisecond)
	b.x.SetUpstream(anotherWorker())
	b.collect()
	return b.polls[len(b.polls)-1]
}

func TestRunsAreNotOverBecauseSomeoneSaysTheirWorkerIsGone(t *testing.T) {
	tests := []struct {
		name string
		say  func(b *harness)
	}{
		{"it has left", func(b *harness) { b.x.HandleWorkerDeparture("w") }},
		{"another worker announces itself", func(b *harness) { b.x.SetUpstream(anotherWorker()) }},
		{"another one that is not there", func(b *harness) {
			b.x.SetUpstream(anotherWorker())
			b.collect()
			b.x.HandlePollFailure(b.polls[len(b.polls)-1].Number, executor.Misdirected)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t)
			b.startAccepted(run1)
			tt.say(b)
			b.collect()
			require.Empty(t, b.ended(), "run 1 may go on")
			b.passUnanswered(100 * time.Millisecond)
			require.Empty(t, b.ended(), "its lease is not over")
			b.passUnanswered(longerThanLease)
			require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLapsed}}, b.ended())
		})
	}
}

func TestRunsOfAWorkerThatSaysItLeavesAreFollowedToTheirEnds(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	b.clock.Advance(time.Millisecond)
	b.x.HandleWorkerDeparture("w")
	b.place(messenger.Run{Task: "j.0.0.1", Number: 1}, 1000)
	require.Empty(t, b.starts)
	require.Equal(t, messenger.RefusedNoWorker, b.refused()[0].Reason)
	b.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}}, b.ended())
	b.passUnanswered(longerThanLease)
	require.Empty(t, b.polls, "nothing is left to look for")
	b.x.SetUpstream(upstream(1))
	b.collect()
	b.place(messenger.Run{Task: "j.0.0.2", Number: 1}, 1000)
	require.Len(t, b.starts, 1, "it is back")
}

func TestWorkerIsKeptWhenTheOneThatAnnouncedItselfInItsPlaceIsNotThere(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	look := b.announceAnother()
	require.Equal(t, "w2", look.Upstream.ID)
	b.x.HandlePollFailure(look.Number, executor.Misdirected)
	b.collect()
	look = b.polls[len(b.polls)-1]
	require.Equal(t, "w", look.Upstream.ID)
	b.answerPoll(look.Number, []messenger.Progress{{Run: run1, Percent: 50}})
	b.passUnanswered(30 * time.Millisecond)
	require.Empty(t, b.ended())
	require.Equal(t, 7000, b.x.Dump().Free.CPU)
}

// newRestarted returns an agent that has just restarted and knows its worker from
// an entry, or does not.
func newRestarted(t *testing.T, known messenger.Upstream) *harness {
	clock := clockwork.NewFakeClock()
	b := &harness{t: t, clock: clock}
	b.x = executor.NewExecutor(clock, executor.Identity{Agent: "a", DataCentre: "dc", Incarnation: 2, Token: 100}, executor.Config{})
	b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1, Upstream: known})
	b.collect()
	return b
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
			b := newRestarted(t, tt.known)
			tells := b.reports
			for _, l := range b.polls {
				b.x.HandlePollFailure(l.Number, executor.NotSent)
			}
			b.passUnanswered(100 * time.Millisecond)
			for _, r := range append(tells, b.reports...) {
				require.False(t, r.RunsComplete, "what an earlier incarnation started may run")
			}
			b.passUnanswered(longerThanLease)
			require.True(t, anyComplete(b.reports), "its leases are over")
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

func TestLeaseOfAllRunsIsOverOnlyAfterThatOfTheLastStart(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	b.passUnanswered(500 * time.Millisecond)
	b.place(messenger.Run{Task: "j.0.0.1", Number: 1}, 1000)
	require.Len(t, b.starts, 1)
	b.passUnanswered(300 * time.Millisecond)
	require.Empty(t, b.ended(), "the second start has lengthened the lease of the first run")
	b.passUnanswered(longerThanLease)
	require.Len(t, b.ended(), 2)
}

func TestAgentThatWasPausedStartsNothingForAnEntryThatHasGivenItUp(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	require.Len(t, b.starts, 1)
	start := b.starts[0]
	b.clock.Advance(2 * time.Second)
	require.True(t, start.LeaseUntil.Before(b.clock.Now()), "the worker turns it down when it comes now")
	b.x.HandleStartResult(run1, start.Token, executor.Expired)
	b.collect()
	require.Empty(t, b.starts)
	require.Equal(t, []messenger.Refusal{{Run: run1, Reason: messenger.RefusedWithdrawn}}, b.refused())
}

func TestPausedAgentSendsNoUnansweredStartAgainForAnEntryThatHasGivenItUp(t *testing.T) {
	b := newHarness(t)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Unanswered)
	b.collect()
	look := b.polls[0]
	b.clock.Advance(2 * time.Second)
	b.answerPoll(look.Number, nil)
	require.Empty(t, b.starts)
	require.Equal(t, []messenger.Refusal{{Run: run1, Reason: messenger.RefusedWithdrawn}}, b.refused())
}

func TestNoStartIsSentAgainWhileARunThatHasToEndGoesOn(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	b.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	b.clock.Advance(messenger.IdleTimeout + time.Millisecond)
	b.x.Tick()
	b.collect()
	other := messenger.Run{Task: "k.0.0.0", Number: 1}
	b.x.HandlePlace("f", messenger.Place{
		Number: 1, Job: "k", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: other, Demand: messenger.Resources{CPU: 1000}}},
	})
	b.collect()
	require.Len(t, b.starts, 1)
	b.x.HandleStartResult(other, b.starts[0].Token, executor.Unanswered)
	b.collect()
	look := b.polls[0]
	b.clock.Advance(110 * time.Millisecond)
	b.answerPoll(look.Number, []messenger.Progress{{Run: run1, Percent: 50}})
	require.Empty(t, b.starts, "it would lengthen the lease of run 1")
	require.Equal(t, []messenger.Refusal{{Run: other, Reason: messenger.RefusedUnhealthy}}, b.refused())
}

func TestPausedAgentStartsNothingThatHasWaitedTooLong(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(messenger.Run{Task: "big", Number: 1})
	b.place(run1, 8000)
	require.Empty(t, b.starts)
	b.clock.Advance(200 * time.Millisecond)
	b.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: messenger.Run{Task: "big", Number: 1}, Reason: messenger.RunDone}})
	require.Empty(t, b.starts)
	require.Equal(t, []messenger.Refusal{{Run: run1, Reason: messenger.RefusedNoRoom}}, b.refused())
}

func TestRestartedAgentDoesNotWaitForAnEndBeforeItTellsWhatRuns(t *testing.T) {
	b := newHarness(t)
	require.NotZero(t, b.lastPoll)
	require.Zero(t, b.firstPoll.MaxWait)
	b.answerPoll(b.lastPoll, nil)
	require.Positive(t, b.polls[0].MaxWait, "once that is known")
}
