package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// A task may crash each worker that starts it. Agents report which tasks had a run at a
// worker when it crashed. Most of these are bystanders. So a task under which several
// workers have crashed is isolated: it runs alone on a worker. It is given up once a worker
// has crashed while it was alone there, or when too many have.

const (
	// isolateCrashes is the number of workers that have crashed under a task from which it
	// is isolated.
	isolateCrashes = 2
	// maxCrashes is the number of workers from which it is given up in any case, and
	// lastStartCrashes the number from which it is started only once more.
	maxCrashes       = 4
	lastStartCrashes = 3
)

// taskCrash is the crash of one worker under a task.
type taskCrash struct {
	worker messenger.Incarnation
	// alone means that the task was isolated, and no other job had one at the worker.
	alone bool
	// at is when the crash became known.
	at time.Time
}

// crashLog remembers for messenger.CrashTTL which workers have crashed under which tasks.
// A worker incarnation crashes once, so reports of it by several agents or entries count
// once.
type crashLog struct {
	byTask map[string][]taskCrash
	// tasks lists the tasks of each crash, and order the crashes, the oldest first.
	tasks map[messenger.Incarnation][]string
	order []reportedCrash
}

// reportedCrash is a crash and when it became known.
type reportedCrash struct {
	worker messenger.Incarnation
	at     time.Time
}

func newCrashLog() crashLog {
	return crashLog{byTask: make(map[string][]taskCrash), tasks: make(map[messenger.Incarnation][]string)}
}

// add adds the crash of a worker under a task. What is known of it already changes only
// in that the task was not alone.
func (l *crashLog) add(task string, c taskCrash) {
	list := l.byTask[task]
	if i := slices.IndexFunc(list, func(o taskCrash) bool { return o.worker == c.worker }); i >= 0 {
		list[i].alone = list[i].alone && c.alone
		return
	}
	if !l.knows(c.worker) {
		l.order = append(l.order, reportedCrash{worker: c.worker, at: c.at})
	}
	l.tasks[c.worker] = append(l.tasks[c.worker], task)
	l.byTask[task] = append(list, c)
}

// remove removes the crash of a worker.
func (l *crashLog) remove(worker messenger.Incarnation) {
	for _, task := range l.tasks[worker] {
		l.byTask[task] = slices.DeleteFunc(l.byTask[task], func(c taskCrash) bool { return c.worker == worker })
		if len(l.byTask[task]) == 0 {
			delete(l.byTask, task)
		}
	}
	delete(l.tasks, worker)
	l.order = slices.DeleteFunc(l.order, func(c reportedCrash) bool { return c.worker == worker })
}

// expire removes the crashes that became known longer than messenger.CrashTTL ago. One
// that another process has known for longer may stay until those before it have expired.
func (l *crashLog) expire(now time.Time) {
	for len(l.order) > 0 && now.Sub(l.order[0].at) > messenger.CrashTTL {
		l.remove(l.order[0].worker)
	}
}

// knows reports whether the crash of a worker has been reported.
func (l *crashLog) knows(worker messenger.Incarnation) bool { return len(l.tasks[worker]) > 0 }

// workers returns the workers that have crashed under a task.
func (l *crashLog) workers(task string) []messenger.Incarnation {
	var out []messenger.Incarnation
	for _, c := range l.byTask[task] {
		out = append(out, c.worker)
	}
	return out
}

// condemned reports whether a task is to be given up: it must not be started again.
func (l *crashLog) condemned(task string) bool {
	list := l.byTask[task]
	return len(list) >= maxCrashes || (len(list) > 0 && list[len(list)-1].alone)
}

// startsOnce reports whether a task may be started only once more.
func (l *crashLog) startsOnce(task string) bool { return len(l.byTask[task]) >= lastStartCrashes }

// isolated reports whether a task may only start on a worker that it has for itself.
func (l *crashLog) isolated(task string) bool { return len(l.byTask[task]) >= isolateCrashes }

// IsolatedCrashes returns the crashes under the tasks that are isolated, with the last one
// under each task in the place of the crash. Agents pass them on to the other entries, so
// that a task is known to them although all who saw the crashes have restarted.
func (s *Scheduler) IsolatedCrashes() []messenger.Crash {
	var out []messenger.Crash
	for _, task := range slices.Sorted(maps.Keys(s.crashes.byTask)) {
		list := s.crashes.byTask[task]
		if !s.crashes.isolated(task) {
			continue
		}
		last := list[len(list)-1]
		t := messenger.CrashedTask{Task: task, Alone: last.alone}
		for _, c := range list[:len(list)-1] {
			t.Earlier = append(t.Earlier, c.worker)
		}
		out = append(out, messenger.Crash{Worker: last.worker, Tasks: []messenger.CrashedTask{t}, Age: s.clock.Since(last.at)})
	}
	return out
}

