package dispatcher

import (
	"github.com/pomeloferry/pomeloferry/courier"
)

// HandleFinished handles the outcomes of tasks, and the slot that may be offered with
// them.
func (d *Dispatcher) HandleFinished(name string, link uint64, f courier.Finished) {
	d.detectPause()
	a := d.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	d.setLoad(a, f.Load)
	for _, rec := range f.Records {
		d.fleet.unassign(a, rec.Task)
		if rec.Outcome == courier.Running {
			continue
		}
		d.handleTaskEnd(a, rec)
		a.pendingAcks = append(a.pendingAcks, rec.Task)
	}
	d.useOffer(a, f.Offer)
	d.dispatch()
	d.reportDemand(d.clock.Now())
}

// handleTaskEnd records the outcome of a task at a, its run time if it has succeeded,
// and its effect on the health of a.
func (d *Dispatcher) handleTaskEnd(a *agent, rec courier.Record) {
	j := d.jobs[rec.Task.Job]
	if j == nil {
		d.recoverTask(a, rec)
		return
	}
	i := rec.Task.Index
	if j.done || i < 0 || i >= len(j.tasks) {
		return
	}
	t := j.tasks[i]
	if t.state == taskSent && rec.Outcome == courier.Succeeded {
		d.admission.recordRunTime(j.submission.Service, d.clock.Since(t.sentAt))
	}
	if rec.Outcome != courier.Stopped {
		d.recordHealth(a, rec.Outcome == courier.Succeeded)
	}
	d.recordOutcome(j, i, rec)
}

// HandleOffer handles the offer of a free slot that an agent reserves for this owner.
func (d *Dispatcher) HandleOffer(name string, link uint64, f courier.Offer) {
	d.detectPause()
	a := d.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	d.setLoad(a, f.Load)
	d.useOffer(a, f.Offer)
	d.reportDemand(d.clock.Now())
}

// HandleRefuse handles an agent's message that a task has not started.
func (d *Dispatcher) HandleRefuse(name string, link uint64, r courier.Refuse) {
	d.detectPause()
	a := d.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	d.setLoad(a, r.Load)
	d.counts.Refused++
	d.refuseReasons[r.Reason]++
	if j := d.jobOfRefuse(a, r); j != nil {
		d.fleet.unassign(a, r.Task)
		d.retryRefused(a, j, r.Task.Index, r.Reason)
		if r.Reason == courier.RefusedStaleTerm {
			d.relinquishTo(j.partition, r.Term)
		}
	}
	d.dispatch()
}

// jobOfRefuse returns the job that a Refuse message concerns, or nil if the message is
// not about the last start of the task.
func (d *Dispatcher) jobOfRefuse(a *agent, r courier.Refuse) *job {
	j := d.jobs[r.Task.Job]
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
	fromRecord := t.number == 0 && r.Reason == courier.RefusedByUpstream
	if t.number != r.Number && !fromRecord {
		return nil
	}
	return j
}

// retryRefused requeues a refused task. A refusal by the upstream also counts as a
// failure of the agent and spends a retry of the budget; if there is none, the job is
// aborted.
func (d *Dispatcher) retryRefused(a *agent, j *job, i int, reason courier.RefuseReason) {
	if reason != courier.RefusedByUpstream {
		d.requeue(j, i)
		return
	}
	d.recordHealth(a, false)
	if d.retryBudget.spend(d.bundle.Limits.RetryPercent) {
		d.requeue(j, i)
		return
	}
	j.resetTask(i)
	d.abortJob(j, courier.ReasonOverload, "the upstreams refuse tasks and the retry budget is spent")
}

// requeue makes a sent task wait again, and queues it if its partition is served.
func (d *Dispatcher) requeue(j *job, i int) {
	j.resetTask(i)
	if d.partitions[j.partition].state == partitionServing {
		d.queue.add(j, 1)
	}
}

func (d *Dispatcher) setLoad(a *agent, l courier.Load) {
	a.load = l
	d.fleet.update(a)
}

