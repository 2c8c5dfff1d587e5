package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// Claimed takes an agent's answer to a claim.
func (o *Owner) Claimed(name string, link uint64, r courier.ClaimReply) {
	o.wake()
	a := o.fleet.linked(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, r.Load)
	a.answeredClaim = max(a.answeredClaim, r.Number)
	for _, p := range slices.Sorted(maps.Keys(r.Refused)) {
		o.loseTo(p, r.Refused[p])
	}
	fenced := make(map[router.Partition]bool, len(r.Partitions))
	for _, p := range r.Partitions {
		if part := &o.partitions[p]; part.state != foreign && part.term == r.Term {
			fenced[p] = true
			delete(part.missing, a.ref)
		}
	}
	o.mergeForbidden(fenced, r.Forbidden)
	o.mergeRecords(a, fenced, r.Records)
	o.requeueUnheard(a, fenced)
	o.fleet.update(a)
	o.finishClaims(o.clock.Now())
	o.releaseHeld()
	o.dispatch()
}

func (o *Owner) mergeRecords(a *agent, fenced map[router.Partition]bool, records []courier.Record) {
	records = slices.DeleteFunc(records, func(r courier.Record) bool {
		return !fenced[router.PartitionOf(r.Task.Job)]
	})
	for _, rec := range records {
		o.merge(a, rec)
	}
	var ended []courier.TaskID
	for _, rec := range records {
		if rec.Outcome != courier.Running {
			o.settleMerged(a, rec)
			ended = append(ended, rec.Task)
		}
	}
	if len(ended) > 0 {
		o.send(a.ref.Agent, courier.Acked{Tasks: ended})
	}
}

// merge notes that an agent has started a task.
func (o *Owner) merge(a *agent, rec courier.Record) {
	j := o.jobs[rec.Task.Job]
	if j == nil {
		o.inherit(a, rec)
		return
	}
	i := rec.Task.Index
	if j.done || i < 0 || i >= len(j.tasks) {
		return
	}
	t := &j.tasks[i]
	if t.state == ended {
		return
	}
	if t.state == waiting {
		j.waitingTasks--
		o.queue.took(j)
	}
	*t = task{state: sent, agent: a.ref, link: a.link, sentAt: o.clock.Now()}
	o.fleet.assign(a, rec.Task)
}

// settleMerged settles a merged task that has ended.
func (o *Owner) settleMerged(a *agent, rec courier.Record) {
	o.fleet.unassign(a, rec.Task)
	j := o.jobs[rec.Task.Job]
	if j != nil && !j.done && rec.Task.Index >= 0 && rec.Task.Index < len(j.tasks) {
		o.settle(j, rec.Task.Index, rec)
	}
}

func (o *Owner) inherit(a *agent, rec courier.Record) {
	in := o.inherited[rec.Task.Job]
	if in == nil {
		in = &inheritance{digest: rec.Digest, records: make(map[int]inheritedTask)}
		o.inherited[rec.Task.Job] = in
	}
	in.until = o.clock.Now().Add(RecordHorizon)
	old, ok := in.records[rec.Task.Index]
	if ok && old.outcome != courier.Running && rec.Outcome == courier.Running {
		return
	}
	in.records[rec.Task.Index] = inheritedTask{
		agent:   a.ref,
		link:    a.link,
		outcome: rec.Outcome,
		result:  rec.Result,
	}
}

// requeueUnheard makes tasks wait again that were sent on an earlier link and
// never arrived: the agent refuses that link from now on.
func (o *Owner) requeueUnheard(a *agent, fenced map[router.Partition]bool) {
	for _, id := range a.sortedTasks() {
		j := o.jobs[id.Job]
		if j == nil || j.done {
			o.fleet.unassign(a, id)
			continue
		}
		t := &j.tasks[id.Index]
		if t.state != sent || t.agent != a.ref || t.link >= a.link || !fenced[j.partition] {
			continue
		}
		o.fleet.unassign(a, id)
		o.requeue(j, id.Index)
	}
}

func (o *Owner) dropInheritances(now time.Time) {
	for id, in := range o.inherited {
		if in.until.Before(now) {
			delete(o.inherited, id)
		}
	}
	for id, r := range o.refused {
		if r.until.Before(now) {
			delete(o.refused, id)
		}
	}
}
