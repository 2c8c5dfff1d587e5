package scheduler

import (
	"fmt"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// passBacklog counts the tasks that the current scheduling pass has left waiting so far.
// Jobs are visited in the order in which they get capacity, so all counted tasks come
// before the next job's.
type passBacklog struct {
	// byRack counts the waiting tasks whose data is on a rack, by rack, and anyRack
	// those that may run on any worker.
	byRack  map[string]int
	anyRack int
	// noCapacity counts the tasks that any worker with free capacity could have taken
	// and that found none.
	noCapacity int
}

// add counts the tasks of a step that the pass has left waiting.
func (b *passBacklog) add(st Step, left []*task) {
	if len(left) == 0 {
		return
	}
	if b.byRack == nil {
		b.byRack = make(map[string]int)
	}
	if st.Rack == "" {
		b.anyRack += len(left)
	} else {
		b.byRack[st.Rack] += len(left)
	}
	for _, t := range left {
		if !t.deferred {
			b.noCapacity++
		}
	}
}

// farFactor returns the ratio of a step's duration on an agent's worker to its duration
// where the step's data is.
func (c Configuration) farFactor(a *agent, st Step) float64 {
	if c.FarFactor <= 1 || a.near(st) {
		return 1
	}
	return c.FarFactor
}

// estimate returns the approximate duration of the task where it was last placed.
func (t *task) estimate() time.Duration {
	return scaled(t.job.Steps[t.step].Estimate, t.farFactor)
}

// scaled returns d scaled by factor; a factor below 1 counts as 1.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * max(factor, 1))
}

// chooseNearOrFar decides between near and far workers for tasks of which an agent can
// take the first n. It returns how many of them the agent gets.
func (s *Scheduler) chooseNearOrFar(a *agent, n int, j *job, step int, waiting []*task, now time.Time) int {
	st := j.Steps[step]
	if st.Rack == "" || s.config.FarFactor <= 1 {
		return n
	}
	if a.near(st) {
		s.noteLocality(j, a, "near now", fmt.Sprintf("free capacity for %d of %d tasks", n, len(waiting)), now)
		return n
	}
	f := s.forecastNear(j, step, waiting, now)
	deferCount := min(f.tasksToDefer(), len(waiting))
	n = min(n, len(waiting)-deferCount)
	s.deferForNear(j, waiting, deferCount, f, now)
	if n > 0 {
		s.noteLocality(j, a, "far", fmt.Sprintf("%d of %d tasks, %v", n, len(waiting), f), now)
	}
	return n
}

// deferForNear marks the last of the tasks as deferred for a near worker, and the others
// as not deferred.
func (s *Scheduler) deferForNear(j *job, waiting []*task, deferCount int, f nearForecast, now time.Time) {
	newlyDeferred := 0
	for i, t := range waiting {
		wasDeferred := t.deferred
		t.deferred = i >= len(waiting)-deferCount
		if t.deferred && !wasDeferred {
			newlyDeferred++
		}
	}
	if newlyDeferred > 0 {
		s.noteLocality(j, nil, "near soon", fmt.Sprintf("%d of %d tasks, %v", newlyDeferred, len(waiting), f), now)
	}
}

// clearDeferred marks tasks as not deferred: no agent has free capacity, so they go to
// any agent that gets some.
func clearDeferred(waiting []*task) {
	for _, t := range waiting {
		t.deferred = false
	}
}

// noteLocality emits the note on a decision between near and far. The agent is nil when
// tasks are deferred for a near worker.
func (s *Scheduler) noteLocality(j *job, a *agent, what, why string, now time.Time) {
	n := Note{Job: j.ID, Queue: j.Queue.Name, What: what, Why: why, Age: now.Sub(j.arrived)}
	if a != nil {
		n.Agent = a.name
	}
	s.emit(n)
}

// nearForecast holds the figures that decide whether tasks wait for a near worker or go
// to a far one now.
type nearForecast struct {
	// maxWait is the maximum time that a task may wait for a near worker; with zero or
	// less it goes to a far worker at once.
	maxWait time.Duration
	// nearCapacity is the number of tasks that near workers are expected to take within
	// maxWait, and tasksBefore the number of tasks that get this capacity first.
	nearCapacity int
	tasksBefore  int
	// farInTime is whether the job would meet its objective on a far worker now, and
	// scarce whether other tasks find no free capacity.
	farInTime bool
	scarce    bool
}

// tasksToDefer returns how many tasks are to be deferred for near workers.
func (f nearForecast) tasksToDefer() int { return max(f.nearCapacity-f.tasksBefore, 0) }

// String implements fmt.Stringer.
func (f nearForecast) String() string {
	return fmt.Sprintf("near capacity for %d tasks within %v, %d tasks before these, far in time: %t, capacity scarce: %t",
		f.nearCapacity, max(f.maxWait, 0), f.tasksBefore, f.farInTime, f.scarce)
}

