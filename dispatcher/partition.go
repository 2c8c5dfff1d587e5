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
	// partitionNotOwned means that another entry owns the partition.
	partitionNotOwned partitionState = iota
	// partitionClaiming means that agents are being fenced. Requests are deferred until
	// then.
	partitionClaiming
	// partitionServing means that this entry owns the partition.
	partitionServing
)

// partition is the state at one entry of one partition of the job identities.
type partition struct {
	state partitionState
	// term is the term of the last claim made here. It never decreases.
	term courier.Term
	// unfenced holds the agent incarnations that may have records of the partition and
	// have not been fenced at term. While it is not empty, a missing record does not
	// prove that a task has not started.
	unfenced map[courier.AgentRef]struct{}
	// deferred holds the requests that wait for the claim, for an agent that may still
	// answer it, or for the bundle to be confirmed.
	deferred []Request
	// blocked means that requests or jobs of a served partition wait for such an agent
	// or for the bundle.
	blocked   bool
	claimedAt time.Time
	// claimRetryAt is when to claim again after a rival claimed with a higher term, or
	// zero.
	claimRetryAt time.Time
}

// SetView sets which entries own partitions, and which other entries are alive or may
// be. Partitions that this entry is to own are claimed. Partitions that others are to
// own are served until the others claim them.
func (o *Dispatcher) SetView(view, peers []string) {
	o.detectPause()
	o.peers = slices.Clone(peers)
	if slices.Equal(o.view, view) {
		return
	}
	o.view = slices.Clone(view)
	var take []router.Partition
	for p := range router.Partitions {
		part := &o.partitions[p]
		wanted := o.shouldOwn(router.Partition(p))
		switch {
		case wanted && part.state == partitionNotOwned:
			take = append(take, router.Partition(p))
		case !wanted && part.state == partitionClaiming:
			o.relinquish(router.Partition(p))
		}
	}
	o.claim(take)
}

// shouldOwn reports whether this entry is to own p according to the view.
func (o *Dispatcher) shouldOwn(p router.Partition) bool {
	return router.Owner(p, o.view) == o.cfg.Entry
}

// Terms returns the highest known term of each partition.
func (o *Dispatcher) Terms() []courier.Term { return slices.Clone(o.highestTerms[:]) }

// ServedPartitions returns the number of partitions that are served.
func (o *Dispatcher) ServedPartitions() int {
	n := 0
	for i := range o.partitions {
		if o.partitions[i].state == partitionServing {
			n++
		}
	}
	return n
}

// reclaimPartitions claims all partitions held here again, and relinquishes those that
// this entry is not to own.
func (o *Dispatcher) reclaimPartitions() {
	var again []router.Partition
	for i := range o.partitions {
		p := router.Partition(i)
		if o.partitions[i].state == partitionNotOwned {
			continue
		}
		if o.shouldOwn(p) {
			again = append(again, p)
		} else {
			o.relinquish(p)
		}
	}
	o.claim(again)
}

// claim fences partitions at every agent with a term above all known ones.
func (o *Dispatcher) claim(parts []router.Partition) {
	if len(parts) == 0 {
		return
	}
	o.counts.Claims++
	term := courier.Term{Holder: o.cfg.Entry}
	for _, p := range parts {
		term.Number = max(term.Number, o.highestTerms[p].Number)
	}
	term.Number++
	now := o.clock.Now()
	for _, p := range parts {
		part := &o.partitions[p]
		part.state = partitionClaiming
		part.term = term
		part.claimedAt = now
		part.claimRetryAt = time.Time{}
		part.unfenced = o.agentsWithRecords()
		o.highestTerms[p] = term
		o.dropForbids(p)
	}
	o.dequeueUnserved()
	for _, a := range o.fleet.sorted() {
		if a.linked {
			o.sendClaim(a, courier.Claim{Term: term, Partitions: parts})
		}
	}
	o.finishClaims(now)
}

func (o *Dispatcher) sendClaim(a *agent, c courier.Claim) {
	a.lastClaim++
	c.Number = a.lastClaim
	o.send(a.ref.Agent, c)
}

// dequeueUnserved removes the jobs of partitions that are not served from the queue.
func (o *Dispatcher) dequeueUnserved() {
	for _, j := range o.jobs {
		if o.partitions[j.partition].state != partitionServing {
			o.queue.removeJob(j)
		}
	}
}

// finishClaims begins to serve the partitions whose claim every known agent has
// answered while the roster is complete, or whose claim has reached ClaimTimeout.
func (o *Dispatcher) finishClaims(now time.Time) {
	for i := range o.partitions {
		part := &o.partitions[i]
		if part.state != partitionClaiming || !part.claimRetryAt.IsZero() {
			continue
		}
		waited := now.Sub(part.claimedAt) >= ClaimTimeout
		if waited || (!o.awaitsClaimReply(part) && !o.rosterCompleteAt.After(now)) {
			o.startServing(router.Partition(i))
		}
	}
}

func (o *Dispatcher) startServing(p router.Partition) {
	part := &o.partitions[p]
	part.state = partitionServing
	o.resumePartition(p)
}

