package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

func TestSoundWorkerIsNotTakenForSlowWhenItsAnswersAreLost(t *testing.T) {
	tests := []struct {
		name string
		// start plays the start of a run of 60 ms.
		start func(b *bench)
	}{
		{"answers to looks", func(b *bench) { b.running(run1) }},
		{"answers to starts", func(b *bench) {
			b.place(run1, 1000)
			b.x.Started(run1, b.starts[0].Token, executor.Unanswered)
			b.drain()
			b.lookAnswered(b.lastLook, []messenger.Progress{{Run: run1, Percent: 20}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			tt.start(b)
			// The worker answers nothing while the run ends.
			b.pass(400 * time.Millisecond)
			b.lookAnswered(b.lastLook, nil, executor.Ended{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
			tells := b.tells
			b.pass(200 * time.Millisecond)
			for _, r := range append(tells, b.tells...) {
				require.Zero(t, r.PaceJobs, "%+v", r)
			}
		})
	}
}
