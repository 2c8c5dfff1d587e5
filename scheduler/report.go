package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// avoidAfterFailure and avoidAfterRefusal are how long a task is not placed on a
	// worker on which it has failed, or at an agent that has refused it.
	avoidAfterFailure = 2 * time.Second
	avoidAfterRefusal = 200 * time.Millisecond
)

// LinkOpened records a new link to an agent. Nothing is placed there before the agent
// has reported a complete list of the runs that it has for this entry.
func (s *Scheduler) LinkOpened(name string) {
	a := s.findOrAddAgent(name)
	a.synced = false
	a.linkOpenedAt = s.clock.Now()
	a.echoedHeartbeatAt = time.Time{}
	a.linked = true
	a.holders = 0
	a.report.Timestamp = 0 // The agent may have restarted.
	a.contactAt = a.linkOpenedAt
	a.dropVotes()
	a.linkNumber++
	a.placeNumber = 0
	a.pending = nil
	a.lastOutcome = 0
	a.reserveNumber = 0
	s.reservationLinkEnded(a)
	a.speed = defaultSpeed
	a.witnessVersion = 0
	s.tellWitnesses(a)
	s.relock(a, a.linkOpenedAt)
	s.advanceLocks(a.linkOpenedAt)
}

// LinkClosed records that the link to an agent has ended.
func (s *Scheduler) LinkClosed(name string) {
	a := s.findOrAddAgent(name)
	a.synced = false
	a.pending = nil
	a.linked = false
	a.dropVotes()
	s.reservationLinkEnded(a)
	s.advanceLocks(s.clock.Now())
	s.emit(Note{Agent: name, What: "agent out of touch", Why: "link closed", Age: s.clock.Since(a.reportedAt)})
}

// LastOutcome returns the number of the last outcome that an agent has reported on its
// link. The agent need not report it again.
func (s *Scheduler) LastOutcome(name string) uint64 { return s.findOrAddAgent(name).lastOutcome }

// Upstream returns the worker of an agent as last reported.
func (s *Scheduler) Upstream(name string) messenger.Upstream {
	return s.findOrAddAgent(name).upstream
}

// HandleReport processes an agent's report.
func (s *Scheduler) HandleReport(r messenger.Report) {
	a := s.findOrAddAgent(r.Agent)
	a.lastOutcome = r.LastOutcome
	if r.Upstream != nil {
		if r.Upstream.ID != a.upstream.ID || r.Upstream.Born != a.upstream.Born {
			a.health = health{}
			a.speed = defaultSpeed
		}
		oldService := a.upstream.Service
		a.upstream = *r.Upstream
		if a.upstream.Draining {
			a.leaving = a.upstream.Incarnation()
		}
		s.updateMaxCapacity(oldService)
		s.updateMaxCapacity(a.upstream.Service)
	}
	a.report = r
	if r.Holders != 0 {
		a.holders = r.Holders
	}
	if r.Timestamp > allStartedWithin {
		s.witnesses.allStarted = false
	}
	a.speed.update(r)
	a.reportedAt = s.clock.Now()
	a.dropReported()
	s.confirmReservation(a)
	enqueuedBefore := s.enqueueCount
	s.handleCrashes(a, r.Crashes)
	s.settleUnexplained(a)
	for _, e := range r.Ended {
		s.handleEnd(a, e)
	}
	for _, f := range r.Refused {
		s.handleRefusal(a, f)
	}
	for _, p := range r.Runs {
		s.handleProgress(a, p)
	}
	s.recordEcho(a, r.Echo)
	if r.RunsComplete {
		s.reconcile(a, r)
	}
	s.checkHealth(a)
	if r.RunsComplete || s.enqueueCount != enqueuedBefore {
		s.schedulingPass()
		return
	}
	s.schedulingPassAt(a)
}

// recordEcho records the newest heartbeat that an agent has received.
func (s *Scheduler) recordEcho(a *agent, echo time.Duration) {
	if echo <= 0 {
		return
	}
	a.echoedHeartbeatAt = a.linkOpenedAt.Add(echo)
	a.recordContact(a.echoedHeartbeatAt, s.clock.Now())
}

// reconcile compares an agent's complete list of runs with what was placed there.
func (s *Scheduler) reconcile(a *agent, r messenger.Report) {
	listed := make(map[messenger.Run]bool, len(r.Runs))
	for _, p := range r.Runs {
		listed[p.Run] = true
	}
	restarted := a.incarnation != r.Incarnation
	s.emit(Note{Agent: a.name, What: "list of runs taken in", Why: fmt.Sprintf("%d runs listed, %d tasks placed, agent restarted: %t", len(r.Runs), len(a.tasks), restarted)})
	a.incarnation = r.Incarnation
	a.synced = true
	for _, t := range a.sortedTasks() {
		switch {
		case !listed[t.current()] && t.coveredBy(a, r):
			// The run is not there now, but it may have been: an agent evicts finished
			// runs eventually.
			t.job.mayHaveStarted = true
			if restarted {
				a.noteUnexplained(t)
				s.settleUnexplained(a)
			}
			s.requeueTask(t, "not in the run list of the agent")
		case !listed[t.current()]:
		case restarted:
			// A restarted agent does not know which entry owns the run.
			t.job.mayHaveStarted = true
			s.placeTasks(a, t.job, []*task{t})
		}
	}
	s.reconcileWithdrawn(a, r, listed)
	var unknownRuns []messenger.Run
	for _, p := range r.Runs {
		// What a restarted agent has found may be of the entry that has locked the job.
		j := s.jobs[jobIDOf(p.Task)]
		mayBeOthers := restarted && (j == nil || !s.lockAcquired(j))
		if a.withdrawn[p.Run] != nil || a.tasks[p.Run] == nil && !mayBeOthers {
			unknownRuns = append(unknownRuns, p.Run)
		}
	}
	if len(unknownRuns) > 0 {
		s.emit(Send{Agent: a.name, Message: messenger.Withdraw{Runs: unknownRuns}})
	}
}

