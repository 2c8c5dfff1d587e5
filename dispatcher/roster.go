package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// SetRoster takes over the agents that a peer uses. Those without a link here
// may hold records, and stay missing until they have been fenced; they matter
// for as long as they do to any peer. A certain roster makes this one certain,
// if the peer gave it at or after the time asOf of this clock and this process
// was not paused since.
func (o *Owner) SetRoster(roster []courier.RosterAgent, certain bool, asOf time.Time) {
	o.wake()
	now := o.clock.Now()
	for _, r := range roster {
		ref := r.AgentRef
		if a := o.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			continue
		}
		old, ok := o.fleet.gone[ref]
		if until := now.Add(SilentHorizon - r.Lapsed); until.After(old) {
			o.fleet.gone[ref] = until
		}
		if !ok {
			o.addMissing(ref)
		}
	}
	if certain && !asOf.Before(o.wokeAt) {
		o.SetRosterCertain()
	}
}

// SetRosterCertain notes that no agent was used by an earlier owner that is
// neither known here nor listed as gone.
func (o *Owner) SetRosterCertain() {
	now := o.clock.Now()
	if !o.rosterCertainAt.After(now) {
		return
	}
	o.rosterCertainAt = now
	o.finishClaims(now)
	o.releaseHeld()
}

func (o *Owner) addMissing(ref courier.AgentRef) {
	for p := range o.partitions {
		if part := &o.partitions[p]; part.state != foreign {
			part.missing[ref] = struct{}{}
		}
	}
}

// Roster lists the agents that may hold records of tasks started from here,
// and whether the list is complete.
func (o *Owner) Roster() ([]courier.RosterAgent, bool) {
	var out []courier.RosterAgent
	for _, a := range o.fleet.sorted() {
		if a.admitted {
			out = append(out, courier.RosterAgent{AgentRef: a.ref})
		}
	}
	now := o.clock.Now()
	for ref, until := range o.fleet.gone {
		if until.After(now) {
			out = append(out, courier.RosterAgent{AgentRef: ref, Lapsed: SilentHorizon - until.Sub(now)})
		}
	}
	slices.SortFunc(out, compareRefs)
	return out, !o.rosterCertainAt.After(now)
}

func compareRefs(a, b courier.RosterAgent) int {
	return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (o *Owner) everyAgent() map[courier.AgentRef]struct{} {
	out := make(map[courier.AgentRef]struct{}, len(o.fleet.agents)+len(o.fleet.gone))
	for _, a := range o.fleet.agents {
		out[a.ref] = struct{}{}
	}
	for ref := range o.fleet.gone {
		out[ref] = struct{}{}
	}
	return out
}

// awaits reports whether an agent may still answer the claim soon.
func (o *Owner) awaits(part *partition) bool {
	for ref := range part.missing {
		if a := o.fleet.agents[ref.Agent]; a != nil && a.ref == ref {
			return true
		}
	}
	return false
}

// gap reports whether tasks of p may have started that nobody here knows of.
func (o *Owner) gap(p router.Partition) bool {
	if o.rosterCertainAt.After(o.clock.Now()) {
		return true
	}
	part := &o.partitions[p]
	for ref := range part.missing {
		a := o.fleet.agents[ref.Agent]
		if a != nil && a.ref == ref {
			return true
		}
		if _, ok := o.fleet.gone[ref]; ok {
			return true
		}
		delete(part.missing, ref)
	}
	return false
}
