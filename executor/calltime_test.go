package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// playStarts plays n starts whose result is known after took, and returns the timeout
// of the last one.
func (h *harness) playStarts(n int, took time.Duration, result executor.CallResult) time.Duration {
	var timeout time.Duration
	for range n {
		h.place(messenger.Run{Task: fmt.Sprintf("c%d.0.0.0", h.placed), Number: 1}, 10)
		s := h.starts[0]
		timeout = s.Timeout
		h.clock.Advance(took)
		h.x.HandleStartResult(s.Run, s.Token, result)
		h.collect()
		if result == executor.Unanswered {
			// The start took effect.
			h.answerPoll(h.lastPoll, []messenger.Progress{{Run: s.Run}})
			h.answerPoll(h.lastPoll, nil, executor.EndRecord{Number: int64(h.placed), RunEnd: messenger.RunEnd{Run: s.Run, Reason: messenger.RunDone}})
		}
	}
	return timeout
}

// TestTimeoutOfStartsFollowsRecentCallDurations guards against a lost start that takes
// half of the time that a short job has to spare, and against a timeout that is too
// short for a worker which has become slower.
func TestTimeoutOfStartsFollowsRecentCallDurations(t *testing.T) {
	tests := []struct {
		name string
		play func(h *harness)
		want time.Duration
	}{
		{"nothing known", func(*harness) {}, 40 * time.Millisecond},
		{"few calls", func(h *harness) { h.playStarts(7, time.Millisecond, executor.Rejected) }, 40 * time.Millisecond},
		{"fast calls", func(h *harness) { h.playStarts(15, time.Millisecond, executor.Rejected) }, 10 * time.Millisecond},
		{"calls of 2 ms", func(h *harness) { h.playStarts(15, 2*time.Millisecond, executor.Rejected) }, 16 * time.Millisecond},
		{"slow calls", func(h *harness) { h.playStarts(15, 12*time.Millisecond, executor.Rejected) }, 40 * time.Millisecond},
		{"some lost", func(h *harness) {
			h.playStarts(11, time.Millisecond, executor.Rejected)
			h.playStarts(2, 10*time.Millisecond, executor.Unanswered)
		}, 10 * time.Millisecond},
		{"calls have become slower", func(h *harness) {
			h.playStarts(15, time.Millisecond, executor.Rejected)
			h.playStarts(8, 10*time.Millisecond, executor.Unanswered)
		}, 40 * time.Millisecond},
		{"calls of long ago", func(h *harness) {
			h.playStarts(15, time.Millisecond, executor.Rejected)
			h.clock.Advance(6 * time.Second)
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.clock.Since(h.createdAt())})
			h.x.Tick()
			h.collect()
		}, 40 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.answerPoll(h.lastPoll, nil)
			tt.play(h)
			require.Equal(t, tt.want, h.playStarts(1, time.Millisecond, executor.Rejected))
		})
	}
}

// createdAt returns when the executor was created, by its timestamps.
func (h *harness) createdAt() time.Time { return h.clock.Now().Add(-h.timestamp) }

// placeAll places a job's tasks after enough fast calls for a short timeout, and
// returns their starts.
func (h *harness) placeAll(tasks int) []executor.Start {
	h.answerPoll(h.lastPoll, nil)
	h.playStarts(15, time.Millisecond, executor.Rejected)
	p := messenger.Place{Number: h.placed + 1, Job: "j", Service: "quotes", MaxWait: time.Second, Echo: h.timestamp}
	for i := range tasks {
		p.Tasks = append(p.Tasks, messenger.Task{
			Run:    messenger.Run{Task: fmt.Sprintf("j.0.0.%d", i), Number: 1},
			Demand: messenger.Resources{CPU: 100}, Estimate: 60 * time.Millisecond,
		})
	}
	h.placed++
	h.x.HandlePlace("e", p)
	h.collect()
	return h.starts
}

// timeOut advances the clock by the timeout of a start, which goes unanswered.
func (h *harness) timeOut(s executor.Start) {
	h.clock.Advance(s.Timeout)
	h.x.HandleStartResult(s.Run, s.Token, executor.Unanswered)
	h.collect()
}

