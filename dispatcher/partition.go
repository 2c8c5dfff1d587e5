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
	// partitionClaiming means that agents are being fenced. Requests are deferred
	// meanwhile.
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
func (d *Dispatcher) SetView(view, peers []string) {
	d.detectPause()
	d.peers = slices.Clone(peers)
	if slices.Equal(d.view, view) {
		return
	}
	d.view = slices.Clone(view)
	var toClaim []router.Partition
	for p := range router.Partitions {
		part := &d.partitions[p]
		shouldBeOwned := d.shouldOwn(router.Partition(p))
		switch {
		case shouldBeOwned && part.state == partitionNotOwned:
			toClaim = append(toClaim, router.Partition(p))
		case !shouldBeOwned && part.state == partitionClaiming:
			d.relinquish(router.Partition(p))
		}
	}
	d.claim(toClaim)
}

// shouldOwn reports whether this entry is to own p according to the view.
func (d *Dispatcher) shouldOwn(p router.Partition) bool {
	return router.Owner(p, d.view) == d.cfg.Entry
}

// Terms returns the highest known term of each partition.
func (d *Dispatcher) Terms() []courier.Term { return slices.Clone(d.highestTerms[:]) }

// ServedPartitions returns the number of partitions that are served.
func (d *Dispatcher) ServedPartitions() int {
	n := 0
	for i := range d.partitions {
		if d.partitions[i].state == partitionServing {
			n++
		}
	}
	return n
}

// reclaimPartitions claims all partitions held here again, and relinquishes those that
// this entry is not to own.
func (d *Dispatcher) reclaimPartitions() {
	var toClaim []router.Partition
	for i := range d.partitions {
		p := router.Partition(i)
		if d.partitions[i].state == partitionNotOwned {
			continue
		}
		if d.shouldOwn(p) {
			toClaim = append(toClaim, p)
		} else {
			d.relinquish(p)
		}
	}
	d.claim(toClaim)
}

// claim fences partitions at every agent with a term above all known ones.
func (d *Dispatcher) claim(parts []router.Partition) {
	if len(parts) == 0 {
		return
	}
	d.counts.Claims++
	term := courier.Term{Holder: d.cfg.Entry}
	for _, p := range parts {
		term.Number = max(term.Number, d.highestTerms[p].Number)
	}
	term.Number++
	now := d.clock.Now()
	for _, p := range parts {
		part := &d.partitions[p]
		part.state = partitionClaiming
		part.term = term
		part.claimedAt = now
		part.claimRetryAt = time.Time{}
		part.unfenced = d.agentsWithRecords()
		d.highestTerms[p] = term
		d.dropForbids(p)
	}
	d.dequeueUnserved()
	for _, a := range d.fleet.sorted() {
		if a.linked {
			d.sendClaim(a, courier.Claim{Term: term, Partitions: parts})
		}
	}
	d.finishClaims(now)
}

func (d *Dispatcher) sendClaim(a *agent, c courier.Claim) {
	a.lastClaim++
	c.Number = a.lastClaim
	d.send(a.ref.Agent, c)
}

// dequeueUnserved removes the jobs of partitions that are not served from the queue.
func (d *Dispatcher) dequeueUnserved() {
	for _, j := range d.jobs {
		if d.partitions[j.partition].state != partitionServing {
			d.queue.removeJob(j)
		}
	}
}

// finishClaims begins to serve the partitions whose claim every known agent has
// answered while the roster is complete, or whose claim has reached ClaimTimeout.
func (d *Dispatcher) finishClaims(now time.Time) {
	for i := range d.partitions {
		part := &d.partitions[i]
		if part.state != partitionClaiming || !part.claimRetryAt.IsZero() {
			continue
		}
		timedOut := now.Sub(part.claimedAt) >= ClaimTimeout
		if timedOut || (!d.awaitsClaimReply(part) && !d.rosterCompleteAt.After(now)) {
			d.startServing(router.Partition(i))
		}
	}
}

func (d *Dispatcher) startServing(p router.Partition) {
	part := &d.partitions[p]
	part.state = partitionServing
	d.resumePartition(p)
}

// resumePartition continues the jobs and requests of a served partition that waited for
// the claim, for an agent or for the bundle.
func (d *Dispatcher) resumePartition(p router.Partition) {
	part := &d.partitions[p]
	part.blocked = false
	for _, j := range d.jobsOf(p) {
		if !j.done && !j.queued {
			d.resumeJob(j)
		}
	}
	deferred := part.deferred
	part.deferred = nil
	for _, r := range deferred {
		d.admit(r)
	}
}

