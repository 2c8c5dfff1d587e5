package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// CallResult is how the worker took a call.
type CallResult int

// The results of calls.
const (
	// Accepted calls have taken effect.
	Accepted CallResult = iota
	// Fenced calls carried too low a token and had no effect.
	Fenced
	// StaleRun means that a start named a run whose number is not higher than that of
	// one that has ended at the worker.
	StaleRun
	// Expired calls arrived after their lease and had no effect.
	Expired
	// Full means that the worker lacked the capacity; the call had no effect.
	Full
	// Rejected calls were turned down for another reason and had no effect.
	Rejected
	// Misdirected means that another worker answered in place of the intended one.
	Misdirected
	// NotSent calls never reached the worker.
	NotSent
	// NoListener calls never reached the worker, since no process listens at its
	// address.
	NoListener
	// Unanswered calls may have taken effect, or may still do so.
	Unanswered
)

// HandlePlace processes an entry's Place: it admits or refuses each of its runs.
func (x *Executor) HandlePlace(owner string, p messenger.Place) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	e.lastPlace = p.Number
	x.recordContact(e, p.Echo)
	now := x.clock.Now()
	e.lastPlaceAt = now
	e.holder.seenAt = now
	x.unguarded = p.Unguarded
	stale := x.timestamp()-p.Echo > maxPlaceAge
	x.updateBacklog(e, p.Backlog)
	x.recordReaction(e, p.Echo)
	admitted := 0
	for _, t := range p.Tasks {
		if known := x.byTask[t.Task]; known != nil {
			x.placeKnownTask(e, known, t, p)
			continue
		}
		if end, ok := x.unclaimed[t.Run]; ok {
			e.outcomes.add(outcome{end: end.RunEnd})
			continue
		}
		if reason, ok := x.admit(t, p, stale); !ok {
			x.reportRefusal(owner, t.Run, reason)
			continue
		}
		r := &run{Task: t, owner: owner, job: p.Job, queue: p.Queue, spec: p.Spec, phase: waiting, expiresAt: now.Add(p.MaxWait)}
		x.setDemand(r, t.Demand, p.Alone)
		x.add(r)
		x.enqueue(r)
		admitted++
	}
	x.chargePlacements(e, admitted)
	x.markCapacityChanged()
	x.startWaiting()
	if len(x.waiting) > 0 {
		// Runs that do not start in time are refused as soon as their wait ends, so
		// that the entry can use the time that is left to place them elsewhere.
		x.emit(TickAfter{Delay: p.MaxWait + time.Millisecond})
	}
}

// placeKnownTask processes the placement of a task that has a run here already. If it
// is the same run and has no owner, the entry claims it. Another run or another entry's
// run is joined, so that the entry gets its outcome. A repeated placement of the
// entry's own run changes nothing.
func (x *Executor) placeKnownTask(e *entry, known *run, t messenger.Task, p messenger.Place) {
	switch {
	case known.Run == t.Run && known.owner == "":
		x.claimOrphan(known, e.name, t, p)
	case known.Run != t.Run || known.owner != e.name:
		known.joined = append(known.joined, joinedPlacement{entry: e.name, run: t.Run})
		x.emit(Note{Run: t.Run, Owner: e.name, Worker: known.worker.ID, What: "run joined", Why: fmt.Sprintf("run %d of entry %q is active", known.Number, known.owner)})
	}
}

// setDemand sets the demand of a run, which is all of the worker for one that is to be
// alone.
func (x *Executor) setDemand(r *run, d messenger.Resources, alone bool) {
	r.alone = alone
	r.Demand = d
	if alone {
		r.Demand = d.Max(x.upstream.Capacity)
	}
}

// claimOrphan gives a run that was found at the worker to the entry that places it.
func (x *Executor) claimOrphan(r *run, owner string, t messenger.Task, p messenger.Place) {
	before := r.Demand
	r.demandUnknown = false
	x.setDemand(r, t.Demand, p.Alone)
	if r.holdsCapacity() {
		x.used = x.used.Minus(before).Plus(r.Demand)
	}
	r.owner = owner
	r.job = p.Job
	r.queue = p.Queue
	r.spec = p.Spec
	r.Estimate = t.Estimate
	r.Crashed = t.Crashed
}

