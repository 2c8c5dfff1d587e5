package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// held is what an entry and the others have to know of each other's jobs.
type held struct {
	// jobs are those of the entry's last heartbeat, which came at.
	jobs messenger.Held
	at   time.Time
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
	if jobs := slices.Concat(h.jobs.Jobs, h.jobs.Waits, h.jobs.Over); len(jobs) > 0 {
		h.past = append(h.past, pastJobs{jobs: jobs, until: h.at.Add(messenger.HeldFor)})
		h.jobs = messenger.Held{}
	}
}

// forget drops what is too old, and reports whether there was something.
func (h *held) forget(now time.Time) bool {
	n := len(h.past)
	h.past = slices.DeleteFunc(h.past, func(p pastJobs) bool { return now.After(p.until) })
	forgotten := len(h.past) < n
	if now.Sub(h.at) > messenger.HeldFor && !equalHeld(h.jobs, messenger.Held{}) {
		h.jobs = messenger.Held{}
		forgotten = true
	}
	return forgotten
}

func equalHeld(a, b messenger.Held) bool {
	return slices.Equal(a.Jobs, b.Jobs) && slices.Equal(a.Waits, b.Waits) && slices.Equal(a.Over, b.Over)
}

// holds takes in the jobs that an entry holds. The others hear of a change.
func (x *Executor) holds(e *entry, jobs messenger.Held) {
	e.held.at = x.clock.Now()
	if !equalHeld(e.held.jobs, jobs) {
		e.held.jobs = jobs
		x.heldChanged(e)
	}
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

// heldBeside returns the jobs that the other entries hold.
func (x *Executor) heldBeside(e *entry) messenger.Held {
	var out messenger.Held
	for _, o := range x.order {
		if o == e {
			continue
		}
		out.Jobs = append(out.Jobs, o.held.jobs.Jobs...)
		out.Waits = append(out.Waits, o.held.jobs.Waits...)
		out.Over = append(out.Over, o.held.jobs.Over...)
		for _, p := range o.held.past {
			// Its callers have gone, and its runs are being stopped.
			out.Over = append(out.Over, p.jobs...)
		}
	}
	return out
}
