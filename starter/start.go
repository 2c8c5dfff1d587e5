package starter

import (
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// Start starts the tasks that may start, and refuses the others. A task that has a
// record already is answered from it.
func (l *Ledger) Start(entry string, s courier.Start) {
	var refused []refusedStart
	var started []courier.Record
	e := l.entries[entry]
	current := e != nil && e.link == s.LinkNumber
	slot, offered := l.takeOffer(entry, s.Offer)
	for _, t := range s.Tasks {
		if current && t.Number <= e.lastNumber {
			continue
		}
		if current {
			e.lastNumber = t.Number
		}
		p := router.PartitionOf(t.Task.Job)
		if r := l.records[p][t.Task]; r != nil {
			started = append(started, r.Record)
			continue // A task that has started is never run again.
		}
		if reason := l.refuseReason(e, s, t, p, offered); reason != "" {
			refused = append(refused, refusedStart{t, reason, l.terms[p]})
			continue
		}
		if !offered {
			slot = l.slots.take(l.preferredSlots(entry), l.upstream.Slots)
		}
		offered = false
		l.recordStart(t, p, slot)
	}
	l.replyToStart(entry, refused, started)
	if offered {
		l.slots.release(slot)
		l.offerFree()
	}
}

// refusedStart is a task of a Start message that may not start, and the reason.
type refusedStart struct {
	task   courier.StartTask
	reason courier.RefuseReason
	term   courier.Term
}

// replyToStart reports the refused tasks and the records of the tasks that had started
// before.
func (l *Ledger) replyToStart(entry string, refused []refusedStart, started []courier.Record) {
	for _, r := range refused {
		msg := courier.Refuse{Number: r.task.Number, Task: r.task.Task, Reason: r.reason, Load: l.load(entry)}
		if r.reason == courier.RefusedStaleTerm {
			msg.Term = r.term
		}
		l.send(entry, msg)
	}
	if len(started) > 0 {
		l.send(entry, courier.Finished{Records: started, Load: l.load(entry)})
	}
}

// refuseReason returns why t may not start, or "" if it may.
func (l *Ledger) refuseReason(e *entryState, s courier.Start, t courier.StartTask, p router.Partition, offered bool) courier.RefuseReason {
	now := l.clock.Now()
	switch {
	case e == nil || e.link != s.LinkNumber:
		return courier.RefusedStaleLink
	case l.terms[p] != t.Term:
		return courier.RefusedStaleTerm
	case !t.Deadline.After(now):
		return courier.RefusedDeadlinePassed
	case l.draining || l.upstream.Leaving:
		return courier.RefusedDraining
	case l.dataCentreOut():
		return courier.RefusedTakenOut
	case !l.fresh(now) || s.BundleVersion < l.policy.BundleVersion:
		return courier.RefusedNotFresh
	case !offered && l.freeSlots() <= 0:
		return courier.RefusedBusy
	}
	return ""
}

// recordStart records the start of a task in a slot and adds the effect that runs it.
func (l *Ledger) recordStart(t courier.StartTask, p router.Partition, slot int) {
	l.records[p][t.Task] = &record{
		Record:    courier.Record{Task: t.Task, Digest: t.Digest, Outcome: courier.Running},
		keepUntil: t.Deadline.Add(RecordRetentionGrace),
		number:    t.Number,
		slot:      slot,
	}
	l.running++
	expiresAt := l.confirmedAt.Add(FreshnessLimit)
	if t.Deadline.Before(expiresAt) {
		expiresAt = t.Deadline
	}
	l.effects = append(l.effects, Run{Task: t, ExpiresAt: expiresAt})
}

// WithdrawStart reverts the start of a task that the upstream is known not to have run.
// The record is deleted, since the task may start elsewhere.
func (l *Ledger) WithdrawStart(id courier.TaskID) {
	p := router.PartitionOf(id.Job)
	r := l.records[p][id]
	if r == nil || r.Outcome != courier.Running {
		return
	}
	delete(l.records[p], id)
	l.running--
	l.slots.release(r.slot)
	holder := l.terms[p].Holder
	l.offerFree()
	l.send(holder, courier.Refuse{
		Number: r.number,
		Task:   id,
		Reason: courier.RefusedByUpstream,
		Load:   l.load(holder),
	})
}

// Finish records the outcome of a running task and reports it to the entry that owns
// the task's partition now. Only the first outcome counts.
func (l *Ledger) Finish(rec courier.Record) {
	p := router.PartitionOf(rec.Task.Job)
	r := l.records[p][rec.Task]
	if r == nil || r.Outcome != courier.Running {
		return
	}
	r.Outcome = rec.Outcome
	r.Result = rec.Result
	l.running--
	l.slots.release(r.slot)
	l.resultBytes += len(rec.Result)
	holder := l.terms[p].Holder
	id := l.piggybackOffer(holder)
	l.offerFree() // The load reported below must not count the slots offered here.
	l.send(holder, courier.Finished{Records: []courier.Record{r.Record}, Offer: id, Load: l.load(holder)})
}

// Acknowledge records that the owner has received the results of tasks. While the
// results take more than AckedResultBytesLimit, acknowledged ones are dropped and their
// outcomes become Lost.
func (l *Ledger) Acknowledge(a courier.Acked) {
	for _, id := range a.Tasks {
		r := l.records[router.PartitionOf(id.Job)][id]
		if r == nil || r.Outcome == courier.Running {
			continue
		}
		r.acked = true
		if l.resultBytes > AckedResultBytesLimit {
			l.resultBytes -= len(r.Result)
			r.Result = nil
			r.Outcome = courier.Lost
		}
	}
}

// Stop stops those of the tasks that are running on the upstream.
func (l *Ledger) Stop(s courier.Stop) {
	for _, id := range s.Tasks {
		r := l.records[router.PartitionOf(id.Job)][id]
		if r != nil && r.Outcome == courier.Running {
			l.effects = append(l.effects, Stop{Task: id})
		}
	}
}
