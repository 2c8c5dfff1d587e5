package executor

import (
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// endedJobTTL is how long a witness remembers the outcome of a job that an entry
	// has run to its end, for callers that send the job again to another entry.
	endedJobTTL = 15 * time.Second
	// maxEndedJobs bounds the number of outcomes that are remembered.
	maxEndedJobs = 20_000
)

// lockHolder is one incarnation of an entry, as the holder of locks.
type lockHolder struct {
	entry string
	// hash is that of the entry's name and incarnation.
	hash uint64
	// seenAt is when its last message was received.
	seenAt time.Time
	// listed means that it has listed all locks that it has here since it was last without
	// any.
	listed bool
}

func newLockHolder(entry string, incarnation int64) *lockHolder {
	return &lockHolder{entry: entry, hash: xxhash.Sum64String(fmt.Sprintf("%s/%d", entry, incarnation))}
}

// expired reports whether the locks of the holder are void.
func (h *lockHolder) expired(now time.Time) bool { return now.Sub(h.seenAt) > messenger.LockTTL }

// jobLock is the lock of one job.
type jobLock struct {
	holder *lockHolder
	// wanted means that the holder has been told that another entry asks for the job.
	wanted bool
}

// endedJob is the outcome of a job that has been run to its end.
type endedJob struct {
	outcome messenger.JobOutcome
	endedAt time.Time
}

// lockTable holds the locks for which the agent is a witness.
type lockTable struct {
	locks map[string]*jobLock
	ended map[string]endedJob
	// endedOrder lists the IDs of the jobs in ended, the oldest first.
	endedOrder []string
	// holders are the entries that may have locks here, and listedHash identifies those of
	// them that have listed their locks: all their hashes, combined by exclusive or.
	holders    map[*lockHolder]bool
	listedHash uint64
}

func newLockTable() lockTable {
	return lockTable{locks: make(map[string]*jobLock), ended: make(map[string]endedJob), holders: make(map[*lockHolder]bool)}
}

// HandleLockJobs processes an entry's request for locks.
func (x *Executor) HandleLockJobs(owner string, m messenger.LockJobs) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	x.contactHolder(e)
	x.unlockJobs(e, m.Unlocked)
	if m.Complete {
		x.unlockExcept(e, m.Jobs)
		x.locks.setListed(e.holder, true)
	}
	if len(m.Jobs) == 0 {
		return
	}
	reply := messenger.LockReply{Number: m.Number}
	for _, id := range m.Jobs {
		x.lockJob(e, id, &reply)
	}
	x.emit(SendLockReply{Entry: owner, Reply: reply})
}

// contactHolder records a message of an entry, which keeps its locks.
func (x *Executor) contactHolder(e *entry) {
	e.holder.seenAt = x.clock.Now()
	x.locks.holders[e.holder] = true
}

// lockJob locks a job for an entry if it is free, and adds the result to the reply.
func (x *Executor) lockJob(e *entry, id string, reply *messenger.LockReply) {
	l := x.locks.locks[id]
	if ended, ok := x.locks.ended[id]; ok && (l == nil || l.holder != e.holder) {
		reply.Ended = append(reply.Ended, messenger.UnlockedJob{Job: id, Outcome: ended.outcome})
		return
	}
	switch {
	case l == nil || l.holder.expired(x.clock.Now()):
		x.locks.locks[id] = &jobLock{holder: e.holder}
	case l.holder != e.holder:
		reply.Held = append(reply.Held, id)
		x.notifyHolder(l, id)
		return
	}
	reply.Locked = append(reply.Locked, id)
}

// notifyHolder tells the holder of a lock, once, that another entry asks for the job.
func (x *Executor) notifyHolder(l *jobLock, id string) {
	if e := x.entries[l.holder.entry]; !l.wanted && e != nil && e.holder == l.holder && e.linkOpen {
		l.wanted = true
		x.emit(SendLockReply{Entry: e.name, Reply: messenger.LockReply{Wanted: []string{id}}})
	}
}

// unlockJobs unlocks jobs that an entry has locked, and remembers their outcomes.
func (x *Executor) unlockJobs(e *entry, list []messenger.UnlockedJob) {
	for _, u := range list {
		if u.Outcome != "" {
			x.locks.remember(u, x.clock.Now())
		}
		if l := x.locks.locks[u.Job]; l != nil && l.holder == e.holder {
			delete(x.locks.locks, u.Job)
		}
	}
}

// unlockExcept unlocks the jobs that an entry has locked, except for some.
func (x *Executor) unlockExcept(e *entry, jobs []string) {
	keep := make(map[string]bool, len(jobs))
	for _, id := range jobs {
		keep[id] = true
	}
	maps.DeleteFunc(x.locks.locks, func(id string, l *jobLock) bool { return l.holder == e.holder && !keep[id] })
}

// remember keeps the outcome of a job.
func (t *lockTable) remember(u messenger.UnlockedJob, now time.Time) {
	if _, ok := t.ended[u.Job]; !ok {
		t.endedOrder = append(t.endedOrder, u.Job)
	}
	t.ended[u.Job] = endedJob{outcome: u.Outcome, endedAt: now}
}

// setListed records whether a holder has listed its locks.
func (t *lockTable) setListed(h *lockHolder, listed bool) {
	if h.listed != listed {
		h.listed = listed
		t.listedHash ^= h.hash
	}
}

// expire drops the locks of entries from which nothing arrives, and old outcomes.
func (t *lockTable) expire(now time.Time) {
	maps.DeleteFunc(t.holders, func(h *lockHolder, _ bool) bool {
		if !h.expired(now) {
			return false
		}
		t.setListed(h, false)
		return true
	})
	maps.DeleteFunc(t.locks, func(_ string, l *jobLock) bool { return l.holder.expired(now) })
	for len(t.endedOrder) > 0 {
		id := t.endedOrder[0]
		if now.Sub(t.ended[id].endedAt) < endedJobTTL && len(t.endedOrder) <= maxEndedJobs {
			return
		}
		delete(t.ended, id)
		t.endedOrder = t.endedOrder[1:]
	}
}
