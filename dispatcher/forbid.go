package dispatcher

import (
	"maps"
	"slices"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// refusal is a NotRun answer that waits until an agent remembers it. Copies of
// the attempts may linger at an earlier owner that was paused; when that one
// claims the partition again, the agent tells it.
type refusal struct {
	attempt int
	sub     courier.Submission
	answer  courier.Answer
	waiters []Waiter
	// agent and link tell who was asked to remember.
	agent courier.AgentRef
	link  uint64
}

// refuseFinally answers NotRun to the waiters of a submission of which nothing
// has started. When it is certain that no other copy can run, it does so at once.
func (o *Owner) refuseFinally(s courier.Submission, certain bool, answer courier.Answer, waiters []Waiter) {
	if certain {
		o.noteRefusal(s, s.Attempt)
		o.replyRefusal(answer, waiters)
		return
	}
	id := s.Job()
	f := o.refusals[id]
	if f == nil {
		f = &refusal{}
		o.refusals[id] = f
	}
	f.attempt = max(f.attempt, s.Attempt)
	f.sub = s
	f.sub.Tasks = slices.Clone(s.Tasks)
	f.answer = answer
	f.waiters = append(f.waiters, waiters...)
	o.askToForbid(id, f)
}

func (o *Owner) replyRefusal(answer courier.Answer, waiters []Waiter) {
	for _, w := range waiters {
		o.counts.NotRun++
		o.reply(w, answer)
	}
}

// askToForbid asks any agent in reach. Without one the outcome is unknown.
func (o *Owner) askToForbid(id string, f *refusal) {
	for _, a := range o.fleet.sorted() {
		if !a.linked || !a.claimed() {
			continue
		}
		f.agent = a.ref
		f.link = a.link
		o.send(a.ref.Agent, courier.Forbid{
			LinkNumber: a.link,
			Term:       o.partitions[router.PartitionOf(id)].term,
			Job:        id,
			Attempt:    f.attempt,
			Deadline:   f.sub.Deadline,
		})
		return
	}
	delete(o.refusals, id)
	for _, w := range f.waiters {
		o.replyUnknown(Request{Submission: f.sub, Waiter: w}, detailNotAsked)
	}
}

// Forbidden takes an agent's word that it remembers a refusal.
func (o *Owner) Forbidden(name string, link uint64, m courier.Forbidden) {
	o.wake()
	a := o.fleet.linked(name, link)
	f := o.refusals[m.Job]
	if a == nil || f == nil || f.agent != a.ref || f.link != link || f.attempt != m.Attempt {
		return
	}
	delete(o.refusals, m.Job)
	o.noteRefusal(f.sub, f.attempt)
	o.replyRefusal(f.answer, f.waiters)
}

// retryRefusals asks another agent where the one asked is out of reach.
func (o *Owner) retryRefusals(a *agent) {
	for _, id := range slices.Sorted(maps.Keys(o.refusals)) {
		if f := o.refusals[id]; f.agent == a.ref {
			o.askToForbid(id, f)
		}
	}
}

// dropRefusals sends the waiters of the refusals in a partition on, when the
// partition is claimed, here or elsewhere.
func (o *Owner) dropRefusals(p router.Partition) {
	for _, id := range slices.Sorted(maps.Keys(o.refusals)) {
		if router.PartitionOf(id) != p {
			continue
		}
		f := o.refusals[id]
		delete(o.refusals, id)
		for _, w := range f.waiters {
			o.replyMoved(w, p, true)
		}
	}
	for id := range o.refused {
		if router.PartitionOf(id) == p {
			delete(o.refused, id)
		}
	}
}

// mergeForbidden takes over the refusals that an agent remembers. Jobs here
// that wait because of refused attempts end.
func (o *Owner) mergeForbidden(fenced map[router.Partition]bool, list []courier.Forbidden) {
	for _, m := range list {
		if !fenced[router.PartitionOf(m.Job)] {
			continue
		}
		until := o.clock.Now().Add(RecordHorizon)
		if old := o.refused[m.Job]; old.attempt < m.Attempt {
			o.refused[m.Job] = refusedAttempt{attempt: m.Attempt, until: until}
		}
		if j := o.jobs[m.Job]; j != nil && !j.done && j.attempt <= m.Attempt {
			o.endForbidden(j)
		}
	}
}

// endForbidden ends a job here that another owner has answered NotRun. That
// owner knew that nothing had started.
func (o *Owner) endForbidden(j *job) {
	const detail = "a later owner answered NotRun"
	if len(j.mayHaveRun()) > 0 {
		o.fail(j, courier.ReasonRefusedBefore, detail)
		return
	}
	o.endNotRun(j, courier.ReasonRefusedBefore, detail, true)
}
