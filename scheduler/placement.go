package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// placementWaitLimit is how long a run waits at an agent whose free capacity
	// another entry has just taken.
	placementWaitLimit = 5 * time.Millisecond
	// minEarlyHeartbeatInterval is the minimum time between two rounds of heartbeats
	// that are sent before they are due, to announce a backlog.
	minEarlyHeartbeatInterval = messenger.HeartbeatInterval / 2
)

// schedulingPass places ready tasks at all agents, in queue order, and refuses the jobs
// that have waited too long.
func (s *Scheduler) schedulingPass() {
	now := s.clock.Now()
	defer s.observeStartRates(now)
	s.cancelObsoleteReservations()
	if len(s.queue) == 0 {
		s.backlog = messenger.Backlog{}
		s.capacityScarce = false
		return
	}
	s.pruneQueue()
	s.backlog = s.computeBacklog()
	s.sortQueue(now)
	s.passBacklog = passBacklog{}
	for _, j := range slices.Clone(s.queue) {
		s.placeJob(j, s.agentsByName, now)
	}
	s.capacityScarce = s.passBacklog.noCapacity > 0
	for _, j := range slices.Clone(s.queue) {
		if s.tooLate(j, now) && !s.deferToFastWorker(j, now) {
			s.windowOf(j).recordRefused(now)
			s.giveUp(j, "no room in time")
		}
	}
	s.pruneQueue()
	s.requestReservations(now)
}

// schedulingPassAt places ready tasks at one agent, whose free capacity has changed.
// The last pass found no capacity at the others; checking all agents at each report of
// each agent would cost time just when the load is highest.
func (s *Scheduler) schedulingPassAt(a *agent) {
	if len(s.queue) == 0 || !s.backlog.Min.FitsIn(a.capacityWithBackfill()) {
		return
	}
	now := s.clock.Now()
	agents := []*agent{a}
	s.backlog = s.computeBacklog()
	s.passBacklog = passBacklog{}
	for _, j := range s.queueOrderAt(a, now) {
		if s.tooLate(j, now) && !j.fastOnly {
			continue
		}
		s.placeJob(j, agents, now)
		if !s.backlog.Min.FitsIn(a.capacityWithBackfill()) {
			break
		}
	}
	s.pruneQueue()
	s.observeStartRates(now)
}

// computeBacklog returns the backlog of the queue and updates maxBacklogDemand.
func (s *Scheduler) computeBacklog() messenger.Backlog {
	var backlog messenger.Backlog
	s.maxBacklogDemand = messenger.Resources{}
	for _, j := range s.queue {
		for _, t := range j.tasks {
			if t.state == ready {
				backlog = backlog.With(t.demand())
				s.maxBacklogDemand = s.maxBacklogDemand.Max(t.demand())
			}
		}
	}
	backlog.WantsForecast = backlog.Tasks > 0 && s.needsCapacityForecast()
	return backlog
}

// needsCapacityForecast reports whether placing the backlog depends on the agents'
// capacity forecasts: some job has its data on a rack and far runs take longer, or a
// waiting task is large.
func (s *Scheduler) needsCapacityForecast() bool {
	return s.rackJobSeen && s.config.FarFactor > 1 || s.largeForAnyService(s.maxBacklogDemand)
}

// Backlog recomputes and returns the tasks that wait for capacity.
func (s *Scheduler) Backlog() messenger.Backlog {
	s.backlog = s.computeBacklog()
	return s.backlog
}

// EarlyHeartbeatDue reports whether heartbeats must be sent to all agents now because
// jobs now wait for capacity. Agents report freed capacity at once only to entries that
// have announced a backlog.
func (s *Scheduler) EarlyHeartbeatDue() bool {
	if len(s.queue) == 0 {
		s.backlogAnnounced = false
		return false
	}
	now := s.clock.Now()
	if s.backlogAnnounced || now.Sub(s.earlyHeartbeatAt) < minEarlyHeartbeatInterval {
		return false
	}
	s.backlogAnnounced = true
	s.earlyHeartbeatAt = now
	return true
}

