package acceptor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// linksBase is the number of links that an entry keeps in use when it is not
	// short of room, linksIdle the same for one that has next to nothing to do, and
	// linksMost the number that it never exceeds. They bound the messages of an
	// entry and of an agent, whatever the fleet's size.
	linksBase = 24
	linksIdle = 12
	linksMost = 96
	// idleWorkers is the work, in workers that it keeps busy, below which an entry
	// has next to nothing to do.
	idleWorkers = 0.25
	// linksGrowth is by what share the number rises each time that the entry is
	// short of room: a burst is over within seconds.
	linksGrowth = 0.5
	// linksStep is by how much it falls after each linksRest without shortage.
	linksStep = 8
	linksRest = 2 * time.Second
	// linksPerWorker is the number of links for each worker that the entry's work
	// keeps busy. Other entries use the same workers, and a job whose tasks are
	// large needs several that have room.
	linksPerWorker = 4
)

// budget is how many links an entry keeps in use. It answers an entry that gets
// more callers than its agents can serve, in a burst or since the balancer sends
// it more than others; an entry that has room needs few, and each link costs
// heartbeats at both ends.
type budget struct {
	most int
	// calmSince is when the number last had to rise or stay, or last fell.
	calmSince time.Time
}

func newBudget() budget { return budget{most: linksBase} }

// adjust takes in what the entry needs, and reports whether the number has
// changed. More links than there are agents are of no use.
func (b *budget) adjust(need scheduler.CapacityNeed, agents int, now time.Time) bool {
	least := linksFor(need.Workers)
	next := max(b.most, least)
	switch {
	case need.Shortage && next < agents:
		next = min(next+int(linksGrowth*float64(next)), linksMost)
	case !need.Shortage && now.Sub(b.calmSince) >= linksRest:
		next = max(next-linksStep, least)
	}
	if need.Shortage || next != b.most {
		b.calmSince = now
	}
	changed := next != b.most
	b.most = next
	return changed
}

// linksFor returns the least number of links for work that keeps some workers
// busy.
func linksFor(workers float64) int {
	if workers < idleWorkers {
		return linksIdle
	}
	return min(max(int(linksPerWorker*workers), linksBase), linksMost)
}
