package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// turnLeast and turnMost bound how long an entry may take to use the room
	// that it alone has been told of. It covers the way there and back, which
	// differs between data centres, and a busy entry.
	turnLeast = 3 * time.Millisecond
	turnMost  = 12 * time.Millisecond
	// turnMargin is how much longer than its usual reaction an entry's turn is.
	turnMargin = 1.5
	// reactionWeight is the weight of a new sample in the mean reaction time.
	reactionWeight = 0.25
	// turnRest is how long a turn goes on after its entry has placed a run, for
	// the other runs of the same moment.
	turnRest = time.Millisecond
)

// turns share scarce room out. When several entries have tasks that wait, the
// room that falls free is told to one of them at a time. Told to all, it would
// be taken by the first and refused to the others, whose tasks would have lost
// the time; and entries with many callers would get no more of it than those
// with few.
type turns struct {
	// holder is the entry whose turn it is; nil when there is none.
	holder *entry
	until  time.Time
	// used is whether the holder has placed a run in its turn.
	used bool
	// contended is whether several entries have tasks that wait, and more than
	// there is room for.
	contended bool
	// level is the share of the last holder when its turn began.
	level float64
}

// wants notes what waits at an entry.
func (x *Executor) wants(e *entry, w messenger.Backlog) {
	if e.want.Tasks == 0 && w.Tasks > 0 {
		e.changed = true
		e.wantsSince = x.clock.Now()
		// What it did not ask for before is not made up for.
		e.share = max(e.share, x.turns.level)
	}
	e.want = w
}

// charge counts the tasks that an entry has placed against its share, in
// proportion to what waits there.
func (x *Executor) charge(e *entry, placed int) {
	e.share += float64(placed) / float64(max(e.want.Tasks+placed, 1))
	if x.turns.holder == e {
		x.turns.used = true
		x.turns.until = x.clock.Now().Add(turnRest)
		x.emit(Wake{After: turnRest})
	}
}

// nextTurn ends a turn that is over and gives the next one.
func (x *Executor) nextTurn(now time.Time) {
	t := &x.turns
	backfill := x.backfill(now).Resources
	room := x.sharedRoom().Plus(backfill)
	t.contended = x.contended(room, now)
	if !t.contended {
		t.holder = nil
		return
	}
	if t.holder != nil && now.Before(t.until) && x.canUse(t.holder, room, now) {
		return
	}
	switch {
	case t.holder == nil || t.used || now.Before(t.until):
	case !backfill.IsZero():
		// What waits there may take too long for the room. The next one's turn comes.
		x.passOver(t.holder)
	default:
		// It has not used what it was told of: it wants nothing until it says so. Its
		// tasks may still wait for other workers, so that it needs the forecast.
		t.holder.want = messenger.Backlog{WantsForecast: t.holder.want.WantsForecast}
	}
	t.holder = nil
	for _, e := range x.order {
		if x.canUse(e, room, now) && (t.holder == nil || e.share < t.holder.share) {
			t.holder = e
		}
	}
	if t.holder != nil {
		t.level = t.holder.share
		span := t.holder.turnSpan()
		t.until = now.Add(span)
		t.used = false
		t.holder.offered = x.stamp()
		x.emit(Wake{After: span})
	}
}

// turnSpan returns how long a turn of the entry lasts.
func (e *entry) turnSpan() time.Duration {
	span := time.Duration(turnMargin * float64(e.reaction))
	return min(max(span, turnLeast), turnMost)
}

// reacted notes how long an entry took to use the room that it was told of when
// its turn began. Echo is the stamp of the last report that it had seen. A placement
// that comes much later was not prompted by the turn.
func (x *Executor) reacted(e *entry, echo time.Duration) {
	if e.offered == 0 || echo < e.offered {
		return
	}
	took := x.stamp() - e.offered
	e.offered = 0
	switch {
	case took > turnMost:
	case e.reaction == 0:
		e.reaction = took
	default:
		e.reaction += time.Duration(reactionWeight * float64(took-e.reaction))
	}
}

// contended reports whether several entries have tasks that wait, and more than
// there is room for.
func (x *Executor) contended(room messenger.Resources, now time.Time) bool {
	n := 0
	var sum messenger.Resources
	for _, e := range x.order {
		if x.wanting(e, now) {
			n++
			sum = sum.Plus(e.want.Total)
		}
	}
	return n > 1 && !sum.FitsIn(room)
}

// canUse reports whether an entry has a task that fits the room.
func (x *Executor) canUse(e *entry, room messenger.Resources, now time.Time) bool {
	return x.wanting(e, now) && e.want.Min.FitsIn(room)
}

// wanting reports whether an entry that is in touch has tasks that wait.
func (x *Executor) wanting(e *entry, now time.Time) bool {
	return e.open && e.want.Tasks > 0 && now.Sub(e.heard) <= entryPatience
}

// passOver counts a turn that an entry has not used against its share.
func (x *Executor) passOver(e *entry) { e.share += 1 / float64(max(e.want.Tasks, 1)) }

// offer returns the room that an entry is told of.
func (x *Executor) offer(e *entry) messenger.Resources {
	reserved := x.reservedRoom(e)
	if x.awaitsTurn(e) {
		return reserved
	}
	if reserved.IsZero() {
		return x.sharedRoom()
	}
	return x.sharedRoom().NonNegative().Plus(reserved)
}

// offerChanged reports whether an entry was last told of other room than it is
// offered now.
func (x *Executor) offerChanged(e *entry, now time.Time) bool {
	return x.offer(e) != e.told || x.backfillFor(e, now).Resources != e.toldBackfill
}

// backfillFor returns the room for tasks that end soon that an entry is told of.
func (x *Executor) backfillFor(e *entry, now time.Time) messenger.Backfill {
	if x.awaitsTurn(e) {
		return messenger.Backfill{}
	}
	return x.backfill(now)
}

// awaitsTurn reports whether scarce room is told to others at present.
func (x *Executor) awaitsTurn(e *entry) bool { return x.turns.contended && x.turns.holder != e }
