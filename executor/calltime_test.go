package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// playStarts plays n starts with an outcome that is known after a time, and returns the
// time that the last one was given.
func (b *harness) playStarts(n int, took time.Duration, out executor.CallResult) time.Duration {
	var within time.Duration
	for range n {
		b.place(messenger.Run{Task: fmt.Sprintf("c%d.0.0.0", b.placed), Number: 1}, 10)
		s := b.starts[0]
		within = s.Timeout
		b.clock.Advance(took)
		b.x.HandleStartResult(s.Run, s.Token, out)
		b.collect()
		if out == executor.Unanswered {
			// It took effect.
			b.answerPoll(b.lastPoll, []messenger.Progress{{Run: s.Run}})
			b.answerPoll(b.lastPoll, nil, executor.EndRecord{Number: int64(b.placed), RunEnd: messenger.RunEnd{Run: s.Run, Reason: messenger.RunDone}})
		}
	}
	return within
}

// TestStartsCountAsUnansweredByHowLongCallsTakeLately guards against a lost start that
// takes half of what a short job has to spare, and against a time that is too short
// for a worker which has become slower.
func TestStartsCountAsUnansweredByHowLongCallsTakeLately(t *testing.T) {
	tests := []struct {
		name string
		play func(b *harness)
		want time.Duration
	}{
		{"nothing known", func(*harness) {}, 40 * time.Millisecond},
		{"few calls", func(b *harness) { b.playStarts(7, time.Millisecond, executor.Rejected) }, 40 * time.Millisecond},
		{"fast calls", func(b *harness) { b.playStarts(15, time.Millisecond, executor.Rejected) }, 10 * time.Millisecond},
		{"calls of 2 ms", func(b *harness) { b.playStarts(15, 2*time.Millisecond, executor.Rejected) }, 16 * time.Millisecond},
		{"slow calls", func(b *harness) { b.playStarts(15, 12*time.Millisecond, executor.Rejected) }, 40 * time.Millisecond},
		{"some lost", func(b *harness) {
			b.playStarts(11, time.Millisecond, executor.Rejected)
			b.playStarts(2, 10*time.Millisecond, executor.Unanswered)
		}, 10 * time.Millisecond},
		{"calls have become slower", func(b *harness) {
			b.playStarts(15, time.Millisecond, executor.Rejected)
			b.playStarts(8, 10*time.Millisecond, executor.Unanswered)
		}, 40 * time.Millisecond},
		{"long ago", func(b *harness) {
			b.playStarts(15, time.Millisecond, executor.Rejected)
			b.clock.Advance(6 * time.Second)
			b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.clock.Since(b.createdAt())})
			b.x.Tick()
			b.collect()
		}, 40 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t)
			b.answerPoll(b.lastPoll, nil)
			tt.play(b)
			require.Equal(t, tt.want, b.playStarts(1, time.Millisecond, executor.Rejected))
		})
	}
}

// createdAt returns when the executor was made, by its stamps.
func (b *harness) createdAt() time.Time { return b.clock.Now().Add(-b.stamp) }

// placeAll places a job's tasks after enough fast calls, and returns their starts.
func (b *harness) placeAll(tasks int) []executor.Start {
	b.answerPoll(b.lastPoll, nil)
	b.playStarts(15, time.Millisecond, executor.Rejected)
	p := messenger.Place{Number: b.placed + 1, Job: "j", Service: "quotes", MaxWait: time.Second, Echo: b.stamp}
	for i := range tasks {
		p.Tasks = append(p.Tasks, messenger.Task{
			Run:    messenger.Run{Task: fmt.Sprintf("j.0.0.%d", i), Number: 1},
			Demand: messenger.Resources{CPU: 100}, Estimate: 60 * time.Millisecond,
		})
	}
	b.placed++
	b.x.HandlePlace("e", p)
	b.collect()
	return b.starts
}

// timeOut lets a start go unanswered.
func (b *harness) timeOut(s executor.Start) {
	b.clock.Advance(s.Timeout)
	b.x.HandleStartResult(s.Run, s.Token, executor.Unanswered)
	b.collect()
}

