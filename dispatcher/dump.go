package dispatcher

import (
	"maps"

	"github.com/pomeloferry/pomeloferry/courier"
)

// Dump is the state of a Dispatcher as it is shown to operators.
type Dump struct {
	Counts     Counts
	RefusedFor map[courier.RefuseReason]uint64
	// Serving counts the partitions that are served.
	Serving int
	// Jobs counts the jobs, including the finished ones whose answers are kept.
	Jobs         int
	Unfinished   int
	WaitingTasks int
	// Slots counts the slots of the agents that accept new tasks.
	Slots int
	// RosterCertain means that the roster is complete.
	RosterCertain bool
	Agents        []AgentDump
	// Gone lists the agents that may have records but cannot be reached.
	Gone []courier.AgentRef
}

// AgentDump is the state of one agent as this entry knows it.
type AgentDump struct {
	Agent      string
	DataCentre string
	Linked     bool
	// Admitted means that every other entry has the agent in its roster.
	Admitted bool
	// Claimed means that the agent has answered every claim on this link.
	Claimed  bool
	Draining bool
	// Out means that the agent's data centre is taken out of use.
	Out     bool
	Ejected bool
	Slots   int
	Free    int
	Tasks   int
}

// Dump returns the state of the Dispatcher.
func (d *Dispatcher) Dump() Dump {
	dump := Dump{
		Counts:        d.counts,
		RefusedFor:    maps.Clone(d.refuseReasons),
		Serving:       d.ServedPartitions(),
		Jobs:          len(d.jobs),
		WaitingTasks:  d.queue.tasks,
		Slots:         d.fleet.totals.slots,
		RosterCertain: !d.rosterCompleteAt.After(d.clock.Now()),
	}
	for _, j := range d.jobs {
		if !j.done {
			dump.Unfinished++
		}
	}
	for _, a := range d.fleet.sorted() {
		dump.Agents = append(dump.Agents, AgentDump{
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
	for ref := range d.fleet.unreachable {
		dump.Gone = append(dump.Gone, ref)
	}
	return dump
}
