package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// speedJobs is the weight, in jobs, that a worker's speed must have behind it.
	speedJobs = 4
	// speedWorkers is the number of workers of a service whose speeds must be
	// known.
	speedWorkers = 4
	// speedStep is the share by which workers must differ for their speeds to take
	// effect.
	speedStep = 0.2
	// speedNoise is the standard deviation of the logarithm of one job's speed at
	// a worker that has a speed of 1: estimates are off by up to 40% either way.
	speedNoise = 0.25
	// speedInterval is the time between two comparisons of the workers.
	speedInterval = 100 * time.Millisecond
	// speedLeast and speedMost bound what is taken for a worker's speed. One that
	// seems to be slower has a fault, which is for health to see.
	speedLeast = slowShare
	speedMost  = 4
)

// speed is how fast a worker is, as its agent tells.
type speed struct {
	value float64
	// jobs is the weight behind value in jobs.
	jobs int
	// relative is value against the usual one of the service's workers; 1 while it
	// is not known or workers do not differ.
	relative float64
	// step is relative in steps of speedStep; 0 is the usual one.
	step int
}

// usualSpeed is that of a worker of which nothing is known.
var usualSpeed = speed{value: 1, relative: 1}

// update takes in a report. One without a speed leaves it as it is.
func (v *speed) update(r messenger.Report) {
	if r.Speed > 0 {
		v.value = r.Speed
		v.jobs = r.SpeedJobs
	}
}

// known reports whether enough jobs are behind the speed.
func (v *speed) known() bool { return v.jobs >= speedJobs }

// setRelative sets the relative speed and its step.
func (v *speed) setRelative(relative float64) {
	v.relative = relative
	v.step = stepOf(relative)
}

// stepOf returns a relative speed in steps of speedStep.
func stepOf(relative float64) int {
	return int(math.Round(math.Log(relative) / math.Log1p(speedStep)))
}

// fleet is what the workers of one service have in common.
type fleet struct {
	// uneven means that they differ enough for their speeds to take effect.
	uneven bool
	// slow is the relative speed that a quarter of them does not exceed, and fast
	// the highest one.
	slow, fast float64
}

// fleetOf returns the workers that serve a queue.
func (s *Scheduler) fleetOf(q Queue) fleet { return s.fleets[q.Service] }

// compareSpeeds compares the workers of each service from time to time.
func (s *Scheduler) compareSpeeds(now time.Time) {
	if now.Sub(s.comparedAt) < speedInterval {
		return
	}
	s.comparedAt = now
	byService := make(map[string][]*agent)
	for _, a := range s.byName {
		if a.open && a.upstream.Born != 0 && !a.health.ejected {
			byService[a.upstream.Service] = append(byService[a.upstream.Service], a)
		}
	}
	last := s.fleets
	s.fleets = make(map[string]fleet, len(byService))
	for service, agents := range byService {
		f := compareFleet(agents, last[service].uneven)
		s.fleets[service] = f
		if f.uneven != last[service].uneven {
			why := fmt.Sprintf("service %s, workers differ: %t, relative speeds from %.2f to %.2f",
				service, f.uneven, f.slow, f.fast)
			s.emit(Note{What: "use of speeds changed", Why: why})
		}
	}
}

// compareFleet sets the relative speeds of agents.
func compareFleet(agents []*agent, wasUneven bool) fleet {
	usual, uneven := speedSpread(agents, wasUneven)
	relative := make([]float64, len(agents))
	for i, a := range agents {
		relative[i] = 1
		if uneven && a.speed.known() {
			relative[i] = min(max(a.speed.value/usual, speedLeast), speedMost)
		}
		a.speed.setRelative(relative[i])
	}
	slices.Sort(relative)
	return fleet{uneven: uneven, slow: relative[len(relative)/4], fast: relative[len(relative)-1]}
}

// speedSpread returns the median of the known speeds and whether they differ. The
// variance of their logarithms, less what the error of the estimates explains and
// its usual variation, must be that of two halves that differ by speedStep. Once it
// was, a third of it is enough, so that the answer does not change to and fro.
func speedSpread(agents []*agent, wasUneven bool) (usual float64, uneven bool) {
	var logs []float64
	var noise float64
	for _, a := range agents {
		if a.speed.known() {
			logs = append(logs, math.Log(a.speed.value))
			noise += speedNoise * speedNoise / float64(a.speed.jobs)
		}
	}
	n := float64(len(logs))
	if len(logs) < speedWorkers {
		return 1, false
	}
	slices.Sort(logs)
	var sum, squares float64
	for _, l := range logs {
		sum += l
		squares += l * l
	}
	noise /= n
	variance := (squares-sum*sum/n)/n - noise
	half := math.Log1p(speedStep) / 2
	enough := half * half
	if wasUneven {
		enough /= 3
	}
	enough += noise * math.Sqrt(2/(n-1))
	return math.Exp(logs[len(logs)/2]), variance >= enough
}

