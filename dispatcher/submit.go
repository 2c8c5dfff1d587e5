package dispatcher

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// Submit handles one copy of a submission. Its waiter gets exactly one Reply.
func (o *Dispatcher) Submit(r Request) {
	o.detectPause()
	p := router.PartitionOf(r.Submission.JobID())
	part := &o.partitions[p]
	switch part.state {
	case partitionServing:
		o.admit(r)
		o.dispatch()
		o.reportDemand(o.clock.Now())
	case partitionClaiming:
		part.deferred = append(part.deferred, r)
	default:
		o.replyMoved(r.Waiter, p, false)
	}
}

// admit decides on a submission whose partition is served here.
func (o *Dispatcher) admit(r Request) {
	id := r.Submission.JobID()
	if j := o.jobs[id]; j != nil {
		o.join(j, r)
		return
	}
	if ref, ok := o.forbiddenAttempts[id]; ok && r.Submission.Attempt <= ref.attempt {
		o.replyNotRun(courier.Answer{
			Job:    id,
			State:  courier.NotRun,
			Reason: courier.ReasonAttemptRefused,
			Detail: "this attempt or a later one was answered NotRun",
		}, []Waiter{r.Waiter})
		return
	}
	if in := o.recoveredJobs[id]; in != nil {
		o.resumeRecovered(r, in)
		return
	}
	if !r.isFirstCopy() && o.mayMissRecords(router.PartitionOf(id)) {
		if !o.deferUntilFenced(r) {
			o.replyOutcomeUnknown(r, detailAgentUnreachable)
		}
		return
	}
	o.admitNew(r)
}

// join adds a waiter to a job that is known here, or answers from it.
func (o *Dispatcher) join(j *job, r Request) {
	if j.digest != r.Digest {
		o.replyConflict(r)
		return
	}
	if j.done {
		o.reply(r.Waiter, j.answer)
		return
	}
	j.attempt = max(j.attempt, r.Submission.Attempt)
	j.onlyCopy = false
	o.addWaiter(j, r.Waiter)
}

// addWaiter registers a waiter of j, which is then not orphaned any more.
func (o *Dispatcher) addWaiter(j *job, w Waiter) {
	if w == 0 {
		return
	}
	j.waiters[w] = struct{}{}
	j.orphanedAt = time.Time{}
	o.waiters[w] = j
}

// admitNew decides on a submission of which nothing has started.
func (o *Dispatcher) admitNew(r Request) {
	now := o.clock.Now()
	s := r.Submission
	if !s.Deadline.After(now) {
		o.refuseExpired(r)
		return
	}
	if !o.fresh() && now.Sub(o.resumedAt) < FreshnessTimeout {
		o.deferRequest(r)
		return
	}
	if !o.fresh() {
		o.refuse(r, courier.ReasonBundleNotConfirmed, "no configuration is confirmed at this entry", time.Second)
		return
	}
	if detail := o.bundleViolation(s); detail != "" {
		o.refuse(r, courier.ReasonUnknownService, detail, 0)
		return
	}
	if !o.fleet.canServe(s.Service) {
		o.refuse(r, courier.ReasonNoWorker, fmt.Sprintf("no worker runs service %q", s.Service), 5*time.Second)
		return
	}
	if reason, after := o.admission.check(o, r); reason != "" {
		o.refuse(r, reason, "the tasks waiting would take longer than the deadline allows", after)
		return
	}
	j := o.addJob(r)
	o.queue.add(j, j.waitingTasks)
}

// refuseExpired answers a submission whose deadline has passed. The records of what
// earlier copies started may have expired by then, here and at the agents.
func (o *Dispatcher) refuseExpired(r Request) {
	if !r.isFirstCopy() {
		o.replyOutcomeUnknown(r, detailRecordsExpired)
		return
	}
	o.refuse(r, courier.ReasonDeadline, "the deadline has passed", 0)
}

// bundleViolation describes the first field of s that the bundle in force does not
// allow, or returns "".
func (o *Dispatcher) bundleViolation(s courier.Submission) string {
	service, ok := o.bundle.Service(s.Service)
	if !ok {
		return fmt.Sprintf("Service: found %q, allowed a service of bundle version %d", s.Service, o.bundle.Version)
	}
	if n := len(s.Tasks); n > service.TaskLimit {
		return fmt.Sprintf("Tasks: found %d, allowed up to %d for service %q", n, service.TaskLimit, s.Service)
	}
	return ""
}

