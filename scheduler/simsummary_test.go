package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

// summary counts jobs by the answers that their callers got.
type summary struct {
	all, inTime, late, refused, failed, unanswered int
	slowestRefusal                                 time.Duration
}

// plus adds up two summaries. The slowest refusal is the slower of the two.
func (s summary) plus(o summary) summary {
	s.all += o.all
	s.inTime += o.inTime
	s.late += o.late
	s.refused += o.refused
	s.failed += o.failed
	s.unanswered += o.unanswered
	s.slowestRefusal = max(s.slowestRefusal, o.slowestRefusal)
	return s
}

// missed returns the number of jobs that were not in time.
func (s summary) missed() int { return s.all - s.inTime }

func (sim *simulation) summary() summary {
	var s summary
	for _, r := range sim.results {
		s.all++
		objective := sim.objective(r.job)
		switch {
		case !r.answered:
			s.unanswered++
		case r.answer.Outcome == scheduler.Complete && r.took <= objective:
			s.inTime++
		case r.answer.Outcome == scheduler.Complete:
			s.late++
		case r.answer.Outcome == scheduler.Overloaded || r.answer.Outcome == scheduler.Unavailable:
			s.refused++
			s.slowestRefusal = max(s.slowestRefusal, r.took)
		default:
			s.failed++
		}
	}
	return s
}

// inTimeShares returns, for each kind, the share of its jobs that were complete in time.
func (sim *simulation) inTimeShares() []float64 {
	all := make([]float64, len(jobKinds))
	inTime := make([]float64, len(jobKinds))
	for _, r := range sim.results {
		k := slices.IndexFunc(jobKinds, func(k jobKind) bool { return k.tasks == r.job.Steps[0].Count })
		all[k]++
		if r.answered && r.answer.Outcome == scheduler.Complete && r.took <= sim.objective(r.job) {
			inTime[k]++
		}
	}
	for k := range inTime {
		inTime[k] /= all[k]
	}
	return inTime
}

// objective returns the time within which a job is to be complete, by its real work.
func (sim *simulation) objective(j scheduler.Job) time.Duration {
	return time.Duration(j.Queue.Stretch*float64(sim.longestTask(j))) + j.Queue.Slack
}

func (sim *simulation) longestTask(j scheduler.Job) time.Duration {
	var longest time.Duration
	for i := range j.Steps[0].Count {
		longest = max(longest, sim.tasks[fmt.Sprintf("%s.0.0.%d", j.ID, i)].work)
	}
	return longest
}

// check requires the invariant of every simulation: no task ran on two workers at once.
func (sim *simulation) check() {
	sim.t.Helper()
	require.Empty(sim.t, sim.duplicates, "tasks that ran twice at once")
}
