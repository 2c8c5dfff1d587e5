// Package dispatcher decides, at the entry that owns a submission, what
// happens to it: admission, the queue, which agent starts which task, the
// answer, and what a new owner may do with the submissions of a dead one.
//
// An Owner is not safe for concurrent use. It performs no input or output:
// each call leaves Effects behind, which the caller takes with Drain.
package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

const (
	// PauseThreshold is the longest span between two ticks after which an owner
	// still trusts its terms. It is shorter than the time that the others
	// need to miss its heartbeats.
	PauseThreshold = 1500 * time.Millisecond
	// FreshnessTimeout is how long after a pause requests wait for the bundle to be
	// confirmed, in place of being refused.
	FreshnessTimeout = 2 * time.Second
	// ClaimTimeout bounds the wait for agents in a take-over. Agents that
	// answer later close the gap that they left.
	ClaimTimeout = time.Second
	// ClaimRetryDelay spaces the claims of rivals for one partition.
	ClaimRetryDelay = 200 * time.Millisecond
	// AgentTimeout is how long an agent may be out of touch before its running
	// tasks are given up.
	AgentTimeout = 10 * time.Second
	// RecordRetention is how long a started task can matter: the longest
	// deadline and the grace for clocks that differ.
	RecordRetention = 65 * time.Second
	// UnreachableAgentRetention is how long an agent that fell silent counts as one that
	// may still be starting tasks for an earlier owner.
	UnreachableAgentRetention = 10 * time.Minute
	// AnswerRetention keeps answers beyond the deadline of their submission.
	AnswerRetention = 5 * time.Second
	// OrphanGrace is how long a job runs on without a caller, so that a
	// resubmission finds it.
	OrphanGrace = 2 * time.Second
	// FinishTimePerTask is the time that a waiting task adds in the order of the
	// queue. It lets small jobs overtake large ones, and bounds for how long.
	FinishTimePerTask = 100 * time.Millisecond
	// DemandReportInterval spaces the repeated reports of waiting tasks.
	DemandReportInterval = 500 * time.Millisecond
)

// agentCheckInterval is the time between two looks at every agent.
const agentCheckInterval = 100 * time.Millisecond

// Waiter identifies one caller that waits for the answer to a job.
type Waiter uint64

// Effect is one thing for the surrounding process to do.
type Effect interface{ effect() }

// Send is the effect of sending Msg to the agent To.
type Send struct {
	To  string
	Msg any
}

// Reply is the effect of answering a caller.
type Reply struct {
	Waiter Waiter
	Answer courier.Answer
}

func (Send) effect()  {}
func (Reply) effect() {}

// Config holds what an Owner needs to know about its entry.
type Config struct {
	// Entry is the entry's identity.
	Entry string
	// Seed makes the choices of agents and the jitter repeatable.
	Seed uint64
	// Placement chooses the agent for a task. Nil means LateBinding.
	Placement Placement
	// Order ranks the waiting jobs. Nil means VirtualFinish.
	Order Order
}

// Request is one copy of a submission as it reaches its owner.
type Request struct {
	Submission courier.Submission
	// Digest is the hash of the submission without its attempt.
	Digest uint64
	// Resent marks a copy that may not be the first one sent to an owner.
	Resent bool
	// Waiter receives the answer. Zero means that nobody waits.
	Waiter Waiter
}

// isFirstCopy reports whether no other copy can have reached an owner before.
func (r Request) isFirstCopy() bool { return r.Submission.Attempt == 1 && !r.Resent }

// Dispatcher is the aggregate of one entry's submissions.
type Dispatcher struct {
	clock clockwork.Clock
	cfg   Config
	rng   *rand.Rand
	// lastTick is when the owner last ran; a longer gap than PauseThreshold
	// means that others may have taken over.
	lastTick time.Time
	// nextAgentCheck is when to look at the agents again.
	nextAgentCheck time.Time
	// resumedAt is when the process started or was last seen to wake up.
	resumedAt time.Time

	bundle     approver.Bundle
	freshUntil time.Time
	stopping   bool
	// rosterCompleteAt is when the roster counts as complete without a peer's
	// word: until then, earlier owners may have used agents unknown here.
	rosterCompleteAt time.Time
	// peers lists the other entries that are alive or may be; view lists the
	// live entries that own partitions, this one among them when it does.
	peers      []string
	view       []string
	partitions [router.Partitions]partition
	// highestTerms holds the highest term seen for each partition.
	highestTerms [router.Partitions]courier.Term

	// jobs holds unfinished jobs, and finished ones until they expire.
	jobs    map[string]*job
	expiry  expiryQueue
	waiters map[Waiter]*job
	// forbiddenAttempts holds the highest attempt answered NotRun for each job.
	forbiddenAttempts map[string]forbiddenAttempt
	// pendingForbids holds the NotRun answers that wait for an agent.
	pendingForbids map[string]*pendingForbid
	// recoveredJobs holds what agents report of jobs without a body here.
	recoveredJobs map[string]*recoveredJob
	queue         *queue
	fleet         *fleet
	admission     admission
	retryBudget   retryBudget
	demand        demandState
	counts        Counts
	// refuseReasons counts the refused starts by reason.
	refuseReasons map[courier.RefuseReason]uint64

	effects []Effect
}

