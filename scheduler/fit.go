package scheduler

import "time"

const (
	// spareTasks is the room, in tasks of the same size, that an agent keeps when it
	// counts as having room to spare. What it last reported may be half a heartbeat
	// old, and other entries have placed tasks since.
	spareTasks = 3
	// chunkTasks is the least number of a job's tasks that are kept together at an
	// agent with room to spare. A job with more is split rather than sent to the
	// emptiest agent, which is the same one for every entry.
	chunkTasks = 2
)

// choose returns the one of the agents for the first of the tasks, and how many of
// them go there. Tasks that are held for a near worker are not counted, so that the
// number may be 0. The agent is nil if none has room.
func (s *Scheduler) choose(agents []*agent, j *job, step int, todo []*task, now time.Time) (*agent, int) {
	a, n := s.bestAgent(agents, j, step, todo, now)
	if a == nil {
		return nil, 0
	}
	return a, s.chooseNearOrFar(a, n, j, step, todo, now)
}

// bestAgent returns the one of the agents that suits the first of the tasks best, and
// how many of them it can take; nil if none has room. While agents have room to spare, any of these will do; each
// job has an order of its own, so that entries seldom meet at one agent. Else the
// fullest that can take all comes first, which leaves the room of the others whole,
// and after these the one that can take most.
func (s *Scheduler) bestAgent(agents []*agent, j *job, step int, todo []*task, now time.Time) (*agent, int) {
	var best *agent
	var bestFit fit
	timing := s.timingOf(j, step, todo, now)
	for _, a := range agents {
		if !j.Steps[step].Demand.FitsIn(a.roomFor(j, step, now)) {
			continue
		}
		if !a.serves(j.Queue, s.config, now, s.woke) || !a.sound(now) || !a.suits(j.Steps[step]) {
			continue
		}
		f := a.fit(j, step, todo, now, timing.fastOnly)
		if f.tasks == 0 {
			continue
		}
		f.near = a.near(j.Steps[step])
		f.local = a.report.DataCentre == s.dataCentre
		timing.applyTo(&f, a)
		if timing.fastOnly && !(f.inTime && f.tasks == len(todo)) {
			continue
		}
		if best == nil || f.better(bestFit) {
			best = a
			bestFit = f
		}
	}
	return best, bestFit.tasks
}

// fit is how well an agent suits the tasks that wait.
type fit struct {
	// tasks is how many it can take.
	tasks int
	// spare means that it has room to spare beside these.
	spare bool
	// all means that it can take all that wait.
	all bool
	// near means that its worker is on the rack of the data.
	near bool
	// inTime means that the job is expected to end within its objective there.
	inTime bool
	// speedRank is greater for a worker whose speed is the better choice.
	speedRank int
	// local means that it is in the entry's data centre.
	local bool
	// rest is the room left beside these, in thousandths of a core.
	rest int
	// order is the agent's place in the job's own order of agents.
	order uint64
}

func (f fit) better(g fit) bool {
	switch {
	case f.near != g.near:
		return f.near
	case f.inTime != g.inTime:
		return f.inTime
	case f.spare != g.spare:
		return f.spare
	case f.spare && f.speedRank != g.speedRank:
		return f.speedRank > g.speedRank
	case f.spare && f.local != g.local:
		return f.local
	case f.spare:
		return f.order < g.order
	case f.all != g.all:
		return f.all
	case f.speedRank != g.speedRank:
		return f.speedRank > g.speedRank
	case f.all && f.local != g.local:
		return f.local
	case f.all:
		return f.rest < g.rest
	case f.tasks != g.tasks:
		return f.tasks > g.tasks
	}
	return f.local && !g.local
}

// fit counts how many of the tasks, in order, the agent has room for: with room to
// spare if that takes enough of them, which is all of them for a job that is to stay
// whole.
func (a *agent) fit(j *job, step int, todo []*task, now time.Time, whole bool) fit {
	least := min(len(todo), chunkTasks)
	if whole {
		least = len(todo)
	}
	d := j.Steps[step].Demand
	most := a.most(j, step, todo, now)
	free := a.roomFor(j, step, now)
	slots := j.Steps[step].fitting(free, most+spareTasks)
	if n := min(most, slots-spareTasks); n >= least {
		return fit{tasks: n, spare: true, order: j.order(a)}
	}
	n := min(most, slots)
	return fit{tasks: n, all: n == len(todo), rest: free.CPU - n*d.CPU}
}

// most counts how many of the tasks, in order, may be placed at the agent at once,
// room aside.
func (a *agent) most(j *job, step int, todo []*task, now time.Time) int {
	most := len(todo)
	if spread := j.Steps[step].Spread; spread > 0 {
		most = min(most, spread-a.of(j, step))
	}
	if a.health.ejected {
		most = min(most, 1)
	}
	n := 0
	for n < most && !now.Before(todo[n].avoid[a.name]) {
		n++
	}
	return n
}

// order returns the agent's place in the job's own order, which differs between jobs.
func (j *job) order(a *agent) uint64 {
	// An odd multiplier that mixes all bits, as in Fibonacci hashing.
	const multiplier = 0x9E3779B97F4A7C15
	mixed := (j.hash ^ a.hash) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}
