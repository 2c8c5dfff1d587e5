package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// outcome is the end of a run, or its refusal; the other is empty.
type outcome struct {
	number  uint64
	end     messenger.RunEnd
	refused messenger.Refusal
}

// outcomes are what an entry has to hear of its runs. They are kept until the
// entry says that it has taken them in, since a link that breaks loses what is
// on its way.
type outcomes struct {
	// list holds what has not been acknowledged, by rising numbers.
	list []outcome
	// last is the number of the last outcome; told that of the last one sent on
	// the present link.
	last, told uint64
}

// note adds an outcome.
func (o *outcomes) note(c outcome) {
	o.last++
	c.number = o.last
	o.list = append(o.list, c)
}

// holds reports whether the outcome of a run has not been acknowledged yet.
func (o *outcomes) holds(r messenger.Run) bool {
	return slices.ContainsFunc(o.list, func(c outcome) bool { return c.end.Run == r || c.refused.Run == r })
}

// waiting reports whether there is something to tell.
func (o *outcomes) waiting() bool { return len(o.list) > 0 && o.told < o.last }

// heard drops what the entry has taken in on the present link.
func (o *outcomes) heard(number uint64) {
	if number > o.told {
		return
	}
	o.list = slices.DeleteFunc(o.list, func(c outcome) bool { return c.number <= number })
}

// tell returns what has not been told on the present link, and the number of
// the last outcome.
func (o *outcomes) tell() ([]messenger.RunEnd, []messenger.Refusal, uint64) {
	var ends []messenger.RunEnd
	var refusals []messenger.Refusal
	for _, c := range o.list {
		switch {
		case c.number <= o.told:
		case c.end.Reason != "":
			ends = append(ends, c.end)
		default:
			refusals = append(refusals, c.refused)
		}
	}
	o.told = o.last
	return ends, refusals, o.last
}

// keep has an entry, if it is known, hear of an outcome.
func (x *Executor) keep(name string, c outcome) {
	if e := x.entries[name]; e != nil {
		e.outcomes.note(c)
	}
}

// unclaimedEnd is the end of a run that no entry had claimed.
type unclaimedEnd struct {
	messenger.RunEnd
	at time.Time
}

// unclaimedEnds returns the ends of runs that no entry had claimed, in a fixed
// order.
func (x *Executor) unclaimedEnds() []messenger.RunEnd {
	var out []messenger.RunEnd
	for _, e := range x.unclaimed {
		out = append(out, e.RunEnd)
	}
	slices.SortFunc(out, func(a, b messenger.RunEnd) int { return compareRuns(a.Run, b.Run) })
	return out
}

// forgetEnds drops the ends that no entry has asked for in time.
func (x *Executor) forgetEnds(now time.Time) {
	for r, e := range x.unclaimed {
		if now.Sub(e.at) > entryMemory {
			delete(x.unclaimed, r)
		}
	}
}
