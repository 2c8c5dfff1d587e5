package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

// oddJobs returns jobs with a field out of its bounds, by what the error names.
func oddJobs(f *fixture) map[string]scheduler.Job {
	change := func(edit func(s *scheduler.Step)) scheduler.Job {
		j := f.job("0dd0", 1)
		edit(&j.Steps[0])
		return j
	}
	none, many, sum := f.job("0dd0", 1), f.job("0dd0", 1), f.job("0dd0", scheduler.MaxTasks)
	none.Steps = nil
	many.Steps = make([]scheduler.Step, scheduler.MaxSteps+1)
	sum.Steps = append(sum.Steps, sum.Steps[0])
	return map[string]scheduler.Job{
		"steps: 0,":                 none,
		"steps: 257,":               many,
		"steps[1].count: 10000,":    sum,
		"steps[0].count: 0,":        change(func(s *scheduler.Step) { s.Count = 0 }),
		"steps[0].count: 2000":      change(func(s *scheduler.Step) { s.Count = 2_000_000_000 }),
		"steps[0].estimate: -1ns,":  change(func(s *scheduler.Step) { s.Estimate = -1 }),
		"steps[0].estimate: 25h":    change(func(s *scheduler.Step) { s.Estimate = 25 * time.Hour }),
		"steps[0].after: 1 steps,":  change(func(s *scheduler.Step) { s.After = []int{1} }),
		"steps[0].after: 2 steps,":  change(func(s *scheduler.Step) { s.After = []int{-1, 2_000_000_000} }),
		"steps[0].after: 3 steps, ": change(func(s *scheduler.Step) { s.After = []int{0, 0, 0} }),
	}
}

func TestJobsWithAFieldOutOfItsBoundsAreInvalid(t *testing.T) {
	f := newFixture(t)
	for want, j := range oddJobs(f) {
		require.ErrorContains(t, j.Validate(), want)
	}
	for _, after := range [][]int{{0, 0}, {1}, {-1}, {2_000_000_000}} {
		j := f.job("0dd0", 1)
		j.Steps = append(j.Steps, j.Steps[0])
		j.Steps[1].After = after
		if len(after) > 1 {
			require.ErrorContains(t, j.Validate(), "steps[1].after: 2 steps,")
			continue
		}
		require.ErrorContains(t, j.Validate(), "steps[1].after: step ")
	}
}

// Guards against a panic of the entry on an index of a caller's that is used unchecked.
func TestAStepAfterOneThatIsNotThereEndsNoOtherJob(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.submitPlaced(1, f.job(jobID, 1))
	for want, j := range oddJobs(f) {
		f.s.Submit(2, j)
		f.takeEffects()
		require.Equal(t, scheduler.Impossible, f.replies[2].Outcome)
		require.Contains(t, f.replies[2].Why, want)
		require.Equal(t, scheduler.Unknown, f.s.State("0dd0").Outcome)
	}
	require.Equal(t, scheduler.Running, f.s.State(jobID).Outcome)
}
