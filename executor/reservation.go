package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// maxReserveTTL bounds how long room is kept for one reservation.
	maxReservation = time.Second
	// maxSmallTaskWait is how long smaller tasks may wait at an entry while room is
	// kept. When they wait for longer, room is short altogether, and each worker
	// that keeps some makes many of them late for one large task.
	maxSmallTaskWait = 50 * time.Millisecond
)

// reservation is room that is kept for one large task of an entry. Runs of other
// tasks start in it only if they are expected to end before it is complete. The
// zero value keeps nothing.
type reservation struct {
	// holder is the entry that asked for it; nil when nothing is kept.
	holder *entry
	// number is that of the entry's Reserve message.
	number uint64
	demand messenger.Resources
	// requestedAt is when the entry asked for the room, until when it is given back.
	requestedAt time.Time
	expiresAt   time.Time
	// completeBy is when the room is expected to be complete. It is moved to an earlier
	// time only, so that runs that take longer than expected do not let others
	// start in the room again and again.
	completeBy time.Time
	// completed is whether the room has been complete.
	completed bool
}

// active reports whether room is kept.
func (v *reservation) active() bool { return v.holder != nil }

// matches reports whether a run of an entry is one that the room is kept for.
func (v *reservation) matches(owner string, d messenger.Resources) bool {
	return v.active() && v.holder.name == owner && v.demand == d
}

// HandleReserve keeps room for a large task of an entry, unless room is kept already,
// or ends that.
func (x *Executor) HandleReserve(owner string, m messenger.Reserve) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	e.stateChanged = true
	if m.TTL <= 0 {
		if x.reservation.holder == e && x.reservation.number == m.Number {
			x.endReservation("given up by its entry")
		}
		return
	}
	now := x.clock.Now()
	span := min(m.TTL, maxReservation)
	x.expireReservation(now)
	due := x.expectedFreeAt(m.Demand, now)
	if why := x.whyNotReserve(m.Demand, due, now.Add(span)); why != "" {
		x.emit(Note{Owner: owner, Worker: x.upstream.ID, What: "reservation not kept", Why: why})
		return
	}
	x.reservation = reservation{
		holder: e, number: m.Number, demand: m.Demand,
		requestedAt: now, expiresAt: now.Add(span), completeBy: due,
	}
	x.emit(Note{
		Owner: owner, Worker: x.upstream.ID, What: "reservation kept",
		Why: fmt.Sprintf("%d thousandths of a core, complete in %s", m.Demand.CPU, due.Sub(now)),
	})
	x.emit(TickAfter{Delay: span})
	x.markCapacityChanged()
}

// whyNotReserve tells why no room is kept that is expected to be complete at due, or
// returns nothing.
func (x *Executor) whyNotReserve(d messenger.Resources, due, until time.Time) string {
	switch {
	case x.reservation.active():
		return "room is kept for " + x.reservation.holder.name
	case x.shuttingDown, x.departed, x.evacuated, x.upstream.Draining, x.upstream.Born == 0:
		return "nothing starts here"
	case !d.FitsIn(x.upstream.Capacity):
		return "larger than the worker"
	case due.After(until):
		return "expected too late"
	case x.smallerTasksLate(d, x.clock.Now()):
		return "smaller tasks wait"
	}
	return ""
}

// smallerTasksLate reports whether tasks smaller than d have waited for long at an entry.
func (x *Executor) smallerTasksLate(d messenger.Resources, now time.Time) bool {
	return slices.ContainsFunc(x.sortedEntries, func(e *entry) bool {
		return x.hasWaitingTasks(e, now) && !d.FitsIn(e.backlog.Min) && now.Sub(e.waitingSince) >= maxSmallTaskWait
	})
}

// endReservation gives the room that is kept back to all.
func (x *Executor) endReservation(why string) {
	v := x.reservation
	if !v.active() {
		return
	}
	x.reservation = reservation{}
	x.reservationEnded = true
	v.holder.stateChanged = true
	x.emit(Note{
		Owner: v.holder.name, Worker: x.upstream.ID, What: "reservation ended",
		Why: why, Age: x.clock.Since(v.requestedAt),
	})
	x.markCapacityChanged()
}

// endReservationOf gives the room back that is kept for an entry.
func (x *Executor) endReservationOf(e *entry, why string) {
	if x.reservation.active() && x.reservation.holder == e {
		x.endReservation(why)
	}
}

// startInReleased updates the reservation, and starts the waiting runs that have room
// since one has ended.
func (x *Executor) startInReleased() {
	x.updateReservation(x.clock.Now())
	if x.reservationEnded {
		x.startWaiting()
	}
}

