package scheduler

import "time"

const (
	// minMoveAge is the minimum age of a run that may be moved.
	minMoveAge = 40 * time.Millisecond
	// maxMovePace is the pace, relative to the speed of the worker as estimated when
	// the run was placed, below which a run on an ejected worker is moved.
	maxMovePace = 0.35
	// moveDelay is roughly how long it takes to stop a run and start it elsewhere.
	moveDelay = 60 * time.Millisecond
)

// moveSlowRuns stops runs that make little or no progress on ejected workers, so that
// they run elsewhere, if they are expected to end sooner there.
func (s *Scheduler) moveSlowRuns(now time.Time) {
	for _, a := range s.agentsByName {
		if !a.synced || !a.health.ejected {
			continue
		}
		var moved []*task
		for _, t := range a.sortedTasks() {
			if s.worthMoving(t, now) {
				if a.health.isProbe(t.current()) {
					s.eject(a, "pace of the probe is too low")
				}
				t.moving = true
				t.avoidAgent(a, now.Add(avoidAfterFailure))
				moved = append(moved, t)
				s.emit(Note{Job: t.job.ID, Queue: t.job.Queue.Name, Run: t.current(), Agent: a.name, What: "run stopped to move it", Why: "pace is too low", Age: now.Sub(t.placedAt)})
			}
		}
		s.withdraw(moved)
	}
}

// worthMoving reports whether a run is slow and a new run elsewhere could end before
// the deadline.
func (s *Scheduler) worthMoving(t *task, now time.Time) bool {
	if t.moving || t.progressAge < minMoveAge || t.pace() >= maxMovePace*t.placedSpeed {
		return false
	}
	estimate := t.job.Steps[t.step].Estimate
	return now.Add(moveDelay + estimate).Before(t.job.Deadline)
}
