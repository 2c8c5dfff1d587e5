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
func (d *Dispatcher) Submit(r Request) {
	d.detectPause()
	p := router.PartitionOf(r.Submission.JobID())
	part := &d.partitions[p]
	switch part.state {
	case partitionServing:
		d.admit(r)
		d.dispatch()
		d.reportDemand(d.clock.Now())
	case partitionClaiming:
		part.deferred = append(part.deferred, r)
	default:
		d.replyMoved(r.Waiter, p, false)
	}
}

// admit decides on a submission whose partition is served here.
func (d *Dispatcher) admit(r Request) {
	id := r.Submission.JobID()
	if j := d.jobs[id]; j != nil {
		d.join(j, r)
		return
	}
	if forbidden, ok := d.forbiddenAttempts[id]; ok && r.Submission.Attempt <= forbidden.attempt {
		d.replyNotRun(courier.Answer{
			Job:    id,
			State:  courier.NotRun,
			Reason: courier.ReasonAttemptRefused,
			Detail: "this attempt or a later one was answered NotRun",
		}, []Waiter{r.Waiter})
		return
	}
	if recovered := d.recoveredJobs[id]; recovered != nil {
		d.resumeRecovered(r, recovered)
		return
	}
	if !r.isFirstCopy() && d.mayMissRecords(router.PartitionOf(id)) {
		if !d.deferUntilFenced(r) {
			d.replyOutcomeUnknown(r, detailAgentUnreachable)
		}
		return
	}
	d.admitNew(r)
}

// join adds a waiter to a job that is known here, or answers from it.
func (d *Dispatcher) join(j *job, r Request) {
	if j.digest != r.Digest {
		d.replyConflict(r)
		return
	}
	if j.done {
		d.reply(r.Waiter, j.answer)
		return
	}
	j.attempt = max(j.attempt, r.Submission.Attempt)
	j.onlyCopy = false
	d.addWaiter(j, r.Waiter)
}

// addWaiter registers a waiter of j, which is then not orphaned any more.
func (d *Dispatcher) addWaiter(j *job, w Waiter) {
	if w == 0 {
		return
	}
	j.waiters[w] = struct{}{}
	j.orphanedAt = time.Time{}
	d.waiters[w] = j
}

// admitNew decides on a submission of which nothing has started.
func (d *Dispatcher) admitNew(r Request) {
	now := d.clock.Now()
	s := r.Submission
	if !s.Deadline.After(now) {
		d.refuseExpired(r)
		return
	}
	if !d.fresh() && now.Sub(d.resumedAt) < FreshnessTimeout {
		d.deferRequest(r)
		return
	}
	if !d.fresh() {
		d.refuse(r, courier.ReasonBundleNotConfirmed, "no configuration is confirmed at this entry", time.Second)
		return
	}
	if detail := d.bundleViolation(s); detail != "" {
		d.refuse(r, courier.ReasonUnknownService, detail, 0)
		return
	}
	if !d.fleet.canServe(s.Service) {
		d.refuse(r, courier.ReasonNoWorker, fmt.Sprintf("no worker runs service %q", s.Service), 5*time.Second)
		return
	}
	if reason, retryAfter := d.admission.check(d, r); reason != "" {
		d.refuse(r, reason, "the tasks waiting would take longer than the deadline allows", retryAfter)
		return
	}
	if !d.hasMemoryFor(s) {
		d.refuse(r, courier.ReasonOverload, "the jobs that are kept leave no memory for its payloads", d.admission.retryAfter(d, len(s.Tasks)))
		return
	}
	j := d.addJob(r)
	d.queue.add(j, j.waitingTasks)
}

// refuseExpired answers a submission whose deadline has passed. The records of what
// earlier copies started may have expired by then, here and at the agents.
func (d *Dispatcher) refuseExpired(r Request) {
	if !r.isFirstCopy() {
		d.replyOutcomeUnknown(r, detailRecordsExpired)
		return
	}
	d.refuse(r, courier.ReasonDeadline, "the deadline has passed", 0)
}

