package dispatcher

import (
	"maps"

	"github.com/pomeloferry/pomeloferry/courier"
)

// Dump is an owner's state as operators see it.
type Dump struct {
	Counts        Counts
	RefusedFor    map[courier.RefuseReason]uint64
	Serving       int
	Jobs          int
	Unfinished    int
	WaitingTasks  int
	Slots         int
	RosterCertain bool
	Agents        []AgentDump
	Gone          []courier.AgentRef
}

// AgentDump is what an owner knows of one agent.
type AgentDump struct {
	Agent      string
	DataCentre string
	Linked     bool
	Admitted   bool
	Claimed    bool
	Draining   bool
	Out        bool
	Ejected    bool
	Slots      int
	Free       int
	Tasks      int
}

// Dump returns the state of the owner.
func (o *Dispatcher) Dump() Dump {
	d := Dump{
		Counts:        o.counts,
		RefusedFor:    maps.Clone(o.refuseReasons),
		Serving:       o.ServedPartitions(),
		Jobs:          len(o.jobs),
		WaitingTasks:  o.queue.tasks,
		Slots:         o.fleet.totals.slots,
		RosterCertain: !o.rosterCompleteAt.After(o.clock.Now()),
	}
	for _, j := range o.jobs {
		if !j.done {
			d.Unfinished++
		}
	}
	for _, a := range o.fleet.sorted() {
		d.Agents = append(d.Agents, AgentDump{
			Agent:      a.ref.Agent,
			DataCentre: a.dataCentre,
			Linked:     a.linked,
			Admitted:   a.inAllRosters,
			Claimed:    a.claimsAnswered(),
			Draining:   a.draining,
			Out:        a.dataCentreOut,
			Ejected:    a.health.ejected,
			Slots:      a.slots,
			Free:       a.free(),
			Tasks:      len(a.tasks),
		})
	}
	for ref := range o.fleet.unreachable {
		d.Gone = append(d.Gone, ref)
	}
	return d
}
