package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// CallResult is how the worker took a call.
type CallResult int

// The outcomes.
const (
	// Accepted calls have taken effect.
	Accepted CallResult = iota
	// Fenced calls carried too low a token; nothing was done.
	Fenced
	// StaleRun starts named a run that is not higher than one that ended there.
	StaleRun
	// Expired calls arrived after their lease; nothing was done.
	Expired
	// Full workers had no room; nothing was done.
	Full
	// Rejected calls were turned down for another reason; nothing was done.
	Rejected
	// Misdirected answered in the place of the one that was meant.
	Misdirected
	// NotSent calls never reached the worker.
	NotSent
	// Unanswered calls may have taken effect, or may still do so.
	Unanswered
)

// HandlePlace takes in runs from an entry.
func (x *Executor) HandlePlace(owner string, p messenger.Place) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	e.lastPlace = p.Number
	x.recordContact(e, p.Echo)
	now := x.clock.Now()
	e.lastPlaceAt = now
	stale := x.timestamp()-p.Echo > maxPlaceAge
	x.updateBacklog(e, p.Backlog)
	x.recordReaction(e, p.Echo)
	taken := 0
	for _, t := range p.Tasks {
		if known := x.byTask[t.Task]; known != nil {
			x.placeKnownTask(e, known, t, p)
			continue
		}
		if end, ok := x.unclaimed[t.Run]; ok {
			e.outcomes.add(outcome{end: end.RunEnd})
			continue
		}
		if why, ok := x.admit(t, p, stale); !ok {
			x.reportRefusal(owner, t.Run, why)
			continue
		}
		r := &run{Task: t, owner: owner, job: p.Job, spec: p.Spec, phase: waiting, expiresAt: now.Add(p.MaxWait)}
		x.add(r)
		x.enqueue(r)
		taken++
	}
	x.chargePlacements(e, taken)
	x.markCapacityChanged()
	x.startWaiting()
	if len(x.waiting) > 0 {
		// The entry can use the time if it hears of the refusal when it is due.
		x.emit(TickAfter{Delay: p.MaxWait + time.Millisecond})
	}
}

// placeKnownTask takes in the placement of a task that has a run here: the entry gets
// this run, or its outcome if it is another one's.
func (x *Executor) placeKnownTask(e *entry, known *run, t messenger.Task, p messenger.Place) {
	switch {
	case known.Run == t.Run && known.owner == "":
		x.claimOrphan(known, e.name, t, p)
	case known.Run != t.Run || known.owner != e.name:
		known.joined = append(known.joined, joinedPlacement{entry: e.name, run: t.Run})
		x.emit(Note{Run: t.Run, Owner: e.name, Worker: known.worker, What: "run joined", Why: fmt.Sprintf("run %d of %q goes on", known.Number, known.owner)})
	}
}

// claimOrphan gives a run that was found at the worker to the entry that names it.
func (x *Executor) claimOrphan(r *run, owner string, t messenger.Task, p messenger.Place) {
	if r.holdsCapacity() {
		x.used = x.used.Minus(r.Demand).Plus(t.Demand)
	}
	r.owner = owner
	r.job = p.Job
	r.spec = p.Spec
	r.Demand = t.Demand
	r.Estimate = t.Estimate
}

// admit reports whether a new run may wait here, and if not, why.
func (x *Executor) admit(t messenger.Task, p messenger.Place, stale bool) (messenger.RefusalReason, bool) {
	switch {
	case stale:
		return messenger.RefusedWithdrawn, false
	case x.shuttingDown:
		return messenger.RefusedLeaving, false
	case x.evacuated:
		return messenger.RefusedEvacuated, false
	case x.departed || x.upstream.Born == 0 || x.upstream.Service != p.Service:
		return messenger.RefusedNoWorker, false
	case x.upstream.Draining && !x.endsBeforeWorkerLeaves(t):
		return messenger.RefusedLeaving, false
	case !t.Demand.FitsIn(x.upstream.Capacity):
		return messenger.RefusedNoRoom, false
	}
	return "", true
}

// endsBeforeWorkerLeaves reports whether a task may still start on a worker that is
// about to leave.
func (x *Executor) endsBeforeWorkerLeaves(t messenger.Task) bool {
	const (
		// estimateMargin covers estimates that are too low.
		estimateMargin = 2
		// noticeMargin keeps starts well inside the time for them.
		noticeMargin = 500 * time.Millisecond
	)
	since := x.clock.Since(x.drainingSince)
	return since < x.cfg.DrainTimeout-noticeMargin &&
		estimateMargin*t.Estimate+noticeMargin < x.upstream.Remaining-since
}

// enqueue makes a new run wait for room. One that room is kept for comes first.
func (x *Executor) enqueue(r *run) {
	if x.reservation.matches(r.owner, r.Demand) {
		x.endReservation("used")
		x.waiting = slices.Insert(x.waiting, 0, r)
		return
	}
	x.waiting = append(x.waiting, r)
}

