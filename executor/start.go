package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Outcome is how the worker took a call.
type Outcome int

// The outcomes.
const (
	// Accepted calls have taken effect.
	Accepted Outcome = iota
	// Fenced calls carried too low a token; nothing was done.
	Fenced
	// Old starts named a run that is not higher than one that ended there.
	Old
	// Late calls arrived after their lease; nothing was done.
	Late
	// Full workers had no room; nothing was done.
	Full
	// Rejected calls were turned down for another reason; nothing was done.
	Rejected
	// OtherWorker answered in the place of the one that was meant.
	OtherWorker
	// NotSent calls never reached the worker.
	NotSent
	// Unanswered calls may have taken effect, or may still do so.
	Unanswered
)

// Place takes in runs from an entry.
func (x *Executor) Place(owner string, p messenger.Place) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	e.seen = p.Number
	x.contact(e, p.Echo)
	now := x.clock.Now()
	e.placedAt = now
	stale := x.stamp()-p.Echo > placeAge
	x.wants(e, p.Backlog)
	x.reacted(e, p.Echo)
	taken := 0
	for _, t := range p.Tasks {
		if known := x.byTask[t.Task]; known != nil {
			x.meet(e, known, t, p)
			continue
		}
		if end, ok := x.unclaimed[t.Run]; ok {
			e.outcomes.note(outcome{end: end.RunEnd})
			continue
		}
		if why, ok := x.takes(t, p, stale); !ok {
			x.refused(owner, t.Run, why)
			continue
		}
		r := &run{Task: t, owner: owner, job: p.Job, spec: p.Spec, phase: waiting, expires: now.Add(p.MaxWait)}
		x.add(r)
		x.queueUp(r)
		taken++
	}
	x.charge(e, taken)
	x.changeRoom()
	x.pump()
	if len(x.waiting) > 0 {
		// The entry can use the time if it hears of the refusal when it is due.
		x.emit(Wake{After: p.MaxWait + time.Millisecond})
	}
}

// meet takes in the placement of a task that has a run here: the entry gets
// this run, or its outcome if it is another one's.
func (x *Executor) meet(e *entry, known *run, t messenger.Task, p messenger.Place) {
	switch {
	case known.Run == t.Run && known.owner == "":
		x.claim(known, e.name, t, p)
	case known.Run != t.Run || known.owner != e.name:
		known.joined = append(known.joined, claimant{entry: e.name, run: t.Run})
		x.emit(Note{Run: t.Run, Owner: e.name, Worker: known.worker, What: "run joined", Why: fmt.Sprintf("run %d of %q goes on", known.Number, known.owner)})
	}
}

// claim gives a run that was found at the worker to the entry that names it.
func (x *Executor) claim(r *run, owner string, t messenger.Task, p messenger.Place) {
	if r.here() {
		x.used = x.used.Minus(r.Demand).Plus(t.Demand)
	}
	r.owner = owner
	r.job = p.Job
	r.spec = p.Spec
	r.Demand = t.Demand
	r.Estimate = t.Estimate
}

// takes reports whether a new run may wait here, and if not, why.
func (x *Executor) takes(t messenger.Task, p messenger.Place, stale bool) (messenger.RefusalReason, bool) {
	switch {
	case stale:
		return messenger.RefusedWithdrawn, false
	case x.leaving:
		return messenger.RefusedLeaving, false
	case x.evacuated:
		return messenger.RefusedEvacuated, false
	case x.departed || x.upstream.Born == 0 || x.upstream.Service != p.Service:
		return messenger.RefusedNoWorker, false
	case x.upstream.Draining && !x.endsBeforeLeave(t):
		return messenger.RefusedLeaving, false
	case !t.Demand.FitsIn(x.upstream.Capacity):
		return messenger.RefusedNoRoom, false
	}
	return "", true
}

// endsBeforeLeave reports whether a task may still start on a worker that is
// about to leave.
func (x *Executor) endsBeforeLeave(t messenger.Task) bool {
	const (
		// estimateMargin covers estimates that are too low.
		estimateMargin = 2
		// noticeMargin keeps starts well inside the time for them.
		noticeMargin = 500 * time.Millisecond
	)
	since := x.clock.Since(x.drainingSince)
	return since < x.cfg.DrainWithin-noticeMargin &&
		estimateMargin*t.Estimate+noticeMargin < x.upstream.Remaining-since
}

// queueUp makes a new run wait for room. One that room is kept for comes first.
func (x *Executor) queueUp(r *run) {
	if x.reservation.covers(r.owner, r.Demand) {
		x.endReservation("used")
		x.waiting = slices.Insert(x.waiting, 0, r)
		return
	}
	x.waiting = append(x.waiting, r)
}

// pump starts the waiting runs that have room.
func (x *Executor) pump() {
	x.released = false
	if x.departed || x.upstream.Born == 0 {
		return
	}
	now := x.clock.Now()
	x.dropSilent(now)
	x.expireWaiting(now)
	if x.overdue(now) {
		return
	}
	x.reviewReservation(now)
	room := x.free()
	for _, r := range slices.Clone(x.waiting) {
		if x.mayStart(r, room, now) {
			x.noteBackfill(r, room, now)
			room = room.Minus(r.Demand)
			x.start(r)
		}
	}
}

