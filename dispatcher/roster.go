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
// long as they do at any peer. A complete roster (certain) makes this one complete,
// provided that the peer gave it at or after asOf, a time of this clock, and this
// process was not paused since.
func (o *Dispatcher) MergeRoster(roster []courier.RosterAgent, certain bool, asOf time.Time) {
	o.detectPause()
	now := o.clock.Now()
	for _, r := range roster {
		ref := r.AgentRef
		if a := o.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			continue
		}
		old, ok := o.fleet.unreachable[ref]
		if until := now.Add(UnreachableAgentRetention - r.Lapsed); until.After(old) {
			o.fleet.unreachable[ref] = until
		}
		if !ok {
			o.addUnfenced(ref)
		}
	}
	if certain && !asOf.Before(o.resumedAt) {
		o.SetRosterComplete()
	}
}

// SetRosterComplete records that earlier owners used no agents other than those that
// are known here or listed as unreachable.
func (o *Dispatcher) SetRosterComplete() {
	now := o.clock.Now()
	if !o.rosterCompleteAt.After(now) {
		return
	}
	o.rosterCompleteAt = now
	o.finishClaims(now)
	o.retryBlocked()
}

// addUnfenced adds an agent to the unfenced ones of every partition owned here.
func (o *Dispatcher) addUnfenced(ref courier.AgentRef) {
	for p := range o.partitions {
		if part := &o.partitions[p]; part.state != partitionNotOwned {
			part.unfenced[ref] = struct{}{}
		}
	}
}

// Roster lists the agents that may have records of tasks started from here, and reports
// whether the list is complete.
func (o *Dispatcher) Roster() ([]courier.RosterAgent, bool) {
	var out []courier.RosterAgent
	for _, a := range o.fleet.sorted() {
		if a.inAllRosters {
			out = append(out, courier.RosterAgent{AgentRef: a.ref})
		}
	}
	now := o.clock.Now()
	for ref, until := range o.fleet.unreachable {
		if until.After(now) {
			out = append(out, courier.RosterAgent{AgentRef: ref, Lapsed: UnreachableAgentRetention - until.Sub(now)})
		}
	}
	slices.SortFunc(out, compareRefs)
	return out, !o.rosterCompleteAt.After(now)
}

func compareRefs(a, b courier.RosterAgent) int {
	return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
}

// agentsWithRecords returns the agents that may have records: the known and the
// unreachable ones.
func (o *Dispatcher) agentsWithRecords() map[courier.AgentRef]struct{} {
	out := make(map[courier.AgentRef]struct{}, len(o.fleet.agents)+len(o.fleet.unreachable))
	for _, a := range o.fleet.agents {
		out[a.ref] = struct{}{}
	}
	for ref := range o.fleet.unreachable {
		out[ref] = struct{}{}
	}
	return out
}

// awaitsClaimReply reports whether an unfenced agent is known here, so that it may
// still answer the claim.
func (o *Dispatcher) awaitsClaimReply(part *partition) bool {
	for ref := range part.unfenced {
		if a := o.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			return true
		}
	}
	return false
}

// mayMissRecords reports whether tasks of p may have started whose records are not
// known here. It drops the unfenced agents that no longer count.
func (o *Dispatcher) mayMissRecords(p router.Partition) bool {
	if o.rosterCompleteAt.After(o.clock.Now()) {
		return true
	}
	part := &o.partitions[p]
	for ref := range part.unfenced {
		a := o.fleet.agents[ref.Agent]
		if a != nil && a.ref == ref {
			return true
		}
		if _, ok := o.fleet.unreachable[ref]; ok {
			return true
		}
		delete(part.unfenced, ref)
	}
	return false
}
