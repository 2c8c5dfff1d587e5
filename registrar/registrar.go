// Package registrar keeps, at one entry, which other entries exist, which are
// alive, and which of them own partitions. Entries hear of each other through
// the platform's store and through each other; whether one is alive is decided
// by its heartbeats alone.
//
// A Registrar is not safe for concurrent use.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/courier"
)

const (
	// HeartbeatInterval is the time between two heartbeats to an entry.
	HeartbeatInterval = 500 * time.Millisecond
	// AliveTimeout is how long an entry counts as alive after its last heartbeat.
	AliveTimeout = 2 * time.Second
	// MayRunTimeout is how long an entry that is silent here counts as one that may
	// still be running, after the store or another entry last named it.
	MayRunTimeout = 6 * time.Second
	// PauseThreshold is the longest gap between two calls that is no pause of this
	// process.
	PauseThreshold = AliveTimeout / 2
	// JoinDelay is how long a new entry listens before it owns partitions.
	JoinDelay = time.Second
	// AddressTTL drops the address of an entry that nobody has heard of.
	AddressTTL = time.Minute
)

// member is what is known of another entry.
type member struct {
	info    courier.EntryInfo
	ready   bool
	leaving bool
	// stamp is the last stamp received, from incarnation; the next heartbeat
	// echoes it.
	stamp         time.Duration
	incarnation   string
	bundleVersion uint64
	votersVersion uint64
	// lastHeartbeatAt is when the last heartbeat came; named is when the address was
	// last given by the store or by another entry.
	lastHeartbeatAt  time.Time
	lastAdvertisedAt time.Time
}

// Registrar is the aggregate of one entry's view of the others.
type Registrar struct {
	clock     clockwork.Clock
	self      courier.EntryInfo
	startedAt time.Time
	// lastRunNumber is when the registrar last ran; a longer gap than PauseThreshold
	// means that it could hear nobody meanwhile.
	lastCallAt time.Time
	leaving    bool
	members    map[string]*member
}

// NewRegistrar returns a registrar that knows only its own entry.
func NewRegistrar(clock clockwork.Clock, self courier.EntryInfo) *Registrar {
	now := clock.Now()
	return &Registrar{
		clock:      clock,
		self:       self,
		startedAt:  now,
		lastCallAt: now,
		members:    make(map[string]*member),
	}
}

// discountPause leaves the time that this process was paused out of the silence of the
// others.
func (g *Registrar) discountPause() {
	now := g.clock.Now()
	gap := now.Sub(g.lastCallAt)
	g.lastCallAt = now
	if gap <= PauseThreshold {
		return
	}
	for _, m := range g.members {
		m.lastAdvertisedAt = m.lastAdvertisedAt.Add(gap)
		if !m.lastHeartbeatAt.IsZero() {
			m.lastHeartbeatAt = m.lastHeartbeatAt.Add(gap)
		}
	}
}

// BeginShutdown takes this entry out of the view for good.
func (g *Registrar) SetLeaving() { g.leaving = true }

// Leaving reports whether this entry is leaving.
func (g *Registrar) Leaving() bool { return g.leaving }

// Ready reports whether this entry owns partitions.
func (g *Registrar) Ready() bool {
	return !g.leaving && g.clock.Since(g.startedAt) >= JoinDelay
}

// AddEntries notes that other entries exist.
func (g *Registrar) AddEntries(entries []courier.EntryInfo) {
	g.discountPause()
	for _, e := range entries {
		if e.ID == g.self.ID || e.ID == "" {
			continue
		}
		m := g.members[e.ID]
		if m == nil {
			m = &member{}
			g.members[e.ID] = m
		}
		m.info = e
		m.lastAdvertisedAt = g.clock.Now()
	}
}

// HandleHeartbeat takes a heartbeat.
func (g *Registrar) HandleHeartbeat(h courier.PeerHello) {
	if h.Entry.ID == g.self.ID {
		return
	}
	g.AddEntries([]courier.EntryInfo{h.Entry})
	m := g.members[h.Entry.ID]
	m.stamp = h.Stamp
	m.incarnation = h.Incarnation
	m.bundleVersion = h.BundleVersion
	m.votersVersion = h.VotersVersion
	m.ready = h.Ready
	m.leaving = h.Leaving
	m.lastHeartbeatAt = g.clock.Now()
}

// Stamp returns this entry's clock as heartbeats carry it.
func (g *Registrar) Stamp() time.Duration { return g.clock.Since(g.startedAt) }

// StampTime returns the time of this entry's clock that a stamp stands for.
func (g *Registrar) StampTime(stamp time.Duration) time.Time { return g.startedAt.Add(stamp) }

// Echo is what the last heartbeat received from another entry said: its stamp,
// the incarnation that sent it, and the versions in force there.
type Echo struct {
	Stamp         time.Duration
	Incarnation   string
	BundleVersion uint64
	VotersVersion uint64
}

// Echo returns the Echo of an entry, which is zero before its first heartbeat.
func (g *Registrar) Echo(entry string) Echo {
	m := g.members[entry]
	if m == nil {
		return Echo{}
	}
	return Echo{m.stamp, m.incarnation, m.bundleVersion, m.votersVersion}
}

// Tick forgets entries that nobody has heard of for long.
func (g *Registrar) Tick() {
	g.discountPause()
	now := g.clock.Now()
	for id, m := range g.members {
		if now.Sub(m.lastHeartbeatAt) > AddressTTL && now.Sub(m.lastAdvertisedAt) > AddressTTL {
			delete(g.members, id)
		}
	}
}

func (g *Registrar) alive(m *member) bool {
	return g.clock.Since(m.lastHeartbeatAt) < AliveTimeout
}

// View returns the entries that own partitions, in order.
func (g *Registrar) View() []string {
	g.discountPause()
	var out []string
	if g.Ready() {
		out = append(out, g.self.ID)
	}
	for id, m := range g.members {
		if g.alive(m) && m.ready && !m.leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ownsExclusively reports whether m may be running out of reach of this entry: it has
// been heard here, has not said that it leaves, and is still being named.
func (g *Registrar) mayRun(m *member) bool {
	return !m.lastHeartbeatAt.IsZero() && !m.leaving && g.clock.Since(m.lastAdvertisedAt) < MayRunTimeout
}

// Peers returns the other entries that are alive or may be, in order. A
// leaving one is among them only while it still runs.
func (g *Registrar) Peers() []string {
	g.discountPause()
	var out []string
	for id, m := range g.members {
		if g.alive(m) || g.mayRun(m) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// KnownEntries returns the other entries that have been named, in order.
func (g *Registrar) KnownEntries() []courier.EntryInfo {
	var out []courier.EntryInfo
	for _, m := range g.members {
		out = append(out, m.info)
	}
	slices.SortFunc(out, compareInfos)
	return out
}

// AliveEntries returns this entry, unless it is leaving, and the live others.
func (g *Registrar) AliveEntries() []courier.EntryInfo {
	var out []courier.EntryInfo
	if !g.leaving {
		out = append(out, g.self)
	}
	for _, m := range g.members {
		if g.alive(m) && !m.leaving {
			out = append(out, m.info)
		}
	}
	slices.SortFunc(out, compareInfos)
	return out
}

func compareInfos(a, b courier.EntryInfo) int { return cmp.Compare(a.ID, b.ID) }
