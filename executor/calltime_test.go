package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// calls plays n starts with an outcome that is known after a time, and returns the
// time that the last one was given.
func (b *bench) calls(n int, took time.Duration, out executor.Outcome) time.Duration {
	var within time.Duration
	for range n {
		b.place(messenger.Run{Task: fmt.Sprintf("c%d.0.0.0", b.placed), Number: 1}, 10)
		s := b.starts[0]
		within = s.Within
		b.clock.Advance(took)
		b.x.Started(s.Run, s.Token, out)
		b.drain()
		if out == executor.Unanswered {
			// It took effect.
			b.lookAnswered(b.lastLook, []messenger.Progress{{Run: s.Run}})
			b.lookAnswered(b.lastLook, nil, executor.Ended{Number: int64(b.placed), RunEnd: messenger.RunEnd{Run: s.Run, Reason: messenger.RunDone}})
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
		play func(b *bench)
		want time.Duration
	}{
		{"nothing known", func(*bench) {}, 40 * time.Millisecond},
		{"few calls", func(b *bench) { b.calls(7, time.Millisecond, executor.Rejected) }, 40 * time.Millisecond},
		{"fast calls", func(b *bench) { b.calls(15, time.Millisecond, executor.Rejected) }, 10 * time.Millisecond},
		{"calls of 2 ms", func(b *bench) { b.calls(15, 2*time.Millisecond, executor.Rejected) }, 16 * time.Millisecond},
		{"slow calls", func(b *bench) { b.calls(15, 12*time.Millisecond, executor.Rejected) }, 40 * time.Millisecond},
		{"some lost", func(b *bench) {
			b.calls(11, time.Millisecond, executor.Rejected)
			b.calls(2, 10*time.Millisecond, executor.Unanswered)
		}, 10 * time.Millisecond},
		{"calls have become slower", func(b *bench) {
			b.calls(15, time.Millisecond, executor.Rejected)
			b.calls(8, 10*time.Millisecond, executor.Unanswered)
		}, 40 * time.Millisecond},
		{"long ago", func(b *bench) {
			b.calls(15, time.Millisecond, executor.Rejected)
			b.clock.Advance(6 * time.Second)
			b.x.Beat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.clock.Since(b.start())})
			b.x.Tick()
			b.drain()
		}, 40 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.lookAnswered(b.lastLook, nil)
			tt.play(b)
			require.Equal(t, tt.want, b.calls(1, time.Millisecond, executor.Rejected))
		})
	}
}

// start returns when the executor was made, by its stamps.
func (b *bench) start() time.Time { return b.clock.Now().Add(-b.stamp) }

// startAll places a job's tasks after enough fast calls, and returns their starts.
func (b *bench) startAll(tasks int) []executor.Start {
	b.lookAnswered(b.lastLook, nil)
	b.calls(15, time.Millisecond, executor.Rejected)
	p := messenger.Place{Number: b.placed + 1, Job: "j", Service: "quotes", MaxWait: time.Second, Echo: b.stamp}
	for i := range tasks {
		p.Tasks = append(p.Tasks, messenger.Task{
			Run:    messenger.Run{Task: fmt.Sprintf("j.0.0.%d", i), Number: 1},
			Demand: messenger.Resources{CPU: 100}, Estimate: 60 * time.Millisecond,
		})
	}
	b.placed++
	b.x.Place("e", p)
	b.drain()
	return b.starts
}

// timeOut lets a start go unanswered.
func (b *bench) timeOut(s executor.Start) {
	b.clock.Advance(s.Within)
	b.x.Started(s.Run, s.Token, executor.Unanswered)
	b.drain()
}

// TestTimeOutThatIsTooShortCostsOneLook guards against a worker that is set aside, and
// runs that are refused, since starts which took effect were answered too late.
func TestTimeOutThatIsTooShortCostsOneLook(t *testing.T) {
	for _, tasks := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d starts", tasks), func(t *testing.T) {
			b := newBench(t)
			starts := b.startAll(tasks)
			require.Len(t, starts, tasks)
			b.clock.Advance(starts[0].Within)
			var looks []executor.Look
			for _, s := range starts {
				b.x.Started(s.Run, s.Token, executor.Unanswered)
				b.drain()
				looks = append(looks, b.looks...)
				require.Empty(t, b.refused())
				for _, r := range b.tells {
					require.Zero(t, r.UnansweredCalls, "the worker is not set aside")
				}
			}
			require.Len(t, looks, 1)
			require.Zero(t, looks[0].Wait, "the answer is needed at once")
			require.False(t, looks[0].Until.IsZero(), "leases are renewed")
			var running []messenger.Progress
			for _, s := range starts {
				running = append(running, messenger.Progress{Run: s.Run, Percent: 1})
			}
			b.lookAnswered(looks[0].Number, running)
			require.Empty(t, b.starts, "no run is sent again")
			require.Empty(t, b.refused())
			require.Empty(t, b.ended())
			require.NotZero(t, b.looks[0].Wait, "the next look waits for an end")
		})
	}
}

// TestStartThatDidNothingIsSentAgainWithTheLongestTime guards against runs that are
// refused since several short time-outs follow each other.
func TestStartThatDidNothingIsSentAgainWithTheLongestTime(t *testing.T) {
	b := newBench(t)
	s := b.startAll(1)[0]
	require.Equal(t, 10*time.Millisecond, s.Within)
	b.timeOut(s)
	b.lookAnswered(b.lastLook, nil)
	require.Len(t, b.starts, 1)
	require.Greater(t, b.starts[0].Token, s.Token, "the first start can do nothing any more")
	require.Equal(t, 40*time.Millisecond, b.starts[0].Within)
}

// TestWorkerThatIsMuteIsReported guards against a worker that answers nothing and gets
// run after run, each of which is in doubt for a short time only.
func TestWorkerThatIsMuteIsReported(t *testing.T) {
	b := newBench(t)
	first := b.startAll(1)[0]
	b.timeOut(first)
	unanswered := 0
	for range 4 {
		b.place(messenger.Run{Task: fmt.Sprintf("c%d.0.0.0", b.placed), Number: 1}, 10)
		require.Len(t, b.starts, 1)
		s := b.starts[0]
		b.timeOut(s)
		for _, r := range b.tells {
			unanswered = max(unanswered, r.UnansweredCalls)
		}
	}
	require.Positive(t, unanswered)
}

// TestLookDoesNotClearAStartOfItsOwnToken guards against a start that is taken for one
// that did nothing since a look which cannot fence it off does not list it, and that
// takes effect later.
func TestLookDoesNotClearAStartOfItsOwnToken(t *testing.T) {
	b := newBench(t)
	first := b.startAll(1)[0]
	b.timeOut(first)
	require.Len(t, b.looks, 1)
	open := b.looks[0]
	b.place(messenger.Run{Task: "k.0.0.0", Number: 1}, 10)
	require.Len(t, b.starts, 1)
	second := b.starts[0]
	require.Equal(t, open.Token, second.Token)
	b.timeOut(second)
	require.Len(t, b.looks, 1)
	require.Greater(t, b.looks[0].Token, second.Token)
	b.lookAnswered(open.Number, nil)
	require.Empty(t, b.starts, "the open look says nothing of either start")
	b.lookAnswered(b.lastLook, nil)
	require.Len(t, b.starts, 2)
	for _, s := range b.starts {
		require.Greater(t, s.Token, second.Token)
	}
}
