package acceptor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// baseLinks is the minimum number of links of an entry that has work, idleLinks
	// that of an entry that has next to nothing to do, and maxLinks the number that
	// the budget never exceeds. They bound the messages of an entry and of an agent,
	// whatever the number of agents.
	baseLinks = 24
	idleLinks = 12
	maxLinks  = 96
	// idleWorkerThreshold is the work, as the number of workers that it keeps busy,
	// below which an entry has next to nothing to do.
	idleWorkerThreshold = 0.25
	// linkGrowthRatio is the share by which the number rises at each adjustment while
	// the entry is short of capacity. The number has to rise fast since a burst is
	// over within seconds.
	linkGrowthRatio = 0.5
	// linkShrinkStep is by how many links the number falls after each
	// linkShrinkInterval without shortage.
	linkShrinkStep     = 8
	linkShrinkInterval = 2 * time.Second
	// linksPerBusyWorker is the minimum number of links for each worker that the
	// entry's work keeps busy. Other entries use the same workers, and a job with
	// large tasks needs several workers that have free capacity.
	linksPerBusyWorker = 4
)

// linkBudget determines how many links an entry keeps for its tasks. An entry needs more
// of them if it gets more callers than its agents can serve, in a burst or because the
// balancer sends it more than others. An entry that is not short of capacity needs few,
// and each link costs heartbeats at both ends.
type linkBudget struct {
	// limit is the present number of links.
	limit int
	// cooldownStart is when capacity was last short or limit last changed. The number
	// falls linkShrinkInterval later at the earliest.
	cooldownStart time.Time
}

func newLinkBudget() linkBudget { return linkBudget{limit: baseLinks} }

// adjust adapts the limit to the entry's need and reports whether it has changed. The
// limit does not grow for a shortage once there is a link for every agent.
func (b *linkBudget) adjust(need scheduler.CapacityNeed, agents int, now time.Time) bool {
	minLinks := minLinksFor(need.Workers)
	next := max(b.limit, minLinks)
	switch {
	case need.Shortage && next < agents:
		next = min(next+int(linkGrowthRatio*float64(next)), maxLinks)
	case !need.Shortage && now.Sub(b.cooldownStart) >= linkShrinkInterval:
		next = max(next-linkShrinkStep, minLinks)
	}
	if need.Shortage || next != b.limit {
		b.cooldownStart = now
	}
	changed := next != b.limit
	b.limit = next
	return changed
}

// minLinksFor returns the minimum number of links for work that keeps the given number
// of workers busy.
func minLinksFor(workers float64) int {
	if workers < idleWorkerThreshold {
		return idleLinks
	}
	return min(max(int(linksPerBusyWorker*workers), baseLinks), maxLinks)
}
