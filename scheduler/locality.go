package scheduler

import (
	"fmt"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// passBacklog counts the tasks that a pass has left waiting so far. Jobs are looked at
// in the order in which they get room, so that all of these come before the next one.
type passBacklog struct {
	// byRack counts the tasks that wait and whose data is on a rack, by the rack, and
	// anywhere counts those that may run on any worker.
	byRack  map[string]int
	anyRack int
	// noCapacity counts the tasks that would go to any worker with room and found none.
	noCapacity int
}

// add counts tasks of a step that a pass has left waiting.
func (l *passBacklog) add(st Step, left []*task) {
	if len(left) == 0 {
		return
	}
	if l.byRack == nil {
		l.byRack = make(map[string]int)
	}
	if st.Rack == "" {
		l.anyRack += len(left)
	} else {
		l.byRack[st.Rack] += len(left)
	}
	for _, t := range left {
		if !t.deferred {
			l.noCapacity++
		}
	}
}

// farFactor returns how many times as long a step takes on an agent's worker as it
// does where its data is.
func (c Configuration) farFactor(a *agent, st Step) float64 {
	if c.FarFactor <= 1 || a.near(st) {
		return 1
	}
	return c.FarFactor
}

// estimate returns about how long the task takes where it was last placed.
func (t *task) estimate() time.Duration {
	return scaled(t.job.Steps[t.step].Estimate, t.farFactor)
}

// scaled returns d times a factor of 1 or more.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * max(factor, 1))
}

// chooseNearOrFar decides between near and far for tasks of which an agent can take the
// first n. It returns how many of them the agent gets.
func (s *Scheduler) chooseNearOrFar(a *agent, n int, j *job, step int, todo []*task, now time.Time) int {
	st := j.Steps[step]
	if st.Rack == "" || s.config.FarFactor <= 1 {
		return n
	}
	if a.near(st) {
		s.noteLocality(j, a, "near now", fmt.Sprintf("room for %d of %d tasks", n, len(todo)), now)
		return n
	}
	w := s.forecastNear(j, step, todo, now)
	held := min(w.tasksToDefer(), len(todo))
	n = min(n, len(todo)-held)
	s.deferForNear(j, todo, held, w, now)
	if n > 0 {
		s.noteLocality(j, a, "far", fmt.Sprintf("%d of %d tasks, %v", n, len(todo), w), now)
	}
	return n
}

// deferForNear marks the last of the tasks as held for a near worker, and the others as
// not held.
func (s *Scheduler) deferForNear(j *job, todo []*task, held int, w nearForecast, now time.Time) {
	newlyHeld := 0
	for i, t := range todo {
		was := t.deferred
		t.deferred = i >= len(todo)-held
		if t.deferred && !was {
			newlyHeld++
		}
	}
	if newlyHeld > 0 {
		s.noteLocality(j, nil, "near soon", fmt.Sprintf("%d of %d tasks, %v", newlyHeld, len(todo), w), now)
	}
}

// clearDeferred marks tasks as not held: no agent has room, so that they go to any.
func clearDeferred(todo []*task) {
	for _, t := range todo {
		t.deferred = false
	}
}

// noteLocality emits the note on a decision between near and far. The agent is nil
// when tasks are held for a near worker.
func (s *Scheduler) noteLocality(j *job, a *agent, what, why string, now time.Time) {
	n := Note{Job: j.ID, Queue: j.Queue.Name, What: what, Why: why, Age: now.Sub(j.arrived)}
	if a != nil {
		n.Agent = a.name
	}
	s.emit(n)
}

// nearForecast is what decides whether tasks wait for a near worker or go to a far one
// now.
type nearForecast struct {
	// maxWait is how long a task may wait for a near worker; not above 0 means that it
	// goes far at once.
	maxWait time.Duration
	// nearCapacity is how many tasks near workers are expected to take within wait, and
	// before how many come first.
	nearCapacity int
	tasksBefore  int
	// farInTime is whether a far worker would bring the job in time now, and scarce
	// whether others find no room.
	farInTime bool
	scarce    bool
}

// tasksToDefer returns how many tasks are to be held for near workers.
func (w nearForecast) tasksToDefer() int { return max(w.nearCapacity-w.tasksBefore, 0) }

// String implements fmt.Stringer.
func (w nearForecast) String() string {
	return fmt.Sprintf("room near for %d within %v, %d come first, far in time: %t, room scarce: %t",
		w.nearCapacity, max(w.maxWait, 0), w.tasksBefore, w.farInTime, w.scarce)
}

