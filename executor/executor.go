// Package executor holds an agent's decisions on a worker that runs tasks
// under leases: what starts, what is stopped, and what is known to have ended.
// It does no input or output and reads time from a clock interface. It returns
// effects; the agent process carries them out.
package executor

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// Lease is how long the worker runs on without word from its agent.
	Lease = 600 * time.Millisecond
	// leaseDrift is the largest share by which the worker's clock is slow.
	leaseDrift = 0.02
	// leaseSlack covers the time that a call takes to arrive.
	leaseSlack = 30 * time.Millisecond
	// busyWait is how long a look at a worker with runs waits for an end. It
	// bounds the age of what is known of their progress.
	busyWait = 50 * time.Millisecond
	// idleWait is the same for a worker without runs.
	idleWait = 250 * time.Millisecond
	// retryPause is the pause after a look that failed. It doubles with
	// each further failure up to retryMost, since each opens a connection; a
	// heartbeat of the worker ends it.
	retryPause = 40 * time.Millisecond
	retryMost  = 640 * time.Millisecond
	// entryPatience is how long an entry may be silent before its runs are
	// stopped.
	entryPatience = messenger.SilenceLimit
	// entryMemory is how long the ends of a lost entry's runs are kept for it.
	entryMemory = 10 * time.Second
	// orphanPatience is how long a run without an owner is kept for an entry
	// that may claim it.
	orphanPatience = 400 * time.Millisecond
	// placeAge is the greatest age of a Place that is still carried out.
	placeAge = messenger.SilenceLimit
	// stopAgain is the time after which a stop is sent again.
	stopAgain = 100 * time.Millisecond
	// startTries bounds how often one run is sent to the worker.
	startTries = 3
	// roomInterval, times the number of entries, is the least time between two
	// reports of changed room to one entry. It bounds what an agent sends.
	roomInterval = 4 * time.Millisecond
	// tokenStep is the least step of the fencing token when the worker has
	// seen a higher one.
	tokenStep = 1_000_000
)

// Identity names an agent.
type Identity struct {
	Agent      string
	DataCentre string
	// Incarnation is when the agent started, in Unix milliseconds.
	Incarnation int64
	// Token is the first fencing token of this incarnation.
	Token uint64
}

// Config bounds what an executor does.
type Config struct {
	// DrainWithin is how long after an upstream's notice to leave a task may
	// still be started on it.
	DrainWithin time.Duration
}

// Executor decides for one worker.
type Executor struct {
	clock    clockwork.Clock
	began    time.Time
	identity Identity
	cfg      Config

	upstream messenger.Upstream
	// drainingSince is when the upstream first said that it leaves.
	drainingSince time.Time
	leaving       bool
	// directives is the revision of the newest directives heard; evacuated is
	// whether they evacuate the agent's data centre.
	directives int64
	evacuated  bool

	// token is sent with each call; calls with a lower one have no effect at
	// the worker once it has seen this one.
	token uint64
	// fenceStep is the next step of token when it is too low.
	fenceStep uint64

	runs    map[messenger.Run]*run
	byTask  map[string]*run
	waiting []*run
	used    messenger.Demand

	entries map[string]*entry
	// order lists the entries by name.
	order []*entry
	look  look
	// paces and failures tell entries how sound the worker is.
	paces    paces
	failures failures
	turns    turns

	effects []Effect
}

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
)

// run is one run of a task at this agent.
type run struct {
	messenger.Task
	// owner is empty for a run that was found at the worker and that no entry
	// has claimed.
	owner string
	job   string
	spec  string
	phase phase
	// worker is the id of the worker that the run was sent to.
	worker string
	// dropped runs are stopped as soon as it is known that they have started.
	dropped bool
	// expires is when a waiting run is refused.
	expires time.Time
	// sentAt is when the start was last sent; token is what it carried.
	sentAt time.Time
	token  uint64
	tries  int
	// begunAt is when the worker is first known to have it.
	begunAt time.Time
	// stopAt is when the stop was last sent.
	stopAt time.Time
	// percent is how far the run had come at age.
	percent int
	age     time.Duration
}

// NewExecutor returns an executor that knows no worker yet.
func NewExecutor(clock clockwork.Clock, identity Identity, cfg Config) *Executor {
	return &Executor{
		clock:     clock,
		began:     clock.Now(),
		identity:  identity,
		cfg:       cfg,
		token:     identity.Token,
		fenceStep: tokenStep,
		runs:      make(map[messenger.Run]*run),
		byTask:    make(map[string]*run),
		entries:   make(map[string]*entry),
	}
}

// Drain returns the effects since the last call.
func (x *Executor) Drain() []Effect {
	x.tellChanged()
	out := x.effects
	x.effects = nil
	return out
}

func (x *Executor) emit(e Effect) { x.effects = append(x.effects, e) }

// stamp returns the agent's clock as it is written into messages.
func (x *Executor) stamp() time.Duration { return x.clock.Since(x.began) }

