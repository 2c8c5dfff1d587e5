package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// A caller that gets no answer sends its job again, to any entry, and a request may
// arrive long after it was sent, so that several entries may get the same job at any
// time. An entry therefore locks a job at a quorum of the job's witnesses before it
// places any of its tasks, and keeps the lock until all runs of the job have ended. A
// witness grants a lock to one entry at a time, and any two quorums have a witness in
// common.

const (
	// maxContactAge is the maximum age of the last message that is known to have
	// arrived at a witness for its locks to count. The rest of messenger.LockTTL is
	// for a tick, the withdrawal of the runs, their stop, and the transfer of both
	// messages.
	maxContactAge = messenger.LockTTL - 430*time.Millisecond
	// pauseCatchUpTime is how long after a pause no job is given up because of it: the
	// end of the job may be among the messages that have still to be read.
	pauseCatchUpTime = 50 * time.Millisecond
)

// voteState is the state of a job's lock at one witness.
type voteState int

const (
	// requested means that the witness has not answered yet.
	requested voteState = iota
	locked
	// held means that another entry has the lock.
	held
)

// vote is what an entry knows of a job's lock at one witness.
type vote struct {
	state voteState
	// number and sentAt are the number of the last request and when it was sent.
	number uint64
	sentAt time.Time
	// epoch is the agent's lockEpoch at the time of the request.
	epoch int
}

// jobLock is an entry's lock of one job, or its request for it.
type jobLock struct {
	job  string
	hash uint64
	// votes has the state at each witness that was asked, by agent name.
	votes map[string]*vote
	// panels are the job's witnesses as of panelVersion.
	panels       [][]string
	panelVersion int
	// acquired means that a quorum has granted the lock. The entry may have lost that
	// quorum since; see quorum.
	acquired bool
	// safeUntil is until when no other entry can get the lock, as of the last time that
	// the entry had a quorum.
	safeUntil time.Time
	// wanted means that another entry has asked for the job, and contested that another
	// entry has it locked.
	wanted, contested bool
	// attempts counts the requests that failed, because another entry has the lock or
	// too few witnesses answered. requestedAt is when the present one was begun, and
	// retryAt when the next one is made.
	attempts    int
	requestedAt time.Time
	retryAt     time.Time
}

// lockJob requests the lock of a new job and enqueues the job once it is locked. This
// entry may have the lock already, because runs of an earlier attempt have not ended.
func (s *Scheduler) lockJob(j *job, now time.Time) {
	l := s.locks[j.ID]
	if l == nil {
		l = &jobLock{job: j.ID, hash: j.hash, votes: make(map[string]*vote)}
		s.locks[j.ID] = l
	}
	if l.acquired {
		s.enqueue(j)
		s.schedulingPass()
		return
	}
	if s.requestLocks([]*jobLock{l}, now) {
		s.schedulingPass()
	}
}

// mayPlace reports whether tasks of a job may be placed now.
func (s *Scheduler) mayPlace(j *job, now time.Time) bool {
	l := s.locks[j.ID]
	return l != nil && l.acquired && s.quorum(l, now)
}

// lockAcquired reports whether a job was locked for this entry.
func (s *Scheduler) lockAcquired(j *job) bool {
	l := s.locks[j.ID]
	return l != nil && l.acquired
}

// panelsOf returns the names of the agents that are the witnesses of a lock's job: one
// panel, or more while there are earlier witnesses.
func (s *Scheduler) panelsOf(l *jobLock) [][]string {
	if l.panelVersion != s.witnesses.version {
		l.panels = s.witnesses.panels(l.hash, s.dataCentre)
		l.panelVersion = s.witnesses.version
	}
	return l.panels
}

// grants reports whether a witness keeps the lock for this entry.
func (s *Scheduler) grants(l *jobLock, name string, now time.Time) bool {
	v, a := l.votes[name], s.agents[name]
	return v != nil && v.state == locked && v.epoch == a.lockEpoch && a.inContact(now)
}

