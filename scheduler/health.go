package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// ejectAfter is the number of jobs in a row with a failure that ejects a
	// worker.
	ejectAfter = 2
	// ejectFirst and ejectMost bound how long a worker is ejected before it is
	// probed with one task; the span doubles with each failed probe.
	ejectFirst = 400 * time.Millisecond
	ejectMost  = 3 * time.Second
	// ejectShare is the largest share of the workers that is ejected at once.
	ejectShare = 0.5
	// slowShare is the pace, against the usual one, under which a worker is
	// ejected as slow.
	slowShare = 0.4
	// paceJobs is the number of jobs that a pace must come from to count.
	paceJobs = 3
)

// health tells whether a worker is trusted with tasks. A worker that fails
// everything is always free, and one that stands still keeps what it has; both
// harm all that is sent there.
type health struct {
	ejected bool
	// probe is the run whose outcome decides; empty when none is out. The ends
	// of runs that were placed before the ejection tell nothing new.
	probe messenger.Run
	until time.Time
	span  time.Duration
}

// usable reports whether tasks may be placed.
func (h *health) usable(now time.Time) bool {
	return !h.ejected || (!h.probing() && now.After(h.until)) || now.After(h.until.Add(ejectMost))
}

// probing reports whether a probe is out.
func (h *health) probing() bool { return h.probe != messenger.Run{} }

// sent notes a placement. The first one after the span is the probe.
func (h *health) sent(r messenger.Run) {
	if h.ejected {
		h.probe = r
	}
}

// probed reports whether a run is the probe.
func (h *health) probed(r messenger.Run) bool { return h.ejected && h.probe == r }

// succeeded notes a run that was done at a pace.
func (h *health) succeeded(r messenger.Run, pace float64) {
	if !h.probed(r) {
		return
	}
	if pace >= slowShare {
		*h = health{}
		return
	}
	h.unproven(r)
}

// unproven notes that a run has ended without telling anything of the worker.
func (h *health) unproven(r messenger.Run) {
	if h.probed(r) {
		h.probe = messenger.Run{}
	}
}

// eject sets the worker aside.
func (h *health) eject(now time.Time) {
	h.span = min(max(2*h.span, ejectFirst), ejectMost)
	h.until = now.Add(h.span)
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
	case a.report.ConsecutiveFailedJobs >= ejectAfter:
		s.eject(a, "fails what it starts")
	case a.report.PaceJobs >= paceJobs && a.report.Pace < slowShare && a.report.Pace < slowShare*s.usualPace():
		// The usual pace is 1 at most, and costs a look at all workers.
		s.eject(a, "slow")
	}
}

// usualPace returns the median pace of the workers; 1 when it is not known.
func (s *Scheduler) usualPace() float64 {
	var list []float64
	for _, a := range s.byName {
		if a.open && a.report.PaceJobs >= paceJobs {
			list = append(list, a.report.Pace)
		}
	}
	if len(list) < paceJobs {
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
	for _, a := range s.byName {
		if a.health.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= ejectShare*float64(len(s.byName))
}
