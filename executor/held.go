package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// held is what an entry and the others have to know of each other's jobs.
type held struct {
	// heldJobs are those of the entry's last heartbeat, which came at.
	heldJobs
	at time.Time
	// past are the jobs of earlier incarnations of the entry, whose runs may go
	// on.
	past []pastJobs
	// told is whether the entry has heard of the jobs that the others hold.
	told bool
}

// heldJobs are an entry's jobs as a heartbeat names them.
type heldJobs struct{ jobs, waits, over []string }

func (h heldJobs) equal(o heldJobs) bool {
	return slices.Equal(h.jobs, o.jobs) && slices.Equal(h.waits, o.waits) && slices.Equal(h.over, o.over)
}

// pastJobs are told of until a time.
type pastJobs struct {
	jobs  []string
	until time.Time
}

// restart keeps the jobs of an earlier incarnation of an entry for a while.
func (h *held) restart() {
	if len(h.jobs) > 0 {
		h.past = append(h.past, pastJobs{jobs: h.jobs, until: h.at.Add(messenger.HeldFor)})
		h.heldJobs = heldJobs{}
	}
}

// forget drops what is too old, and reports whether there was something.
func (h *held) forget(now time.Time) bool {
	n := len(h.past)
	h.past = slices.DeleteFunc(h.past, func(p pastJobs) bool { return now.After(p.until) })
	forgotten := len(h.past) < n
	if len(h.jobs) > 0 && now.Sub(h.at) > messenger.HeldFor {
		h.heldJobs = heldJobs{}
		forgotten = true
	}
	return forgotten
}

// holds takes in the jobs that an entry holds. The others hear of a change.
func (x *Executor) holds(e *entry, b messenger.Beat) {
	e.held.at = x.clock.Now()
	now := heldJobs{jobs: b.Held, waits: b.Waits, over: b.Over}
	if e.held.equal(now) {
		return
	}
	e.held.heldJobs = now
	x.heldChanged(e)
}

// heldChanged marks that the others have not heard of what an entry holds. They
// hear of it in the next heartbeat, which bounds what the lists cost.
func (x *Executor) heldChanged(e *entry) {
	for _, o := range x.order {
		if o != e {
			o.held.told = false
		}
	}
}

// forgetHeld drops the jobs of entries that have sent no heartbeat for long.
func (x *Executor) forgetHeld(now time.Time) {
	for _, e := range x.order {
		if e.held.forget(now) {
			x.heldChanged(e)
		}
	}
}

// heldBeside lists the jobs that the other entries hold. An empty list is not nil,
// since that would be none on the wire.
func (x *Executor) heldBeside(e *entry) heldJobs {
	out := heldJobs{jobs: []string{}}
	for _, o := range x.order {
		if o == e {
			continue
		}
		out.jobs = append(out.jobs, o.held.jobs...)
		out.waits = append(out.waits, o.held.waits...)
		out.over = append(out.over, o.held.over...)
		for _, p := range o.held.past {
			// Its callers have gone, and its runs are being stopped.
			out.jobs = append(out.jobs, p.jobs...)
			out.over = append(out.over, p.jobs...)
		}
	}
	return out
}
