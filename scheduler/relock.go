package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// reinforceAfterChange is how long after the last witness has come back locks are kept at
// all witnesses.
const reinforceAfterChange = messenger.IdleTimeout

// relock requests again, on a new link, the locks that the agent may keep for this entry,
// and gives up all others there.
func (s *Scheduler) relock(a *agent, now time.Time) {
	reinforce := s.isWitness(a)
	if !reinforce && !a.asked {
		return
	}
	var jobs []string
	for id, l := range s.locks {
		if l.acquired && reinforce || l.votes[a.name] != nil && slices.Contains(s.panelOf(l), a.name) {
			jobs = append(jobs, id)
		}
	}
	if len(jobs) == 0 && !a.asked {
		return
	}
	slices.Sort(jobs)
	s.sendLockRequest(a, messenger.LockJobs{Jobs: jobs, Complete: true}, now)
}

// isWitness reports whether an agent is a witness, which may be a spare one.
func (s *Scheduler) isWitness(a *agent) bool {
	return slices.ContainsFunc(s.witnesses.list, func(w witness) bool { return w.Agent == a.name })
}

// reinforceLocks asks all witnesses for the locks that this entry has, while the panels
// of jobs may differ between entries: none of them must find a quorum that knows nothing
// of a lock.
func (s *Scheduler) reinforceLocks(now time.Time) {
	if s.witnesses.degradedAt.IsZero() || now.Sub(s.witnesses.degradedAt) > reinforceAfterChange {
		return
	}
	for _, a := range s.agentsByName {
		if !a.linked || !s.isWitness(a) {
			continue
		}
		var jobs []string
		for id, l := range s.locks {
			if l.acquired && a.lacks(l, now) {
				jobs = append(jobs, id)
			}
		}
		if len(jobs) > 0 {
			slices.Sort(jobs)
			s.sendLockRequest(a, messenger.LockJobs{Jobs: jobs}, now)
		}
	}
}

// lacks reports whether the agent has to be asked for a lock, since it does not keep it
// for this entry and was not asked just now.
func (a *agent) lacks(l *jobLock, now time.Time) bool {
	v := l.votes[a.name]
	return v == nil || v.epoch != a.lockEpoch || v.state == held && now.Sub(v.sentAt) >= maxLockRetryDelay
}

// recordContact records that a message that was sent at a time has arrived at the agent.
// If there was no such message for too long, the agent may have dropped the locks of
// this entry.
func (a *agent) recordContact(sentAt, now time.Time) {
	if now.Sub(a.contactAt) >= maxContactAge {
		a.lockEpoch++
	}
	if sentAt.After(a.contactAt) {
		a.contactAt = sentAt
	}
}

// dropVotes makes the locks that the agent has granted count no longer, since its link
// has opened or closed.
func (a *agent) dropVotes() {
	a.lockEpoch++
	a.lockNumber = 0
	a.unlocked = nil
}
