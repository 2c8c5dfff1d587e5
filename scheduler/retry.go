package scheduler

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time after which refused callers are
	// asked to retry.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// defaultRetryGap is the time between the retries of two callers while the start
	// rate of their queue is unknown.
	defaultRetryGap = 20 * time.Millisecond
)

// retrySchedule spreads the retries of the refused callers of a queue, so that a
// refused burst does not return as a burst.
type retrySchedule struct {
	// nextUnassigned is the earliest time that has not been assigned to a caller.
	nextUnassigned time.Time
}

// retryAfter returns when the next refused caller is asked to retry: once the backlog
// has been processed, and gap after the caller before it. Times beyond maxRetryAfter
// start over at the earliest one.
func (r *retrySchedule) retryAfter(now time.Time, backlogTime, gap time.Duration) time.Duration {
	earliest := min(max(backlogTime, minRetryAfter), maxRetryAfter)
	wait := max(r.nextUnassigned.Sub(now), earliest)
	if wait > maxRetryAfter {
		wait = earliest
	}
	r.nextUnassigned = now.Add(wait + gap)
	return wait
}

// retryAfter returns when the refused caller of a job is asked to retry.
func (s *Scheduler) retryAfter(j *job) time.Duration {
	now := s.clock.Now()
	schedule := s.retrySchedules[j.Queue.Name]
	if schedule == nil {
		schedule = &retrySchedule{}
		s.retrySchedules[j.Queue.Name] = schedule
	}
	return schedule.retryAfter(now, s.backlogTimeBefore(nil), s.retryGap(j, now))
}

// retryGap returns the time in which the queue of a job starts one job.
func (s *Scheduler) retryGap(j *job, now time.Time) time.Duration {
	if rate, known := s.startRateOf(j.Queue.Name).perSecond(now); known {
		return seconds(1 / rate)
	}
	if rate := s.workRate(now); rate > 0 {
		return seconds(j.queuedWork() / 1000 / rate)
	}
	return defaultRetryGap
}

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
