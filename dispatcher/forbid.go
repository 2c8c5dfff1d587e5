package dispatcher

import (
	"maps"
	"slices"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// pendingForbid is a NotRun answer that waits until an agent has recorded the forbidden
// attempt. Copies of the attempt may still be queued at an earlier owner that was
// paused. When that owner claims the partition again, the agent reports the forbidden
// attempt to it.
type pendingForbid struct {
	attempt    int
	submission courier.Submission
	answer     courier.Answer
	waiters    []Waiter
	// agent and link identify the agent, and the link to it, to which the Forbid
	// message was sent.
	agent courier.AgentRef
	link  uint64
}

// refuseDurably answers NotRun to the waiters of a submission of which nothing has
// started. With noOtherCopy, which means that no other copy can run, it answers at
// once; otherwise it does so after an agent has recorded the forbidden attempt.
func (d *Dispatcher) refuseDurably(s courier.Submission, noOtherCopy bool, answer courier.Answer, waiters []Waiter) {
	if noOtherCopy {
		d.forbidAttempt(s, s.Attempt)
		d.replyNotRun(answer, waiters)
		return
	}
	id := s.JobID()
	f := d.pendingForbids[id]
	if f == nil {
		f = &pendingForbid{}
		d.pendingForbids[id] = f
	}
	f.attempt = max(f.attempt, s.Attempt)
	f.submission = s
	f.submission.Tasks = slices.Clone(s.Tasks)
	f.answer = answer
	f.waiters = append(f.waiters, waiters...)
	d.sendForbid(id, f)
}

// replyNotRun gives a NotRun answer to the waiters.
func (d *Dispatcher) replyNotRun(answer courier.Answer, waiters []Waiter) {
	for _, w := range waiters {
		d.counts.NotRun++
		d.reply(w, answer)
	}
}

// sendForbid sends a pending forbidden attempt to the first agent, by name, that is
// connected and has answered its claims. Without such an agent, the waiters are
// answered that the outcome is unknown.
func (d *Dispatcher) sendForbid(id string, f *pendingForbid) {
	for _, a := range d.fleet.sorted() {
		if !a.linked || !a.claimsAnswered() {
			continue
		}
		f.agent = a.ref
		f.link = a.link
		d.send(a.ref.Agent, courier.Forbid{
			LinkNumber: a.link,
			Term:       d.partitions[router.PartitionOf(id)].term,
			Job:        id,
			Attempt:    f.attempt,
			Deadline:   f.submission.Deadline,
		})
		return
	}
	delete(d.pendingForbids, id)
	for _, w := range f.waiters {
		d.replyOutcomeUnknown(Request{Submission: f.submission, Waiter: w}, detailAgentUnreachable)
	}
}

// HandleForbidden handles an agent's confirmation that it has recorded a forbidden
// attempt.
func (d *Dispatcher) HandleForbidden(name string, link uint64, m courier.Forbidden) {
	d.detectPause()
	a := d.fleet.linkedAgent(name, link)
	f := d.pendingForbids[m.Job]
	if a == nil || f == nil || f.agent != a.ref || f.link != link || f.attempt != m.Attempt {
		return
	}
	delete(d.pendingForbids, m.Job)
	d.forbidAttempt(f.submission, f.attempt)
	d.replyNotRun(f.answer, f.waiters)
}

// resendForbids sends the forbidden attempts that wait for a, which is disconnected or
// removed, to another agent.
func (d *Dispatcher) resendForbids(a *agent) {
	for _, id := range slices.Sorted(maps.Keys(d.pendingForbids)) {
		if f := d.pendingForbids[id]; f.agent == a.ref {
			d.sendForbid(id, f)
		}
	}
}

// dropForbids drops the pending and the recorded forbidden attempts of a partition that
// is claimed, here or by another entry, and directs the waiters to its owner.
func (d *Dispatcher) dropForbids(p router.Partition) {
	for _, id := range slices.Sorted(maps.Keys(d.pendingForbids)) {
		if router.PartitionOf(id) != p {
			continue
		}
		f := d.pendingForbids[id]
		delete(d.pendingForbids, id)
		for _, w := range f.waiters {
			d.replyMoved(w, p, true)
		}
	}
	for id := range d.forbiddenAttempts {
		if router.PartitionOf(id) == p {
			delete(d.forbiddenAttempts, id)
		}
	}
}

// mergeForbidden takes over the forbidden attempts that an agent has recorded, and ends
// the unfinished jobs here that they concern.
func (d *Dispatcher) mergeForbidden(fenced map[router.Partition]bool, list []courier.Forbidden) {
	for _, m := range list {
		if !fenced[router.PartitionOf(m.Job)] {
			continue
		}
		expiresAt := d.clock.Now().Add(RecordRetention)
		if old := d.forbiddenAttempts[m.Job]; old.attempt < m.Attempt {
			d.forbiddenAttempts[m.Job] = forbiddenAttempt{attempt: m.Attempt, expiresAt: expiresAt}
		}
		if j := d.jobs[m.Job]; j != nil && !j.done && j.attempt <= m.Attempt {
			d.endForbiddenJob(j)
		}
	}
}

// endForbiddenJob ends a job that another owner has answered NotRun. That owner knew
// that nothing had started.
func (d *Dispatcher) endForbiddenJob(j *job) {
	const detail = "a later owner answered NotRun"
	if len(j.mayHaveRun()) > 0 {
		d.fail(j, courier.ReasonAttemptRefused, detail)
		return
	}
	d.endNotRun(j, courier.ReasonAttemptRefused, detail, true)
}
