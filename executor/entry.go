package executor

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// entry is what the agent knows of one entry.
type entry struct {
	name        string
	incarnation int64
	// lastSeenAt is when the entry is last known to have been there.
	lastSeenAt time.Time
	// lastTimestamp is the entry's last stamp.
	lastTimestamp time.Duration
	// lastPlace is the number of the last Place.
	lastPlace uint64
	// lastPlaceAt is when the last Place came.
	lastPlaceAt time.Time
	// linkOpen is whether a link is open.
	linkOpen bool
	// runsSent is whether the entry has had a list of all its runs on this link.
	runsSent bool
	// upstreamSent is whether the entry has had what is known of the worker.
	upstreamSent bool
	// stateChanged is whether the entry has not heard of the present state, and
	// capacityChanged whether that is of the room alone.
	stateChanged    bool
	capacityChanged bool
	reportedAt      time.Time
	// reportedFree is the room that the entry was last told of.
	reportedFree messenger.Resources
	// reportedBackfill is the same of the room for tasks that end soon.
	reportedBackfill messenger.Resources
	// reportedSpeed is the speed of the worker that the entry was last told of.
	reportedSpeed speedEstimate
	// backlog is what waits there, and share the room that it has had in
	// proportion to that.
	backlog     messenger.Backlog
	weightedUse float64
	// waitingSince is since when tasks have waited there.
	waitingSince time.Time
	// turnTimestamp is the stamp of the report that began its last turn, zero once it
	// has been answered, and reaction the mean time that it takes to answer.
	turnTimestamp time.Duration
	meanReaction  time.Duration
	// lastHeartbeatAt is when the progress of runs was last told.
	heartbeatAt time.Time
	outcomes    outcomeQueue
	held        heldJobs
}

// HandleHello opens a link of an entry. Runs of an earlier incarnation are dropped,
// since their callers are gone.
func (x *Executor) HandleHello(h messenger.Hello) {
	now := x.clock.Now()
	x.expireSilent(now)
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
		e.held.retire()
	}
	if !x.hasRunsOf(h.Entry) {
		// A Hello that was read late must not keep runs alive.
		e.lastSeenAt = now
	}
	x.endReservationOf(e, "link of its entry replaced")
	e.lastPlace = 0
	e.lastTimestamp = 0
	e.linkOpen = true
	e.outcomes.sentNumber = 0
	e.runsSent = false
	e.upstreamSent = false
	e.reportedSpeed = speedEstimate{value: 1}
	e.held.sent = false
	e.stateChanged = true
	e.backlog = messenger.Backlog{}
	if x.upstream.Born == 0 && x.upstream.ID == "" && h.Upstream.Born != 0 {
		x.SetUpstream(h.Upstream)
	}
}

// HandleLinkClosed notes that the link of an entry has ended.
func (x *Executor) HandleLinkClosed(name string) {
	if e := x.entries[name]; e != nil {
		e.linkOpen = false
		x.endReservationOf(e, "link of its entry closed")
	}
}

// HandleHeartbeat notes an entry's heartbeat.
func (x *Executor) HandleHeartbeat(name string, b messenger.Heartbeat) {
	e := x.entries[name]
	if e == nil {
		return
	}
	if b.Timestamp-e.lastTimestamp > 2*messenger.HeartbeatInterval {
		// The entry was paused and waits for an echo.
		e.stateChanged = true
	}
	e.lastTimestamp = b.Timestamp
	e.outcomes.acknowledge(b.AckedOutcome)
	x.applyDirectives(name, b)
	x.updateBacklog(e, b.Backlog)
	x.updateHeld(e, b.HeldJobs)
	x.recordContact(e, b.Echo)
	// The answer goes out while both sides are awake for this one.
	if now := x.clock.Now(); e.linkOpen && now.Sub(e.heartbeatAt) >= earlyHeartbeatAfter {
		x.sendReport(e, now, true)
	}
}

