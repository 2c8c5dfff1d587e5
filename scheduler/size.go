package scheduler

import "github.com/pomeloferry/pomeloferry/messenger"

// largeShare is the inverse of the share of a worker's resource from which on a task
// counts as large.
const largeShare = 4

// Size is how large a task is against the workers.
type Size string

// The sizes.
const (
	Small Size = "small"
	// Large tasks take a quarter of a worker or more, in any resource.
	Large Size = "large"
)

// large reports whether a task is large on a worker.
func large(d, worker messenger.Resources) bool {
	return takesMuch(d.CPU, worker.CPU) || takesMuch(d.Memory, worker.Memory) || takesMuch(d.GPU, worker.GPU)
}

// takesMuch reports whether part is a large share of whole.
func takesMuch(part, whole int) bool { return part > 0 && whole > 0 && largeShare*part >= whole }

// updateLargest notes the most of each resource that a worker of a service has.
func (s *Scheduler) updateLargest(service string) {
	var most messenger.Resources
	for _, a := range s.byName {
		if a.upstream.Born != 0 && a.upstream.Service == service {
			most = most.Max(a.upstream.Capacity)
		}
	}
	if most.IsZero() {
		delete(s.largest, service)
		return
	}
	s.largest[service] = most
}

// mayBeLarge reports whether a task is large on the workers of some service.
func (s *Scheduler) mayBeLarge(d messenger.Resources) bool {
	for _, worker := range s.largest {
		if large(d, worker) {
			return true
		}
	}
	return false
}

// sizeOf returns the size of the tasks of a step.
func (s *Scheduler) sizeOf(j *job, step int) Size {
	if large(j.Steps[step].Demand, s.largest[j.Queue.Service]) {
		return Large
	}
	return Small
}

// largeTask returns the first task of a job that is large and waits; nil when
// there is none.
func (s *Scheduler) largeTask(j *job) *task {
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
