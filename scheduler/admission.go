package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// waitSlackShare is the share of a job's slack that the wait before it may
	// take for the job to be taken on; maxWait bounds that wait, so that no
	// caller is kept in doubt for long.
	waitSlackShare = 0.6
	maxWait        = 350 * time.Millisecond
	// warmUpTime is how long after its first configuration an entry refuses
	// nothing for lack of room: its links to the agents are still being opened,
	// so it does not know the room yet.
	warmUpTime = 150 * time.Millisecond
	// shortageAfter is how long a job waits before its entry counts as short of
	// room. One that waits for less has met with a race for room.
	shortageAfter = 30 * time.Millisecond
)

// admit decides whether a new job is taken on, and returns the refusal.
func (s *Scheduler) admit(j *job, now time.Time) (Answer, bool) {
	if err := j.Validate(); err != nil {
		return Answer{Outcome: Impossible, Why: err.Error()}, false
	}
	if why := s.impossibleReason(j); why != "" {
		return Answer{Outcome: Impossible, Why: why}, false
	}
	if !s.ownsExclusively(j, now) {
		return Answer{Outcome: Overloaded, RetryAfter: minRetryAfter, Why: "may have been sent again since"}, false
	}
	if now.Add(j.minDuration()).After(j.Deadline) {
		return Answer{Outcome: Overloaded, RetryAfter: minRetryAfter, Why: "caller waits for less than the work takes"}, false
	}
	if s.yieldIfHeld(j) {
		return Answer{}, true
	}
	if now.Before(s.warmUpEnd) {
		return Answer{}, true
	}
	if s.backlogTimeBefore(j) > s.waitLimit(j) && !s.hasCapacity(j, now) {
		s.refusedForCapacity = true
		f := s.forecastWait(j, now)
		return Answer{Outcome: Overloaded, RetryAfter: s.retryAfter(j), Why: f.String(), Refusal: f.refusal(AtOnce)}, false
	}
	return Answer{}, true
}

// waitLimit is how long a job may wait for its first task.
func (s *Scheduler) waitLimit(j *job) time.Duration {
	usual := min(time.Duration(waitSlackShare*float64(j.latestStart.Sub(j.arrived))), maxWait)
	return max(usual, s.warmUpEnd.Sub(j.arrived))
}

// impossibleReason tells why no known worker could ever run a job, or returns
// nothing. It is silent as long as no worker of the service is known.
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

// tooLate reports whether a job that nothing has been done for cannot be in time any
// more, or ends after its caller has stopped waiting.
func (s *Scheduler) tooLate(j *job, now time.Time) bool {
	if !j.unstarted() {
		return false
	}
	return now.Sub(j.arrived) > s.waitLimit(j) || now.Add(j.minDuration()).After(j.Deadline)
}

// hasCapacity reports whether an agent has room for one of a new job's tasks. What waits
// already cannot use that room, or it would have been placed there.
func (s *Scheduler) hasCapacity(j *job, now time.Time) bool {
	return slices.ContainsFunc(j.tasksIn(ready), func(t *task) bool {
		a, _ := s.bestAgent(s.agentsByName, j, t.step, []*task{t}, now)
		return a != nil
	})
}

// coreShare is the entry's share of the cores of all workers in use.
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

// throughputHalfLife is the time in which past work loses half of its weight.
const throughputHalfLife = 300 * time.Millisecond

// throughput is the work that the entry has had done lately. An entry that gets
// more callers than others has more done than its share of the cores.
type throughput struct {
	// sum is the fading sum of the work, in core-milliseconds.
	sum float64
	at  time.Time
}

// add notes work that is done.
func (h *throughput) add(work float64, now time.Time) {
	h.sum = h.decayed(now) + work
	h.at = now
}

func (h *throughput) decayed(now time.Time) float64 {
	if h.at.IsZero() {
		return 0
	}
	return h.sum * math.Exp2(-float64(now.Sub(h.at))/float64(throughputHalfLife))
}

// perSecond returns the core-seconds done in a second.
func (h *throughput) perSecond(now time.Time) float64 {
	return h.decayed(now) / 1000 * math.Ln2 / throughputHalfLife.Seconds()
}

// CapacityNeed is what an entry needs of room, and of links to agents for it.
type CapacityNeed struct {
	// Shortage means that jobs have waited long for room, or were refused for lack of
	// it since the last call.
	Shortage bool
	// Workers is how many workers the work done lately would keep busy.
	Workers float64
}

// CapacityNeed returns the present need.
func (s *Scheduler) CapacityNeed() CapacityNeed {
	now := s.clock.Now()
	waited := slices.ContainsFunc(s.queue, func(j *job) bool { return now.Sub(j.arrived) > shortageAfter })
	n := CapacityNeed{Shortage: s.refusedForCapacity || waited}
	s.refusedForCapacity = false
	if cores := s.meanCores(); cores > 0 {
		n.Workers = s.throughput.perSecond(now) / cores
	}
	return n
}

// meanCores returns the mean number of cores of the workers in touch.
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
