// Package executor decides, for one agent, which runs start and stop on its worker and
// which are known to have ended. Runs have leases, which the agent renews. The package
// does no input or output and reads time from a clock interface. It returns effects,
// which the agent process applies. The package decides for package supervisor, the
// agent process of the deployment on the platform's machines.
package executor

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// LeaseDuration is how long the worker keeps runs going without a call from its
	// agent.
	LeaseDuration = 600 * time.Millisecond
	// leaseClockDrift is the largest share by which the worker's clock may be slow.
	leaseClockDrift = 0.02
	// leaseTransitMargin covers the time that a call takes to arrive.
	leaseTransitMargin = 30 * time.Millisecond
	// busyPollWait is how long the worker may hold a poll open, waiting for a run to
	// end, while it has runs. It bounds the age of their known progress.
	busyPollWait = 50 * time.Millisecond
	// idlePollWait is the same for a worker without runs.
	idlePollWait = 250 * time.Millisecond
	// minPollRetryDelay is the delay after a failed poll. It doubles with each further
	// failure up to maxPollRetryDelay, since each poll opens a connection. A heartbeat
	// of the worker ends the delay.
	minPollRetryDelay = 40 * time.Millisecond
	maxPollRetryDelay = 640 * time.Millisecond
	// entryTimeout is how long nothing may be received from an entry before its runs
	// are cancelled.
	entryTimeout = messenger.IdleTimeout
	// echoTolerance is added to the timestamp that a message of an entry echoes: the
	// message counts as sent by then at the latest, however late it is read.
	echoTolerance = messenger.HeartbeatInterval
	// stopTimeout is how long runs that must end may take to stop. After it, no lease
	// is renewed until they have ended.
	stopTimeout = 100 * time.Millisecond
	// endRetention is how long the ends of a lost entry's runs are kept for it.
	endRetention = 10 * time.Second
	// orphanTimeout is how long a run without an owner is kept for an entry that may
	// claim it. No lease is renewed during that time.
	orphanTimeout = 150 * time.Millisecond
	// maxPlaceAge is the greatest age at which a Place is still processed.
	maxPlaceAge = messenger.IdleTimeout
	// stopRetryInterval is the time after which a stop is sent again.
	stopRetryInterval = 100 * time.Millisecond
	// maxStartAttempts bounds how often one run is sent to the worker.
	maxStartAttempts = 3
	// capacityReportInterval, times the number of connected entries, is the least time
	// between two reports of changed capacity to one entry. It bounds how much an agent
	// sends.
	capacityReportInterval = 4 * time.Millisecond
	// relaxedReportInterval is the same for an entry without waiting tasks, which
	// reports its backlog when it has one. An entry that has placed nothing for
	// entryIdleAfter gets changed capacity in its heartbeats alone.
	relaxedReportInterval = messenger.HeartbeatInterval / 2
	entryIdleAfter        = 500 * time.Millisecond
	// earlyHeartbeatAfter is the time after a heartbeat from which a report that is
	// sent for another reason serves as the next heartbeat.
	earlyHeartbeatAfter = messenger.HeartbeatInterval / 2
	// minTokenStep is the least step by which the fencing token is raised when the
	// worker has seen a higher one.
	minTokenStep = 1_000_000
)

// Identity identifies an agent.
type Identity struct {
	Agent      string
	DataCentre string
	// Incarnation is when the agent started, in Unix milliseconds.
	Incarnation int64
	// Token is the first fencing token of this incarnation.
	Token uint64
}

// Config limits what an executor does.
type Config struct {
	// DrainTimeout is how long after the upstream's drain notice a task may still be
	// started on it.
	DrainTimeout time.Duration
	// EvacuationTimeout is how long after the operators have evacuated the data centre a
	// task may still be started there; DefaultEvacuationTimeout if it is not positive.
	EvacuationTimeout time.Duration
}

