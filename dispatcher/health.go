package dispatcher

import "time"

const (
	// ejectFailedJobs is the number of failures in a row that ejects an agent.
	ejectThreshold = 5
	// minEjectTime and maxEjectTime bound how long an agent is ejected; the span
	// doubles with each failed probe.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
)

// health judges an agent by the outcomes of its tasks. An agent that fails
// everything is always free, and would draw all work without it.
type health struct {
	consecutiveFailures int
	ejected             bool
	// probing means that the next outcome decides: one task is let through.
	probing      bool
	ejectedUntil time.Time
	ejectionTime time.Duration
}

// recordSuccess notes a good outcome.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure notes a bad outcome and reports whether the agent is to be ejected.
func (h *health) recordFailure() bool {
	h.consecutiveFailures++
	return h.probing || (!h.ejected && h.consecutiveFailures >= ejectThreshold)
}

// eject sets the agent aside.
func (h *health) eject(now time.Time) {
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.ejected = true
	h.probing = false
}

// allowProbe lets one task through.
func (h *health) allowProbe() {
	h.ejected = false
	h.probing = true
}

// probeSent holds back all tasks but the probe until its outcome is known, or
// until it is time for another one.
func (h *health) probeSent(now time.Time) {
	h.ejected = true
	h.ejectedUntil = now.Add(max(h.ejectionTime, minEjectionTime))
}

// recordHealth notes an outcome at a, and ejects it when it fails what it starts,
// unless too many others are ejected already.
func (o *Dispatcher) recordHealth(a *agent, good bool) {
	if good {
		a.health.recordSuccess()
		o.fleet.update(a)
		return
	}
	if !a.health.recordFailure() {
		return
	}
	ejected := 0
	for _, b := range o.fleet.agents {
		if b.health.ejected {
			ejected++
		}
	}
	if (ejected+1)*100 > len(o.fleet.agents)*o.bundle.Limits.EjectPercent {
		return
	}
	a.health.eject(o.clock.Now())
	o.fleet.update(a)
}
