package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// ejectFailedJobs is the number of consecutive jobs with a failed run after which a
	// worker is ejected.
	ejectFailedJobs = 2
	// minEjectTime and maxEjectTime bound how long a worker is ejected before it is
	// probed with one task. The time doubles with each failed probe.
	minEjectTime = 400 * time.Millisecond
	maxEjectTime = 3 * time.Second
	// maxEjectedShare is the largest share of the workers that may be ejected at once.
	maxEjectedShare = 0.5
	// slowPace is the pace, relative to the median, below which a worker is ejected as
	// slow.
	slowPace = 0.4
	// minPaceJobs is the number of jobs that a pace must be based on to count.
	minPaceJobs = 3
)

// health decides whether a worker gets tasks. A worker that fails everything always has
// free capacity, and one that has stalled never completes what it has; both harm all
// tasks that are placed there.
type health struct {
	ejected bool
	// probe is the run whose outcome decides on the ejection; empty while there is
	// none. Runs that were placed before the ejection do not decide.
	probe        messenger.Run
	ejectedUntil time.Time
	ejectTime    time.Duration
}

// usable reports whether tasks may be placed on the worker. A probe without an outcome
// prevents that until maxEjectTime after ejectedUntil.
func (h *health) usable(now time.Time) bool {
	return !h.ejected || (!h.probing() && now.After(h.ejectedUntil)) || now.After(h.ejectedUntil.Add(maxEjectTime))
}

// probing reports whether the outcome of a probe is awaited.
func (h *health) probing() bool { return h.probe != messenger.Run{} }

// recordPlacement records a placement. On an ejected worker the run is the probe.
func (h *health) recordPlacement(r messenger.Run) {
	if h.ejected {
		h.probe = r
	}
}

// isProbe reports whether a run is the probe.
func (h *health) isProbe(r messenger.Run) bool { return h.ejected && h.probe == r }

// recordSuccess records a run that was done at a pace. A probe at a sufficient pace
// ends the ejection.
func (h *health) recordSuccess(r messenger.Run, pace float64) {
	if !h.isProbe(r) {
		return
	}
	if pace >= slowPace {
		*h = health{}
		return
	}
	h.clearProbe(r)
}

// clearProbe clears the probe if it is the given run, which has ended without deciding on
// the ejection. The next placement is a new probe.
func (h *health) clearProbe(r messenger.Run) {
	if h.isProbe(r) {
		h.probe = messenger.Run{}
	}
}

// eject ejects the worker, or extends its ejection.
func (h *health) eject(now time.Time) {
	h.ejectTime = min(max(2*h.ejectTime, minEjectTime), maxEjectTime)
	h.ejectedUntil = now.Add(h.ejectTime)
	h.ejected = true
	h.probe = messenger.Run{}
}

// checkHealth ejects a worker that its agent reports as faulty or slow. The agent sees
// the runs of all entries, so all entries react at the same time.
func (s *Scheduler) checkHealth(a *agent) {
	if a.health.ejected {
		return
	}
	switch {
	case a.report.ConsecutiveFailedJobs >= ejectFailedJobs:
		s.eject(a, "consecutive jobs had failed runs")
	case a.report.PaceJobs >= minPaceJobs && a.report.Pace < slowPace && a.report.Pace < slowPace*s.medianPace():
		// The median is at most 1, and computing it visits all workers, so the cheap
		// comparison comes first.
		s.eject(a, "pace is too low")
	}
}

// medianPace returns the median pace of the workers, at most 1; 1 if too few are known.
func (s *Scheduler) medianPace() float64 {
	var paces []float64
	for _, a := range s.agentsByName {
		if a.synced && a.report.PaceJobs >= minPaceJobs {
			paces = append(paces, a.report.Pace)
		}
	}
	if len(paces) < minPaceJobs {
		return 1
	}
	slices.Sort(paces)
	return min(paces[len(paces)/2], 1)
}

// eject ejects a worker unless too many others are ejected. The ejection of a worker
// that is ejected already is extended.
func (s *Scheduler) eject(a *agent, why string) {
	if !a.health.ejected && !s.mayEject() {
		return
	}
	a.health.eject(s.clock.Now())
	s.emit(Note{Agent: a.name, What: "worker ejected", Why: why, Age: s.clock.Since(a.reportedAt)})
}

// mayEject reports whether one more worker may be ejected.
func (s *Scheduler) mayEject() bool {
	ejected := 0
	for _, a := range s.agentsByName {
		if a.health.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(s.agentsByName))
}
