package scheduler

import "github.com/pomeloferry/pomeloferry/messenger"

// A job that is over may leave runs behind that go on for a while: the word to
// withdraw them takes its time, and may get lost with the link. When its caller
// sends the job again, its tasks wait until these runs are known to have ended.

// trackWithdrawn keeps tasks of a job that is over until their runs have ended.
func (s *Scheduler) trackWithdrawn(tasks []*task) {
	for _, t := range tasks {
		t.agent.withdrawn[t.current()] = t
		s.withdrawnRuns[t.job.ID]++
	}
}

// releaseWithdrawn notes that a withdrawn run has ended or has never started. The job may
// run again when it was the last one.
func (s *Scheduler) releaseWithdrawn(a *agent, t *task) {
	delete(a.withdrawn, t.current())
	id := t.job.ID
	if s.withdrawnRuns[id]--; s.withdrawnRuns[id] > 0 {
		return
	}
	delete(s.withdrawnRuns, id)
	if j := s.jobs[id]; j != nil {
		s.enqueue(j)
	}
}

// handleWithdrawnEnd takes in the end of a withdrawn run. A task that is done need not
// run again when its job has been sent again meanwhile.
func (s *Scheduler) handleWithdrawnEnd(a *agent, t *task, e messenger.RunEnd) {
	if j := s.jobs[t.job.ID]; j != nil && e.Reason == messenger.RunDone {
		for _, again := range j.tasks {
			if again.id == t.id && again.state == ready {
				s.completeTask(again)
			}
		}
	}
	s.releaseWithdrawn(a, t)
}

// reconcileWithdrawn compares an agent's complete list with the runs that were
// withdrawn there.
func (s *Scheduler) reconcileWithdrawn(a *agent, r messenger.Report, there map[messenger.Run]bool) {
	for _, t := range sortTasks(a.withdrawn) {
		if !there[t.current()] && t.coveredBy(a, r) {
			s.releaseWithdrawn(a, t)
		}
	}
}
