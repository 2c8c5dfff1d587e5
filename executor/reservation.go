package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// maxReservation bounds how long one reservation lasts.
	maxReservation = time.Second
	// maxSmallTaskWait is how long smaller tasks may wait at an entry while capacity is
	// reserved. When they wait longer, capacity is short altogether, and each worker
	// that reserves some makes many of them late for one large task.
	maxSmallTaskWait = 50 * time.Millisecond
)

// reservation is the capacity that is reserved for one large task of an entry. Runs of
// other tasks start in it only if they are expected to end before it is complete, that
// is, before all of it is free. The zero value reserves nothing.
type reservation struct {
	// holder is the entry that asked for it; nil when nothing is reserved.
	holder *entry
	// number is that of the entry's Reserve message.
	number uint64
	demand messenger.Resources
	// requestedAt is when the entry asked for the reservation, and expiresAt when it
	// ends at the latest.
	requestedAt time.Time
	expiresAt   time.Time
	// completeBy is when the reservation is expected to be complete. It is only ever
	// moved to an earlier time, so that runs that take longer than expected do not let
	// others start in the reserved capacity again and again.
	completeBy time.Time
	// completed is whether the reservation has been complete.
	completed bool
}

// active reports whether capacity is reserved.
func (v *reservation) active() bool { return v.holder != nil }

// matches reports whether the reservation is for a run of an owner with demand d.
func (v *reservation) matches(owner string, d messenger.Resources) bool {
	return v.active() && v.holder.name == owner && v.demand == d
}

// HandleReserve processes an entry's Reserve: it reserves capacity for a large task of
// the entry, unless some is reserved already, or ends the entry's reservation.
func (x *Executor) HandleReserve(owner string, m messenger.Reserve) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	e.stateChanged = true
	if m.TTL <= 0 {
		if x.reservation.holder == e && x.reservation.number == m.Number {
			x.endReservation("cancelled by its entry")
		}
		return
	}
	now := x.clock.Now()
	ttl := min(m.TTL, maxReservation)
	x.expireReservation(now)
	completeAt := x.expectedFreeAt(m.Demand, now)
	if why := x.whyNotReserve(m.Demand, completeAt, now.Add(ttl)); why != "" {
		x.emit(Note{Owner: owner, Worker: x.upstream.ID, What: "reservation not kept", Why: why})
		return
	}
	x.reservation = reservation{
		holder: e, number: m.Number, demand: m.Demand,
		requestedAt: now, expiresAt: now.Add(ttl), completeBy: completeAt,
	}
	x.emit(Note{
		Owner: owner, Worker: x.upstream.ID, What: "reservation kept",
		Why: fmt.Sprintf("%d millicores, expected to be complete in %s", m.Demand.CPU, completeAt.Sub(now)),
	})
	x.emit(TickAfter{Delay: ttl})
	x.markCapacityChanged()
}

// whyNotReserve returns the reason against a reservation that is expected to be
// complete at completeAt, or an empty string if there is none.
func (x *Executor) whyNotReserve(d messenger.Resources, completeAt, expiresAt time.Time) string {
	switch {
	case x.reservation.active():
		return "capacity is already reserved for " + x.reservation.holder.name
	case x.shuttingDown, x.departed, x.evacuated(), x.upstream.Draining, x.upstream.Born == 0:
		return "no new runs are admitted"
	case !d.FitsIn(x.upstream.Capacity):
		return "demand exceeds the worker's capacity"
	case completeAt.After(expiresAt):
		return "expected to be complete only after it expires"
	case x.smallerTasksLate(d, x.clock.Now()):
		return "smaller tasks have waited too long"
	}
	return ""
}

// smallerTasksLate reports whether tasks smaller than d have waited for at least
// maxSmallTaskWait at an entry.
func (x *Executor) smallerTasksLate(d messenger.Resources, now time.Time) bool {
	return slices.ContainsFunc(x.sortedEntries, func(e *entry) bool {
		return x.hasWaitingTasks(e, now) && !d.FitsIn(e.backlog.Min) && now.Sub(e.waitingSince) >= maxSmallTaskWait
	})
}

// endReservation ends the reservation, if there is one, so that its capacity is
// available to all entries.
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

// endReservationOf ends the reservation if an entry holds it.
func (x *Executor) endReservationOf(e *entry, why string) {
	if x.reservation.active() && x.reservation.holder == e {
		x.endReservation(why)
	}
}

