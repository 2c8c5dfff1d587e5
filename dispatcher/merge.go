package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// HandleClaimReply handles an agent's answer to a claim.
func (d *Dispatcher) HandleClaimReply(name string, link uint64, r courier.ClaimReply) {
	d.detectPause()
	a := d.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	d.setLoad(a, r.Load)
	a.answeredClaim = max(a.answeredClaim, r.Number)
	for _, p := range slices.Sorted(maps.Keys(r.Refused)) {
		d.relinquishTo(p, r.Refused[p])
	}
	fenced := make(map[router.Partition]bool, len(r.Partitions))
	for _, p := range r.Partitions {
		if part := &d.partitions[p]; part.state != partitionNotOwned && part.term == r.Term {
			fenced[p] = true
			delete(part.unfenced, a.ref)
		}
	}
	d.mergeForbidden(fenced, r.Forbidden)
	d.mergeRecords(a, fenced, r.Records)
	d.requeueUndelivered(a, fenced)
	d.fleet.update(a)
	d.finishClaims(d.clock.Now())
	d.retryBlocked()
	d.dispatch()
}

// mergeRecords takes over the records of the fenced partitions that an agent has
// reported, and acknowledges those of ended tasks. All starts are recorded before any
// outcome, since an outcome may end its job.
func (d *Dispatcher) mergeRecords(a *agent, fenced map[router.Partition]bool, records []courier.Record) {
	records = slices.DeleteFunc(records, func(r courier.Record) bool {
		return !fenced[router.PartitionOf(r.Task.Job)]
	})
	for _, rec := range records {
		d.mergeRecord(a, rec)
	}
	var ended []courier.TaskID
	for _, rec := range records {
		if rec.Outcome != courier.Running {
			d.recordMergedOutcome(a, rec)
			ended = append(ended, rec.Task)
		}
	}
	if len(ended) > 0 {
		d.send(a.ref.Agent, courier.Acked{Tasks: ended})
	}
}

// mergeRecord records that an agent has started a task.
func (d *Dispatcher) mergeRecord(a *agent, rec courier.Record) {
	j := d.jobs[rec.Task.Job]
	if j == nil {
		d.recoverTask(a, rec)
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
		d.queue.removeTask(j)
	}
	*t = task{state: taskSent, agent: a.ref, link: a.link, sentAt: d.clock.Now()}
	d.fleet.assign(a, rec.Task)
}

// recordMergedOutcome records the outcome of a merged task that has ended.
func (d *Dispatcher) recordMergedOutcome(a *agent, rec courier.Record) {
	d.fleet.unassign(a, rec.Task)
	j := d.jobs[rec.Task.Job]
	if j != nil && !j.done && rec.Task.Index >= 0 && rec.Task.Index < len(j.tasks) {
		d.recordOutcome(j, rec.Task.Index, rec)
	}
}

// recoverTask keeps the record of a task whose job has no body here. A known outcome is
// not replaced by Running.
func (d *Dispatcher) recoverTask(a *agent, rec courier.Record) {
	recovered := d.recoveredJobs[rec.Task.Job]
	if recovered == nil {
		recovered = &recoveredJob{digest: rec.Digest, records: make(map[int]recoveredTask)}
		d.recoveredJobs[rec.Task.Job] = recovered
	}
	recovered.expiresAt = d.clock.Now().Add(RecordRetention)
	old, ok := recovered.records[rec.Task.Index]
	if ok && old.outcome != courier.Running && rec.Outcome == courier.Running {
		return
	}
	recovered.records[rec.Task.Index] = recoveredTask{
		agent:   a.ref,
		link:    a.link,
		outcome: rec.Outcome,
		result:  rec.Result,
	}
}

// requeueUndelivered requeues the tasks that were sent on an earlier link and did not
// arrive. The agent refuses messages of that link from now on.
func (d *Dispatcher) requeueUndelivered(a *agent, fenced map[router.Partition]bool) {
	for _, id := range a.sortedTasks() {
		j := d.jobs[id.Job]
		if j == nil || j.done {
			d.fleet.unassign(a, id)
			continue
		}
		t := &j.tasks[id.Index]
		if t.state != taskSent || t.agent != a.ref || t.link >= a.link || !fenced[j.partition] {
			continue
		}
		d.fleet.unassign(a, id)
		d.requeue(j, id.Index)
	}
}

// expireRecovered deletes the recovered jobs and the forbidden attempts that have
// expired.
func (d *Dispatcher) expireRecovered(now time.Time) {
	for id, recovered := range d.recoveredJobs {
		if recovered.expiresAt.Before(now) {
			delete(d.recoveredJobs, id)
		}
	}
	for id, forbidden := range d.forbiddenAttempts {
		if forbidden.expiresAt.Before(now) {
			delete(d.forbiddenAttempts, id)
		}
	}
}
