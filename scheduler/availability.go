package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// availability is how soon an agent is expected to have free capacity for a task.
type availability struct {
	near bool
	// horizon is the index of the first of the ForecastHorizons within which there will
	// be enough capacity. Agents that report no forecast come after these, and before
	// those that will not have it within any.
	horizon int
	// freeShare is the capacity that is free now over the capacity needed.
	freeShare float64
	// tieBreak is the agent's position in the job's own order of agents, so that
	// entries choose different agents among equal ones.
	tieBreak uint64
}

// Values of availability.horizon apart from the indexes of ForecastHorizons.
const (
	horizonUnknown = len(messenger.ForecastHorizons)
	horizonBeyond  = horizonUnknown + 1
)

// better reports whether a is preferred to other.
func (a availability) better(other availability) bool {
	switch {
	case a.near != other.near:
		return a.near
	case a.horizon != other.horizon:
		return a.horizon < other.horizon
	case a.freeShare != other.freeShare:
		return a.freeShare > other.freeShare
	}
	return a.tieBreak < other.tieBreak
}

// soonestAgent returns the agent at which capacity for a task is expected first; nil
// when no agent may be asked to reserve it.
func (s *Scheduler) soonestAgent(t *task, now time.Time) *agent {
	var best *agent
	var bestAvailability availability
	for _, a := range s.agentsByName {
		if !s.mayReserveAt(a, t, now) {
			continue
		}
		candidate := a.availability(t)
		if best == nil || candidate.better(bestAvailability) {
			best = a
			bestAvailability = candidate
		}
	}
	return best
}

// mayReserveAt reports whether an agent may be asked to reserve capacity for a task.
func (s *Scheduler) mayReserveAt(a *agent, t *task, now time.Time) bool {
	return a.reservation == nil &&
		a.report.Backfill.Window == 0 && // Otherwise it is reserving for another entry.
		!now.Before(a.nextReserveAt) &&
		s.suits(a, t, now)
}

// suits reports whether an agent may run a task once its worker has free capacity for it.
func (s *Scheduler) suits(a *agent, t *task, now time.Time) bool {
	step := t.job.Steps[t.step]
	return !now.Before(t.avoidUntil[a.name]) &&
		t.demand().FitsIn(a.upstream.Capacity) &&
		!a.health.ejected &&
		s.accepts(a, t.job.Queue, now) && a.healthy(now) && a.matchesLabel(step) &&
		(step.MaxPerWorker == 0 || a.countPlaced(t.job, t.step) < step.MaxPerWorker)
}

// availability returns how soon the agent is expected to have free capacity for a task.
func (a *agent) availability(t *task) availability {
	d := t.demand()
	capacity := a.free().NonNegative()
	result := availability{near: a.near(t.job.Steps[t.step]), horizon: horizonUnknown, freeShare: coverage(capacity, d), tieBreak: t.job.agentOrder(a)}
	if len(a.report.Forecast) == 0 {
		return result
	}
	result.horizon = slices.IndexFunc(a.capacityForecast(), func(freed messenger.Resources) bool { return d.FitsIn(capacity.Plus(freed)) })
	if result.horizon < 0 {
		result.horizon = horizonBeyond
	}
	return result
}

// coverage returns the share of a demand that capacity covers, for the resource that it
// covers least.
func coverage(capacity, d messenger.Resources) float64 {
	minShare := 1.0
	for _, pair := range [...][2]int{{capacity.CPU, d.CPU}, {capacity.Memory, d.Memory}, {capacity.GPU, d.GPU}} {
		if pair[1] > 0 {
			minShare = min(minShare, float64(pair[0])/float64(pair[1]))
		}
	}
	return minShare
}
