package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// minSpeedJobs is the minimum weight, in jobs, for a worker's speed to be used.
	minSpeedJobs = 4
	// minSpeedWorkers is the minimum number of workers of a service with a known speed.
	minSpeedWorkers = 4
	// speedStepRatio is the ratio by which workers must differ for their speeds to take
	// effect, and the step in which relative speeds are compared: 0.2 means 20%.
	speedStepRatio = 0.2
	// speedLogStdDev is the standard deviation of the logarithm of one job's speed at a
	// worker with a speed of 1: estimates are wrong by up to 40% either way.
	speedLogStdDev = 0.25
	// speedCompareInterval is the time between two comparisons of the workers' speeds.
	speedCompareInterval = 100 * time.Millisecond
	// minRelativeSpeed and maxRelativeSpeed bound the relative speed of a worker. One
	// that seems to be slower is faulty, which is left to the health checks.
	minRelativeSpeed = slowPace
	maxRelativeSpeed = 4
)

// speed is the speed of a worker, as reported by its agent.
type speed struct {
	value float64
	// sampleJobs is the weight of value, in jobs.
	sampleJobs int
	// relative is value over the median speed of the service's workers; 1 while value
	// is not known or the workers do not differ.
	relative float64
	// step is the relative speed in steps of speedStepRatio; 0 stands for the median.
	step int
}

// defaultSpeed is the speed of a worker without a known speed.
var defaultSpeed = speed{value: 1, relative: 1}

// update applies a report. A report without a speed changes nothing.
func (s *speed) update(r messenger.Report) {
	if r.Speed > 0 {
		s.value = r.Speed
		s.sampleJobs = r.SpeedJobs
	}
}

// known reports whether the speed is based on enough jobs.
func (s *speed) known() bool { return s.sampleJobs >= minSpeedJobs }

// setRelative sets the relative speed and its step.
func (s *speed) setRelative(relative float64) {
	s.relative = relative
	s.step = quantizeSpeed(relative)
}

// quantizeSpeed converts a relative speed to steps of speedStepRatio.
func quantizeSpeed(relative float64) int {
	return int(math.Round(math.Log(relative) / math.Log1p(speedStepRatio)))
}

// speedProfile describes the spread of the speeds of the workers of one service.
type speedProfile struct {
	// heterogeneous means that the workers differ enough for their speeds to take effect.
	heterogeneous bool
	// lowerQuartile is the lower quartile of the relative speeds, and fastest the
	// highest one.
	lowerQuartile, fastest float64
}

// speedProfileOf returns the speed profile of the workers that serve a queue.
func (s *Scheduler) speedProfileOf(q Queue) speedProfile { return s.speedProfiles[q.Service] }

// compareSpeeds compares the speeds of each service's workers, at most once every
// speedCompareInterval.
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
	previous := s.speedProfiles
	s.speedProfiles = make(map[string]speedProfile, len(byService))
	for service, agents := range byService {
		profile := setRelativeSpeeds(agents, previous[service].heterogeneous)
		s.speedProfiles[service] = profile
		if profile.heterogeneous != previous[service].heterogeneous {
			why := fmt.Sprintf("service %s, workers differ: %t, relative speeds: lower quartile %.2f, highest %.2f",
				service, profile.heterogeneous, profile.lowerQuartile, profile.fastest)
			s.emit(Note{What: "use of speeds changed", Why: why})
		}
	}
}

// setRelativeSpeeds sets the relative speeds of the agents of one service and returns
// their profile.
func setRelativeSpeeds(agents []*agent, wasHeterogeneous bool) speedProfile {
	median, heterogeneous := speedSpread(agents, wasHeterogeneous)
	relative := make([]float64, len(agents))
	for i, a := range agents {
		relative[i] = 1
		if heterogeneous && a.speed.known() {
			relative[i] = min(max(a.speed.value/median, minRelativeSpeed), maxRelativeSpeed)
		}
		a.speed.setRelative(relative[i])
	}
	slices.Sort(relative)
	return speedProfile{heterogeneous: heterogeneous, lowerQuartile: relative[len(relative)/4], fastest: relative[len(relative)-1]}
}

