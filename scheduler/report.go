package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// avoidAfterFailure and avoidAfterRefusal are how long a task is kept away from a worker
	// on which it has failed, or whose agent has refused it.
	avoidAfterFailure = 2 * time.Second
	avoidAfterRefusal = 200 * time.Millisecond
)

// LinkOpened notes a new link to an agent. Nothing is placed there before it has
// sent a complete list of what it runs for this entry.
func (s *Scheduler) LinkOpened(name string) {
	a := s.findOrAddAgent(name)
	a.synced = false
	a.linkOpenedAt = s.clock.Now()
	a.echoedHeartbeatAt = time.Time{}
	a.linkNumber++
	a.placeNumber = 0
	a.pending = nil
	a.lastOutcome = 0
	a.reserveNumber = 0
	s.reservationLinkEnded(a)
	a.speed = defaultSpeed
}

// LinkClosed notes that the link to an agent has ended.
func (s *Scheduler) LinkClosed(name string) {
	a := s.findOrAddAgent(name)
	a.synced = false
	a.pending = nil
	s.reservationLinkEnded(a)
	s.emit(Note{Agent: name, What: "agent out of touch", Why: "link closed", Age: s.clock.Since(a.reportedAt)})
}

// LastOutcome returns the number of the last outcome that an agent has told on its
// link. The agent need not tell it again.
func (s *Scheduler) LastOutcome(name string) uint64 { return s.findOrAddAgent(name).lastOutcome }

// Upstream returns what was last heard of the worker at an agent.
func (s *Scheduler) Upstream(name string) messenger.Upstream {
	return s.findOrAddAgent(name).upstream
}

// HandleReport takes in an agent's word.
func (s *Scheduler) HandleReport(r messenger.Report) {
	a := s.findOrAddAgent(r.Agent)
	a.lastOutcome = r.LastOutcome
	if r.Upstream != nil {
		if r.Upstream.ID != a.upstream.ID || r.Upstream.Born != a.upstream.Born {
			a.health = health{}
			a.speed = defaultSpeed
		}
		old := a.upstream.Service
		a.upstream = *r.Upstream
		s.updateMaxCapacity(old)
		s.updateMaxCapacity(a.upstream.Service)
	}
	a.report = r
	a.speed.update(r)
	a.reportedAt = s.clock.Now()
	a.dropReported()
	s.confirmReservation(a)
	waiting := s.enqueueCount
	for _, e := range r.Ended {
		s.handleEnd(a, e)
	}
	for _, f := range r.Refused {
		s.handleRefusal(a, f)
	}
	for _, p := range r.Runs {
		s.handleProgress(a, p)
	}
	s.handleHeldJobs(a, r)
	if r.RunsComplete {
		s.reconcile(a, r)
	}
	s.checkHealth(a)
	if r.RunsComplete || s.enqueueCount != waiting {
		s.schedulingPass()
		return
	}
	s.schedulingPassAt(a)
}

// reconcile compares an agent's complete list with what was placed there.
func (s *Scheduler) reconcile(a *agent, r messenger.Report) {
	there := make(map[messenger.Run]bool, len(r.Runs))
	for _, p := range r.Runs {
		there[p.Run] = true
	}
	restarted := a.incarnation != r.Incarnation
	s.emit(Note{Agent: a.name, What: "list of runs taken in", Why: fmt.Sprintf("%d runs there, %d tasks placed, restarted: %t", len(r.Runs), len(a.tasks), restarted)})
	a.incarnation = r.Incarnation
	a.synced = true
	for _, t := range a.sortedTasks() {
		switch {
		case !there[t.current()] && t.coveredBy(a, r):
			// It does not run, but it may have: the agent forgets in the end.
			t.job.mayHaveStarted = true
			s.requeueTask(t, "not at agent")
		case !there[t.current()]:
		case restarted:
			// A restarted agent does not know whose run it is.
			t.job.mayHaveStarted = true
			s.placeTasks(a, t.job, []*task{t})
		}
	}
	s.reconcileWithdrawn(a, r, there)
	var strays []messenger.Run
	for _, p := range r.Runs {
		if a.withdrawn[p.Run] != nil || (a.tasks[p.Run] == nil && (!restarted || s.jobs[jobIDOf(p.Task)] != nil)) {
			strays = append(strays, p.Run)
		}
	}
	if len(strays) > 0 {
		s.emit(Send{Agent: a.name, Message: messenger.Withdraw{Runs: strays}})
	}
}

// requeueLost gives up the runs of an agent that has been out of touch for so long
// that they have ended for certain.
func (s *Scheduler) requeueLost(a *agent) {
	for _, t := range a.sortedTasks() {
		t.job.mayHaveStarted = true
		s.requeueTask(t, "agent lost")
	}
	for _, t := range sortTasks(a.withdrawn) {
		s.releaseWithdrawn(a, t)
	}
}

// sortedTasks returns the agent's tasks in a fixed order.
func (a *agent) sortedTasks() []*task { return sortTasks(a.tasks) }

