package dispatcher

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// agent is the state of one agent incarnation as this entry knows it.
type agent struct {
	ref        courier.AgentRef
	dataCentre string
	services   []string
	slots      int
	// linked is whether there is a link now; link is the number of the last one.
	linked     bool
	link       uint64
	unlinkedAt time.Time
	// lastClaim and answeredClaim are the numbers of the last claim sent, and of the
	// last one answered, on this link.
	lastClaim     uint64
	answeredClaim uint64
	// inAllRosters means that every other entry has the agent in its roster. It stays
	// true for the lifetime of the incarnation.
	inAllRosters bool
	draining     bool
	// stopping means that the incarnation starts no more tasks.
	stopping      bool
	dataCentreOut bool
	// sentTaskCount counts the tasks sent on this link.
	sentTaskCount uint64
	load          courier.Load
	health        health
	// tasks holds the tasks of this owner that may be running at the agent.
	tasks map[courier.TaskID]struct{}
	// pendingAcks holds the tasks whose results have arrived since the last Acked
	// message.
	pendingAcks []courier.TaskID
	// countedInTotals is the agent's present contribution to the totals of the fleet.
	countedInTotals agentCounts
}

// free returns the expected number of free slots: the reported one, less the tasks sent
// that the report does not include yet.
func (a *agent) free() int {
	return a.load.Free - int(a.sentTaskCount-a.load.Seen)
}

// preferredFree returns the expected number of free slots that other owners use only
// when theirs are taken.
func (a *agent) preferredFree() int {
	return min(a.free(), a.load.Mine-int(a.sentTaskCount-a.load.Seen))
}

// acceptsTasks reports whether new tasks may be sent to the agent.
func (a *agent) acceptsTasks() bool {
	return a.linked && a.claimsAnswered() && a.inAllRosters && !a.draining && !a.dataCentreOut
}

// claimsAnswered reports whether the agent has answered every claim on this link.
func (a *agent) claimsAnswered() bool { return a.answeredClaim == a.lastClaim }

// sortedTasks returns the tasks that may be running at the agent, by job and index.
func (a *agent) sortedTasks() []courier.TaskID {
	out := slices.Collect(maps.Keys(a.tasks))
	slices.SortFunc(out, func(x, y courier.TaskID) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Index, y.Index))
	})
	return out
}

func (a *agent) serves(service string) bool {
	return slices.Contains(a.services, service)
}

// fleet holds the known agents. It indexes those with free slots, so that the cost of a
// choice does not grow with the number of agents.
type fleet struct {
	agents map[string]*agent
	// withFreeSlots holds the agents with free slots. withPreferredSlots holds those
	// among them with free slots that other owners use only when theirs are taken.
	withFreeSlots      agentSet
	withPreferredSlots agentSet
	// unreachable holds the agents that may keep records but cannot be queried, with
	// the time until which they count.
	unreachable    map[courier.AgentRef]time.Time
	outDataCentres []string
	// totals is the sum of the agents' contributions; see agentCounts.
	totals agentCounts
}

// agentCounts is the contribution of one agent to the totals of the fleet. The totals
// are maintained incrementally, so that no decision has to iterate over all agents.
type agentCounts struct {
	// slots counts the slots of an agent that accepts new tasks; free counts the free
	// ones among them.
	slots int
	free  int
	// tasks counts the tasks of this owner that may be running at the agent.
	tasks int
}

func newFleet() *fleet {
	return &fleet{
		agents:      make(map[string]*agent),
		unreachable: make(map[courier.AgentRef]time.Time),
	}
}

// update brings the sets of agents with free slots and the totals up to date with the
// state of the agent.
func (f *fleet) update(a *agent) {
	usable := a.acceptsTasks() && !a.health.ejected
	f.withFreeSlots.set(a, usable && a.free() > 0)
	f.withPreferredSlots.set(a, usable && a.preferredFree() > 0)
	counts := agentCounts{tasks: len(a.tasks)}
	if a.acceptsTasks() {
		counts.slots = a.slots
	}
	if usable {
		counts.free = max(0, a.free())
	}
	f.replaceCounts(a, counts)
}

// replaceCounts replaces an agent's contribution to the totals.
func (f *fleet) replaceCounts(a *agent, counts agentCounts) {
	f.totals.slots += counts.slots - a.countedInTotals.slots
	f.totals.free += counts.free - a.countedInTotals.free
	f.totals.tasks += counts.tasks - a.countedInTotals.tasks
	a.countedInTotals = counts
}

// assign records that a task may be running at an agent.
func (f *fleet) assign(a *agent, id courier.TaskID) {
	a.tasks[id] = struct{}{}
	f.update(a)
}

