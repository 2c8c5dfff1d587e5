// Package starter decides, at the agent beside each upstream, which tasks start. A
// Ledger determines whether a task has started: it keeps a record of each task from the
// start until after the task's deadline, so that a start that is sent again does not
// run again. The package decides for package agent, the agent process of the
// deployment described by a settings file.
//
// A Ledger is not safe for concurrent use. It performs no input or output: each call
// adds Effects, which the caller takes with TakeEffects and applies.
package starter

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

const (
	// FreshnessLimit is how long after the last confirmation of the bundle version, by
	// the agent's own clock, tasks may still start.
	FreshnessLimit = 3 * time.Second
	// OfferTTL is how long an offer stays valid if the entry does not use it.
	OfferTTL = 100 * time.Millisecond
	// RecordRetentionGrace is how long records are kept beyond the task's deadline,
	// since clocks differ between processes.
	RecordRetentionGrace = 5 * time.Second
	// AckedResultBytesLimit is the size of all kept results, in bytes, above which
	// results that are acknowledged are dropped.
	AckedResultBytesLimit = 16 << 20
	// DemandTTL is how long a demand stays valid unless it is repeated.
	DemandTTL = 2 * time.Second
)

// Identity is what an agent announces about itself and its upstream.
type Identity struct {
	Agent       string
	Incarnation string
	DataCentre  string
	Rack        string
}

// Upstream is what the upstream announced to its agent.
type Upstream struct {
	// Address is the host and port of the upstream's HTTP interface.
	Address  string
	Slots    int
	Services []string
	// Leaving means that the upstream accepts no new work.
	Leaving bool
}

// Effect is an action that the caller of the Ledger applies.
type Effect interface{ effect() }

// Send is the effect of sending Msg to the entry named To.
type Send struct {
	To  string
	Msg any
}

// Run is the effect of running a task on the upstream.
type Run struct {
	Task courier.StartTask
	// ExpiresAt is when the decision to start expires: the task must not be sent to the
	// upstream at that time or later.
	ExpiresAt time.Time
}

// Stop is the effect of stopping a running task on the upstream.
type Stop struct {
	Task courier.TaskID
}

func (Send) effect() {}

func (Run) effect() {}

func (Stop) effect() {}

// record is the record of one started task.
type record struct {
	courier.Record
	// keepUntil is when the record may be deleted. It is later than the deadline, after
	// which no copy of the start is accepted.
	keepUntil time.Time
	acked     bool
	// number is the Number of the StartTask on the link on which it arrived.
	number uint64
	// slot is the slot that the task uses while it runs.
	slot int
}

// offer is a free slot that is reserved for one entry.
type offer struct {
	entry     string
	slot      int
	expiresAt time.Time
}

// entryState is the ledger's state for one linked entry.
type entryState struct {
	// link is the number of the current link. Start messages of other links are
	// refused, and Forbid messages are ignored.
	link uint64
	// lastNumber is the number of the last task handled on the link.
	lastNumber uint64
	demand     demand
}

// demand is the number of tasks that wait at an entry.
type demand struct {
	waiting int
	// dueAt is when the entry's first waiting task is due by the entry's order, as a
	// time of this clock.
	dueAt     time.Time
	expiresAt time.Time
}

// Ledger holds the state of one upstream: its slots, the records of its tasks, the
// offers, and the terms of the partitions.
type Ledger struct {
	clock     clockwork.Clock
	identity  Identity
	startedAt time.Time
	upstream  Upstream
	draining  bool

	// running counts the records whose outcome is Running. It never exceeds the slots
	// less the offers, except when the upstream reduces its slots while they are in
	// use.
	running int
	// slots records which slots run a task or are offered.
	slots slotSet
	// records holds, by partition, every task that was started since the process began,
	// until RecordRetentionGrace after the deadline, or longer while it runs.
	records [router.Partitions]map[courier.TaskID]*record
	// forbidden holds the highest attempt of each job that was answered NotRun.
	forbidden map[string]forbiddenAttempt
	// terms holds the highest known term of each partition. A term never decreases.
	terms   [router.Partitions]courier.Term
	entries map[string]*entryState
	offers  map[uint64]offer
	// lastOffer is the number of the last offer; 0 stands for no offer.
	lastOffer uint64

	policy courier.AgentPolicy
	// confirmedAt is the latest time, by this clock, at which policy is known to have
	// been the newest one.
	confirmedAt time.Time
	// resultBytes is the size of all kept results.
	resultBytes int
	// nextExpiry is when expired records are looked for next.
	nextExpiry time.Time

	effects []Effect
}

// NewLedger returns a Ledger without records.
func NewLedger(clock clockwork.Clock, identity Identity) *Ledger {
	l := &Ledger{
		clock:     clock,
		identity:  identity,
		startedAt: clock.Now(),
		entries:   make(map[string]*entryState),
		offers:    make(map[uint64]offer),

		forbidden: make(map[string]forbiddenAttempt),
	}
	for i := range l.records {
		l.records[i] = make(map[courier.TaskID]*record)
	}
	return l
}

