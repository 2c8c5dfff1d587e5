package scheduler

import "time"

const (
	// backLeast and backMost bound the time after which callers are asked to
	// come back.
	backLeast = time.Second
	backMost  = 10 * time.Second
	// backGap is the time between two callers while the rate at which their queue
	// is served is unknown.
	backGap = 20 * time.Millisecond
)

// comeback spreads the times at which refused callers of a queue come back, so
// that a burst that was refused does not return as one.
type comeback struct {
	// next is the earliest time that no caller has been given yet.
	next time.Time
}

// after returns when the next refused caller is asked to come back: once the
// waiting work is done, and gap after the caller before it. Times past the bound
// begin anew at the earliest one.
func (c *comeback) after(now time.Time, drained, gap time.Duration) time.Duration {
	first := min(max(drained, backLeast), backMost)
	wait := max(c.next.Sub(now), first)
	if wait > backMost {
		wait = first
	}
	c.next = now.Add(wait + gap)
	return wait
}

// backIn is when a refused caller of a job had better come back.
func (s *Scheduler) backIn(j *job) time.Duration {
	now := s.clock.Now()
	c := s.comebacks[j.Queue.Name]
	if c == nil {
		c = &comeback{}
		s.comebacks[j.Queue.Name] = c
	}
	return c.after(now, s.workBefore(nil), s.backGap(j, now))
}

// backGap is the time in which the queue of a job serves one.
func (s *Scheduler) backGap(j *job, now time.Time) time.Duration {
	if rate, known := s.drainOf(j.Queue.Name).perSecond(now); known {
		return seconds(1 / rate)
	}
	if rate := s.workRate(now); rate > 0 {
		return seconds(j.queued() / 1000 / rate)
	}
	return backGap
}

// seconds returns a number of seconds as a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
