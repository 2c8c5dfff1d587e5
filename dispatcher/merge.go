package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// HandleClaimReply handles an agent's answer to a claim.
func (o *Dispatcher) HandleClaimReply(name string, link uint64, r courier.ClaimReply) {
	o.detectPause()
	a := o.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, r.Load)
	a.answeredClaim = max(a.answeredClaim, r.Number)
	for _, p := range slices.Sorted(maps.Keys(r.Refused)) {
		o.relinquishTo(p, r.Refused[p])
	}
	fenced := make(map[router.Partition]bool, len(r.Partitions))
	for _, p := range r.Partitions {
		if part := &o.partitions[p]; part.state != partitionNotOwned && part.term == r.Term {
			fenced[p] = true
			delete(part.unfenced, a.ref)
		}
	}
	o.mergeForbidden(fenced, r.Forbidden)
	o.mergeRecords(a, fenced, r.Records)
	o.requeueUndelivered(a, fenced)
	o.fleet.update(a)
	o.finishClaims(o.clock.Now())
	o.retryBlocked()
	o.dispatch()
}

// mergeRecords takes over the records of the fenced partitions that an agent has
// reported, and acknowledges those of ended tasks. All starts are recorded before any
// outcome, since an outcome may end its job.
func (o *Dispatcher) mergeRecords(a *agent, fenced map[router.Partition]bool, records []courier.Record) {
	records = slices.DeleteFunc(records, func(r courier.Record) bool {
		return !fenced[router.PartitionOf(r.Task.Job)]
	})
	for _, rec := range records {
		o.mergeRecord(a, rec)
	}
	var ended []courier.TaskID
	for _, rec := range records {
		if rec.Outcome != courier.Running {
			o.recordMergedOutcome(a, rec)
			ended = append(ended, rec.Task)
		}
	}
	if len(ended) > 0 {
		o.send(a.ref.Agent, courier.Acked{Tasks: ended})
	}
}

// mergeRecord records that an agent has started a task.
func (o *Dispatcher) mergeRecord(a *agent, rec courier.Record) {
	j := o.jobs[rec.Task.Job]
	if j == nil {
		o.recoverTask(a, rec)
		return
	}
	i := rec.Task.Index
	if j.done || i < 0 || i >= len(j.tasks) {
		return
	}
	t := &j.tasks[i]
	if t.state == taskEnded {
		return
	}
	if t.state == taskWaiting {
		j.waitingTasks--
		o.queue.removeTask(j)
	}
	*t = task{state: taskSent, agent: a.ref, link: a.link, sentAt: o.clock.Now()}
	o.fleet.assign(a, rec.Task)
}

// recordMergedOutcome records the outcome of a merged task that has ended.
func (o *Dispatcher) recordMergedOutcome(a *agent, rec courier.Record) {
	o.fleet.unassign(a, rec.Task)
	j := o.jobs[rec.Task.Job]
	if j != nil && !j.done && rec.Task.Index >= 0 && rec.Task.Index < len(j.tasks) {
		o.recordOutcome(j, rec.Task.Index, rec)
	}
}

// recoverTask keeps the record of a task whose job has no body here. A known outcome is
// not replaced by Running.
func (o *Dispatcher) recoverTask(a *agent, rec courier.Record) {
	in := o.recoveredJobs[rec.Task.Job]
	if in == nil {
		in = &recoveredJob{digest: rec.Digest, records: make(map[int]recoveredTask)}
		o.recoveredJobs[rec.Task.Job] = in
	}
	in.expiresAt = o.clock.Now().Add(RecordRetention)
	old, ok := in.records[rec.Task.Index]
	if ok && old.outcome != courier.Running && rec.Outcome == courier.Running {
		return
	}
	in.records[rec.Task.Index] = recoveredTask{
		agent:   a.ref,
		link:    a.link,
		outcome: rec.Outcome,
		result:  rec.Result,
	}
}

// requeueUndelivered requeues the tasks that were sent on an earlier link and did not
// arrive. The agent refuses messages of that link from now on.
func (o *Dispatcher) requeueUndelivered(a *agent, fenced map[router.Partition]bool) {
	for _, id := range a.sortedTasks() {
		j := o.jobs[id.Job]
		if j == nil || j.done {
			o.fleet.unassign(a, id)
			continue
		}
		t := &j.tasks[id.Index]
		if t.state != taskSent || t.agent != a.ref || t.link >= a.link || !fenced[j.partition] {
			continue
		}
		o.fleet.unassign(a, id)
		o.requeue(j, id.Index)
	}
}

// expireRecovered deletes the recovered jobs and the forbidden attempts that have
// expired.
func (o *Dispatcher) expireRecovered(now time.Time) {
	for id, in := range o.recoveredJobs {
		if in.expiresAt.Before(now) {
			delete(o.recoveredJobs, id)
		}
	}
	for id, r := range o.forbiddenAttempts {
		if r.expiresAt.Before(now) {
			delete(o.forbiddenAttempts, id)
		}
	}
}
