package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// maxReserveTTL bounds how long room is kept for one reservation.
	reserveMost = time.Second
	// smallPatience is how long smaller tasks may wait at an entry while room is
	// kept. When they wait for longer, room is short altogether, and each worker
	// that keeps some makes many of them late for one large task.
	smallPatience = 50 * time.Millisecond
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
	// asked is when the entry asked for the room, until when it is given back.
	asked time.Time
	until time.Time
	// due is when the room is expected to be complete. It is moved to an earlier
	// time only, so that runs that take longer than expected do not let others
	// start in the room again and again.
	due time.Time
	// ready is whether the room has been complete.
	ready bool
}

// held reports whether room is kept.
func (v *reservation) held() bool { return v.holder != nil }

// covers reports whether a run of an entry is one that the room is kept for.
func (v *reservation) covers(owner string, d messenger.Resources) bool {
	return v.held() && v.holder.name == owner && v.demand == d
}

// Reserve keeps room for a large task of an entry, unless room is kept already,
// or ends that.
func (x *Executor) Reserve(owner string, m messenger.Reserve) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	e.changed = true
	if m.TTL <= 0 {
		if x.reservation.holder == e && x.reservation.number == m.Number {
			x.endReservation("given up by its entry")
		}
		return
	}
	now := x.clock.Now()
	span := min(m.TTL, reserveMost)
	x.expireReservation(now)
	due := x.completeAt(m.Demand, now)
	if why := x.mayReserve(m.Demand, due, now.Add(span)); why != "" {
		x.emit(Note{Owner: owner, Worker: x.upstream.ID, What: "reservation not kept", Why: why})
		return
	}
	x.reservation = reservation{
		holder: e, number: m.Number, demand: m.Demand,
		asked: now, until: now.Add(span), due: due,
	}
	x.emit(Note{
		Owner: owner, Worker: x.upstream.ID, What: "reservation kept",
		Why: fmt.Sprintf("%d thousandths of a core, complete in %s", m.Demand.CPU, due.Sub(now)),
	})
	x.emit(Wake{After: span})
	x.changeRoom()
}

// mayReserve tells why no room is kept that is expected to be complete at due, or
// returns nothing.
func (x *Executor) mayReserve(d messenger.Resources, due, until time.Time) string {
	switch {
	case x.reservation.held():
		return "room is kept for " + x.reservation.holder.name
	case x.leaving, x.departed, x.evacuated, x.upstream.Draining, x.upstream.Born == 0:
		return "nothing starts here"
	case !d.FitsIn(x.upstream.Capacity):
		return "larger than the worker"
	case due.After(until):
		return "expected too late"
	case x.smallerWait(d, x.clock.Now()):
		return "smaller tasks wait"
	}
	return ""
}

// smallerWait reports whether tasks smaller than d have waited for long at an entry.
func (x *Executor) smallerWait(d messenger.Resources, now time.Time) bool {
	return slices.ContainsFunc(x.order, func(e *entry) bool {
		return x.wanting(e, now) && !d.FitsIn(e.want.Min) && now.Sub(e.wantsSince) >= smallPatience
	})
}

// endReservation gives the room that is kept back to all.
func (x *Executor) endReservation(why string) {
	v := x.reservation
	if !v.held() {
		return
	}
	x.reservation = reservation{}
	x.released = true
	v.holder.changed = true
	x.emit(Note{
		Owner: v.holder.name, Worker: x.upstream.ID, What: "reservation ended",
		Why: why, Age: x.clock.Since(v.asked),
	})
	x.changeRoom()
}

// endReservationOf gives the room back that is kept for an entry.
func (x *Executor) endReservationOf(e *entry, why string) {
	if x.reservation.held() && x.reservation.holder == e {
		x.endReservation(why)
	}
}

// useReleased updates the reservation, and starts the waiting runs that have room
// since one has ended.
func (x *Executor) useReleased() {
	x.reviewReservation(x.clock.Now())
	if x.released {
		x.pump()
	}
}

// expireReservation ends the reservation whose time has passed, and reports
// whether there was one.
func (x *Executor) expireReservation(now time.Time) bool {
	if !x.reservation.held() || now.Before(x.reservation.until) {
		return false
	}
	x.endReservation("time passed")
	return true
}