// startWaiting starts the waiting runs that have room.
func (x *Executor) startWaiting() {
	x.reservationEnded = false
	if x.departed || x.upstream.Born == 0 {
		return
	}
	now := x.clock.Now()
	x.expireSilent(now)
	x.refuseExpired(now)
	if x.leaseWithheld(now) {
		return
	}
	x.updateReservation(now)
	room := x.freeCapacity()
	for _, r := range slices.Clone(x.waiting) {
		if x.mayStart(r, room, now) {
			x.emitBackfillNote(r, room, now)
			room = room.Minus(r.Demand)
			x.startRun(r)
		}
	}
}

func (x *Executor) startRun(r *run) {
	if r.phase == waiting {
		x.waiting = slices.DeleteFunc(x.waiting, func(w *run) bool { return w == r })
		x.used = x.used.Plus(r.Demand)
	}
	r.phase = starting
	r.worker = x.upstream.ID
	r.sentAt = x.clock.Now()
	r.token = x.token
	r.attempts++
	x.emit(Start{Run: r.Run, Spec: r.spec, Token: x.token, LeaseUntil: x.renewLease(r.sentAt), Timeout: x.startTimeout(r), Upstream: x.upstream})
}

// startTimeout returns how long the start of a run may take. One that is sent
// again gets the longest time, so that a run is held up only once by a time that
// is too short.
func (x *Executor) startTimeout(r *run) time.Duration {
	if r.attempts > 1 {
		return maxCallTimeout
	}
	return x.callTimes.timeout(r.sentAt)
}

// HandleStartResult notes how the worker took a start that carried token.
func (x *Executor) HandleStartResult(id messenger.Run, token uint64, out CallResult) {
	r := x.runs[id]
	if r == nil || r.phase != starting || r.token != token {
		return
	}
	x.recordCallTime(r, out)
	switch out {
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
	case NotSent:
		x.poll.unanswered++
		x.refuse(r, messenger.RefusedUnhealthy)
	case Unanswered:
		x.markUnconfirmed(r)
	}
	x.startWaiting()
	x.sendDuePoll()
}

// recordCallTime notes how long a start took to be answered.
func (x *Executor) recordCallTime(r *run, out CallResult) {
	now := x.clock.Now()
	switch out {
	case NotSent:
	case Unanswered:
		x.callTimes.addUnanswered(now)
	default:
		x.callTimes.addAnswered(now.Sub(r.sentAt), now)
	}
}

// markRunning notes that the worker has a run.
func (x *Executor) markRunning(r *run) {
	if r.phase == stopping || r.phase == running {
		return
	}
	r.phase = running
	r.startedAt = x.clock.Now()
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run started", Age: r.startedAt.Sub(r.sentAt)})
	if r.cancelled {
		x.stopRun(r)
	}
}

// markUnconfirmed notes that a start got no answer. A higher token keeps it from taking
// effect later, and a look under that token tells whether it did. One look does
// for all starts that were sent before it. The worker counts as silent only if a
// start was sent the longest time ago; else the look shows whether it is.
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
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "start unanswered", Age: x.clock.Since(r.sentAt)})
	if x.hasLongUnconfirmed() {
		x.poll.unanswered++
		x.markStateChanged()
	}
}

// raiseToken lifts the token above one that the worker has fenced off.
func (x *Executor) raiseToken(refused uint64) {
	if refused < x.token {
		return
	}
	x.token += x.fenceStep
	x.fenceStep *= 2
}

// retryStart sends a start that has done nothing once more, within bounds.
func (x *Executor) retryStart(r *run) {
	now := x.clock.Now()
	x.expireSilent(now)
	switch {
	case r.cancelled:
		x.refuse(r, messenger.RefusedWithdrawn)
	case r.attempts >= maxStartAttempts || x.leaseWithheld(now):
		x.refuse(r, messenger.RefusedUnhealthy)
	default:
		x.startRun(r)
	}
}

// HandleWithdraw drops or stops runs of an entry.
func (x *Executor) HandleWithdraw(owner string, w messenger.Withdraw) {
	for _, id := range w.Runs {
		x.withdrawRun(owner, id)
	}
	x.startWaiting()
}

// withdrawRun drops one run of an entry, which hears of its outcome.
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

func (x *Executor) stopRun(r *run) {
	r.phase = stopping
	r.stopSentAt = x.clock.Now()
	x.emit(Stop{Run: r.Run, Token: x.token, Timeout: x.callTimes.timeout(r.stopSentAt), Upstream: x.upstream})
}

// retryStops repeats stops whose end has not been listed.
func (x *Executor) retryStops(now time.Time) {
	due := func(r *run) bool { return r.phase == stopping && now.Sub(r.stopSentAt) >= stopRetryInterval }
	for _, r := range x.sortedRunsWhere(due) {
		x.stopRun(r)
	}
}

// refuseExpired refuses runs that have waited too long for room.
func (x *Executor) refuseExpired(now time.Time) {
	for _, r := range slices.Clone(x.waiting) {
		if now.After(r.expiresAt) {
			x.refuse(r, messenger.RefusedNoRoom)
		}
	}
}
