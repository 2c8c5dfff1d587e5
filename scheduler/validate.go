package scheduler

import (
	"fmt"
	"time"
)

const (
	// MaxSteps bounds the steps of a job, and MaxTasks the tasks of all its steps
	// together: a task takes about 300 bytes of an entry, and part of each scheduling
	// pass while it waits.
	MaxSteps = 256
	MaxTasks = 10_000
	// MaxEstimate bounds the estimate of a task. The sum over MaxSteps steps stays far
	// within a time.Duration.
	MaxEstimate = 24 * time.Hour
)

// Validate returns an Invalid error that names the first field of the job that is missing
// or out of its bounds. It has to be called before anything is computed from a job that a
// caller has sent.
func (j Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalidJob("steps: %d, not 1 to %d", len(j.Steps), MaxSteps)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > MaxTasks-tasks {
			return invalidJob("steps[%d].count: %d, not 1 to %d for all steps together", i, s.Count, MaxTasks)
		}
		tasks += s.Count
		if err := s.validate(i); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an Invalid error if a field of the step with an index, other than its
// count, is out of its bounds.
func (s Step) validate(index int) error {
	if s.Estimate < 0 || s.Estimate > MaxEstimate {
		return invalidJob("steps[%d].estimate: %v, not 0 to %v", index, s.Estimate, MaxEstimate)
	}
	if len(s.After) > index {
		return invalidJob("steps[%d].after: %d steps, more than there are before it", index, len(s.After))
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return invalidJob("steps[%d].after: step %d does not come before it", index, a)
		}
	}
	return nil
}

func invalidJob(format string, args ...any) error {
	return &Error{Op: "job", Kind: Invalid, Text: fmt.Sprintf(format, args...)}
}
