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
	// PauseLimit is the longest span between two ticks after which an owner
	// still trusts its terms. It is shorter than the time that the others
	// need to miss its heartbeats.
	PauseLimit = 1500 * time.Millisecond
	// FreshWait is how long after a pause requests wait for the bundle to be
	// confirmed, in place of being refused.
	FreshWait = 2 * time.Second
	// ClaimTimeout bounds the wait for agents in a take-over. Agents that
	// answer later close the gap that they left.
	ClaimTimeout = time.Second
	// ReclaimDelay spaces the claims of rivals for one partition.
	ReclaimDelay = 200 * time.Millisecond
	// AgentLapse is how long an agent may be out of touch before its running
	// tasks are given up.
	AgentLapse = 10 * time.Second
	// RecordHorizon is how long a started task can matter: the longest
	// deadline and the grace for clocks that differ.
	RecordHorizon = 65 * time.Second
	// SilentHorizon is how long an agent that fell silent counts as one that
	// may still be starting tasks for an earlier owner.
	SilentHorizon = 10 * time.Minute
	// AnswerGrace keeps answers beyond the deadline of their submission.
	AnswerGrace = 5 * time.Second
	// LeaveGrace is how long a job runs on without a caller, so that a
	// resubmission finds it.
	LeaveGrace = 2 * time.Second
	// FinishPerTask is the time that a waiting task adds in the order of the
	// queue. It lets small jobs overtake large ones, and bounds for how long.
	FinishPerTask = 100 * time.Millisecond
	// DemandInterval spaces the repeated reports of waiting tasks.
	DemandInterval = 500 * time.Millisecond
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

// first reports whether no other copy can have reached an owner before.
func (r Request) first() bool { return r.Submission.Attempt == 1 && !r.Resent }

// Owner is the aggregate of one entry's submissions.
type Owner struct {
	clock clockwork.Clock
	cfg   Config
	rng   *rand.Rand
	// lastTick is when the owner last ran; a longer gap than PauseLimit
	// means that others may have taken over.
	lastTick time.Time
	// nextAgentCheck is when to look at the agents again.
	nextAgentCheck time.Time
	// resumedAt is when the process started or was last seen to wake up.
	wokeAt time.Time

	bundle     approver.Bundle
	freshUntil time.Time
	stopping   bool
	// rosterCertainAt is when the roster counts as complete without a peer's
	// word: until then, earlier owners may have used agents unknown here.
	rosterCertainAt time.Time
	// peers lists the other entries that are alive or may be; view lists the
	// live entries that own partitions, this one among them when it does.
	peers      []string
	view       []string
	partitions [router.Partitions]partition
	// highest holds the highest term seen for each partition.
	highest [router.Partitions]courier.Term

	// jobs holds unfinished jobs, and finished ones until they expire.
	jobs    map[string]*job
	expiry  expiryQueue
	waiters map[Waiter]*job
	// refused holds the highest attempt answered NotRun for each job.
	refused map[string]refusedAttempt
	// refusals holds the NotRun answers that wait for an agent.
	refusals map[string]*refusal
	// inherited holds what agents report of jobs without a body here.
	inherited map[string]*inheritance
	queue     *queue
	fleet     *fleet
	admission admission
	budget    retryBudget
	demand    demandState
	counts    Counts
	// refusedFor counts the refused starts by reason.
	refusedFor map[courier.Refusal]uint64

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

// NewOwner returns an owner without partitions.
func NewOwner(clock clockwork.Clock, cfg Config) *Owner {
	if cfg.Placement == nil {
		cfg.Placement = LateBinding{}
	}
	if cfg.Order == nil {
		cfg.Order = VirtualFinish{PerTask: FinishPerTask}
	}
	now := clock.Now()
	return &Owner{
		clock:           clock,
		cfg:             cfg,
		rng:             rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Entry)))),
		lastTick:        now,
		wokeAt:          now,
		rosterCertainAt: now.Add(RecordHorizon),
		jobs:            make(map[string]*job),
		waiters:         make(map[Waiter]*job),
		refused:         make(map[string]refusedAttempt),
		refusals:        make(map[string]*refusal),
		refusedFor:      make(map[courier.Refusal]uint64),
		inherited:       make(map[string]*inheritance),
		queue:           newQueue(cfg.Order),
		fleet:           newFleet(),
	}
}

// Drain returns the effects since the last call.
func (o *Owner) Drain() []Effect {
	out := o.effects
	o.effects = nil
	return out
}

// Counts returns the totals so far.
func (o *Owner) Counts() Counts { return o.counts }

// SetBundle puts a bundle in force, and notes until when it may be used
// without another confirmation. Older versions are ignored.
func (o *Owner) SetBundle(b approver.Bundle, freshUntil time.Time) {
	o.wake()
	if b.Version < o.bundle.Version {
		return
	}
	changed := b.Version != o.bundle.Version
	o.bundle = b
	wasFresh := o.fresh()
	o.freshUntil = freshUntil
	if !wasFresh && o.fresh() {
		o.releaseHeld()
	}
	if changed {
		o.fleet.setOut(b.OutDataCentres())
		o.dispatch()
	}
}

// SetStopping makes the owner give up its partitions to the others: new
// submissions are passed on, and the ones here go on until they are claimed.
func (o *Owner) SetStopping() { o.stopping = true }

// Idle reports whether no job is unfinished.
func (o *Owner) Idle() bool {
	for _, j := range o.jobs {
		if !j.done {
			return false
		}
	}
	return true
}

// Tick does what has come due. It is called every few milliseconds.
func (o *Owner) Tick() {
	o.wake()
	now := o.clock.Now()
	o.expireJobs(now)
	o.finishClaims(now)
	o.retryClaims(now)
	o.dropInheritances(now)
	o.refuseStale(now)
	o.checkAgents(now)
	o.dispatch()
	o.reportDemand(now)
}

// wake notices that the process was paused for so long that others may have
// taken over, and gives up all terms before anything else happens.
func (o *Owner) wake() {
	now := o.clock.Now()
	paused := now.Sub(o.lastTick) > PauseLimit
	o.lastTick = now
	if !paused {
		return
	}
	o.wokeAt = now
	if len(o.peers) > 0 {
		o.rosterCertainAt = now.Add(RecordHorizon)
	}
	o.reclaimAll()
}

// refuseStale lets go of what waited in vain for the bundle to be confirmed.
func (o *Owner) refuseStale(now time.Time) {
	if !o.fresh() && now.Sub(o.wokeAt) >= FreshWait {
		o.releaseHeld()
	}
}

func (o *Owner) fresh() bool {
	return o.bundle.Version > 0 && o.clock.Now().Before(o.freshUntil)
}

func (o *Owner) send(agent string, msg any) {
	o.counts.Messages++
	o.effects = append(o.effects, Send{To: agent, Msg: msg})
}

func (o *Owner) reply(w Waiter, a courier.Answer) {
	if w == 0 {
		return
	}
	a.BundleVersion = o.bundle.Version
	a.Entry = o.cfg.Entry
	o.effects = append(o.effects, Reply{Waiter: w, Answer: a})
}
