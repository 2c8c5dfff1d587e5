package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// availability is how soon an agent is expected to have free capacity for a task.
type availability struct {
	near bool
	// horizon is the index of the first of the ForecastHorizons within which there will be
	// enough capacity. Agents that report no forecast come after these, and before
	// those that will not have it within any.
	horizon int
	// freeShare is the capacity that is free now over the capacity needed.
	freeShare float64
	// order is the agent's position in the job's own order of agents, so that entries
	// ask different agents among equal ones.
	order uint64
}

// Values of outlook.span apart from the indexes of ForecastHorizons.
const (
	horizonUnknown = len(messenger.ForecastHorizons)
	horizonBeyond  = horizonUnknown + 1
)

func (o availability) better(p availability) bool {
	switch {
	case o.near != p.near:
		return o.near
	case o.horizon != p.horizon:
		return o.horizon < p.horizon
	case o.freeShare != p.freeShare:
		return o.freeShare > p.freeShare
	}
	return o.order < p.order
}

// soonestAgent returns the agent at which capacity for a task is expected first; nil
// when no agent can be asked.
func (s *Scheduler) soonestAgent(t *task, now time.Time) *agent {
	var best *agent
	var bestOutlook availability
	for _, a := range s.agentsByName {
		if !s.mayReserveAt(a, t, now) {
			continue
		}
		o := a.availability(t)
		if best == nil || o.better(bestOutlook) {
			best = a
			bestOutlook = o
		}
	}
	return best
}

// mayReserveAt reports whether an agent may be asked to reserve capacity for a task.
func (s *Scheduler) mayReserveAt(a *agent, t *task, now time.Time) bool {
	step := t.job.Steps[t.step]
	return a.reservation == nil &&
		a.report.Backfill.Window == 0 && // Otherwise it is reserving for another entry.
		!now.Before(a.nextReserveAt) &&
		!now.Before(t.avoidUntil[a.name]) &&
		t.demand().FitsIn(a.upstream.Capacity) &&
		!a.health.ejected &&
		a.acceptsQueue(t.job.Queue, s.config, now, s.resumedAt) && a.healthy(now) && a.matchesLabel(step) &&
		(step.MaxPerWorker == 0 || a.countPlaced(t.job, t.step) < step.MaxPerWorker)
}

// availability returns how soon the agent is expected to have free capacity for a task.
func (a *agent) availability(t *task) availability {
	d := t.demand()
	room := a.free().NonNegative()
	o := availability{near: a.near(t.job.Steps[t.step]), horizon: horizonUnknown, freeShare: coverage(room, d), order: t.job.agentOrder(a)}
	if len(a.report.Forecast) == 0 {
		return o
	}
	o.horizon = slices.IndexFunc(a.capacityForecast(), func(more messenger.Resources) bool { return d.FitsIn(room.Plus(more)) })
	if o.horizon < 0 {
		o.horizon = horizonBeyond
	}
	return o
}

// coverage returns the share of a demand that room covers, for the resource that it
// covers least.
func coverage(room, d messenger.Resources) float64 {
	least := 1.0
	for _, p := range [...][2]int{{room.CPU, d.CPU}, {room.Memory, d.Memory}, {room.GPU, d.GPU}} {
		if p[1] > 0 {
			least = min(least, float64(p[0])/float64(p[1]))
		}
	}
	return least
}
