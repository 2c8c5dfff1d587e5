package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// A caller that gets no answer sends its job again, to any entry, and a request may
// arrive long after it was sent, so that several entries may get the same job at any
// time. An entry therefore locks a job at a quorum of the job's witnesses before it
// places any of its tasks, and keeps the lock until all runs of the job have ended. A
// witness grants a lock to one entry at a time, and any two quorums have a witness in
// common.

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
	// maxContactAge is the maximum age of the last message that is known to have
	// arrived at a witness for its locks to count. The rest of messenger.LockTTL is
	// for a tick, the withdrawal of the runs, their stop, and the transfer of both
	// messages.
	maxContactAge = messenger.LockTTL - 430*time.Millisecond
	// reinforceAfterChange is how long after the last witness has come back locks are
	// kept at all witnesses.
	reinforceAfterChange = messenger.IdleTimeout
	// minResendDelay is the shortest time after which a caller sends a job again, less
	// the time that its request may take to arrive.
	minResendDelay = 1200 * time.Millisecond
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
	// panel are the job's witnesses as of panelVersion of the witness set, and as of
	// the value panelLocked of acquired.
	panel        []string
	panelVersion uint64
	panelLocked  bool
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

// panelOf returns the names of the agents that are the witnesses of a lock's job.
func (s *Scheduler) panelOf(l *jobLock) []string {
	if l.panelVersion != s.witnesses.version || l.panelLocked != l.acquired {
		l.panel = s.witnesses.panel(l.hash, s.dataCentre, l.acquired)
		l.panelVersion = s.witnesses.version
		l.panelLocked = l.acquired
	}
	return l.panel
}

// grants reports whether a witness keeps the lock for this entry.
func (s *Scheduler) grants(l *jobLock, name string, now time.Time) bool {
	v, a := l.votes[name], s.agents[name]
	return v != nil && v.state == locked && v.epoch == a.lockEpoch && a.linked && now.Sub(a.contactAt) < maxContactAge
}

// quorum reports whether the lock is granted by a majority of the witnesses, of which no
// other entry can have one then.
func (s *Scheduler) quorum(l *jobLock, now time.Time) bool {
	panel := s.panelOf(l)
	granted := 0
	for _, name := range panel {
		if s.grants(l, name, now) && s.remembers(s.agents[name]) {
			granted++
		}
	}
	return len(panel) == 0 || granted >= majority(len(panel))
}

func majority(n int) int { return n/2 + 1 }

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
	var contacts []time.Time
	for _, name := range s.panelOf(l) {
		if s.grants(l, name, now) {
			contacts = append(contacts, s.agents[name].contactAt)
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	l.safeUntil = now
	if needed := majority(len(l.panel)); len(contacts) >= needed {
		l.safeUntil = contacts[needed-1].Add(maxContactAge)
	}
	return true
}

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

// witnessesToAsk returns the agents to ask for a lock now: as many as a quorum needs in
// addition to those that have granted it or may still do so.
func (s *Scheduler) witnessesToAsk(l *jobLock, now time.Time) []*agent {
	panel := s.panelOf(l)
	needed := majority(len(panel))
	expected, heldElsewhere := 0, 0
	var candidates []*agent
	for _, name := range panel {
		a, v := s.agents[name], l.votes[name]
		switch {
		case a == nil || !a.linked || !l.acquired && !s.remembers(a):
		case s.grants(l, name, now):
			expected++
		case v == nil || v.epoch != a.lockEpoch:
			candidates = append(candidates, a)
		case v.state == held:
			heldElsewhere++
		case v.state == requested && now.Sub(v.sentAt) < witnessTimeout:
			expected++
		}
	}
	tooFew := expected+len(candidates) < needed
	switch {
	case heldElsewhere > 0 && (tooFew || l.attempts > 0):
		// After a failed attempt the other entry most likely runs the job.
		s.loseLock(l, now)
		return nil
	case tooFew && !l.acquired && !l.requestedAt.IsZero() && now.Sub(l.requestedAt) >= maxRequestTime:
		s.abandonRequest(l, now)
		return nil
	case l.requestedAt.IsZero() && len(candidates) > 0:
		l.requestedAt = now
	}
	return candidates[:min(max(needed-expected, 0), len(candidates))]
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

// lockLost reports whether another entry may get the lock of a job that this one had.
func (s *Scheduler) lockLost(j *job, now time.Time) bool {
	l := s.locks[j.ID]
	return l != nil && l.acquired && !now.Before(l.safeUntil) && !s.quorum(l, now)
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
	granted := 0
	now := s.clock.Now()
	panel := s.panelOf(l)
	for _, name := range panel {
		if s.grants(l, name, now) {
			granted++
		}
	}
	return fmt.Sprintf("%d of %d witnesses grant the lock", granted, len(panel))
}

// mixHashes returns a hash of two hashes.
func mixHashes(a, b uint64) uint64 {
	// An odd multiplier that mixes all bits, as in Fibonacci hashing.
	const multiplier = 0x9E3779B97F4A7C15
	mixed := (a ^ b) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}

// hashName returns the hash of a name.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }
