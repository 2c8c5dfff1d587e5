package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// outlook is how soon an agent is expected to have room for a task.
type outlook struct {
	near bool
	// span is the index of the first of the ForecastHorizons within which there will be
	// room. Agents that do not tell come after these, and before those that will
	// not have it within any.
	span int
	// share is the room that is free now over the room wanted.
	share float64
	// order is the agent's place in the job's own order of agents, so that entries
	// ask different ones of those that are alike.
	order uint64
}

// Values of outlook.span beside the indexes of ForecastHorizons.
const (
	spanUnknown = len(messenger.ForecastHorizons)
	spanLate    = spanUnknown + 1
)

func (o outlook) better(p outlook) bool {
	switch {
	case o.near != p.near:
		return o.near
	case o.span != p.span:
		return o.span < p.span
	case o.share != p.share:
		return o.share > p.share
	}
	return o.order < p.order
}

// soonestAgent returns the agent at which room for a task is expected first; nil
// when none can be asked.
func (s *Scheduler) soonestAgent(t *task, now time.Time) *agent {
	var best *agent
	var bestOutlook outlook
	for _, a := range s.byName {
		if !s.mayReserveAt(a, t, now) {
			continue
		}
		o := a.outlook(t)
		if best == nil || o.better(bestOutlook) {
			best = a
			bestOutlook = o
		}
	}
	return best
}

// mayReserveAt reports whether an agent may be asked to keep room for a task.
func (s *Scheduler) mayReserveAt(a *agent, t *task, now time.Time) bool {
	step := t.job.Steps[t.step]
	return a.reservation == nil &&
		a.report.Backfill.Window == 0 && // It keeps room for another entry otherwise.
		!now.Before(a.reserveNext) &&
		!now.Before(t.avoid[a.name]) &&
		t.demand().FitsIn(a.upstream.Capacity) &&
		!a.health.ejected &&
		a.serves(t.job.Queue, s.config, now, s.woke) && a.sound(now) && a.suits(step) &&
		(step.Spread == 0 || a.of(t.job, t.step) < step.Spread)
}

// outlook returns how soon the agent is expected to have room for a task.
func (a *agent) outlook(t *task) outlook {
	d := t.demand()
	room := a.free().NonNegative()
	o := outlook{near: a.near(t.job.Steps[t.step]), span: spanUnknown, share: coverage(room, d), order: t.job.order(a)}
	if len(a.report.Forecast) == 0 {
		return o
	}
	o.span = slices.IndexFunc(a.ahead(), func(more messenger.Resources) bool { return d.FitsIn(room.Plus(more)) })
	if o.span < 0 {
		o.span = spanLate
	}
	return o
}

// coverage returns the share of a demand that room covers, in the respect in which
// it covers least.
func coverage(room, d messenger.Resources) float64 {
	least := 1.0
	for _, p := range [...][2]int{{room.CPU, d.CPU}, {room.Memory, d.Memory}, {room.GPU, d.GPU}} {
		if p[1] > 0 {
			least = min(least, float64(p[0])/float64(p[1]))
		}
	}
	return least
}
