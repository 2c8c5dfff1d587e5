package executor

import "time"

const (
	// progressLeast is the progress, in percent, from which it tells more of a
	// run's end than the estimate does.
	progressLeast = 10
	// overrunShare is the share of its age for which a run that is past its
	// expected end is taken to go on.
	overrunShare = 0.25
)

// expectedEnd returns when a run that holds room is expected to end: by its
// estimate, or by its progress once enough is done.
func (x *Executor) expectedEnd(r *run, now time.Time) time.Time {
	start := r.begunAt
	if start.IsZero() {
		start = r.sentAt
	}
	end := start.Add(r.Estimate)
	if r.percent >= progressLeast && r.age > 0 {
		// Age counts from the sending of the start.
		end = r.sentAt.Add(r.age * 100 / time.Duration(r.percent))
	}
	if end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunShare * float64(now.Sub(start))))
}
