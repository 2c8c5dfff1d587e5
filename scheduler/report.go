package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// shunFailed and shunRefused are how long a task is kept away from a worker
	// on which it has failed, or whose agent has refused it.
	shunFailed  = 2 * time.Second
	shunRefused = 200 * time.Millisecond
)

// Opened notes a new link to an agent. Nothing is placed there before it has
// sent a complete list of what it runs for this entry.
func (s *Scheduler) Opened(name string) {
	a := s.agentNamed(name)
	a.open = false
	a.openedAt = s.clock.Now()
	a.echoed = time.Time{}
	a.links++
	a.placements = 0
	a.pending = nil
	a.heard = 0
	a.reserves = 0
	s.loseReservation(a)
	a.speed = usualSpeed
}

// Closed notes that the link to an agent has ended.
func (s *Scheduler) Closed(name string) {
	a := s.agentNamed(name)
	a.open = false
	a.pending = nil
	s.loseReservation(a)
	s.emit(Note{Agent: name, What: "agent out of touch", Why: "link closed", Age: s.clock.Since(a.reportedAt)})
}

// Heard returns the number of the last outcome that an agent has told on its
// link. The agent need not tell it again.
func (s *Scheduler) Heard(name string) uint64 { return s.agentNamed(name).heard }

// Upstream returns what was last heard of the worker at an agent.
func (s *Scheduler) Upstream(name string) messenger.Upstream {
	return s.agentNamed(name).upstream
}

// Report takes in an agent's word.
func (s *Scheduler) Report(r messenger.Report) {
	a := s.agentNamed(r.Agent)
	a.heard = r.LastOutcome
	if r.Upstream != nil {
		if r.Upstream.ID != a.upstream.ID || r.Upstream.Born != a.upstream.Born {
			a.health = health{}
			a.speed = usualSpeed
		}
		old := a.upstream.Service
		a.upstream = *r.Upstream
		s.updateLargest(old)
		s.updateLargest(a.upstream.Service)
	}
	a.report = r
	a.speed.update(r)
	a.reportedAt = s.clock.Now()
	a.covered()
	s.confirm(a)
	waiting := s.requeued
	for _, e := range r.Ended {
		s.ended(a, e)
	}
	for _, f := range r.Refused {
		s.refused(a, f)
	}
	for _, p := range r.Runs {
		s.progress(a, p)
	}
	s.heldElsewhere(a, r)
	if r.RunsComplete {
		s.reconcile(a, r)
	}
	s.checkHealth(a)
	if r.RunsComplete || s.requeued != waiting {
		s.pass()
		return
	}
	s.passAt(a)
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
	a.open = true
	for _, t := range a.sorted() {
		switch {
		case !there[t.current()] && t.covered(a, r):
			// It does not run, but it may have: the agent forgets in the end.
			t.job.begun = true
			s.again(t, "not at agent")
		case !there[t.current()]:
		case restarted:
			// A restarted agent does not know whose run it is.
			t.job.begun = true
			s.send(a, t.job, []*task{t})
		}
	}
	s.reconcileWithdrawn(a, r, there)
	var strays []messenger.Run
	for _, p := range r.Runs {
		if a.withdrawn[p.Run] != nil || (a.tasks[p.Run] == nil && (!restarted || s.jobs[jobOf(p.Task)] != nil)) {
			strays = append(strays, p.Run)
		}
	}
	if len(strays) > 0 {
		s.emit(Send{Agent: a.name, Message: messenger.Withdraw{Runs: strays}})
	}
}

// lose gives up the runs of an agent that has been out of touch for so long
// that they have ended for certain.
func (s *Scheduler) lose(a *agent) {
	for _, t := range a.sorted() {
		t.job.begun = true
		s.again(t, "agent lost")
	}
	for _, t := range sortTasks(a.withdrawn) {
		s.over(a, t)
	}
}

// sorted returns the agent's tasks in a fixed order.
func (a *agent) sorted() []*task { return sortTasks(a.tasks) }

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

func (s *Scheduler) progress(a *agent, p messenger.Progress) {
	t := a.tasks[p.Run]
	if t == nil || p.Age <= 0 {
		return
	}
	t.job.begun = true
	t.percent = p.Percent
	t.age = p.Age
}

