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
	// FreshFor is how long after the last confirmation of the bundle version,
	// by the agent's own clock, tasks may still start.
	FreshFor = 3 * time.Second
	// OfferLapse ends an offer that its owner has not used.
	OfferLapse = 100 * time.Millisecond
	// RecordGrace keeps records beyond the task's deadline, for clocks that
	// differ between processes.
	RecordGrace = 5 * time.Second
	// ResultBytes bounds the memory for results that have been acknowledged.
	ResultBytes = 16 << 20
	// DemandLapse drops a demand that was not repeated.
	DemandLapse = 2 * time.Second
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
	// Until is when the decision lapses: the task must not be handed to the
	// upstream at that time or later.
	Until time.Time
}

// Halt is the effect of stopping a running task on the upstream.
type Halt struct {
	Task courier.TaskID
}

func (Send) effect() {}

func (Run) effect() {}

func (Halt) effect() {}

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
	entry string
	slot  int
	until time.Time
}

// entryState is what the ledger keeps for one linked entry.
type entryState struct {
	// link is the number of the current link; messages of others are refused.
	link   uint64
	seen   uint64
	demand demand
}

// demand is an entry's wish for slots.
type demand struct {
	waiting int
	since   time.Time
	until   time.Time
}

// Ledger is the aggregate that guards one upstream.
type Ledger struct {
	clock    clockwork.Clock
	self     Identity
	base     time.Time
	upstream Upstream
	draining bool

	// running counts the records whose outcome is Running; it never exceeds
	// the slots less the offers, but for slots withdrawn while in use.
	running int
	// taken tells which slots are running a task or are offered.
	taken slotSet
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
	// confirmed is the latest time, by this clock, at which policy is known
	// to have been the newest one.
	confirmed   time.Time
	resultBytes int
	nextExpiry  time.Time

	effects []Effect
}

// NewLedger returns a ledger with an empty record.
func NewLedger(clock clockwork.Clock, self Identity) *Ledger {
	l := &Ledger{
		clock:   clock,
		self:    self,
		base:    clock.Now(),
		entries: make(map[string]*entryState),
		offers:  make(map[uint64]offer),

		forbidden: make(map[string]forbiddenAttempt),
	}
	for i := range l.records {
		l.records[i] = make(map[courier.TaskID]*record)
	}
	return l
}

// Drain returns the effects since the last call.
func (l *Ledger) Drain() []Effect {
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
		Agent:         l.self.Agent,
		Incarnation:   l.self.Incarnation,
		DataCentre:    l.self.DataCentre,
		Rack:          l.self.Rack,
		Slots:         l.upstream.Slots,
		Services:      l.upstream.Services,
		Draining:      l.draining || l.upstream.Leaving,
		Stopping:      l.draining,
		BundleVersion: l.policy.BundleVersion,
		Stamp:         l.clock.Since(l.base),
		Load:          l.load(entry),
	}
	if e := l.entries[entry]; e != nil {
		a.LinkNumber = e.link
	}
	return a
}

// Confirm takes an entry's answer to a heartbeat: a newer policy, and the time
// up to which the policy is known to be the newest. An older version than the
// one in force is ignored, so that a policy never reverts.
func (l *Ledger) Confirm(r courier.AnnounceReply) {
	l.raiseTerms(r.Terms)
	if r.Policy != nil && r.Policy.BundleVersion > l.policy.BundleVersion {
		l.policy = *r.Policy
	}
	if !r.Fresh || r.BundleVersion != l.policy.BundleVersion {
		return
	}
	at := l.base.Add(r.Stamp).Add(-r.Age)
	if at.After(l.confirmed) {
		l.confirmed = at
	}
	l.offerFree()
}

// Tick drops what has lapsed.
func (l *Ledger) Tick() {
	now := l.clock.Now()
	for id, o := range l.offers {
		if !o.until.After(now) {
			l.endOffer(id)
		}
	}
	l.offerFree()
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(time.Second)
	l.dropForbidden(now)
	for _, part := range l.records {
		for id, r := range part {
			if r.Outcome != courier.Running && r.keepUntil.Before(now) {
				l.resultBytes -= len(r.Result)
				delete(part, id)
			}
		}
	}
}

func (l *Ledger) takenOut() bool {
	return slices.Contains(l.policy.OutDataCentres, l.self.DataCentre)
}

func (l *Ledger) fresh(now time.Time) bool {
	return l.policy.BundleVersion > 0 && now.Before(l.confirmed.Add(FreshFor))
}

// free returns the slots that are neither running nor offered.
func (l *Ledger) free() int {
	return l.upstream.Slots - l.running - len(l.offers)
}

// startable returns the slots that any owner may use now.
func (l *Ledger) startable() int {
	if l.draining || l.upstream.Leaving || l.takenOut() || !l.fresh(l.clock.Now()) {
		return 0
	}
	return max(0, l.free())
}

func (l *Ledger) load(entry string) courier.Load {
	load := courier.Load{Free: l.startable()}
	if e := l.entries[entry]; e != nil {
		load.Seen = e.seen
	}
	if load.Free > 0 {
		load.Mine = l.taken.free(l.owned(entry), l.upstream.Slots)
	}
	return load
}

func (l *Ledger) send(to string, msg any) {
	if to == "" || l.entries[to] == nil {
		return // The next claim on a new link reports what is missed here.
	}
	l.effects = append(l.effects, Send{To: to, Msg: msg})
}
