package executor

import (
	"fmt"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// markStateChanged marks that a changed state has to be reported to all entries.
func (x *Executor) markStateChanged() {
	for _, e := range x.entries {
		e.stateChanged = true
	}
}

// markCapacityChanged marks that changed capacity has to be reported to all entries.
func (x *Executor) markCapacityChanged() {
	for _, e := range x.entries {
		e.capacityChanged = true
	}
}

// markUpstreamChanged marks that the present worker has to be sent to all entries.
func (x *Executor) markUpstreamChanged() {
	for _, e := range x.entries {
		e.upstreamSent = false
	}
	x.markStateChanged()
}

// sendDueReports sends a report to each entry for which one is due.
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

// reportDue reports whether a report to an entry is due. The interval is the minimum
// time between two reports of changed capacity.
func (x *Executor) reportDue(e *entry, interval time.Duration, now time.Time) bool {
	since := now.Sub(e.reportedAt)
	switch {
	case e.outcomes.hasUnsent(), e.crashesSent < x.lastCrash, x.completionUnreported(e), x.turn.contended && x.offerDiffers(e, now):
		return true
	case e.stateChanged, e.capacityChanged && e.backlog.Tasks > 0:
		return since >= interval
	case e.capacityChanged && now.Sub(e.lastPlaceAt) < entryIdleAfter:
		return since >= max(interval, relaxedReportInterval)
	}
	return false
}

// sendHeartbeats sends a heartbeat to each entry whose last one is older than
// messenger.HeartbeatInterval.
func (x *Executor) sendHeartbeats(now time.Time) {
	for _, e := range x.sortedEntries {
		if e.linkOpen && now.Sub(e.heartbeatAt) >= messenger.HeartbeatInterval {
			x.sendReport(e, now, true)
		}
	}
}

// sendReport sends one report, which as a heartbeat has the progress of runs. When no
// link is open, ends and refusals are kept for the next one.
func (x *Executor) sendReport(e *entry, now time.Time, heartbeat bool) {
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
	r.Crashes = x.takeUnsentCrashes(e)
	r.Pace, r.PaceJobs = x.paceSamples.median(now)
	if e.backlog.WantsForecast {
		r.Forecast = x.forecast(now)
	}
	r.Evacuations = x.evacuationsFor(e, now)
	s := x.speedToReport(e, now, heartbeat)
	r.Speed, r.SpeedJobs = s.value, s.jobs
	if holders := x.locks.listedHash; holders != e.reportedHolders {
		r.Holders = holders
		e.reportedHolders = holders
	}
	if !e.upstreamSent {
		up := x.usableUpstream()
		r.Upstream = &up
		e.upstreamSent = true
	}
	// A list of runs is complete only once it is known which runs the worker has.
	if !e.runsSent && x.runsKnown {
		r.RunsComplete = true
		e.runsSent = true
		r.Ended = append(r.Ended, x.sortedUnclaimedEnds()...)
	}
	if heartbeat || r.RunsComplete {
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

// progressFor lists the progress of an entry's runs. A complete list has the orphans
// too, which the entry may claim.
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

// joinedProgress lists the placements of an entry that have joined the run and get its
// outcome.
func (r *run) joinedProgress(name string) []messenger.Progress {
	var out []messenger.Progress
	for _, j := range r.joined {
		if j.entry == name {
			out = append(out, messenger.Progress{Run: j.run})
		}
	}
	return out
}

func (x *Executor) progressOf(r *run) messenger.Progress {
	return messenger.Progress{Run: r.Run, Percent: r.percent, Age: r.progressAge}
}

// usableUpstream returns the worker as it is reported to entries: without its details
// once it has departed.
func (x *Executor) usableUpstream() messenger.Upstream {
	if x.departed {
		return messenger.Upstream{ID: x.upstream.ID}
	}
	return x.upstream
}
