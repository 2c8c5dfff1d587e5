package dispatcher

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// AgentLinkUp handles the first Announce message on a new link to an agent.
func (d *Dispatcher) AgentLinkUp(an courier.Announce) {
	d.detectPause()
	ref := courier.AgentRef{Agent: an.Agent, Incarnation: an.Incarnation}
	a := d.fleet.agents[an.Agent]
	if a != nil && a.ref != ref {
		d.removeAgent(a, RecordRetention)
		a = nil
	}
	if a == nil {
		a = &agent{ref: ref, tasks: make(map[courier.TaskID]struct{})}
		d.fleet.agents[an.Agent] = a
		delete(d.fleet.unreachable, ref)
	}
	a.linked = true
	a.link = an.LinkNumber
	a.sentTaskCount = 0
	a.pendingAcks = nil
	a.lastClaim = 0
	a.answeredClaim = 0
	d.sendClaims(a)
	d.AgentHeartbeat(an)
}

// sendClaims sends one claim to an agent for each term held here.
func (d *Dispatcher) sendClaims(a *agent) {
	var claims []courier.Claim
	for i := range d.partitions {
		part := &d.partitions[i]
		if part.state == partitionNotOwned || !part.claimRetryAt.IsZero() {
			continue
		}
		claims = addToClaim(claims, part.term, i)
	}
	for _, c := range claims {
		d.sendClaim(a, c)
	}
}

// AgentHeartbeat handles a later Announce message of an agent.
func (d *Dispatcher) AgentHeartbeat(an courier.Announce) {
	d.detectPause()
	a := d.fleet.linkedAgent(an.Agent, an.LinkNumber)
	if a == nil || a.ref.Incarnation != an.Incarnation {
		return
	}
	a.dataCentre = an.DataCentre
	a.services = an.Services
	a.slots = an.Slots
	a.draining = an.Draining
	a.stopping = an.Stopping
	a.dataCentreOut = slices.Contains(d.fleet.outDataCentres, a.dataCentre)
	if !a.inAllRosters {
		a.inAllRosters = containsAll(an.Acked, d.peers)
	}
	d.setLoad(a, an.Load)
	d.dispatch()
}

func containsAll(list, wanted []string) bool {
	for _, id := range wanted {
		if !slices.Contains(list, id) {
			return false
		}
	}
	return true
}

// AgentLinkDown handles the end of the link to an agent.
func (d *Dispatcher) AgentLinkDown(name string, link uint64) {
	d.detectPause()
	a := d.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	a.linked = false
	a.unlinkedAt = d.clock.Now()
	d.fleet.update(a)
	d.resendForbids(a)
	if a.stopping && len(a.tasks) == 0 {
		d.removeAgent(a, RecordRetention)
	}
}

// checkAgents acknowledges results, removes the agents that have been disconnected for
// AgentTimeout, and allows probes to ejected ones. It iterates over all agents, so it
// runs only every agentCheckInterval.
func (d *Dispatcher) checkAgents(now time.Time) {
	if now.Before(d.nextAgentCheck) {
		return
	}
	d.nextAgentCheck = now.Add(agentCheckInterval)
	d.fleet.tick(now)
	d.sendAcks()
	for _, a := range d.fleet.unlinkedSince(now.Add(-AgentTimeout)) {
		d.removeAgent(a, UnreachableAgentRetention)
	}
}

// removeAgent removes an agent that will not answer any more, and records its running
// tasks as lost. For the given retention, the agent counts as one that may have
// records.
func (d *Dispatcher) removeAgent(a *agent, retention time.Duration) {
	d.fleet.remove(a, d.clock.Now().Add(retention))
	d.resendForbids(a)
	for _, id := range a.sortedTasks() {
		if j := d.jobs[id.Job]; j != nil && !j.done {
			d.recordOutcome(j, id.Index, courier.Record{Task: id, Outcome: courier.Lost})
		}
	}
	d.retryBlocked()
}

// sendAcks acknowledges the results that have arrived since the last acknowledgement.
// Agents wait for it only when they drain, so it may be delayed.
func (d *Dispatcher) sendAcks() {
	for _, a := range d.fleet.sorted() {
		if a.linked && len(a.pendingAcks) > 0 {
			d.send(a.ref.Agent, courier.Acked{Tasks: a.pendingAcks})
			a.pendingAcks = nil
		}
	}
}
