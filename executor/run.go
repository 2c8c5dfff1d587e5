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
	// doubtful runs were sent and will not be answered: they may have started.
	doubtful
	running
	// stopping runs have been told to stop; their room is still held.
	stopping
	// detached runs are at a worker that has been said to be gone. They hold no
	// room, and end with their leases unless the worker turns up again.
	detached
)

// claimant is an entry's placement of a task that has a run here already.
type claimant struct {
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
	// over is when a detached run has ended for certain.
	over time.Time
	// joined are the other placements of the task that get the outcome.
	joined []claimant
	// mustEnd is when a run that has to end keeps leases from being renewed;
	// zero for others.
	mustEnd time.Time
	// dropped runs are stopped as soon as it is known that they have started.
	dropped bool
	// expires is when a waiting run is refused, and one that was found at the
	// worker dropped.
	expires time.Time
	// sentAt is when the start was last sent; token is what it carried.
	sentAt time.Time
	token  uint64
	tries  int
	// startUnsure means that a start was not answered, so that it is not known
	// when the run began.
	startUnsure bool
	// begunAt is when the worker is first known, or taken, to have it.
	begunAt time.Time
	// stopAt is when the stop was last sent.
	stopAt time.Time
	// percent is how far the run had come at age.
	percent int
	age     time.Duration
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
	case r.here():
		x.used = x.used.Minus(r.Demand)
	}
	delete(x.runs, r.Run)
	if x.byTask[r.Task.Task] == r {
		delete(x.byTask, r.Task.Task)
	}
	x.changeRoom()
}

// settle notes the end of a run.
func (x *Executor) settle(r *run, how messenger.EndReason) {
	x.remove(r)
	x.noteEvidence(r, how)
	end := messenger.RunEnd{Run: r.Run, Reason: how}
	if r.owner == "" {
		x.unclaimed[r.Run] = unclaimedEnd{RunEnd: end, at: x.clock.Now()}
	}
	x.keep(r.owner, outcome{end: end})
	for _, c := range r.joined {
		x.keep(c.entry, outcome{end: messenger.RunEnd{Run: c.run, Reason: how}})
	}
	if how != messenger.RunDone {
		// The entry's line on the job covers runs that end well.
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run ended", Why: string(how), Age: x.clock.Since(r.sentAt)})
	}
}

// refuse notes that a run has not started and will not start.
func (x *Executor) refuse(r *run, why messenger.RefusalReason) {
	x.remove(r)
	x.refused(r.owner, r.Run, why)
	for _, c := range r.joined {
		x.refused(c.entry, c.run, why)
	}
}

// leave takes the placement of an entry off the run that it had joined. One that
// is not known here has not started and will not start.
func (x *Executor) leave(owner string, id messenger.Run) {
	if r := x.byTask[id.Task]; r != nil {
		r.joined = slices.DeleteFunc(r.joined, func(c claimant) bool { return c.entry == owner && c.run == id })
	}
	if e := x.entries[owner]; e != nil && x.settled && !e.outcomes.holds(id) {
		x.refused(owner, id, messenger.RefusedWithdrawn)
	}
}

func (x *Executor) refused(owner string, r messenger.Run, why messenger.RefusalReason) {
	x.keep(owner, outcome{refused: messenger.Refusal{Run: r, Reason: why}})
	x.emit(Note{Run: r, Owner: owner, What: "run refused", Why: string(why)})
}

func (x *Executor) refuseWaiting(why messenger.RefusalReason) {
	for _, r := range slices.Clone(x.waiting) {
		x.refuse(r, why)
	}
}

// here reports whether a run holds room at the present worker.
func (r *run) here() bool { return r.phase != waiting && r.phase != detached }

// lapseAt ends every run of a worker that is certainly gone.
func (x *Executor) lapseAt(worker string) {
	for _, r := range x.runsThat(func(r *run) bool { return r.phase != waiting && r.worker == worker }) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: worker, What: "run lost", Why: "another worker answers at its address"})
		x.settle(r, messenger.RunLapsed)
	}
}

// detachAll holds every run for one that goes on at the last worker until its
// lease is over for certain.
func (x *Executor) detachAll(why string) {
	for _, r := range x.runsThat((*run).here) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run detached", Why: why, Age: x.clock.Since(x.leasedAt)})
		x.used = x.used.Minus(r.Demand)
		r.phase = detached
		r.over = leaseEnd(x.leasedAt)
	}
}

// attach notes that a detached run goes on at the present worker.
func (x *Executor) attach(r *run) {
	x.emit(Note{Run: r.Run, Owner: r.owner, Worker: x.upstream.ID, What: "run found again"})
	x.used = x.used.Plus(r.Demand)
	r.worker = x.upstream.ID
	r.phase = doubtful
}

// doubtAll holds every run for one that may be at the worker or not, until a
// look under a higher token tells. A start that was on its way when the worker
// restarted under the same id may have reached its new incarnation, or have begun
// in the last one.
func (x *Executor) doubtAll(why string) {
	x.token++
	for _, r := range x.runsThat((*run).here) {
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run in doubt", Why: why})
		r.phase = doubtful
		r.token = x.token
		if r.begunAt.IsZero() {
			r.begunAt = r.sentAt
		}
		x.look.urgent = true
	}
}

// lapseSure ends the runs whose leases have run out for certain.
func (x *Executor) lapseSure(now time.Time) {
	renewed := leaseEnd(x.leasedAt)
	over := func(r *run) bool {
		return (r.phase == detached && now.After(r.over)) || (r.here() && now.After(renewed))
	}
	for _, r := range x.runsThat(over) {
		x.settle(r, messenger.RunLapsed)
	}
}

// settleByTime notes that every lease that an earlier incarnation of the agent,
// or a look of this one, has asked for is over: what runs is known then, also
// without an answer of the worker.
func (x *Executor) settleByTime(now time.Time) {
	if !x.settled && now.After(leaseEnd(x.began)) && now.After(leaseEnd(x.leasedAt)) {
		x.settled = true
		x.changed()
	}
}

// sorted returns the runs in a fixed order.
func (x *Executor) sorted() []*run { return x.runsThat(func(*run) bool { return true }) }

// runsThat returns the runs of which suits is true, in a fixed order.
func (x *Executor) runsThat(suits func(r *run) bool) []*run {
	var out []*run
	for _, r := range x.runs {
		if suits(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return compareRuns(a.Run, b.Run) })
	return out
}
