package dispatcher

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// AgentUp takes the first announcement on a new link to an agent.
func (o *Owner) AgentUp(an courier.Announce) {
	o.wake()
	ref := courier.AgentRef{Agent: an.Agent, Incarnation: an.Incarnation}
	a := o.fleet.agents[an.Agent]
	if a != nil && a.ref != ref {
		o.loseAgent(a, RecordHorizon)
		a = nil
	}
	if a == nil {
		a = &agent{ref: ref, tasks: make(map[courier.TaskID]struct{})}
		o.fleet.agents[an.Agent] = a
		delete(o.fleet.gone, ref)
	}
	a.linked = true
	a.link = an.LinkNumber
	a.sentTasks = 0
	a.acks = nil
	a.lastClaim = 0
	a.answeredClaim = 0
	o.claimFrom(a)
	o.AgentSeen(an)
}

// claimFrom sends one claim for each term held here.
func (o *Owner) claimFrom(a *agent) {
	var claims []courier.Claim
	for i := range o.partitions {
		part := &o.partitions[i]
		if part.state == foreign || !part.retryAt.IsZero() {
			continue
		}
		claims = addToClaim(claims, part.term, i)
	}
	for _, c := range claims {
		o.sendClaim(a, c)
	}
}

// AgentSeen takes a later announcement.
func (o *Owner) AgentSeen(an courier.Announce) {
	o.wake()
	a := o.fleet.linked(an.Agent, an.LinkNumber)
	if a == nil || a.ref.Incarnation != an.Incarnation {
		return
	}
	a.dataCentre = an.DataCentre
	a.services = an.Services
	a.slots = an.Slots
	a.draining = an.Draining
	a.stopping = an.Stopping
	a.out = slices.Contains(o.fleet.out, a.dataCentre)
	if !a.admitted {
		a.admitted = containsAll(an.Acked, o.peers)
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

// AgentDown notes that the link to an agent has ended.
func (o *Owner) AgentDown(name string, link uint64) {
	o.wake()
	a := o.fleet.linked(name, link)
	if a == nil {
		return
	}
	a.linked = false
	a.lostAt = o.clock.Now()
	o.fleet.update(a)
	o.retryRefusals(a)
	if a.stopping && len(a.tasks) == 0 {
		o.loseAgent(a, RecordHorizon)
	}
}

// checkAgents acknowledges results, gives up agents that have been out of
// touch too long, and lets ejected ones have a probe. It looks at every agent,
// and so only seldom.
func (o *Owner) checkAgents(now time.Time) {
	if now.Before(o.nextAgentCheck) {
		return
	}
	o.nextAgentCheck = now.Add(agentCheckInterval)
	o.fleet.tick(now)
	o.sendAcks()
	for _, a := range o.fleet.lapsed(now.Add(-AgentLapse)) {
		o.loseAgent(a, SilentHorizon)
	}
}

// loseAgent settles the tasks that ran at an agent that will not answer.
func (o *Owner) loseAgent(a *agent, horizon time.Duration) {
	o.fleet.remove(a, o.clock.Now().Add(horizon))
	o.retryRefusals(a)
	for _, id := range a.sortedTasks() {
		if j := o.jobs[id.Job]; j != nil && !j.done {
			o.settle(j, id.Index, courier.Record{Task: id, Outcome: courier.Lost})
		}
	}
	o.releaseHeld()
}

// sendAcks acknowledges the results that have arrived since the last time.
// Agents wait for this only when they drain, so it need not be at once.
func (o *Owner) sendAcks() {
	for _, a := range o.fleet.sorted() {
		if a.linked && len(a.acks) > 0 {
			o.send(a.ref.Agent, courier.Acked{Tasks: a.acks})
			a.acks = nil
		}
	}
}
