package scheduler

import (
	"math"
	"time"
)

// The load that this file answers: more jobs than the workers have capacity for, at
// several entries. A job that waits is overtaken by more urgent ones here and by those
// of the other entries, so the work that waits before it here does not show whether it
// will be placed in time. The outcomes of the jobs that have waited do: the more of
// them were refused in the end, the fewer may wait, and the others are refused at once.
// Each entry decides by itself, as in published overload control for services that
// observe only their own queueing.

const (
	// maxWindow and minWindow bound the jobs that may wait before a new one. One may
	// always wait, or no job would show that capacity has become free.
	maxWindow = 24
	minWindow = 1
	// windowHalvingLoss is the share of refused ones among the jobs that waited which
	// halves the window.
	windowHalvingLoss = 0.015
	// waitHalfLife is the half-life of the counts of jobs that have waited.
	waitHalfLife = time.Second
)

// windowKey identifies the jobs that share a waiting window. Large tasks may find no
// capacity while small ones do, so their outcomes say nothing of each other.
type windowKey struct {
	service string
	size    Size
}

// waitingWindow limits how many jobs may wait before a new one, by decaying counts of
// the jobs that have waited for capacity.
type waitingWindow struct {
	// placed counts the placements of those jobs, also the ones that agents then refuse,
	// and refused the jobs that were refused.
	placed  float64
	refused float64
	at      time.Time
}

// recordPlaced counts a job that was placed after waiting.
func (w *waitingWindow) recordPlaced(now time.Time) {
	w.decay(now)
	w.placed++
}

// recordRefused counts a job that was refused after waiting.
func (w *waitingWindow) recordRefused(now time.Time) {
	w.decay(now)
	w.refused++
}

// decay applies the decay since the last call to the counts.
func (w *waitingWindow) decay(now time.Time) {
	if !w.at.IsZero() {
		factor := decayFactor(now.Sub(w.at), waitHalfLife)
		w.placed *= factor
		w.refused *= factor
	}
	w.at = now
}

// size returns the number of jobs that may wait before a new one. One more job is added
// to the counts, so that the window opens again once they have decayed.
func (w *waitingWindow) size(now time.Time) float64 {
	w.decay(now)
	loss := w.refused / (w.placed + w.refused + 1)
	return max(maxWindow*math.Exp2(-loss/windowHalvingLoss), minWindow)
}

// windowOf returns the waiting window of a job.
func (s *Scheduler) windowOf(j *job) *waitingWindow {
	key := windowKey{service: j.Queue.Service, size: s.sizeOfJob(j)}
	w := s.windows[key]
	if w == nil {
		w = &waitingWindow{}
		s.windows[key] = w
	}
	return w
}

// mayWait reports whether a new job may wait for capacity. A more urgent job has fewer
// jobs before it, so it may wait when less urgent ones may not.
func (s *Scheduler) mayWait(j *job, now time.Time) bool {
	j.rank = s.queueRank(j.Queue)
	return float64(s.countWaitingBefore(j)) < s.windowOf(j).size(now)
}

// countWaitingBefore counts the unstarted jobs of the same service and size that wait
// before a job.
func (s *Scheduler) countWaitingBefore(j *job) int {
	size := s.sizeOfJob(j)
	return s.countBefore(j, func(other *job) bool {
		return other.Queue.Service == j.Queue.Service && s.sizeOfJob(other) == size
	})
}

// countBefore counts the unstarted jobs that wait before a job and match.
func (s *Scheduler) countBefore(j *job, matches func(other *job) bool) int {
	n := 0
	for _, other := range s.queue {
		if other.unstarted() && matches(other) && compareJobs(other, j) < 0 {
			n++
		}
	}
	return n
}