// Executor makes the decisions for one worker. It is not safe for concurrent use.
type Executor struct {
	clock     clockwork.Clock
	startedAt time.Time
	identity  Identity
	cfg       Config

	upstream messenger.Upstream
	// previousUpstream is the worker that upstream has replaced, until a poll has shown
	// that upstream is reachable.
	previousUpstream messenger.Upstream
	// capacityReported is whether the worker itself has reported its capacity to this
	// incarnation of the agent, and unguarded whether it starts what exceeds it.
	capacityReported, unguarded bool
	// departed is whether the worker has said that it leaves for good. It gets no new
	// runs; those that it has are followed to their ends.
	departed bool
	// leaseRenewedAt is when a call was last sent that may have extended the lease of
	// all runs at the worker.
	leaseRenewedAt time.Time
	// runsKnown is whether it is known which runs the worker has: the worker has
	// answered a poll, or the leases that an earlier incarnation of the agent set have
	// expired.
	runsKnown bool
	// drainingSince is when the upstream first announced that it drains.
	drainingSince time.Time
	shuttingDown  bool
	evacuations   evacuationState

	// token is sent with each call. Calls with a lower one have no effect at the worker
	// once it has seen this one.
	token uint64
	// fenceStep is the amount by which token is raised when it is next too low.
	fenceStep uint64

	runs    map[messenger.Run]*run
	byTask  map[string]*run
	waiting []*run
	used    messenger.Resources

	// losses holds what was lost with workers that do not answer, until an answer
	// settles it.
	losses map[messenger.Incarnation]*loss
	// crashes are those that entries may have to learn of, the oldest first, and
	// lastCrash is the number of the last one.
	crashes   []notedCrash
	lastCrash int
	// leaving is the last incarnation that has announced its end.
	leaving messenger.Incarnation

	locks lockTable
	// witnesses is the newest list of witnesses that an entry has told.
	witnesses messenger.WitnessList
	// unclaimed holds the ends of runs that no entry had claimed.
	unclaimed map[messenger.Run]unclaimedEnd

	entries map[string]*entry
	// sortedEntries lists the entries by name.
	sortedEntries []*entry
	poll          pollState
	// paceSamples and failures are the evidence on the health of the worker that is
	// reported to entries.
	paceSamples  paceSamples
	failures     failureStreak
	speedSamples speedSamples
	callTimes    callTimes
	turn         turnState
	// reservation is the capacity that is reserved for a large task.
	reservation reservation
	// reservationEnded is whether a reservation has ended since startWaiting last ran.
	reservationEnded bool
	usage            usageMeter

	effects []Effect
}

// NewExecutor returns an executor that has no worker yet.
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
		losses:    make(map[messenger.Incarnation]*loss),
		unclaimed: make(map[messenger.Run]unclaimedEnd),
		locks:     newLockTable(),

		evacuations: newEvacuationState(identity.Agent, cfg.EvacuationTimeout),
	}
}

// TakeEffects returns the effects since the last call.
func (x *Executor) TakeEffects() []Effect {
	x.startInReleased()
	x.settleLosses()
	x.sendDueReports()
	x.meterUsage()
	out := x.effects
	x.effects = nil
	return out
}

func (x *Executor) emit(e Effect) { x.effects = append(x.effects, e) }

// timestamp returns the time since the executor was created, as it is written into
// messages.
func (x *Executor) timestamp() time.Duration { return x.clock.Since(x.startedAt) }

// BeginShutdown begins the planned stop of the agent: waiting runs are refused and no
// new ones are admitted.
func (x *Executor) BeginShutdown() {
	x.shuttingDown = true
	x.endReservation("agent shutting down")
	x.refuseWaiting(messenger.RefusedLeaving)
	x.markStateChanged()
}

// Idle reports whether no run is active or waiting here.
func (x *Executor) Idle() bool { return len(x.runs) == 0 }

// Tick handles everything that has come due: timeouts, retries, polls and heartbeats.
func (x *Executor) Tick() {
	now := x.clock.Now()
	x.expireTimedOut(now)
	x.refuseExpired(now)
	x.retryStops(now)
	x.lapseExpired(now)
	x.markRunsKnownAfterLeases(now)
	x.expireUnclaimedEnds(now)
	x.expireLosses(now)
	x.locks.expire(now)
	x.readOldEvacuations(now)
	x.sendDuePoll()
	x.sendHeartbeats(now)
}

// freeCapacity returns the capacity that no run holds.
func (x *Executor) freeCapacity() messenger.Resources { return x.upstream.Capacity.Minus(x.used) }

// usageUnknown reports whether the worker may have runs that are not counted: one of unknown
// demand, or one that was detached from it when another worker seemed to have replaced it.
// A worker that does not guard its capacity starts whatever it is sent.
func (x *Executor) usageUnknown() bool {
	for _, r := range x.runs {
		if r.holdsCapacity() && r.demandUnknown || r.phase == detached && r.worker == x.upstream.Incarnation() {
			return true
		}
	}
	return false
}

// capacityUnknown reports whether the worker may have less capacity than it is known to
// have, and would not reject what exceeds it.
func (x *Executor) capacityUnknown() bool { return x.unguarded && !x.capacityReported }

// uncommittedCapacity returns the capacity that no run holds or waits for.
func (x *Executor) uncommittedCapacity() messenger.Resources {
	d := x.freeCapacity()
	for _, r := range x.waiting {
		d = d.Minus(r.Demand)
	}
	return d
}
