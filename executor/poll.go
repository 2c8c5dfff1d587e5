package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// pollState is the state of the looks at the worker. One look follows the other;
// each renews the lease and brings the ends.
type pollState struct {
	number uint64
	// open is whether a look has not been answered.
	open   bool
	sentAt time.Time
	token  uint64
	// immediate is whether the open look asks for an answer at once.
	immediate bool
	// dueNow asks for a look now, beside an open one.
	dueNow bool
	// notBefore is the earliest time of the next look.
	notBefore time.Time
	// answered is whether the worker has answered a look, and answeredAt when it
	// last did.
	answered   bool
	answeredAt time.Time
	// lastEnd is the number of the last end that was taken in.
	lastEnd int64
	// unanswered counts the calls without an answer since the last answer.
	unanswered int
}

func (l *pollState) reset() {
	*l = pollState{number: l.number}
}

// fences reports whether an open look shows soon what has become of a start, and
// keeps it from taking effect later.
func (l *pollState) fences(token uint64) bool { return l.open && l.immediate && l.token > token }

// retryDelay is how long to wait after a look that failed.
func (l *pollState) retryDelay() time.Duration {
	const doublings = 4
	return min(minPollRetryDelay<<min(max(l.unanswered-1, 0), doublings), maxPollRetryDelay)
}

// latestLeaseExpiry is when a lease has ended for certain that was asked for at t.
func latestLeaseExpiry(t time.Time) time.Time {
	most := time.Duration(float64(LeaseDuration) * (1 + leaseClockDrift))
	return t.Add(most + leaseTransitMargin)
}

// sendDuePoll sends the next look when it is due.
func (x *Executor) sendDuePoll() {
	l := &x.poll
	now := x.clock.Now()
	if x.departed && !x.hasRunsAtWorker() {
		x.dropUpstream()
	}
	if x.upstream.Born == 0 || (l.open && !l.dueNow) || (now.Before(l.notBefore) && !l.dueNow) {
		return
	}
	wait := idlePollWait
	if len(x.runs) > 0 {
		wait = busyPollWait
	}
	if l.unanswered > 0 || !l.answered || x.hasUnconfirmed() {
		// What runs is not known yet, and nothing is placed here before it is.
		wait = 0
	}
	l.number++
	l.open = true
	l.sentAt = now
	l.token = x.token
	l.dueNow = false
	l.immediate = wait == 0
	look := Poll{Number: l.number, Token: x.token, AckedEnd: l.lastEnd, MaxWait: wait, Upstream: x.upstream}
	// What is not answered must not keep runs alive for ever, nor what does not
	// end when it is stopped.
	if !x.workerUnresponsive() && !x.leaseWithheld(now) {
		look.LeaseUntil = x.renewLease(now)
	}
	x.emit(look)
}

// renewLease notes that a call may lengthen the lease of all runs, and returns until
// when.
func (x *Executor) renewLease(now time.Time) time.Time {
	x.leaseRenewedAt = now
	for _, r := range x.runs {
		if r.phase == detached && r.worker == x.upstream.ID {
			r.lapsedBy = latestLeaseExpiry(now)
		}
	}
	return now.Add(LeaseDuration)
}

// leaseWithheld reports whether a run goes on that has to end, or that an earlier
// incarnation of the agent started and no entry has claimed: its entry may have
// given it up, and counts on its lease.
func (x *Executor) leaseWithheld(now time.Time) bool {
	for _, r := range x.runs {
		unclaimed := r.owner == "" && !r.cancelled
		if r.holdsCapacity() && (unclaimed || (!r.stopDeadline.IsZero() && now.After(r.stopDeadline))) {
			return true
		}
	}
	return false
}

// hasRunsAtWorker reports whether the worker may run anything of ours.
func (x *Executor) hasRunsAtWorker() bool {
	for _, r := range x.runs {
		if r.holdsCapacity() {
			return true
		}
	}
	return false
}

// hasUnconfirmed reports whether a run may have started or not.
func (x *Executor) hasUnconfirmed() bool {
	for _, r := range x.runs {
		if r.phase == unconfirmed {
			return true
		}
	}
	return false
}

// hasLongUnconfirmed reports whether a run that may have started was sent so long ago that
// the worker should have answered.
func (x *Executor) hasLongUnconfirmed() bool {
	for _, r := range x.runs {
		if r.phase == unconfirmed && x.clock.Since(r.sentAt) >= maxCallTimeout {
			return true
		}
	}
	return false
}

