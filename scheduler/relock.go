package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// relock requests again the locks that the agent may keep for this entry and those that
// this entry has and the agent is a witness of, since it may have forgotten them. It gives
// up all others there. A witness is told also that there are none.
func (s *Scheduler) relock(a *agent, now time.Time) {
	if !s.witnesses.has(a.name) && !a.asked {
		return
	}
	var jobs []string
	for id, l := range s.locks {
		if (l.acquired || l.votes[a.name] != nil) && s.isWitnessOf(a, l) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	s.sendLockRequest(a, messenger.LockJobs{Jobs: jobs, Complete: true}, now)
}

// isWitnessOf reports whether an agent is a witness of a lock's job.
func (s *Scheduler) isWitnessOf(a *agent, l *jobLock) bool {
	return slices.ContainsFunc(s.panelsOf(l), func(panel []string) bool { return slices.Contains(panel, a.name) })
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

// inContact reports whether a message has arrived at the agent so lately that it keeps what
// it has locked for this entry.
func (a *agent) inContact(now time.Time) bool {
	return a.linked && now.Sub(a.contactAt) < maxContactAge
}

// dropVotes makes the locks that the agent has granted count no longer, since its link
// has opened or closed.
func (a *agent) dropVotes() {
	a.lockEpoch++
	a.lockNumber = 0
	a.unlocked = nil
}
