// Package starter decides, beside each upstream, which tasks start. Its Ledger
// is the one place where "started" becomes true: it keeps a record of each
// task from the start until the task's deadline is past, so that the same
// start sent again is never run again.
//
// A Ledger is not safe for concurrent use. It performs no input or output:
// each call leaves Effects behind, which the caller takes with Drain.
package starter

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

const (
	// FreshnessLimit is how long after the last confirmation of the bundle version,
	// by the agent's own clock, tasks may still start.
	FreshnessLimit = 3 * time.Second
	// OfferTTL ends an offer that its owner has not used.
	OfferTTL = 100 * time.Millisecond
	// RecordRetentionGrace keeps records beyond the task's deadline, for clocks that
	// differ between processes.
	RecordRetentionGrace = 5 * time.Second
	// AckedResultBytesLimit bounds the memory for results that have been acknowledged.
	AckedResultBytesLimit = 16 << 20
	// DemandTTL drops a demand that was not repeated.
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
	// Leaving means that the upstream takes no new work.
	Leaving bool
}

// Effect is one thing for the surrounding process to do.
type Effect interface{ effect() }

// Send is the effect of sending Msg to the entry To.
type Send struct {
	To  string
	Msg any
}

// Run is the effect of running a task on the upstream.
type Run struct {
	Task courier.StartTask
	// ExpiresAt is when the decision lapses: the task must not be handed to the
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

// record is the memory of one started task.
type record struct {
	courier.Record
	// keepUntil is when the record may be forgotten; no copy of the start is
	// accepted after the deadline, which is earlier.
	keepUntil time.Time
	acked     bool
	// number is the Number of the StartTask, on the link it came by.
	number uint64
	// slot is the slot that the task runs in, while it runs.
	slot int
}

// offer is a free slot held for one entry.
type offer struct {
	entry     string
	slot      int
	expiresAt time.Time
}

// entryState is what the ledger keeps for one linked entry.
type entryState struct {
	// link is the number of the current link; messages of others are refused.
	link       uint64
	lastNumber uint64
	demand     demand
}

// demand is an entry's wish for slots.
type demand struct {
	waiting   int
	dueAt     time.Time
	expiresAt time.Time
}

// Ledger is the aggregate that guards one upstream.
type Ledger struct {
	clock     clockwork.Clock
	identity  Identity
	startedAt time.Time
	upstream  Upstream
	draining  bool

	// running counts the records whose outcome is Running; it never exceeds
	// the slots less the offers, but for slots withdrawn while in use.
	running int
	// slots tells which slots are running a task or are offered.
	slots slotSet
	// records holds every task started since the process began whose
	// deadline is not long past, by partition.
	records [router.Partitions]map[courier.TaskID]*record
	// forbidden holds the highest attempt answered NotRun of each job.
	forbidden map[string]forbiddenAttempt
	// terms never fall.
	terms   [router.Partitions]courier.Term
	entries map[string]*entryState
	offers  map[uint64]offer
	// lastOffer numbers offers; 0 means none.
	lastOffer uint64

	policy courier.AgentPolicy
	// confirmedAt is the latest time, by this clock, at which policy is known
	// to have been the newest one.
	confirmedAt time.Time
	resultBytes int
	nextExpiry  time.Time

	effects []Effect
}

// NewLedger returns a ledger with an empty record.
func NewLedger(clock clockwork.Clock, self Identity) *Ledger {
	l := &Ledger{
		clock:     clock,
		identity:  self,
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

// TakeEffects returns the effects since the last call.
func (l *Ledger) TakeEffects() []Effect {
	out := l.effects
	l.effects = nil
	return out
}

// SetUpstream takes over what the upstream announced.
func (l *Ledger) SetUpstream(u Upstream) {
	l.upstream = u
	l.offerFree()
}

// SetDraining stops all new starts, before a planned stop.
func (l *Ledger) SetDraining() {
	l.draining = true
}

// Idle reports whether no task runs and every result has arrived.
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

// LinkUp notes a new link to an entry; the old link's messages are refused
// from now on.
func (l *Ledger) LinkUp(entry string, link uint64) {
	l.entries[entry] = &entryState{link: link}
}

// LinkDown forgets the demand and the offers of an entry whose link broke.
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

// Announce returns the heartbeat for one entry.
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

// HandleAnnounceReply takes an entry's answer to a heartbeat: a newer policy, and the time
// up to which the policy is known to be the newest. An older version than the
// one in force is ignored, so that a policy never reverts.
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

// Tick drops what has lapsed.
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

func (l *Ledger) dataCentreOut() bool {
	return slices.Contains(l.policy.OutDataCentres, l.identity.DataCentre)
}

func (l *Ledger) fresh(now time.Time) bool {
	return l.policy.BundleVersion > 0 && now.Before(l.confirmedAt.Add(FreshnessLimit))
}

// freeSlots returns the slots that are neither running nor offered.
func (l *Ledger) freeSlots() int {
	return l.upstream.Slots - l.running - len(l.offers)
}

// availableSlots returns the slots that any owner may use now.
func (l *Ledger) availableSlots() int {
	if l.draining || l.upstream.Leaving || l.dataCentreOut() || !l.fresh(l.clock.Now()) {
		return 0
	}
	return max(0, l.freeSlots())
}

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

func (l *Ledger) send(to string, msg any) {
	if to == "" || l.entries[to] == nil {
		return // The next claim on a new link reports what is missed here.
	}
	l.effects = append(l.effects, Send{To: to, Msg: msg})
}