// pruneQueue removes the jobs without ready tasks from the queue, and those that have
// ended.
func (s *Scheduler) pruneQueue() {
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool {
		j.inQueue = s.jobs[j.ID] == j && j.hasTask(ready)
		return !j.inQueue
	})
}

// enqueue puts a job with ready tasks into the queue, unless withdrawn runs of an
// earlier attempt may not have ended or the job is not locked for this entry yet.
func (s *Scheduler) enqueue(j *job) {
	if s.withdrawnRuns[j.ID] > 0 || !s.lockAcquired(j) {
		return
	}
	s.enqueueCount++
	if !j.inQueue {
		j.inQueue = true
		j.queuedAt = s.clock.Now()
		s.queue = append(s.queue, j)
	}
}

// placeJob places as many ready tasks of a job as there is capacity for. Tasks are
// placed on as few workers as possible, so that one bad worker harms few jobs.
func (s *Scheduler) placeJob(j *job, agents []*agent, now time.Time) {
	if !s.mayPlace(j, now) {
		return
	}
	for step := range j.Steps {
		var waiting []*task
		for _, t := range j.tasks {
			if t.step != step || t.state != ready {
				continue
			}
			if s.crashes.isolated(t.id) {
				s.placeAlone(t, agents, now)
				continue
			}
			waiting = append(waiting, t)
		}
		for len(waiting) > 0 {
			a, n := s.chooseAgent(agents, j, step, waiting, now)
			if a == nil && len(agents) == len(s.agentsByName) {
				clearDeferred(waiting)
			}
			if n == 0 {
				break
			}
			s.placeTasks(a, j, waiting[:n])
			waiting = waiting[n:]
		}
		if s.config.FarFactor > 1 {
			s.passBacklog.add(j.Steps[step], waiting)
		}
	}
}

// placeTasks places tasks of one step at an agent. Tasks that are placed there already
// are sent again with the same run.
func (s *Scheduler) placeTasks(a *agent, j *job, tasks []*task) {
	now := s.clock.Now()
	s.countStart(j, now)
	a.placeNumber++
	p := messenger.Place{
		Number:  a.placeNumber,
		Job:     j.ID,
		Spec:    j.Spec,
		Service: j.Queue.Service,
		MaxWait: placementWaitLimit,
		Echo:    a.report.Timestamp,
		Alone:   tasks[0].alone,

		Unguarded: j.Queue.Unguarded,
		Queue:     j.Queue.Name,
	}
	var total messenger.Resources
	newRuns := 0
	for _, t := range tasks {
		if t.state == ready {
			newRuns++
			t.runNumber++
			t.state = placed
			t.placedAt = now
			t.agent = a
			t.worker = a.upstream.Incarnation()
			t.lastStart = s.crashes.startsOnce(t.id)
			t.deferred = false
			t.farFactor = s.config.farFactor(a, j.Steps[t.step])
			t.placedSpeed = a.expectedSpeed()
			a.tasks[t.current()] = t
			total = total.Plus(t.demand())
		}
		t.placeNumber = p.Number
		t.linkNumber = a.linkNumber
		p.Tasks = append(p.Tasks, messenger.Task{
			Run:      t.current(),
			Demand:   t.demand(),
			Estimate: t.estimate(),
			Crashed:  s.crashes.workers(t.id),
		})
	}
	s.backlog = s.backlog.Without(newRuns, total)
	p.Backlog = s.backlog
	pending := pendingPlacement{number: p.Number, demand: total}
	if p.Alone {
		pending.demand = a.upstream.Capacity // No other task is to follow.
	}
	a.pending = append(a.pending, pending)
	a.health.recordPlacement(p.Tasks[0].Run)
	if newRuns > 0 {
		s.useReservation(a, j, tasks[0].step)
	}
	s.emit(Send{Agent: a.name, Message: p})
	s.emit(Note{
		Job: j.ID, Queue: j.Queue.Name, Run: p.Tasks[0].Run, Agent: a.name, What: "tasks placed",
		Age: now.Sub(a.reportedAt), Size: s.sizeOf(j, tasks[0].step), Wait: now.Sub(j.queuedAt),
	})
}
