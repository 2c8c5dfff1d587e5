package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// refusalHalfLife is the half-life of the refusal stats of a queue.
	refusalHalfLife = time.Second
	// urgentAdvantage is added to the refused share of a queue of priority 0, and the
	// more of it is added to that of the others the lower their priority number is; see
	// advantageOf. So a queue waits for a more urgent one unless a greater share of its
	// own jobs is refused.
	urgentAdvantage = 0.5
	// advantageHalving is the number of priority levels that halve the advantage.
	advantageHalving = 2
	// refusedShareStep is the smallest difference between refused shares that changes
	// the order.
	refusedShareStep = 0.05
)

// refusalStats has decaying counts of the jobs of a queue that were submitted and
// refused.
type refusalStats struct {
	submitted float64
	refused   float64
	at        time.Time
}

// decay applies the decay since the last call to the counts.
func (r *refusalStats) decay(now time.Time) {
	if !r.at.IsZero() {
		factor := decayFactor(now.Sub(r.at), refusalHalfLife)
		r.submitted *= factor
		r.refused *= factor
	}
	r.at = now
}

// refusedShare returns the refused fraction of the submitted jobs.
func (r *refusalStats) refusedShare() float64 { return r.refused / max(r.submitted, 1) }

// refusalsOf returns the refusal stats of a queue.
func (s *Scheduler) refusalsOf(q Queue) *refusalStats {
	stats := s.refusals[q.Name]
	if stats == nil {
		stats = &refusalStats{}
		s.refusals[q.Name] = stats
	}
	return stats
}

// queueRank returns the rank of a queue for the time when capacity is scarce, lowest
// first: the queue with the greatest refused share comes first, with an advantage for
// the more urgent ones. So no kind of request is starved by another one that happens to
// fit better.
func (s *Scheduler) queueRank(q Queue) int {
	refusedShare := s.refusalsOf(q).refusedShare()
	return -int((refusedShare + advantageOf(q.Priority)) / refusedShareStep)
}

// advantageOf returns what is added to the refused share of a queue with a priority.
func advantageOf(priority int) float64 {
	return urgentAdvantage * math.Exp2(-float64(priority)/advantageHalving)
}

// sortQueue sorts the queue into the order in which its jobs are placed.
func (s *Scheduler) sortQueue(now time.Time) {
	ranks := make(map[string]int)
	for _, j := range s.queue {
		if _, ok := ranks[j.Queue.Name]; !ok {
			ranks[j.Queue.Name] = s.queueRank(j.Queue)
		}
		j.rank = ranks[j.Queue.Name]
		j.overdue = now.After(j.latestStart)
	}
	slices.SortStableFunc(s.queue, compareJobs)
}

// compareJobs orders jobs for placement. Jobs that may have started come first, since
// their work is wasted if they are late. Overdue jobs, which will miss their objective
// in any case, come last. Within these groups jobs are ordered by the rank of their
// queue, then by their latest start, then by arrival.
func compareJobs(a, b *job) int {
	if a.mayHaveStarted != b.mayHaveStarted {
		if a.mayHaveStarted {
			return -1
		}
		return 1
	}
	if a.overdue != b.overdue {
		if b.overdue {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	if c := a.latestStart.Compare(b.latestStart); c != 0 {
		return c
	}
	return cmp.Compare(a.number, b.number)
}