// bundleViolation describes the first field of s that the bundle in force does not
// allow, or returns "".
func (d *Dispatcher) bundleViolation(s courier.Submission) string {
	service, ok := d.bundle.Service(s.Service)
	if !ok {
		return fmt.Sprintf("Service: found %q, allowed a service of bundle version %d", s.Service, d.bundle.Version)
	}
	if n := len(s.Tasks); n > service.TaskLimit {
		return fmt.Sprintf("Tasks: found %d, allowed up to %d for service %q", n, service.TaskLimit, s.Service)
	}
	return ""
}

// addJob registers a new job and schedules its expiry at the deadline.
func (d *Dispatcher) addJob(r Request) *job {
	j := newJob(r, d.clock.Now())
	d.jobs[j.id] = j
	d.keptBytes += j.bytes
	d.admission.addTasks(j)
	d.addWaiter(j, r.Waiter)
	d.scheduleExpiry(j, j.submission.Deadline)
	return j
}

// resumeRecovered continues a job of an earlier owner from the records of the agents.
func (d *Dispatcher) resumeRecovered(r Request, recovered *recoveredJob) {
	if recovered.digest != r.Digest {
		d.replyConflict(r)
		return
	}
	n := len(r.Submission.Tasks)
	if len(recovered.records) < n && d.mayMissRecords(router.PartitionOf(r.Submission.JobID())) {
		if !d.deferUntilFenced(r) {
			d.replyOutcomeUnknown(r, detailSomeStarted)
		}
		return
	}
	delete(d.recoveredJobs, r.Submission.JobID())
	j := d.addJob(r)
	indexes := sortedIndexes(recovered.records)
	for _, i := range indexes {
		d.restoreTask(j, i, recovered.records[i])
	}
	for _, i := range indexes {
		d.recordRestoredOutcome(j, i, recovered.records[i])
	}
	if !j.done && j.waitingTasks > 0 {
		d.queue.add(j, j.waitingTasks)
	}
}

// restoreTask records that a task has started. It is called for all tasks before any
// outcome, since an outcome may end the job.
func (d *Dispatcher) restoreTask(j *job, i int, t recoveredTask) {
	if i < 0 || i >= len(j.tasks) {
		return
	}
	j.tasks[i] = task{state: taskSent, agent: t.agent, link: t.link, sentAt: d.clock.Now()}
	j.waitingTasks--
	if a := d.fleet.agents[t.agent.Agent]; a != nil && a.ref == t.agent {
		d.fleet.assign(a, courier.TaskID{Job: j.id, Index: i})
	}
}

// recordRestoredOutcome records the outcome of a restored task if it is known, and Lost
// if it can never become known.
func (d *Dispatcher) recordRestoredOutcome(j *job, i int, t recoveredTask) {
	if i < 0 || i >= len(j.tasks) || j.done {
		return
	}
	rec := courier.Record{Task: courier.TaskID{Job: j.id, Index: i}, Outcome: t.outcome, Result: t.result}
	a := d.fleet.agents[t.agent.Agent]
	if rec.Outcome == courier.Running {
		if a != nil && a.ref == t.agent {
			return
		}
		rec.Outcome = courier.Lost
	}
	if a != nil {
		d.fleet.unassign(a, rec.Task)
	}
	d.recordOutcome(j, i, rec)
}

// CallerLeft handles the disconnection of a caller.
func (d *Dispatcher) CallerLeft(w Waiter) {
	d.detectPause()
	j := d.waiters[w]
	if j == nil {
		d.dropDeferred(w)
		return
	}
	delete(d.waiters, w)
	delete(j.waiters, w)
	if len(j.waiters) == 0 && !j.submission.Detached && !j.done {
		j.orphanedAt = d.clock.Now()
		d.scheduleExpiry(j, j.orphanedAt.Add(OrphanGrace))
	}
}

// dropDeferred drops the deferred requests of a waiter.
func (d *Dispatcher) dropDeferred(w Waiter) {
	for i := range d.partitions {
		part := &d.partitions[i]
		part.deferred = slices.DeleteFunc(part.deferred, func(r Request) bool { return r.Waiter == w })
	}
}