// pace returns the work done over the work expected by now.
func (t *task) pace() float64 {
	estimate := t.estimate()
	if t.age <= 0 || estimate <= 0 {
		return 1
	}
	return float64(t.percent) / 100 * float64(estimate) / float64(t.age)
}

// ended takes in the end of a run.
func (s *Scheduler) ended(a *agent, e messenger.RunEnd) {
	if t := a.withdrawn[e.Run]; t != nil {
		s.endedLate(a, t, e)
		return
	}
	t := a.tasks[e.Run]
	if t == nil {
		return
	}
	t.job.begun = true
	switch e.Reason {
	case messenger.RunDone:
		s.finish(a, t)
	case messenger.RunFailed:
		s.fail(a, t)
	default:
		s.again(t, "run ended: "+string(e.Reason))
	}
}

func (s *Scheduler) finish(a *agent, t *task) {
	s.throughput.add(t.work(), s.clock.Now())
	took := s.clock.Since(t.placedAt)
	a.health.succeeded(t.current(), float64(t.estimate())/float64(max(took, time.Millisecond)))
	t.unplace()
	s.done(t)
}

// done notes that a task is done, which may end its job or begin its next
// steps.
func (s *Scheduler) done(t *task) {
	j := t.job
	t.state = finished
	j.left[t.step]--
	if j.done() {
		s.end(j, Answer{Outcome: Complete})
		return
	}
	if j.left[t.step] == 0 {
		j.unblock(s.clock.Now())
		s.enqueue(j)
	}
}

// fail takes in a run that failed, by its own fault or the worker's.
func (s *Scheduler) fail(a *agent, t *task) {
	if a.health.probed(t.current()) {
		s.eject(a, "failed the probe")
	}
	t.failures++
	if t.failures >= t.job.Queue.MaxAttempts {
		t.unplace()
		t.state = finished
		s.end(t.job, Answer{Outcome: JobFailed, Why: "task " + t.id + " failed too often"})
		return
	}
	t.shun(a, s.clock.Now().Add(shunFailed))
	s.again(t, "run failed")
}

// covered reports whether a complete list must hold the task: it was placed on
// an earlier link, or the agent had taken its placement in.
func (t *task) covered(a *agent, r messenger.Report) bool {
	return t.link < a.links || t.place <= r.AckedPlace
}

// shun keeps a task away from an agent for a while.
func (t *task) shun(a *agent, until time.Time) {
	if t.avoid == nil {
		t.avoid = make(map[string]time.Time)
	}
	t.avoid[a.name] = until
}

// refused takes in a run that has not started.
func (s *Scheduler) refused(a *agent, r messenger.Refusal) {
	if t := a.withdrawn[r.Run]; t != nil {
		s.over(a, t)
		return
	}
	t := a.tasks[r.Run]
	if t == nil {
		return
	}
	if r.Reason == messenger.RefusedSuperseded {
		// A run of the task has been at the worker before.
		t.job.begun = true
	}
	if r.Reason != messenger.RefusedNoRoom {
		t.shun(a, s.clock.Now().Add(shunRefused))
	}
	since := t.job.queuedAt
	s.again(t, "refused: "+string(r.Reason))
	t.job.queuedAt = since
	s.uncountStart(t.job, s.clock.Now())
}

// unplace takes a task off its agent, whose worker its run tells nothing more of.
func (t *task) unplace() {
	t.agent.health.unproven(t.current())
	delete(t.agent.tasks, t.current())
	t.agent = nil
}

// again makes a task wait for a worker once more.
func (s *Scheduler) again(t *task, why string) {
	s.emit(Note{Job: t.job.ID, Queue: t.job.Queue.Name, Run: t.current(), Agent: t.agent.name, What: "task to be placed again", Why: why, Age: s.clock.Since(t.job.arrived)})
	t.unplace()
	t.state = ready
	t.percent = 0
	t.age = 0
	t.moving = false
	s.enqueue(t.job)
}

func jobOf(task string) string {
	for i := range len(task) {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}
