package scheduler

import (
	"math"
	"time"
)

const (
	// startRateHalfLife is the time in which what was seen of a queue's starts loses half
	// of its weight.
	startRateHalfLife = 500 * time.Millisecond
	// minStartWeight is the weight of starts from which on the rate counts as known.
	// A queue of long jobs gets only a few starts in startRateHalfLife.
	minStartWeight = 1
)

// startRate is the rate at which waiting jobs of a queue get their first placements.
// Only the time in which jobs wait counts: a queue in which nothing waits shows
// how often jobs arrive, not how fast they could be served.
type startRate struct {
	// starts is the decaying number of first placements of jobs that had waited.
	starts float64
	// waitingSeconds is the decaying time in which jobs waited, in seconds.
	waitingSeconds float64
	// jobsWait is whether jobs have waited since at.
	jobsWait bool
	at       time.Time
	// foundWaiting is whether the present look at the queue has met a job that waits.
	foundWaiting bool
}

// observe brings the counts up to now, from when on jobs wait or don't.
func (d *startRate) observe(waiting bool, now time.Time) {
	d.decay(now)
	d.jobsWait = waiting
}

// addStart notes the first placement of a job that had waited.
func (d *startRate) addStart(now time.Time) {
	d.decay(now)
	d.starts++
}

// removeStart takes a first placement back that the agent has refused.
func (d *startRate) removeStart(now time.Time) {
	d.decay(now)
	d.starts = max(d.starts-1, 0)
}

// decay lets the counts decay and adds the time since at if jobs have waited in it.
func (d *startRate) decay(now time.Time) {
	if !d.at.IsZero() {
		kept := math.Exp2(-float64(now.Sub(d.at)) / float64(startRateHalfLife))
		d.starts *= kept
		d.waitingSeconds *= kept
		if d.jobsWait {
			d.waitingSeconds += (1 - kept) * startRateHalfLife.Seconds() / math.Ln2
		}
	}
	d.at = now
}

// perSecond returns the rate of first placements; false if too few were seen.
func (d *startRate) perSecond(now time.Time) (float64, bool) {
	d.decay(now)
	if d.starts < minStartWeight || d.waitingSeconds <= 0 {
		return 0, false
	}
	return d.starts / d.waitingSeconds, true
}

// startRateOf returns the drain of a queue.
func (s *Scheduler) startRateOf(queue string) *startRate {
	d := s.startRates[queue]
	if d == nil {
		d = &startRate{}
		s.startRates[queue] = d
	}
	return d
}

// observeStartRates notes of which queues jobs wait from now on.
func (s *Scheduler) observeStartRates(now time.Time) {
	for _, d := range s.startRates {
		d.foundWaiting = false
	}
	for _, j := range s.queue {
		if j.unstarted() {
			j.waitedForCapacity = true
			s.startRateOf(j.Queue.Name).foundWaiting = true
		}
	}
	for _, d := range s.startRates {
		if d.foundWaiting || d.jobsWait {
			d.observe(d.foundWaiting, now)
		}
	}
}

// countStart counts the first placement of a job that has waited.
func (s *Scheduler) countStart(j *job, now time.Time) {
	if j.waitedForCapacity && j.unstarted() {
		j.startCounted = true
		s.startRateOf(j.Queue.Name).addStart(now)
	}
}

// uncountStart takes the first placement of a job back that waits once more.
func (s *Scheduler) uncountStart(j *job, now time.Time) {
	if j.startCounted && j.unstarted() {
		j.startCounted = false
		s.startRateOf(j.Queue.Name).removeStart(now)
	}
}