// resumePartition continues the jobs and requests of a served partition that waited for
// the claim, for an agent or for the bundle.
func (o *Dispatcher) resumePartition(p router.Partition) {
	part := &o.partitions[p]
	part.blocked = false
	for _, j := range o.jobsOf(p) {
		if !j.done && !j.queued {
			o.resumeJob(j)
		}
	}
	parked := part.deferred
	part.deferred = nil
	for _, r := range parked {
		o.admit(r)
	}
}

// jobsOf returns the jobs of a partition, by job identity.
func (o *Dispatcher) jobsOf(p router.Partition) []*job {
	var out []*job
	for _, j := range o.jobs {
		if j.partition == p {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

// retryBlocked decides again on what waits in the blocked partitions. It is called when
// an agent has answered or has been removed, when the roster has become complete, and
// when the bundle has been confirmed or the wait for it is over.
func (o *Dispatcher) retryBlocked() {
	for i := range o.partitions {
		if part := &o.partitions[i]; part.state == partitionServing && part.blocked {
			o.resumePartition(router.Partition(i))
		}
	}
}

// resumeJob queues a job that was known here before the partition was claimed. The job
// waits while an agent that may have started its tasks can still answer, and fails if
// such an agent cannot be reached.
func (o *Dispatcher) resumeJob(j *job) {
	if j.waitingTasks == 0 {
		return
	}
	if !o.mayMissRecords(j.partition) {
		o.queue.add(j, j.waitingTasks)
		return
	}
	if part := &o.partitions[j.partition]; o.awaitsClaimReply(part) {
		part.blocked = true
		return
	}
	o.fail(j, courier.ReasonOutcomeUnknown, "an agent that may have started tasks of this job cannot be asked")
}

// deferUntilFenced defers a request if the answer depends on an agent that may still
// answer a claim, and reports whether it did.
func (o *Dispatcher) deferUntilFenced(r Request) bool {
	if !o.awaitsClaimReply(&o.partitions[router.PartitionOf(r.Submission.JobID())]) {
		return false
	}
	o.deferRequest(r)
	return true
}

// deferRequest keeps a request of a served partition until the partition is resumed.
func (o *Dispatcher) deferRequest(r Request) {
	part := &o.partitions[router.PartitionOf(r.Submission.JobID())]
	part.blocked = true
	part.deferred = append(part.deferred, r)
}

// retryClaims claims again the partitions that a rival claimed with a higher term, when
// their delay is over.
func (o *Dispatcher) retryClaims(now time.Time) {
	var again []router.Partition
	for i := range o.partitions {
		part := &o.partitions[i]
		if part.state == partitionClaiming && !part.claimRetryAt.IsZero() && !now.Before(part.claimRetryAt) {
			again = append(again, router.Partition(i))
		}
	}
	o.claim(again)
}

// relinquish gives p up to the entry that has claimed it or is to own it. Its callers
// are told to submit there.
func (o *Dispatcher) relinquish(p router.Partition) {
	part := &o.partitions[p]
	part.state = partitionNotOwned
	o.dropForbids(p)
	for _, j := range o.jobsOf(p) {
		o.dropJob(j)
	}
	for id := range o.recoveredJobs {
		if router.PartitionOf(id) == p {
			delete(o.recoveredJobs, id)
		}
	}
	parked := part.deferred
	part.deferred = nil
	for _, r := range parked {
		o.replyMoved(r.Waiter, p, false)
	}
}

// dropJob stops tracking a job whose partition another entry owns now.
func (o *Dispatcher) dropJob(j *job) {
	o.queue.removeJob(j)
	delete(o.jobs, j.id)
	j.done = true
	for _, w := range sortedWaiters(j) {
		delete(o.waiters, w)
		o.replyMoved(w, j.partition, true)
	}
	for ref, ids := range j.sentTasksByAgent() {
		if a := o.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			for _, t := range ids {
				o.fleet.unassign(a, t)
			}
		}
	}
}

// replyMoved directs a caller to the owner of p. admitted tells whether the job was
// admitted here.
func (o *Dispatcher) replyMoved(w Waiter, p router.Partition, admitted bool) {
	o.reply(w, courier.Answer{State: courier.Moved, Owner: router.Owner(p, o.view), Admitted: admitted})
}

// relinquishTo gives p up to a higher term, and schedules another claim if this entry
// should own it and is not stopping.
func (o *Dispatcher) relinquishTo(p router.Partition, t courier.Term) {
	if o.highestTerms[p].Less(t) {
		o.highestTerms[p] = t
	}
	part := &o.partitions[p]
	if part.state == partitionNotOwned || !part.term.Less(t) {
		return
	}
	o.relinquish(p)
	if !o.shouldOwn(p) || o.stopping {
		return
	}
	part.state = partitionClaiming
	jitter := time.Duration(o.rng.Int64N(int64(ClaimRetryDelay)))
	part.claimRetryAt = o.clock.Now().Add(ClaimRetryDelay + jitter)
}

// HandleSuperseded handles an agent's message that another entry has claimed
// partitions.
func (o *Dispatcher) HandleSuperseded(s courier.Superseded) {
	o.detectPause()
	for _, p := range s.Partitions {
		if p >= 0 && p < router.Partitions {
			o.relinquishTo(p, s.Term)
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
