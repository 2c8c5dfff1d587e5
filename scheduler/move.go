package scheduler

import "time"

const (
	// minMoveAge is the least age of a run that may be moved.
	minMoveAge = 40 * time.Millisecond
	// maxMovePace is the pace, against the speed of the worker as it was known when
	// the run was placed, under which a run on a slow worker is moved.
	maxMovePace = 0.35
	// moveDelay is about how long it takes to stop a run and start it anew.
	moveDelay = 60 * time.Millisecond
)

// moveSlowRuns stops runs that stand still or crawl on workers found slow, so that
// they run elsewhere, where that ends sooner.
func (s *Scheduler) moveSlowRuns(now time.Time) {
	for _, a := range s.agentsByName {
		if !a.synced || !a.health.ejected {
			continue
		}
		var moved []*task
		for _, t := range a.sortedTasks() {
			if s.worthMoving(t, now) {
				if a.health.isProbe(t.current()) {
					s.eject(a, "probe is slow")
				}
				t.moving = true
				t.avoidAgent(a, now.Add(avoidAfterFailure))
				moved = append(moved, t)
				s.emit(Note{Job: t.job.ID, Queue: t.job.Queue.Name, Run: t.current(), Agent: a.name, What: "run stopped to move it", Why: "slow", Age: now.Sub(t.placedAt)})
			}
		}
		s.withdraw(moved)
	}
}

// worthMoving reports whether a run would end sooner elsewhere, and in time.
func (s *Scheduler) worthMoving(t *task, now time.Time) bool {
	if t.moving || t.progressAge < minMoveAge || t.pace() >= maxMovePace*t.placedSpeed {
		return false
	}
	estimate := t.job.Steps[t.step].Estimate
	return now.Add(moveDelay + estimate).Before(t.job.Deadline)
}
