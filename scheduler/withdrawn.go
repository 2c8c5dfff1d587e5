package scheduler

import "github.com/pomeloferry/pomeloferry/messenger"

// Runs of a finished job may go on for a while: the message that withdraws them takes
// time, and may be lost with the link. If the caller sends the job again, its tasks
// wait until these runs are known to have ended.

// trackWithdrawn tracks the runs of a finished job until they are known to have ended.
func (s *Scheduler) trackWithdrawn(tasks []*task) {
	for _, t := range tasks {
		t.agent.withdrawn[t.current()] = t
		s.withdrawnRuns[t.job.ID]++
	}
}

// releaseWithdrawn records that a withdrawn run has ended or has never started. If it
// was the last one of its job, the job may run again.
func (s *Scheduler) releaseWithdrawn(a *agent, t *task) {
	delete(a.withdrawn, t.current())
	id := t.job.ID
	if s.withdrawnRuns[id]--; s.withdrawnRuns[id] > 0 {
		return
	}
	delete(s.withdrawnRuns, id)
	if j := s.jobs[id]; j != nil {
		s.enqueue(j)
		return
	}
	s.unlock(id)
}

// handleWithdrawnEnd processes the end of a withdrawn run. If the run was done and its
// job has been sent again meanwhile, the task does not run again.
func (s *Scheduler) handleWithdrawnEnd(a *agent, t *task, e messenger.RunEnd) {
	if j := s.jobs[t.job.ID]; j != nil && e.Reason == messenger.RunDone {
		for _, newTask := range j.tasks {
			if newTask.id == t.id && newTask.state == ready {
				s.completeTask(newTask)
			}
		}
	}
	s.releaseWithdrawn(a, t)
}

// reconcileWithdrawn compares an agent's complete list of runs with the runs that were
// withdrawn there.
func (s *Scheduler) reconcileWithdrawn(a *agent, r messenger.Report, listed map[messenger.Run]bool) {
	for _, t := range sortTasks(a.withdrawn) {
		if !listed[t.current()] && t.coveredBy(a, r) {
			s.releaseWithdrawn(a, t)
		}
	}
}
