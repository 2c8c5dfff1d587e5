package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// admitShare is the share of a job's slack that the wait before it may
	// take for the job to be taken on; waitMost bounds that wait, so that no
	// caller is kept in doubt for long.
	admitShare = 0.6
	waitMost   = 350 * time.Millisecond
	// settleTime is how long after its first configuration an entry refuses
	// nothing for lack of room: its links to the agents are still being opened,
	// so it does not know the room yet.
	settleTime = 150 * time.Millisecond
	// shortAfter is how long a job waits before its entry counts as short of
	// room. One that waits for less has met with a race for room.
	shortAfter = 30 * time.Millisecond
)

// admit decides whether a new job is taken on, and returns the refusal.
func (s *Scheduler) admit(j *job, now time.Time) (Answer, bool) {
	if err := j.Valid(); err != nil {
		return Answer{Outcome: Impossible, Why: err.Error()}, false
	}
	if why := s.impossible(j); why != "" {
		return Answer{Outcome: Impossible, Why: why}, false
	}
	if !s.mayRun(j, now) {
		return Answer{Outcome: Overloaded, RetryAfter: backLeast, Why: "may have been sent again since"}, false
	}
	if now.Add(j.least()).After(j.Deadline) {
		return Answer{Outcome: Overloaded, RetryAfter: backLeast, Why: "caller waits for less than the work takes"}, false
	}
	if s.yield(j) {
		return Answer{}, true
	}
	if now.Before(s.settled) {
		return Answer{}, true
	}
	if s.workBefore(j) > s.patience(j) && !s.hasRoom(j, now) {
		s.short = true
		f := s.forecast(j, now)
		return Answer{Outcome: Overloaded, RetryAfter: s.backIn(j), Why: f.String(), Refusal: f.refusal(AtOnce)}, false
	}
	return Answer{}, true
}

// patience is how long a job may wait for its first task.
func (s *Scheduler) patience(j *job) time.Duration {
	usual := min(time.Duration(admitShare*float64(j.latest.Sub(j.arrived))), waitMost)
	return max(usual, s.settled.Sub(j.arrived))
}

// impossible tells why no known worker could ever run a job, or returns
// nothing. It is silent as long as no worker of the service is known.
func (s *Scheduler) impossible(j *job) string {
	for i, step := range j.Steps {
		known, fits := false, false
		for _, a := range s.byName {
			if a.upstream.Born != 0 && a.upstream.Service == j.Queue.Service {
				known = true
				fits = fits || (step.Demand.FitsIn(a.upstream.Capacity) && a.suits(step))
			}
		}
		if known && !fits {
			return fmt.Sprintf("no worker is large enough or labelled for step %d", i)
		}
	}
	return ""
}

// hopeless reports whether a job that nothing has been done for cannot be in time any
// more, or ends after its caller has stopped waiting.
func (s *Scheduler) hopeless(j *job, now time.Time) bool {
	if !j.fresh() {
		return false
	}
	return now.Sub(j.arrived) > s.patience(j) || now.Add(j.least()).After(j.Deadline)
}

// hasRoom reports whether an agent has room for one of a new job's tasks. What waits
// already cannot use that room, or it would have been placed there.
func (s *Scheduler) hasRoom(j *job, now time.Time) bool {
	return slices.ContainsFunc(j.in(ready), func(t *task) bool {
		a, _ := s.bestAgent(s.byName, j, t.step, []*task{t}, now)
		return a != nil
	})
}

// rate is the entry's share of the cores of all workers in use.
func (s *Scheduler) rate() float64 {
	now := s.clock.Now()
	var cores float64
	for _, a := range s.byName {
		if a.open && now.Sub(a.reportedAt) <= reportAge && a.sound(now) {
			cores += float64(a.upstream.Capacity.CPU) / 1000 / float64(max(a.report.ConnectedEntries, 1))
		}
	}
	return cores
}

// throughputLife is the time in which past work loses half of its weight.
const throughputLife = 300 * time.Millisecond

// throughput is the work that the entry has had done lately. An entry that gets
// more callers than others has more done than its share of the cores.
type throughput struct {
	// sum is the fading sum of the work, in core-milliseconds.
	sum float64
	at  time.Time
}

// add notes work that is done.
func (h *throughput) add(work float64, now time.Time) {
	h.sum = h.faded(now) + work
	h.at = now
}

func (h *throughput) faded(now time.Time) float64 {
	if h.at.IsZero() {
		return 0
	}
	return h.sum * math.Exp2(-float64(now.Sub(h.at))/float64(throughputLife))
}

// perSecond returns the core-seconds done in a second.
func (h *throughput) perSecond(now time.Time) float64 {
	return h.faded(now) / 1000 * math.Ln2 / throughputLife.Seconds()
}

// Need is what an entry needs of room, and of links to agents for it.
type Need struct {
	// Short means that jobs have waited long for room, or were refused for lack of
	// it since the last call.
	Short bool
	// Workers is how many workers the work done lately would keep busy.
	Workers float64
}

// Need returns the present need.
func (s *Scheduler) Need() Need {
	now := s.clock.Now()
	waited := slices.ContainsFunc(s.queue, func(j *job) bool { return now.Sub(j.arrived) > shortAfter })
	n := Need{Short: s.short || waited}
	s.short = false
	if cores := s.meanCapacity(); cores > 0 {
		n.Workers = s.throughput.perSecond(now) / cores
	}
	return n
}

// meanCapacity returns the mean number of cores of the workers in touch.
func (s *Scheduler) meanCapacity() float64 {
	var sum, n float64
	for _, a := range s.byName {
		if a.open {
			sum += float64(a.upstream.Capacity.CPU) / 1000
			n++
		}
	}
	return sum / max(n, 1)
}
