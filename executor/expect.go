package executor

import "time"

const (
	// progressLeast is the least progress, in percent, from which a run's end is
	// extrapolated. Less of it says little, since it is told in whole percent.
	progressLeast = 10
	// overrunShare is how much longer a run past its expected end is taken to go
	// on, as a share of its age.
	overrunShare = 0.25
)

// expectedEnd returns when a run that holds room is expected to end: after its
// estimate, corrected by its progress.
func (x *Executor) expectedEnd(r *run, now time.Time) time.Time {
	end := r.sentAt.Add(r.Estimate)
	if r.percent >= progressLeast && r.age > 0 {
		end = r.sentAt.Add(r.age * 100 / time.Duration(r.percent))
	}
	if now.Before(end) {
		return end
	}
	return now.Add(time.Duration(overrunShare * float64(now.Sub(r.sentAt))))
}
