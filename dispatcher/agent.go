package dispatcher

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// AgentLinkUp handles the first Announce message on a new link to an agent.
func (o *Dispatcher) AgentLinkUp(an courier.Announce) {
	o.detectPause()
	ref := courier.AgentRef{Agent: an.Agent, Incarnation: an.Incarnation}
	a := o.fleet.agents[an.Agent]
	if a != nil && a.ref != ref {
		o.removeAgent(a, RecordRetention)
		a = nil
	}
	if a == nil {
		a = &agent{ref: ref, tasks: make(map[courier.TaskID]struct{})}
		o.fleet.agents[an.Agent] = a
		delete(o.fleet.unreachable, ref)
	}
	a.linked = true
	a.link = an.LinkNumber
	a.sentTaskCount = 0
	a.pendingAcks = nil
	a.lastClaim = 0
	a.answeredClaim = 0
	o.sendClaims(a)
	o.AgentHeartbeat(an)
}

// sendClaims sends one claim to an agent for each term held here.
func (o *Dispatcher) sendClaims(a *agent) {
	var claims []courier.Claim
	for i := range o.partitions {
		part := &o.partitions[i]
		if part.state == partitionNotOwned || !part.claimRetryAt.IsZero() {
			continue
		}
		claims = addToClaim(claims, part.term, i)
	}
	for _, c := range claims {
		o.sendClaim(a, c)
	}
}

// AgentHeartbeat handles a later Announce message of an agent.
func (o *Dispatcher) AgentHeartbeat(an courier.Announce) {
	o.detectPause()
	a := o.fleet.linkedAgent(an.Agent, an.LinkNumber)
	if a == nil || a.ref.Incarnation != an.Incarnation {
		return
	}
	a.dataCentre = an.DataCentre
	a.services = an.Services
	a.slots = an.Slots
	a.draining = an.Draining
	a.stopping = an.Stopping
	a.dataCentreOut = slices.Contains(o.fleet.outDataCentres, a.dataCentre)
	if !a.inAllRosters {
		a.inAllRosters = containsAll(an.Acked, o.peers)
	}
	o.setLoad(a, an.Load)
	o.dispatch()
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
func (o *Dispatcher) AgentLinkDown(name string, link uint64) {
	o.detectPause()
	a := o.fleet.linkedAgent(name, link)
	if a == nil {
		return
	}
	a.linked = false
	a.unlinkedAt = o.clock.Now()
	o.fleet.update(a)
	o.resendForbids(a)
	if a.stopping && len(a.tasks) == 0 {
		o.removeAgent(a, RecordRetention)
	}
}

// checkAgents acknowledges results, removes the agents that have been disconnected for
// AgentTimeout, and allows probes to ejected ones. It iterates over all agents, so it
// runs only every agentCheckInterval.
func (o *Dispatcher) checkAgents(now time.Time) {
	if now.Before(o.nextAgentCheck) {
		return
	}
	o.nextAgentCheck = now.Add(agentCheckInterval)
	o.fleet.tick(now)
	o.sendAcks()
	for _, a := range o.fleet.unlinkedSince(now.Add(-AgentTimeout)) {
		o.removeAgent(a, UnreachableAgentRetention)
	}
}

// removeAgent removes an agent that will not answer any more, and records its running
// tasks as lost. For the given retention, the agent counts as one that may have
// records.
func (o *Dispatcher) removeAgent(a *agent, horizon time.Duration) {
	o.fleet.remove(a, o.clock.Now().Add(horizon))
	o.resendForbids(a)
	for _, id := range a.sortedTasks() {
		if j := o.jobs[id.Job]; j != nil && !j.done {
			o.recordOutcome(j, id.Index, courier.Record{Task: id, Outcome: courier.Lost})
		}
	}
	o.retryBlocked()
}

// sendAcks acknowledges the results that have arrived since the last acknowledgement.
// Agents wait for it only when they drain, so it may be delayed.
func (o *Dispatcher) sendAcks() {
	for _, a := range o.fleet.sorted() {
		if a.linked && len(a.pendingAcks) > 0 {
			o.send(a.ref.Agent, courier.Acked{Tasks: a.pendingAcks})
			a.pendingAcks = nil
		}
	}
}