// timing is what the speed of a worker is held against for tasks that wait. Its zero
// value is for workers that do not differ.
type timing struct {
	uneven bool
	// remaining is the time until the job has to end.
	remaining time.Duration
	// longest is how long the rest of the job takes at the usual speed if its
	// estimates are too low.
	longest time.Duration
	// othersWait means that other tasks wait as well.
	othersWait bool
	// fastOnly means that the job waits only for a worker on which it is in time,
	// with room for all of its tasks.
	fastOnly bool
}

// timingOf returns the timing of tasks of one step.
func (s *Scheduler) timingOf(j *job, step int, todo []*task, now time.Time) timing {
	if !s.fleetOf(j.Queue).uneven {
		return timing{}
	}
	return timing{
		uneven:     true,
		remaining:  j.objectiveAt.Sub(now),
		longest:    j.mostFrom(step),
		othersWait: s.want.Tasks > len(todo),
		fastOnly:   j.fastOnly && s.hopeless(j, now),
	}
}

// applyTo sets how the speed of a worker suits the tasks. The faster worker is
// preferred, unless other tasks wait and the job is in time on a slower one too.
func (t timing) applyTo(f *fit, a *agent) {
	if !t.uneven {
		return
	}
	f.inTime = durationAt(t.longest, a.speed.relative) <= t.remaining
	f.speedRank = a.speed.step
	if f.inTime && t.othersWait {
		f.speedRank = -f.speedRank
	}
}

// durationAt returns how long work takes at a relative speed that is estimated to
// take a time at the usual one.
func durationAt(estimate time.Duration, speed float64) time.Duration {
	return time.Duration(float64(estimate) / speed)
}

// mostFrom returns the time that a job takes from a step on if its estimates are
// too low.
func (j *job) mostFrom(step int) time.Duration {
	return time.Duration((1 + estimateError) * float64(j.chains[step]))
}

// inTimeAt reports whether a job ends within its objective if a step of it starts
// now on workers of a relative speed, also if its estimates are too low.
func (j *job) inTimeAt(step int, speed float64, now time.Time) bool {
	return !now.Add(durationAt(j.mostFrom(step), speed)).After(j.objectiveAt)
}

// fastFirst returns the queue in the order in which jobs get room at an agent:
// those begun and those that are in time there and would be late on a slow worker
// come first. So others leave fast workers to them, and no room is kept free.
func (s *Scheduler) fastFirst(a *agent, now time.Time) []*job {
	f := s.fleets[a.upstream.Service]
	if !f.uneven || a.speed.step <= stepOf(f.slow) {
		return s.queue
	}
	first := make([]*job, 0, len(s.queue))
	var rest []*job
	for _, j := range s.queue {
		if j.begun || j.needsFast(a, f.slow, now) {
			first = append(first, j)
		} else {
			rest = append(rest, j)
		}
	}
	return append(first, rest...)
}

// needsFast reports whether all waiting tasks of a job have room at an agent and are in
// time there, and would be late on workers of a slow speed. A job of which a part
// must wait on would be late after all.
func (j *job) needsFast(a *agent, slow float64, now time.Time) bool {
	first := slices.IndexFunc(j.tasks, func(t *task) bool { return t.state == ready })
	if first < 0 {
		return false
	}
	step := j.tasks[first].step
	if j.inTimeAt(step, slow, now) || !j.inTimeAt(step, a.speed.relative, now) {
		return false
	}
	var sum messenger.Resources
	for _, t := range j.tasks[first:] {
		if t.state == ready {
			sum = sum.Plus(t.demand())
		}
	}
	return sum.FitsIn(a.free())
}

// expected returns the speed by which a run is judged that is placed now. A worker
// that is set aside is to show that it is as fast as usual.
func (a *agent) expected() float64 {
	if a.health.ejected {
		return 1
	}
	return min(a.speed.relative, 1)
}

// leftToFast reports whether a job that has waited for too long goes on waiting, for
// a worker that is so fast that it may be in time there.
func (s *Scheduler) leftToFast(j *job, now time.Time) bool {
	f := s.fleetOf(j.Queue)
	if !f.uneven {
		return false
	}
	chain := j.objectiveAt.Sub(j.latest)
	slack := j.objectiveAt.Sub(j.arrived) - durationAt(chain, f.fast)
	j.fastOnly = now.Sub(j.arrived) <= min(time.Duration(admitShare*float64(slack)), waitMost)
	return j.fastOnly
}
