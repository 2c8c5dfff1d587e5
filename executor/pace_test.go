package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

func TestHealthyWorkerIsNotRatedSlowWhenItsAnswersAreLost(t *testing.T) {
	tests := []struct {
		name string
		// start plays the start of a run of 60 ms.
		start func(h *harness)
	}{
		{"answers to polls", func(h *harness) { h.startAccepted(run1) }},
		{"answers to starts", func(h *harness) {
			h.place(run1, 1000)
			h.x.HandleStartResult(run1, h.starts[0].Token, executor.Unanswered)
			h.collect()
			h.answerPoll(h.lastPoll, []messenger.Progress{{Run: run1, Percent: 20}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			tt.start(h)
			// The worker answers nothing while the run ends.
			h.passUnanswered(400 * time.Millisecond)
			h.answerPoll(h.lastPoll, nil, executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
			earlier := h.reports
			h.passUnanswered(200 * time.Millisecond)
			for _, r := range append(earlier, h.reports...) {
				require.Zero(t, r.PaceJobs, "%+v", r)
			}
		})
	}
}
