package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// partitionState is the state of a partition at one entry.
type partitionState int

const (
	// foreign means that another entry owns the partition.
	foreign partitionState = iota
	// claiming means that agents are being fenced; requests are parked.
	claiming
	// serving means that this entry owns the partition.
	serving
)

// partition is an owner's state for one range of job identities.
type partition struct {
	state partitionState
	// term is the term of the last claim here; it never falls.
	term courier.Term
	// missing holds the agent incarnations that may hold records of the
	// partition and have not been fenced at term. While it is not empty,
	// nothing may be concluded from the absence of a record.
	missing map[courier.AgentRef]struct{}
	// parked holds requests that wait for the claim, or for an agent that may
	// still answer it.
	parked []Request
	// held means that requests or jobs of a served partition wait for such
	// an agent.
	held      bool
	claimedAt time.Time
	// retryAt is when to claim again after a rival's higher term, or zero.
	retryAt time.Time
}

// SetView takes over which entries own partitions, and which other entries
// are alive or may be. Partitions that fall to this entry are claimed. Partitions that
// fall to others are served on until the others claim them.
func (o *Owner) SetView(view, peers []string) {
	o.wake()
	o.peers = slices.Clone(peers)
	if slices.Equal(o.view, view) {
		return
	}
	o.view = slices.Clone(view)
	var take []router.Partition
	for p := range router.Partitions {
		part := &o.partitions[p]
		wanted := o.wants(router.Partition(p))
		switch {
		case wanted && part.state == foreign:
			take = append(take, router.Partition(p))
		case !wanted && part.state == claiming:
			o.lose(router.Partition(p))
		}
	}
	o.claim(take)
}

func (o *Owner) wants(p router.Partition) bool {
	return router.Owner(p, o.view) == o.cfg.Entry
}

// Terms returns the highest known term of each partition.
func (o *Owner) Terms() []courier.Term { return slices.Clone(o.highest[:]) }

// Serves reports how many partitions are served.
func (o *Owner) Serves() int {
	n := 0
	for i := range o.partitions {
		if o.partitions[i].state == serving {
			n++
		}
	}
	return n
}

// reclaimAll claims every partition held here anew.
func (o *Owner) reclaimAll() {
	var again []router.Partition
	for i := range o.partitions {
		p := router.Partition(i)
		if o.partitions[i].state == foreign {
			continue
		}
		if o.wants(p) {
			again = append(again, p)
		} else {
			o.lose(p)
		}
	}
	o.claim(again)
}

// claim fences partitions at every agent with a term above all known ones.
func (o *Owner) claim(parts []router.Partition) {
	if len(parts) == 0 {
		return
	}
	o.counts.Claims++
	term := courier.Term{Holder: o.cfg.Entry}
	for _, p := range parts {
		term.Number = max(term.Number, o.highest[p].Number)
	}
	term.Number++
	now := o.clock.Now()
	for _, p := range parts {
		part := &o.partitions[p]
		part.state = claiming
		part.term = term
		part.claimedAt = now
		part.retryAt = time.Time{}
		part.missing = o.everyAgent()
		o.highest[p] = term
		o.dropRefusals(p)
	}
	o.pauseJobs()
	for _, a := range o.fleet.sorted() {
		if a.linked {
			o.sendClaim(a, courier.Claim{Term: term, Partitions: parts})
		}
	}
	o.finishClaims(now)
}

func (o *Owner) sendClaim(a *agent, c courier.Claim) {
	a.lastClaim++
	c.Number = a.lastClaim
	o.send(a.ref.Agent, c)
}

// pauseJobs takes the jobs of partitions that are not served off the queue.
func (o *Owner) pauseJobs() {
	for _, j := range o.jobs {
		if o.partitions[j.partition].state != serving {
			o.queue.remove(j)
		}
	}
}

// finishClaims serves the partitions whose agents have all answered, or whose
// wait is over.
func (o *Owner) finishClaims(now time.Time) {
	for i := range o.partitions {
		part := &o.partitions[i]
		if part.state != claiming || !part.retryAt.IsZero() {
			continue
		}
		waited := now.Sub(part.claimedAt) >= ClaimTimeout
		if waited || (!o.awaits(part) && !o.rosterCertainAt.After(now)) {
			o.serve(router.Partition(i))
		}
	}
}

func (o *Owner) serve(p router.Partition) {
	part := &o.partitions[p]
	part.state = serving
	o.release(p)
}

// release lets the jobs and requests of a served partition go on that waited
// for the claim or for an agent.
func (o *Owner) release(p router.Partition) {
	part := &o.partitions[p]
	part.held = false
	for _, j := range o.jobsOf(p) {
		if !j.done && !j.queued {
			o.resume(j)
		}
	}
	parked := part.parked
	part.parked = nil
	for _, r := range parked {
		o.admit(r)
	}
}