// counts reports whether a witness counts for a quorum: it keeps the lock for this entry. If
// the entry does not have the lock yet, the witness must also remember that it has not
// granted it to another.
func (s *Scheduler) counts(l *jobLock, name string, now time.Time) bool {
	return s.grants(l, name, now) && (l.acquired || s.remembers(s.agents[name]))
}

// countGranted counts the witnesses of a panel that count for a quorum.
func (s *Scheduler) countGranted(l *jobLock, panel []string, now time.Time) int {
	n := 0
	for _, name := range panel {
		if s.counts(l, name, now) {
			n++
		}
	}
	return n
}

// quorum reports whether the lock is granted by a majority of the witnesses, of which no
// other entry can have one then. While no witnesses are known, nothing is granted.
func (s *Scheduler) quorum(l *jobLock, now time.Time) bool {
	panels := s.panelsOf(l)
	for _, panel := range panels {
		if s.countGranted(l, panel, now) < majority(len(panel)) {
			return false
		}
	}
	return len(s.witnesses.current) > 0
}

// advanceLocks brings all locks forward; see requestLocks.
func (s *Scheduler) advanceLocks(now time.Time) {
	list := make([]*jobLock, 0, len(s.locks))
	for _, l := range s.locks {
		if !l.acquired || !s.confirmLock(l, now) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, compareLocks)
	s.requestLocks(list, now)
}

// compareLocks orders locks by job ID.
func compareLocks(a, b *jobLock) int { return slices.Compare([]byte(a.job), []byte(b.job)) }

// confirmLock reports whether there is a quorum for a lock, and if so, updates
// safeUntil.
func (s *Scheduler) confirmLock(l *jobLock, now time.Time) bool {
	if !s.quorum(l, now) {
		return false
	}
	l.safeUntil = now.Add(maxContactAge)
	for _, panel := range l.panels {
		var contacts []time.Time
		for _, name := range panel {
			if s.counts(l, name, now) {
				contacts = append(contacts, s.agents[name].contactAt)
			}
		}
		slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
		if safeUntil := contacts[majority(len(panel))-1].Add(maxContactAge); safeUntil.Before(l.safeUntil) {
			l.safeUntil = safeUntil
		}
	}
	return true
}

// acquire records that a lock has a quorum, and reports whether that is new. It enqueues
// the job, unless the entry has become overloaded since the job arrived.
func (s *Scheduler) acquire(l *jobLock, now time.Time) bool {
	l.contested = false
	if l.acquired {
		return false
	}
	l.acquired = true
	j := s.jobs[l.job]
	if j == nil {
		return false
	}
	if !s.refuseIfOverloaded(j, now) {
		s.enqueue(j)
	}
	return true
}

// lockLost reports whether another entry may get the lock of a job that this one had.
func (s *Scheduler) lockLost(j *job, now time.Time) bool {
	l := s.locks[j.ID]
	return l != nil && l.acquired && !now.Before(l.safeUntil) && !s.quorum(l, now)
}

// contestedLocks counts the jobs that wait because another entry has them locked.
func (s *Scheduler) contestedLocks() int {
	n := 0
	for _, l := range s.locks {
		if l.contested {
			n++
		}
	}
	return n
}

// missingQuorum describes the votes for a lock, for the log.
func (s *Scheduler) missingQuorum(id string) string {
	l := s.locks[id]
	if l == nil {
		return "no lock"
	}
	if len(s.witnesses.current) == 0 {
		return "no witnesses are known"
	}
	now := s.clock.Now()
	var parts []string
	for _, panel := range s.panelsOf(l) {
		parts = append(parts, fmt.Sprintf("%d of %d witnesses grant the lock", s.countGranted(l, panel, now), len(panel)))
	}
	return strings.Join(parts, ", and of earlier ones ")
}
