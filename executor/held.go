package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// held is what an entry and the others have to know of each other's jobs.
type held struct {
	// jobs and waits are those of the entry's last heartbeat, which came at.
	jobs, waits []string
	at          time.Time
	// past are the jobs of earlier incarnations of the entry, whose runs may go
	// on.
	past []pastJobs
	// told is whether the entry has heard of the jobs that the others hold.
	told bool
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
		h.jobs, h.waits = nil, nil
	}
}

// forget drops what is too old, and reports whether there was something.
func (h *held) forget(now time.Time) bool {
	n := len(h.past)
	h.past = slices.DeleteFunc(h.past, func(p pastJobs) bool { return now.After(p.until) })
	forgotten := len(h.past) < n
	if len(h.jobs) > 0 && now.Sub(h.at) > messenger.HeldFor {
		h.jobs, h.waits = nil, nil
		forgotten = true
	}
	return forgotten
}

// all lists the jobs that the entry holds or held shortly before it restarted.
func (h *held) all() []string {
	out := slices.Clone(h.jobs)
	for _, p := range h.past {
		out = append(out, p.jobs...)
	}
	return out
}

// holds takes in the jobs that an entry holds. The others hear of a change.
func (x *Executor) holds(e *entry, b messenger.Beat) {
	e.held.at = x.clock.Now()
	if slices.Equal(e.held.jobs, b.Held) && slices.Equal(e.held.waits, b.Waits) {
		return
	}
	e.held.jobs, e.held.waits = b.Held, b.Waits
	x.heldChanged(e)
}

// heldChanged marks that the others have not heard of what an entry holds.
func (x *Executor) heldChanged(e *entry) {
	for _, o := range x.order {
		if o != e {
			o.held.told = false
			o.changed = true
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

// heldBeside lists the jobs that the other entries hold, and those of them that
// wait. An empty first list is not nil, since that would be none on the wire.
func (x *Executor) heldBeside(e *entry) (jobs, waits []string) {
	jobs = []string{}
	for _, o := range x.order {
		if o != e {
			jobs = append(jobs, o.held.all()...)
			waits = append(waits, o.held.waits...)
		}
	}
	return jobs, waits
}
