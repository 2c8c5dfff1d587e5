package acceptor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// baseLinks is the number of links that an entry keeps in use when it is not
	// short of room, idleLinks the same for one that has next to nothing to do, and
	// maxLinks the number that it never exceeds. They bound the messages of an
	// entry and of an agent, whatever the fleet's size.
	baseLinks = 24
	idleLinks = 12
	maxLinks  = 96
	// idleWorkerThreshold is the work, in workers that it keeps busy, below which an entry
	// has next to nothing to do.
	idleWorkerThreshold = 0.25
	// linkGrowthRatio is by what share the number rises each time that the entry is
	// short of room: a burst is over within seconds.
	linkGrowthRatio = 0.5
	// linkShrinkStep is by how much it falls after each linkShrinkInterval without shortage.
	linkShrinkStep     = 8
	linkShrinkInterval = 2 * time.Second
	// linksPerBusyWorker is the number of links for each worker that the entry's work
	// keeps busy. Other entries use the same workers, and a job whose tasks are
	// large needs several that have room.
	linksPerBusyWorker = 4
)

// linkBudget is how many links an entry keeps in use. It answers an entry that gets
// more callers than its agents can serve, in a burst or since the balancer sends
// it more than others; an entry that has room needs few, and each link costs
// heartbeats at both ends.
type linkBudget struct {
	limit int
	// cooldownStart is when the number last had to rise or stay, or last fell.
	cooldownStart time.Time
}

func newLinkBudget() linkBudget { return linkBudget{limit: baseLinks} }

// adjust takes in what the entry needs, and reports whether the number has
// changed. More links than there are agents are of no use.
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

// minLinksFor returns the least number of links for work that keeps some workers
// busy.
func minLinksFor(workers float64) int {
	if workers < idleWorkerThreshold {
		return idleLinks
	}
	return min(max(int(linksPerBusyWorker*workers), baseLinks), maxLinks)
}
