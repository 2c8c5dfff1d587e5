package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// ejectFailedJobs is the number of jobs in a row with a failure that ejects a
	// worker.
	ejectFailedJobs = 2
	// minEjectTime and maxEjectTime bound how long a worker is ejected before it is
	// probed with one task; the span doubles with each failed probe.
	minEjectTime = 400 * time.Millisecond
	maxEjectTime = 3 * time.Second
	// maxEjectedShare is the largest share of the workers that is ejected at once.
	maxEjectedShare = 0.5
	// slowPace is the pace, against the usual one, under which a worker is
	// ejected as slow.
	slowPace = 0.4
	// minPaceJobs is the number of jobs that a pace must come from to count.
	minPaceJobs = 3
)

// health tells whether a worker is trusted with tasks. A worker that fails
// everything is always free, and one that stands still keeps what it has; both
// harm all that is sent there.
type health struct {
	ejected bool
	// probe is the run whose outcome decides; empty when none is out. The ends
	// of runs that were placed before the ejection tell nothing new.
	probe        messenger.Run
	ejectedUntil time.Time
	ejectTime    time.Duration
}

// usable reports whether tasks may be placed.
func (h *health) usable(now time.Time) bool {
	return !h.ejected || (!h.probing() && now.After(h.ejectedUntil)) || now.After(h.ejectedUntil.Add(maxEjectTime))
}

// probing reports whether a probe is out.
func (h *health) probing() bool { return h.probe != messenger.Run{} }

// recordPlacement notes a placement. The first one after the span is the probe.
func (h *health) recordPlacement(r messenger.Run) {
	if h.ejected {
		h.probe = r
	}
}

// isProbe reports whether a run is the probe.
func (h *health) isProbe(r messenger.Run) bool { return h.ejected && h.probe == r }

// recordSuccess notes a run that was done at a pace.
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

// clearProbe notes that a run has ended without telling anything of the worker.
func (h *health) clearProbe(r messenger.Run) {
	if h.isProbe(r) {
		h.probe = messenger.Run{}
	}
}

// eject sets the worker aside.
func (h *health) eject(now time.Time) {
	h.ejectTime = min(max(2*h.ejectTime, minEjectTime), maxEjectTime)
	h.ejectedUntil = now.Add(h.ejectTime)
	h.ejected = true
	h.probe = messenger.Run{}
}

// checkHealth ejects a worker that its agent reports as faulty or slow. The agent
// sees the runs of all entries, so that all of them learn at once.
func (s *Scheduler) checkHealth(a *agent) {
	if a.health.ejected {
		return
	}
	switch {
	case a.report.ConsecutiveFailedJobs >= ejectFailedJobs:
		s.eject(a, "fails what it starts")
	case a.report.PaceJobs >= minPaceJobs && a.report.Pace < slowPace && a.report.Pace < slowPace*s.medianPace():
		// The usual pace is 1 at most, and costs a look at all workers.
		s.eject(a, "slow")
	}
}

// medianPace returns the median pace of the workers; 1 when it is not known.
func (s *Scheduler) medianPace() float64 {
	var list []float64
	for _, a := range s.agentsByName {
		if a.synced && a.report.PaceJobs >= minPaceJobs {
			list = append(list, a.report.Pace)
		}
	}
	if len(list) < minPaceJobs {
		return 1
	}
	slices.Sort(list)
	return min(list[len(list)/2], 1)
}

// eject sets a worker aside unless too many others are. One that is set aside
// already stays so for longer.
func (s *Scheduler) eject(a *agent, why string) {
	if !a.health.ejected && !s.mayEject() {
		return
	}
	a.health.eject(s.clock.Now())
	s.emit(Note{Agent: a.name, What: "worker ejected", Why: why, Age: s.clock.Since(a.reportedAt)})
}

// mayEject reports whether one more worker may be set aside.
func (s *Scheduler) mayEject() bool {
	ejected := 0
	for _, a := range s.agentsByName {
		if a.health.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(s.agentsByName))
}
