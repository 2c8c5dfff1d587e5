package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// waitForecast is the expected wait of a job for its first placement.
type waitForecast struct {
	wait time.Duration
	// jobsBefore is the number of jobs of its queue that wait before it.
	jobsBefore int
	// startRate is the rate of first placements of its queue, in jobs a second; zero
	// when it is not known.
	startRate float64
	// window is the size of the job's waiting window.
	window float64
}

func (f waitForecast) String() string {
	return fmt.Sprintf("expected wait %s, %d jobs of the queue before it, %.1f started a second", f.wait.Round(time.Millisecond), f.jobsBefore, f.startRate)
}

// refusal returns the details of a refusal for the log and the metrics.
func (f waitForecast) refusal(at RefusalPoint) Refusal {
	return Refusal{Point: at, Wait: f.wait, JobsBefore: f.jobsBefore, StartRate: f.startRate, Window: f.window}
}

// forecastWait returns the expected wait of a new or waiting job. A job that nothing
// waits before is not expected to wait. Where jobs of other queues overtake those of
// its own, the wait is, by Little's law, the number of jobs up to and including itself
// over the start rate of its queue, which reflects the effect of the overtaking jobs.
// Elsewhere, or while that rate is not known, it is the time that the work before the
// job takes.
func (s *Scheduler) forecastWait(j *job, now time.Time) waitForecast {
	f := waitForecast{window: s.windowOf(j).size(now)}
	work := s.backlogTimeBefore(j)
	if work == 0 {
		return f
	}
	f.wait = work
	f.jobsBefore = s.countJobsBefore(j)
	rate, known := s.startRateOf(j.Queue.Name).perSecond(now)
	if !known {
		return f
	}
	f.startRate = rate
	if s.overtakenByOtherQueues(j) {
		f.wait = seconds(float64(f.jobsBefore+1) / rate)
	}
	return f
}

// overtakenByOtherQueues reports whether jobs of other queues are waiting that come
// before those of a job's queue or take turns with them.
func (s *Scheduler) overtakenByOtherQueues(j *job) bool {
	return slices.ContainsFunc(s.queue, func(other *job) bool {
		return other.unstarted() && other.Queue.Name != j.Queue.Name && other.rank <= j.rank
	})
}

// countJobsBefore counts the jobs of a job's queue that wait before it for their first
// placement.
func (s *Scheduler) countJobsBefore(j *job) int {
	return s.countBefore(j, func(other *job) bool { return other.Queue.Name == j.Queue.Name })
}

// backlogTimeBefore estimates how long the work takes that is queued here and comes
// before a job; nil stands for a job that comes last. Other entries are assumed to have
// as much work queued.
func (s *Scheduler) backlogTimeBefore(j *job) time.Duration {
	if len(s.queue) == 0 {
		return 0
	}
	if j != nil {
		j.rank = s.queueRank(j.Queue)
	}
	var work float64
	for _, other := range s.queue {
		if j == nil || compareJobs(other, j) < 0 {
			work += other.queuedWork()
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

// workRate returns the rate at which the entry can have work done, in core-seconds a
// second.
func (s *Scheduler) workRate(now time.Time) float64 {
	return max(s.coreShare(), s.throughput.perSecond(now))
}