// requeueLost requeues the tasks of an agent that has been disconnected for so long
// that their runs have certainly ended.
func (s *Scheduler) requeueLost(a *agent) {
	for _, t := range a.sortedTasks() {
		t.job.mayHaveStarted = true
		a.noteUnexplained(t)
		s.requeueTask(t, "agent lost")
	}
	for _, t := range sortTasks(a.withdrawn) {
		s.releaseWithdrawn(a, t)
	}
}

// sortedTasks returns the tasks placed at the agent, ordered as by sortTasks.
func (a *agent) sortedTasks() []*task { return sortTasks(a.tasks) }

// sortTasks returns tasks ordered by the arrival of their jobs and then by ID.
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

// handleProgress processes the reported progress of a run.
func (s *Scheduler) handleProgress(a *agent, p messenger.Progress) {
	t := a.tasks[p.Run]
	if t == nil || p.Age <= 0 {
		return
	}
	t.job.mayHaveStarted = true
	t.progressPercent = p.Percent
	t.progressAge = p.Age
}

// pace returns the work done by the current run over the work expected by now; 1 when
// nothing is known.
func (t *task) pace() float64 {
	estimate := t.estimate()
	if t.progressAge <= 0 || estimate <= 0 {
		return 1
	}
	return float64(t.progressPercent) / 100 * float64(estimate) / float64(t.progressAge)
}

// handleEnd processes the end of a run.
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

// handleSuccess processes a run that ended as done.
func (s *Scheduler) handleSuccess(a *agent, t *task) {
	s.throughput.add(t.work(), s.clock.Now())
	elapsed := s.clock.Since(t.placedAt)
	a.health.recordSuccess(t.current(), float64(t.estimate())/float64(max(elapsed, time.Millisecond)))
	t.unplace()
	s.completeTask(t)
}

// completeTask marks a task as finished. This may end its job or make the tasks of
// later steps ready.
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

// handleFailure processes a run that failed, whether the task or the worker is at
// fault.
func (s *Scheduler) handleFailure(a *agent, t *task) {
	if a.health.isProbe(t.current()) {
		s.eject(a, "probe run failed")
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

// coveredBy reports whether a complete list of runs must contain the task's run if it
// is still there: the task was placed on an earlier link, or the agent had processed
// its placement.
func (t *task) coveredBy(a *agent, r messenger.Report) bool {
	return t.linkNumber < a.linkNumber || t.placeNumber <= r.AckedPlace
}

// avoidAgent keeps the task from being placed at an agent until a time.
func (t *task) avoidAgent(a *agent, until time.Time) {
	if t.avoidUntil == nil {
		t.avoidUntil = make(map[string]time.Time)
	}
	t.avoidUntil[a.name] = until
}

// handleRefusal processes the refusal of a run, which has not started and will not
// start.
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
		// The worker has already seen this run number of the task or a higher one.
		t.job.mayHaveStarted = true
	}
	if r.Reason != messenger.RefusedNoRoom {
		t.avoidAgent(a, s.clock.Now().Add(avoidAfterRefusal))
	}
	t.lastStart = false // It was not used.
	queuedAt := t.job.queuedAt
	s.requeueTask(t, "refused: "+string(r.Reason))
	t.job.queuedAt = queuedAt
	s.uncountStart(t.job, s.clock.Now())
}

// unplace removes the task from its agent. If its run was the probe, it no longer
// decides on the ejection.
func (t *task) unplace() {
	t.agent.health.clearProbe(t.current())
	delete(t.agent.tasks, t.current())
	t.agent = nil
}

// requeueTask makes a placed task ready again, unless it is to be given up because workers
// have crashed under it. It does nothing if the task is no longer placed, since its job
// has ended.
func (s *Scheduler) requeueTask(t *task, why string) {
	if t.agent == nil {
		return
	}
	if t.lastStart || s.crashes.condemned(t.id) {
		s.failCrashed(t)
		return
	}
	s.emit(Note{Job: t.job.ID, Queue: t.job.Queue.Name, Run: t.current(), Agent: t.agent.name, What: "task to be placed again", Why: why, Age: s.clock.Since(t.job.arrived)})
	t.unplace()
	t.state = ready
	t.progressPercent = 0
	t.progressAge = 0
	t.moving = false
	t.alone = false
	s.enqueue(t.job)
}

// jobIDOf returns the job ID that a task ID begins with.
func jobIDOf(task string) string {
	for i := range len(task) {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}
