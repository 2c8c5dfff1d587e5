package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// phase is where a run stands.
type phase int

const (
	waiting phase = iota
	// starting runs have been sent and not answered.
	starting
	// unconfirmed runs were sent and will not be answered: they may have started.
	unconfirmed
	running
	// stopping runs have been told to stop; their room is still held.
	stopping
	// detached runs are at a worker that has been said to be gone. They hold no
	// room, and end with their leases unless the worker turns up again.
	detached
)

// joinedPlacement is an entry's placement of a task that has a run here already.
type joinedPlacement struct {
	entry string
	run   messenger.Run
}

// run is one run of a task at this agent.
type run struct {
	messenger.Task
	// owner is empty for a run that no entry has claimed: it was found at the
	// worker, or its entry has restarted.
	owner string
	job   string
	spec  string
	phase phase
	// worker is the id of the worker that the run was sent to.
	worker string
	// lapsedBy is when a detached run has ended for certain.
	lapsedBy time.Time
	// joined are the other placements of the task that get the outcome.
	joined []joinedPlacement
	// stopDeadline is when a run that has to end keeps leases from being renewed;
	// zero for others.
	stopDeadline time.Time
	// cancelled runs are stopped as soon as it is known that they have started.
	cancelled bool
	// expiresAt is when a waiting run is refused, and one that was found at the
	// worker dropped.
	expiresAt time.Time
	// sentAt is when the start was last sent; token is what it carried.
	sentAt   time.Time
	token    uint64
	attempts int
	// startTimeUnknown means that a start was not answered, so that it is not known
	// when the run began.
	startTimeUnknown bool
	// startedAt is when the worker is first known, or taken, to have it.
	startedAt time.Time
	// stopSentAt is when the stop was last sent.
	stopSentAt time.Time
	// percent is how far the run had come at age.
	percent     int
	progressAge time.Duration
}

func (x *Executor) add(r *run) {
	x.runs[r.Run] = r
	x.byTask[r.Task.Task] = r
}

// remove forgets a run and frees its room.
func (x *Executor) remove(r *run) {
	switch {
	case r.phase == waiting:
		x.waiting = slices.DeleteFunc(x.waiting, func(w *run) bool { return w == r })
	case r.holdsCapacity():
		x.used = x.used.Minus(r.Demand)
	}
	delete(x.runs, r.Run)
	if x.byTask[r.Task.Task] == r {
		delete(x.byTask, r.Task.Task)
	}
	x.markCapacityChanged()
}

// finish notes the end of a run.
func (x *Executor) finish(r *run, how messenger.EndReason) {
	x.remove(r)
	x.recordRunEnd(r, how)
	end := messenger.RunEnd{Run: r.Run, Reason: how}
	if r.owner == "" {
		x.unclaimed[r.Run] = unclaimedEnd{RunEnd: end, at: x.clock.Now()}
	}
	x.queueOutcome(r.owner, outcome{end: end})
	for _, c := range r.joined {
		x.queueOutcome(c.entry, outcome{end: messenger.RunEnd{Run: c.run, Reason: how}})
	}
	if how != messenger.RunDone {
		// The entry's line on the job covers runs that end well.
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run ended", Why: string(how), Age: x.clock.Since(r.sentAt)})
	}
}

// refuse notes that a run has not started and will not start.
func (x *Executor) refuse(r *run, why messenger.RefusalReason) {
	x.remove(r)
	x.reportRefusal(r.owner, r.Run, why)
	for _, c := range r.joined {
		x.reportRefusal(c.entry, c.run, why)
	}
}

// withdrawJoined takes the placement of an entry off the run that it had joined. One that
// is not known here has not started and will not start.
func (x *Executor) withdrawJoined(owner string, id messenger.Run) {
	if r := x.byTask[id.Task]; r != nil {
		r.joined = slices.DeleteFunc(r.joined, func(c joinedPlacement) bool { return c.entry == owner && c.run == id })
	}
	if e := x.entries[owner]; e != nil && x.runsKnown && !e.outcomes.contains(id) {
		x.reportRefusal(owner, id, messenger.RefusedWithdrawn)
	}
}

