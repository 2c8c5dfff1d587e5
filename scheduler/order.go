package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareLife is the time in which what is known of a queue's refusals loses
	// half of its weight.
	shareLife = time.Second
	// urgentShare is the share of refusals by which the other queues must be
	// worse off before a queue of priority 0 waits for them.
	urgentShare = 0.5
	// shareStep is the smallest difference of shares that changes the order.
	shareStep = 0.05
)

// share counts the jobs of a queue that were handed in and refused lately.
type share struct {
	offered float64
	refused float64
	at      time.Time
}

// aged lets the counts fade.
func (h *share) aged(now time.Time) {
	if !h.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(h.at)) / float64(shareLife))
		h.offered *= f
		h.refused *= f
	}
	h.at = now
}

// lost returns the share of jobs that were refused.
func (h *share) lost() float64 { return h.refused / max(h.offered, 1) }

// shareOf returns the counts of a queue.
func (s *Scheduler) shareOf(q Queue) *share {
	h := s.shares[q.Name]
	if h == nil {
		h = &share{}
		s.shares[q.Name] = h
	}
	return h
}

// rank orders queues when there is too little room: the queue that has had to
// take the most refusals lately comes first, with an advantage for urgent ones.
// So no kind of request is starved by another one that happens to fit better.
func (s *Scheduler) rank(q Queue) int {
	lost := s.shareOf(q).lost()
	if q.Priority == 0 {
		lost += urgentShare
	}
	return -int(lost / shareStep)
}

// sortQueue brings the queue into the order in which its jobs are placed.
func (s *Scheduler) sortQueue(now time.Time) {
	ranks := make(map[string]int)
	for _, j := range s.queue {
		if _, ok := ranks[j.Queue.Name]; !ok {
			ranks[j.Queue.Name] = s.rank(j.Queue)
		}
		j.rank = ranks[j.Queue.Name]
		j.overdue = now.After(j.latest)
	}
	slices.SortStableFunc(s.queue, before)
}

// before orders jobs: those begun first, since what they have done is lost if
// they are late; those last that will be late whatever happens; then by their
// queues' rank; then those that must start soonest.
func before(a, b *job) int {
	if a.begun != b.begun {
		if a.begun {
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
	if c := a.latest.Compare(b.latest); c != 0 {
		return c
	}
	return cmp.Compare(a.number, b.number)
}