// speedSpread returns the median of the known speeds and whether the workers differ.
// The variance of the logarithms of the speeds, less the part that is explained by the
// error of the estimates and its usual variation, must be at least that of two halves
// that differ by speedStepRatio. Once the workers differ, a third of it is enough, so
// that the result does not oscillate.
func speedSpread(agents []*agent, wasHeterogeneous bool) (median float64, heterogeneous bool) {
	var logs []float64
	var errorVariance float64
	for _, a := range agents {
		if a.speed.known() {
			logs = append(logs, math.Log(a.speed.value))
			errorVariance += speedLogStdDev * speedLogStdDev / float64(a.speed.sampleJobs)
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
	errorVariance /= n
	variance := (squares-sum*sum/n)/n - errorVariance
	halfStep := math.Log1p(speedStepRatio) / 2
	minVariance := halfStep * halfStep
	if wasHeterogeneous {
		minVariance /= 3
	}
	minVariance += errorVariance * math.Sqrt(2/(n-1))
	return math.Exp(logs[len(logs)/2]), variance >= minVariance
}

// speedCriteria holds the criteria by which a worker's speed is rated for waiting tasks.
// Its zero value is used for workers that do not differ.
type speedCriteria struct {
	heterogeneous bool
	// timeLeft is the time until the job's objective.
	timeLeft time.Duration
	// worstCase is how long the rest of the job takes at the median speed if its
	// estimates are too low.
	worstCase time.Duration
	// contended means that other tasks are waiting as well.
	contended bool
	// fastOnly means that the job waits only for a worker on which it meets its
	// objective and which has free capacity for all of its tasks.
	fastOnly bool
}

// speedCriteriaOf returns the criteria for the tasks of one step.
func (s *Scheduler) speedCriteriaOf(j *job, step int, waiting []*task, now time.Time) speedCriteria {
	if !s.speedProfileOf(j.Queue).heterogeneous {
		return speedCriteria{}
	}
	return speedCriteria{
		heterogeneous: true,
		timeLeft:      j.objectiveAt.Sub(now),
		worstCase:     j.worstCaseFrom(step),
		contended:     s.backlog.Tasks > len(waiting),
		fastOnly:      j.fastOnly && s.tooLate(j, now),
	}
}

// applyTo sets how well the speed of a worker suits the tasks. A faster worker is
// preferred, unless other tasks are waiting and the job meets its objective on a slower
// one too.
func (c speedCriteria) applyTo(f *fit, a *agent) {
	if !c.heterogeneous {
		return
	}
	f.inTime = durationAt(c.worstCase, a.speed.relative) <= c.timeLeft
	f.speedRank = a.speed.step
	if f.inTime && c.contended {
		f.speedRank = -f.speedRank
	}
}

// durationAt returns the duration, at a relative speed, of work that is estimated to
// take the given time at the median speed.
func durationAt(estimate time.Duration, speed float64) time.Duration {
	return time.Duration(float64(estimate) / speed)
}

// worstCaseFrom returns the time that a job takes from a step on if its estimates are
// too low.
func (j *job) worstCaseFrom(step int) time.Duration {
	return time.Duration((1 + estimateError) * float64(j.criticalPaths[step]))
}

// inTimeAt reports whether a job meets its objective if a step of it starts now on
// workers of a relative speed, even if its estimates are too low.
func (j *job) inTimeAt(step int, speed float64, now time.Time) bool {
	return !now.Add(durationAt(j.worstCaseFrom(step), speed)).After(j.objectiveAt)
}

// queueOrderAt returns the queue in the order in which jobs get capacity at an agent.
// Jobs that may have started, and those that meet their objective there but would miss
// it on a slow worker, come first. This leaves fast workers to the jobs that need them
// without keeping any capacity idle.
func (s *Scheduler) queueOrderAt(a *agent, now time.Time) []*job {
	profile := s.speedProfiles[a.upstream.Service]
	if !profile.heterogeneous || a.speed.step <= quantizeSpeed(profile.lowerQuartile) {
		return s.queue
	}
	first := make([]*job, 0, len(s.queue))
	var rest []*job
	for _, j := range s.queue {
		if j.mayHaveStarted || j.needsFastWorker(a, profile.lowerQuartile, now) {
			first = append(first, j)
		} else {
			rest = append(rest, j)
		}
	}
	return append(first, rest...)
}

// needsFastWorker reports whether an agent has free capacity for all ready tasks of a
// job, the job meets its objective there, and it would miss the objective on workers
// with slowSpeed. All ready tasks are required because a job that had to leave some of
// them waiting would miss its objective anyway.
func (j *job) needsFastWorker(a *agent, slowSpeed float64, now time.Time) bool {
	firstReady := slices.IndexFunc(j.tasks, func(t *task) bool { return t.state == ready })
	if firstReady < 0 {
		return false
	}
	step := j.tasks[firstReady].step
	if j.inTimeAt(step, slowSpeed, now) || !j.inTimeAt(step, a.speed.relative, now) {
		return false
	}
	var totalDemand messenger.Resources
	for _, t := range j.tasks[firstReady:] {
		if t.state == ready {
			totalDemand = totalDemand.Plus(t.demand())
		}
	}
	return totalDemand.FitsIn(a.free())
}

// expectedSpeed returns the speed with which the pace of a run placed now is compared.
// An ejected worker has to reach the median speed.
func (a *agent) expectedSpeed() float64 {
	if a.health.ejected {
		return 1
	}
	return min(a.speed.relative, 1)
}

// deferToFastWorker sets and reports whether a job that has waited too long keeps
// waiting for a worker so fast that the job may still meet its objective there.
func (s *Scheduler) deferToFastWorker(j *job, now time.Time) bool {
	profile := s.speedProfileOf(j.Queue)
	if !profile.heterogeneous {
		return false
	}
	criticalPath := j.objectiveAt.Sub(j.latestStart)
	slack := j.objectiveAt.Sub(j.arrived) - durationAt(criticalPath, profile.fastest)
	j.fastOnly = now.Sub(j.arrived) <= min(time.Duration(waitSlackShare*float64(slack)), maxWait)
	return j.fastOnly
}
