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
	// LeaseDuration is how long the worker runs on without word from its agent.
	LeaseDuration = 600 * time.Millisecond
	// leaseClockDrift is the largest share by which the worker's clock is slow.
	leaseClockDrift = 0.02
	// leaseTransitMargin covers the time that a call takes to arrive.
	leaseTransitMargin = 30 * time.Millisecond
	// busyPollWait is how long a look at a worker with runs waits for an end. It
	// bounds the age of what is known of their progress.
	busyPollWait = 50 * time.Millisecond
	// idlePollWait is the same for a worker without runs.
	idlePollWait = 250 * time.Millisecond
	// minPollRetryDelay is the pause after a look that failed. It doubles with
	// each further failure up to maxPollRetryDelay, since each opens a connection; a
	// heartbeat of the worker ends it.
	minPollRetryDelay = 40 * time.Millisecond
	maxPollRetryDelay = 640 * time.Millisecond
	// entryTimeout is how long an entry may be silent before its runs are
	// stopped.
	entryTimeout = messenger.IdleTimeout
	// echoTolerance is how long after the stamp that it echoes an entry's word
	// counts as said at most, however late it is read.
	echoTolerance = messenger.HeartbeatInterval
	// stopTimeout is how long runs that must end may take to be stopped. Then
	// no lease is renewed until they are over.
	stopTimeout = 100 * time.Millisecond
	// endRetention is how long the ends of a lost entry's runs are kept for it.
	endRetention = 10 * time.Second
	// orphanTimeout is how long a run without an owner is kept for an entry
	// that may claim it. No lease is renewed meanwhile.
	orphanTimeout = 150 * time.Millisecond
	// maxPlaceAge is the greatest age of a Place that is still carried out.
	maxPlaceAge = messenger.IdleTimeout
	// stopRetryInterval is the time after which a stop is sent again.
	stopRetryInterval = 100 * time.Millisecond
	// maxStartAttempts bounds how often one run is sent to the worker.
	maxStartAttempts = 3
	// capacityReportInterval, times the number of entries, is the least time between two
	// reports of changed room to one entry. It bounds what an agent sends.
	capacityReportInterval = 4 * time.Millisecond
	// relaxedReportInterval is the same for an entry at which nothing waits. It asks when
	// something does. One that has placed nothing for entryIdleAfter hears of room with
	// its heartbeats alone.
	relaxedReportInterval = messenger.HeartbeatInterval / 2
	entryIdleAfter        = 500 * time.Millisecond
	// earlyHeartbeatAfter is the time after a heartbeat from which a report that is sent
	// anyhow serves as the next one.
	earlyHeartbeatAfter = messenger.HeartbeatInterval / 2
	// minTokenStep is the least step of the fencing token when the worker has
	// seen a higher one.
	minTokenStep = 1_000_000
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
	// DrainTimeout is how long after an upstream's notice to leave a task may
	// still be started on it.
	DrainTimeout time.Duration
}

// Executor decides for one worker.
type Executor struct {
	clock     clockwork.Clock
	startedAt time.Time
	identity  Identity
	cfg       Config

	upstream messenger.Upstream
	// previousUpstream is the worker whose place upstream has taken, until a look has shown
	// that upstream is there.
	previousUpstream messenger.Upstream
	// departed is whether the worker has said that it leaves for good. It gets
	// nothing new; what runs there is followed to its end.
	departed bool
	// leaseRenewedAt is when a call was last sent that may have lengthened the lease
	// of all that the worker runs.
	leaseRenewedAt time.Time
	// runsKnown is whether it is known what runs: the worker has answered a look,
	// or the leases of an earlier incarnation of the agent are over.
	runsKnown bool
	// drainingSince is when the upstream first said that it leaves.
	drainingSince time.Time
	shuttingDown  bool
	// directivesRevision is the revision of the newest directives heard; evacuated is
	// whether they evacuate the agent's data centre.
	directivesRevision int64
	evacuated          bool

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
	// sortedEntries lists the entries by name.
	sortedEntries []*entry
	poll          pollState
	// paceSamples and failures tell entries how sound the worker is.
	paceSamples  paceSamples
	failures     failureStreak
	speedSamples speedSamples
	callTimes    callTimes
	turn         turnState
	// reservation is the room that is kept for a large task.
	reservation reservation
	// reservationEnded is whether a reservation has ended since waiting runs were looked at.
	reservationEnded bool

	effects []Effect
}

// NewExecutor returns an executor that knows no worker yet.
func NewExecutor(clock clockwork.Clock, identity Identity, cfg Config) *Executor {
	return &Executor{
		clock:     clock,
		startedAt: clock.Now(),
		identity:  identity,
		cfg:       cfg,
		token:     identity.Token,
		fenceStep: minTokenStep,
		runs:      make(map[messenger.Run]*run),
		byTask:    make(map[string]*run),
		entries:   make(map[string]*entry),
		unclaimed: make(map[messenger.Run]unclaimedEnd),
	}
}

// TakeEffects returns the effects since the last call.
func (x *Executor) TakeEffects() []Effect {
	x.startInReleased()
	x.sendDueReports()
	out := x.effects
	x.effects = nil
	return out
}

func (x *Executor) emit(e Effect) { x.effects = append(x.effects, e) }

// timestamp returns the agent's clock as it is written into messages.
func (x *Executor) timestamp() time.Duration { return x.clock.Since(x.startedAt) }

// BeginShutdown begins a planned stop: nothing new is taken.
func (x *Executor) BeginShutdown() {
	x.shuttingDown = true
	x.endReservation("agent leaves")
	x.refuseWaiting(messenger.RefusedLeaving)
	x.markStateChanged()
}

// Idle reports whether nothing runs or waits here.
func (x *Executor) Idle() bool { return len(x.runs) == 0 }

// Tick looks at what has come due.
func (x *Executor) Tick() {
	now := x.clock.Now()
	x.expireSilent(now)
	x.refuseExpired(now)
	x.retryStops(now)
	x.lapseExpired(now)
	x.markRunsKnownAfterLeases(now)
	x.expireUnclaimedEnds(now)
	x.expireHeld(now)
	x.sendDuePoll()
	x.sendHeartbeats(now)
}

// freeCapacity returns the room that nothing holds.
func (x *Executor) freeCapacity() messenger.Resources { return x.upstream.Capacity.Minus(x.used) }

// uncommittedCapacity returns the room that nothing holds or waits for.
func (x *Executor) uncommittedCapacity() messenger.Resources {
	d := x.freeCapacity()
	for _, r := range x.waiting {
		d = d.Minus(r.Demand)
	}
	return d
}
