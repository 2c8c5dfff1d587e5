package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// waitSlackShare is the maximum share of a job's slack that the expected wait may
	// take for the job to be admitted. maxWait bounds that wait, so that no caller
	// waits long before it is refused.
	waitSlackShare = 0.6
	maxWait        = 350 * time.Millisecond
	// warmUpTime is how long after its first configuration an entry refuses no job for
	// lack of capacity: its links to the agents are still being opened, so it does not
	// know the free capacity yet.
	warmUpTime = 150 * time.Millisecond
	// shortageAfter is how long a job waits before it counts as a shortage of capacity.
	// A shorter wait comes from losing capacity to another entry that placed tasks at
	// the same moment.
	shortageAfter = 30 * time.Millisecond
)

// admit decides whether a new job is admitted, and returns the refusal if not.
func (s *Scheduler) admit(j *job, now time.Time) (Answer, bool) {
	if why := s.impossibleReason(j); why != "" {
		return Answer{Outcome: Impossible, Why: why}, false
	}
	if now.Add(j.minDuration()).After(j.Deadline) {
		return Answer{Outcome: Overloaded, RetryAfter: minRetryAfter, Why: "caller waits for less than the work takes"}, false
	}
	if now.Before(s.warmUpEnd) {
		return Answer{}, true
	}
	tooLong := s.backlogTimeBefore(j) > s.waitLimit(j)
	if (tooLong || !s.mayWait(j, now)) && !s.hasCapacity(j, now) {
		s.refusedForCapacity = true
		f := s.forecastWait(j, now)
		return Answer{Outcome: Overloaded, RetryAfter: s.retryAfter(j), Why: f.String(), Refusal: f.refusal(AtOnce)}, false
	}
	return Answer{}, true
}

// refuseIfOverloaded refuses an unstarted job that may not wait for capacity any more,
// and reports whether it did.
func (s *Scheduler) refuseIfOverloaded(j *job, now time.Time) bool {
	if !j.unstarted() {
		return false
	}
	a, ok := s.admit(j, now)
	if ok {
		return false
	}
	s.refusalsOf(j.Queue).refused++
	s.endJob(j, a)
	return true
}

// waitLimit returns the longest time that a job may wait for its first placement.
func (s *Scheduler) waitLimit(j *job) time.Duration {
	limit := min(time.Duration(waitSlackShare*float64(j.latestStart.Sub(j.arrived))), maxWait)
	return max(limit, s.warmUpEnd.Sub(j.arrived))
}

// impossibleReason returns why no known worker could ever run a job, or "" if one
// could. It also returns "" as long as no worker of the service is known.
func (s *Scheduler) impossibleReason(j *job) string {
	for i, step := range j.Steps {
		known, fits := false, false
		for _, a := range s.agentsByName {
			if a.upstream.Born != 0 && a.upstream.Service == j.Queue.Service {
				known = true
				fits = fits || (step.Demand.FitsIn(a.upstream.Capacity) && a.matchesLabel(step))
			}
		}
		if known && !fits {
			return fmt.Sprintf("no worker is large enough or labelled for step %d", i)
		}
	}
	return ""
}

// tooLate reports whether an unstarted job has exceeded its wait limit, so that it
// cannot meet its objective any more, or would end after its caller has stopped
// waiting.
func (s *Scheduler) tooLate(j *job, now time.Time) bool {
	if !j.unstarted() {
		return false
	}
	return now.Sub(j.arrived) > s.waitLimit(j) || now.Add(j.minDuration()).After(j.Deadline)
}

// hasCapacity reports whether an agent has capacity for one of a new job's tasks. The
// backlog cannot use that capacity, or it would have been placed there.
func (s *Scheduler) hasCapacity(j *job, now time.Time) bool {
	return slices.ContainsFunc(j.tasksIn(ready), func(t *task) bool {
		a, _ := s.bestAgent(s.agentsByName, j, t.step, []*task{t}, now)
		return a != nil
	})
}

// coreShare returns the entry's share of the cores of all usable workers: each worker
// is divided equally among the entries that are connected to its agent.
func (s *Scheduler) coreShare() float64 {
	now := s.clock.Now()
	var cores float64
	for _, a := range s.agentsByName {
		if a.synced && now.Sub(a.reportedAt) <= maxReportAge && a.healthy(now) {
			cores += float64(a.upstream.Capacity.CPU) / 1000 / float64(max(a.report.ConnectedEntries, 1))
		}
	}
	return cores
}

// throughputHalfLife is the half-life of past work in throughput.
const throughputHalfLife = 300 * time.Millisecond

// throughput measures the work recently done for the entry. An entry that gets more
// callers than others has more work done than its share of the cores.
type throughput struct {
	// sum is the decaying sum of the work, in core-milliseconds, as of at.
	sum float64
	at  time.Time
}

// add adds finished work, in core-milliseconds.
func (t *throughput) add(work float64, now time.Time) {
	t.sum = t.decayed(now) + work
	t.at = now
}

// decayed returns the sum decayed to now.
func (t *throughput) decayed(now time.Time) float64 {
	if t.at.IsZero() {
		return 0
	}
	return t.sum * decayFactor(now.Sub(t.at), throughputHalfLife)
}

// perSecond returns the rate of finished work in core-seconds per second.
func (t *throughput) perSecond(now time.Time) float64 {
	return t.decayed(now) / 1000 * math.Ln2 / throughputHalfLife.Seconds()
}

// CapacityNeed describes an entry's need of capacity, by which it decides how many
// links to agents it keeps.
type CapacityNeed struct {
	// Shortage means that jobs have waited longer than shortageAfter for capacity, or
	// were refused for lack of it since the last call.
	Shortage bool
	// Workers is the number of workers that the recent throughput would keep busy.
	Workers float64
}

// CapacityNeed returns the current need and resets the record of refusals.
func (s *Scheduler) CapacityNeed() CapacityNeed {
	now := s.clock.Now()
	longWait := slices.ContainsFunc(s.queue, func(j *job) bool { return now.Sub(j.arrived) > shortageAfter })
	n := CapacityNeed{Shortage: s.refusedForCapacity || longWait}
	s.refusedForCapacity = false
	if cores := s.meanCores(); cores > 0 {
		n.Workers = s.throughput.perSecond(now) / cores
	}
	return n
}

// meanCores returns the mean number of cores of the workers whose agents are synced.
func (s *Scheduler) meanCores() float64 {
	var sum, n float64
	for _, a := range s.agentsByName {
		if a.synced {
			sum += float64(a.upstream.Capacity.CPU) / 1000
			n++
		}
	}
	return sum / max(n, 1)
}
