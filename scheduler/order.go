package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// refusalHalfLife is the time in which what is known of a queue's refusals loses
	// half of its weight.
	refusalHalfLife = time.Second
	// urgentAdvantage is the share of refusals by which the other queues must be
	// worse off before a queue of priority 0 waits for them.
	urgentAdvantage = 0.5
	// refusedShareStep is the smallest difference of shares that changes the order.
	refusedShareStep = 0.05
)

// refusalStats counts the jobs of a queue that were handed in and refused lately.
type refusalStats struct {
	submitted float64
	refused   float64
	at        time.Time
}

// decay lets the counts fade.
func (h *refusalStats) decay(now time.Time) {
	if !h.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(h.at)) / float64(refusalHalfLife))
		h.submitted *= f
		h.refused *= f
	}
	h.at = now
}

// refusedShare returns the share of jobs that were refused.
func (h *refusalStats) refusedShare() float64 { return h.refused / max(h.submitted, 1) }

// refusalsOf returns the counts of a queue.
func (s *Scheduler) refusalsOf(q Queue) *refusalStats {
	h := s.refusals[q.Name]
	if h == nil {
		h = &refusalStats{}
		s.refusals[q.Name] = h
	}
	return h
}

// queueRank orders queues when there is too little room: the queue that has had to
// take the most refusals lately comes first, with an advantage for urgent ones.
// So no kind of request is starved by another one that happens to fit better.
func (s *Scheduler) queueRank(q Queue) int {
	lost := s.refusalsOf(q).refusedShare()
	if q.Priority == 0 {
		lost += urgentAdvantage
	}
	return -int(lost / refusedShareStep)
}

// sortQueue brings the queue into the order in which its jobs are placed.
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

// compareJobs orders jobs: those begun first, since what they have done is lost if
// they are late; those last that will be late whatever happens; then by their
// queues' rank; then those that must start soonest.
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
