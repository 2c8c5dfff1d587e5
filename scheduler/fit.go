package scheduler

import "time"

const (
	// headroomTasks is the room, in tasks of the same size, that an agent keeps when it
	// counts as having room to spare. What it last reported may be half a heartbeat
	// old, and other entries have placed tasks since.
	headroomTasks = 3
	// minChunkTasks is the least number of a job's tasks that are kept together at an
	// agent with room to spare. A job with more is split rather than sent to the
	// emptiest agent, which is the same one for every entry.
	minChunkTasks = 2
)

// chooseAgent returns the one of the agents for the first of the tasks, and how many of
// them go there. Tasks that are held for a near worker are not counted, so that the
// number may be 0. The agent is nil if none has room.
func (s *Scheduler) chooseAgent(agents []*agent, j *job, step int, todo []*task, now time.Time) (*agent, int) {
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
	timing := s.speedCriteriaOf(j, step, todo, now)
	for _, a := range agents {
		if !j.Steps[step].Demand.FitsIn(a.capacityFor(j, step, now)) {
			continue
		}
		if !a.acceptsQueue(j.Queue, s.config, now, s.resumedAt) || !a.healthy(now) || !a.matchesLabel(j.Steps[step]) {
			continue
		}
		f := a.fit(j, step, todo, now, timing.fastOnly)
		if f.tasks == 0 {
			continue
		}
		f.near = a.near(j.Steps[step])
		f.sameDataCentre = a.report.DataCentre == s.dataCentre
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
	// headroom means that it has room to spare beside these.
	headroom bool
	// all means that it can take all that wait.
	all bool
	// near means that its worker is on the rack of the data.
	near bool
	// inTime means that the job is expected to end within its objective there.
	inTime bool
	// speedRank is greater for a worker whose speed is the better choice.
	speedRank int
	// sameDataCentre means that it is in the entry's data centre.
	sameDataCentre bool
	// freeCPU is the room left beside these, in thousandths of a core.
	freeCPU int
	// tieBreak is the agent's place in the job's own order of agents.
	tieBreak uint64
}

func (f fit) better(g fit) bool {
	switch {
	case f.near != g.near:
		return f.near
	case f.inTime != g.inTime:
		return f.inTime
	case f.headroom != g.headroom:
		return f.headroom
	case f.headroom && f.speedRank != g.speedRank:
		return f.speedRank > g.speedRank
	case f.headroom && f.sameDataCentre != g.sameDataCentre:
		return f.sameDataCentre
	case f.headroom:
		return f.tieBreak < g.tieBreak
	case f.all != g.all:
		return f.all
	case f.speedRank != g.speedRank:
		return f.speedRank > g.speedRank
	case f.all && f.sameDataCentre != g.sameDataCentre:
		return f.sameDataCentre
	case f.all:
		return f.freeCPU < g.freeCPU
	case f.tasks != g.tasks:
		return f.tasks > g.tasks
	}
	return f.sameDataCentre && !g.sameDataCentre
}

// fit counts how many of the tasks, in order, the agent has room for: with room to
// spare if that takes enough of them, which is all of them for a job that is to stay
// whole.
func (a *agent) fit(j *job, step int, todo []*task, now time.Time, whole bool) fit {
	least := min(len(todo), minChunkTasks)
	if whole {
		least = len(todo)
	}
	d := j.Steps[step].Demand
	most := a.maxTasks(j, step, todo, now)
	free := a.capacityFor(j, step, now)
	slots := j.Steps[step].countFitting(free, most+headroomTasks)
	if n := min(most, slots-headroomTasks); n >= least {
		return fit{tasks: n, headroom: true, tieBreak: j.agentOrder(a)}
	}
	n := min(most, slots)
	return fit{tasks: n, all: n == len(todo), freeCPU: free.CPU - n*d.CPU}
}

// maxTasks counts how many of the tasks, in order, may be placed at the agent at once,
// room aside.
func (a *agent) maxTasks(j *job, step int, todo []*task, now time.Time) int {
	most := len(todo)
	if spread := j.Steps[step].MaxPerWorker; spread > 0 {
		most = min(most, spread-a.countPlaced(j, step))
	}
	if a.health.ejected {
		most = min(most, 1)
	}
	n := 0
	for n < most && !now.Before(todo[n].avoidUntil[a.name]) {
		n++
	}
	return n
}

// agentOrder returns the agent's place in the job's own order, which differs between jobs.
func (j *job) agentOrder(a *agent) uint64 {
	// An odd multiplier that mixes all bits, as in Fibonacci hashing.
	const multiplier = 0x9E3779B97F4A7C15
	mixed := (j.hash ^ a.hash) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}