// recordOutcome records the outcome of a task, and ends the job if the outcome decides
// it.
func (d *Dispatcher) recordOutcome(j *job, i int, rec courier.Record) {
	wasWaiting := j.tasks[i].state == taskWaiting
	if !j.endTask(i, rec.Outcome, rec.Result) {
		return
	}
	if wasWaiting {
		d.queue.removeTask(j)
	}
	switch rec.Outcome {
	case courier.Succeeded:
		d.counts.Succeeded++
		if j.unfinished == 0 {
			d.complete(j)
		}
	case courier.Lost:
		d.counts.Lost++
		d.fail(j, courier.ReasonOutcomeUnknown, "the outcome of a started task is not known")
	case courier.Stopped:
		d.fail(j, courier.ReasonCancelled, "a started task was stopped")
	default:
		d.counts.Errored++
		d.fail(j, courier.ReasonTaskFailed, "a task failed: "+string(rec.Result))
	}
}

func (d *Dispatcher) complete(j *job) {
	d.counts.Complete++
	d.finish(j, courier.Answer{State: courier.Complete, Results: j.results()})
}

// fail ends a job as Failed. Some of its tasks may have run.
func (d *Dispatcher) fail(j *job, reason courier.Reason, detail string) {
	d.counts.Failed++
	d.finish(j, courier.Answer{
		State:      courier.Failed,
		Reason:     reason,
		Detail:     detail,
		MayHaveRun: d.mayHaveRun(j),
	})
}

// mayHaveRun returns the indexes of the tasks of j that may have started: all of them
// if agents that may have records of others have not answered.
func (d *Dispatcher) mayHaveRun(j *job) []int {
	if d.partitions[j.partition].state == partitionServing && (j.onlyCopy || !d.mayMissRecords(j.partition)) {
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
func (d *Dispatcher) abortJob(j *job, reason courier.Reason, detail string) {
	if len(d.mayHaveRun(j)) > 0 {
		d.fail(j, reason, detail)
		return
	}
	d.endNotRun(j, reason, detail, j.onlyCopy)
}

// endNotRun ends a job of which nothing has started. noOtherCopy means that no copy of
// it can start anything any more.
func (d *Dispatcher) endNotRun(j *job, reason courier.Reason, detail string, noOtherCopy bool) {
	answer := courier.Answer{
		Job:        j.id,
		State:      courier.NotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: d.admission.retryAfter(d, len(j.tasks)),
	}
	waiters := sortedWaiters(j)
	for _, w := range waiters {
		delete(d.waiters, w)
	}
	j.waiters = nil
	s := j.submission
	s.Attempt = j.attempt
	d.finish(j, answer)
	d.forget(j)
	d.refuseDurably(s, noOtherCopy, answer, waiters)
}

// forget stops tracking a job.
func (d *Dispatcher) forget(j *job) {
	delete(d.jobs, j.id)
	d.setBytes(j, 0)
}

// setBytes changes what a job that is tracked counts for.
func (d *Dispatcher) setBytes(j *job, n int64) {
	d.keptBytes += n - j.bytes
	j.bytes = n
}

// finish records the final answer of a job, sends it to every waiter, and stops the
// tasks that still run.
func (d *Dispatcher) finish(j *job, answer courier.Answer) {
	answer.Job = j.id
	answer.BundleVersion = d.bundle.Version
	answer.Entry = d.cfg.Entry
	d.queue.removeJob(j)
	d.admission.removeTasks(j)
	d.stopTasks(j)
	j.done = true
	j.answer = answer
	d.setBytes(j, resultBytes(answer))
	for _, w := range sortedWaiters(j) {
		delete(d.waiters, w)
		d.reply(w, answer)
	}
	j.waiters = nil
	j.freeTasks()
	d.scheduleExpiry(j, j.submission.Deadline.Add(AnswerRetention))
}

// stopTasks sends Stop messages for the tasks of j that may be running.
func (d *Dispatcher) stopTasks(j *job) {
	running := j.sentTasksByAgent()
	for _, a := range d.fleet.sortedKnown(running) {
		ids := running[a.ref]
		for _, id := range ids {
			d.fleet.unassign(a, id)
		}
		if a.linked {
			d.send(a.ref.Agent, courier.Stop{Tasks: ids})
		}
	}
}
