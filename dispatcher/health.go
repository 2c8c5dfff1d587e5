package dispatcher

import "time"

const (
	// ejectFailedJobs is the number of failures in a row that ejects an agent.
	ejectAfter = 5
	// minEjectTime and maxEjectTime bound how long an agent is ejected; the span
	// doubles with each failed probe.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
)

// health judges an agent by the outcomes of its tasks. An agent that fails
// everything is always free, and would draw all work without it.
type health struct {
	failures int
	ejected  bool
	// probing means that the next outcome decides: one task is let through.
	probing bool
	until   time.Time
	span    time.Duration
}

// succeeded notes a good outcome.
func (h *health) succeeded() { *h = health{} }

// failed notes a bad outcome and reports whether the agent is to be ejected.
func (h *health) failed() bool {
	h.failures++
	return h.probing || (!h.ejected && h.failures >= ejectAfter)
}

// eject sets the agent aside.
func (h *health) eject(now time.Time) {
	h.span = min(max(2*h.span, ejectFirst), ejectMost)
	h.until = now.Add(h.span)
	h.ejected = true
	h.probing = false
}

// probe lets one task through.
func (h *health) probe() {
	h.ejected = false
	h.probing = true
}

// probeSent holds back all tasks but the probe until its outcome is known, or
// until it is time for another one.
func (h *health) probeSent(now time.Time) {
	h.ejected = true
	h.until = now.Add(max(h.span, ejectFirst))
}

// judge notes an outcome at a, and ejects it when it fails what it starts,
// unless too many others are ejected already.
func (o *Owner) judge(a *agent, good bool) {
	if good {
		a.health.succeeded()
		o.fleet.update(a)
		return
	}
	if !a.health.failed() {
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
