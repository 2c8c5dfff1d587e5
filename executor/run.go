package executor

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// phase is the state of a run.
type phase int

const (
	waiting phase = iota
	// starting runs have been sent to the worker, which has not answered yet.
	starting
	// unconfirmed runs were sent and will not be answered: they may have started.
	unconfirmed
	running
	// stopping runs have been sent a stop; they still hold their capacity.
	stopping
	// detached runs are at a worker in whose place another one has announced itself.
	// They hold no capacity, and end with their leases unless the worker is found again.
	detached
)

// joinedPlacement is an entry's placement of a task that already has a run here.
type joinedPlacement struct {
	entry string
	run   messenger.Run
}

// run is one run of a task at this agent.
type run struct {
	messenger.Task
	// owner is the entry that the run belongs to. It is empty for an orphan, a run that
	// no entry has claimed: it was found at the worker, or its entry has restarted.
	owner string
	job   string
	queue string
	spec  string
	phase phase
	// worker is the incarnation of the worker that the run was sent to, or that last
	// listed it.
	worker messenger.Incarnation
	// lapsedBy is when a detached run has ended for certain.
	lapsedBy time.Time
	// joined are the other placements of the task, which get the outcome too.
	joined []joinedPlacement
	// alone means that the run is to be the only one at the worker. Its demand is all of
	// the worker's capacity.
	alone bool
	// demandUnknown means that the run was found at the worker, and no entry has told its
	// demand yet.
	demandUnknown bool
	// stopDeadline is when a run that has to end begins to keep leases from being
	// renewed; zero for other runs.
	stopDeadline time.Time
	// cancelled runs are stopped as soon as they are known to have started.
	cancelled bool
	// expiresAt is when a waiting run is refused, and when an orphan that was found at
	// the worker is cancelled.
	expiresAt time.Time
	// sentAt is when the start was last sent; token is the one that it carried.
	sentAt   time.Time
	token    uint64
	attempts int
	// startTimeUnknown is whether a start was unanswered, so that it is not known when
	// the run began.
	startTimeUnknown bool
	// startedAt is when the worker was first known, or taken, to have the run.
	startedAt time.Time
	// stopSentAt is when the stop was last sent.
	stopSentAt time.Time
	// percent is the progress of the run at the age progressAge.
	percent     int
	progressAge time.Duration
}

func (x *Executor) add(r *run) {
	x.runs[r.Run] = r
	x.byTask[r.Task.Task] = r
}

// remove deletes a run and frees its capacity.
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

// finish records the end of a run and queues its outcome for the owner and the joined
// placements.
func (x *Executor) finish(r *run, reason messenger.EndReason) {
	x.remove(r)
	x.recordRunEnd(r, reason)
	end := messenger.RunEnd{Run: r.Run, Reason: reason}
	if r.owner == "" {
		x.unclaimed[r.Run] = unclaimedEnd{RunEnd: end, at: x.clock.Now()}
	}
	x.queueOutcome(r.owner, outcome{end: end})
	for _, j := range r.joined {
		x.queueOutcome(j.entry, outcome{end: messenger.RunEnd{Run: j.run, Reason: reason}})
	}
	if reason != messenger.RunDone {
		// Runs that were done are covered by the entry's log line on the job.
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker.ID, What: "run ended", Why: string(reason), Age: x.clock.Since(r.sentAt)})
	}
}

// refuse records that a run has not started and will not start, and queues its refusal
// for the owner and the joined placements.
func (x *Executor) refuse(r *run, reason messenger.RefusalReason) {
	x.remove(r)
	x.reportRefusal(r.owner, r.Run, reason)
	for _, j := range r.joined {
		x.reportRefusal(j.entry, j.run, reason)
	}
}

// withdrawJoined removes the placement of an entry from the run that it had joined. It
// reports a refusal unless an outcome of the run is still unacknowledged: a run that is
// not known here has not started and will not start.
func (x *Executor) withdrawJoined(owner string, id messenger.Run) {
	if r := x.byTask[id.Task]; r != nil {
		r.joined = slices.DeleteFunc(r.joined, func(j joinedPlacement) bool { return j.entry == owner && j.run == id })
	}
	if e := x.entries[owner]; e != nil && x.runsKnown && !e.outcomes.contains(id) {
		x.reportRefusal(owner, id, messenger.RefusedWithdrawn)
	}
}

