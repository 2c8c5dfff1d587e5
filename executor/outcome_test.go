package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

func TestEndsAreToldAgainUntilTheEntryHasTakenThemIn(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	b.clock.Advance(time.Millisecond)
	b.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	end := []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}}
	require.Equal(t, end, b.ended())
	told := b.reports[len(b.reports)-1]
	for range 2 {
		b.x.HandleLinkClosed("e")
		b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
		b.collect()
		require.Equal(t, end, b.ended(), "the link may have lost it")
	}
	b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp, AckedOutcome: told.LastOutcome})
	b.x.HandleLinkClosed("e")
	b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	b.collect()
	require.Empty(t, b.ended())
}

func TestEndThatCameWhileNoAgentWasThereIsToldWithTheList(t *testing.T) {
	b := newRestarted(t, upstream(1))
	b.clock.Advance(10 * time.Millisecond)
	b.answerPoll(1, nil, executor.EndRecord{Number: 7, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	require.True(t, anyComplete(b.reports))
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}}, b.ended())
}

func TestRunThatTheNextIncarnationOfItsEntryClaimsHoldsItsCapacityOnce(t *testing.T) {
	b := newHarness(t)
	b.startAccepted(run1)
	b.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 2})
	b.collect()
	b.place(run1, 1000)
	require.Equal(t, 7000, b.x.Dump().Free.CPU)
	b.clock.Advance(time.Millisecond)
	b.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunStopped}})
	require.Equal(t, 8000, b.x.Dump().Free.CPU)
}

func TestRunThatHasEndedIsNotStartedAgain(t *testing.T) {
	b := newHarness(t)
	b.answerPoll(1, []messenger.Progress{{Run: run1, Percent: 90}})
	b.answerPoll(2, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	b.place(run1, 1000)
	require.Empty(t, b.starts)
	require.Empty(t, b.refused())
	require.Contains(t, b.ended(), messenger.RunEnd{Run: run1, Reason: messenger.RunDone})
}
