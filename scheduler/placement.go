package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// roomPatience is how long a run waits at an agent whose room another
	// entry has just taken.
	roomPatience = 5 * time.Millisecond
	// askInterval is the least time between two rounds of heartbeats that are sent
	// to ask for room before they are due.
	askInterval = messenger.HeartbeatInterval / 2
)

// pass places what waits, in order, and refuses what has waited too long.
func (s *Scheduler) pass() {
	now := s.clock.Now()
	defer s.observeDrains(now)
	s.reviewReservations()
	if len(s.queue) == 0 {
		s.want = messenger.Backlog{}
		s.scarce = false
		return
	}
	s.dropPlaced()
	s.want = s.waitingWork()
	s.sortQueue(now)
	s.locality = locality{}
	for _, j := range slices.Clone(s.queue) {
		s.placeJob(j, s.byName, now)
	}
	s.scarce = s.locality.unplaced > 0
	for _, j := range slices.Clone(s.queue) {
		if s.hopeless(j, now) && !s.leftToFast(j, now) {
			s.giveUp(j, "no room in time")
		}
	}
	s.dropPlaced()
	s.reserve(now)
}

// passAt places what waits at one agent, whose room has changed. The others
// were found without room in the last pass, so that looking at them again at
// each report of each agent would only cost time when there is least of it.
func (s *Scheduler) passAt(a *agent) {
	if len(s.queue) == 0 || !s.want.Min.FitsIn(a.anyRoom()) {
		return
	}
	now := s.clock.Now()
	only := []*agent{a}
	s.want = s.waitingWork()
	s.locality = locality{}
	for _, j := range s.fastFirst(a, now) {
		if s.hopeless(j, now) && !j.fastOnly {
			continue
		}
		s.placeJob(j, only, now)
		if !s.want.Min.FitsIn(a.anyRoom()) {
			break
		}
	}
	s.dropPlaced()
	s.observeDrains(now)
}

// waitingWork returns what the queue holds.
func (s *Scheduler) waitingWork() messenger.Backlog {
	var w messenger.Backlog
	s.mostWanted = messenger.Resources{}
	for _, j := range s.queue {
		for _, t := range j.tasks {
			if t.state == ready {
				w = w.With(t.demand())
				s.mostWanted = s.mostWanted.Max(t.demand())
			}
		}
	}
	w.WantsForecast = w.Tasks > 0 && s.needsAhead()
	return w
}

// needsAhead reports whether what will fall free decides on what waits: tasks whose
// data is on a rack, or large ones.
func (s *Scheduler) needsAhead() bool {
	return s.racks && s.config.FarFactor > 1 || s.mayBeLarge(s.mostWanted)
}

// Want returns what waits for room.
func (s *Scheduler) Want() messenger.Backlog {
	s.want = s.waitingWork()
	return s.want
}

// Asks reports whether all agents are to hear now that jobs wait: one has begun
// to. Without that they tell of room that falls free only now and then.
func (s *Scheduler) Asks() bool {
	if len(s.queue) == 0 {
		s.asked = false
		return false
	}
	now := s.clock.Now()
	if s.asked || now.Sub(s.askedAt) < askInterval {
		return false
	}
	s.asked = true
	s.askedAt = now
	return true
}

// dropPlaced drops the jobs from the queue that have no task to place.
func (s *Scheduler) dropPlaced() {
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool {
		j.queuedUp = s.jobs[j.ID] == j && s.yielding[j.ID] != j && j.has(ready)
		return !j.queuedUp
	})
}

// enqueue makes pass look at a job that has tasks to place, once no run of its
// last try can go on and no other entry holds it.
func (s *Scheduler) enqueue(j *job) {
	if s.remains[j.ID] > 0 || s.yield(j) {
		return
	}
	s.requeued++
	if !j.queuedUp {
		j.queuedUp = true
		j.queuedAt = s.clock.Now()
		s.queue = append(s.queue, j)
	}
}

// placeJob sends as many of a job's waiting tasks as there is room for. Tasks
// go to as few workers as possible, so that one bad worker harms few jobs.
func (s *Scheduler) placeJob(j *job, agents []*agent, now time.Time) {
	if s.yield(j) || !s.mayRun(j, now) {
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
			a, n := s.choose(agents, j, step, todo, now)
			if a == nil && len(agents) == len(s.byName) {
				releaseHeld(todo)
			}
			if n == 0 {
				break
			}
			s.send(a, j, todo[:n])
			todo = todo[n:]
		}
		if s.config.FarFactor > 1 {
			s.locality.note(j.Steps[step], todo)
		}
	}
}

// send places tasks of one step at an agent.
func (s *Scheduler) send(a *agent, j *job, tasks []*task) {
	now := s.clock.Now()
	s.countStart(j, now)
	j.hold.started = true
	a.placements++
	p := messenger.Place{
		Number:  a.placements,
		Job:     j.ID,
		Spec:    j.Spec,
		Service: j.Queue.Service,
		MaxWait: roomPatience,
		Echo:    a.report.Timestamp,
	}
	var sum messenger.Resources
	fresh := 0
	for _, t := range tasks {
		if t.state == ready {
			fresh++
			t.run++
			t.state = placed
			t.placedAt = now
			t.agent = a
			t.held = false
			t.farFactor = s.config.farFactor(a, j.Steps[t.step])
			t.speed = a.expected()
			a.tasks[t.current()] = t
			sum = sum.Plus(t.demand())
		}
		t.place = p.Number
		t.link = a.links
		p.Tasks = append(p.Tasks, messenger.Task{
			Run:      t.current(),
			Demand:   t.demand(),
			Estimate: t.estimate(),
		})
	}
	s.want = s.want.Without(fresh, sum)
	p.Backlog = s.want
	a.pending = append(a.pending, pending{number: p.Number, demand: sum})
	a.health.sent(p.Tasks[0].Run)
	if fresh > 0 {
		s.useReservation(a, j, tasks[0].step)
	}
	s.emit(Send{Agent: a.name, Message: p})
	s.emit(Note{
		Job: j.ID, Queue: j.Queue.Name, Run: p.Tasks[0].Run, Agent: a.name, What: "tasks placed",
		Age: now.Sub(a.reportedAt), Size: s.sizeOf(j, tasks[0].step), Wait: now.Sub(j.queuedAt),
	})
}
