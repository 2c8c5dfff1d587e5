package executor

import (
	"math"
	"slices"
	"time"
)

const (
	// speedDecayJobs is the number of newer jobs, and speedDecayTime the time, over
	// which the weight of a sample decays to 1/e.
	speedDecayJobs = 16
	speedDecayTime = 5 * time.Second
	// maxSpeedSamples bounds the samples that are kept. Older ones weigh less than a
	// seventh of the newest.
	maxSpeedSamples = 2 * speedDecayJobs
	// speedChangeSamples is the number of newest samples whose median shows a change of
	// the speed, and speedChangeFactor the factor by which that median then differs
	// from the older samples. Estimates that are off by 40% nearly always move a median
	// of five by less than that.
	speedChangeSamples = 5
	speedChangeFactor  = 1.6
	// minSpeedReportChange is the relative change from which a speed is reported
	// between heartbeats.
	minSpeedReportChange = 0.1
)

// speedSample is the natural logarithm of the speed of one job's fastest run. A
// straggler is evidence on itself, not on the worker.
type speedSample struct {
	job string
	log float64
	at  time.Time
}

// speedSamples holds the speeds of the last jobs, the oldest first. There is one sample
// for each job, since the estimates of a job's tasks are wrong together.
type speedSamples struct {
	list []speedSample
}

// speedEstimate is an estimate of the worker's speed.
type speedEstimate struct {
	// value is the ratio of estimated to measured run time; 1 when nothing is known.
	value float64
	// jobs is the weight of the samples behind it, in jobs.
	jobs int
}

// differsFrom reports whether s differs from o by enough to be reported at once.
func (s speedEstimate) differsFrom(o speedEstimate) bool {
	return math.Abs(s.value-o.value) >= minSpeedReportChange*o.value
}

// add adds the sample of a run with its estimated and its measured time. The fastest
// run of a job counts.
func (v *speedSamples) add(job string, estimate, measured time.Duration, now time.Time) {
	s := speedSample{job: job, log: math.Log(float64(estimate) / float64(measured)), at: now}
	if i := slices.IndexFunc(v.list, func(o speedSample) bool { return o.job == job }); i >= 0 {
		v.list[i].log = max(v.list[i].log, s.log)
		return
	}
	v.list = append(v.list, s)
	if v.hasChanged(now) {
		v.list = v.list[len(v.list)-speedChangeSamples:]
	}
	if len(v.list) > maxSpeedSamples {
		v.list = v.list[1:]
	}
}

// hasChanged reports whether the median of the newest samples differs from the mean of
// the older ones by more than speedChangeFactor.
func (v *speedSamples) hasChanged(now time.Time) bool {
	older := len(v.list) - speedChangeSamples
	if older <= 0 {
		return false
	}
	logs := make([]float64, speedChangeSamples)
	for i, s := range v.list[older:] {
		logs[i] = s.log
	}
	slices.Sort(logs)
	mean, _ := meanLog(v.list[:older], now)
	return math.Abs(logs[speedChangeSamples/2]-mean) > math.Log(speedChangeFactor)
}

// estimate returns the present estimate of the speed.
func (v *speedSamples) estimate(now time.Time) speedEstimate {
	mean, weight := meanLog(v.list, now)
	jobs := int(weight)
	if jobs == 0 {
		return speedEstimate{value: 1}
	}
	return speedEstimate{value: math.Exp(mean), jobs: jobs}
}

// meanLog returns the weighted mean of samples, and their total weight in jobs.
func meanLog(list []speedSample, now time.Time) (mean, weight float64) {
	var sum float64
	for i, s := range list {
		newer := float64(len(list) - 1 - i)
		w := math.Exp(-newer/speedDecayJobs - now.Sub(s.at).Seconds()/speedDecayTime.Seconds())
		sum += w * s.log
		weight += w
	}
	if weight == 0 {
		return 0, 0
	}
	return sum / weight, weight
}

// speedToReport returns the speed for a report to an entry, or zero if the report need
// not have it: heartbeats have it when it differs from the one last reported, other
// reports only when it differs by at least minSpeedReportChange.
func (x *Executor) speedToReport(e *entry, now time.Time, heartbeat bool) speedEstimate {
	s := x.speedSamples.estimate(now)
	if s == e.reportedSpeed || (!heartbeat && !s.differsFrom(e.reportedSpeed)) {
		return speedEstimate{}
	}
	e.reportedSpeed = s
	return s
}