// forecastNear returns how long tasks may wait for near workers, and for how many of
// them these workers are expected to have free capacity.
func (s *Scheduler) forecastNear(j *job, step int, waiting []*task, now time.Time) nearForecast {
	farDuration := scaled(j.Steps[step].Estimate, s.config.FarFactor)
	f := nearForecast{
		maxWait:   s.maxNearWait(j, waiting[0], now),
		farInTime: !now.Add(farDuration).After(j.stepDueAt(step)),
		scarce:    s.capacityScarce,
	}
	if f.maxWait <= 0 {
		return f
	}
	near := s.nearAgents(j, step, waiting[0], now)
	f.tasksBefore = s.nearTasksBefore(j.Steps[step].Rack, len(near))
	var nearTasks float64
	for _, a := range near {
		// Other entries count on the same capacity. A job that would miss its objective
		// on a far worker has less to lose, and counts on all of it.
		sharers := 1
		if f.farInTime {
			sharers = max(a.report.ConnectedEntries, 1)
		}
		limit := sharers * (f.tasksBefore + len(waiting))
		nearTasks += a.forecastTasks(j, step, limit, f.maxWait, now) / float64(sharers)
	}
	f.nearCapacity = int(nearTasks)
	return f
}

// maxNearWait returns how much longer a task may wait for a near worker. It waits only
// as long as it ends no later than on a far worker. While other tasks find no free
// capacity, it also waits as long as its job meets the objective, because work on a far
// worker occupies capacity for longer. A job whose wait limit has passed goes to a far
// worker: a scheduling pass places before it refuses.
func (s *Scheduler) maxNearWait(j *job, t *task, now time.Time) time.Duration {
	estimate := j.Steps[t.step].Estimate
	wait := scaled(estimate, s.config.FarFactor) - estimate
	latestStart := j.stepDueAt(t.step).Add(-estimate)
	if s.capacityScarce {
		wait = max(wait, latestStart.Sub(now))
	}
	if len(j.Steps[t.step].After) > 0 {
		// The wait limit applies to the first task of the job; later tasks wait for a
		// share of the slack that was left when they became ready.
		laterStepWaitLimit := time.Duration(waitSlackShare * float64(latestStart.Sub(t.readyAt)))
		return min(wait, laterStepWaitLimit-now.Sub(t.readyAt))
	}
	return min(wait, s.waitLimit(j)-now.Sub(j.arrived))
}

// stepDueAt returns when a step must be done for the job to meet its objective.
func (j *job) stepDueAt(step int) time.Time {
	return j.arrived.Add(j.objective() - (j.criticalPaths[step] - j.Steps[step].Estimate))
}

// nearAgents returns the agents at which a task may start near its data.
func (s *Scheduler) nearAgents(j *job, step int, t *task, now time.Time) []*agent {
	st := j.Steps[step]
	var out []*agent
	for _, a := range s.agentsByName {
		if a.near(st) && a.matchesLabel(st) && s.accepts(a, j.Queue, now) &&
			a.healthy(now) && !a.health.ejected && !now.Before(t.avoidUntil[a.name]) {
			out = append(out, a)
		}
	}
	return out
}

// nearTasksBefore returns how many of the waiting tasks get capacity at near workers
// before the next one: those for the rack, and of those that may run anywhere a part
// equal to the near workers' share of all agents.
func (s *Scheduler) nearTasksBefore(rack string, nearAgents int) int {
	return s.passBacklog.byRack[rack] + s.passBacklog.anyRack*nearAgents/max(len(s.agentsByName), 1)
}

// forecastTasks returns how many tasks of a step, up to limit, the agent is expected to
// have free capacity for after a wait. Between two forecast horizons the number is
// interpolated linearly, so it may be a fraction. The horizons count from the agent's
// report.
func (a *agent) forecastTasks(j *job, step, limit int, wait time.Duration, now time.Time) float64 {
	st := j.Steps[step]
	if st.MaxPerWorker > 0 {
		limit = min(limit, st.MaxPerWorker-a.countPlaced(j, step))
	}
	wait += now.Sub(a.reportedAt)
	horizon := time.Duration(0)
	n := float64(st.countFitting(a.free(), limit))
	for i, freed := range a.capacityForecast() {
		nextHorizon := messenger.ForecastHorizons[i]
		atNext := float64(st.countFitting(a.free().Plus(freed), limit))
		if wait < nextHorizon {
			return n + (atNext-n)*float64(wait-horizon)/float64(nextHorizon-horizon)
		}
		horizon = nextHorizon
		n = atNext
	}
	return n
}

// capacityForecast returns the agent's forecast of capacity, at most one item for each
// of messenger.ForecastHorizons.
func (a *agent) capacityForecast() []messenger.Resources {
	return a.report.Forecast[:min(len(a.report.Forecast), len(messenger.ForecastHorizons))]
}

// countFitting counts the step's tasks, up to limit, that fit in capacity.
func (st Step) countFitting(capacity messenger.Resources, limit int) int {
	n := 0
	for n < limit && st.Demand.FitsIn(capacity) {
		capacity = capacity.Minus(st.Demand)
		n++
	}
	return n
}