// forecastNear returns how long tasks may wait for near workers, and for how many of
// them these are expected to have room.
func (s *Scheduler) forecastNear(j *job, step int, todo []*task, now time.Time) nearForecast {
	far := scaled(j.Steps[step].Estimate, s.config.FarFactor)
	w := nearForecast{
		maxWait:   s.maxNearWait(j, todo[0], now),
		farInTime: !now.Add(far).After(j.stepDueAt(step)),
		scarce:    s.capacityScarce,
	}
	if w.maxWait <= 0 {
		return w
	}
	near := s.nearAgents(j, step, todo[0], now)
	w.tasksBefore = s.nearTasksBefore(j.Steps[step].Rack, len(near))
	var room float64
	for _, a := range near {
		// Other entries count on the same room. A job that would be late far has less
		// to lose, and counts on all of it.
		sharers := 1
		if w.farInTime {
			sharers = max(a.report.ConnectedEntries, 1)
		}
		most := sharers * (w.tasksBefore + len(todo))
		room += a.forecastTasks(j, step, most, w.maxWait, now) / float64(sharers)
	}
	w.nearCapacity = int(room)
	return w
}

// maxNearWait returns how long a task may still wait for a near worker. It waits
// for as long as it ends no later than far; while others find no room, also for as
// long as it is in time, since far work keeps room from them for longer. A job
// whose patience is over goes far: pass places before it refuses.
func (s *Scheduler) maxNearWait(j *job, t *task, now time.Time) time.Duration {
	estimate := j.Steps[t.step].Estimate
	wait := scaled(estimate, s.config.FarFactor) - estimate
	latest := j.stepDueAt(t.step).Add(-estimate)
	if s.capacityScarce {
		wait = max(wait, latest.Sub(now))
	}
	if len(j.Steps[t.step].After) > 0 {
		// Patience is for the first task of the job; the others wait for a share of the
		// slack that was left when they became ready.
		patience := time.Duration(waitSlackShare * float64(latest.Sub(t.readyAt)))
		return min(wait, patience-now.Sub(t.readyAt))
	}
	return min(wait, s.waitLimit(j)-now.Sub(j.arrived))
}

// stepDueAt returns when a step must be done for the job to be in time.
func (j *job) stepDueAt(step int) time.Time {
	return j.arrived.Add(j.objective() - (j.criticalPaths[step] - j.Steps[step].Estimate))
}

// nearAgents returns the agents at which a task may start where its data is.
func (s *Scheduler) nearAgents(j *job, step int, t *task, now time.Time) []*agent {
	st := j.Steps[step]
	var out []*agent
	for _, a := range s.agentsByName {
		if a.near(st) && a.matchesLabel(st) && a.acceptsQueue(j.Queue, s.config, now, s.resumedAt) &&
			a.healthy(now) && !a.health.ejected && !now.Before(t.avoidUntil[a.name]) {
			out = append(out, a)
		}
	}
	return out
}

// nearTasksBefore returns how many of the tasks that wait get room near before the next
// one: those for the rack, and as many of those that run anywhere as fall to near
// workers by their number.
func (s *Scheduler) nearTasksBefore(rack string, near int) int {
	return s.passBacklog.byRack[rack] + s.passBacklog.anyRack*near/max(len(s.agentsByName), 1)
}

// forecastTasks returns how many tasks of a step, up to most, the agent is expected to
// have room for after a while. Between two spans of its forecast the number rises
// evenly, so that it may be a fraction. The spans count from its report.
func (a *agent) forecastTasks(j *job, step, most int, after time.Duration, now time.Time) float64 {
	st := j.Steps[step]
	if st.MaxPerWorker > 0 {
		most = min(most, st.MaxPerWorker-a.countPlaced(j, step))
	}
	after += now.Sub(a.reportedAt)
	at := time.Duration(0)
	n := float64(st.countFitting(a.free(), most))
	for i, d := range a.capacityForecast() {
		next := messenger.ForecastHorizons[i]
		then := float64(st.countFitting(a.free().Plus(d), most))
		if after < next {
			return n + (then-n)*float64(after-at)/float64(next-at)
		}
		at = next
		n = then
	}
	return n
}

// capacityForecast returns the agent's forecast of room, at most one item for each of
// messenger.ForecastHorizons.
func (a *agent) capacityForecast() []messenger.Resources {
	return a.report.Forecast[:min(len(a.report.Forecast), len(messenger.ForecastHorizons))]
}

// countFitting counts the step's tasks, up to most, that room is enough for.
func (st Step) countFitting(room messenger.Resources, most int) int {
	n := 0
	for n < most && st.Demand.FitsIn(room) {
		room = room.Minus(st.Demand)
		n++
	}
	return n
}
