package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// forecast is what is expected of a job's wait for its first placement.
type forecast struct {
	wait time.Duration
	// before counts the jobs of its queue that wait before it.
	before int
	// rate is the rate of first placements of its queue, in jobs a second; zero
	// when it is not known.
	rate float64
}

func (f forecast) String() string {
	return fmt.Sprintf("expected wait %s, %d jobs of the queue before it, %.1f started a second", f.wait.Round(time.Millisecond), f.before, f.rate)
}

// refusal returns what the log and the metrics get to know of a refusal.
func (f forecast) refusal(at RefusalPoint) Refusal {
	return Refusal{Point: at, Wait: f.wait, Before: f.before, Rate: f.rate}
}

// forecast returns what is expected of a new or waiting job. A job that nothing waits
// before is not expected to wait. Where jobs of other queues overtake those of its
// own, the wait is, by Little's law, the number of jobs up to and including itself over
// the rate at which jobs of its queue are started, which shows the effect of those
// that overtake. Elsewhere, or while that rate is not known, it is the time that the
// work before the job takes.
func (s *Scheduler) forecast(j *job, now time.Time) forecast {
	work := s.workBefore(j)
	if work == 0 {
		return forecast{}
	}
	f := forecast{wait: work, before: s.countBefore(j)}
	rate, known := s.drainOf(j.Queue.Name).perSecond(now)
	if !known {
		return f
	}
	f.rate = rate
	if s.overtaken(j) {
		f.wait = seconds(float64(f.before+1) / rate)
	}
	return f
}

// overtaken reports whether jobs of other queues wait that come before those of a
// job's queue or take turns with them.
func (s *Scheduler) overtaken(j *job) bool {
	return slices.ContainsFunc(s.queue, func(q *job) bool {
		return q.fresh() && q.Queue.Name != j.Queue.Name && q.rank <= j.rank
	})
}

// countBefore counts the jobs of a job's queue that wait before it for their first
// placement.
func (s *Scheduler) countBefore(j *job) int {
	n := 0
	for _, q := range s.queue {
		if q.Queue.Name == j.Queue.Name && q.fresh() && before(q, j) < 0 {
			n++
		}
	}
	return n
}

// workBefore estimates how long the work queued here takes that comes before a
// job; nil stands for a job that comes last. Other entries are taken to have as
// much queued.
func (s *Scheduler) workBefore(j *job) time.Duration {
	if len(s.queue) == 0 {
		return 0
	}
	if j != nil {
		j.rank = s.rank(j.Queue)
	}
	var work float64
	for _, q := range s.queue {
		if j == nil || before(q, j) < 0 {
			work += q.queued()
		}
	}
	if work == 0 {
		return 0
	}
	rate := s.workRate(s.clock.Now())
	if rate == 0 {
		return 0
	}
	return seconds(work / 1000 / rate)
}

// workRate is how much work the entry can have done, in core-seconds a second.
func (s *Scheduler) workRate(now time.Time) float64 {
	return max(s.rate(), s.throughput.perSecond(now))
}