func (x *Executor) reportRefusal(owner string, r messenger.Run, why messenger.RefusalReason) {
	x.queueOutcome(owner, outcome{refused: messenger.Refusal{Run: r, Reason: why}})
	x.emit(Note{Run: r, Owner: owner, What: "run refused", Why: string(why)})
}

func (x *Executor) refuseWaiting(why messenger.RefusalReason) {
	for _, r := range slices.Clone(x.waiting) {
		x.refuse(r, why)
	}
}

// holdsCapacity reports whether a run holds room at the present worker.
func (r *run) holdsCapacity() bool { return r.phase != waiting && r.phase != detached }

// lapseRunsOf ends every run of a worker that is certainly gone.
func (x *Executor) lapseRunsOf(worker string) {
	for _, r := range x.sortedRunsWhere(func(r *run) bool { return r.phase != waiting && r.worker == worker }) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: worker, What: "run lost", Why: "another worker answers at its address"})
		x.finish(r, messenger.RunLapsed)
	}
}

// detachAll holds every run for one that goes on at the last worker until its
// lease is over for certain.
func (x *Executor) detachAll(why string) {
	for _, r := range x.sortedRunsWhere((*run).holdsCapacity) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run detached", Why: why, Age: x.clock.Since(x.leaseRenewedAt)})
		x.used = x.used.Minus(r.Demand)
		r.phase = detached
		r.lapsedBy = latestLeaseExpiry(x.leaseRenewedAt)
	}
}

// reattach notes that a detached run goes on at the present worker.
func (x *Executor) reattach(r *run) {
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: x.upstream.ID, What: "run found again"})
	x.used = x.used.Plus(r.Demand)
	r.worker = x.upstream.ID
	r.phase = unconfirmed
}

// markAllUnconfirmed holds every run for one that may be at the worker or not, until a
// look under a higher token tells. A start that was on its way when the worker
// restarted under the same id may have reached its new incarnation, or have begun
// in the last one.
func (x *Executor) markAllUnconfirmed(why string) {
	x.token++
	for _, r := range x.sortedRunsWhere((*run).holdsCapacity) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run in doubt", Why: why})
		r.phase = unconfirmed
		r.token = x.token
		if r.startedAt.IsZero() {
			r.startedAt = r.sentAt
		}
		x.poll.dueNow = true
	}
}

// lapseExpired ends the runs whose leases have run out for certain.
func (x *Executor) lapseExpired(now time.Time) {
	renewed := latestLeaseExpiry(x.leaseRenewedAt)
	over := func(r *run) bool {
		return (r.phase == detached && now.After(r.lapsedBy)) || (r.holdsCapacity() && now.After(renewed))
	}
	for _, r := range x.sortedRunsWhere(over) {
		x.finish(r, messenger.RunLapsed)
	}
}

// markRunsKnownAfterLeases notes that every lease that an earlier incarnation of the agent,
// or a look of this one, has asked for is over: what runs is known then, also
// without an answer of the worker.
func (x *Executor) markRunsKnownAfterLeases(now time.Time) {
	if !x.runsKnown && now.After(latestLeaseExpiry(x.startedAt)) && now.After(latestLeaseExpiry(x.leaseRenewedAt)) {
		x.runsKnown = true
		x.markStateChanged()
	}
}

// sortedRuns returns the runs in a fixed order.
func (x *Executor) sortedRuns() []*run { return x.sortedRunsWhere(func(*run) bool { return true }) }

// sortedRunsWhere returns the runs of which suits is true, in a fixed order.
func (x *Executor) sortedRunsWhere(suits func(r *run) bool) []*run {
	var out []*run
	for _, r := range x.runs {
		if suits(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return compareRuns(a.Run, b.Run) })
	return out
}
