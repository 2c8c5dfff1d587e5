package scheduler

import "time"

// haste is how the speed of a worker counts for the tasks that wait. Its zero value
// is for workers that do not differ.
type haste struct {
	uneven bool
	// ends is when the job has to end, less now, and most how long the rest of it
	// takes at the usual speed at the most.
	ends, most time.Duration
	// shared means that other tasks wait as well.
	shared bool
	// only means that the job has waited for too long for workers that are not fast
	// enough for it, or that cannot take all of its tasks.
	only bool
}

// hasteOf returns how speed counts for tasks of one step.
func (s *Scheduler) hasteOf(j *job, step int, todo []*task, now time.Time) haste {
	if !s.fleetOf(j.Queue).uneven {
		return haste{}
	}
	return haste{
		uneven: true,
		ends:   j.due.Sub(now),
		most:   j.mostFrom(step),
		shared: s.want.Tasks > len(todo),
		only:   j.fastOnly && s.hopeless(j, now),
	}
}

// judge notes how the speed of a worker suits the tasks. The faster one is the
// better choice, unless the slower one is fast enough and other tasks wait.
func (h haste) judge(f *fit, a *agent) {
	if !h.uneven {
		return
	}
	f.inTime = over(h.most, a.speed.relative) <= h.ends
	f.pick = a.speed.step
	if f.inTime && h.shared {
		f.pick = -f.pick
	}
}

// choose returns the one of the agents for the first of the tasks, and how many
// of them it can take. An agent that can take all comes first, the fullest of these;
// else the one that can take most.
func (s *Scheduler) choose(agents []*agent, j *job, step int, todo []*task, now time.Time) (*agent, int) {
	var best *agent
	var bestFit fit
	haste := s.hasteOf(j, step, todo, now)
	for _, a := range agents {
		if !j.Steps[step].Demand.Fits(a.free()) {
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
		haste.judge(&f, a)
		if haste.only && !(f.inTime && f.all) {
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
	all   bool
	near  bool
	// inTime means that the job is expected to end within its objective there.
	inTime bool
	// pick is greater for a worker whose speed is the better choice.
	pick  int
	local bool
	// rest is the room left after that, in thousandths of a core.
	rest int
}

func (f fit) better(g fit) bool {
	switch {
	case f.near != g.near:
		return f.near
	case f.inTime != g.inTime:
		return f.inTime
	case f.all != g.all:
		return f.all
	case f.pick != g.pick:
		return f.pick > g.pick
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
	room := a.free()
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
