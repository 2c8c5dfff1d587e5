package scheduler

import (
	"math"
	"time"
)

const (
	// startRateHalfLife is the half-life of the counts behind a start rate.
	startRateHalfLife = 500 * time.Millisecond
	// minStartWeight is the decayed number of starts from which on the rate counts as
	// known. A queue of long jobs gets only a few starts within startRateHalfLife.
	minStartWeight = 1
)

// startRate measures the rate at which waiting jobs of a queue get their first
// placements. Only the time in which jobs wait counts: a queue without waiting jobs
// shows how often jobs arrive, not how fast they could be started.
type startRate struct {
	// starts is the decaying number of first placements of jobs that had waited.
	starts float64
	// waitingSeconds is the decaying time in which jobs waited, in seconds.
	waitingSeconds float64
	// jobsWait means that jobs have waited since at.
	jobsWait bool
	at       time.Time
	// foundWaiting means that the current pass over the queue has found a waiting job.
	foundWaiting bool
}

// observe updates the counts to now and records whether jobs wait from now on.
func (r *startRate) observe(waiting bool, now time.Time) {
	r.decay(now)
	r.jobsWait = waiting
}

// addStart counts the first placement of a job that had waited.
func (r *startRate) addStart(now time.Time) {
	r.decay(now)
	r.starts++
}

// removeStart removes a first placement that the agent has refused.
func (r *startRate) removeStart(now time.Time) {
	r.decay(now)
	r.starts = max(r.starts-1, 0)
}

// decay applies the decay since at, and adds that time if jobs waited in it.
func (r *startRate) decay(now time.Time) {
	if !r.at.IsZero() {
		factor := decayFactor(now.Sub(r.at), startRateHalfLife)
		r.starts *= factor
		r.waitingSeconds *= factor
		if r.jobsWait {
			r.waitingSeconds += (1 - factor) * startRateHalfLife.Seconds() / math.Ln2
		}
	}
	r.at = now
}

// perSecond returns the rate of first placements; false if too few were counted.
func (r *startRate) perSecond(now time.Time) (float64, bool) {
	r.decay(now)
	if r.starts < minStartWeight || r.waitingSeconds <= 0 {
		return 0, false
	}
	return r.starts / r.waitingSeconds, true
}

// startRateOf returns the start rate of a queue.
func (s *Scheduler) startRateOf(queue string) *startRate {
	rate := s.startRates[queue]
	if rate == nil {
		rate = &startRate{}
		s.startRates[queue] = rate
	}
	return rate
}

// observeStartRates records for which queues jobs wait from now on.
func (s *Scheduler) observeStartRates(now time.Time) {
	for _, rate := range s.startRates {
		rate.foundWaiting = false
	}
	for _, j := range s.queue {
		if j.unstarted() {
			j.waitedForCapacity = true
			s.startRateOf(j.Queue.Name).foundWaiting = true
		}
	}
	for _, rate := range s.startRates {
		if rate.foundWaiting || rate.jobsWait {
			rate.observe(rate.foundWaiting, now)
		}
	}
}

// countStart counts the first placement of a job that has waited, in the start rate and
// in the waiting window.
func (s *Scheduler) countStart(j *job, now time.Time) {
	if j.waitedForCapacity && j.unstarted() {
		j.startCounted = true
		s.startRateOf(j.Queue.Name).addStart(now)
		s.windowOf(j).recordPlaced(now)
	}
}

// uncountStart removes the first placement of a job from the start rate because the job
// waits again.
func (s *Scheduler) uncountStart(j *job, now time.Time) {
	if j.startCounted && j.unstarted() {
		j.startCounted = false
		s.startRateOf(j.Queue.Name).removeStart(now)
	}
}
