package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// outcome is the end of a run or its refusal; the other field is empty.
type outcome struct {
	number  uint64
	end     messenger.RunEnd
	refused messenger.Refusal
}

// outcomeQueue holds the outcomes that have to be reported to an entry. They are kept
// until the entry has acknowledged them, since a link that breaks loses what is in
// transit.
type outcomeQueue struct {
	// list holds the unacknowledged outcomes, by rising numbers.
	list []outcome
	// lastNumber is the number of the last outcome, and sentNumber that of the last one
	// sent on the present link.
	lastNumber, sentNumber uint64
}

// add appends an outcome and gives it the next number.
func (o *outcomeQueue) add(c outcome) {
	o.lastNumber++
	c.number = o.lastNumber
	o.list = append(o.list, c)
}

// contains reports whether an outcome of a run is still unacknowledged.
func (o *outcomeQueue) contains(r messenger.Run) bool {
	return slices.ContainsFunc(o.list, func(c outcome) bool { return c.end.Run == r || c.refused.Run == r })
}

// hasUnsent reports whether an outcome has not been sent on the present link.
func (o *outcomeQueue) hasUnsent() bool { return len(o.list) > 0 && o.sentNumber < o.lastNumber }

// acknowledge drops the outcomes up to number, unless number was not sent on the
// present link.
func (o *outcomeQueue) acknowledge(number uint64) {
	if number > o.sentNumber {
		return
	}
	o.list = slices.DeleteFunc(o.list, func(c outcome) bool { return c.number <= number })
}

// takeUnsent returns the outcomes that have not been sent on the present link, and the
// number of the last outcome. It marks them as sent.
func (o *outcomeQueue) takeUnsent() ([]messenger.RunEnd, []messenger.Refusal, uint64) {
	var ends []messenger.RunEnd
	var refusals []messenger.Refusal
	for _, c := range o.list {
		switch {
		case c.number <= o.sentNumber:
		case c.end.Reason != "":
			ends = append(ends, c.end)
		default:
			refusals = append(refusals, c.refused)
		}
	}
	o.sentNumber = o.lastNumber
	return ends, refusals, o.lastNumber
}

// queueOutcome queues an outcome for an entry, if the entry is known.
func (x *Executor) queueOutcome(name string, c outcome) {
	if e := x.entries[name]; e != nil {
		e.outcomes.add(c)
	}
}

// unclaimedEnd is the end of a run that no entry had claimed.
type unclaimedEnd struct {
	messenger.RunEnd
	at time.Time
}

// sortedUnclaimedEnds returns the ends of runs that no entry had claimed, ordered by
// task and number.
func (x *Executor) sortedUnclaimedEnds() []messenger.RunEnd {
	var out []messenger.RunEnd
	for _, e := range x.unclaimed {
		out = append(out, e.RunEnd)
	}
	slices.SortFunc(out, func(a, b messenger.RunEnd) int { return compareRuns(a.Run, b.Run) })
	return out
}

// expireUnclaimedEnds removes the ends that no entry has asked for within endRetention.
func (x *Executor) expireUnclaimedEnds(now time.Time) {
	for r, e := range x.unclaimed {
		if now.Sub(e.at) > endRetention {
			delete(x.unclaimed, r)
		}
	}
}
