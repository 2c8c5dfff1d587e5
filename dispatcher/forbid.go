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
// started. If it is certain that no other copy can run, it answers at once, and
// otherwise after an agent has recorded the forbidden attempt.
func (o *Dispatcher) refuseDurably(s courier.Submission, certain bool, answer courier.Answer, waiters []Waiter) {
	if certain {
		o.forbidAttempt(s, s.Attempt)
		o.replyNotRun(answer, waiters)
		return
	}
	id := s.JobID()
	f := o.pendingForbids[id]
	if f == nil {
		f = &pendingForbid{}
		o.pendingForbids[id] = f
	}
	f.attempt = max(f.attempt, s.Attempt)
	f.submission = s
	f.submission.Tasks = slices.Clone(s.Tasks)
	f.answer = answer
	f.waiters = append(f.waiters, waiters...)
	o.sendForbid(id, f)
}

// replyNotRun gives a NotRun answer to the waiters.
func (o *Dispatcher) replyNotRun(answer courier.Answer, waiters []Waiter) {
	for _, w := range waiters {
		o.counts.NotRun++
		o.reply(w, answer)
	}
}

// sendForbid sends a pending forbidden attempt to the first agent, by name, that is
// connected and has answered its claims. Without such an agent, the waiters are
// answered that the outcome is unknown.
func (o *Dispatcher) sendForbid(id string, f *pendingForbid) {
	for _, a := range o.fleet.sorted() {
		if !a.linked || !a.claimsAnswered() {
			continue
		}
		f.agent = a.ref
		f.link = a.link
		o.send(a.ref.Agent, courier.Forbid{
			LinkNumber: a.link,
			Term:       o.partitions[router.PartitionOf(id)].term,
			Job:        id,
			Attempt:    f.attempt,
			Deadline:   f.submission.Deadline,
		})
		return
	}
	delete(o.pendingForbids, id)
	for _, w := range f.waiters {
		o.replyOutcomeUnknown(Request{Submission: f.submission, Waiter: w}, detailAgentUnreachable)
	}
}

// HandleForbidden handles an agent's confirmation that it has recorded a forbidden
// attempt.
func (o *Dispatcher) HandleForbidden(name string, link uint64, m courier.Forbidden) {
	o.detectPause()
	a := o.fleet.linkedAgent(name, link)
	f := o.pendingForbids[m.Job]
	if a == nil || f == nil || f.agent != a.ref || f.link != link || f.attempt != m.Attempt {
		return
	}
	delete(o.pendingForbids, m.Job)
	o.forbidAttempt(f.submission, f.attempt)
	o.replyNotRun(f.answer, f.waiters)
}

// resendForbids sends the forbidden attempts that wait for a, which is disconnected or
// removed, to another agent.
func (o *Dispatcher) resendForbids(a *agent) {
	for _, id := range slices.Sorted(maps.Keys(o.pendingForbids)) {
		if f := o.pendingForbids[id]; f.agent == a.ref {
			o.sendForbid(id, f)
		}
	}
}

// dropForbids drops the pending and the recorded forbidden attempts of a partition that
// is claimed, here or by another entry, and directs the waiters to its owner.
func (o *Dispatcher) dropForbids(p router.Partition) {
	for _, id := range slices.Sorted(maps.Keys(o.pendingForbids)) {
		if router.PartitionOf(id) != p {
			continue
		}
		f := o.pendingForbids[id]
		delete(o.pendingForbids, id)
		for _, w := range f.waiters {
			o.replyMoved(w, p, true)
		}
	}
	for id := range o.forbiddenAttempts {
		if router.PartitionOf(id) == p {
			delete(o.forbiddenAttempts, id)
		}
	}
}

// mergeForbidden takes over the forbidden attempts that an agent has recorded, and ends
// the unfinished jobs here that they concern.
func (o *Dispatcher) mergeForbidden(fenced map[router.Partition]bool, list []courier.Forbidden) {
	for _, m := range list {
		if !fenced[router.PartitionOf(m.Job)] {
			continue
		}
		until := o.clock.Now().Add(RecordRetention)
		if old := o.forbiddenAttempts[m.Job]; old.attempt < m.Attempt {
			o.forbiddenAttempts[m.Job] = forbiddenAttempt{attempt: m.Attempt, expiresAt: until}
		}
		if j := o.jobs[m.Job]; j != nil && !j.done && j.attempt <= m.Attempt {
			o.endForbiddenJob(j)
		}
	}
}

// endForbiddenJob ends a job that another owner has answered NotRun. That owner knew
// that nothing had started.
func (o *Dispatcher) endForbiddenJob(j *job) {
	const detail = "a later owner answered NotRun"
	if len(j.mayHaveRun()) > 0 {
		o.fail(j, courier.ReasonAttemptRefused, detail)
		return
	}
	o.endNotRun(j, courier.ReasonAttemptRefused, detail, true)
}
