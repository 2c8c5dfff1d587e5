package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

func TestEndsAreSentAgainUntilTheEntryHasAcknowledgedThem(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.clock.Advance(time.Millisecond)
	h.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	end := []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}}
	require.Equal(t, end, h.ended())
	report := h.reports[len(h.reports)-1]
	for range 2 {
		h.x.HandleLinkClosed("e")
		h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
		h.collect()
		require.Equal(t, end, h.ended(), "the link may have lost the report")
	}
	h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, AckedOutcome: report.LastOutcome})
	h.x.HandleLinkClosed("e")
	h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
	h.collect()
	require.Empty(t, h.ended())
}

func TestEndWhileTheAgentWasDownIsReportedWithTheListOfRuns(t *testing.T) {
	h := newRestarted(t, upstream(1))
	h.clock.Advance(10 * time.Millisecond)
	h.answerPoll(1, nil, executor.EndRecord{Number: 7, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	require.True(t, anyComplete(h.reports))
	require.Equal(t, []messenger.RunEnd{{Run: run1, Reason: messenger.RunDone}}, h.ended())
}

func TestRunThatTheNextIncarnationOfItsEntryClaimsHoldsItsCapacityOnce(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 2})
	h.collect()
	h.place(run1, 1000)
	require.Equal(t, 7000, h.x.Dump().Free.CPU)
	h.clock.Advance(time.Millisecond)
	h.answerPoll(1, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunStopped}})
	require.Equal(t, 8000, h.x.Dump().Free.CPU)
}

func TestRunThatHasEndedIsNotStartedAgain(t *testing.T) {
	h := newHarness(t)
	h.answerPoll(1, []messenger.Progress{{Run: run1, Percent: 90}})
	h.answerPoll(2, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	h.place(run1, 1000)
	require.Empty(t, h.starts)
	require.Empty(t, h.refused())
	require.Contains(t, h.ended(), messenger.RunEnd{Run: run1, Reason: messenger.RunDone})
}
