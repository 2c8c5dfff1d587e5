package scheduler

import "time"

const (
	// headroomTasks is the free capacity, in tasks of the same size, that an agent must
	// keep beside a placement to count as having headroom. What it last reported may be
	// half a heartbeat interval old, and other entries have placed tasks since.
	headroomTasks = 3
	// minChunkTasks is the minimum number of a job's tasks that are kept together at an
	// agent with headroom. A larger job is split rather than sent to the emptiest
	// agent, which is the same one for every entry.
	minChunkTasks = 2
)

// chooseAgent returns the best of the agents for the first of the tasks, and how many
// of them to place there. Deferred tasks do not count, so the number may be 0. The
// agent is nil if none has capacity.
func (s *Scheduler) chooseAgent(agents []*agent, j *job, step int, waiting []*task, now time.Time) (*agent, int) {
	a, n := s.bestAgent(agents, j, step, waiting, now)
	if a == nil {
		return nil, 0
	}
	return a, s.chooseNearOrFar(a, n, j, step, waiting, now)
}

// bestAgent returns the agent that suits the first of the tasks best, and how many of
// them it can take; nil if none has capacity. Among agents with headroom, each job has
// a pseudo-random order of its own, so that entries seldom choose the same agent.
// Without headroom, the fullest agent that can take all tasks comes first, which leaves
// the capacity of the others unfragmented, and after these the one that can take most.
func (s *Scheduler) bestAgent(agents []*agent, j *job, step int, waiting []*task, now time.Time) (*agent, int) {
	var best *agent
	var bestFit fit
	criteria := s.speedCriteriaOf(j, step, waiting, now)
	for _, a := range agents {
		if !j.Steps[step].Demand.FitsIn(a.capacityFor(j, step, now)) {
			continue
		}
		if !s.accepts(a, j.Queue, now) || !a.healthy(now) || !a.matchesLabel(j.Steps[step]) {
			continue
		}
		f := a.fit(j, step, waiting, now, criteria.fastOnly)
		if f.tasks == 0 {
			continue
		}
		f.near = a.near(j.Steps[step])
		f.sameDataCentre = a.report.DataCentre == s.dataCentre
		criteria.applyTo(&f, a)
		if criteria.fastOnly && !(f.inTime && f.tasks == len(waiting)) {
			continue
		}
		if best == nil || f.better(bestFit) {
			best = a
			bestFit = f
		}
	}
	return best, bestFit.tasks
}

// fit describes how well an agent suits the waiting tasks.
type fit struct {
	// tasks is how many of them it can take.
	tasks int
	// headroom means that capacity for headroomTasks is left beside these.
	headroom bool
	// all means that it can take all waiting tasks.
	all bool
	// near means that its worker is on the rack of the data.
	near bool
	// inTime means that the job is expected to meet its objective there.
	inTime bool
	// speedRank is greater for a worker whose speed is preferred.
	speedRank int
	// sameDataCentre means that the agent is in the entry's data centre.
	sameDataCentre bool
	// freeCPU is the CPU left beside the tasks, in thousandths of a core.
	freeCPU int
	// tieBreak is the agent's position in the job's own order of agents.
	tieBreak uint64
}

// better reports whether f is preferred to g.
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

// fit counts how many of the tasks, in order, the agent has capacity for. It keeps
// headroom if it can take enough of them that way: minChunkTasks, or all tasks of a job
// that must stay whole.
func (a *agent) fit(j *job, step int, waiting []*task, now time.Time, whole bool) fit {
	minTasks := min(len(waiting), minChunkTasks)
	if whole {
		minTasks = len(waiting)
	}
	d := j.Steps[step].Demand
	maxTasks := a.maxTasks(j, step, waiting, now)
	free := a.capacityFor(j, step, now)
	slots := j.Steps[step].countFitting(free, maxTasks+headroomTasks)
	if n := min(maxTasks, slots-headroomTasks); n >= minTasks {
		return fit{tasks: n, headroom: true, tieBreak: j.agentOrder(a)}
	}
	n := min(maxTasks, slots)
	return fit{tasks: n, all: n == len(waiting), freeCPU: free.CPU - n*d.CPU}
}

// maxTasks returns how many of the tasks, in order, may be placed at the agent at once,
// regardless of its capacity.
func (a *agent) maxTasks(j *job, step int, waiting []*task, now time.Time) int {
	limit := len(waiting)
	if maxPerWorker := j.Steps[step].MaxPerWorker; maxPerWorker > 0 {
		limit = min(limit, maxPerWorker-a.countPlaced(j, step))
	}
	if a.health.ejected {
		limit = min(limit, 1)
	}
	n := 0
	for n < limit && !now.Before(waiting[n].avoidUntil[a.name]) {
		n++
	}
	return n
}

// agentOrder returns the agent's position in the job's own order of agents, which
// differs between jobs.
func (j *job) agentOrder(a *agent) uint64 { return mixHashes(j.hash, a.hash) }
