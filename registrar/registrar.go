// Package registrar tracks, at one entry, which other entries exist, which are alive,
// and which of them own partitions. Entries learn of each other from the platform's
// store and from other entries; whether an entry is alive is decided by its heartbeats
// alone.
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
	// HeartbeatInterval is the interval between heartbeats to another entry.
	HeartbeatInterval = 500 * time.Millisecond
	// AliveTimeout is how long an entry counts as alive after its last heartbeat.
	AliveTimeout = 2 * time.Second
	// MayRunTimeout is how long an entry without heartbeats counts as one that may still
	// be running, after the store or another entry last advertised it.
	MayRunTimeout = 6 * time.Second
	// PauseThreshold is the gap between two calls above which this process counts as
	// having been paused.
	PauseThreshold = AliveTimeout / 2
	// JoinDelay is how long a new entry collects heartbeats before it owns partitions.
	JoinDelay = time.Second
	// AddressTTL is how long the address of an entry is kept after its last heartbeat
	// and its last advertisement.
	AddressTTL = time.Minute
)

// member is the state of another entry.
type member struct {
	info    courier.EntryInfo
	ready   bool
	leaving bool
	// stamp is the last timestamp received, sent by incarnation; the next heartbeat to
	// the entry echoes it.
	stamp         time.Duration
	incarnation   string
	bundleVersion uint64
	votersVersion uint64
	// lastHeartbeatAt is when the last heartbeat arrived; lastAdvertisedAt is when the
	// store or an entry last listed the address.
	lastHeartbeatAt  time.Time
	lastAdvertisedAt time.Time
}

// Registrar holds one entry's view of the other entries.
type Registrar struct {
	clock     clockwork.Clock
	self      courier.EntryInfo
	startedAt time.Time
	// lastCallAt is when the registrar was last called; a gap longer than
	// PauseThreshold means that no heartbeat could be received in the meantime.
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

// discountPause does not count the time in which this process was paused as time
// without heartbeats from the others.
func (r *Registrar) discountPause() {
	now := r.clock.Now()
	gap := now.Sub(r.lastCallAt)
	r.lastCallAt = now
	if gap <= PauseThreshold {
		return
	}
	for _, m := range r.members {
		m.lastAdvertisedAt = m.lastAdvertisedAt.Add(gap)
		if !m.lastHeartbeatAt.IsZero() {
			m.lastHeartbeatAt = m.lastHeartbeatAt.Add(gap)
		}
	}
}

// SetLeaving removes this entry from the view for good.
func (r *Registrar) SetLeaving() { r.leaving = true }

// Leaving reports whether the planned stop of this entry has begun.
func (r *Registrar) Leaving() bool { return r.leaving }

// Ready reports whether this entry owns partitions.
func (r *Registrar) Ready() bool {
	return !r.leaving && r.clock.Since(r.startedAt) >= JoinDelay
}

// AddEntries records that entries exist and have just been advertised.
func (r *Registrar) AddEntries(entries []courier.EntryInfo) {
	r.discountPause()
	for _, e := range entries {
		if e.ID == r.self.ID || e.ID == "" {
			continue
		}
		m := r.members[e.ID]
		if m == nil {
			m = &member{}
			r.members[e.ID] = m
		}
		m.info = e
		m.lastAdvertisedAt = r.clock.Now()
	}
}

// HandleHeartbeat records a heartbeat of another entry.
func (r *Registrar) HandleHeartbeat(h courier.PeerHello) {
	if h.Entry.ID == r.self.ID {
		return
	}
	r.AddEntries([]courier.EntryInfo{h.Entry})
	m := r.members[h.Entry.ID]
	m.stamp = h.Stamp
	m.incarnation = h.Incarnation
	m.bundleVersion = h.BundleVersion
	m.votersVersion = h.VotersVersion
	m.ready = h.Ready
	m.leaving = h.Leaving
	m.lastHeartbeatAt = r.clock.Now()
}

// Stamp returns the current timestamp for heartbeats: the time since this entry started.
func (r *Registrar) Stamp() time.Duration { return r.clock.Since(r.startedAt) }

// StampTime converts a timestamp of this entry to a time of its clock.
func (r *Registrar) StampTime(stamp time.Duration) time.Time { return r.startedAt.Add(stamp) }

// Echo holds the contents of the last heartbeat received from another entry: its
// timestamp, the incarnation that sent it, and the versions in force there.
type Echo struct {
	Stamp         time.Duration
	Incarnation   string
	BundleVersion uint64
	VotersVersion uint64
}

// Echo returns the Echo of an entry, which is zero before its first heartbeat.
func (r *Registrar) Echo(entry string) Echo {
	m := r.members[entry]
	if m == nil {
		return Echo{}
	}
	return Echo{m.stamp, m.incarnation, m.bundleVersion, m.votersVersion}
}

// Tick evicts entries without a heartbeat or an advertisement within AddressTTL.
func (r *Registrar) Tick() {
	r.discountPause()
	now := r.clock.Now()
	for id, m := range r.members {
		if now.Sub(m.lastHeartbeatAt) > AddressTTL && now.Sub(m.lastAdvertisedAt) > AddressTTL {
			delete(r.members, id)
		}
	}
}

func (r *Registrar) alive(m *member) bool {
	return r.clock.Since(m.lastHeartbeatAt) < AliveTimeout
}

// View returns the IDs of the entries that own partitions, sorted.
func (r *Registrar) View() []string {
	r.discountPause()
	var out []string
	if r.Ready() {
		out = append(out, r.self.ID)
	}
	for id, m := range r.members {
		if r.alive(m) && m.ready && !m.leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// mayRun reports whether m may be running although it cannot be reached from here: a
// heartbeat of it has arrived, it has not announced a planned stop, and it is still being
// advertised.
func (r *Registrar) mayRun(m *member) bool {
	return !m.lastHeartbeatAt.IsZero() && !m.leaving && r.clock.Since(m.lastAdvertisedAt) < MayRunTimeout
}

// Peers returns the IDs of the other entries that are alive or may be running, sorted. A
// leaving entry is included only while it is alive.
func (r *Registrar) Peers() []string {
	r.discountPause()
	var out []string
	for id, m := range r.members {
		if r.alive(m) || r.mayRun(m) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// KnownEntries returns the other entries that have been advertised and not evicted,
// sorted by ID.
func (r *Registrar) KnownEntries() []courier.EntryInfo {
	var out []courier.EntryInfo
	for _, m := range r.members {
		out = append(out, m.info)
	}
	slices.SortFunc(out, compareInfos)
	return out
}

// AliveEntries returns this entry and the others that are alive, without leaving ones,
// sorted by ID.
func (r *Registrar) AliveEntries() []courier.EntryInfo {
	var out []courier.EntryInfo
	if !r.leaving {
		out = append(out, r.self)
	}
	for _, m := range r.members {
		if r.alive(m) && !m.leaving {
			out = append(out, m.info)
		}
	}
	slices.SortFunc(out, compareInfos)
	return out
}

func compareInfos(a, b courier.EntryInfo) int { return cmp.Compare(a.ID, b.ID) }
