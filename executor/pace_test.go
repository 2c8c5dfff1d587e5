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
		start func(b *harness)
	}{
		{"answers to looks", func(b *harness) { b.startAccepted(run1) }},
		{"answers to starts", func(b *harness) {
			b.place(run1, 1000)
			b.x.HandleStartResult(run1, b.starts[0].Token, executor.Unanswered)
			b.collect()
			b.answerPoll(b.lastPoll, []messenger.Progress{{Run: run1, Percent: 20}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t)
			tt.start(b)
			// The worker answers nothing while the run ends.
			b.passUnanswered(400 * time.Millisecond)
			b.answerPoll(b.lastPoll, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
			tells := b.reports
			b.passUnanswered(200 * time.Millisecond)
			for _, r := range append(tells, b.reports...) {
				require.Zero(t, r.PaceJobs, "%+v", r)
			}
		})
	}
}