// reportRefusal queues the refusal of a run for an entry.
func (x *Executor) reportRefusal(owner string, r messenger.Run, reason messenger.RefusalReason) {
	x.queueOutcome(owner, outcome{refused: messenger.Refusal{Run: r, Reason: reason}})
	why := string(reason)
	if reason == messenger.RefusedEvacuated {
		why = fmt.Sprintf("%s at revision %d, told by %s", reason, x.evacuations.Revision, x.evacuations.source)
	}
	x.emit(Note{Run: r, Owner: owner, What: "run refused", Why: why})
}

// refuseWaiting refuses all waiting runs.
func (x *Executor) refuseWaiting(reason messenger.RefusalReason) {
	for _, r := range slices.Clone(x.waiting) {
		x.refuse(r, reason)
	}
}

// holdsCapacity reports whether a run holds capacity at the present worker.
func (r *run) holdsCapacity() bool { return r.phase != waiting && r.phase != detached }

// lapseRunsOf ends every run of a worker at whose address another one answers.
func (x *Executor) lapseRunsOf(worker string) {
	for _, r := range x.sortedRunsWhere(func(r *run) bool { return r.phase != waiting && r.worker.ID == worker }) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: worker, What: "run lost", Why: "another worker answers at its address"})
		x.lose(r)
	}
}

// detachAll treats every run as one that goes on at the previous worker until its lease
// has expired for certain.
func (x *Executor) detachAll(why string) {
	for _, r := range x.sortedRunsWhere((*run).holdsCapacity) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker.ID, What: "run detached", Why: why, Age: x.clock.Since(x.leaseRenewedAt)})
		x.used = x.used.Minus(r.Demand)
		r.phase = detached
		r.lapsedBy = latestLeaseExpiry(x.leaseRenewedAt)
	}
}

// reattach records that a detached run is still active at the present worker.
func (x *Executor) reattach(r *run) {
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: x.upstream.ID, What: "run found again"})
	x.used = x.used.Plus(r.Demand)
	r.worker = x.upstream.Incarnation()
	r.phase = unconfirmed
}

// markAllUnconfirmed treats every run as one that may or may not be at the worker,
// until a poll with a higher token shows which. A start that was in transit when the
// worker restarted under the same ID may have reached its new incarnation, or may have
// taken effect in the previous one.
func (x *Executor) markAllUnconfirmed(why string) {
	x.token++
	for _, r := range x.sortedRunsWhere((*run).holdsCapacity) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker.ID, What: "run in doubt", Why: why})
		r.phase = unconfirmed
		r.token = x.token
		if r.startedAt.IsZero() {
			r.startedAt = r.sentAt
		}
		x.poll.dueNow = true
	}
}

// lapseExpired ends the runs whose leases have expired for certain.
func (x *Executor) lapseExpired(now time.Time) {
	latestExpiry := latestLeaseExpiry(x.leaseRenewedAt)
	expired := func(r *run) bool {
		return (r.phase == detached && now.After(r.lapsedBy)) || (r.holdsCapacity() && now.After(latestExpiry))
	}
	for _, r := range x.sortedRunsWhere(expired) {
		x.lose(r)
	}
}

// markRunsKnownAfterLeases sets runsKnown once every lease that an earlier incarnation
// of the agent, or a poll of this one, has asked for has expired. It is then known
// which runs the worker has, even without an answer from it.
func (x *Executor) markRunsKnownAfterLeases(now time.Time) {
	if !x.runsKnown && now.After(latestLeaseExpiry(x.startedAt)) && now.After(latestLeaseExpiry(x.leaseRenewedAt)) {
		x.runsKnown = true
		x.markStateChanged()
	}
}

// sortedRuns returns all runs, ordered by task and number.
func (x *Executor) sortedRuns() []*run { return x.sortedRunsWhere(func(*run) bool { return true }) }

// sortedRunsWhere returns the runs that match, ordered by task and number.
func (x *Executor) sortedRunsWhere(matches func(r *run) bool) []*run {
	var out []*run
	for _, r := range x.runs {
		if matches(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return compareRuns(a.Run, b.Run) })
	return out
}
