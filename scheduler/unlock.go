package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// minResendDelay is the shortest time after which a caller sends a job again, less the
// time that its request may take to arrive.
const minResendDelay = 1200 * time.Millisecond

// recordWanted records that another entry has asked for a job that this one has locked,
// or has just given up.
func (s *Scheduler) recordWanted(a *agent, id string) {
	l := s.locks[id]
	if l == nil {
		if !slices.ContainsFunc(a.unlocked, func(u messenger.UnlockedJob) bool { return u.Job == id }) {
			a.unlocked = append(a.unlocked, messenger.UnlockedJob{Job: id, Outcome: s.finalOutcome(id)})
		}
		return
	}
	if j := s.jobs[id]; j != nil && l.acquired && !l.wanted {
		s.emit(Note{Job: id, Queue: j.Queue.Name, What: "job held by two entries", Age: s.clock.Since(j.arrived)})
	}
	l.wanted = true
}

// giveUpIfSentAgain gives up a job that is locked here, that another entry asks for, and
// that is so old that its caller must have sent it there since, unless it is running: its
// end serves the caller there as well. It reports whether it did.
func (s *Scheduler) giveUpIfSentAgain(j *job, now time.Time) bool {
	l := s.locks[j.ID]
	if l == nil || !l.acquired || !l.wanted || now.Sub(j.arrived) < minResendDelay || j.hasTask(placed) {
		return false
	}
	s.giveUp(j, "sent again to another entry")
	return true
}

// finalOutcome returns the outcome that a job has for all entries.
func (s *Scheduler) finalOutcome(id string) messenger.JobOutcome {
	switch s.records[id].answer.Outcome {
	case Complete:
		return messenger.JobComplete
	case JobFailed:
		return messenger.JobFailed
	}
	return ""
}

// unlock gives up the lock of a job that has ended and whose runs have ended.
func (s *Scheduler) unlock(id string) {
	l := s.locks[id]
	if l == nil {
		return
	}
	delete(s.locks, id)
	for _, name := range slices.Sorted(maps.Keys(l.votes)) {
		if l.votes[name].state != held {
			s.unlockAt(l, name, s.finalOutcome(id))
		}
	}
	if l.wanted {
		s.sendUnlocked(s.clock.Now())
	}
}

// unlockAt has a witness told, with the next message, that a lock is given up.
func (s *Scheduler) unlockAt(l *jobLock, name string, outcome messenger.JobOutcome) {
	if a := s.agents[name]; a.linked {
		a.unlocked = append(a.unlocked, messenger.UnlockedJob{Job: l.job, Outcome: outcome})
	}
}

// TakeUnlocked returns the locks to give up at an agent with a heartbeat.
func (s *Scheduler) TakeUnlocked(name string) []messenger.UnlockedJob {
	a := s.findOrAddAgent(name)
	out := a.unlocked
	a.unlocked = nil
	return out
}

// sendUnlocked tells all witnesses at once which locks are given up, since another entry
// waits for one of them.
func (s *Scheduler) sendUnlocked(now time.Time) {
	for _, a := range s.agentsByName {
		if len(a.unlocked) > 0 && a.linked {
			s.sendLockRequest(a, messenger.LockJobs{}, now)
		}
	}
}

// sendUnlockedWanted is sendUnlocked if one of the wanted jobs has ended here.
func (s *Scheduler) sendUnlockedWanted(now time.Time, wanted []string) {
	if slices.ContainsFunc(wanted, func(id string) bool { return s.locks[id] == nil }) {
		s.sendUnlocked(now)
	}
}
