// Package executor holds an agent's decisions on a worker that runs tasks
// under leases: what starts, what is stopped, and what is known to have ended.
// It does no input or output and reads time from a clock interface. It returns
// effects; the agent process carries them out.
package executor

import (
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
	entryPatience = messenger.IdleTimeout
	// echoCredit is how long after the stamp that it echoes an entry's word
	// counts as said at most, however late it is read.
	echoCredit = messenger.HeartbeatInterval
	// stopPatience is how long runs that must end may take to be stopped. Then
	// no lease is renewed until they are over.
	stopPatience = 100 * time.Millisecond
	// entryMemory is how long the ends of a lost entry's runs are kept for it.
	entryMemory = 10 * time.Second
	// orphanPatience is how long a run without an owner is kept for an entry
	// that may claim it. No lease is renewed meanwhile.
	orphanPatience = 150 * time.Millisecond
	// placeAge is the greatest age of a Place that is still carried out.
	placeAge = messenger.IdleTimeout
	// stopAgain is the time after which a stop is sent again.
	stopAgain = 100 * time.Millisecond
	// startTries bounds how often one run is sent to the worker.
	startTries = 3
	// roomInterval, times the number of entries, is the least time between two
	// reports of changed room to one entry. It bounds what an agent sends.
	roomInterval = 4 * time.Millisecond
	// calmInterval is the same for an entry at which nothing waits. It asks when
	// something does. One that has placed nothing for idleAfter hears of room with
	// its heartbeats alone.
	calmInterval = messenger.HeartbeatInterval / 2
	idleAfter    = 500 * time.Millisecond
	// beatEarly is the time after a heartbeat from which a report that is sent
	// anyhow serves as the next one.
	beatEarly = messenger.HeartbeatInterval / 2
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
	// prior is the worker whose place upstream has taken, until a look has shown
	// that upstream is there.
	prior messenger.Upstream
	// departed is whether the worker has said that it leaves for good. It gets
	// nothing new; what runs there is followed to its end.
	departed bool
	// leasedAt is when a call was last sent that may have lengthened the lease
	// of all that the worker runs.
	leasedAt time.Time
	// settled is whether it is known what runs: the worker has answered a look,
	// or the leases of an earlier incarnation of the agent are over.
	settled bool
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
	used    messenger.Resources

	// unclaimed keeps the ends of runs that no entry had claimed.
	unclaimed map[messenger.Run]unclaimedEnd

	entries map[string]*entry
	// order lists the entries by name.
	order []*entry
	look  look
	// paces and failures tell entries how sound the worker is.
	paces     paces
	failures  failures
	speeds    speeds
	callTimes callTimes
	turns     turns
	// reservation is the room that is kept for a large task.
	reservation reservation
	// released is whether a reservation has ended since waiting runs were looked at.
	released bool

	effects []Effect
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
		unclaimed: make(map[messenger.Run]unclaimedEnd),
	}
}

// Drain returns the effects since the last call.
func (x *Executor) Drain() []Effect {
	x.useReleased()
	x.tellChanged()
	out := x.effects
	x.effects = nil
	return out
}

func (x *Executor) emit(e Effect) { x.effects = append(x.effects, e) }

// stamp returns the agent's clock as it is written into messages.
func (x *Executor) stamp() time.Duration { return x.clock.Since(x.began) }

// SetLeaving begins a planned stop: nothing new is taken.
func (x *Executor) SetLeaving() {
	x.leaving = true
	x.endReservation("agent leaves")
	x.refuseWaiting(messenger.RefusedLeaving)
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
	x.lapseSure(now)
	x.settleByTime(now)
	x.forgetEnds(now)
	x.forgetHeld(now)
	x.nextLook()
	x.beat(now)
}

// free returns the room that nothing holds.
func (x *Executor) free() messenger.Resources { return x.upstream.Capacity.Minus(x.used) }

// unassignedRoom returns the room that nothing holds or waits for.
func (x *Executor) unassignedRoom() messenger.Resources {
	d := x.free()
	for _, r := range x.waiting {
		d = d.Minus(r.Demand)
	}
	return d
}
