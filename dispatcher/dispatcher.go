// Package dispatcher handles the submissions whose partitions an entry owns: it decides
// on admission, queues their tasks, chooses the agent that starts each task, determines
// the answer, and decides how a new owner continues the submissions of a failed one.
// The package decides for package receiver, the entry process of the deployment
// described by a settings file.
//
// A Dispatcher is not safe for concurrent use. It performs no input or output: each
// call adds Effects, which the caller takes with TakeEffects and applies.
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
	// PauseThreshold is the longest time between two calls of a Dispatcher after which it
	// still trusts its terms. It is shorter than the time after which other entries count its
	// heartbeats as missing.
	PauseThreshold = 1500 * time.Millisecond
	// FreshnessTimeout is how long after the start or a pause of the process requests
	// wait for the bundle to be confirmed before they are refused.
	FreshnessTimeout = 2 * time.Second
	// ClaimTimeout bounds how long a claim waits for the agents' answers. An agent that
	// answers later stays unfenced until then.
	ClaimTimeout = time.Second
	// ClaimRetryDelay is the minimum delay before a partition that a rival has claimed
	// with a higher term is claimed again. It keeps rivals from claiming in quick
	// succession.
	ClaimRetryDelay = 200 * time.Millisecond
	// AgentTimeout is how long an agent may be disconnected before its running tasks
	// count as lost.
	AgentTimeout = 10 * time.Second
	// RecordRetention is how long the record of a started task can matter: the longest
	// deadline plus the grace for clock differences.
	RecordRetention = 65 * time.Second
	// UnreachableAgentRetention is how long an agent that timed out counts as one that
	// may still start tasks for an earlier owner.
	UnreachableAgentRetention = 10 * time.Minute
	// AnswerRetention is how long an answer is kept beyond the deadline of its
	// submission.
	AnswerRetention = 5 * time.Second
	// OrphanGrace is how long a job continues after its last caller has disconnected,
	// so that a resubmission still finds it.
	OrphanGrace = 2 * time.Second
	// FinishTimePerTask is the time that each waiting task adds to the queue key of its
	// job. It lets small jobs overtake large ones, and bounds for how long.
	FinishTimePerTask = 100 * time.Millisecond
	// DemandReportInterval is the time between repeated reports of waiting tasks to the
	// agents.
	DemandReportInterval = 500 * time.Millisecond
)

// agentCheckInterval is the time between two checks of all agents.
const agentCheckInterval = 100 * time.Millisecond

// Waiter identifies a caller that waits for the answer to a job.
type Waiter uint64

// Effect is an action that the caller of the Dispatcher applies.
type Effect interface{ effect() }

// Send is the effect of sending Msg to the agent named To.
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

// Config holds the settings of a Dispatcher.
type Config struct {
	// Entry is the entry's identity.
	Entry string
	// Seed seeds the choice of agents and the jitter, so that both are repeatable.
	Seed uint64
	// Placement chooses the agent for a task. Nil means LateBinding.
	Placement Placement
	// Order ranks the jobs with waiting tasks. Nil means VirtualFinish.
	Order Order
	// MaxKeptBytes bounds the payloads and results of all jobs together, in bytes; 0 means
	// that nothing does.
	MaxKeptBytes int64
}

// Request is one copy of a submission as its owner receives it.
type Request struct {
	Submission courier.Submission
	// Digest is the hash of the submission without its attempt.
	Digest uint64
	// Resent marks a copy that may not be the first one that was sent to an owner.
	Resent bool
	// Waiter identifies the caller that gets the answer. Zero means that none waits.
	Waiter Waiter
}

// isFirstCopy reports whether no other copy can have reached an owner before this one.
func (r Request) isFirstCopy() bool { return r.Submission.Attempt == 1 && !r.Resent }

