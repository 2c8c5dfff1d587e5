package dispatcher

import (
	"github.com/pomeloferry/pomeloferry/courier"
)

// Finished takes the outcomes of tasks, and the slot that may be offered with
// them.
func (o *Owner) Finished(name string, link uint64, f courier.Finished) {
	o.wake()
	a := o.fleet.linked(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, f.Load)
	for _, rec := range f.Records {
		o.fleet.unassign(a, rec.Task)
		if rec.Outcome == courier.Running {
			continue
		}
		o.finishTask(a, rec)
		a.acks = append(a.acks, rec.Task)
	}
	o.useOffer(a, f.Offer)
	o.dispatch()
	o.reportDemand(o.clock.Now())
}

func (o *Owner) finishTask(a *agent, rec courier.Record) {
	j := o.jobs[rec.Task.Job]
	if j == nil {
		o.inherit(a, rec)
		return
	}
	i := rec.Task.Index
	if j.done || i < 0 || i >= len(j.tasks) {
		return
	}
	t := j.tasks[i]
	if t.state == sent && rec.Outcome == courier.Succeeded {
		o.admission.learn(j.sub.Service, o.clock.Since(t.sentAt))
	}
	if rec.Outcome != courier.Stopped {
		o.judge(a, rec.Outcome == courier.Succeeded)
	}
	o.settle(j, i, rec)
}

// Offered takes a free slot that an agent holds for this owner.
func (o *Owner) Offered(name string, link uint64, f courier.Offer) {
	o.wake()
	a := o.fleet.linked(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, f.Load)
	o.useOffer(a, f.Offer)
	o.reportDemand(o.clock.Now())
}

// Refused takes an agent's word that tasks have not started.
func (o *Owner) Refused(name string, link uint64, r courier.Refuse) {
	o.wake()
	a := o.fleet.linked(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, r.Load)
	o.counts.Refused++
	o.refusedFor[r.Reason]++
	if j := o.refusedJob(a, r); j != nil {
		o.fleet.unassign(a, r.Task)
		o.putBackRefused(a, j, r.Task.Index, r.Reason)
		if r.Reason == courier.RefusedTerm {
			o.loseTo(j.partition, r.Term)
		}
	}
	o.dispatch()
}

// refusedJob returns the job that a refusal concerns, or nil if the refusal is
// not about the last start of the task.
func (o *Owner) refusedJob(a *agent, r courier.Refuse) *job {
	j := o.jobs[r.Task.Job]
	i := r.Task.Index
	if j == nil || j.done || i < 0 || i >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[i]
	if t.state != sent || t.agent != a.ref || t.link != a.link {
		return nil
	}
	// A task known from a report has no number on this link; only the upstream
	// can still refuse it.
	reported := t.number == 0 && r.Reason == courier.RefusedUpstream
	if t.number != r.Number && !reported {
		return nil
	}
	return j
}

func (o *Owner) putBackRefused(a *agent, j *job, i int, reason courier.Refusal) {
	if reason != courier.RefusedUpstream {
		o.requeue(j, i)
		return
	}
	o.judge(a, false)
	if o.budget.spend(o.bundle.Limits.RetryPercent) {
		o.requeue(j, i)
		return
	}
	j.putBack(i)
	o.giveUp(j, courier.ReasonOverload, "the upstreams refuse tasks and the retry budget is spent")
}

// requeue makes a sent task wait again.
func (o *Owner) requeue(j *job, i int) {
	j.putBack(i)
	if o.partitions[j.partition].state == serving {
		o.queue.add(j, 1)
	}
}

func (o *Owner) setLoad(a *agent, l courier.Load) {
	a.load = l
	o.fleet.update(a)
}

// settle notes the outcome of a task, and ends the job when that decides it.
func (o *Owner) settle(j *job, i int, rec courier.Record) {
	wasWaiting := j.tasks[i].state == waiting
	if !j.end(i, rec.Outcome, rec.Result) {
		return
	}
	if wasWaiting {
		o.queue.took(j)
	}
	switch rec.Outcome {
	case courier.Succeeded:
		o.counts.Succeeded++
		if j.unfinished == 0 {
			o.complete(j)
		}
	case courier.Lost:
		o.counts.Lost++
		o.fail(j, courier.ReasonOutcomeUnknown, "the outcome of a started task is not known")
	case courier.Stopped:
		o.fail(j, courier.ReasonCancelled, "a started task was stopped")
	default:
		o.counts.Errored++
		o.fail(j, courier.ReasonTaskFailed, "a task failed: "+string(rec.Result))
	}
}

func (o *Owner) complete(j *job) {
	o.counts.Complete++
	o.finish(j, courier.Answer{State: courier.Complete, Results: j.results()})
}

// fail ends a job of which tasks may have run.
func (o *Owner) fail(j *job, reason courier.Reason, detail string) {
	o.counts.Failed++
	o.finish(j, courier.Answer{
		State:      courier.Failed,
		Reason:     reason,
		Detail:     detail,
		MayHaveRun: o.mayHaveRun(j),
	})
}

// mayHaveRun lists the tasks of j that may have started: all of them when
// agents that might know of others have not been asked.
func (o *Owner) mayHaveRun(j *job) []int {
	if o.partitions[j.partition].state == serving && (j.onlyCopy || !o.gap(j.partition)) {
		return j.mayHaveRun()
	}
	all := make([]int, len(j.tasks))
	for i := range all {
		all[i] = i
	}
	return all
}

// giveUp ends a job early: as NotRun when nothing can have started, and else
// as Failed.
func (o *Owner) giveUp(j *job, reason courier.Reason, detail string) {
	if len(o.mayHaveRun(j)) > 0 {
		o.fail(j, reason, detail)
		return
	}
	o.endNotRun(j, reason, detail, j.onlyCopy)
}

// endNotRun ends a job of which nothing has started. Certain means that no
// copy of it can start anything any more.
func (o *Owner) endNotRun(j *job, reason courier.Reason, detail string, certain bool) {
	answer := courier.Answer{
		Job:        j.id,
		State:      courier.NotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: o.admission.comeBack(o, len(j.tasks)),
	}
	waiters := sortedWaiters(j)
	for _, w := range waiters {
		delete(o.waiters, w)
	}
	j.waiters = nil
	s := j.sub
	s.Attempt = j.attempt
	o.finish(j, answer)
	delete(o.jobs, j.id)
	o.refuseFinally(s, certain, answer, waiters)
}

// finish gives every caller the final answer and stops what still runs.
func (o *Owner) finish(j *job, answer courier.Answer) {
	answer.Job = j.id
	answer.BundleVersion = o.bundle.Version
	answer.Entry = o.cfg.Entry
	o.queue.remove(j)
	o.admission.ended(j)
	o.stopTasks(j)
	j.done = true
	j.answer = answer
	for _, w := range sortedWaiters(j) {
		delete(o.waiters, w)
		o.reply(w, answer)
	}
	j.waiters = nil
	j.release()
	o.due(j, j.sub.Deadline.Add(AnswerGrace))
}

func (o *Owner) stopTasks(j *job) {
	running := j.sentTasks()
	for _, a := range o.fleet.sortedRefs(running) {
		ids := running[a.ref]
		for _, id := range ids {
			o.fleet.unassign(a, id)
		}
		if a.linked {
			o.send(a.ref.Agent, courier.Stop{Tasks: ids})
		}
	}
}
