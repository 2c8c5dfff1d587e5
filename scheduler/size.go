package scheduler

import "github.com/pomeloferry/pomeloferry/messenger"

// largeDivisor is the inverse of the smallest share of a worker's resource that makes a
// task large: 4 means a quarter.
const largeDivisor = 4

// Size is the size of a task relative to the workers.
type Size string

// The values of Size.
const (
	Small Size = "small"
	// Large tasks take a quarter or more of a worker, in any resource.
	Large Size = "large"
)

// isLarge reports whether a task with demand d is large on a worker.
func isLarge(d, worker messenger.Resources) bool {
	return isLargePart(d.CPU, worker.CPU) || isLargePart(d.Memory, worker.Memory) || isLargePart(d.GPU, worker.GPU)
}

// isLargePart reports whether part is at least 1/largeDivisor of whole. It is false if
// either is zero.
func isLargePart(part, whole int) bool { return part > 0 && whole > 0 && largeDivisor*part >= whole }

// updateMaxCapacity sets the maximum of each resource over the workers of a service.
func (s *Scheduler) updateMaxCapacity(service string) {
	var largest messenger.Resources
	for _, a := range s.agentsByName {
		if a.upstream.Born != 0 && a.upstream.Service == service {
			largest = largest.Max(a.upstream.Capacity)
		}
	}
	if largest.IsZero() {
		delete(s.maxCapacity, service)
		return
	}
	s.maxCapacity[service] = largest
}

// largeForAnyService reports whether a demand is large on the workers of some service.
func (s *Scheduler) largeForAnyService(d messenger.Resources) bool {
	for _, worker := range s.maxCapacity {
		if isLarge(d, worker) {
			return true
		}
	}
	return false
}

// sizeOf returns the size of the tasks of a step.
func (s *Scheduler) sizeOf(j *job, step int) Size {
	if isLarge(j.Steps[step].Demand, s.maxCapacity[j.Queue.Service]) {
		return Large
	}
	return Small
}

// sizeOfJob returns Large if the tasks of any step of a job are large.
func (s *Scheduler) sizeOfJob(j *job) Size {
	for step := range j.Steps {
		if s.sizeOf(j, step) == Large {
			return Large
		}
	}
	return Small
}

// waitingLargeTask returns the first task of a job that is large and ready; nil when
// there is none.
func (s *Scheduler) waitingLargeTask(j *job) *task {
	for step := range j.Steps {
		if s.sizeOf(j, step) != Large {
			continue
		}
		for _, t := range j.tasks {
			if t.step == step && t.state == ready {
				return t
			}
		}
	}
	return nil
}
