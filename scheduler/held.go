package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// A caller whose connection broke sends its job again, to any entry, while the
// entry that has the job may not have heard of the break. So entries tell each
// other, by way of the agents, of jobs that go on for long. An entry that gets
// such a job tells that it waits; the first one gives it up then, since its
// caller has gone, and the second one goes on when its runs are over.

const (
	// holdAfter is the age from which the others are told of a job, knownBy that
	// at which one must have heard: callers send again no sooner than 1.3 s after
	// the first time, and the word takes a while from the agent on.
	holdAfter = 500 * time.Millisecond
	knownBy   = 1200 * time.Millisecond
	// echoMost is the greatest age of the last heartbeat known to have arrived
	// for the others still to know of the jobs in it. The rest of HeldJobsTTL is for
	// a tick, the word to withdraw runs, their stop and the way of both.
	echoMost = messenger.HeldJobsTTL - 290*time.Millisecond
	// readUpTime is how long after a pause no job is given up for it: its end may
	// be among what has still to be read.
	readUpTime = 50 * time.Millisecond
)

// hold is what other entries know of a job.
type hold struct {
	// since is when the job may have been sent at the earliest. One that had to
	// wait for other runs counts as old enough to be named when it goes on.
	since time.Time
	// toldAt is when the first heartbeat named the job; zero before.
	toldAt time.Time
	// started means that a run was placed by this entry.
	started bool
	// contested means that another entry holds the job as well.
	contested bool
}

// Held returns the jobs that other entries have to know of, for a heartbeat.
func (s *Scheduler) Held() messenger.HeldJobs {
	now := s.clock.Now()
	var h messenger.HeldJobs
	for _, j := range s.jobs {
		switch {
		case s.yielding[j.ID] == j:
			h.Yielding = append(h.Yielding, j.ID)
		case now.Sub(j.hold.since) >= holdAfter:
			if j.hold.toldAt.IsZero() {
				j.hold.toldAt = now
			}
			h.Running = append(h.Running, j.ID)
		}
	}
	for id := range s.remains {
		r := s.records[id]
		if s.jobs[id] == nil && (r.named || now.Sub(r.made) >= holdAfter) {
			h.Finished = append(h.Finished, id)
		}
	}
	slices.Sort(h.Running)
	slices.Sort(h.Yielding)
	slices.Sort(h.Finished)
	return h
}

// holding is how another entry holds a job; a later one says more.
type holding int

const (
	heldNot holding = iota
	heldOver
	heldWaits
	heldBegun
)

// heldElsewhere takes in what an agent tells of other entries' jobs, and what it
// has heard of this entry's.
func (s *Scheduler) heldElsewhere(a *agent, r messenger.Report) {
	now := s.clock.Now()
	if r.Echo > 0 {
		a.echoed = a.openedAt.Add(r.Echo)
		if a.echoed.After(s.echoed) {
			s.echoed = a.echoed
		}
	}
	if r.HeldJobs != nil {
		a.keepHeld(r.Incarnation, now)
		a.held = heldIn(*r.HeldJobs)
	}
	a.heldAt = now
	if r.HeldJobs != nil {
		s.resume()
	}
}

// keepHeld keeps what an earlier incarnation of the agent told for a while, since
// one that has restarted has not heard of all jobs yet.
func (a *agent) keepHeld(incarnation int64, now time.Time) {
	maps.DeleteFunc(a.heldBefore, func(_ string, until time.Time) bool { return !now.Before(until) })
	if a.heldBy == incarnation {
		return
	}
	a.heldBy = incarnation
	if now.Sub(a.heldAt) > messenger.HeldJobsTTL {
		return
	}
	if a.heldBefore == nil {
		a.heldBefore = make(map[string]time.Time)
	}
	for id := range a.held {
		a.heldBefore[id] = now.Add(messenger.HeldJobsTTL)
	}
}

// heldIn returns how other entries hold the jobs that an agent tells of.
func heldIn(h messenger.HeldJobs) map[string]holding {
	held := make(map[string]holding, len(h.Running)+len(h.Yielding)+len(h.Finished))
	for _, id := range h.Finished {
		held[id] = heldOver
	}
	for _, id := range h.Yielding {
		held[id] = heldWaits
	}
	for _, id := range h.Running {
		held[id] = heldBegun
	}
	return held
}

// gaveWay gives a job up that another entry holds as well, when it has been here
// for so long that its caller must have sent it there since, and reports that.
func (s *Scheduler) gaveWay(j *job, now time.Time) bool {
	age := now.Sub(j.arrived)
	if age < knownBy {
		return false
	}
	how := s.heldAs(j.ID, now)
	if how == heldBegun && j.hold.started && !j.hold.contested {
		j.hold.contested = true
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job held by two entries", Age: age})
	}
	switch {
	case how == heldWaits:
		s.giveUp(j, "sent again to another entry")
	case how == heldBegun && j.hold.started && age >= LossAfter:
		s.giveUp(j, "another entry has begun it")
	default:
		return false
	}
	return true
}

// heldAs returns how other entries hold a job by what agents have lately said.
func (s *Scheduler) heldAs(id string, now time.Time) holding {
	how := heldNot
	for _, a := range s.byName {
		if now.Sub(a.heldAt) <= messenger.HeldJobsTTL {
			how = max(how, a.held[id])
		}
		if now.Before(a.heldBefore[id]) {
			how = max(how, heldOver)
		}
	}
	return how
}

// yield has a job wait if another entry holds it, and reports whether it does.
func (s *Scheduler) yield(j *job) bool {
	now := s.clock.Now()
	if j.hold.started || s.heldAs(j.ID, now) == heldNot {
		return false
	}
	if s.yielding[j.ID] == nil {
		s.yielding[j.ID] = j
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job waits", Why: "another entry holds it", Age: now.Sub(j.arrived)})
	}
	// It may have run there.
	j.begun = true
	return true
}

// resume takes the jobs up that no other entry holds any more.
func (s *Scheduler) resume() {
	now := s.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(s.yielding)) {
		j := s.yielding[id]
		switch {
		case s.jobs[id] != j:
			delete(s.yielding, id)
		case s.heldAs(id, now) == heldNot:
			delete(s.yielding, id)
			j.hold = hold{since: now.Add(-holdAfter)}
			s.enqueue(j)
		}
	}
}

// Woke notes that the entry has taken nothing in for a while. What it reads now
// may have been said before that, so an agent counts from its next echo on.
func (s *Scheduler) Woke() {
	s.woke = s.clock.Now()
	s.emit(Note{What: "entry was paused"})
}

// mayRun reports whether no other entry can have begun a job that its caller has
// sent again: it is too early for that, or the others know that it is held here.
func (s *Scheduler) mayRun(j *job, now time.Time) bool {
	if now.Sub(j.hold.since) < knownBy || s.yielding[j.ID] == j {
		return true
	}
	told := j.hold.toldAt
	inTime := !told.IsZero() && told.Sub(j.hold.since) < knownBy
	return inTime && !s.echoed.Before(told) && now.Sub(s.echoed) < echoMost
}
