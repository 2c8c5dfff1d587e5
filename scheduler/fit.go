package scheduler

import "time"

// choose returns the one of the agents for the first of the tasks, and how many
// of them it can take. An agent that can take all comes first, the fullest of these;
// else the one that can take most.
func (s *Scheduler) choose(agents []*agent, j *job, step int, todo []*task, now time.Time) (*agent, int) {
	var best *agent
	var bestFit fit
	for _, a := range agents {
		if !j.Steps[step].Demand.Fits(a.roomFor(j, step, now)) {
			continue
		}
		if !a.serves(j.Queue, s.config, now, s.woke) || !a.sound(now) || !a.suits(j.Steps[step]) {
			continue
		}
		f := a.fit(j, step, todo, now)
		if f.tasks == 0 {
			continue
		}
		f.near = a.near(j.Steps[step])
		f.local = a.report.DataCentre == s.dataCentre
		f.all = f.tasks == len(todo)
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
	all   bool
	near  bool
	local bool
	// rest is the room left after that, in thousandths of a core.
	rest int
}

func (f fit) better(g fit) bool {
	switch {
	case f.near != g.near:
		return f.near
	case f.all != g.all:
		return f.all
	case f.all && f.local != g.local:
		return f.local
	case f.all:
		return f.rest < g.rest
	case f.tasks != g.tasks:
		return f.tasks > g.tasks
	}
	return f.local && !g.local
}

// fit counts how many of the tasks, in order, the agent has room for.
func (a *agent) fit(j *job, step int, todo []*task, now time.Time) fit {
	d := j.Steps[step].Demand
	room := a.roomFor(j, step, now)
	most := len(todo)
	if spread := j.Steps[step].Spread; spread > 0 {
		most = min(most, spread-a.of(j, step))
	}
	if a.health.ejected {
		most = min(most, 1)
	}
	n := 0
	for n < most && d.Fits(room) && !now.Before(todo[n].avoid[a.name]) {
		room = room.Minus(d)
		n++
	}
	return fit{tasks: n, rest: room.CPU}
}