// addJob registers a new job and schedules its expiry at the deadline.
func (o *Dispatcher) addJob(r Request) *job {
	j := newJob(r, o.clock.Now())
	o.jobs[j.id] = j
	o.admission.addTasks(j)
	o.addWaiter(j, r.Waiter)
	o.scheduleExpiry(j, j.submission.Deadline)
	return j
}

// resumeRecovered continues a job of an earlier owner from the records of the agents.
func (o *Dispatcher) resumeRecovered(r Request, in *recoveredJob) {
	if in.digest != r.Digest {
		o.replyConflict(r)
		return
	}
	n := len(r.Submission.Tasks)
	if len(in.records) < n && o.mayMissRecords(router.PartitionOf(r.Submission.JobID())) {
		if !o.deferUntilFenced(r) {
			o.replyOutcomeUnknown(r, detailSomeStarted)
		}
		return
	}
	delete(o.recoveredJobs, r.Submission.JobID())
	j := o.addJob(r)
	indexes := sortedIndexes(in.records)
	for _, i := range indexes {
		o.restoreTask(j, i, in.records[i])
	}
	for _, i := range indexes {
		o.recordRestoredOutcome(j, i, in.records[i])
	}
	if !j.done && j.waitingTasks > 0 {
		o.queue.add(j, j.waitingTasks)
	}
}

// restoreTask records that a task has started. It is called for all tasks before any
// outcome, since an outcome may end the job.
func (o *Dispatcher) restoreTask(j *job, i int, t recoveredTask) {
	if i < 0 || i >= len(j.tasks) {
		return
	}
	j.tasks[i] = task{state: taskSent, agent: t.agent, link: t.link, sentAt: o.clock.Now()}
	j.waitingTasks--
	if a := o.fleet.agents[t.agent.Agent]; a != nil && a.ref == t.agent {
		o.fleet.assign(a, courier.TaskID{Job: j.id, Index: i})
	}
}

// recordRestoredOutcome records the outcome of a restored task if it is known, and Lost
// if it can never become known.
func (o *Dispatcher) recordRestoredOutcome(j *job, i int, t recoveredTask) {
	if i < 0 || i >= len(j.tasks) || j.done {
		return
	}
	rec := courier.Record{Task: courier.TaskID{Job: j.id, Index: i}, Outcome: t.outcome, Result: t.result}
	a := o.fleet.agents[t.agent.Agent]
	if rec.Outcome == courier.Running {
		if a != nil && a.ref == t.agent {
			return
		}
		rec.Outcome = courier.Lost
	}
	if a != nil {
		o.fleet.unassign(a, rec.Task)
	}
	o.recordOutcome(j, i, rec)
}

// CallerLeft handles the disconnection of a caller.
func (o *Dispatcher) CallerLeft(w Waiter) {
	o.detectPause()
	j := o.waiters[w]
	if j == nil {
		o.dropDeferred(w)
		return
	}
	delete(o.waiters, w)
	delete(j.waiters, w)
	if len(j.waiters) == 0 && !j.submission.Detached && !j.done {
		j.orphanedAt = o.clock.Now()
		o.scheduleExpiry(j, j.orphanedAt.Add(OrphanGrace))
	}
}

// dropDeferred drops the deferred requests of a waiter.
func (o *Dispatcher) dropDeferred(w Waiter) {
	for i := range o.partitions {
		part := &o.partitions[i]
		part.deferred = slices.DeleteFunc(part.deferred, func(r Request) bool { return r.Waiter == w })
	}
}

// Cancel ends a job if it is unfinished, and returns its state.
func (o *Dispatcher) Cancel(id string) courier.Answer {
	o.detectPause()
	if j := o.jobs[id]; j != nil && !j.done {
		o.abortJob(j, courier.ReasonCancelled, "the job was cancelled")
		o.dispatch()
		if o.pendingForbids[id] == nil {
			return j.answer
		}
	}
	return o.State(id)
}

// State returns what is known about a job.
func (o *Dispatcher) State(id string) courier.Answer {
	a := courier.Answer{Job: id, State: courier.Unknown, BundleVersion: o.bundle.Version, Entry: o.cfg.Entry}
	p := router.PartitionOf(id)
	if o.partitions[p].state == partitionNotOwned {
		a.State = courier.Moved
		a.Owner = router.Owner(p, o.view)
		return a
	}
	if j := o.jobs[id]; j != nil {
		if j.done {
			return j.answer
		}
		a.State = courier.Pending
		return a
	}
	if o.pendingForbids[id] != nil {
		a.State = courier.Pending
		a.Detail = "the refusal is being written down"
	}
	if o.recoveredJobs[id] != nil {
		a.State = courier.Pending
		a.Detail = "started by an earlier owner; submit again for the answer"
	}
	return a
}