// Dispatcher holds the state of all submissions that one entry owns.
type Dispatcher struct {
	clock clockwork.Clock
	cfg   Config
	rng   *rand.Rand
	// lastCallAt is the time of the last call. If it is more than PauseThreshold ago,
	// other entries may have claimed the partitions.
	lastCallAt time.Time
	// nextAgentCheck is when the agents are checked next.
	nextAgentCheck time.Time
	// resumedAt is when the process started, or when it was last found to have resumed
	// after a pause.
	resumedAt time.Time

	bundle     approver.Bundle
	freshUntil time.Time
	stopping   bool
	// rosterCompleteAt is when the roster counts as complete without a peer's
	// confirmation. Until then, earlier owners may have used agents that are unknown
	// here.
	rosterCompleteAt time.Time
	// peers lists the other entries that are alive or may be. view lists the live
	// entries that own partitions, including this one if it does.
	peers      []string
	view       []string
	partitions [router.Partitions]partition
	// highestTerms holds the highest term seen of each partition.
	highestTerms [router.Partitions]courier.Term

	// jobs holds the unfinished jobs, and the finished ones until their answers expire.
	jobs    map[string]*job
	expiry  expiryQueue
	waiters map[Waiter]*job
	// keptBytes is the sum of the jobs' bytes.
	keptBytes int64
	// forbiddenAttempts holds the highest attempt of each job that was answered NotRun.
	forbiddenAttempts map[string]forbiddenAttempt
	// pendingForbids holds the NotRun answers that wait until an agent has recorded the
	// forbidden attempt.
	pendingForbids map[string]*pendingForbid
	// recoveredJobs holds what agents have reported about jobs whose bodies are not
	// here.
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

// Counts holds totals since the start of the process.
type Counts struct {
	// Started counts the tasks sent to agents.
	Started uint64
	// Succeeded, Errored and Lost count the tasks that ended so.
	Succeeded uint64
	Errored   uint64
	Lost      uint64
	// Refused counts the starts that agents refused.
	Refused uint64
	// Declined counts the offers that were not used.
	Declined uint64
	// Messages counts the messages to agents.
	Messages uint64
	// Complete and Failed count the jobs that ended so, and Failed also the answers
	// that the outcome is unknown. NotRun counts the answers of that state.
	Complete uint64
	Failed   uint64
	NotRun   uint64
	// Claims counts the claims, each of one or more partitions.
	Claims uint64
}

// NewDispatcher returns a Dispatcher that owns no partitions.
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
		lastCallAt:        now,
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

// TakeEffects returns the effects added since the last call.
func (d *Dispatcher) TakeEffects() []Effect {
	out := d.effects
	d.effects = nil
	return out
}

// Counts returns the totals so far.
func (d *Dispatcher) Counts() Counts { return d.counts }

// SetBundle puts a bundle in force. The bundle may be used until freshUntil, unless it
// is confirmed again before. Older versions are ignored.
func (d *Dispatcher) SetBundle(b approver.Bundle, freshUntil time.Time) {
	d.detectPause()
	if b.Version < d.bundle.Version {
		return
	}
	changed := b.Version != d.bundle.Version
	d.bundle = b
	wasFresh := d.fresh()
	d.freshUntil = freshUntil
	if !wasFresh && d.fresh() {
		d.retryBlocked()
	}
	if changed {
		d.fleet.setOutDataCentres(b.OutDataCentres())
		d.dispatch()
	}
}

// SetStopping begins the planned stop of the entry: a partition that another entry
// claims is not claimed back. New submissions then go to the new owner, and the jobs
// here continue until their partition is claimed.
func (d *Dispatcher) SetStopping() { d.stopping = true }

// Idle reports whether every job is finished.
func (d *Dispatcher) Idle() bool {
	for _, j := range d.jobs {
		if !j.done {
			return false
		}
	}
	return true
}

// Tick does the work that has become due. It is to be called every few milliseconds.
func (d *Dispatcher) Tick() {
	d.detectPause()
	now := d.clock.Now()
	d.expireJobs(now)
	d.finishClaims(now)
	d.retryClaims(now)
	d.expireRecovered(now)
	d.expireFreshnessWait(now)
	d.checkAgents(now)
	d.dispatch()
	d.reportDemand(now)
}

// detectPause detects a pause of the process that was long enough for other entries to
// claim its partitions. It then claims them again with a new term, or relinquishes
// them, before the call does anything else.
func (d *Dispatcher) detectPause() {
	now := d.clock.Now()
	paused := now.Sub(d.lastCallAt) > PauseThreshold
	d.lastCallAt = now
	if !paused {
		return
	}
	d.resumedAt = now
	if len(d.peers) > 0 {
		d.rosterCompleteAt = now.Add(RecordRetention)
	}
	d.reclaimPartitions()
}

// expireFreshnessWait retries the requests that wait for the bundle to be confirmed
// once FreshnessTimeout has passed. They are then refused.
func (d *Dispatcher) expireFreshnessWait(now time.Time) {
	if !d.fresh() && now.Sub(d.resumedAt) >= FreshnessTimeout {
		d.retryBlocked()
	}
}

// fresh reports whether the bundle in force is confirmed.
func (d *Dispatcher) fresh() bool {
	return d.bundle.Version > 0 && d.clock.Now().Before(d.freshUntil)
}

// send adds the effect of sending msg to an agent.
func (d *Dispatcher) send(agent string, msg any) {
	d.counts.Messages++
	d.effects = append(d.effects, Send{To: agent, Msg: msg})
}

// reply adds the effect of answering w. The zero Waiter is ignored.
func (d *Dispatcher) reply(w Waiter, a courier.Answer) {
	if w == 0 {
		return
	}
	a.BundleVersion = d.bundle.Version
	a.Entry = d.cfg.Entry
	d.effects = append(d.effects, Reply{Waiter: w, Answer: a})
}
