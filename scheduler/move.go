package scheduler

import "time"

const (
	// stallAge is the least age of a run that may be moved.
	stallAge = 40 * time.Millisecond
	// stallPace is the pace, against the speed of the worker as it was known when
	// the run was placed, under which a run on a slow worker is moved.
	stallPace = 0.35
	// moveCost is about how long it takes to stop a run and start it anew.
	moveCost = 60 * time.Millisecond
)

// moveSlow stops runs that stand still or crawl on workers found slow, so that
// they run elsewhere, where that ends sooner.
func (s *Scheduler) moveSlow(now time.Time) {
	for _, a := range s.byName {
		if !a.open || !a.health.ejected {
			continue
		}
		var moved []*task
		for _, t := range a.sorted() {
			if s.worthMoving(t, now) {
				if a.health.probed(t.current()) {
					s.eject(a, "probe is slow")
				}
				t.moving = true
				t.shun(a, now.Add(shunFailed))
				moved = append(moved, t)
				s.emit(Note{Job: t.job.ID, Queue: t.job.Queue.Name, Run: t.current(), Agent: a.name, What: "run stopped to move it", Why: "slow", Age: now.Sub(t.placedAt)})
			}
		}
		s.withdraw(moved)
	}
}

// worthMoving reports whether a run would end sooner elsewhere, and in time.
func (s *Scheduler) worthMoving(t *task, now time.Time) bool {
	if t.moving || t.age < stallAge || t.pace() >= stallPace*t.speed {
		return false
	}
	estimate := t.job.Steps[t.step].Estimate
	return now.Add(moveCost + estimate).Before(t.job.Deadline)
}