// SetUpstream notes what the worker says of itself. Another incarnation runs
// nothing of what the last one ran.
func (x *Executor) SetUpstream(u messenger.Upstream) {
	if u.Born < x.upstream.Born {
		return
	}
	switch {
	case u.ID != x.upstream.ID:
		// Calls name the worker by its id, so none of ours can reach this one.
		x.lapseAll("another worker")
		x.forgetWorker()
	case u.Born != x.upstream.Born:
		x.forgetWorker()
		x.doubtAll("worker restarted")
	}
	if u.Draining && x.drainingSince.IsZero() {
		x.drainingSince = x.clock.Now()
	}
	x.upstream = u
	x.look.notBefore = time.Time{}
	x.upstreamChanged()
	x.nextLook()
}

// ClearUpstream notes that the worker has left.
func (x *Executor) ClearUpstream(id string) {
	if id != x.upstream.ID {
		return
	}
	x.lapseAll("worker left")
	x.withoutWorker()
}

// withoutWorker refuses what waits until another worker is known.
func (x *Executor) withoutWorker() {
	x.refuseWaiting(messenger.NoWorker)
	x.upstream = messenger.Upstream{ID: x.upstream.ID}
	x.forgetWorker()
	x.upstreamChanged()
}

// forgetWorker drops what was learned about one incarnation of the worker.
func (x *Executor) forgetWorker() {
	x.look.reset()
	x.paces = paces{}
	x.failures = failures{}
	x.drainingSince = time.Time{}
}

// Upstream returns what is known of the worker.
func (x *Executor) Upstream() messenger.Upstream { return x.upstream }

// SetLeaving begins a planned stop: nothing new is taken.
func (x *Executor) SetLeaving() {
	x.leaving = true
	x.refuseWaiting(messenger.Leaving)
	x.changed()
}

// Idle reports whether nothing runs or waits here.
func (x *Executor) Idle() bool { return len(x.runs) == 0 }

// Tick looks at what has come due.
func (x *Executor) Tick() {
	now := x.clock.Now()
	x.dropSilent(now)
	x.expireWaiting(now)
	x.stopAgain(now)
	if len(x.runs) > 0 && x.look.lapsed(now) {
		x.lapseSure(now)
	}
	x.nextLook()
	x.beat(now)
}

// free returns the room that nothing holds.
func (x *Executor) free() messenger.Demand { return x.upstream.Capacity.Minus(x.used) }

// spoken returns the room that nothing holds or waits for.
func (x *Executor) spoken() messenger.Demand {
	d := x.free()
	for _, r := range x.waiting {
		d = d.Minus(r.Demand)
	}
	return d
}

func (x *Executor) add(r *run) {
	x.runs[r.Run] = r
	x.byTask[r.Task.Task] = r
}

// remove forgets a run and frees its room.
func (x *Executor) remove(r *run) {
	if r.phase == waiting {
		x.waiting = slices.DeleteFunc(x.waiting, func(w *run) bool { return w == r })
	} else {
		x.used = x.used.Minus(r.Demand)
	}
	delete(x.runs, r.Run)
	if x.byTask[r.Task.Task] == r {
		delete(x.byTask, r.Task.Task)
	}
	x.changed()
}

// settle notes the end of a run.
func (x *Executor) settle(r *run, how messenger.How) {
	x.remove(r)
	x.judge(r, how)
	if e := x.entries[r.owner]; e != nil {
		e.ended = append(e.ended, messenger.End{Run: r.Run, How: how})
	}
	if how != messenger.Done {
		// The entry's line on the job covers runs that end well.
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run ended", Why: string(how), Age: x.clock.Since(r.sentAt)})
	}
}

// refuse notes that a run has not started and will not start.
func (x *Executor) refuse(r *run, why messenger.Reason) {
	x.remove(r)
	x.refused(r.owner, r.Run, why)
}

func (x *Executor) refused(owner string, r messenger.Run, why messenger.Reason) {
	if e := x.entries[owner]; e != nil {
		e.refused = append(e.refused, messenger.Refusal{Run: r, Reason: why})
	}
	x.emit(Note{Run: r, Owner: owner, What: "run refused", Why: string(why)})
}

func (x *Executor) refuseWaiting(why messenger.Reason) {
	for _, r := range slices.Clone(x.waiting) {
		x.refuse(r, why)
	}
}

// lapseAll ends every run that may be at the worker.
func (x *Executor) lapseAll(why string) {
	for _, r := range x.sorted() {
		if r.phase == waiting {
			continue
		}
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run lost", Why: why})
		x.settle(r, messenger.Lapsed)
	}
}

// doubtAll holds every run for one that may be at the worker or not, until a
// look under a higher token tells. A start that was on its way when the worker
// restarted under the same id may have reached its new incarnation.
func (x *Executor) doubtAll(why string) {
	x.token++
	for _, r := range x.sorted() {
		if r.phase == waiting {
			continue
		}
		x.emit(Note{Run: r.Run, Owner: r.owner, Worker: r.worker, What: "run in doubt", Why: why})
		r.phase = doubtful
		r.token = x.token
		x.look.urgent = true
	}
}

// lapseSure ends the runs whose leases have run out for certain.
func (x *Executor) lapseSure(now time.Time) {
	for _, r := range x.sorted() {
		if r.phase != waiting && now.After(leaseEnd(r.sentAt)) {
			x.settle(r, messenger.Lapsed)
		}
	}
}

// sorted returns the runs in a fixed order.
func (x *Executor) sorted() []*run {
	out := make([]*run, 0, len(x.runs))
	for _, r := range x.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return compareRuns(a.Run, b.Run) })
	return out
}
