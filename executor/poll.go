package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// pollState is the state of the polls of the worker. Polls follow one another, and only
// the answer to the last one counts. Each renews the lease and returns the ends of
// runs.
type pollState struct {
	number uint64
	// open is whether the last poll has not been answered.
	open   bool
	sentAt time.Time
	token  uint64
	// immediate is whether the open poll asks for an answer at once.
	immediate bool
	// dueNow requests a poll now, even if one is open.
	dueNow bool
	// notBefore is the earliest time of the next poll.
	notBefore time.Time
	// answered is whether the worker has answered a poll, and answeredAt when it last
	// did.
	answered   bool
	answeredAt time.Time
	// lastEnd is the number of the last end that was processed.
	lastEnd int64
	// unanswered counts the calls without an answer since the last answer.
	unanswered int
	// noListener is whether the last poll found no process at the worker's address.
	noListener bool
}

func (s *pollState) reset() {
	*s = pollState{number: s.number}
}

// fences reports whether the open poll will soon show what became of a start that
// carried token, and keeps that start from taking effect later.
func (s *pollState) fences(token uint64) bool { return s.open && s.immediate && s.token > token }

// retryDelay returns how long to wait after a failed poll.
func (s *pollState) retryDelay() time.Duration {
	const doublings = 4
	return min(minPollRetryDelay<<min(max(s.unanswered-1, 0), doublings), maxPollRetryDelay)
}

// latestLeaseExpiry returns the time at which a lease that was asked for at requestedAt
// has expired for certain.
func latestLeaseExpiry(requestedAt time.Time) time.Time {
	maxDuration := time.Duration(float64(LeaseDuration) * (1 + leaseClockDrift))
	return requestedAt.Add(maxDuration + leaseTransitMargin)
}

// sendDuePoll sends the next poll if it is due.
func (x *Executor) sendDuePoll() {
	state := &x.poll
	now := x.clock.Now()
	if x.departed && !x.hasRunsAtWorker() {
		x.dropUpstream()
	}
	if x.upstream.Born == 0 || (state.open && !state.dueNow) || (now.Before(state.notBefore) && !state.dueNow) {
		return
	}
	wait := idlePollWait
	if len(x.runs) > 0 {
		wait = busyPollWait
	}
	if state.unanswered > 0 || !state.answered || x.hasUnconfirmed() {
		// It is not known yet which runs the worker has, and nothing is placed here
		// before it is.
		wait = 0
	}
	state.number++
	state.open = true
	state.sentAt = now
	state.token = x.token
	state.dueNow = false
	state.immediate = wait == 0
	next := Poll{Number: state.number, Token: x.token, AckedEnd: state.lastEnd, MaxWait: wait, Upstream: x.upstream}
	// Neither a worker that does not answer nor a run that does not end when it is
	// stopped may get its lease renewed for ever.
	if !x.workerUnresponsive() && !x.leaseWithheld(now) {
		next.LeaseUntil = x.renewLease(now)
	}
	x.emit(next)
}

// renewLease records that a call that is sent now may extend the leases of all runs,
// and returns their new expiry.
func (x *Executor) renewLease(now time.Time) time.Time {
	x.leaseRenewedAt = now
	for _, r := range x.runs {
		if r.phase == detached && r.worker.ID == x.upstream.ID {
			r.lapsedBy = latestLeaseExpiry(now)
		}
	}
	return now.Add(LeaseDuration)
}

// leaseWithheld reports whether leases must not be renewed. That is so while a run goes
// on past its stop deadline, or while no entry has claimed an orphan that an earlier
// incarnation of the agent started: its entry may have given it up, and relies on the
// expiry of its lease.
func (x *Executor) leaseWithheld(now time.Time) bool {
	for _, r := range x.runs {
		unclaimed := r.owner == "" && !r.cancelled
		if r.holdsCapacity() && (unclaimed || (!r.stopDeadline.IsZero() && now.After(r.stopDeadline))) {
			return true
		}
	}
	return false
}

// hasRunsAtWorker reports whether the worker may have runs of this agent.
func (x *Executor) hasRunsAtWorker() bool {
	for _, r := range x.runs {
		if r.holdsCapacity() {
			return true
		}
	}
	return false
}

// hasUnconfirmed reports whether a run may or may not have started.
func (x *Executor) hasUnconfirmed() bool {
	for _, r := range x.runs {
		if r.phase == unconfirmed {
			return true
		}
	}
	return false
}

// hasLongUnconfirmed reports whether an unconfirmed run was sent so long ago that the
// worker should have answered.
func (x *Executor) hasLongUnconfirmed() bool {
	for _, r := range x.runs {
		if r.phase == unconfirmed && x.clock.Since(r.sentAt) >= maxCallTimeout {
			return true
		}
	}
	return false
}

// workerUnresponsive reports whether the worker has left at least two calls in a row
// unanswered.
func (x *Executor) workerUnresponsive() bool { return x.poll.unanswered >= 2 }