// startInReleased updates the reservation, and if one has ended since startWaiting last
// ran, starts the waiting runs that now fit.
func (x *Executor) startInReleased() {
	x.updateReservation(x.clock.Now())
	if x.reservationEnded {
		x.startWaiting()
	}
}

// expireReservation ends the reservation if it has expired, and reports whether it has.
func (x *Executor) expireReservation(now time.Time) bool {
	if !x.reservation.active() || now.Before(x.reservation.expiresAt) {
		return false
	}
	x.endReservation("expired")
	return true
}

// expectedFreeAt returns when capacity for d is expected to be free.
func (x *Executor) expectedFreeAt(d messenger.Resources, now time.Time) time.Time {
	free := x.freeCapacity()
	if d.FitsIn(free) {
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
		if free = free.Plus(e.demand); d.FitsIn(free) {
			break
		}
	}
	return at
}

// updateReservation ends the reservation if it has expired or makes smaller tasks late.
// Otherwise it updates when the reservation is expected to be complete, and whether it
// has been.
func (x *Executor) updateReservation(now time.Time) {
	v := &x.reservation
	if !v.active() || x.expireReservation(now) {
		return
	}
	if x.smallerTasksLate(v.demand, now) {
		x.endReservation("smaller tasks have waited too long")
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

// ReservedCapacity returns the free capacity that is reserved at present.
func (x *Executor) ReservedCapacity() messenger.Resources {
	if !x.reservation.active() {
		return messenger.Resources{}
	}
	return x.reservation.demand.Min(x.freeCapacity()).NonNegative()
}

// sharedCapacity returns the capacity that is reported to all entries alike, which
// excludes the reserved capacity. It is negative while waiting runs need more than is
// free.
func (x *Executor) sharedCapacity() messenger.Resources {
	if x.capacityUnknown() {
		return messenger.Resources{}
	}
	return x.uncommittedCapacity().Minus(x.ReservedCapacity())
}

// completeReservedCapacity returns the capacity that is reported to an entry in
// addition to the shared capacity: that of its reservation while it is complete.
func (x *Executor) completeReservedCapacity(e *entry) messenger.Resources {
	v := &x.reservation
	if v.holder != e || !v.active() || !v.demand.FitsIn(x.freeCapacity()) {
		return messenger.Resources{}
	}
	return v.demand
}

// completionUnreported reports whether the reservation of an entry is complete and this
// has not been reported to it.
func (x *Executor) completionUnreported(e *entry) bool {
	v := &x.reservation
	return v.active() && v.holder == e && v.demand.FitsIn(x.freeCapacity()) && !v.demand.FitsIn(e.reportedFree)
}

// reservationNumber returns the number of an entry's reservation, or zero.
func (x *Executor) reservationNumber(e *entry) uint64 {
	if x.reservation.holder != e {
		return 0
	}
	return x.reservation.number
}

// backfill returns the reserved capacity that runs may use until the reservation is
// expected to be complete.
func (x *Executor) backfill(now time.Time) messenger.Backfill {
	v := &x.reservation
	if !v.active() || !now.Before(v.completeBy) {
		return messenger.Backfill{}
	}
	return messenger.Backfill{Resources: x.ReservedCapacity(), Window: v.completeBy.Sub(now)}
}

// mayStart reports whether a waiting run may start in the free capacity.
func (x *Executor) mayStart(r *run, free messenger.Resources, now time.Time) bool {
	v := &x.reservation
	if !v.active() {
		return r.Demand.FitsIn(free)
	}
	return r.Demand.FitsIn(v.unreserved(free)) || (r.Demand.FitsIn(free) && v.endsBeforeComplete(r, now))
}

// unreserved returns the free capacity without the reserved part.
func (v *reservation) unreserved(free messenger.Resources) messenger.Resources {
	return free.Minus(v.demand.Min(free).NonNegative())
}

// endsBeforeComplete reports whether a run that starts now is expected to end before
// the reservation is complete.
func (v *reservation) endsBeforeComplete(r *run, now time.Time) bool {
	return !now.Add(r.Estimate).After(v.completeBy)
}

// emitBackfillNote emits a note if a run that starts now uses reserved capacity.
func (x *Executor) emitBackfillNote(r *run, free messenger.Resources, now time.Time) {
	v := &x.reservation
	if v.active() && !r.Demand.FitsIn(v.unreserved(free)) {
		x.emit(Note{
			Run: r.Run, Owner: r.owner, Worker: x.upstream.ID, What: "run backfilled",
			Why: "expected to end before the reservation is complete", Age: v.completeBy.Sub(now),
		})
	}
}
