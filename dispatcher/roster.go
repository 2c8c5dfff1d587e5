package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// MergeRoster adds the agents that a peer uses. Those without a link here may have
// records, so they count as unfenced until they answer a claim, and they count for as
// long as they do at any peer. A complete roster makes this one complete, provided that
// the peer gave it at or after asOf, a time of this clock, and this process was not
// paused since.
func (d *Dispatcher) MergeRoster(roster []courier.RosterAgent, complete bool, asOf time.Time) {
	d.detectPause()
	now := d.clock.Now()
	for _, r := range roster {
		ref := r.AgentRef
		if a := d.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			continue
		}
		oldExpiry, known := d.fleet.unreachable[ref]
		if expiresAt := now.Add(UnreachableAgentRetention - r.Lapsed); expiresAt.After(oldExpiry) {
			d.fleet.unreachable[ref] = expiresAt
		}
		if !known {
			d.addUnfenced(ref)
		}
	}
	if complete && !asOf.Before(d.resumedAt) {
		d.SetRosterComplete()
	}
}

// SetRosterComplete records that earlier owners used no agents other than those that
// are known here or listed as unreachable.
func (d *Dispatcher) SetRosterComplete() {
	now := d.clock.Now()
	if !d.rosterCompleteAt.After(now) {
		return
	}
	d.rosterCompleteAt = now
	d.finishClaims(now)
	d.retryBlocked()
}

// addUnfenced adds an agent to the unfenced ones of every partition owned here.
func (d *Dispatcher) addUnfenced(ref courier.AgentRef) {
	for p := range d.partitions {
		if part := &d.partitions[p]; part.state != partitionNotOwned {
			part.unfenced[ref] = struct{}{}
		}
	}
}

// Roster lists the agents that may have records of tasks started from here, and reports
// whether the list is complete.
func (d *Dispatcher) Roster() ([]courier.RosterAgent, bool) {
	var out []courier.RosterAgent
	for _, a := range d.fleet.sorted() {
		if a.inAllRosters {
			out = append(out, courier.RosterAgent{AgentRef: a.ref})
		}
	}
	now := d.clock.Now()
	for ref, expiresAt := range d.fleet.unreachable {
		if expiresAt.After(now) {
			out = append(out, courier.RosterAgent{AgentRef: ref, Lapsed: UnreachableAgentRetention - expiresAt.Sub(now)})
		}
	}
	slices.SortFunc(out, compareRefs)
	return out, !d.rosterCompleteAt.After(now)
}

func compareRefs(a, b courier.RosterAgent) int {
	return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
}

// agentsWithRecords returns the agents that may have records: the known and the
// unreachable ones.
func (d *Dispatcher) agentsWithRecords() map[courier.AgentRef]struct{} {
	out := make(map[courier.AgentRef]struct{}, len(d.fleet.agents)+len(d.fleet.unreachable))
	for _, a := range d.fleet.agents {
		out[a.ref] = struct{}{}
	}
	for ref := range d.fleet.unreachable {
		out[ref] = struct{}{}
	}
	return out
}

// awaitsClaimReply reports whether an unfenced agent is known here, so that it may
// still answer the claim.
func (d *Dispatcher) awaitsClaimReply(part *partition) bool {
	for ref := range part.unfenced {
		if a := d.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			return true
		}
	}
	return false
}

// mayMissRecords reports whether tasks of p may have started whose records are not
// known here. It drops the unfenced agents that no longer count.
func (d *Dispatcher) mayMissRecords(p router.Partition) bool {
	if d.rosterCompleteAt.After(d.clock.Now()) {
		return true
	}
	part := &d.partitions[p]
	for ref := range part.unfenced {
		a := d.fleet.agents[ref.Agent]
		if a != nil && a.ref == ref {
			return true
		}
		if _, ok := d.fleet.unreachable[ref]; ok {
			return true
		}
		delete(part.unfenced, ref)
	}
	return false
}
