package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// A caller whose connection broke sends its job again, to any entry, while the entry
// that has the job may not have noticed the break. So entries announce their
// long-running jobs to each other by way of the agents. An entry that receives a job
// held by another one yields: it announces that the job waits there. The first entry
// then gives the job up, since its caller has left, and the second one goes on once the
// runs of the first one have ended.

const (
	// announceAfter is the age from which a job is announced to the other entries, and
	// announceDeadline the age at which an agent must have received the announcement:
	// callers send a job again no sooner than 1.3 s after the first time, and the
	// announcement needs some time from the agent to the other entries.
	announceAfter    = 500 * time.Millisecond
	announceDeadline = 1200 * time.Millisecond
	// maxEchoAge is the maximum age of the last heartbeat known to have arrived for the
	// jobs in it to count as still announced to the other entries. The rest of
	// HeldJobsTTL is for a tick, the withdrawal of the runs, their stop, and the
	// transfer of both messages.
	maxEchoAge = messenger.HeldJobsTTL - 290*time.Millisecond
	// pauseCatchUpTime is how long after a pause no job is given up because of it: the
	// end of the job may be among the messages that have still to be read.
	pauseCatchUpTime = 50 * time.Millisecond
)

// hold is the state of a job with regard to the other entries.
type hold struct {
	// sentAt is the earliest time at which the job may have been sent. A job that had
	// to wait for other runs counts as old enough to be announced when it goes on.
	sentAt time.Time
	// announcedAt is when the first heartbeat with the job was composed; zero before.
	announcedAt time.Time
	// placedHere means that this entry has placed a run of the job.
	placedHere bool
	// contested means that another entry has announced the job as running as well.
	contested bool
}

// HeldJobs returns the jobs to announce to the other entries with a heartbeat. It
// counts as the announcement of those that are running.
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

// holdState is how another entry holds a job. If entries differ, the greatest one
// counts.
type holdState int

const (
	notHeld holdState = iota
	heldFinished
	heldYielding
	heldRunning
)

// handleHeldJobs processes the part of a report about held jobs: those of other
// entries, and the echo that shows which announcements of this entry the agent has
// received.
func (s *Scheduler) handleHeldJobs(a *agent, r messenger.Report) {
	now := s.clock.Now()
	if r.Echo > 0 {
		a.echoedHeartbeatAt = a.linkOpenedAt.Add(r.Echo)
		if a.echoedHeartbeatAt.After(s.echoedHeartbeatAt) {
			s.echoedHeartbeatAt = a.echoedHeartbeatAt
		}
	}
	if r.HeldJobs != nil {
		s.heldJobs.remove(a)
		a.keepEarlierHeldJobs(r.Incarnation, now)
		a.heldJobs = holdStates(*r.HeldJobs)
		s.heldJobs.add(a)
	}
	a.heldJobsAt = now
	if r.HeldJobs != nil {
		s.releaseYielding()
	}
}

// keepEarlierHeldJobs keeps the held jobs that an earlier incarnation of the agent
// reported for HeldJobsTTL, since a restarted agent has not yet received all
// announcements.
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

// holdStates returns, by job ID, how other entries hold the jobs that an agent reports.
func holdStates(h messenger.HeldJobs) map[string]holdState {
	states := make(map[string]holdState, len(h.Running)+len(h.Yielding)+len(h.Finished))
	for _, id := range h.Finished {
		states[id] = heldFinished
	}
	for _, id := range h.Yielding {
		states[id] = heldYielding
	}
	for _, id := range h.Running {
		states[id] = heldRunning
	}
	return states
}

// giveUpIfHeld gives up a job that another entry holds as well, if the job has been
// here for so long that its caller must have sent it there since. It reports whether it
// did.
func (s *Scheduler) giveUpIfHeld(j *job, now time.Time) bool {
	age := now.Sub(j.arrived)
	if age < announceDeadline {
		return false
	}
	state := s.holdElsewhere(j.ID, now)
	if state == heldRunning && j.hold.placedHere && !j.hold.contested {
		j.hold.contested = true
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job held by two entries", Age: age})
	}
	switch {
	case state == heldYielding:
		s.giveUp(j, "sent again to another entry")
	case state == heldRunning && j.hold.placedHere && age >= AgentLossTimeout:
		s.giveUp(j, "another entry has begun it")
	default:
		return false
	}
	return true
}

// heldJobIndex counts, by job ID, the agents that list the job as held by another entry
// or did so in an earlier incarnation. Nearly all jobs are listed by none, and each
// waiting job is looked up in each scheduling pass.
type heldJobIndex map[string]int

// add counts the jobs that an agent lists.
func (x heldJobIndex) add(a *agent) {
	for id := range a.heldJobs {
		x[id]++
	}
	for id := range a.earlierHeldJobs {
		x[id]++
	}
}

// remove reverts add, before the agent's lists change.
func (x heldJobIndex) remove(a *agent) {
	for id := range a.heldJobs {
		x.decrement(id)
	}
	for id := range a.earlierHeldJobs {
		x.decrement(id)
	}
}

func (x heldJobIndex) decrement(id string) {
	if x[id]--; x[id] == 0 {
		delete(x, id)
	}
}

// holdElsewhere returns how other entries hold a job according to recent reports of the
// agents.
func (s *Scheduler) holdElsewhere(id string, now time.Time) holdState {
	state := notHeld
	if s.heldJobs[id] == 0 {
		return state
	}
	for _, a := range s.agentsByName {
		if now.Sub(a.heldJobsAt) <= messenger.HeldJobsTTL {
			state = max(state, a.heldJobs[id])
		}
		if now.Before(a.earlierHeldJobs[id]) {
			state = max(state, heldFinished)
		}
	}
	return state
}

// yieldIfHeld makes a job of which this entry has placed nothing wait if another entry
// holds it, and reports whether it does.
func (s *Scheduler) yieldIfHeld(j *job) bool {
	now := s.clock.Now()
	if j.hold.placedHere || s.holdElsewhere(j.ID, now) == notHeld {
		return false
	}
	if s.yielding[j.ID] == nil {
		s.yielding[j.ID] = j
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job waits", Why: "another entry holds it", Age: now.Sub(j.arrived)})
	}
	// The other entry may have started it.
	j.mayHaveStarted = true
	return true
}

// releaseYielding enqueues the yielding jobs that no other entry holds any more.
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

// Resumed records the end of a pause, in which the entry has processed nothing.
// Messages read now may have been sent before the pause, so an agent is used again only
// once it has echoed a newer heartbeat.
func (s *Scheduler) Resumed() {
	s.resumedAt = s.clock.Now()
	s.emit(Note{What: "entry was paused"})
}

// ownsExclusively reports whether no other entry can have started the job after its
// caller has sent it again: it is too early for that, or the job was announced in time,
// an agent has echoed a heartbeat that announces it, and the newest echoed heartbeat is
// recent enough.
func (s *Scheduler) ownsExclusively(j *job, now time.Time) bool {
	if now.Sub(j.hold.sentAt) < announceDeadline || s.yielding[j.ID] == j {
		return true
	}
	announcedAt := j.hold.announcedAt
	inTime := !announcedAt.IsZero() && announcedAt.Sub(j.hold.sentAt) < announceDeadline
	return inTime && !s.echoedHeartbeatAt.Before(announcedAt) && now.Sub(s.echoedHeartbeatAt) < maxEchoAge
}