// handleCrashes processes the crashes in a report. A job that waits with a task that is to
// be given up fails.
func (s *Scheduler) handleCrashes(a *agent, crashes []messenger.Crash) {
	for _, c := range crashes {
		at := s.clock.Now().Add(-c.Age)
		if c.Refuted {
			s.crashes.remove(c.Worker)
			continue
		}
		s.noteCrash(a, c, at)
		for _, t := range c.Tasks {
			for _, worker := range t.Earlier {
				if !slices.Contains(s.crashes.workers(t.Task), worker) {
					s.crashes.add(t.Task, taskCrash{worker: worker, at: at})
				}
			}
			s.crashes.add(t.Task, taskCrash{worker: c.Worker, alone: t.Alone, at: at})
			s.failIfWaiting(t.Task)
		}
	}
}

// unexplainedRun is a run that ended without an outcome.
type unexplainedRun struct {
	task string
	// alone means that it is known to have run, and ran alone.
	alone bool
}

// noteUnexplained records that a run ended without an outcome, since its agent has restarted
// or was lost. Whether its worker has crashed shows when the agent reports its worker.
func (a *agent) noteUnexplained(t *task) {
	if a.unexplained == nil {
		a.unexplained = make(map[messenger.Incarnation][]unexplainedRun)
	}
	a.unexplained[t.worker] = append(a.unexplained[t.worker], unexplainedRun{task: t.id, alone: t.alone && t.progressAge > 0})
}

// settleUnexplained concludes from a report whether the workers have crashed whose runs
// ended without an outcome. One that does not answer the restarted agent counts as crashed
// until it does.
func (s *Scheduler) settleUnexplained(a *agent) {
	if a.upstream.Born == 0 {
		return
	}
	for worker, runs := range a.unexplained {
		present := worker == a.upstream.Incarnation()
		switch {
		case present && a.report.UnansweredCalls == 0:
			s.crashes.remove(worker)
		case worker != a.leaving:
			for _, r := range runs {
				s.crashes.add(r.task, taskCrash{worker: worker, alone: r.alone, at: s.clock.Now()})
			}
		}
		if !present || a.report.UnansweredCalls == 0 {
			delete(a.unexplained, worker)
		}
	}
}

// failIfWaiting fails the job of a task that is to be given up and waits to be placed.
func (s *Scheduler) failIfWaiting(name string) {
	j := s.jobs[jobIDOf(name)]
	if j == nil || !s.crashes.condemned(name) {
		return
	}
	if i := slices.IndexFunc(j.tasks, func(t *task) bool { return t.id == name && t.state == ready }); i >= 0 {
		s.failCrashed(j.tasks[i])
	}
}

// failCrashed fails the job of a task under which workers have crashed.
func (s *Scheduler) failCrashed(t *task) {
	if t.agent != nil {
		t.unplace()
	}
	t.state = finished
	s.endJob(t.job, s.crashedAnswer(t.id))
}

// crashedAnswer is the answer to a job with a task under which workers have crashed.
func (s *Scheduler) crashedAnswer(task string) Answer {
	return Answer{Outcome: JobFailed, Why: fmt.Sprintf("%d workers crashed under task %s", len(s.crashes.byTask[task]), task)}
}

// answerIfCondemned answers a new job that has a task under which workers have crashed,
// and reports whether it has.
func (s *Scheduler) answerIfCondemned(ticket uint64, j *job) bool {
	i := slices.IndexFunc(j.tasks, func(t *task) bool { return s.crashes.condemned(t.id) })
	if i < 0 {
		return false
	}
	a := s.crashedAnswer(j.tasks[i].id)
	s.emit(Reply{Ticket: ticket, Answer: a})
	s.keepRecord(j.ID, record{answer: a, endedAt: s.clock.Now(), lastRunNumber: j.lastRunNumber(), mayHaveStarted: true})
	return true
}

// placeAlone places an isolated task at one of the agents whose worker is idle, or where
// the capacity that was reserved for it is free. If there is none, it has a whole worker
// reserved.
func (s *Scheduler) placeAlone(t *task, agents []*agent, now time.Time) {
	for _, a := range agents {
		if s.suits(a, t, now) && a.upstream.Capacity.FitsIn(a.capacityFor(t.job, t.step, now)) {
			t.alone = true
			s.placeTasks(a, t.job, []*task{t})
			return
		}
	}
	if len(s.reservations) >= maxReservations || s.hasReservation(t.job) {
		return
	}
	if ttl := s.reservationTTL(t.job, now); ttl >= minReserveTTL {
		if a := s.emptiestAgent(t, now); a != nil {
			s.requestReservation(a, t, a.upstream.Capacity, now, ttl)
		}
	}
}

// emptiestAgent returns the agent with the greatest share of its capacity free of those
// that may be asked to reserve all of it for a task; nil if there is none.
func (s *Scheduler) emptiestAgent(t *task, now time.Time) *agent {
	var best *agent
	var bestShare float64
	for _, a := range s.agentsByName {
		if !s.mayReserveAt(a, t, now) {
			continue
		}
		share := coverage(a.free().NonNegative(), a.upstream.Capacity)
		if best == nil || share > bestShare || (share == bestShare && t.job.agentOrder(a) < t.job.agentOrder(best)) {
			best = a
			bestShare = share
		}
	}
	return best
}
