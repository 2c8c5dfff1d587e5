package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// placementWaitLimit is how long a run waits at an agent whose room another
	// entry has just taken.
	placementWaitLimit = 5 * time.Millisecond
	// minEarlyHeartbeatInterval is the least time between two rounds of heartbeats that are sent
	// to ask for room before they are due.
	minEarlyHeartbeatInterval = messenger.HeartbeatInterval / 2
)

// schedulingPass places what waits, in order, and refuses what has waited too long.
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
			s.giveUp(j, "no room in time")
		}
	}
	s.pruneQueue()
	s.requestReservations(now)
}

// schedulingPassAt places what waits at one agent, whose room has changed. The others
// were found without room in the last pass, so that looking at them again at
// each report of each agent would only cost time when there is least of it.
func (s *Scheduler) schedulingPassAt(a *agent) {
	if len(s.queue) == 0 || !s.backlog.Min.FitsIn(a.capacityWithBackfill()) {
		return
	}
	now := s.clock.Now()
	only := []*agent{a}
	s.backlog = s.computeBacklog()
	s.passBacklog = passBacklog{}
	for _, j := range s.queueOrderAt(a, now) {
		if s.tooLate(j, now) && !j.fastOnly {
			continue
		}
		s.placeJob(j, only, now)
		if !s.backlog.Min.FitsIn(a.capacityWithBackfill()) {
			break
		}
	}
	s.pruneQueue()
	s.observeStartRates(now)
}

// computeBacklog returns what the queue holds.
func (s *Scheduler) computeBacklog() messenger.Backlog {
	var w messenger.Backlog
	s.maxBacklogDemand = messenger.Resources{}
	for _, j := range s.queue {
		for _, t := range j.tasks {
			if t.state == ready {
				w = w.With(t.demand())
				s.maxBacklogDemand = s.maxBacklogDemand.Max(t.demand())
			}
		}
	}
	w.WantsForecast = w.Tasks > 0 && s.needsCapacityForecast()
	return w
}

// needsCapacityForecast reports whether what will fall free decides on what waits: tasks whose
// data is on a rack, or large ones.
func (s *Scheduler) needsCapacityForecast() bool {
	return s.rackJobSeen && s.config.FarFactor > 1 || s.largeForAnyService(s.maxBacklogDemand)
}

// Backlog returns what waits for room.
func (s *Scheduler) Backlog() messenger.Backlog {
	s.backlog = s.computeBacklog()
	return s.backlog
}

// EarlyHeartbeatDue reports whether all agents are to hear now that jobs wait: one has begun
// to. Without that they tell of room that falls free only now and then.
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

// pruneQueue drops the jobs from the queue that have no task to place.
func (s *Scheduler) pruneQueue() {
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool {
		j.inQueue = s.jobs[j.ID] == j && s.yielding[j.ID] != j && j.hasTask(ready)
		return !j.inQueue
	})
}

// enqueue makes pass look at a job that has tasks to place, once no run of its
// last try can go on and no other entry holds it.
func (s *Scheduler) enqueue(j *job) {
	if s.withdrawnRuns[j.ID] > 0 || s.yieldIfHeld(j) {
		return
	}
	s.enqueueCount++
	if !j.inQueue {
		j.inQueue = true
		j.queuedAt = s.clock.Now()
		s.queue = append(s.queue, j)
	}
}

// placeJob sends as many of a job's waiting tasks as there is room for. Tasks
// go to as few workers as possible, so that one bad worker harms few jobs.
func (s *Scheduler) placeJob(j *job, agents []*agent, now time.Time) {
	if s.yieldIfHeld(j) || !s.ownsExclusively(j, now) {
		return
	}
	for step := range j.Steps {
		var todo []*task
		for _, t := range j.tasks {
			if t.step == step && t.state == ready {
				todo = append(todo, t)
			}
		}
		for len(todo) > 0 {
			a, n := s.chooseAgent(agents, j, step, todo, now)
			if a == nil && len(agents) == len(s.agentsByName) {
				clearDeferred(todo)
			}
			if n == 0 {
				break
			}
			s.placeTasks(a, j, todo[:n])
			todo = todo[n:]
		}
		if s.config.FarFactor > 1 {
			s.passBacklog.add(j.Steps[step], todo)
		}
	}
}

// placeTasks places tasks of one step at an agent.
func (s *Scheduler) placeTasks(a *agent, j *job, tasks []*task) {
	now := s.clock.Now()
	s.countStart(j, now)
	j.hold.placedHere = true
	a.placeNumber++
	p := messenger.Place{
		Number:  a.placeNumber,
		Job:     j.ID,
		Spec:    j.Spec,
		Service: j.Queue.Service,
		MaxWait: placementWaitLimit,
		Echo:    a.report.Timestamp,
	}
	var sum messenger.Resources
	fresh := 0
	for _, t := range tasks {
		if t.state == ready {
			fresh++
			t.runNumber++
			t.state = placed
			t.placedAt = now
			t.agent = a
			t.deferred = false
			t.farFactor = s.config.farFactor(a, j.Steps[t.step])
			t.placedSpeed = a.expectedSpeed()
			a.tasks[t.current()] = t
			sum = sum.Plus(t.demand())
		}
		t.placeNumber = p.Number
		t.linkNumber = a.linkNumber
		p.Tasks = append(p.Tasks, messenger.Task{
			Run:      t.current(),
			Demand:   t.demand(),
			Estimate: t.estimate(),
		})
	}
	s.backlog = s.backlog.Without(fresh, sum)
	p.Backlog = s.backlog
	a.pending = append(a.pending, pendingPlacement{number: p.Number, demand: sum})
	a.health.recordPlacement(p.Tasks[0].Run)
	if fresh > 0 {
		s.useReservation(a, j, tasks[0].step)
	}
	s.emit(Send{Agent: a.name, Message: p})
	s.emit(Note{
		Job: j.ID, Queue: j.Queue.Name, Run: p.Tasks[0].Run, Agent: a.name, What: "tasks placed",
		Age: now.Sub(a.reportedAt), Size: s.sizeOf(j, tasks[0].step), Wait: now.Sub(j.queuedAt),
	})
}