// TestTimeoutThatIsTooShortCostsOnePoll guards against a worker that is avoided, and
// runs that are refused, because starts which took effect were answered too late.
func TestTimeoutThatIsTooShortCostsOnePoll(t *testing.T) {
	for _, tasks := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d starts", tasks), func(t *testing.T) {
			h := newHarness(t)
			starts := h.placeAll(tasks)
			require.Len(t, starts, tasks)
			h.clock.Advance(starts[0].Timeout)
			var sent []executor.Poll
			for _, s := range starts {
				h.x.HandleStartResult(s.Run, s.Token, executor.Unanswered)
				h.collect()
				sent = append(sent, h.polls...)
				require.Empty(t, h.refused())
				for _, r := range h.reports {
					require.Zero(t, r.UnansweredCalls, "the worker does not count as unresponsive")
				}
			}
			require.Len(t, sent, 1)
			require.Zero(t, sent[0].MaxWait, "the answer is needed at once")
			require.False(t, sent[0].LeaseUntil.IsZero(), "leases are renewed")
			var running []messenger.Progress
			for _, s := range starts {
				running = append(running, messenger.Progress{Run: s.Run, Percent: 1})
			}
			h.answerPoll(sent[0].Number, running)
			require.Empty(t, h.starts, "no run is sent again")
			require.Empty(t, h.refused())
			require.Empty(t, h.ended())
			require.NotZero(t, h.polls[0].MaxWait, "the next poll waits for an end")
		})
	}
}

// TestStartThatHadNoEffectIsSentAgainWithTheLongestTimeout guards against runs that are
// refused because several short timeouts follow each other.
func TestStartThatHadNoEffectIsSentAgainWithTheLongestTimeout(t *testing.T) {
	h := newHarness(t)
	s := h.placeAll(1)[0]
	require.Equal(t, 10*time.Millisecond, s.Timeout)
	h.timeOut(s)
	h.answerPoll(h.lastPoll, nil)
	require.Len(t, h.starts, 1)
	require.Greater(t, h.starts[0].Token, s.Token, "the first start cannot take effect any more")
	require.Equal(t, 40*time.Millisecond, h.starts[0].Timeout)
}

// TestUnresponsiveWorkerIsReported guards against a worker that answers nothing and
// gets run after run, each of which is unconfirmed for a short time only.
func TestUnresponsiveWorkerIsReported(t *testing.T) {
	h := newHarness(t)
	first := h.placeAll(1)[0]
	h.timeOut(first)
	unanswered := 0
	for range 4 {
		h.place(messenger.Run{Task: fmt.Sprintf("c%d.0.0.0", h.placed), Number: 1}, 10)
		require.Len(t, h.starts, 1)
		s := h.starts[0]
		h.timeOut(s)
		for _, r := range h.reports {
			unanswered = max(unanswered, r.UnansweredCalls)
		}
	}
	require.Positive(t, unanswered)
}

// TestPollDoesNotConfirmAStartOfItsOwnToken guards against a start that takes effect
// after it was taken for one without effect, because a poll that cannot fence it off
// did not list it.
func TestPollDoesNotConfirmAStartOfItsOwnToken(t *testing.T) {
	h := newHarness(t)
	first := h.placeAll(1)[0]
	h.timeOut(first)
	require.Len(t, h.polls, 1)
	open := h.polls[0]
	h.place(messenger.Run{Task: "k.0.0.0", Number: 1}, 10)
	require.Len(t, h.starts, 1)
	second := h.starts[0]
	require.Equal(t, open.Token, second.Token)
	h.timeOut(second)
	require.Len(t, h.polls, 1)
	require.Greater(t, h.polls[0].Token, second.Token)
	h.answerPoll(open.Number, nil)
	require.Empty(t, h.starts, "the open poll shows nothing about either start")
	h.answerPoll(h.lastPoll, nil)
	require.Len(t, h.starts, 2)
	for _, s := range h.starts {
		require.Greater(t, s.Token, second.Token)
	}
}