// TestTimeoutThatIsTooShortCostsOnePoll guards against a worker that is set aside, and
// runs that are refused, since starts which took effect were answered too late.
func TestTimeoutThatIsTooShortCostsOnePoll(t *testing.T) {
	for _, tasks := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d starts", tasks), func(t *testing.T) {
			b := newHarness(t)
			starts := b.placeAll(tasks)
			require.Len(t, starts, tasks)
			b.clock.Advance(starts[0].Timeout)
			var looks []executor.Poll
			for _, s := range starts {
				b.x.HandleStartResult(s.Run, s.Token, executor.Unanswered)
				b.collect()
				looks = append(looks, b.polls...)
				require.Empty(t, b.refused())
				for _, r := range b.reports {
					require.Zero(t, r.UnansweredCalls, "the worker is not set aside")
				}
			}
			require.Len(t, looks, 1)
			require.Zero(t, looks[0].MaxWait, "the answer is needed at once")
			require.False(t, looks[0].LeaseUntil.IsZero(), "leases are renewed")
			var running []messenger.Progress
			for _, s := range starts {
				running = append(running, messenger.Progress{Run: s.Run, Percent: 1})
			}
			b.answerPoll(looks[0].Number, running)
			require.Empty(t, b.starts, "no run is sent again")
			require.Empty(t, b.refused())
			require.Empty(t, b.ended())
			require.NotZero(t, b.polls[0].MaxWait, "the next look waits for an end")
		})
	}
}

// TestStartThatDidNothingIsSentAgainWithTheLongestTime guards against runs that are
// refused since several short time-outs follow each other.
func TestStartThatDidNothingIsSentAgainWithTheLongestTime(t *testing.T) {
	b := newHarness(t)
	s := b.placeAll(1)[0]
	require.Equal(t, 10*time.Millisecond, s.Timeout)
	b.timeOut(s)
	b.answerPoll(b.lastPoll, nil)
	require.Len(t, b.starts, 1)
	require.Greater(t, b.starts[0].Token, s.Token, "the first start can do nothing any more")
	require.Equal(t, 40*time.Millisecond, b.starts[0].Timeout)
}

// TestUnresponsiveWorkerIsReported guards against a worker that answers nothing and gets
// run after run, each of which is in doubt for a short time only.
func TestUnresponsiveWorkerIsReported(t *testing.T) {
	b := newHarness(t)
	first := b.placeAll(1)[0]
	b.timeOut(first)
	unanswered := 0
	for range 4 {
		b.place(messenger.Run{Task: fmt.Sprintf("c%d.0.0.0", b.placed), Number: 1}, 10)
		require.Len(t, b.starts, 1)
		s := b.starts[0]
		b.timeOut(s)
		for _, r := range b.reports {
			unanswered = max(unanswered, r.UnansweredCalls)
		}
	}
	require.Positive(t, unanswered)
}

// TestPollDoesNotConfirmAStartOfItsOwnToken guards against a start that is taken for one
// that did nothing since a look which cannot fence it off does not list it, and that
// takes effect later.
func TestPollDoesNotConfirmAStartOfItsOwnToken(t *testing.T) {
	b := newHarness(t)
	first := b.placeAll(1)[0]
	b.timeOut(first)
	require.Len(t, b.polls, 1)
	open := b.polls[0]
	b.place(messenger.Run{Task: "k.0.0.0", Number: 1}, 10)
	require.Len(t, b.starts, 1)
	second := b.starts[0]
	require.Equal(t, open.Token, second.Token)
	b.timeOut(second)
	require.Len(t, b.polls, 1)
	require.Greater(t, b.polls[0].Token, second.Token)
	b.answerPoll(open.Number, nil)
	require.Empty(t, b.starts, "the open look says nothing of either start")
	b.answerPoll(b.lastPoll, nil)
	require.Len(t, b.starts, 2)
	for _, s := range b.starts {
		require.Greater(t, s.Token, second.Token)
	}
}