// completeAt returns when room for d is expected to be free.
func (x *Executor) completeAt(d messenger.Resources, now time.Time) time.Time {
	room := x.free()
	if d.FitsIn(room) {
		return now
	}
	type end struct {
		at     time.Time
		demand messenger.Resources
	}
	var ends []end
	for _, r := range x.runs {
		if r.here() {
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

// reviewReservation notes whether the room that is kept is complete, and when it
// is expected to be.
func (x *Executor) reviewReservation(now time.Time) {
	v := &x.reservation
	if !v.held() || x.expireReservation(now) {
		return
	}
	if x.smallerWait(v.demand, now) {
		x.endReservation("smaller tasks wait")
		return
	}
	if at := x.completeAt(v.demand, now); at.Before(v.due) {
		v.due = at
	}
	if !v.ready && v.demand.FitsIn(x.free()) {
		v.ready = true
		x.emit(Note{Owner: v.holder.name, Worker: x.upstream.ID, What: "reservation complete", Age: now.Sub(v.asked)})
	}
}

// Kept returns the room that is kept for a reservation now.
func (x *Executor) Kept() messenger.Resources {
	if !x.reservation.held() {
		return messenger.Resources{}
	}
	return x.reservation.demand.Min(x.free()).NonNegative()
}

// sharedRoom returns the room that is reported to all entries alike, which is
// without the room that is kept. It is negative while waiting runs need more than
// is free.
func (x *Executor) sharedRoom() messenger.Resources { return x.unassignedRoom().Minus(x.Kept()) }

// reservedRoom returns the room that is reported to an entry beside the shared room:
// that of its reservation once it is complete.
func (x *Executor) reservedRoom(e *entry) messenger.Resources {
	v := &x.reservation
	if v.holder != e || !v.held() || !v.demand.FitsIn(x.free()) {
		return messenger.Resources{}
	}
	return v.demand
}

// readyUnreported reports whether an entry has not heard that the room kept for it is
// complete.
func (x *Executor) readyUnreported(e *entry) bool {
	v := &x.reservation
	return v.held() && v.holder == e && v.demand.FitsIn(x.free()) && !v.demand.FitsIn(e.told)
}

// hasReservation returns the number of the reservation that is kept for an entry.
func (x *Executor) reservedFor(e *entry) uint64 {
	if x.reservation.holder != e {
		return 0
	}
	return x.reservation.number
}

// backfill returns the room that is kept and that runs may use which end soon.
func (x *Executor) backfill(now time.Time) messenger.Backfill {
	v := &x.reservation
	if !v.held() || !now.Before(v.due) {
		return messenger.Backfill{}
	}
	return messenger.Backfill{Resources: x.Kept(), Window: v.due.Sub(now)}
}

// mayStart reports whether a waiting run may start in room, which is all that is
// free.
func (x *Executor) mayStart(r *run, room messenger.Resources, now time.Time) bool {
	v := &x.reservation
	if !v.held() {
		return r.Demand.FitsIn(room)
	}
	return r.Demand.FitsIn(v.beside(room)) || (r.Demand.FitsIn(room) && v.endsBefore(r, now))
}

// beside returns what is left of free room without that which is kept.
func (v *reservation) beside(room messenger.Resources) messenger.Resources {
	return room.Minus(v.demand.Min(room).NonNegative())
}

// endsBefore reports whether a run that starts now is expected to end before the
// room is complete.
func (v *reservation) endsBefore(r *run, now time.Time) bool {
	return !now.Add(r.Estimate).After(v.due)
}

// noteBackfill notes a run that starts in room that is kept.
func (x *Executor) noteBackfill(r *run, room messenger.Resources, now time.Time) {
	v := &x.reservation
	if v.held() && !r.Demand.FitsIn(v.beside(room)) {
		x.emit(Note{
			Run: r.Run, Owner: r.owner, Worker: x.upstream.ID, What: "run backfilled",
			Why: "ends before the kept room is complete", Age: v.due.Sub(now),
		})
	}
}
