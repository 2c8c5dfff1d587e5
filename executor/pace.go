package executor

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// minPaceJobs is the number of jobs whose paces are kept.
	paceJobs = 7
	// paceLife is how long the pace of a job tells of the worker.
	paceLife = 1500 * time.Millisecond
	// paceAge is the least age of a run whose progress tells of the pace.
	paceAge = 25 * time.Millisecond
	// paceError is how much later than it came an end may be seen for the run
	// still to tell of the pace.
	paceError = 2 * busyWait
)

// jobPace is how fast the last seen run of a job was: the work done over the
// work expected in the time.
type jobPace struct {
	job  string
	pace float64
	at   time.Time
}

// paces keeps the last paces, one for each job, since the estimates of a job's
// tasks are wrong together.
type paces struct {
	list []jobPace
}

// note takes a sample in. The lowest of a job's recent samples counts.
func (p *paces) note(s jobPace) {
	p.list = slices.DeleteFunc(p.list, func(o jobPace) bool { return o.job == s.job })
	p.list = append(p.list, s)
	if len(p.list) > paceJobs {
		p.list = p.list[1:]
	}
}

// median returns the median pace and of how many jobs it is.
func (p *paces) median(now time.Time) (float64, int) {
	var recent []float64
	for _, s := range p.list {
		if now.Sub(s.at) <= paceLife {
			recent = append(recent, s.pace)
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2], len(recent)
}

// pace notes how fast a run goes.
func (x *Executor) pace(r *run) {
	if r.startUnsure || r.age < paceAge || r.Estimate <= 0 || r.owner == "" || r.percent >= 100 {
		return
	}
	done := float64(r.percent) / 100 * float64(r.Estimate)
	x.paces.note(jobPace{job: r.job, pace: done / float64(r.age), at: x.clock.Now()})
}

// failures counts the jobs in a row that had a failed run. The runs of one job
// count once, since a job may be one that can never be done.
type failures struct {
	jobs int
	last string
}

// noteEvidence counts the end of a run as evidence on the state of the worker.
func (x *Executor) noteEvidence(r *run, how messenger.EndReason) {
	switch how {
	case messenger.RunDone:
		x.failures = failures{}
		timed := !r.startUnsure && x.clock.Since(x.look.answeredAt) <= paceError
		if took := x.clock.Since(r.sentAt); timed && took > 0 && r.Estimate > 0 {
			x.paces.note(jobPace{job: r.job, pace: float64(r.Estimate) / float64(took), at: x.clock.Now()})
			x.speeds.note(r.job, r.Estimate, took, x.clock.Now())
		}
	case messenger.RunFailed:
		if x.failures.last != r.job {
			x.failures.jobs++
			x.failures.last = r.job
		}
	}
}
