package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// maxPaceSamples is the number of jobs whose paces are kept.
	maxPaceSamples = 7
	// paceSampleTTL is how long the pace of a job counts as evidence on the worker.
	paceSampleTTL = 1500 * time.Millisecond
	// minPaceAge is the least age of a run whose progress gives a pace.
	minPaceAge = 25 * time.Millisecond
	// maxPaceEndDelay is the longest time since the previous answer to a poll for which
	// the end of a run still gives a pace: the run may have ended at any time in
	// between.
	maxPaceEndDelay = 2 * busyPollWait
)

// paceSample is the pace of the run of a job that was seen last: the ratio of the work
// done to the work expected in that time.
type paceSample struct {
	job  string
	pace float64
	at   time.Time
}

// paceSamples holds the last paces, one for each job, since the estimates of a job's
// tasks are wrong together.
type paceSamples struct {
	list []paceSample
}

// add adds a sample. It replaces the earlier one of the same job.
func (p *paceSamples) add(s paceSample) {
	p.list = slices.DeleteFunc(p.list, func(o paceSample) bool { return o.job == s.job })
	p.list = append(p.list, s)
	if len(p.list) > maxPaceSamples {
		p.list = p.list[1:]
	}
}

// median returns the median of the recent paces, and the number of jobs behind it.
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

// recordPace adds a sample of the pace of a run from its progress.
func (x *Executor) recordPace(r *run) {
	if r.startTimeUnknown || r.progressAge < minPaceAge || r.Estimate <= 0 || r.owner == "" || r.percent >= 100 {
		return
	}
	done := float64(r.percent) / 100 * float64(r.Estimate)
	x.paceSamples.add(paceSample{job: r.job, pace: done / float64(r.progressAge), at: x.clock.Now()})
}

// failureStreak counts the jobs in a row that had a failed run. All runs of one job
// count once, since the job may be one that can never succeed.
type failureStreak struct {
	jobs    int
	lastJob string
}

// recordRunEnd updates the evidence on the health and the speed of the worker with the
// end of a run.
func (x *Executor) recordRunEnd(r *run, reason messenger.EndReason) {
	switch reason {
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
