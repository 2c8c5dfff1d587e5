package executor

import "time"

const (
	// minProgressPercent is the progress, in percent, from which it tells more of a
	// run's end than the estimate does.
	minProgressPercent = 10
	// overrunFactor is the share of its age for which a run that is past its
	// expected end is taken to go on.
	overrunFactor = 0.25
)

// expectedEnd returns when a run that holds room is expected to end: by its
// estimate, or by its progress once enough is done.
func (x *Executor) expectedEnd(r *run, now time.Time) time.Time {
	start := r.startedAt
	if start.IsZero() {
		start = r.sentAt
	}
	end := start.Add(r.Estimate)
	if r.percent >= minProgressPercent && r.progressAge > 0 {
		// Age counts from the sending of the start.
		end = r.sentAt.Add(r.progressAge * 100 / time.Duration(r.percent))
	}
	if end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunFactor * float64(now.Sub(start))))
}