// scheduleExpiry makes expireJobs check j at the given time.
func (o *Dispatcher) scheduleExpiry(j *job, at time.Time) {
	heap.Push(&o.expiry, expiry{atNanos: at.UnixNano(), job: j})
}

// expireJobs aborts the jobs whose deadline has passed or whose callers have left, and
// deletes the answers that have expired.
func (o *Dispatcher) expireJobs(now time.Time) {
	for len(o.expiry) > 0 && o.expiry[0].atNanos <= now.UnixNano() {
		e := heap.Pop(&o.expiry).(expiry)
		o.expireJob(e.job, now)
	}
}

// expireJob ends, deletes or reschedules a job for which a time of the expiry queue has
// come. Entries of deleted or replaced jobs are ignored.
func (o *Dispatcher) expireJob(j *job, now time.Time) {
	switch {
	case o.jobs[j.id] != j:
	case j.done && !now.Before(j.submission.Deadline.Add(AnswerRetention)):
		delete(o.jobs, j.id)
	case j.done:
		o.scheduleExpiry(j, j.submission.Deadline.Add(AnswerRetention))
	case !now.Before(j.submission.Deadline):
		o.abortJob(j, courier.ReasonDeadline, "the deadline has passed")
	case !j.orphanedAt.IsZero() && !now.Before(j.orphanedAt.Add(OrphanGrace)):
		o.abortJob(j, courier.ReasonCancelled, "the caller has left")
	}
}

// refuse answers NotRun to a submission of which nothing has started. after is the
// delay after which the caller may retry.
func (o *Dispatcher) refuse(r Request, reason courier.Reason, detail string, after time.Duration) {
	answer := courier.Answer{
		Job:        r.Submission.JobID(),
		State:      courier.NotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: after,
	}
	o.refuseDurably(r.Submission, r.isFirstCopy(), answer, []Waiter{r.Waiter})
}

// forbidAttempt records a forbidden attempt, so that no delayed copy of it runs.
func (o *Dispatcher) forbidAttempt(s courier.Submission, attempt int) {
	old := o.forbiddenAttempts[s.JobID()]
	o.forbiddenAttempts[s.JobID()] = forbiddenAttempt{
		attempt:   max(old.attempt, attempt),
		expiresAt: s.Deadline.Add(AnswerRetention),
	}
}

// replyConflict answers a submission whose key is in use by one with another body.
func (o *Dispatcher) replyConflict(r Request) {
	o.reply(r.Waiter, courier.Answer{
		Job:    r.Submission.JobID(),
		State:  courier.Conflict,
		Reason: courier.ReasonKeyReused,
		Detail: "Key: already used by a submission with another body; nothing of this one was started",
	})
}

// Details of answers whose outcome is unknown.
const (
	detailAgentUnreachable = "an agent that may have started tasks of this job cannot be asked"
	detailSomeStarted      = "some tasks are known to have started, and an agent that may have started others cannot be asked"
	detailRecordsExpired   = "the deadline has passed, and what earlier attempts started may be forgotten"
)

// replyOutcomeUnknown answers a resubmission if it cannot be known whether its earlier
// copies have run.
func (o *Dispatcher) replyOutcomeUnknown(r Request, detail string) {
	o.counts.Failed++
	a := courier.Answer{
		Job:    r.Submission.JobID(),
		State:  courier.Failed,
		Reason: courier.ReasonOutcomeUnknown,
		Detail: detail,
	}
	for i := range r.Submission.Tasks {
		a.MayHaveRun = append(a.MayHaveRun, i)
	}
	o.reply(r.Waiter, a)
}

func sortedWaiters(j *job) []Waiter {
	out := make([]Waiter, 0, len(j.waiters))
	for w := range j.waiters {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b Waiter) int { return cmp.Compare(a, b) })
	return out
}

func sortedIndexes(m map[int]recoveredTask) []int {
	out := make([]int, 0, len(m))
	for i := range m {
		out = append(out, i)
	}
	slices.Sort(out)
	return out
}
