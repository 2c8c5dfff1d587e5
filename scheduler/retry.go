package scheduler

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time after which callers are asked to
	// come back.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// defaultRetryGap is the time between two callers while the rate at which their queue
	// is served is unknown.
	defaultRetryGap = 20 * time.Millisecond
)

// retrySchedule spreads the times at which refused callers of a queue come back, so
// that a burst that was refused does not return as one.
type retrySchedule struct {
	// nextFree is the earliest time that no caller has been given yet.
	nextFree time.Time
}

// retryAfter returns when the next refused caller is asked to come back: once the
// waiting work is done, and gap after the caller before it. Times past the bound
// begin anew at the earliest one.
func (c *retrySchedule) retryAfter(now time.Time, drained, gap time.Duration) time.Duration {
	first := min(max(drained, minRetryAfter), maxRetryAfter)
	wait := max(c.nextFree.Sub(now), first)
	if wait > maxRetryAfter {
		wait = first
	}
	c.nextFree = now.Add(wait + gap)
	return wait
}

// retryAfter is when a refused caller of a job had better come back.
func (s *Scheduler) retryAfter(j *job) time.Duration {
	now := s.clock.Now()
	c := s.retrySchedules[j.Queue.Name]
	if c == nil {
		c = &retrySchedule{}
		s.retrySchedules[j.Queue.Name] = c
	}
	return c.retryAfter(now, s.backlogTimeBefore(nil), s.retryGap(j, now))
}

// retryGap is the time in which the queue of a job serves one.
func (s *Scheduler) retryGap(j *job, now time.Time) time.Duration {
	if rate, known := s.startRateOf(j.Queue.Name).perSecond(now); known {
		return seconds(1 / rate)
	}
	if rate := s.workRate(now); rate > 0 {
		return seconds(j.queuedWork() / 1000 / rate)
	}
	return defaultRetryGap
}

// seconds returns a number of seconds as a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
