package scheduler

import "github.com/pomeloferry/pomeloferry/messenger"

// A job that is over may leave runs behind that go on for a while: the word to
// withdraw them takes its time, and may get lost with the link. When its caller
// sends the job again, its tasks wait until these runs are known to have ended.

// leave keeps tasks of a job that is over until their runs have ended.
func (s *Scheduler) leave(tasks []*task) {
	for _, t := range tasks {
		t.agent.withdrawn[t.current()] = t
		s.remains[t.job.ID]++
	}
}

// over notes that a withdrawn run has ended or has never started. The job may
// run again when it was the last one.
func (s *Scheduler) over(a *agent, t *task) {
	delete(a.withdrawn, t.current())
	id := t.job.ID
	if s.remains[id]--; s.remains[id] > 0 {
		return
	}
	delete(s.remains, id)
	if j := s.jobs[id]; j != nil {
		s.enqueue(j)
	}
}

// endedLate takes in the end of a withdrawn run. A task that is done need not
// run again when its job has been sent again meanwhile.
func (s *Scheduler) endedLate(a *agent, t *task, e messenger.RunEnd) {
	if j := s.jobs[t.job.ID]; j != nil && e.Reason == messenger.RunDone {
		for _, again := range j.tasks {
			if again.id == t.id && again.state == ready {
				s.done(again)
			}
		}
	}
	s.over(a, t)
}

// reconcileWithdrawn compares an agent's complete list with the runs that were
// withdrawn there.
func (s *Scheduler) reconcileWithdrawn(a *agent, r messenger.Report, there map[messenger.Run]bool) {
	for _, t := range sortTasks(a.withdrawn) {
		if !there[t.current()] && t.covered(a, r) {
			s.over(a, t)
		}
	}
}