// jobsOf returns the jobs of a partition in the order of their identities.
func (o *Owner) jobsOf(p router.Partition) []*job {
	var out []*job
	for _, j := range o.jobs {
		if j.partition == p {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

// clearDeferred looks again at what waits for agents, after one has answered or
// has been given up.
func (o *Owner) releaseHeld() {
	for i := range o.partitions {
		if part := &o.partitions[i]; part.state == serving && part.held {
			o.release(router.Partition(i))
		}
	}
}

// resume queues a job that was known here before the partition was claimed.
func (o *Owner) resume(j *job) {
	if j.waitingTasks == 0 {
		return
	}
	if !o.gap(j.partition) {
		o.queue.add(j, j.waitingTasks)
		return
	}
	if part := &o.partitions[j.partition]; o.awaits(part) {
		part.held = true
		return
	}
	o.fail(j, courier.ReasonOutcomeUnknown, "an agent that may have started tasks of this job cannot be asked")
}

// hold parks a request whose answer depends on an agent that may still answer
// a claim. It reports whether it did.
func (o *Owner) hold(r Request) bool {
	if !o.awaits(&o.partitions[router.PartitionOf(r.Submission.Job())]) {
		return false
	}
	o.park(r)
	return true
}

// park keeps a request of a served partition until the partition is released.
func (o *Owner) park(r Request) {
	part := &o.partitions[router.PartitionOf(r.Submission.Job())]
	part.held = true
	part.parked = append(part.parked, r)
}

// retryClaims claims again where a rival's term was higher.
func (o *Owner) retryClaims(now time.Time) {
	var again []router.Partition
	for i := range o.partitions {
		part := &o.partitions[i]
		if part.state == claiming && !part.retryAt.IsZero() && !now.Before(part.retryAt) {
			again = append(again, router.Partition(i))
		}
	}
	o.claim(again)
}

// lose gives p up to whoever has claimed it. Its callers are sent on.
func (o *Owner) lose(p router.Partition) {
	part := &o.partitions[p]
	part.state = foreign
	o.dropRefusals(p)
	for _, j := range o.jobsOf(p) {
		o.forget(j)
	}
	for id := range o.inherited {
		if router.PartitionOf(id) == p {
			delete(o.inherited, id)
		}
	}
	parked := part.parked
	part.parked = nil
	for _, r := range parked {
		o.replyMoved(r.Waiter, p, false)
	}
}

// forget drops a job whose partition has gone to another owner.
func (o *Owner) forget(j *job) {
	o.queue.remove(j)
	delete(o.jobs, j.id)
	j.done = true
	for _, w := range sortedWaiters(j) {
		delete(o.waiters, w)
		o.replyMoved(w, j.partition, true)
	}
	for ref, ids := range j.sentTasks() {
		if a := o.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			for _, t := range ids {
				o.fleet.unassign(a, t)
			}
		}
	}
}

// replyMoved sends a caller on. Admitted tells that the job was taken on here.
func (o *Owner) replyMoved(w Waiter, p router.Partition, admitted bool) {
	o.reply(w, courier.Answer{State: courier.Moved, Owner: router.Owner(p, o.view), Admitted: admitted})
}

// loseTo gives p up to a higher term, and claims it again a little later when
// this entry should own it.
func (o *Owner) loseTo(p router.Partition, t courier.Term) {
	if o.highest[p].Less(t) {
		o.highest[p] = t
	}
	part := &o.partitions[p]
	if part.state == foreign || !part.term.Less(t) {
		return
	}
	o.lose(p)
	if !o.wants(p) || o.stopping {
		return
	}
	part.state = claiming
	jitter := time.Duration(o.rng.Int64N(int64(ReclaimDelay)))
	part.retryAt = o.clock.Now().Add(ReclaimDelay + jitter)
}

// Superseded takes an agent's word that another entry has claimed partitions.
func (o *Owner) Superseded(s courier.Superseded) {
	o.wake()
	for _, p := range s.Partitions {
		if p >= 0 && p < router.Partitions {
			o.loseTo(p, s.Term)
		}
	}
}

// addToClaim adds partition p to the claim of term t in claims.
func addToClaim(claims []courier.Claim, t courier.Term, p int) []courier.Claim {
	for i := range claims {
		if claims[i].Term == t {
			claims[i].Partitions = append(claims[i].Partitions, router.Partition(p))
			return claims
		}
	}
	return append(claims, courier.Claim{Term: t, Partitions: []router.Partition{router.Partition(p)}})
}