// Cancel ends a job if it is unfinished, and returns its state.
func (d *Dispatcher) Cancel(id string) courier.Answer {
	d.detectPause()
	if j := d.jobs[id]; j != nil && !j.done {
		d.abortJob(j, courier.ReasonCancelled, "the job was cancelled")
		d.dispatch()
		if d.pendingForbids[id] == nil {
			return j.answer
		}
	}
	return d.State(id)
}

// State returns what is known about a job.
func (d *Dispatcher) State(id string) courier.Answer {
	a := courier.Answer{Job: id, State: courier.Unknown, BundleVersion: d.bundle.Version, Entry: d.cfg.Entry}
	p := router.PartitionOf(id)
	if d.partitions[p].state == partitionNotOwned {
		a.State = courier.Moved
		a.Owner = router.Owner(p, d.view)
		return a
	}
	if j := d.jobs[id]; j != nil {
		if j.done {
			return j.answer
		}
		a.State = courier.Pending
		return a
	}
	if d.pendingForbids[id] != nil {
		a.State = courier.Pending
		a.Detail = "the refusal is being written down"
	}
	if d.recoveredJobs[id] != nil {
		a.State = courier.Pending
		a.Detail = "started by an earlier owner; submit again for the answer"
	}
	return a
}

// scheduleExpiry makes expireJobs check j at the given time.
func (d *Dispatcher) scheduleExpiry(j *job, at time.Time) {
	heap.Push(&d.expiry, expiry{atNanos: at.UnixNano(), job: j})
}

// expireJobs aborts the jobs whose deadline has passed or whose callers have left, and
// deletes the answers that have expired.
func (d *Dispatcher) expireJobs(now time.Time) {
	for len(d.expiry) > 0 && d.expiry[0].atNanos <= now.UnixNano() {
		e := heap.Pop(&d.expiry).(expiry)
		d.expireJob(e.job, now)
	}
}

// expireJob ends, deletes or reschedules a job for which a time of the expiry queue has
// come. Entries of deleted or replaced jobs are ignored.
func (d *Dispatcher) expireJob(j *job, now time.Time) {
	switch {
	case d.jobs[j.id] != j:
	case j.done && !now.Before(j.submission.Deadline.Add(AnswerRetention)):
		d.forget(j)
	case j.done:
		d.scheduleExpiry(j, j.submission.Deadline.Add(AnswerRetention))
	case !now.Before(j.submission.Deadline):
		d.abortJob(j, courier.ReasonDeadline, "the deadline has passed")
	case !j.orphanedAt.IsZero() && !now.Before(j.orphanedAt.Add(OrphanGrace)):
		d.abortJob(j, courier.ReasonCancelled, "the caller has left")
	}
}

// refuse answers NotRun to a submission of which nothing has started. retryAfter is the
// delay after which the caller may retry.
func (d *Dispatcher) refuse(r Request, reason courier.Reason, detail string, retryAfter time.Duration) {
	answer := courier.Answer{
		Job:        r.Submission.JobID(),
		State:      courier.NotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retryAfter,
	}
	d.refuseDurably(r.Submission, r.isFirstCopy(), answer, []Waiter{r.Waiter})
}

// forbidAttempt records a forbidden attempt, so that no delayed copy of it runs.
func (d *Dispatcher) forbidAttempt(s courier.Submission, attempt int) {
	old := d.forbiddenAttempts[s.JobID()]
	d.forbiddenAttempts[s.JobID()] = forbiddenAttempt{
		attempt:   max(old.attempt, attempt),
		expiresAt: s.Deadline.Add(AnswerRetention),
	}
}

// replyConflict answers a submission whose key is in use by one with another body.
func (d *Dispatcher) replyConflict(r Request) {
	d.reply(r.Waiter, courier.Answer{
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
func (d *Dispatcher) replyOutcomeUnknown(r Request, detail string) {
	d.counts.Failed++
	a := courier.Answer{
		Job:    r.Submission.JobID(),
		State:  courier.Failed,
		Reason: courier.ReasonOutcomeUnknown,
		Detail: detail,
	}
	for i := range r.Submission.Tasks {
		a.MayHaveRun = append(a.MayHaveRun, i)
	}
	d.reply(r.Waiter, a)
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