func (x *Executor) start(r *run) {
	if r.phase == waiting {
		x.waiting = slices.DeleteFunc(x.waiting, func(w *run) bool { return w == r })
		x.used = x.used.Plus(r.Demand)
	}
	r.phase = starting
	r.worker = x.upstream.ID
	r.sentAt = x.clock.Now()
	r.token = x.token
	r.tries++
	x.emit(Start{Run: r.Run, Spec: r.spec, Token: x.token, Until: x.lease(r.sentAt), Within: x.startWithin(r), Upstream: x.upstream})
}

// startWithin returns how long the start of a run may take. One that is sent
// again gets the longest time, so that a run is held up only once by a time that
// is too short.
func (x *Executor) startWithin(r *run) time.Duration {
	if r.tries > 1 {
		return callTimeoutMost
	}
	return x.callTimes.timeout(r.sentAt)
}

// Started notes how the worker took a start that carried token.
func (x *Executor) Started(id messenger.Run, token uint64, out Outcome) {
	r := x.runs[id]
	if r == nil || r.phase != starting || r.token != token {
		return
	}
	x.timeCall(r, out)
	switch out {
	case Accepted:
		x.look.unanswered = 0
		x.begun(r)
	case Fenced:
		x.raise(token)
		x.again(r)
	case Late:
		x.again(r)
	case Old:
		x.refuse(r, messenger.RefusedSuperseded)
	case Full:
		x.refuse(r, messenger.RefusedNoRoom)
	case Rejected:
		x.refuse(r, messenger.RefusedUnhealthy)
	case OtherWorker:
		x.refuse(r, messenger.RefusedNoWorker)
	case NotSent:
		x.look.unanswered++
		x.refuse(r, messenger.RefusedUnhealthy)
	case Unanswered:
		x.doubt(r)
	}
	x.pump()
	x.nextLook()
}

// timeCall notes how long a start took to be answered.
func (x *Executor) timeCall(r *run, out Outcome) {
	now := x.clock.Now()
	switch out {
	case NotSent:
	case Unanswered:
		x.callTimes.unanswered(now)
	default:
		x.callTimes.answered(now.Sub(r.sentAt), now)
	}
}

// begun notes that the worker has a run.
func (x *Executor) begun(r *run) {
	if r.phase == stopping || r.phase == running {
		return
	}
	r.phase = running
	r.begunAt = x.clock.Now()
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run started", Age: r.begunAt.Sub(r.sentAt)})
	if r.dropped {
		x.stop(r)
	}
}

// doubt notes that a start got no answer. A higher token keeps it from taking
// effect later, and a look under that token tells whether it did. One look does
// for all starts that were sent before it. The worker counts as silent only if a
// start was sent the longest time ago; else the look shows whether it is.
func (x *Executor) doubt(r *run) {
	r.phase = doubtful
	r.startUnsure = true
	if x.look.fences(r.token) {
		r.token = x.look.token
	} else {
		x.token++
		r.token = x.token
		x.look.urgent = true
	}
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "start unanswered", Age: x.clock.Since(r.sentAt)})
	if x.longInDoubt() {
		x.look.unanswered++
		x.changed()
	}
}

// raise lifts the token above one that the worker has fenced off.
func (x *Executor) raise(refused uint64) {
	if refused < x.token {
		return
	}
	x.token += x.fenceStep
	x.fenceStep *= 2
}

// again sends a start that has done nothing once more, within bounds.
func (x *Executor) again(r *run) {
	now := x.clock.Now()
	x.dropSilent(now)
	switch {
	case r.dropped:
		x.refuse(r, messenger.RefusedWithdrawn)
	case r.tries >= startTries || x.overdue(now):
		x.refuse(r, messenger.RefusedUnhealthy)
	default:
		x.start(r)
	}
}

// Withdraw drops or stops runs of an entry.
func (x *Executor) Withdraw(owner string, w messenger.Withdraw) {
	for _, id := range w.Runs {
		x.withdraw(owner, id)
	}
	x.pump()
}

// withdraw drops one run of an entry, which hears of its outcome.
func (x *Executor) withdraw(owner string, id messenger.Run) {
	r := x.runs[id]
	switch {
	case r != nil && r.owner == "":
		r.owner = owner
		x.drop(r)
	case r != nil && r.owner == owner:
		x.drop(r)
	default:
		x.leave(owner, id)
	}
}

func (x *Executor) drop(r *run) {
	switch r.phase {
	case waiting:
		x.refuse(r, messenger.RefusedWithdrawn)
	case starting, doubtful, detached:
		r.dropped = true
	case running:
		r.dropped = true
		x.stop(r)
	}
}

func (x *Executor) stop(r *run) {
	r.phase = stopping
	r.stopAt = x.clock.Now()
	x.emit(Stop{Run: r.Run, Token: x.token, Within: x.callTimes.timeout(r.stopAt), Upstream: x.upstream})
}

// stopAgain repeats stops whose end has not been listed.
func (x *Executor) stopAgain(now time.Time) {
	due := func(r *run) bool { return r.phase == stopping && now.Sub(r.stopAt) >= stopAgain }
	for _, r := range x.runsThat(due) {
		x.stop(r)
	}
}

// expireWaiting refuses runs that have waited too long for room.
func (x *Executor) expireWaiting(now time.Time) {
	for _, r := range slices.Clone(x.waiting) {
		if now.After(r.expires) {
			x.refuse(r, messenger.RefusedNoRoom)
		}
	}
}
