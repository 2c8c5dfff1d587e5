package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// minSpeedJobs is the weight, in jobs, that a worker's speed must have behind it.
	minSpeedJobs = 4
	// minSpeedWorkers is the number of workers of a service whose speeds must be
	// known.
	minSpeedWorkers = 4
	// speedStepRatio is the share by which workers must differ for their speeds to take
	// effect.
	speedStepRatio = 0.2
	// speedLogStdDev is the standard deviation of the logarithm of one job's speed at
	// a worker that has a speed of 1: estimates are off by up to 40% either way.
	speedLogStdDev = 0.25
	// speedCompareInterval is the time between two comparisons of the workers.
	speedCompareInterval = 100 * time.Millisecond
	// minRelativeSpeed and maxRelativeSpeed bound what is taken for a worker's speed. One that
	// seems to be slower has a fault, which is for health to see.
	minRelativeSpeed = slowPace
	maxRelativeSpeed = 4
)

// speed is how fast a worker is, as its agent tells.
type speed struct {
	value float64
	// sampleJobs is the weight behind value in jobs.
	sampleJobs int
	// relative is value against the usual one of the service's workers; 1 while it
	// is not known or workers do not differ.
	relative float64
	// step is relative in steps of speedStepRatio; 0 is the usual one.
	step int
}

// defaultSpeed is that of a worker of which nothing is known.
var defaultSpeed = speed{value: 1, relative: 1}

// update takes in a report. One without a speed leaves it as it is.
func (v *speed) update(r messenger.Report) {
	if r.Speed > 0 {
		v.value = r.Speed
		v.sampleJobs = r.SpeedJobs
	}
}

// known reports whether enough jobs are behind the speed.
func (v *speed) known() bool { return v.sampleJobs >= minSpeedJobs }

// setRelative sets the relative speed and its step.
func (v *speed) setRelative(relative float64) {
	v.relative = relative
	v.step = quantizeSpeed(relative)
}

// quantizeSpeed returns a relative speed in steps of speedStepRatio.
func quantizeSpeed(relative float64) int {
	return int(math.Round(math.Log(relative) / math.Log1p(speedStepRatio)))
}

// speedProfile is what the workers of one service have in common.
type speedProfile struct {
	// heterogeneous means that they differ enough for their speeds to take effect.
	heterogeneous bool
	// lowerQuartile is the relative speed that a quarter of them does not exceed, and fast
	// the highest one.
	lowerQuartile, fastest float64
}

// speedProfileOf returns the workers that serve a queue.
func (s *Scheduler) speedProfileOf(q Queue) speedProfile { return s.speedProfiles[q.Service] }

// compareSpeeds compares the workers of each service from time to time.
func (s *Scheduler) compareSpeeds(now time.Time) {
	if now.Sub(s.speedsComparedAt) < speedCompareInterval {
		return
	}
	s.speedsComparedAt = now
	byService := make(map[string][]*agent)
	for _, a := range s.agentsByName {
		if a.synced && a.upstream.Born != 0 && !a.health.ejected {
			byService[a.upstream.Service] = append(byService[a.upstream.Service], a)
		}
	}
	last := s.speedProfiles
	s.speedProfiles = make(map[string]speedProfile, len(byService))
	for service, agents := range byService {
		f := setRelativeSpeeds(agents, last[service].heterogeneous)
		s.speedProfiles[service] = f
		if f.heterogeneous != last[service].heterogeneous {
			why := fmt.Sprintf("service %s, workers differ: %t, relative speeds from %.2f to %.2f",
				service, f.heterogeneous, f.lowerQuartile, f.fastest)
			s.emit(Note{What: "use of speeds changed", Why: why})
		}
	}
}

// setRelativeSpeeds sets the relative speeds of agents.
func setRelativeSpeeds(agents []*agent, wasUneven bool) speedProfile {
	usual, uneven := speedSpread(agents, wasUneven)
	relative := make([]float64, len(agents))
	for i, a := range agents {
		relative[i] = 1
		if uneven && a.speed.known() {
			relative[i] = min(max(a.speed.value/usual, minRelativeSpeed), maxRelativeSpeed)
		}
		a.speed.setRelative(relative[i])
	}
	slices.Sort(relative)
	return speedProfile{heterogeneous: uneven, lowerQuartile: relative[len(relative)/4], fastest: relative[len(relative)-1]}
}

