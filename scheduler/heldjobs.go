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
	// announceAfter is the age from which the others are told of a job, announceDeadline that
	// at which one must have heard: callers send again no sooner than 1.3 s after
	// the first time, and the word takes a while from the agent on.
	announceAfter    = 500 * time.Millisecond
	announceDeadline = 1200 * time.Millisecond
	// maxEchoAge is the greatest age of the last heartbeat known to have arrived
	// for the others still to know of the jobs in it. The rest of HeldJobsTTL is for
	// a tick, the word to withdraw runs, their stop and the way of both.
	maxEchoAge = messenger.HeldJobsTTL - 290*time.Millisecond
	// pauseCatchUpTime is how long after a pause no job is given up for it: its end may
	// be among what has still to be read.
	pauseCatchUpTime = 50 * time.Millisecond
)

// hold is what other entries know of a job.
type hold struct {
	// sentAt is when the job may have been sent at the earliest. One that had to
	// wait for other runs counts as old enough to be named when it goes on.
	sentAt time.Time
	// announcedAt is when the first heartbeat named the job; zero before.
	announcedAt time.Time
	// placedHere means that a run was placed by this entry.
	placedHere bool
	// contested means that another entry holds the job as well.
	contested bool
}

// HeldJobs returns the jobs that other entries have to know of, for a heartbeat.
func (s *Scheduler) HeldJobs() messenger.HeldJobs {
	now := s.clock.Now()
	var h messenger.HeldJobs
	for _, j := range s.jobs {
		switch {
		case s.yielding[j.ID] == j:
			h.Yielding = append(h.Yielding, j.ID)
		case now.Sub(j.hold.sentAt) >= announceAfter:
			if j.hold.announcedAt.IsZero() {
				j.hold.announcedAt = now
			}
			h.Running = append(h.Running, j.ID)
		}
	}
	for id := range s.withdrawnRuns {
		r := s.records[id]
		if s.jobs[id] == nil && (r.announced || now.Sub(r.endedAt) >= announceAfter) {
			h.Finished = append(h.Finished, id)
		}
	}
	slices.Sort(h.Running)
	slices.Sort(h.Yielding)
	slices.Sort(h.Finished)
	return h
}

// holdState is how another entry holds a job; a later one says more.
type holdState int

const (
	notHeld holdState = iota
	heldFinished
	heldYielding
	heldRunning
)

// handleHeldJobs takes in what an agent tells of other entries' jobs, and what it
// has heard of this entry's.
func (s *Scheduler) handleHeldJobs(a *agent, r messenger.Report) {
	now := s.clock.Now()
	if r.Echo > 0 {
		a.echoedHeartbeatAt = a.linkOpenedAt.Add(r.Echo)
		if a.echoedHeartbeatAt.After(s.echoedHeartbeatAt) {
			s.echoedHeartbeatAt = a.echoedHeartbeatAt
		}
	}
	if r.HeldJobs != nil {
		a.keepEarlierHeldJobs(r.Incarnation, now)
		a.heldJobs = holdStates(*r.HeldJobs)
	}
	a.heldJobsAt = now
	if r.HeldJobs != nil {
		s.releaseYielding()
	}
}

// keepEarlierHeldJobs keeps what an earlier incarnation of the agent told for a while, since
// one that has restarted has not heard of all jobs yet.
func (a *agent) keepEarlierHeldJobs(incarnation int64, now time.Time) {
	maps.DeleteFunc(a.earlierHeldJobs, func(_ string, until time.Time) bool { return !now.Before(until) })
	if a.heldJobsIncarnation == incarnation {
		return
	}
	a.heldJobsIncarnation = incarnation
	if now.Sub(a.heldJobsAt) > messenger.HeldJobsTTL {
		return
	}
	if a.earlierHeldJobs == nil {
		a.earlierHeldJobs = make(map[string]time.Time)
	}
	for id := range a.heldJobs {
		a.earlierHeldJobs[id] = now.Add(messenger.HeldJobsTTL)
	}
}

// holdStates returns how other entries hold the jobs that an agent tells of.
func holdStates(h messenger.HeldJobs) map[string]holdState {
	held := make(map[string]holdState, len(h.Running)+len(h.Yielding)+len(h.Finished))
	for _, id := range h.Finished {
		held[id] = heldFinished
	}
	for _, id := range h.Yielding {
		held[id] = heldYielding
	}
	for _, id := range h.Running {
		held[id] = heldRunning
	}
	return held
}

// giveUpIfHeld gives a job up that another entry holds as well, when it has been here
// for so long that its caller must have sent it there since, and reports that.
func (s *Scheduler) giveUpIfHeld(j *job, now time.Time) bool {
	age := now.Sub(j.arrived)
	if age < announceDeadline {
		return false
	}
	how := s.holdElsewhere(j.ID, now)
	if how == heldRunning && j.hold.placedHere && !j.hold.contested {
		j.hold.contested = true
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job held by two entries", Age: age})
	}
	switch {
	case how == heldYielding:
		s.giveUp(j, "sent again to another entry")
	case how == heldRunning && j.hold.placedHere && age >= AgentLossTimeout:
		s.giveUp(j, "another entry has begun it")
	default:
		return false
	}
	return true
}

// holdElsewhere returns how other entries hold a job by what agents have lately said.
func (s *Scheduler) holdElsewhere(id string, now time.Time) holdState {
	how := notHeld
	for _, a := range s.agentsByName {
		if now.Sub(a.heldJobsAt) <= messenger.HeldJobsTTL {
			how = max(how, a.heldJobs[id])
		}
		if now.Before(a.earlierHeldJobs[id]) {
			how = max(how, heldFinished)
		}
	}
	return how
}

// yieldIfHeld has a job wait if another entry holds it, and reports whether it does.
func (s *Scheduler) yieldIfHeld(j *job) bool {
	now := s.clock.Now()
	if j.hold.placedHere || s.holdElsewhere(j.ID, now) == notHeld {
		return false
	}
	if s.yielding[j.ID] == nil {
		s.yielding[j.ID] = j
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job waits", Why: "another entry holds it", Age: now.Sub(j.arrived)})
	}
	// It may have run there.
	j.mayHaveStarted = true
	return true
}

// releaseYielding takes the jobs up that no other entry holds any more.
func (s *Scheduler) releaseYielding() {
	now := s.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(s.yielding)) {
		j := s.yielding[id]
		switch {
		case s.jobs[id] != j:
			delete(s.yielding, id)
		case s.holdElsewhere(id, now) == notHeld:
			delete(s.yielding, id)
			j.hold = hold{sentAt: now.Add(-announceAfter)}
			s.enqueue(j)
		}
	}
}

// Resumed notes that the entry has taken nothing in for a while. What it reads now
// may have been said before that, so an agent counts from its next echo on.
func (s *Scheduler) Resumed() {
	s.resumedAt = s.clock.Now()
	s.emit(Note{What: "entry was paused"})
}

// ownsExclusively reports whether no other entry can have begun a job that its caller has
// sent again: it is too early for that, or the others know that it is held here.
func (s *Scheduler) ownsExclusively(j *job, now time.Time) bool {
	if now.Sub(j.hold.sentAt) < announceDeadline || s.yielding[j.ID] == j {
		return true
	}
	told := j.hold.announcedAt
	inTime := !told.IsZero() && told.Sub(j.hold.sentAt) < announceDeadline
	return inTime && !s.echoedHeartbeatAt.Before(told) && now.Sub(s.echoedHeartbeatAt) < maxEchoAge
}
