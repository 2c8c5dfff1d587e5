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
	// for the others still to know of the jobs in it. The rest of HeldFor is for
	// a tick, the word to withdraw runs, their stop and the way of both.
	echoMost = messenger.HeldFor - 290*time.Millisecond
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

// Held lists the jobs that other entries have to know of, for a heartbeat, and
// those of them that wait.
func (s *Scheduler) Held() (jobs, waits []string) {
	now := s.clock.Now()
	for _, j := range s.jobs {
		switch {
		case s.yielding[j.ID] == j:
			waits = append(waits, j.ID)
		case now.Sub(j.hold.since) < holdAfter:
			continue
		case j.hold.toldAt.IsZero():
			j.hold.toldAt = now
		}
		jobs = append(jobs, j.ID)
	}
	for id := range s.remains {
		jobs = append(jobs, id)
	}
	slices.Sort(jobs)
	slices.Sort(waits)
	return slices.Compact(jobs), waits
}

// heldElsewhere takes in what an agent tells of other entries' jobs, and what it
// has heard of this entry's.
func (s *Scheduler) heldElsewhere(a *agent, r messenger.Report) {
	if r.Echo > 0 {
		a.echoed = a.openedAt.Add(r.Echo)
		if a.echoed.After(s.echoed) {
			s.echoed = a.echoed
		}
	}
	if r.Held == nil {
		return
	}
	if a.heldBy != r.Incarnation {
		// One that has restarted has not heard of all jobs yet.
		a.heldBy = r.Incarnation
		a.heldBefore = a.held
		a.forgetAt = s.clock.Now().Add(messenger.HeldFor)
	}
	a.held = make(map[string]bool, len(*r.Held))
	for _, id := range *r.Held {
		a.held[id] = true
		s.contest(a, id)
	}
	a.waits = r.Waits
	s.giveWay(a)
	s.resume()
}

// contest notes that a job that was begun here is held by another entry as well.
// It is given up when it is old enough for its caller to have sent it there.
func (s *Scheduler) contest(a *agent, id string) {
	j := s.jobs[id]
	if j == nil || !j.hold.started || slices.Contains(a.report.Waits, id) {
		return
	}
	age := s.clock.Since(j.arrived)
	if !j.hold.contested {
		j.hold.contested = true
		s.emit(Note{Job: id, Queue: j.Queue.Name, Agent: a.name, What: "job held by two entries", Age: age})
	}
	if age >= LossAfter {
		s.giveUp(j, "another entry has begun it")
	}
}

// giveWay gives the jobs up that wait at another entry and have been here for so
// long that their callers must have sent them there since.
func (s *Scheduler) giveWay(a *agent) {
	if s.clock.Since(a.reportedAt) > messenger.HeldFor {
		return
	}
	for _, id := range a.waits {
		if j := s.jobs[id]; j != nil && s.clock.Since(j.arrived) >= knownBy {
			s.giveUp(j, "sent again to another entry")
		}
	}
}

// yield has a job wait if another entry holds it, and reports whether it does.
func (s *Scheduler) yield(j *job) bool {
	now := s.clock.Now()
	if j.hold.started || !s.holder(j.ID, now) {
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
		case !s.holder(id, now):
			delete(s.yielding, id)
			j.hold = hold{since: now.Add(-holdAfter)}
			s.enqueue(j)
		}
	}
}

// holder reports whether an agent has lately said that another entry has a job.
func (s *Scheduler) holder(id string, now time.Time) bool {
	return slices.ContainsFunc(s.byName, func(a *agent) bool {
		return (a.held[id] && now.Sub(a.reportedAt) <= messenger.HeldFor) || (a.heldBefore[id] && now.Before(a.forgetAt))
	})
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
	return !told.IsZero() && !s.echoed.Before(told) && now.Sub(s.echoed) < echoMost
}