// speedSpread returns the median of the known speeds and whether they differ. The
// variance of their logarithms, less what the error of the estimates explains and
// its usual variation, must be that of two halves that differ by speedStepRatio. Once it
// was, a third of it is enough, so that the answer does not change to and fro.
func speedSpread(agents []*agent, wasUneven bool) (usual float64, uneven bool) {
	var logs []float64
	var noise float64
	for _, a := range agents {
		if a.speed.known() {
			logs = append(logs, math.Log(a.speed.value))
			noise += speedLogStdDev * speedLogStdDev / float64(a.speed.sampleJobs)
		}
	}
	n := float64(len(logs))
	if len(logs) < minSpeedWorkers {
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
	half := math.Log1p(speedStepRatio) / 2
	enough := half * half
	if wasUneven {
		enough /= 3
	}
	enough += noise * math.Sqrt(2/(n-1))
	return math.Exp(logs[len(logs)/2]), variance >= enough
}

// speedCriteria is what the speed of a worker is held against for tasks that wait. Its zero
// value is for workers that do not differ.
type speedCriteria struct {
	heterogeneous bool
	// timeLeft is the time until the job has to end.
	timeLeft time.Duration
	// worstCase is how long the rest of the job takes at the usual speed if its
	// estimates are too low.
	worstCase time.Duration
	// contended means that other tasks wait as well.
	contended bool
	// fastOnly means that the job waits only for a worker on which it is in time,
	// with room for all of its tasks.
	fastOnly bool
}

// speedCriteriaOf returns the timing of tasks of one step.
func (s *Scheduler) speedCriteriaOf(j *job, step int, todo []*task, now time.Time) speedCriteria {
	if !s.speedProfileOf(j.Queue).heterogeneous {
		return speedCriteria{}
	}
	return speedCriteria{
		heterogeneous: true,
		timeLeft:      j.objectiveAt.Sub(now),
		worstCase:     j.worstCaseFrom(step),
		contended:     s.backlog.Tasks > len(todo),
		fastOnly:      j.fastOnly && s.tooLate(j, now),
	}
}

// applyTo sets how the speed of a worker suits the tasks. The faster worker is
// preferred, unless other tasks wait and the job is in time on a slower one too.
func (t speedCriteria) applyTo(f *fit, a *agent) {
	if !t.heterogeneous {
		return
	}
	f.inTime = durationAt(t.worstCase, a.speed.relative) <= t.timeLeft
	f.speedRank = a.speed.step
	if f.inTime && t.contended {
		f.speedRank = -f.speedRank
	}
}

// durationAt returns how long work takes at a relative speed that is estimated to
// take a time at the usual one.
func durationAt(estimate time.Duration, speed float64) time.Duration {
	return time.Duration(float64(estimate) / speed)
}

// worstCaseFrom returns the time that a job takes from a step on if its estimates are
// too low.
func (j *job) worstCaseFrom(step int) time.Duration {
	return time.Duration((1 + estimateError) * float64(j.criticalPaths[step]))
}

// inTimeAt reports whether a job ends within its objective if a step of it starts
// now on workers of a relative speed, also if its estimates are too low.
func (j *job) inTimeAt(step int, speed float64, now time.Time) bool {
	return !now.Add(durationAt(j.worstCaseFrom(step), speed)).After(j.objectiveAt)
}

// queueOrderAt returns the queue in the order in which jobs get room at an agent:
// those begun and those that are in time there and would be late on a slow worker
// come first. So others leave fast workers to them, and no room is kept free.
func (s *Scheduler) queueOrderAt(a *agent, now time.Time) []*job {
	f := s.speedProfiles[a.upstream.Service]
	if !f.heterogeneous || a.speed.step <= quantizeSpeed(f.lowerQuartile) {
		return s.queue
	}
	first := make([]*job, 0, len(s.queue))
	var rest []*job
	for _, j := range s.queue {
		if j.mayHaveStarted || j.needsFastWorker(a, f.lowerQuartile, now) {
			first = append(first, j)
		} else {
			rest = append(rest, j)
		}
	}
	return append(first, rest...)
}

// needsFastWorker reports whether all waiting tasks of a job have room at an agent and are in
// time there, and would be late on workers of a slow speed. A job of which a part
// must wait on would be late after all.
func (j *job) needsFastWorker(a *agent, slow float64, now time.Time) bool {
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

// expectedSpeed returns the speed by which a run is judged that is placed now. A worker
// that is set aside is to show that it is as fast as usual.
func (a *agent) expectedSpeed() float64 {
	if a.health.ejected {
		return 1
	}
	return min(a.speed.relative, 1)
}

// deferToFastWorker reports whether a job that has waited for too long goes on waiting, for
// a worker that is so fast that it may be in time there.
func (s *Scheduler) deferToFastWorker(j *job, now time.Time) bool {
	f := s.speedProfileOf(j.Queue)
	if !f.heterogeneous {
		return false
	}
	chain := j.objectiveAt.Sub(j.latestStart)
	slack := j.objectiveAt.Sub(j.arrived) - durationAt(chain, f.fastest)
	j.fastOnly = now.Sub(j.arrived) <= min(time.Duration(waitSlackShare*float64(slack)), maxWait)
	return j.fastOnly
}