// sortTasks returns tasks in a fixed order.
func sortTasks(tasks map[messenger.Run]*task) []*task {
	out := slices.Collect(maps.Values(tasks))
	slices.SortFunc(out, func(x, y *task) int {
		if x.job != y.job {
			return int(x.job.number) - int(y.job.number)
		}
		return slices.Compare([]byte(x.id), []byte(y.id))
	})
	return out
}

func (s *Scheduler) handleProgress(a *agent, p messenger.Progress) {
	t := a.tasks[p.Run]
	if t == nil || p.Age <= 0 {
		return
	}
	t.job.mayHaveStarted = true
	t.progressPercent = p.Percent
	t.progressAge = p.Age
}

// pace returns the work done over the work expected by now.
func (t *task) pace() float64 {
	estimate := t.estimate()
	if t.progressAge <= 0 || estimate <= 0 {
		return 1
	}
	return float64(t.progressPercent) / 100 * float64(estimate) / float64(t.progressAge)
}

// handleEnd takes in the end of a run.
func (s *Scheduler) handleEnd(a *agent, e messenger.RunEnd) {
	if t := a.withdrawn[e.Run]; t != nil {
		s.handleWithdrawnEnd(a, t, e)
		return
	}
	t := a.tasks[e.Run]
	if t == nil {
		return
	}
	t.job.mayHaveStarted = true
	switch e.Reason {
	case messenger.RunDone:
		s.handleSuccess(a, t)
	case messenger.RunFailed:
		s.handleFailure(a, t)
	default:
		s.requeueTask(t, "run ended: "+string(e.Reason))
	}
}

func (s *Scheduler) handleSuccess(a *agent, t *task) {
	s.throughput.add(t.work(), s.clock.Now())
	took := s.clock.Since(t.placedAt)
	a.health.recordSuccess(t.current(), float64(t.estimate())/float64(max(took, time.Millisecond)))
	t.unplace()
	s.completeTask(t)
}

// completeTask notes that a task is done, which may end its job or begin its next
// steps.
func (s *Scheduler) completeTask(t *task) {
	j := t.job
	t.state = finished
	j.unfinished[t.step]--
	if j.done() {
		s.endJob(j, Answer{Outcome: Complete})
		return
	}
	if j.unfinished[t.step] == 0 {
		j.unblock(s.clock.Now())
		s.enqueue(j)
	}
}

// handleFailure takes in a run that failed, by its own fault or the worker's.
func (s *Scheduler) handleFailure(a *agent, t *task) {
	if a.health.isProbe(t.current()) {
		s.eject(a, "failed the probe")
	}
	t.failures++
	if t.failures >= t.job.Queue.MaxAttempts {
		t.unplace()
		t.state = finished
		s.endJob(t.job, Answer{Outcome: JobFailed, Why: "task " + t.id + " failed too often"})
		return
	}
	t.avoidAgent(a, s.clock.Now().Add(avoidAfterFailure))
	s.requeueTask(t, "run failed")
}

// coveredBy reports whether a complete list must hold the task: it was placed on
// an earlier link, or the agent had taken its placement in.
func (t *task) coveredBy(a *agent, r messenger.Report) bool {
	return t.linkNumber < a.linkNumber || t.placeNumber <= r.AckedPlace
}

// avoidAgent keeps a task away from an agent for a while.
func (t *task) avoidAgent(a *agent, until time.Time) {
	if t.avoidUntil == nil {
		t.avoidUntil = make(map[string]time.Time)
	}
	t.avoidUntil[a.name] = until
}

// handleRefusal takes in a run that has not started.
func (s *Scheduler) handleRefusal(a *agent, r messenger.Refusal) {
	if t := a.withdrawn[r.Run]; t != nil {
		s.releaseWithdrawn(a, t)
		return
	}
	t := a.tasks[r.Run]
	if t == nil {
		return
	}
	if r.Reason == messenger.RefusedSuperseded {
		// A run of the task has been at the worker before.
		t.job.mayHaveStarted = true
	}
	if r.Reason != messenger.RefusedNoRoom {
		t.avoidAgent(a, s.clock.Now().Add(avoidAfterRefusal))
	}
	since := t.job.queuedAt
	s.requeueTask(t, "refused: "+string(r.Reason))
	t.job.queuedAt = since
	s.uncountStart(t.job, s.clock.Now())
}

// unplace takes a task off its agent, whose worker its run tells nothing more of.
func (t *task) unplace() {
	t.agent.health.clearProbe(t.current())
	delete(t.agent.tasks, t.current())
	t.agent = nil
}

// requeueTask makes a task wait for a worker once more.
func (s *Scheduler) requeueTask(t *task, why string) {
	s.emit(Note{Job: t.job.ID, Queue: t.job.Queue.Name, Run: t.current(), Agent: t.agent.name, What: "task to be placed again", Why: why, Age: s.clock.Since(t.job.arrived)})
	t.unplace()
	t.state = ready
	t.progressPercent = 0
	t.progressAge = 0
	t.moving = false
	s.enqueue(t.job)
}

func jobIDOf(task string) string {
	for i := range len(task) {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}
