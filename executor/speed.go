package executor

import (
	"math"
	"slices"
	"time"
)

const (
	// speedSpan is the number of jobs over which a sample loses all but 1/e of
	// its weight, and speedLife is the time in which it does.
	speedSpan = 16
	speedLife = 5 * time.Second
	// speedSamples bounds the samples that are kept. Older ones weigh less than a
	// seventh of the newest.
	speedSamples = 2 * speedSpan
	// speedNews is the number of newest samples whose median shows a change, and
	// speedChange the factor by which it is then off the older samples. Estimates
	// that are off by 40% move a median of five by less than that nearly always.
	speedNews   = 5
	speedChange = 1.6
	// speedStepRatio is the share by which a speed must have changed to be told between
	// heartbeats.
	speedStep = 0.1
)

// speedSample is the natural logarithm of the speed of one job's fastest run: a
// straggler tells of itself, not of the worker.
type speedSample struct {
	job string
	log float64
	at  time.Time
}

// speeds keeps the speeds of the last jobs, the oldest first. There is one sample
// for each job, since the estimates of a job's tasks are wrong together.
type speeds struct {
	list []speedSample
}

// speed is an estimate of the worker's speed.
type speed struct {
	// value is estimated over taken time; 1 when nothing is known.
	value float64
	// jobs is the weight behind it in jobs.
	jobs int
}

// changed reports whether s differs from o by enough to be told at once.
func (s speed) changed(o speed) bool {
	return math.Abs(s.value-o.value) >= speedStep*o.value
}

// note takes in a run that was estimated to take one time and took another.
func (v *speeds) note(job string, estimate, took time.Duration, now time.Time) {
	s := speedSample{job: job, log: math.Log(float64(estimate) / float64(took)), at: now}
	if i := slices.IndexFunc(v.list, func(o speedSample) bool { return o.job == job }); i >= 0 {
		v.list[i].log = max(v.list[i].log, s.log)
		return
	}
	v.list = append(v.list, s)
	if v.hasChanged(now) {
		v.list = v.list[len(v.list)-speedNews:]
	}
	if len(v.list) > speedSamples {
		v.list = v.list[1:]
	}
}

// hasChanged reports whether the newest samples are off the older ones.
func (v *speeds) hasChanged(now time.Time) bool {
	older := len(v.list) - speedNews
	if older <= 0 {
		return false
	}
	logs := make([]float64, speedNews)
	for i, s := range v.list[older:] {
		logs[i] = s.log
	}
	slices.Sort(logs)
	mean, _ := meanLog(v.list[:older], now)
	return math.Abs(logs[speedNews/2]-mean) > math.Log(speedChange)
}

// estimate returns the present estimate.
func (v *speeds) estimate(now time.Time) speed {
	mean, weight := meanLog(v.list, now)
	jobs := int(weight)
	if jobs == 0 {
		return speed{value: 1}
	}
	return speed{value: math.Exp(mean), jobs: jobs}
}

// meanLog returns the weighted mean of samples, and their weight in jobs.
func meanLog(list []speedSample, now time.Time) (mean, weight float64) {
	var sum float64
	for i, s := range list {
		newer := float64(len(list) - 1 - i)
		w := math.Exp(-newer/speedSpan - now.Sub(s.at).Seconds()/speedLife.Seconds())
		sum += w * s.log
		weight += w
	}
	if weight == 0 {
		return 0, 0
	}
	return sum / weight, weight
}

// tellSpeed returns the speed for a report to an entry, zero for one that need
// not carry it: it goes with heartbeats, and with others when it has changed.
func (x *Executor) tellSpeed(e *entry, now time.Time, beat bool) speed {
	s := x.speeds.estimate(now)
	if s == e.toldSpeed || (!beat && !s.changed(e.toldSpeed)) {
		return speed{}
	}
	e.toldSpeed = s
	return s
}