// admit reports whether a new run may wait here, and if not, the reason.
func (x *Executor) admit(t messenger.Task, p messenger.Place, stale bool) (messenger.RefusalReason, bool) {
	switch reason, ok := x.startAllowed(t); {
	case stale:
		return messenger.RefusedWithdrawn, false
	case x.shuttingDown:
		return messenger.RefusedLeaving, false
	case !ok:
		return reason, false
	case x.departed || x.upstream.Born == 0 || x.upstream.Service != p.Service:
		return messenger.RefusedNoWorker, false
	case !t.Demand.FitsIn(x.upstream.Capacity):
		return messenger.RefusedNoRoom, false
	}
	return "", true
}

// startAllowed reports whether a start of a task may be sent now, also again, and if not, the
// reason.
func (x *Executor) startAllowed(t messenger.Task) (messenger.RefusalReason, bool) {
	switch {
	case x.evacuated():
		return messenger.RefusedEvacuated, false
	case x.upstream.Draining && !x.endsBeforeWorkerLeaves(t):
		return messenger.RefusedLeaving, false
	}
	return "", true
}

// endsBeforeWorkerLeaves reports whether a task may still be started on a draining
// worker.
func (x *Executor) endsBeforeWorkerLeaves(t messenger.Task) bool {
	const (
		// estimateMargin is a factor that covers estimates that are too low.
		estimateMargin = 2
		// noticeMargin keeps starts well within the time that is left for them.
		noticeMargin = 500 * time.Millisecond
	)
	since := x.clock.Since(x.drainingSince)
	return since < x.cfg.DrainTimeout-noticeMargin &&
		estimateMargin*t.Estimate+noticeMargin < x.upstream.Remaining-since
}

// enqueue adds a new run to the waiting ones. A run that capacity is reserved for goes
// to the front and ends the reservation.
func (x *Executor) enqueue(r *run) {
	if x.reservation.matches(r.owner, r.Demand) {
		x.endReservation("used")
		x.waiting = slices.Insert(x.waiting, 0, r)
		return
	}
	x.waiting = append(x.waiting, r)
}

// startWaiting starts the waiting runs that fit into the free capacity.
func (x *Executor) startWaiting() {
	x.reservationEnded = false
	if x.departed || x.upstream.Born == 0 {
		return
	}
	now := x.clock.Now()
	x.expireTimedOut(now)
	x.refuseExpired(now)
	if x.leaseWithheld(now) || x.usageUnknown() || x.capacityUnknown() || !x.evacuations.known(now) {
		return
	}
	x.updateReservation(now)
	free := x.freeCapacity()
	for _, r := range slices.Clone(x.waiting) {
		if x.mayStart(r, free, now) {
			x.emitBackfillNote(r, free, now)
			free = free.Minus(r.Demand)
			x.startRun(r)
		}
	}
}

// startRun sends the start of a run to the worker.
func (x *Executor) startRun(r *run) {
	if r.phase == waiting {
		x.waiting = slices.DeleteFunc(x.waiting, func(w *run) bool { return w == r })
		x.used = x.used.Plus(r.Demand)
	}
	r.phase = starting
	r.worker = x.upstream.Incarnation()
	r.sentAt = x.clock.Now()
	r.token = x.token
	r.attempts++
	x.emit(Start{Run: r.Run, Spec: r.spec, Token: x.token, LeaseUntil: x.renewLease(r.sentAt), Timeout: x.startTimeout(r), Upstream: x.upstream})
}

// startTimeout returns the timeout of the start of a run. A repeated start gets the
// longest timeout, so that a timeout that is too short delays a run only once.
func (x *Executor) startTimeout(r *run) time.Duration {
	if r.attempts > 1 {
		return maxCallTimeout
	}
	return x.callTimes.timeout(r.sentAt)
}

// HandleStartResult processes how the worker took the start of a run that carried
// token.
func (x *Executor) HandleStartResult(id messenger.Run, token uint64, result CallResult) {
	r := x.runs[id]
	if r == nil || r.phase != starting || r.token != token {
		return
	}
	x.recordCallTime(r, result)
	switch result {
	case Accepted:
		x.poll.unanswered = 0
		x.markRunning(r)
	case Fenced:
		x.raiseToken(token)
		x.retryStart(r)
	case Expired:
		x.retryStart(r)
	case StaleRun:
		x.refuse(r, messenger.RefusedSuperseded)
	case Full:
		x.refuse(r, messenger.RefusedNoRoom)
	case Rejected:
		x.refuse(r, messenger.RefusedUnhealthy)
	case Misdirected:
		x.refuse(r, messenger.RefusedNoWorker)
	case NotSent, NoListener:
		x.poll.unanswered++
		x.refuse(r, messenger.RefusedUnhealthy)
	case Unanswered:
		x.markUnconfirmed(r)
	}
	x.startWaiting()
	x.sendDuePoll()
}