// recordContact notes that an entry was there when it had seen one of our stamps. The
// message may have been read late.
func (x *Executor) recordContact(e *entry, echo time.Duration) {
	if echo == 0 {
		return
	}
	said := x.startedAt.Add(echo + echoTolerance)
	if now := x.clock.Now(); said.After(now) {
		said = now
	}
	if said.After(e.lastSeenAt) {
		e.lastSeenAt = said
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

// orphanRunsOf drops the runs of an earlier incarnation of an entry. The next one may
// claim them.
func (x *Executor) orphanRunsOf(name string) {
	x.cancelRunsOf(name)
	for _, r := range x.runs {
		if r.owner == name {
			r.owner = ""
		}
	}
}

// applyDirectives takes in the operators' directives, unless newer ones are known.
func (x *Executor) applyDirectives(name string, b messenger.Heartbeat) {
	if b.Revision < x.directivesRevision {
		return
	}
	evacuated := slices.Contains(b.Evacuated, x.identity.DataCentre)
	if evacuated != x.evacuated {
		x.emit(Note{Owner: name, What: "evacuation changed", Why: strconv.FormatBool(evacuated)})
	}
	x.directivesRevision = b.Revision
	x.evacuated = evacuated
	if evacuated {
		x.endReservation("data centre evacuated")
		x.refuseWaiting(messenger.RefusedEvacuated)
	}
}

// expireSilent drops the runs of entries that have been silent for too long, so
// that their callers may have the jobs run elsewhere.
func (x *Executor) expireSilent(now time.Time) {
	for _, e := range slices.Clone(x.sortedEntries) {
		if now.Sub(e.lastSeenAt) <= entryTimeout {
			continue
		}
		x.cancelRunsOf(e.name)
		x.endReservationOf(e, "its entry is silent")
		if !e.linkOpen && now.Sub(e.lastSeenAt) > endRetention {
			delete(x.entries, e.name)
			x.sortedEntries = slices.DeleteFunc(x.sortedEntries, func(o *entry) bool { return o == e })
		}
	}
	unclaimed := func(r *run) bool { return r.owner == "" && !r.cancelled && now.After(r.expiresAt) }
	for _, r := range x.sortedRunsWhere(unclaimed) {
		x.cancelWithDeadline(r, now)
	}
}

func (x *Executor) cancelRunsOf(owner string) {
	for _, r := range x.sortedRunsWhere(func(r *run) bool { return r.owner == owner && !r.cancelled }) {
		x.emit(Note{Run: r.Run, Owner: owner, What: "run dropped", Why: "entry silent or restarted"})
		x.cancelWithDeadline(r, x.clock.Now())
	}
}

// cancelWithDeadline drops a run that nobody waits for any more, and that has to end soon.
func (x *Executor) cancelWithDeadline(r *run, now time.Time) {
	x.cancel(r)
	r.stopDeadline = now.Add(stopTimeout)
}

// markStateChanged marks that entries have not heard of the present state.
func (x *Executor) markStateChanged() {
	for _, e := range x.entries {
		e.stateChanged = true
	}
}

// markCapacityChanged marks that entries have not heard of the present room.
func (x *Executor) markCapacityChanged() {
	for _, e := range x.entries {
		e.capacityChanged = true
	}
}

// markUpstreamChanged marks that entries have not heard of the present worker.
func (x *Executor) markUpstreamChanged() {
	for _, e := range x.entries {
		e.upstreamSent = false
	}
	x.markStateChanged()
}

// sendDueReports reports to the entries that have something to hear.
func (x *Executor) sendDueReports() {
	now := x.clock.Now()
	x.updateTurn(now)
	interval := capacityReportInterval * time.Duration(x.openLinks())
	for _, e := range x.sortedEntries {
		if e.linkOpen && x.reportDue(e, interval, now) {
			x.sendReport(e, now, now.Sub(e.heartbeatAt) >= earlyHeartbeatAfter)
		}
	}
}

// reportDue reports whether an entry has something to hear now. Interval is the least
// time between two reports of room.
func (x *Executor) reportDue(e *entry, interval time.Duration, now time.Time) bool {
	since := now.Sub(e.reportedAt)
	switch {
	case e.outcomes.hasUnsent(), x.completionUnreported(e), x.turn.contended && x.offerDiffers(e, now):
		return true
	case e.stateChanged, e.capacityChanged && e.backlog.Tasks > 0:
		return since >= interval
	case e.capacityChanged && now.Sub(e.lastPlaceAt) < entryIdleAfter:
		return since >= max(interval, relaxedReportInterval)
	}
	return false
}

// sendHeartbeats reports to the entries that have heard nothing for a while.
func (x *Executor) sendHeartbeats(now time.Time) {
	for _, e := range x.sortedEntries {
		if e.linkOpen && now.Sub(e.heartbeatAt) >= messenger.HeartbeatInterval {
			x.sendReport(e, now, true)
		}
	}
}

// sendReport sends one report, with the progress of runs in a heartbeat. Ends and
// refusals are kept for the next link when none is open.
func (x *Executor) sendReport(e *entry, now time.Time, beat bool) {
	r := messenger.Report{
		Agent:                 x.identity.Agent,
		DataCentre:            x.identity.DataCentre,
		Incarnation:           x.identity.Incarnation,
		Timestamp:             x.timestamp(),
		Echo:                  e.lastTimestamp,
		AckedPlace:            e.lastPlace,
		Free:                  x.capacityToReport(e),
		UnansweredCalls:       x.poll.unanswered,
		ConsecutiveFailedJobs: x.failures.jobs,
		ConnectedEntries:      x.openLinks(),
		Leaving:               x.shuttingDown,
		ReservationNumber:     x.reservationNumber(e),
		Backfill:              x.backfillFor(e, now),
	}
	r.Ended, r.Refused, r.LastOutcome = e.outcomes.takeUnsent()
	r.Pace, r.PaceJobs = x.paceSamples.median(now)
	if e.backlog.WantsForecast {
		r.Forecast = x.forecast(now)
	}
	s := x.speedToReport(e, now, beat)
	r.Speed, r.SpeedJobs = s.value, s.jobs
	if !e.upstreamSent {
		up := x.usableUpstream()
		r.Upstream = &up
		e.upstreamSent = true
	}
	if (beat || !e.runsSent) && !e.held.sent {
		others := x.heldByOthers(e)
		r.HeldJobs = &others
		e.held.sent = true
	}
	// A list of runs is complete only after the worker has been seen.
	if !e.runsSent && x.runsKnown {
		r.RunsComplete = true
		e.runsSent = true
		r.Ended = append(r.Ended, x.sortedUnclaimedEnds()...)
	}
	if beat || r.RunsComplete {
		e.heartbeatAt = now
		r.Runs = x.progressFor(e, r.RunsComplete)
	}
	if r.RunsComplete {
		x.emit(Note{Owner: e.name, Worker: x.upstream.ID, What: "list of runs sent", Why: fmt.Sprintf("%d runs", len(r.Runs)), Age: x.clock.Since(x.poll.sentAt)})
	}
	e.stateChanged = false
	e.capacityChanged = false
	e.reportedFree = r.Free
	e.reportedBackfill = r.Backfill.Resources
	e.reportedAt = now
	x.emit(SendReport{Entry: e.name, Report: r})
}

// openLinks counts the entries with an open link.
func (x *Executor) openLinks() int {
	n := 0
	for _, e := range x.sortedEntries {
		if e.linkOpen {
			n++
		}
	}
	return n
}

// progressFor lists the runs of an entry, and those that it may claim in a complete
// list.
func (x *Executor) progressFor(e *entry, complete bool) []messenger.Progress {
	var out []messenger.Progress
	for _, r := range x.sortedRuns() {
		if r.owner == e.name || (complete && r.owner == "") {
			out = append(out, x.progressOf(r))
		}
		out = append(out, r.joinedProgress(e.name)...)
	}
	return out
}

// joinedProgress lists the placements of an entry that get the outcome of a run.
func (r *run) joinedProgress(name string) []messenger.Progress {
	var out []messenger.Progress
	for _, c := range r.joined {
		if c.entry == name {
			out = append(out, messenger.Progress{Run: c.run})
		}
	}
	return out
}

func (x *Executor) progressOf(r *run) messenger.Progress {
	return messenger.Progress{Run: r.Run, Percent: r.percent, Age: r.progressAge}
}

// usableUpstream returns the worker as entries may use it.
func (x *Executor) usableUpstream() messenger.Upstream {
	if x.departed {
		return messenger.Upstream{ID: x.upstream.ID}
	}
	return x.upstream
}
