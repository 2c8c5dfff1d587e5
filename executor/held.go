package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// held is what an entry and the others have to know of each other's jobs.
type held struct {
	// jobs are those of the entry's last heartbeat, which came at.
	jobs messenger.HeldJobs
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
	if jobs := slices.Concat(h.jobs.Running, h.jobs.Yielding, h.jobs.Finished); len(jobs) > 0 {
		h.past = append(h.past, pastJobs{jobs: jobs, until: h.at.Add(messenger.HeldJobsTTL)})
		h.jobs = messenger.HeldJobs{}
	}
}

// forget drops what is too old, and reports whether there was something.
func (h *held) forget(now time.Time) bool {
	n := len(h.past)
	h.past = slices.DeleteFunc(h.past, func(p pastJobs) bool { return now.After(p.until) })
	forgotten := len(h.past) < n
	if now.Sub(h.at) > messenger.HeldJobsTTL && !equalHeld(h.jobs, messenger.HeldJobs{}) {
		h.jobs = messenger.HeldJobs{}
		forgotten = true
	}
	return forgotten
}

func equalHeld(a, b messenger.HeldJobs) bool {
	return slices.Equal(a.Running, b.Running) && slices.Equal(a.Yielding, b.Yielding) && slices.Equal(a.Finished, b.Finished)
}

// holds takes in the jobs that an entry holds. The others hear of a change.
func (x *Executor) holds(e *entry, jobs messenger.HeldJobs) {
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
func (x *Executor) heldBeside(e *entry) messenger.HeldJobs {
	var out messenger.HeldJobs
	for _, o := range x.order {
		if o == e {
			continue
		}
		out.Running = append(out.Running, o.held.jobs.Running...)
		out.Yielding = append(out.Yielding, o.held.jobs.Yielding...)
		out.Finished = append(out.Finished, o.held.jobs.Finished...)
		for _, p := range o.held.past {
			// Its callers have gone, and its runs are being stopped.
			out.Finished = append(out.Finished, p.jobs...)
		}
	}
	return out
}