// workerUnresponsive reports whether the worker has left several calls unanswered.
func (x *Executor) workerUnresponsive() bool { return x.poll.unanswered >= 2 }

// EndRecord is one end as the worker lists it.
type EndRecord struct {
	// Number rises with each end of one incarnation.
	Number int64
	messenger.RunEnd
}

// PollResult is the worker's answer to a look.
type PollResult struct {
	Number uint64
	// Born is the incarnation that answered; zero when it did not say.
	Born    int64
	Running []messenger.Progress
	Ended   []EndRecord
}

// HandlePollFailure notes a look without an answer.
func (x *Executor) HandlePollFailure(number uint64, out CallResult) {
	l := &x.poll
	if number != l.number {
		return
	}
	l.open = false
	switch out {
	case Fenced:
		x.raiseToken(l.token)
	case Misdirected:
		x.handleMisdirected()
		return
	case Unanswered:
		l.unanswered++
		x.token++
		if x.workerUnresponsive() {
			// The first one is looked into at once.
			l.notBefore = x.clock.Now().Add(l.retryDelay())
		}
	default:
		l.unanswered++
		l.notBefore = x.clock.Now().Add(l.retryDelay())
	}
	x.markStateChanged()
	x.sendDuePoll()
}

// HandlePollResult takes in the answer to a look.
func (x *Executor) HandlePollResult(s PollResult) {
	l := &x.poll
	if s.Number != l.number {
		return
	}
	l.open = false
	l.notBefore = time.Time{}
	if s.Born != 0 && s.Born != x.upstream.Born {
		x.handleWorkerRestart(s.Born)
		return
	}
	if l.unanswered > 0 || !l.answered {
		l.unanswered = 0
		l.answered = true
		x.markStateChanged()
	}
	x.previousUpstream = messenger.Upstream{}
	x.runsKnown = true
	x.recordEnds(s.Ended)
	x.reconcileRuns(s.Running)
	l.answeredAt = x.clock.Now()
	x.startWaiting()
	x.sendDuePoll()
}

// handleWorkerRestart notes that the worker has restarted. It counts as without
// room before it has announced itself, since it may be of another size. Its
// start may be the earlier one by its clock, which may have been set back.
func (x *Executor) handleWorkerRestart(born int64) {
	x.resetWorkerState()
	x.upstream = messenger.Upstream{ID: x.upstream.ID, Born: born, Service: x.upstream.Service}
	x.markAllUnconfirmed("worker restarted")
	x.markUpstreamChanged()
	x.sendDuePoll()
}

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
		// An earlier incarnation of the agent started it.
		x.unclaimed[e.Run] = unclaimedEnd{RunEnd: e.RunEnd, at: x.clock.Now()}
	}
}

// reconcileRuns compares what the worker runs with what is known.
func (x *Executor) reconcileRuns(list []messenger.Progress) {
	l := &x.poll
	there := make(map[messenger.Run]bool, len(list))
	for _, p := range list {
		there[p.Run] = true
		r := x.runs[p.Run]
		if r == nil {
			x.adoptOrphan(p)
			continue
		}
		if r.phase == detached {
			x.reattach(r)
		}
		r.percent = p.Percent
		r.progressAge = x.clock.Since(r.sentAt)
		x.markRunning(r)
		x.recordPace(r)
	}
	for _, r := range x.sortedRuns() {
		if there[r.Run] {
			continue
		}
		switch {
		case r.phase == unconfirmed && r.token <= l.token && !r.startedAt.IsZero():
			x.finish(r, messenger.RunLapsed)
		case r.phase == unconfirmed && r.token <= l.token:
			// The look came under a higher token: the start has done nothing
			// and can do nothing any more.
			x.retryStart(r)
		case (r.phase == running || r.phase == stopping) && r.startedAt.Before(l.sentAt):
			x.finish(r, messenger.RunLapsed)
		}
	}
}

// adoptOrphan keeps a run that this incarnation did not start until its owner claims
// it.
func (x *Executor) adoptOrphan(p messenger.Progress) {
	now := x.clock.Now()
	r := &run{
		Task:      messenger.Task{Run: p.Run},
		worker:    x.upstream.ID,
		phase:     running,
		sentAt:    now,
		startedAt: now,
		expiresAt: now.Add(orphanTimeout),
		percent:   p.Percent,
	}
	x.add(r)
	x.emit(Note{Run: r.Run, Worker: r.worker, What: "run found at worker"})
	for _, e := range x.entries {
		e.runsSent = false
	}
	x.markStateChanged()
}
