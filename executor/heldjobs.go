package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// heldJobs are the jobs that an entry holds, as announced to the other entries.
type heldJobs struct {
	// jobs are those of the entry's last heartbeat, which was received at receivedAt.
	jobs       messenger.HeldJobs
	receivedAt time.Time
	// earlier are the jobs of earlier incarnations of the entry, whose runs may go on.
	earlier []earlierJobs
	// sent is whether the jobs that the other entries hold have been sent to the entry.
	sent bool
}

// earlierJobs are the jobs of one earlier incarnation. They are announced until they
// expire.
type earlierJobs struct {
	jobs      []string
	expiresAt time.Time
}

// retire moves the present jobs to the earlier ones when their entry has restarted.
func (h *heldJobs) retire() {
	if jobs := slices.Concat(h.jobs.Running, h.jobs.Yielding, h.jobs.Finished); len(jobs) > 0 {
		h.earlier = append(h.earlier, earlierJobs{jobs: jobs, expiresAt: h.receivedAt.Add(messenger.HeldJobsTTL)})
		h.jobs = messenger.HeldJobs{}
	}
}

// expire removes the jobs that have expired, and reports whether there were any.
func (h *heldJobs) expire(now time.Time) bool {
	n := len(h.earlier)
	h.earlier = slices.DeleteFunc(h.earlier, func(earlier earlierJobs) bool { return now.After(earlier.expiresAt) })
	expired := len(h.earlier) < n
	if now.Sub(h.receivedAt) > messenger.HeldJobsTTL && !equalHeld(h.jobs, messenger.HeldJobs{}) {
		h.jobs = messenger.HeldJobs{}
		expired = true
	}
	return expired
}

func equalHeld(a, b messenger.HeldJobs) bool {
	return slices.Equal(a.Running, b.Running) && slices.Equal(a.Yielding, b.Yielding) && slices.Equal(a.Finished, b.Finished)
}

// updateHeld records the jobs that an entry holds. A change is sent to the others.
func (x *Executor) updateHeld(e *entry, jobs messenger.HeldJobs) {
	e.held.receivedAt = x.clock.Now()
	if !equalHeld(e.held.jobs, jobs) {
		e.held.jobs = jobs
		x.markHeldChanged(e)
	}
}

// markHeldChanged marks that the jobs that an entry holds have to be sent to the
// others. They go out with the next heartbeat, which bounds the cost of the lists.
func (x *Executor) markHeldChanged(e *entry) {
	for _, o := range x.sortedEntries {
		if o != e {
			o.held.sent = false
		}
	}
}

// expireHeld removes the jobs of entries that have sent no heartbeat for longer than
// messenger.HeldJobsTTL.
func (x *Executor) expireHeld(now time.Time) {
	for _, e := range x.sortedEntries {
		if e.held.expire(now) {
			x.markHeldChanged(e)
		}
	}
}

// heldByOthers returns the jobs that the entries other than e hold.
func (x *Executor) heldByOthers(e *entry) messenger.HeldJobs {
	var out messenger.HeldJobs
	for _, o := range x.sortedEntries {
		if o == e {
			continue
		}
		out.Running = append(out.Running, o.held.jobs.Running...)
		out.Yielding = append(out.Yielding, o.held.jobs.Yielding...)
		out.Finished = append(out.Finished, o.held.jobs.Finished...)
		for _, earlier := range o.held.earlier {
			// The callers of an earlier incarnation are disconnected, and its runs are
			// being stopped.
			out.Finished = append(out.Finished, earlier.jobs...)
		}
	}
	return out
}