// expireReservation ends the reservation whose time has passed, and reports
// whether there was one.
func (x *Executor) expireReservation(now time.Time) bool {
	if !x.reservation.active() || now.Before(x.reservation.expiresAt) {
		return false
	}
	x.endReservation("time passed")
	return true
}

// expectedFreeAt returns when room for d is expected to be free.
func (x *Executor) expectedFreeAt(d messenger.Resources, now time.Time) time.Time {
	room := x.freeCapacity()
	if d.FitsIn(room) {
		return now
	}
	type end struct {
		at     time.Time
		demand messenger.Resources
	}
	var ends []end
	for _, r := range x.runs {
		if r.holdsCapacity() {
			ends = append(ends, end{at: x.expectedEnd(r, now), demand: r.Demand})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	at := now
	for _, e := range ends {
		at = e.at
		if room = room.Plus(e.demand); d.FitsIn(room) {
			break
		}
	}
	return at
}

// updateReservation notes whether the room that is kept is complete, and when it
// is expected to be.
func (x *Executor) updateReservation(now time.Time) {
	v := &x.reservation
	if !v.active() || x.expireReservation(now) {
		return
	}
	if x.smallerTasksLate(v.demand, now) {
		x.endReservation("smaller tasks wait")
		return
	}
	if at := x.expectedFreeAt(v.demand, now); at.Before(v.completeBy) {
		v.completeBy = at
	}
	if !v.completed && v.demand.FitsIn(x.freeCapacity()) {
		v.completed = true
		x.emit(Note{Owner: v.holder.name, Worker: x.upstream.ID, What: "reservation complete", Age: now.Sub(v.requestedAt)})
	}
}

// ReservedCapacity returns the room that is kept for a reservation now.
func (x *Executor) ReservedCapacity() messenger.Resources {
	if !x.reservation.active() {
		return messenger.Resources{}
	}
	return x.reservation.demand.Min(x.freeCapacity()).NonNegative()
}

// sharedCapacity returns the room that is reported to all entries alike, which is
// without the room that is kept. It is negative while waiting runs need more than
// is free.
func (x *Executor) sharedCapacity() messenger.Resources {
	return x.uncommittedCapacity().Minus(x.ReservedCapacity())
}

// completeReservedCapacity returns the room that is reported to an entry beside the shared room:
// that of its reservation once it is complete.
func (x *Executor) completeReservedCapacity(e *entry) messenger.Resources {
	v := &x.reservation
	if v.holder != e || !v.active() || !v.demand.FitsIn(x.freeCapacity()) {
		return messenger.Resources{}
	}
	return v.demand
}

// completionUnreported reports whether an entry has not heard that the room kept for it is
// complete.
func (x *Executor) completionUnreported(e *entry) bool {
	v := &x.reservation
	return v.active() && v.holder == e && v.demand.FitsIn(x.freeCapacity()) && !v.demand.FitsIn(e.reportedFree)
}

// hasReservation returns the number of the reservation that is kept for an entry.
func (x *Executor) reservationNumber(e *entry) uint64 {
	if x.reservation.holder != e {
		return 0
	}
	return x.reservation.number
}

// backfill returns the room that is kept and that runs may use which end soon.
func (x *Executor) backfill(now time.Time) messenger.Backfill {
	v := &x.reservation
	if !v.active() || !now.Before(v.completeBy) {
		return messenger.Backfill{}
	}
	return messenger.Backfill{Resources: x.ReservedCapacity(), Window: v.completeBy.Sub(now)}
}

// mayStart reports whether a waiting run may start in room, which is all that is
// free.
func (x *Executor) mayStart(r *run, room messenger.Resources, now time.Time) bool {
	v := &x.reservation
	if !v.active() {
		return r.Demand.FitsIn(room)
	}
	return r.Demand.FitsIn(v.unreserved(room)) || (r.Demand.FitsIn(room) && v.endsBeforeComplete(r, now))
}

// unreserved returns what is left of free room without that which is kept.
func (v *reservation) unreserved(room messenger.Resources) messenger.Resources {
	return room.Minus(v.demand.Min(room).NonNegative())
}

// endsBeforeComplete reports whether a run that starts now is expected to end before the
// room is complete.
func (v *reservation) endsBeforeComplete(r *run, now time.Time) bool {
	return !now.Add(r.Estimate).After(v.completeBy)
}

// emitBackfillNote notes a run that starts in room that is kept.
func (x *Executor) emitBackfillNote(r *run, room messenger.Resources, now time.Time) {
	v := &x.reservation
	if v.active() && !r.Demand.FitsIn(v.unreserved(room)) {
		x.emit(Note{
			Run: r.Run, Owner: r.owner, Worker: x.upstream.ID, What: "run backfilled",
			Why: "ends before the kept room is complete", Age: v.completeBy.Sub(now),
		})
	}
}
