package dispatcher

import "time"

const (
	// ejectThreshold is the number of consecutive failures after which an agent is
	// ejected.
	ejectThreshold = 5
	// minEjectionTime and maxEjectionTime bound how long an agent is ejected. The time
	// doubles with each failed probe.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
)

// health tracks the outcomes of an agent's tasks. An agent that fails everything always
// has free slots, and would attract all tasks if it were not ejected.
type health struct {
	consecutiveFailures int
	ejected             bool
	// probing means that one task is let through, whose outcome decides whether the
	// agent is ejected again.
	probing      bool
	ejectedUntil time.Time
	ejectionTime time.Duration
}

// recordSuccess resets the health after a success.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failure and reports whether the agent is to be ejected.
func (h *health) recordFailure() bool {
	h.consecutiveFailures++
	return h.probing || (!h.ejected && h.consecutiveFailures >= ejectThreshold)
}

// eject excludes the agent from new tasks for the ejection time.
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

// probeSent excludes the agent from new tasks until the outcome of the probe is known,
// or until it is time for another probe.
func (h *health) probeSent(now time.Time) {
	h.ejected = true
	h.ejectedUntil = now.Add(max(h.ejectionTime, minEjectionTime))
}

// recordHealth records the outcome of a task at a. An agent that fails its tasks is
// ejected, unless the share of ejected agents would then exceed the bundle's
// EjectPercent.
func (d *Dispatcher) recordHealth(a *agent, succeeded bool) {
	if succeeded {
		a.health.recordSuccess()
		d.fleet.update(a)
		return
	}
	if !a.health.recordFailure() {
		return
	}
	ejected := 0
	for _, b := range d.fleet.agents {
		if b.health.ejected {
			ejected++
		}
	}
	if (ejected+1)*100 > len(d.fleet.agents)*d.bundle.Limits.EjectPercent {
		return
	}
	a.health.eject(d.clock.Now())
	d.fleet.update(a)
}