// TakeEffects returns the effects added since the last call.
func (l *Ledger) TakeEffects() []Effect {
	out := l.effects
	l.effects = nil
	return out
}

// SetUpstream sets what the upstream has announced.
func (l *Ledger) SetUpstream(u Upstream) {
	l.upstream = u
	l.offerFree()
}

// SetDraining prevents all new starts, before a planned stop of the agent.
func (l *Ledger) SetDraining() {
	l.draining = true
}

// Idle reports whether no task runs and every result has been acknowledged.
func (l *Ledger) Idle() bool {
	if l.running > 0 {
		return false
	}
	for _, part := range l.records {
		for _, r := range part {
			if !r.acked {
				return false
			}
		}
	}
	return true
}

// BundleVersion returns the version of the policy in force.
func (l *Ledger) BundleVersion() uint64 { return l.policy.BundleVersion }

// LinkUp registers a new link to an entry. Start messages of the old link are refused
// from now on.
func (l *Ledger) LinkUp(entry string, link uint64) {
	l.entries[entry] = &entryState{link: link}
}

// LinkDown drops the demand and the offers of an entry whose link has ended.
func (l *Ledger) LinkDown(entry string, link uint64) {
	e := l.entries[entry]
	if e == nil || e.link != link {
		return
	}
	delete(l.entries, entry)
	for id, o := range l.offers {
		if o.entry == entry {
			l.endOffer(id)
		}
	}
	l.offerFree()
}

// Announce returns the heartbeat message for one entry.
func (l *Ledger) Announce(entry string) courier.Announce {
	a := courier.Announce{
		Agent:         l.identity.Agent,
		Incarnation:   l.identity.Incarnation,
		DataCentre:    l.identity.DataCentre,
		Rack:          l.identity.Rack,
		Slots:         l.upstream.Slots,
		Services:      l.upstream.Services,
		Draining:      l.draining || l.upstream.Leaving,
		Stopping:      l.draining,
		BundleVersion: l.policy.BundleVersion,
		Stamp:         l.clock.Since(l.startedAt),
		Load:          l.load(entry),
	}
	if e := l.entries[entry]; e != nil {
		a.LinkNumber = e.link
	}
	return a
}

// HandleAnnounceReply handles an entry's answer to a heartbeat: a newer policy, and the
// time up to which the policy is known to be the newest. A version older than the one
// in force is ignored, so that a policy never reverts.
func (l *Ledger) HandleAnnounceReply(r courier.AnnounceReply) {
	l.raiseTerms(r.Terms)
	if r.Policy != nil && r.Policy.BundleVersion > l.policy.BundleVersion {
		l.policy = *r.Policy
	}
	if !r.Fresh || r.BundleVersion != l.policy.BundleVersion {
		return
	}
	at := l.startedAt.Add(r.Stamp).Add(-r.Age)
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
	l.offerFree()
}

// Tick drops the offers, records and forbidden attempts that have expired.
func (l *Ledger) Tick() {
	now := l.clock.Now()
	for id, o := range l.offers {
		if !o.expiresAt.After(now) {
			l.endOffer(id)
		}
	}
	l.offerFree()
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(time.Second)
	l.expireForbidden(now)
	for _, part := range l.records {
		for id, r := range part {
			if r.Outcome != courier.Running && r.keepUntil.Before(now) {
				l.resultBytes -= len(r.Result)
				delete(part, id)
			}
		}
	}
}

// dataCentreOut reports whether the policy takes the agent's data centre out of use.
func (l *Ledger) dataCentreOut() bool {
	return slices.Contains(l.policy.OutDataCentres, l.identity.DataCentre)
}

// fresh reports whether the policy was confirmed within FreshnessLimit.
func (l *Ledger) fresh(now time.Time) bool {
	return l.policy.BundleVersion > 0 && now.Before(l.confirmedAt.Add(FreshnessLimit))
}

// freeSlots returns the number of slots that are neither running a task nor offered. It
// is negative if the upstream has reduced its slots while they are in use.
func (l *Ledger) freeSlots() int {
	return l.upstream.Slots - l.running - len(l.offers)
}

// availableSlots returns the number of free slots that any owner may use now.
func (l *Ledger) availableSlots() int {
	if l.draining || l.upstream.Leaving || l.dataCentreOut() || !l.fresh(l.clock.Now()) {
		return 0
	}
	return max(0, l.freeSlots())
}

// load returns the load as it is reported to an entry.
func (l *Ledger) load(entry string) courier.Load {
	load := courier.Load{Free: l.availableSlots()}
	if e := l.entries[entry]; e != nil {
		load.Seen = e.lastNumber
	}
	if load.Free > 0 {
		load.Mine = l.slots.free(l.preferredSlots(entry), l.upstream.Slots)
	}
	return load
}

// send adds the effect of sending msg to an entry, if it is linked.
func (l *Ledger) send(to string, msg any) {
	if to == "" || l.entries[to] == nil {
		return // The answer to the claim on the next link reports what is not sent here.
	}
	l.effects = append(l.effects, Send{To: to, Msg: msg})
}
