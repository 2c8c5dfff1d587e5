package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// passRefused advances the clock while the entry sends heartbeats and no process listens
// at the worker's address.
func (h *harness) passRefused(d time.Duration) {
	h.x.HandlePollFailure(h.lastPoll, executor.NoListener)
	h.passWithoutWorker(d, executor.NoListener)
}

// crashes returns the crashes in the last reports, without their age.
func (h *harness) crashes() []messenger.Crash {
	var out []messenger.Crash
	for _, r := range h.reports {
		for _, c := range r.Crashes {
			c.Age = 0
			out = append(out, c)
		}
	}
	return out
}

// placeAlone places one run that is to be alone, under which workers have crashed.
func (h *harness) placeAlone(r messenger.Run, crashed ...messenger.Incarnation) {
	h.placed++
	h.x.HandlePlace("e", messenger.Place{
		Number: h.placed, Job: "j", Spec: "spec", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: h.timestamp, Alone: true,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: 1000}, Estimate: 60 * time.Millisecond, Crashed: crashed}},
	})
	h.collect()
}

func TestCrashIsReportedWithItsTasksWhenTheirLeaseHasExpired(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.passRefused(100 * time.Millisecond)
	require.Empty(t, h.crashes(), "its runs may go on")
	h.passRefused(longerThanLease)
	want := messenger.Crash{Worker: messenger.Incarnation{ID: "w", Born: 1}, Tasks: []messenger.CrashedTask{{Task: run1.Task}}}
	require.Equal(t, []messenger.Crash{want}, h.crashes())
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunLost}}, h.ended())
	// An entry that connects later learns of it too.
	h.x.HandleHello(messenger.Hello{Entry: "f", Incarnation: 1})
	h.collect()
	require.Equal(t, []messenger.Crash{want}, h.crashes())
	h.passRefused(messenger.CrashTTL)
	h.x.HandleHello(messenger.Hello{Entry: "g", Incarnation: 1})
	h.collect()
	require.Empty(t, h.crashes(), "it is forgotten")
}

func TestWorkerThatAnswersAgainHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.passRefused(longerThanLease)
	require.Len(t, h.crashes(), 1)
	h.clock.Advance(time.Second)
	h.x.Tick()
	h.collect()
	h.answerPoll(h.lastPoll, nil)
	require.Equal(t, []messenger.Crash{{Worker: messenger.Incarnation{ID: "w", Born: 1}, Refuted: true}}, h.crashes())
}

func TestWorkerThatOnlyDoesNotAnswerCountsAsCrashedOnceAnotherIncarnationAnswers(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.passUnanswered(longerThanLease)
	require.Empty(t, h.crashes())
	h.x.SetUpstream(upstream(2))
	h.collect()
	h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: 2})
	h.collect()
	require.Len(t, h.crashes(), 1)
}

func TestWorkerThatEndsAsAnnouncedHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.x.HandleWorkerDeparture("w")
	h.passRefused(longerThanLease)
	h.x.SetUpstream(upstream(2))
	h.collect()
	h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: 2})
	h.collect()
	require.Empty(t, h.crashes())
}

func TestRunThatIsToBeAloneSharesItsWorkerWithNoOther(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	alone := messenger.Run{Task: "k.0.0.0", Number: 1}
	earlier := messenger.Incarnation{ID: "v", Born: 7}
	h.x.HandleReserve("e", messenger.Reserve{Number: 1, Demand: upstream(1).Capacity, TTL: time.Second})
	h.answerPoll(h.lastPoll, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	h.placeAlone(alone, earlier)
	require.Len(t, h.starts, 1)
	require.Equal(t, alone, h.starts[0].Run)
	h.x.HandleStartResult(alone, h.starts[0].Token, executor.Accepted)
	h.place(messenger.Run{Task: "m.0.0.0", Number: 1}, 1000)
	require.Empty(t, h.starts)
	require.True(t, h.x.Dump().Free.IsZero())
	h.passRefused(longerThanLease)
	require.Equal(t, []messenger.CrashedTask{{Task: alone.Task, Alone: true, Earlier: []messenger.Incarnation{earlier}}}, h.crashes()[0].Tasks)
}

func TestRunThatIsToBeAloneDoesNotStartBesideAnother(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.placeAlone(messenger.Run{Task: "k.0.0.0", Number: 1})
	require.Empty(t, h.starts)
}