// jobsOf returns the jobs of a partition, by job identity.
func (d *Dispatcher) jobsOf(p router.Partition) []*job {
	var out []*job
	for _, j := range d.jobs {
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
func (d *Dispatcher) retryBlocked() {
	for i := range d.partitions {
		if part := &d.partitions[i]; part.state == partitionServing && part.blocked {
			d.resumePartition(router.Partition(i))
		}
	}
}

// resumeJob queues a job that was known here before the partition was claimed. The job
// waits while an agent that may have started its tasks can still answer, and fails if
// such an agent cannot be reached.
func (d *Dispatcher) resumeJob(j *job) {
	if j.waitingTasks == 0 {
		return
	}
	if !d.mayMissRecords(j.partition) {
		d.queue.add(j, j.waitingTasks)
		return
	}
	if part := &d.partitions[j.partition]; d.awaitsClaimReply(part) {
		part.blocked = true
		return
	}
	d.fail(j, courier.ReasonOutcomeUnknown, "an agent that may have started tasks of this job cannot be asked")
}

// deferUntilFenced defers a request if the answer depends on an agent that may still
// answer a claim, and reports whether it did.
func (d *Dispatcher) deferUntilFenced(r Request) bool {
	if !d.awaitsClaimReply(&d.partitions[router.PartitionOf(r.Submission.JobID())]) {
		return false
	}
	d.deferRequest(r)
	return true
}

// deferRequest keeps a request of a served partition until the partition is resumed.
func (d *Dispatcher) deferRequest(r Request) {
	part := &d.partitions[router.PartitionOf(r.Submission.JobID())]
	part.blocked = true
	part.deferred = append(part.deferred, r)
}

// retryClaims claims again the partitions that a rival claimed with a higher term, when
// their delay is over.
func (d *Dispatcher) retryClaims(now time.Time) {
	var toClaim []router.Partition
	for i := range d.partitions {
		part := &d.partitions[i]
		if part.state == partitionClaiming && !part.claimRetryAt.IsZero() && !now.Before(part.claimRetryAt) {
			toClaim = append(toClaim, router.Partition(i))
		}
	}
	d.claim(toClaim)
}

// relinquish gives p up to the entry that has claimed it or is to own it. The waiting
// requests are directed there.
func (d *Dispatcher) relinquish(p router.Partition) {
	part := &d.partitions[p]
	part.state = partitionNotOwned
	d.dropForbids(p)
	for _, j := range d.jobsOf(p) {
		d.dropJob(j)
	}
	for id := range d.recoveredJobs {
		if router.PartitionOf(id) == p {
			delete(d.recoveredJobs, id)
		}
	}
	deferred := part.deferred
	part.deferred = nil
	for _, r := range deferred {
		d.replyMoved(r.Waiter, p, false)
	}
}

// dropJob stops tracking a job whose partition another entry owns now.
func (d *Dispatcher) dropJob(j *job) {
	d.queue.removeJob(j)
	d.forget(j)
	j.done = true
	for _, w := range sortedWaiters(j) {
		delete(d.waiters, w)
		d.replyMoved(w, j.partition, true)
	}
	for ref, ids := range j.sentTasksByAgent() {
		if a := d.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			for _, t := range ids {
				d.fleet.unassign(a, t)
			}
		}
	}
}

// replyMoved directs a caller to the owner of p. admitted is whether the job was
// admitted here.
func (d *Dispatcher) replyMoved(w Waiter, p router.Partition, admitted bool) {
	d.reply(w, courier.Answer{State: courier.Moved, Owner: router.Owner(p, d.view), Admitted: admitted})
}

// relinquishTo gives p up to a higher term, and schedules another claim if this entry
// should own it and is not stopping.
func (d *Dispatcher) relinquishTo(p router.Partition, t courier.Term) {
	if d.highestTerms[p].Less(t) {
		d.highestTerms[p] = t
	}
	part := &d.partitions[p]
	if part.state == partitionNotOwned || !part.term.Less(t) {
		return
	}
	d.relinquish(p)
	if !d.shouldOwn(p) || d.stopping {
		return
	}
	part.state = partitionClaiming
	jitter := time.Duration(d.rng.Int64N(int64(ClaimRetryDelay)))
	part.claimRetryAt = d.clock.Now().Add(ClaimRetryDelay + jitter)
}

// HandleSuperseded handles an agent's message that another entry has claimed
// partitions.
func (d *Dispatcher) HandleSuperseded(s courier.Superseded) {
	d.detectPause()
	for _, p := range s.Partitions {
		if p >= 0 && p < router.Partitions {
			d.relinquishTo(p, s.Term)
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