// recordCallTime records how long a start took to be answered.
func (x *Executor) recordCallTime(r *run, result CallResult) {
	now := x.clock.Now()
	switch result {
	case NotSent, NoListener:
	case Unanswered:
		x.callTimes.addUnanswered(now)
	default:
		x.callTimes.addAnswered(now.Sub(r.sentAt), now)
	}
}

// markRunning records that the worker has a run. A cancelled run is stopped.
func (x *Executor) markRunning(r *run) {
	if r.phase == stopping || r.phase == running {
		return
	}
	r.phase = running
	r.startedAt = x.clock.Now()
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker.ID, What: "run started", Age: r.startedAt.Sub(r.sentAt)})
	if r.cancelled {
		x.stopRun(r)
	}
}

// markUnconfirmed records that a start got no answer. A higher token keeps it from
// taking effect later, and a poll with that token shows whether it did. One poll is
// enough for all starts that were sent before it. The start counts as an unanswered
// call only if an unconfirmed start was sent at least maxCallTimeout ago; otherwise the
// poll shows whether the worker answers.
func (x *Executor) markUnconfirmed(r *run) {
	r.phase = unconfirmed
	r.startTimeUnknown = true
	if x.poll.fences(r.token) {
		r.token = x.poll.token
	} else {
		x.token++
		r.token = x.token
		x.poll.dueNow = true
	}
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker.ID, What: "start unanswered", Age: x.clock.Since(r.sentAt)})
	if x.hasLongUnconfirmed() {
		x.poll.unanswered++
		x.markStateChanged()
	}
}

// raiseToken raises the token after the worker has fenced off a call that carried
// refused, unless the token is higher already.
func (x *Executor) raiseToken(refused uint64) {
	if refused < x.token {
		return
	}
	x.token += x.fenceStep
	x.fenceStep *= 2
}

// retryStart sends a start that had no effect again, unless the run is cancelled, out
// of attempts, or leases are withheld.
func (x *Executor) retryStart(r *run) {
	now := x.clock.Now()
	x.expireTimedOut(now)
	switch reason, ok := x.startAllowed(r.Task); {
	case r.cancelled:
		x.refuse(r, messenger.RefusedWithdrawn)
	case !ok:
		x.refuse(r, reason)
	case r.attempts >= maxStartAttempts || x.leaseWithheld(now):
		x.refuse(r, messenger.RefusedUnhealthy)
	default:
		x.startRun(r)
	}
}

// HandleWithdraw processes an entry's Withdraw: it cancels the runs that it names.
func (x *Executor) HandleWithdraw(owner string, w messenger.Withdraw) {
	for _, id := range w.Runs {
		x.withdrawRun(owner, id)
	}
	x.startWaiting()
}

// withdrawRun cancels one run of an entry, or withdraws the entry's placement from the
// run that it has joined. The outcome is reported to the entry.
func (x *Executor) withdrawRun(owner string, id messenger.Run) {
	r := x.runs[id]
	switch {
	case r != nil && r.owner == "":
		r.owner = owner
		x.cancel(r)
	case r != nil && r.owner == owner:
		x.cancel(r)
	default:
		x.withdrawJoined(owner, id)
	}
}

// cancel refuses a waiting run, stops a running one, and marks others to be stopped
// once they are known to have started.
func (x *Executor) cancel(r *run) {
	switch r.phase {
	case waiting:
		x.refuse(r, messenger.RefusedWithdrawn)
	case starting, unconfirmed, detached:
		r.cancelled = true
	case running:
		r.cancelled = true
		x.stopRun(r)
	}
}

// stopRun sends the stop of a run to the worker.
func (x *Executor) stopRun(r *run) {
	r.phase = stopping
	r.stopSentAt = x.clock.Now()
	x.emit(Stop{Run: r.Run, Token: x.token, Timeout: x.callTimes.timeout(r.stopSentAt), Upstream: x.upstream})
}

// retryStops repeats the stops of runs whose ends the worker has not listed within
// stopRetryInterval.
func (x *Executor) retryStops(now time.Time) {
	due := func(r *run) bool { return r.phase == stopping && now.Sub(r.stopSentAt) >= stopRetryInterval }
	for _, r := range x.sortedRunsWhere(due) {
		x.stopRun(r)
	}
}

// refuseExpired refuses runs that have waited too long for capacity.
func (x *Executor) refuseExpired(now time.Time) {
	for _, r := range slices.Clone(x.waiting) {
		if now.After(r.expiresAt) {
			x.refuse(r, messenger.RefusedNoRoom)
		}
	}
}
