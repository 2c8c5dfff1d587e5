package dispatcher

import (
	"github.com/pomeloferry/pomeloferry/courier"
)

// HandleFinished handles the outcomes of tasks, and the slot that may be offered with
// them.
func (o *Dispatcher) HandleFinished(name string, link uint64, f courier.Finished) {
	o.detectPause()
	a := o.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, f.Load)
	for _, rec := range f.Records {
		o.fleet.unassign(a, rec.Task)
		if rec.Outcome == courier.Running {
			continue
		}
		o.handleTaskEnd(a, rec)
		a.pendingAcks = append(a.pendingAcks, rec.Task)
	}
	o.useOffer(a, f.Offer)
	o.dispatch()
	o.reportDemand(o.clock.Now())
}

// handleTaskEnd records the outcome of a task at a, its run time if it has succeeded,
// and its effect on the health of a.
func (o *Dispatcher) handleTaskEnd(a *agent, rec courier.Record) {
	j := o.jobs[rec.Task.Job]
	if j == nil {
		o.recoverTask(a, rec)
		return
	}
	i := rec.Task.Index
	if j.done || i < 0 || i >= len(j.tasks) {
		return
	}
	t := j.tasks[i]
	if t.state == taskSent && rec.Outcome == courier.Succeeded {
		o.admission.recordRunTime(j.submission.Service, o.clock.Since(t.sentAt))
	}
	if rec.Outcome != courier.Stopped {
		o.recordHealth(a, rec.Outcome == courier.Succeeded)
	}
	o.recordOutcome(j, i, rec)
}

// HandleOffer handles the offer of a free slot that an agent reserves for this owner.
func (o *Dispatcher) HandleOffer(name string, link uint64, f courier.Offer) {
	o.detectPause()
	a := o.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, f.Load)
	o.useOffer(a, f.Offer)
	o.reportDemand(o.clock.Now())
}

// HandleRefuse handles an agent's message that a task has not started.
func (o *Dispatcher) HandleRefuse(name string, link uint64, r courier.Refuse) {
	o.detectPause()
	a := o.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	o.setLoad(a, r.Load)
	o.counts.Refused++
	o.refuseReasons[r.Reason]++
	if j := o.jobOfRefuse(a, r); j != nil {
		o.fleet.unassign(a, r.Task)
		o.retryRefused(a, j, r.Task.Index, r.Reason)
		if r.Reason == courier.RefusedStaleTerm {
			o.relinquishTo(j.partition, r.Term)
		}
	}
	o.dispatch()
}

// jobOfRefuse returns the job that a Refuse message concerns, or nil if the message is
// not about the last start of the task.
func (o *Dispatcher) jobOfRefuse(a *agent, r courier.Refuse) *job {
	j := o.jobs[r.Task.Job]
	i := r.Task.Index
	if j == nil || j.done || i < 0 || i >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[i]
	if t.state != taskSent || t.agent != a.ref || t.link != a.link {
		return nil
	}
	// A task known only from a record has no number on this link, and can then be
	// refused only by the upstream.
	reported := t.number == 0 && r.Reason == courier.RefusedByUpstream
	if t.number != r.Number && !reported {
		return nil
	}
	return j
}

// retryRefused requeues a refused task. A refusal by the upstream spends a retry of the
// budget; if there is none, the job is aborted.
func (o *Dispatcher) retryRefused(a *agent, j *job, i int, reason courier.RefuseReason) {
	if reason != courier.RefusedByUpstream {
		o.requeue(j, i)
		return
	}
	o.recordHealth(a, false)
	if o.retryBudget.spend(o.bundle.Limits.RetryPercent) {
		o.requeue(j, i)
		return
	}
	j.resetTask(i)
	o.abortJob(j, courier.ReasonOverload, "the upstreams refuse tasks and the retry budget is spent")
}

// requeue makes a sent task wait again, and queues it if its partition is served.
func (o *Dispatcher) requeue(j *job, i int) {
	j.resetTask(i)
	if o.partitions[j.partition].state == partitionServing {
		o.queue.add(j, 1)
	}
}

func (o *Dispatcher) setLoad(a *agent, l courier.Load) {
	a.load = l
	o.fleet.update(a)
}

// recordOutcome records the outcome of a task, and ends the job if the outcome decides
// it.
func (o *Dispatcher) recordOutcome(j *job, i int, rec courier.Record) {
	wasWaiting := j.tasks[i].state == taskWaiting
	if !j.endTask(i, rec.Outcome, rec.Result) {
		return
	}
	if wasWaiting {
		o.queue.removeTask(j)
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

func (o *Dispatcher) complete(j *job) {
	o.counts.Complete++
	o.finish(j, courier.Answer{State: courier.Complete, Results: j.results()})
}

// fail ends a job as Failed. Some of its tasks may have run.
func (o *Dispatcher) fail(j *job, reason courier.Reason, detail string) {
	o.counts.Failed++
	o.finish(j, courier.Answer{
		State:      courier.Failed,
		Reason:     reason,
		Detail:     detail,
		MayHaveRun: o.mayHaveRun(j),
	})
}

// mayHaveRun returns the indexes of the tasks of j that may have started: all of them
// if agents that may have records of others have not answered.
func (o *Dispatcher) mayHaveRun(j *job) []int {
	if o.partitions[j.partition].state == partitionServing && (j.onlyCopy || !o.mayMissRecords(j.partition)) {
		return j.mayHaveRun()
	}
	all := make([]int, len(j.tasks))
	for i := range all {
		all[i] = i
	}
	return all
}

// abortJob ends a job early: as NotRun if no task can have started, and otherwise as
// Failed.
func (o *Dispatcher) abortJob(j *job, reason courier.Reason, detail string) {
	if len(o.mayHaveRun(j)) > 0 {
		o.fail(j, reason, detail)
		return
	}
	o.endNotRun(j, reason, detail, j.onlyCopy)
}

// endNotRun ends a job of which nothing has started. certain means that no copy of it
// can start anything any more.
func (o *Dispatcher) endNotRun(j *job, reason courier.Reason, detail string, certain bool) {
	answer := courier.Answer{
		Job:        j.id,
		State:      courier.NotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: o.admission.retryAfter(o, len(j.tasks)),
	}
	waiters := sortedWaiters(j)
	for _, w := range waiters {
		delete(o.waiters, w)
	}
	j.waiters = nil
	s := j.submission
	s.Attempt = j.attempt
	o.finish(j, answer)
	delete(o.jobs, j.id)
	o.refuseDurably(s, certain, answer, waiters)
}

// finish records the final answer of a job, sends it to every waiter, and stops the
// tasks that still run.
func (o *Dispatcher) finish(j *job, answer courier.Answer) {
	answer.Job = j.id
	answer.BundleVersion = o.bundle.Version
	answer.Entry = o.cfg.Entry
	o.queue.removeJob(j)
	o.admission.removeTasks(j)
	o.stopTasks(j)
	j.done = true
	j.answer = answer
	for _, w := range sortedWaiters(j) {
		delete(o.waiters, w)
		o.reply(w, answer)
	}
	j.waiters = nil
	j.freeTasks()
	o.scheduleExpiry(j, j.submission.Deadline.Add(AnswerRetention))
}

// stopTasks sends Stop messages for the tasks of j that may be running.
func (o *Dispatcher) stopTasks(j *job) {
	running := j.sentTasksByAgent()
	for _, a := range o.fleet.sortedKnown(running) {
		ids := running[a.ref]
		for _, id := range ids {
			o.fleet.unassign(a, id)
		}
		if a.linked {
			o.send(a.ref.Agent, courier.Stop{Tasks: ids})
		}
	}
}