// unassign records that a task no longer runs at an agent.
func (f *fleet) unassign(a *agent, id courier.TaskID) {
	delete(a.tasks, id)
	f.update(a)
}

// agentSet is a set of agents from which one can be drawn at random.
type agentSet struct {
	list  []*agent
	index map[*agent]int
}

// set adds a to the set or removes it.
func (s *agentSet) set(a *agent, in bool) {
	i, present := s.index[a]
	switch {
	case in && !present:
		if s.index == nil {
			s.index = make(map[*agent]int)
		}
		s.index[a] = len(s.list)
		s.list = append(s.list, a)
	case !in && present:
		last := len(s.list) - 1
		moved := s.list[last]
		s.list[i] = moved
		s.index[moved] = i
		s.list = s.list[:last]
		delete(s.index, a)
	}
}

// pickBetterOfTwo draws two agents at random and returns, of those that serve the
// service, the one with more free slots. Drawing at random keeps several owners from
// making the same choice. If neither of the two serves it, the first agent of the set
// that does is returned, or nil.
func (s *agentSet) pickBetterOfTwo(service string, rng *rand.Rand) *agent {
	n := len(s.list)
	if n == 0 {
		return nil
	}
	a, b := s.list[rng.IntN(n)], s.list[rng.IntN(n)]
	if b.serves(service) && (b.free() > a.free() || !a.serves(service)) {
		a = b
	}
	if a.serves(service) {
		return a
	}
	for _, c := range s.list {
		if c.serves(service) {
			return c
		}
	}
	return nil
}

// remove deletes an agent that cannot be reached, but keeps it until the given time as
// one that may have records.
func (f *fleet) remove(a *agent, expiresAt time.Time) {
	a.linked = false
	f.update(a)
	f.replaceCounts(a, agentCounts{})
	delete(f.agents, a.ref.Agent)
	f.unreachable[a.ref] = expiresAt
}

// setOutDataCentres sets the data centres that are taken out of use.
func (f *fleet) setOutDataCentres(dataCentres []string) {
	f.outDataCentres = dataCentres
	for _, a := range f.sorted() {
		a.dataCentreOut = slices.Contains(f.outDataCentres, a.dataCentre)
		f.update(a)
	}
}

// canServe reports whether any known agent runs the service.
func (f *fleet) canServe(service string) bool {
	for _, a := range f.agents {
		if a.serves(service) {
			return true
		}
	}
	return false
}

// pick returns an agent with a free slot for the service, or nil. It prefers slots that
// other owners use only when theirs are taken.
func (f *fleet) pick(service string, rng *rand.Rand) *agent {
	if a := f.withPreferredSlots.pickBetterOfTwo(service, rng); a != nil {
		return a
	}
	return f.withFreeSlots.pickBetterOfTwo(service, rng)
}

// linkedAgent returns the agent of the given name if link is its current link, and nil
// otherwise.
func (f *fleet) linkedAgent(name string, link uint64) *agent {
	a := f.agents[name]
	if a == nil || !a.linked || a.link != link {
		return nil
	}
	return a
}

// unlinkedSince returns the agents that have been disconnected since limit or longer,
// by name.
func (f *fleet) unlinkedSince(limit time.Time) []*agent {
	var out []*agent
	for _, a := range f.agents {
		if !a.linked && !a.unlinkedAt.After(limit) {
			out = append(out, a)
		}
	}
	sortAgents(out)
	return out
}

// sortedKnown returns the known agents among the keys of m, by name.
func (f *fleet) sortedKnown(m map[courier.AgentRef][]courier.TaskID) []*agent {
	var out []*agent
	for ref := range m {
		if a := f.agents[ref.Agent]; a != nil && a.ref == ref {
			out = append(out, a)
		}
	}
	sortAgents(out)
	return out
}

// sorted returns all known agents, by name.
func (f *fleet) sorted() []*agent {
	out := make([]*agent, 0, len(f.agents))
	for _, a := range f.agents {
		out = append(out, a)
	}
	sortAgents(out)
	return out
}

func sortAgents(list []*agent) {
	slices.SortFunc(list, func(a, b *agent) int { return cmp.Compare(a.ref.Agent, b.ref.Agent) })
}

// tick allows a probe to the agents whose ejection time is over, and drops the
// unreachable agents that no longer count.
func (f *fleet) tick(now time.Time) {
	for ref, expiresAt := range f.unreachable {
		if expiresAt.Before(now) {
			delete(f.unreachable, ref)
		}
	}
	for _, a := range f.sorted() {
		if a.health.ejected && !now.Before(a.health.ejectedUntil) {
			a.health.allowProbe()
			f.update(a)
		}
	}
}
