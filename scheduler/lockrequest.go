package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// witnessTimeout is how long a witness may take to answer before another one is
	// asked as well.
	witnessTimeout = 20 * time.Millisecond
	// maxRequestTime is how long an entry keeps what it has of a lock while too few
	// witnesses answer. An entry that has locked the job before may need them.
	maxRequestTime = 2 * witnessTimeout
	// minLockRetryDelay and maxLockRetryDelay bound the delay before an entry asks
	// again for a job that another entry has locked. The delay differs between entries
	// and attempts, so that entries that ask at the same time do not do so for ever.
	minLockRetryDelay = 20 * time.Millisecond
	maxLockRetryDelay = 60 * time.Millisecond
)

// requestLocks asks witnesses for those of the locks that have no quorum, with one
// message to each agent. It reports whether any of them has been acquired now.
func (s *Scheduler) requestLocks(list []*jobLock, now time.Time) bool {
	acquired := false
	requests := make(map[*agent][]string)
	for _, l := range list {
		if s.confirmLock(l, now) {
			acquired = s.acquire(l, now) || acquired
			continue
		}
		if now.Before(l.retryAt) {
			continue
		}
		for _, a := range s.witnessesToAsk(l, now) {
			requests[a] = append(requests[a], l.job)
		}
	}
	for _, a := range s.agentsByName {
		if jobs := requests[a]; len(jobs) > 0 {
			s.sendLockRequest(a, messenger.LockJobs{Jobs: jobs}, now)
		}
	}
	return acquired
}

// voteCount is how a lock stands at the witnesses of one panel.
type voteCount struct {
	// expected counts those that have granted it or may still do so, and heldElsewhere
	// those that have granted it to another entry.
	expected, heldElsewhere int
	// candidates are those that can be asked.
	candidates []*agent
}

// countVotes counts the votes for a lock in a panel. The agents in asked are about to be
// asked.
func (s *Scheduler) countVotes(l *jobLock, panel []string, asked []*agent, now time.Time) voteCount {
	var c voteCount
	for _, name := range panel {
		a, v := s.agents[name], l.votes[name]
		switch {
		case a == nil || !a.linked || !l.acquired && !s.remembers(a):
		case s.grants(l, name, now) || slices.Contains(asked, a):
			c.expected++
		case v == nil || v.epoch != a.lockEpoch:
			c.candidates = append(c.candidates, a)
		case v.state == held:
			c.heldElsewhere++
		case v.state == requested && now.Sub(v.sentAt) < witnessTimeout:
			c.expected++
		}
	}
	return c
}

// witnessesToAsk returns the agents to ask for a lock now: as many as the quorums need in
// addition to those that have granted it or may still do so.
func (s *Scheduler) witnessesToAsk(l *jobLock, now time.Time) []*agent {
	var asked []*agent
	heldElsewhere, tooFew := false, false
	for _, panel := range s.panelsOf(l) {
		c := s.countVotes(l, panel, asked, now)
		missing := max(majority(len(panel))-c.expected, 0)
		heldElsewhere = heldElsewhere || c.heldElsewhere > 0
		tooFew = tooFew || missing > len(c.candidates)
		asked = append(asked, c.candidates[:min(missing, len(c.candidates))]...)
	}
	switch {
	case heldElsewhere && (tooFew || l.attempts > 0):
		// After a failed attempt the other entry most likely runs the job.
		s.loseLock(l, now)
		return nil
	case tooFew && !l.acquired && !l.requestedAt.IsZero() && now.Sub(l.requestedAt) >= maxRequestTime:
		s.abandonRequest(l, now)
		return nil
	case l.requestedAt.IsZero() && len(asked) > 0:
		l.requestedAt = now
	}
	return asked
}

// loseLock records that another entry has the lock of a job.
func (s *Scheduler) loseLock(l *jobLock, now time.Time) {
	if !l.contested && !l.acquired {
		l.contested = true
		if j := s.jobs[l.job]; j != nil {
			s.emit(Note{Job: l.job, Queue: j.Queue.Name, What: "job waits", Why: "another entry holds it", Age: now.Sub(j.arrived)})
		}
	}
	if j := s.jobs[l.job]; j != nil {
		// The other entry may have started it.
		j.mayHaveStarted = true
	}
	s.abandonRequest(l, now)
}

// abandonRequest ends a request for a lock that has failed, and has it made again later.
// What was granted is given up, so that one of several entries that ask at the same time
// gets the lock, unless the entry had the whole lock before and may have started the job.
func (s *Scheduler) abandonRequest(l *jobLock, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(l.votes)) {
		switch {
		case l.votes[name].state == held:
			delete(l.votes, name)
		case !l.acquired:
			s.unlockAt(l, name, "")
			delete(l.votes, name)
		}
	}
	s.sendUnlocked(now)
	l.attempts++
	l.requestedAt = time.Time{}
	spread := mixHashes(l.hash+uint64(l.attempts), s.nameHash) % uint64(maxLockRetryDelay-minLockRetryDelay)
	l.retryAt = now.Add(minLockRetryDelay + time.Duration(spread))
}

// sendLockRequest sends a request to a witness, together with the locks to give up
// there.
func (s *Scheduler) sendLockRequest(a *agent, m messenger.LockJobs, now time.Time) {
	a.asked = true
	a.lockNumber++
	m.Number = a.lockNumber
	m.Unlocked = a.unlocked
	a.unlocked = nil
	for _, id := range m.Jobs {
		s.locks[id].votes[a.name] = &vote{number: m.Number, sentAt: now, epoch: a.lockEpoch}
	}
	s.emit(Send{Agent: a.name, Message: m})
}

// HandleLockReply processes a witness's answer.
func (s *Scheduler) HandleLockReply(name string, r messenger.LockReply) {
	now := s.clock.Now()
	a := s.findOrAddAgent(name)
	var changed []*jobLock
	for _, id := range r.Locked {
		if v := s.answeredVote(a, id, r.Number); v != nil {
			a.recordContact(v.sentAt, now)
			v.epoch = a.lockEpoch
			v.state = locked
			changed = append(changed, s.locks[id])
		}
	}
	for _, id := range r.Held {
		if v := s.answeredVote(a, id, r.Number); v != nil {
			v.state = held
			changed = append(changed, s.locks[id])
		}
	}
	for _, e := range r.Ended {
		s.endElsewhere(e)
	}
	for _, id := range r.Wanted {
		s.recordWanted(a, id)
	}
	changed = slices.DeleteFunc(changed, func(l *jobLock) bool { return s.locks[l.job] != l })
	acquired := s.requestLocks(changed, now)
	s.sendUnlockedWanted(now, r.Wanted)
	if acquired {
		s.schedulingPass()
	}
}

// answeredVote returns the vote that a reply answers; nil if it has been superseded.
func (s *Scheduler) answeredVote(a *agent, id string, number uint64) *vote {
	l := s.locks[id]
	if l == nil {
		return nil
	}
	if v := l.votes[a.name]; v != nil && v.number == number && v.epoch == a.lockEpoch {
		return v
	}
	return nil
}

// endElsewhere answers the callers of a job that another entry has run to its end.
func (s *Scheduler) endElsewhere(e messenger.UnlockedJob) {
	j := s.jobs[e.Job]
	if j == nil {
		return
	}
	a := Answer{Outcome: Complete, Why: "another entry has run it"}
	if e.Outcome == messenger.JobFailed {
		a.Outcome = JobFailed
	}
	s.endJob(j, a)
}
