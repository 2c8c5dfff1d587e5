package scheduler

import (
	"math"
	"time"
)

const (
	// drainLife is the time in which what was seen of a queue's starts loses half
	// of its weight.
	drainLife = 500 * time.Millisecond
	// drainLeast is the weight of starts from which on the rate counts as known.
	// A queue of long jobs gets only a few starts in drainLife.
	drainLeast = 1
)

// drain is the rate at which waiting jobs of a queue get their first placements.
// Only the time in which jobs wait counts: a queue in which nothing waits shows
// how often jobs arrive, not how fast they could be served.
type drain struct {
	// starts is the decaying number of first placements of jobs that had waited.
	starts float64
	// waited is the decaying time in which jobs waited, in seconds.
	waited float64
	// waiting is whether jobs have waited since at.
	waiting bool
	at      time.Time
	// seen is whether the present look at the queue has met a job that waits.
	seen bool
}

// observe brings the counts up to now, from when on jobs wait or don't.
func (d *drain) observe(waiting bool, now time.Time) {
	d.age(now)
	d.waiting = waiting
}

// started notes the first placement of a job that had waited.
func (d *drain) started(now time.Time) {
	d.age(now)
	d.starts++
}

// undone takes a first placement back that the agent has refused.
func (d *drain) undone(now time.Time) {
	d.age(now)
	d.starts = max(d.starts-1, 0)
}

// age lets the counts decay and adds the time since at if jobs have waited in it.
func (d *drain) age(now time.Time) {
	if !d.at.IsZero() {
		kept := math.Exp2(-float64(now.Sub(d.at)) / float64(drainLife))
		d.starts *= kept
		d.waited *= kept
		if d.waiting {
			d.waited += (1 - kept) * drainLife.Seconds() / math.Ln2
		}
	}
	d.at = now
}

// perSecond returns the rate of first placements; false if too few were seen.
func (d *drain) perSecond(now time.Time) (float64, bool) {
	d.age(now)
	if d.starts < drainLeast || d.waited <= 0 {
		return 0, false
	}
	return d.starts / d.waited, true
}

// drainOf returns the drain of a queue.
func (s *Scheduler) drainOf(queue string) *drain {
	d := s.drains[queue]
	if d == nil {
		d = &drain{}
		s.drains[queue] = d
	}
	return d
}

// observeDrains notes of which queues jobs wait from now on.
func (s *Scheduler) observeDrains(now time.Time) {
	for _, d := range s.drains {
		d.seen = false
	}
	for _, j := range s.queue {
		if j.fresh() {
			j.waited = true
			s.drainOf(j.Queue.Name).seen = true
		}
	}
	for _, d := range s.drains {
		if d.seen || d.waiting {
			d.observe(d.seen, now)
		}
	}
}

// countStart counts the first placement of a job that has waited.
func (s *Scheduler) countStart(j *job, now time.Time) {
	if j.waited && j.fresh() {
		j.counted = true
		s.drainOf(j.Queue.Name).started(now)
	}
}

// uncountStart takes the first placement of a job back that waits once more.
func (s *Scheduler) uncountStart(j *job, now time.Time) {
	if j.counted && j.fresh() {
		j.counted = false
		s.drainOf(j.Queue.Name).undone(now)
	}
}
