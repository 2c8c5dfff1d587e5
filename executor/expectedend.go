package executor

import "time"

const (
	// minProgressPercent is the progress, in percent, from which it predicts the end of
	// a run better than the estimate does.
	minProgressPercent = 10
	// overrunFactor is the share of its age for which a run that is past its expected
	// end is assumed to go on.
	overrunFactor = 0.25
)

// expectedEnd returns when a run that holds capacity is expected to end: by its
// estimate, or by its progress once that is at least minProgressPercent.
func (x *Executor) expectedEnd(r *run, now time.Time) time.Time {
	start := r.startedAt
	if start.IsZero() {
		start = r.sentAt
	}
	end := start.Add(r.Estimate)
	if r.percent >= minProgressPercent && r.progressAge > 0 {
		// progressAge is counted from the sending of the start.
		end = r.sentAt.Add(r.progressAge * 100 / time.Duration(r.percent))
	}
	if end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunFactor * float64(now.Sub(start))))
}