// Counts are the totals since the start of the process.
type Counts struct {
	Started   uint64
	Succeeded uint64
	Errored   uint64
	Lost      uint64
	Refused   uint64
	Declined  uint64
	Messages  uint64
	Complete  uint64
	Failed    uint64
	NotRun    uint64
	Claims    uint64
}

// NewDispatcher returns an owner without partitions.
func NewDispatcher(clock clockwork.Clock, cfg Config) *Dispatcher {
	if cfg.Placement == nil {
		cfg.Placement = LateBinding{}
	}
	if cfg.Order == nil {
		cfg.Order = VirtualFinish{PerTask: FinishTimePerTask}
	}
	now := clock.Now()
	return &Dispatcher{
		clock:             clock,
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Entry)))),
		lastTick:          now,
		resumedAt:         now,
		rosterCompleteAt:  now.Add(RecordRetention),
		jobs:              make(map[string]*job),
		waiters:           make(map[Waiter]*job),
		forbiddenAttempts: make(map[string]forbiddenAttempt),
		pendingForbids:    make(map[string]*pendingForbid),
		refuseReasons:     make(map[courier.RefuseReason]uint64),
		recoveredJobs:     make(map[string]*recoveredJob),
		queue:             newQueue(cfg.Order),
		fleet:             newFleet(),
	}
}

// TakeEffects returns the effects since the last call.
func (o *Dispatcher) TakeEffects() []Effect {
	out := o.effects
	o.effects = nil
	return out
}

// Counts returns the totals so far.
func (o *Dispatcher) Counts() Counts { return o.counts }

// SetBundle puts a bundle in force, and notes until when it may be used
// without another confirmation. Older versions are ignored.
func (o *Dispatcher) SetBundle(b approver.Bundle, freshUntil time.Time) {
	o.detectPause()
	if b.Version < o.bundle.Version {
		return
	}
	changed := b.Version != o.bundle.Version
	o.bundle = b
	wasFresh := o.fresh()
	o.freshUntil = freshUntil
	if !wasFresh && o.fresh() {
		o.retryBlocked()
	}
	if changed {
		o.fleet.setOutDataCentres(b.OutDataCentres())
		o.dispatch()
	}
}

// SetStopping makes the owner give up its partitions to the others: new
// submissions are passed on, and the ones here go on until they are claimed.
func (o *Dispatcher) SetStopping() { o.stopping = true }

// Idle reports whether no job is unfinished.
func (o *Dispatcher) Idle() bool {
	for _, j := range o.jobs {
		if !j.done {
			return false
		}
	}
	return true
}

// Tick does what has come due. It is called every few milliseconds.
func (o *Dispatcher) Tick() {
	o.detectPause()
	now := o.clock.Now()
	o.expireJobs(now)
	o.finishClaims(now)
	o.retryClaims(now)
	o.expireRecovered(now)
	o.expireFreshnessWait(now)
	o.checkAgents(now)
	o.dispatch()
	o.reportDemand(now)
}

// detectPause notices that the process was paused for so long that others may have
// taken over, and gives up all terms before anything else happens.
func (o *Dispatcher) detectPause() {
	now := o.clock.Now()
	paused := now.Sub(o.lastTick) > PauseThreshold
	o.lastTick = now
	if !paused {
		return
	}
	o.resumedAt = now
	if len(o.peers) > 0 {
		o.rosterCompleteAt = now.Add(RecordRetention)
	}
	o.reclaimPartitions()
}

// expireFreshnessWait lets go of what waited in vain for the bundle to be confirmed.
func (o *Dispatcher) expireFreshnessWait(now time.Time) {
	if !o.fresh() && now.Sub(o.resumedAt) >= FreshnessTimeout {
		o.retryBlocked()
	}
}

func (o *Dispatcher) fresh() bool {
	return o.bundle.Version > 0 && o.clock.Now().Before(o.freshUntil)
}

func (o *Dispatcher) send(agent string, msg any) {
	o.counts.Messages++
	o.effects = append(o.effects, Send{To: agent, Msg: msg})
}

func (o *Dispatcher) reply(w Waiter, a courier.Answer) {
	if w == 0 {
		return
	}
	a.BundleVersion = o.bundle.Version
	a.Entry = o.cfg.Entry
	o.effects = append(o.effects, Reply{Waiter: w, Answer: a})
}
