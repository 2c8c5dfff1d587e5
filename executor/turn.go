package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// minTurn and maxTurn bound how long an entry may take to use the capacity that is
	// reported to it alone. The time covers the round trip, which differs between data
	// centres, and a busy entry.
	minTurn = 3 * time.Millisecond
	maxTurn = 12 * time.Millisecond
	// turnReactionFactor is the ratio of an entry's turn to its mean reaction time.
	turnReactionFactor = 1.5
	// reactionWeight is the weight of a new sample in the mean reaction time.
	reactionWeight = 0.25
	// turnExtension is how long a turn lasts after its entry has placed a run, for the
	// other runs that it places at the same time.
	turnExtension = time.Millisecond
)

// turnState is the state of the turns by which entries share scarce capacity. When
// several entries have waiting tasks, capacity that becomes free is reported to one of
// them at a time. If it were reported to all, the first would take it and the tasks of
// the others would be refused and have lost that time; and entries with many callers
// would get no more of it than those with few.
type turnState struct {
	// holder is the entry whose turn it is; nil when there is none.
	holder *entry
	until  time.Time
	// placed is whether the holder has placed a run in its turn.
	placed bool
	// contended is whether several entries have waiting tasks, and together more than
	// fit into the available capacity.
	contended bool
	// lastWeightedUse is the weighted use of the last holder when its turn began.
	lastWeightedUse float64
}

// updateBacklog records the backlog of an entry.
func (x *Executor) updateBacklog(e *entry, b messenger.Backlog) {
	if e.backlog.Tasks == 0 && b.Tasks > 0 {
		e.stateChanged = true
		e.waitingSince = x.clock.Now()
		// Capacity that the entry did not ask for before is not made up for.
		e.weightedUse = max(e.weightedUse, x.turn.lastWeightedUse)
	}
	e.backlog = b
}

// chargePlacements adds the tasks that an entry has placed to its weighted use, in
// proportion to its backlog.
func (x *Executor) chargePlacements(e *entry, placed int) {
	e.weightedUse += float64(placed) / float64(max(e.backlog.Tasks+placed, 1))
	if x.turn.holder == e {
		x.turn.placed = true
		x.turn.until = x.clock.Now().Add(turnExtension)
		x.emit(TickAfter{Delay: turnExtension})
	}
}

// updateTurn ends a turn that is over and begins the next one.
func (x *Executor) updateTurn(now time.Time) {
	t := &x.turn
	backfill := x.backfill(now).Resources
	available := x.sharedCapacity().Plus(backfill)
	t.contended = x.isContended(available, now)
	if !t.contended {
		t.holder = nil
		return
	}
	if t.holder != nil && now.Before(t.until) && x.hasTaskThatFits(t.holder, available, now) {
		return
	}
	switch {
	case t.holder == nil || t.placed || now.Before(t.until):
	case !backfill.IsZero():
		// The tasks of the holder may take too long for the capacity. The turn goes to
		// the next entry.
		x.chargeUnusedTurn(t.holder)
	default:
		// The holder has not used the capacity: it counts as having no backlog until it
		// reports one. Its tasks may still wait for other workers, so that it needs the
		// forecast.
		t.holder.backlog = messenger.Backlog{WantsForecast: t.holder.backlog.WantsForecast}
	}
	t.holder = nil
	for _, e := range x.sortedEntries {
		if x.hasTaskThatFits(e, available, now) && (t.holder == nil || e.weightedUse < t.holder.weightedUse) {
			t.holder = e
		}
	}
	if t.holder != nil {
		t.lastWeightedUse = t.holder.weightedUse
		duration := t.holder.turnDuration()
		t.until = now.Add(duration)
		t.placed = false
		t.holder.turnTimestamp = x.timestamp()
		x.emit(TickAfter{Delay: duration})
	}
}

// turnDuration returns how long a turn of the entry lasts.
func (e *entry) turnDuration() time.Duration {
	duration := time.Duration(turnReactionFactor * float64(e.meanReaction))
	return min(max(duration, minTurn), maxTurn)
}

// recordReaction records how long an entry took to use the capacity that was reported
// to it when its turn began. The echo is the timestamp of the last report that it had
// received. A placement that comes later than maxTurn was not prompted by the turn.
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

// isContended reports whether several entries have waiting tasks, and together more
// than fit into the available capacity.
func (x *Executor) isContended(available messenger.Resources, now time.Time) bool {
	n := 0
	var sum messenger.Resources
	for _, e := range x.sortedEntries {
		if x.hasWaitingTasks(e, now) {
			n++
			sum = sum.Plus(e.backlog.Total)
		}
	}
	return n > 1 && !sum.FitsIn(available)
}

// hasTaskThatFits reports whether an entry has a waiting task that fits into the
// available capacity.
func (x *Executor) hasTaskThatFits(e *entry, available messenger.Resources, now time.Time) bool {
	return x.hasWaitingTasks(e, now) && e.backlog.Min.FitsIn(available)
}

// hasWaitingTasks reports whether a connected entry that has not timed out has waiting
// tasks.
func (x *Executor) hasWaitingTasks(e *entry, now time.Time) bool {
	return e.linkOpen && e.backlog.Tasks > 0 && now.Sub(e.lastSeenAt) <= entryTimeout
}

// chargeUnusedTurn adds a turn that an entry has not used to its weighted use.
func (x *Executor) chargeUnusedTurn(e *entry) { e.weightedUse += 1 / float64(max(e.backlog.Tasks, 1)) }

// capacityToReport returns the free capacity that is reported to an entry.
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

// offerDiffers reports whether the capacity to report to an entry differs from that in
// its last report.
func (x *Executor) offerDiffers(e *entry, now time.Time) bool {
	return x.capacityToReport(e) != e.reportedFree || x.backfillFor(e, now).Resources != e.reportedBackfill
}

// backfillFor returns the capacity for backfill that is reported to an entry.
func (x *Executor) backfillFor(e *entry, now time.Time) messenger.Backfill {
	if x.outsideTurn(e) {
		return messenger.Backfill{}
	}
	return x.backfill(now)
}

// outsideTurn reports whether capacity is scarce and it is not the entry's turn.
func (x *Executor) outsideTurn(e *entry) bool { return x.turn.contended && x.turn.holder != e }
