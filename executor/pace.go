package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// minPaceJobs is the number of jobs whose paces are kept.
	maxPaceSamples = 7
	// paceSampleTTL is how long the pace of a job tells of the worker.
	paceSampleTTL = 1500 * time.Millisecond
	// minPaceAge is the least age of a run whose progress tells of the pace.
	minPaceAge = 25 * time.Millisecond
	// maxPaceEndDelay is how much later than it came an end may be seen for the run
	// still to tell of the pace.
	maxPaceEndDelay = 2 * busyPollWait
)

// paceSample is how fast the last seen run of a job was: the work done over the
// work expected in the time.
type paceSample struct {
	job  string
	pace float64
	at   time.Time
}

// paceSamples keeps the last paces, one for each job, since the estimates of a job's
// tasks are wrong together.
type paceSamples struct {
	list []paceSample
}

// add takes a sample in. The lowest of a job's recent samples counts.
func (p *paceSamples) add(s paceSample) {
	p.list = slices.DeleteFunc(p.list, func(o paceSample) bool { return o.job == s.job })
	p.list = append(p.list, s)
	if len(p.list) > maxPaceSamples {
		p.list = p.list[1:]
	}
}

// median returns the median pace and of how many jobs it is.
func (p *paceSamples) median(now time.Time) (float64, int) {
	var recent []float64
	for _, s := range p.list {
		if now.Sub(s.at) <= paceSampleTTL {
			recent = append(recent, s.pace)
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2], len(recent)
}

// recordPace notes how fast a run goes.
func (x *Executor) recordPace(r *run) {
	if r.startTimeUnknown || r.progressAge < minPaceAge || r.Estimate <= 0 || r.owner == "" || r.percent >= 100 {
		return
	}
	done := float64(r.percent) / 100 * float64(r.Estimate)
	x.paceSamples.add(paceSample{job: r.job, pace: done / float64(r.progressAge), at: x.clock.Now()})
}

// failureStreak counts the jobs in a row that had a failed run. The runs of one job
// count once, since a job may be one that can never be done.
type failureStreak struct {
	jobs    int
	lastJob string
}

// recordRunEnd counts the end of a run as evidence on the state of the worker.
func (x *Executor) recordRunEnd(r *run, how messenger.EndReason) {
	switch how {
	case messenger.RunDone:
		x.failures = failureStreak{}
		timed := !r.startTimeUnknown && x.clock.Since(x.poll.answeredAt) <= maxPaceEndDelay
		if took := x.clock.Since(r.sentAt); timed && took > 0 && r.Estimate > 0 {
			x.paceSamples.add(paceSample{job: r.job, pace: float64(r.Estimate) / float64(took), at: x.clock.Now()})
			x.speedSamples.add(r.job, r.Estimate, took, x.clock.Now())
		}
	case messenger.RunFailed:
		if x.failures.lastJob != r.job {
			x.failures.jobs++
			x.failures.lastJob = r.job
		}
	}
}