// EndRecord is the end of one run as the worker lists it.
type EndRecord struct {
	// Number rises with each end within one incarnation of the worker.
	Number int64
	messenger.RunEnd
}

// PollResult is the worker's answer to a Poll.
type PollResult struct {
	Number uint64
	// Born identifies the incarnation that answered; zero if the answer has none.
	Born    int64
	Running []messenger.Progress
	Ended   []EndRecord
}

// HandlePollFailure processes a poll that failed.
func (x *Executor) HandlePollFailure(number uint64, result CallResult) {
	state := &x.poll
	if number != state.number {
		return
	}
	state.open = false
	state.noListener = result == NoListener
	switch result {
	case Fenced:
		x.raiseToken(state.token)
	case Misdirected:
		x.handleMisdirected()
		return
	case Unanswered:
		state.unanswered++
		x.token++
		if x.workerUnresponsive() {
			// The first unanswered call is followed by another poll at once.
			state.notBefore = x.clock.Now().Add(state.retryDelay())
		}
	default:
		state.unanswered++
		state.notBefore = x.clock.Now().Add(state.retryDelay())
	}
	x.markStateChanged()
	x.sendDuePoll()
}

// HandlePollResult processes the answer to a poll.
func (x *Executor) HandlePollResult(result PollResult) {
	state := &x.poll
	if result.Number != state.number {
		return
	}
	state.open = false
	state.noListener = false
	state.notBefore = time.Time{}
	if result.Born != 0 && result.Born != x.upstream.Born {
		x.handleWorkerRestart(result.Born)
		return
	}
	if state.unanswered > 0 || !state.answered {
		state.unanswered = 0
		state.answered = true
		x.markStateChanged()
	}
	x.previousUpstream = messenger.Upstream{}
	x.runsKnown = true
	x.recordEnds(result.Ended)
	x.reconcileRuns(result.Running)
	state.answeredAt = x.clock.Now()
	x.startWaiting()
	x.sendDuePoll()
}

// handleWorkerRestart records that the worker has restarted. Until its next heartbeat
// it counts as without capacity, since it may be of another size. Its new start time
// may be earlier than the last one, since its clock may have been set back.
func (x *Executor) handleWorkerRestart(born int64) {
	x.resetWorkerState()
	x.upstream = messenger.Upstream{ID: x.upstream.ID, Born: born, Service: x.upstream.Service}
	x.markAllUnconfirmed("worker restarted")
	x.markUpstreamChanged()
	x.sendDuePoll()
}

// recordEnds processes the ends in a poll result, except those that were processed
// before.
func (x *Executor) recordEnds(ends []EndRecord) {
	for _, e := range ends {
		if e.Number <= x.poll.lastEnd {
			continue
		}
		x.poll.lastEnd = e.Number
		if r := x.runs[e.Run]; r != nil {
			x.finish(r, e.Reason)
			continue
		}
		// An earlier incarnation of the agent started the run.
		x.unclaimed[e.Run] = unclaimedEnd{RunEnd: e.RunEnd, at: x.clock.Now()}
	}
}

// reconcileRuns compares the runs that the worker lists with the known ones.
func (x *Executor) reconcileRuns(list []messenger.Progress) {
	state := &x.poll
	listed := make(map[messenger.Run]bool, len(list))
	for _, p := range list {
		listed[p.Run] = true
		r := x.runs[p.Run]
		if r == nil {
			x.adoptOrphan(p)
			continue
		}
		if r.phase == detached {
			x.reattach(r)
		}
		r.worker = x.upstream.Incarnation()
		r.percent = p.Percent
		r.progressAge = x.clock.Since(r.sentAt)
		x.markRunning(r)
		x.recordPace(r)
	}
	for _, r := range x.sortedRuns() {
		if listed[r.Run] {
			continue
		}
		switch {
		case r.phase == unconfirmed && r.token <= state.token && !r.startedAt.IsZero():
			x.endUnlisted(r)
		case r.phase == unconfirmed && r.token <= state.token:
			// The poll carried a token at least as high as the run's, which was raised
			// after the start: the start has had no effect and cannot have one any
			// more.
			x.retryStart(r)
		case (r.phase == running || r.phase == stopping) && r.startedAt.Before(state.sentAt):
			x.endUnlisted(r)
		}
	}
}

// adoptOrphan keeps a run that this incarnation of the agent did not start until its
// owner claims it.
func (x *Executor) adoptOrphan(p messenger.Progress) {
	now := x.clock.Now()
	r := &run{
		Task:      messenger.Task{Run: p.Run},
		worker:    x.upstream.Incarnation(),
		phase:     running,
		sentAt:    now,
		startedAt: now,
		expiresAt: now.Add(orphanTimeout),
		percent:   p.Percent,

		demandUnknown: true,
	}
	x.add(r)
	x.emit(Note{Run: r.Run, Worker: r.worker.ID, What: "run found at worker"})
	for _, e := range x.entries {
		e.runsSent = false
	}
	x.markStateChanged()
}
