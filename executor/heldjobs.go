package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// heldJobs is what an entry and the others have to know of each other's jobs.
type heldJobs struct {
	// jobs are those of the entry's last heartbeat, which came at.
	jobs       messenger.HeldJobs
	receivedAt time.Time
	// earlier are the jobs of earlier incarnations of the entry, whose runs may go
	// on.
	earlier []earlierJobs
	// sent is whether the entry has heard of the jobs that the others hold.
	sent bool
}

// earlierJobs are told of until a time.
type earlierJobs struct {
	jobs      []string
	expiresAt time.Time
}

// retire keeps the jobs of an earlier incarnation of an entry for a while.
func (h *heldJobs) retire() {
	if jobs := slices.Concat(h.jobs.Running, h.jobs.Yielding, h.jobs.Finished); len(jobs) > 0 {
		h.earlier = append(h.earlier, earlierJobs{jobs: jobs, expiresAt: h.receivedAt.Add(messenger.HeldJobsTTL)})
		h.jobs = messenger.HeldJobs{}
	}
}

// expire drops what is too old, and reports whether there was something.
func (h *heldJobs) expire(now time.Time) bool {
	n := len(h.earlier)
	h.earlier = slices.DeleteFunc(h.earlier, func(p earlierJobs) bool { return now.After(p.expiresAt) })
	forgotten := len(h.earlier) < n
	if now.Sub(h.receivedAt) > messenger.HeldJobsTTL && !equalHeld(h.jobs, messenger.HeldJobs{}) {
		h.jobs = messenger.HeldJobs{}
		forgotten = true
	}
	return forgotten
}

func equalHeld(a, b messenger.HeldJobs) bool {
	return slices.Equal(a.Running, b.Running) && slices.Equal(a.Yielding, b.Yielding) && slices.Equal(a.Finished, b.Finished)
}

// updateHeld takes in the jobs that an entry holds. The others hear of a change.
func (x *Executor) updateHeld(e *entry, jobs messenger.HeldJobs) {
	e.held.receivedAt = x.clock.Now()
	if !equalHeld(e.held.jobs, jobs) {
		e.held.jobs = jobs
		x.markHeldChanged(e)
	}
}

// markHeldChanged marks that the others have not heard of what an entry holds. They
// hear of it in the next heartbeat, which bounds what the lists cost.
func (x *Executor) markHeldChanged(e *entry) {
	for _, o := range x.sortedEntries {
		if o != e {
			o.held.sent = false
		}
	}
}

// expireHeld drops the jobs of entries that have sent no heartbeat for long.
func (x *Executor) expireHeld(now time.Time) {
	for _, e := range x.sortedEntries {
		if e.held.expire(now) {
			x.markHeldChanged(e)
		}
	}
}

// heldByOthers returns the jobs that the other entries hold.
func (x *Executor) heldByOthers(e *entry) messenger.HeldJobs {
	var out messenger.HeldJobs
	for _, o := range x.sortedEntries {
		if o == e {
			continue
		}
		out.Running = append(out.Running, o.held.jobs.Running...)
		out.Yielding = append(out.Yielding, o.held.jobs.Yielding...)
		out.Finished = append(out.Finished, o.held.jobs.Finished...)
		for _, p := range o.held.earlier {
			// Its callers have gone, and its runs are being stopped.
			out.Finished = append(out.Finished, p.jobs...)
		}
	}
	return out
}
