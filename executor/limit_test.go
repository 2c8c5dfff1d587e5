package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// fillingRun needs all of the worker's CPU.
var fillingRun = messenger.Run{Task: "k.0.0.0", Number: 1}

func TestNothingStartsBesideARunOfUnknownDemandThatIsBeingStopped(t *testing.T) {
	h := newRestarted(t, upstream(1))
	found := messenger.Run{Task: "unknown.0.0.0", Number: 1}
	h.answerPoll(h.lastPoll, []messenger.Progress{{Run: found, Percent: 10}})
	// No entry claims it, so it is stopped.
	for len(h.stops) == 0 {
		h.clock.Advance(10 * time.Millisecond)
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.x.Tick()
		h.collect()
	}
	h.place(fillingRun, 8000)
	require.Empty(t, h.starts, "the worker may not have as much capacity")
	h.answerPoll(h.lastPoll, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: found, Reason: messenger.RunStopped}})
	require.Len(t, h.starts, 1)
}

func TestNothingStartsAtAWorkerThatIsBackBeforeItsRunsAreKnown(t *testing.T) {
	h := newHarness(t)
	h.startAccepted(run1)
	poll := h.announceAnother()
	h.x.HandlePollFailure(poll.Number, executor.Misdirected)
	h.collect()
	poll = h.polls[len(h.polls)-1]
	require.Equal(t, "w", poll.Upstream.ID)
	h.place(fillingRun, 8000)
	require.Empty(t, h.starts, "run 1 still uses a part of the worker")
	h.answerPoll(poll.Number, []messenger.Progress{{Run: run1, Percent: 50}})
	require.Empty(t, h.starts)
}
