package executor

import (
	"slices"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// entry is the agent's state for one entry.
type entry struct {
	name        string
	incarnation int64
	// lastSeenAt is when the entry is last known to have been running.
	lastSeenAt time.Time
	// lastTimestamp is the last timestamp received from the entry, which reports echo.
	lastTimestamp time.Duration
	// lastPlace is the number of the last Place.
	lastPlace uint64
	// lastPlaceAt is when the last Place was received.
	lastPlaceAt time.Time
	// linkOpen is whether a link is open.
	linkOpen bool
	// runsSent is whether a list of all its runs has been sent on this link.
	runsSent bool
	// upstreamSent is whether the present state of the worker has been sent on this
	// link.
	upstreamSent bool
	// stateChanged is whether the state has changed since the last report, and
	// capacityChanged whether the capacity has.
	stateChanged    bool
	capacityChanged bool
	reportedAt      time.Time
	// reportedFree is the free capacity in the last report.
	reportedFree messenger.Resources
	// reportedBackfill is the capacity for backfill in the last report.
	reportedBackfill messenger.Resources
	// reportedSpeed is the last speed of the worker that was reported on this link.
	reportedSpeed speedEstimate
	// reportedHolders is the last Holders that was reported on this link.
	reportedHolders uint64
	// backlog is what waits for capacity at the entry. weightedUse is the number of
	// tasks that it has placed, in proportion to its backlog.
	backlog     messenger.Backlog
	weightedUse float64
	// waitingSince is when the backlog last became non-empty.
	waitingSince time.Time
	// turnTimestamp is the timestamp of the report that began its last turn, zero once
	// the entry has reacted to it. meanReaction is the mean time that it takes to
	// react.
	turnTimestamp time.Duration
	meanReaction  time.Duration
	// heartbeatAt is when the last heartbeat, with the progress of runs, was sent.
	heartbeatAt time.Time
	outcomes    outcomeQueue
	// crashesSent is the number of the last crash sent on this link.
	crashesSent int
	// holder is the present incarnation as the holder of locks. Those of an earlier
	// incarnation, whose runs may go on, expire on their own.
	holder *lockHolder
	// evacuations are those that the entry has told on the present link.
	evacuations evacuator.View
}

// HandleHello processes a Hello, which opens a link of an entry. Runs of an earlier
// incarnation are cancelled, since their callers are disconnected.
func (x *Executor) HandleHello(h messenger.Hello) {
	now := x.clock.Now()
	x.expireTimedOut(now)
	e := x.entries[h.Entry]
	if e == nil {
		e = &entry{name: h.Entry}
		x.entries[h.Entry] = e
		x.sortedEntries = append(x.sortedEntries, e)
		slices.SortFunc(x.sortedEntries, func(a, b *entry) int { return strings.Compare(a.name, b.name) })
	}
	if e.incarnation != h.Incarnation {
		x.orphanRunsOf(h.Entry)
		e.incarnation = h.Incarnation
		e.outcomes = outcomeQueue{}
		e.holder = newLockHolder(h.Entry, h.Incarnation)
	}
	x.contactHolder(e)
	if !x.hasRunsOf(h.Entry) {
		// A Hello that was read late must not keep runs alive.
		e.lastSeenAt = now
	}
	x.endReservationOf(e, "link of its entry replaced")
	e.lastPlace = 0
	e.lastTimestamp = 0
	e.linkOpen = true
	e.outcomes.sentNumber = 0
	e.crashesSent = 0
	e.runsSent = false
	e.upstreamSent = false
	e.reportedSpeed = speedEstimate{value: 1}
	e.reportedHolders = 0
	e.stateChanged = true
	e.backlog = messenger.Backlog{}
	e.evacuations = evacuator.View{}
	x.tellWitnesses(e)
	x.noteCrashesOf(h)
	if x.upstream.Born == 0 && x.upstream.ID == "" && h.Upstream.Born != 0 {
		x.RestoreUpstream(h.Upstream)
	}
}

// HandleLinkClosed records that the link of an entry has closed.
func (x *Executor) HandleLinkClosed(name string) {
	if e := x.entries[name]; e != nil {
		e.linkOpen = false
		x.endReservationOf(e, "link of its entry closed")
	}
}

// HandleHeartbeat processes an entry's heartbeat.
func (x *Executor) HandleHeartbeat(name string, h messenger.Heartbeat) {
	e := x.entries[name]
	if e == nil {
		return
	}
	if h.Timestamp-e.lastTimestamp > 2*messenger.HeartbeatInterval {
		// The entry was paused and waits for an echo.
		e.stateChanged = true
	}
	e.lastTimestamp = h.Timestamp
	e.outcomes.acknowledge(h.AckedOutcome)
	x.receiveEvacuations(e, h)
	x.updateBacklog(e, h.Backlog)
	x.contactHolder(e)
	x.unlockJobs(e, h.Unlocked)
	x.recordContact(e, h.Echo)
	// The agent's own heartbeat goes out with this one, while both processes are
	// running.
	if now := x.clock.Now(); e.linkOpen && now.Sub(e.heartbeatAt) >= earlyHeartbeatAfter {
		x.sendReport(e, now, true)
	}
}

// recordContact records that an entry was running when it received the timestamp that
// it echoes. Its message may have been read late.
func (x *Executor) recordContact(e *entry, echo time.Duration) {
	if echo == 0 {
		return
	}
	sentAt := x.startedAt.Add(echo + echoTolerance)
	if now := x.clock.Now(); sentAt.After(now) {
		sentAt = now
	}
	if sentAt.After(e.lastSeenAt) {
		e.lastSeenAt = sentAt
	}
}

// hasRunsOf reports whether an entry has runs here.
func (x *Executor) hasRunsOf(name string) bool {
	for _, r := range x.runs {
		if r.owner == name {
			return true
		}
	}
	return false
}

// orphanRunsOf cancels the runs of an earlier incarnation of an entry and clears their
// owner, so that the next incarnation may claim them.
func (x *Executor) orphanRunsOf(name string) {
	x.cancelRunsOf(name)
	for _, r := range x.runs {
		if r.owner == name {
			r.owner = ""
		}
	}
}

// receiveEvacuations processes what an entry tells of the evacuations in a heartbeat.
func (x *Executor) receiveEvacuations(e *entry, h messenger.Heartbeat) {
	e.evacuations = evacuator.Received(h.Evacuations, x.startedAt, h.Echo, x.clock.Now())
	x.learnEvacuations(e.evacuations, e.name)
}

// expireTimedOut cancels the runs of entries that have timed out, so that their callers
// may have the jobs run elsewhere. It also cancels orphans that no entry has claimed in
// time.
func (x *Executor) expireTimedOut(now time.Time) {
	for _, e := range slices.Clone(x.sortedEntries) {
		if now.Sub(e.lastSeenAt) <= entryTimeout {
			continue
		}
		x.cancelRunsOf(e.name)
		x.endReservationOf(e, "its entry timed out")
		if !e.linkOpen && now.Sub(e.lastSeenAt) > endRetention {
			delete(x.entries, e.name)
			x.sortedEntries = slices.DeleteFunc(x.sortedEntries, func(o *entry) bool { return o == e })
		}
	}
	orphaned := func(r *run) bool { return r.owner == "" && !r.cancelled && now.After(r.expiresAt) }
	for _, r := range x.sortedRunsWhere(orphaned) {
		x.cancelWithDeadline(r, now)
	}
}

// cancelRunsOf cancels the runs of an entry. They have to end soon.
func (x *Executor) cancelRunsOf(owner string) {
	for _, r := range x.sortedRunsWhere(func(r *run) bool { return r.owner == owner && !r.cancelled }) {
		x.emit(Note{Run: r.Run, Owner: owner, What: "run dropped", Why: "entry timed out or restarted"})
		x.cancelWithDeadline(r, x.clock.Now())
	}
}

// cancelWithDeadline cancels a run that no entry waits for any more and that has to end
// within stopTimeout.
func (x *Executor) cancelWithDeadline(r *run, now time.Time) {
	x.cancel(r)
	r.stopDeadline = now.Add(stopTimeout)
}
