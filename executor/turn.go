package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// minTurn and maxTurn bound how long an entry may take to use the room
	// that it alone has been told of. It covers the way there and back, which
	// differs between data centres, and a busy entry.
	minTurn = 3 * time.Millisecond
	maxTurn = 12 * time.Millisecond
	// turnReactionFactor is how much longer than its usual reaction an entry's turn is.
	turnReactionFactor = 1.5
	// reactionWeight is the weight of a new sample in the mean reaction time.
	reactionWeight = 0.25
	// turnExtension is how long a turn goes on after its entry has placed a run, for
	// the other runs of the same moment.
	turnExtension = time.Millisecond
)

// turnState share scarce room out. When several entries have tasks that wait, the
// room that falls free is told to one of them at a time. Told to all, it would
// be taken by the first and refused to the others, whose tasks would have lost
// the time; and entries with many callers would get no more of it than those
// with few.
type turnState struct {
	// holder is the entry whose turn it is; nil when there is none.
	holder *entry
	until  time.Time
	// placed is whether the holder has placed a run in its turn.
	placed bool
	// contended is whether several entries have tasks that wait, and more than
	// there is room for.
	contended bool
	// lastWeightedUse is the share of the last holder when its turn began.
	lastWeightedUse float64
}

// updateBacklog notes what waits at an entry.
func (x *Executor) updateBacklog(e *entry, w messenger.Backlog) {
	if e.backlog.Tasks == 0 && w.Tasks > 0 {
		e.stateChanged = true
		e.waitingSince = x.clock.Now()
		// What it did not ask for before is not made up for.
		e.weightedUse = max(e.weightedUse, x.turn.lastWeightedUse)
	}
	e.backlog = w
}

// chargePlacements counts the tasks that an entry has placed against its share, in
// proportion to what waits there.
func (x *Executor) chargePlacements(e *entry, placed int) {
	e.weightedUse += float64(placed) / float64(max(e.backlog.Tasks+placed, 1))
	if x.turn.holder == e {
		x.turn.placed = true
		x.turn.until = x.clock.Now().Add(turnExtension)
		x.emit(TickAfter{Delay: turnExtension})
	}
}

// updateTurn ends a turn that is over and gives the next one.
func (x *Executor) updateTurn(now time.Time) {
	t := &x.turn
	backfill := x.backfill(now).Resources
	room := x.sharedCapacity().Plus(backfill)
	t.contended = x.isContended(room, now)
	if !t.contended {
		t.holder = nil
		return
	}
	if t.holder != nil && now.Before(t.until) && x.hasTaskThatFits(t.holder, room, now) {
		return
	}
	switch {
	case t.holder == nil || t.placed || now.Before(t.until):
	case !backfill.IsZero():
		// What waits there may take too long for the room. The next one's turn comes.
		x.chargeUnusedTurn(t.holder)
	default:
		// It has not used what it was told of: it wants nothing until it says so. Its
		// tasks may still wait for other workers, so that it needs the forecast.
		t.holder.backlog = messenger.Backlog{WantsForecast: t.holder.backlog.WantsForecast}
	}
	t.holder = nil
	for _, e := range x.sortedEntries {
		if x.hasTaskThatFits(e, room, now) && (t.holder == nil || e.weightedUse < t.holder.weightedUse) {
			t.holder = e
		}
	}
	if t.holder != nil {
		t.lastWeightedUse = t.holder.weightedUse
		span := t.holder.turnDuration()
		t.until = now.Add(span)
		t.placed = false
		t.holder.turnTimestamp = x.timestamp()
		x.emit(TickAfter{Delay: span})
	}
}

// turnDuration returns how long a turn of the entry lasts.
func (e *entry) turnDuration() time.Duration {
	span := time.Duration(turnReactionFactor * float64(e.meanReaction))
	return min(max(span, minTurn), maxTurn)
}

// recordReaction notes how long an entry took to use the room that it was told of when
// its turn began. Echo is the stamp of the last report that it had seen. A placement
// that comes much later was not prompted by the turn.
func (x *Executor) recordReaction(e *entry, echo time.Duration) {
	if e.turnTimestamp == 0 || echo < e.turnTimestamp {
		return
	}
	took := x.timestamp() - e.turnTimestamp
	e.turnTimestamp = 0
	switch {
	case took > maxTurn:
	case e.meanReaction == 0:
		e.meanReaction = took
	default:
		e.meanReaction += time.Duration(reactionWeight * float64(took-e.meanReaction))
	}
}

// isContended reports whether several entries have tasks that wait, and more than
// there is room for.
func (x *Executor) isContended(room messenger.Resources, now time.Time) bool {
	n := 0
	var sum messenger.Resources
	for _, e := range x.sortedEntries {
		if x.hasWaitingTasks(e, now) {
			n++
			sum = sum.Plus(e.backlog.Total)
		}
	}
	return n > 1 && !sum.FitsIn(room)
}

// hasTaskThatFits reports whether an entry has a task that fits the room.
func (x *Executor) hasTaskThatFits(e *entry, room messenger.Resources, now time.Time) bool {
	return x.hasWaitingTasks(e, now) && e.backlog.Min.FitsIn(room)
}

// hasWaitingTasks reports whether an entry that is in touch has tasks that wait.
func (x *Executor) hasWaitingTasks(e *entry, now time.Time) bool {
	return e.linkOpen && e.backlog.Tasks > 0 && now.Sub(e.lastSeenAt) <= entryTimeout
}

// chargeUnusedTurn counts a turn that an entry has not used against its share.
func (x *Executor) chargeUnusedTurn(e *entry) { e.weightedUse += 1 / float64(max(e.backlog.Tasks, 1)) }

// capacityToReport returns the room that an entry is told of.
func (x *Executor) capacityToReport(e *entry) messenger.Resources {
	reserved := x.completeReservedCapacity(e)
	if x.outsideTurn(e) {
		return reserved
	}
	if reserved.IsZero() {
		return x.sharedCapacity()
	}
	return x.sharedCapacity().NonNegative().Plus(reserved)
}

// offerDiffers reports whether an entry was last told of other room than it is
// offered now.
func (x *Executor) offerDiffers(e *entry, now time.Time) bool {
	return x.capacityToReport(e) != e.reportedFree || x.backfillFor(e, now).Resources != e.reportedBackfill
}

// backfillFor returns the room for tasks that end soon that an entry is told of.
func (x *Executor) backfillFor(e *entry, now time.Time) messenger.Backfill {
	if x.outsideTurn(e) {
		return messenger.Backfill{}
	}
	return x.backfill(now)
}

// outsideTurn reports whether scarce room is told to others at present.
func (x *Executor) outsideTurn(e *entry) bool { return x.turn.contended && x.turn.holder != e }
