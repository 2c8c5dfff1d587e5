// Package tracker tracks, at one entry, which other entries exist, which are alive,
// and which of them own partitions. Entries learn of each other from the platform's
// store and from other entries; whether an entry is alive is decided by its heartbeats
// alone.
//
// A Tracker is not safe for concurrent use.
package tracker

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

// Tracker holds one entry's view of the other entries.
type Tracker struct {
	clock     clockwork.Clock
	self      courier.EntryInfo
	startedAt time.Time
	// lastCallAt is when the tracker was last called; a gap longer than
	// PauseThreshold means that no heartbeat could be received in the meantime.
	lastCallAt time.Time
	leaving    bool
	members    map[string]*member
}

// NewTracker returns a tracker that knows only its own entry.
func NewTracker(clock clockwork.Clock, self courier.EntryInfo) *Tracker {
	now := clock.Now()
	return &Tracker{
		clock:      clock,
		self:       self,
		startedAt:  now,
		lastCallAt: now,
		members:    make(map[string]*member),
	}
}

// discountPause detects a pause of this process. It moves the recorded times forward by
// the length of the pause, so that the pause does not count as time without heartbeats
// from the others.
func (t *Tracker) discountPause() {
	now := t.clock.Now()
	gap := now.Sub(t.lastCallAt)
	t.lastCallAt = now
	if gap <= PauseThreshold {
		return
	}
	for _, m := range t.members {
		m.lastAdvertisedAt = m.lastAdvertisedAt.Add(gap)
		if !m.lastHeartbeatAt.IsZero() {
			m.lastHeartbeatAt = m.lastHeartbeatAt.Add(gap)
		}
	}
}

// SetLeaving records that the planned stop of this entry has begun. It removes the entry
// from its own view for good.
func (t *Tracker) SetLeaving() { t.leaving = true }

// Leaving reports whether the planned stop of this entry has begun.
func (t *Tracker) Leaving() bool { return t.leaving }

// Ready reports whether this entry owns partitions.
func (t *Tracker) Ready() bool {
	return !t.leaving && t.clock.Since(t.startedAt) >= JoinDelay
}

// AddEntries records that entries exist and have just been advertised.
func (t *Tracker) AddEntries(entries []courier.EntryInfo) {
	t.discountPause()
	for _, e := range entries {
		if e.ID == t.self.ID || e.ID == "" {
			continue
		}
		m := t.members[e.ID]
		if m == nil {
			m = &member{}
			t.members[e.ID] = m
		}
		m.info = e
		m.lastAdvertisedAt = t.clock.Now()
	}
}

// HandleHeartbeat records a heartbeat of another entry.
func (t *Tracker) HandleHeartbeat(h courier.PeerHello) {
	if h.Entry.ID == t.self.ID {
		return
	}
	t.AddEntries([]courier.EntryInfo{h.Entry})
	m := t.members[h.Entry.ID]
	m.stamp = h.Stamp
	m.incarnation = h.Incarnation
	m.bundleVersion = h.BundleVersion
	m.votersVersion = h.VotersVersion
	m.ready = h.Ready
	m.leaving = h.Leaving
	m.lastHeartbeatAt = t.clock.Now()
}

// Stamp returns the current timestamp for heartbeats: the time since this entry started.
func (t *Tracker) Stamp() time.Duration { return t.clock.Since(t.startedAt) }

// StampTime converts a timestamp of this entry to a time of its clock.
func (t *Tracker) StampTime(stamp time.Duration) time.Time { return t.startedAt.Add(stamp) }

// Echo holds the contents of the last heartbeat received from another entry: its
// timestamp, the incarnation that sent it, and the versions in force there.
type Echo struct {
	Stamp         time.Duration
	Incarnation   string
	BundleVersion uint64
	VotersVersion uint64
}

// Echo returns the Echo of an entry, which is zero before its first heartbeat.
func (t *Tracker) Echo(entry string) Echo {
	m := t.members[entry]
	if m == nil {
		return Echo{}
	}
	return Echo{m.stamp, m.incarnation, m.bundleVersion, m.votersVersion}
}

// Tick evicts entries without a heartbeat or an advertisement within AddressTTL.
func (t *Tracker) Tick() {
	t.discountPause()
	now := t.clock.Now()
	for id, m := range t.members {
		if now.Sub(m.lastHeartbeatAt) > AddressTTL && now.Sub(m.lastAdvertisedAt) > AddressTTL {
			delete(t.members, id)
		}
	}
}

func (t *Tracker) alive(m *member) bool {
	return t.clock.Since(m.lastHeartbeatAt) < AliveTimeout
}

// View returns the IDs of the entries that own partitions, sorted.
func (t *Tracker) View() []string {
	t.discountPause()
	var out []string
	if t.Ready() {
		out = append(out, t.self.ID)
	}
	for id, m := range t.members {
		if t.alive(m) && m.ready && !m.leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// mayRun reports whether m may be running although it cannot be reached from here: a
// heartbeat of it has arrived, it has not announced a planned stop, and it is still being
// advertised.
func (t *Tracker) mayRun(m *member) bool {
	return !m.lastHeartbeatAt.IsZero() && !m.leaving && t.clock.Since(m.lastAdvertisedAt) < MayRunTimeout
}

// Peers returns the IDs of the other entries that are alive or may be running, sorted. A
// leaving entry is included only while it is alive.
func (t *Tracker) Peers() []string {
	t.discountPause()
	var out []string
	for id, m := range t.members {
		if t.alive(m) || t.mayRun(m) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// KnownEntries returns the other entries that have been advertised and not evicted,
// sorted by ID.
func (t *Tracker) KnownEntries() []courier.EntryInfo {
	var out []courier.EntryInfo
	for _, m := range t.members {
		out = append(out, m.info)
	}
	slices.SortFunc(out, compareInfos)
	return out
}

// AliveEntries returns this entry and the others that are alive, without leaving ones,
// sorted by ID.
func (t *Tracker) AliveEntries() []courier.EntryInfo {
	var out []courier.EntryInfo
	if !t.leaving {
		out = append(out, t.self)
	}
	for _, m := range t.members {
		if t.alive(m) && !m.leaving {
			out = append(out, m.info)
		}
	}
	slices.SortFunc(out, compareInfos)
	return out
}

func compareInfos(a, b courier.EntryInfo) int { return cmp.Compare(a.ID, b.ID) }
