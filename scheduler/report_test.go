package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// newFullReport returns the report of an agent without free capacity.
func newFullReport(agent string) messenger.Report {
	r := newReport(agent, 0)
	r.Free = messenger.Resources{}
	return r
}

func TestReportPlacesWaitingTasksAtItsAgent(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.connect("b")
	f.s.HandleReport(newFullReport("a"))
	f.s.HandleReport(newFullReport("b"))
	f.s.Submit(1, f.job(jobID, 3))
	require.Empty(t, f.takeEffects())
	// Free capacity for two of the three tasks.
	r := newFullReport("b")
	r.Free = messenger.Resources{CPU: 6200, Memory: 64_000}
	f.s.HandleReport(r)
	f.takeEffects()
	p := f.placed()
	require.Len(t, p.Tasks, 2)
	require.Equal(t, messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 3100}, Min: messenger.Resources{CPU: 3100}}, p.Backlog, "one task still waits")
	r = newFullReport("a")
	r.Free = messenger.Resources{CPU: 31_000, Memory: 64_000}
	f.s.HandleReport(r)
	f.takeEffects()
	require.Len(t, f.placed().Tasks, 1)
}

// BenchmarkReportWhileJobsWait measures how long an entry with a long queue takes to
// handle a report without free capacity.
func BenchmarkReportWhileJobsWait(bm *testing.B) {
	for _, agents := range []int{11, 53, 110} {
		for _, jobs := range []int{10, 100} {
			bm.Run(fmt.Sprintf("%d agents, %d jobs", agents, jobs), func(bm *testing.B) {
				f := newFixture(nil)
				for i := range agents {
					f.connect(fmt.Sprintf("agent-%03d", i))
					f.s.HandleReport(newFullReport(fmt.Sprintf("agent-%03d", i)))
				}
				for i := range jobs {
					j := f.job(fmt.Sprintf("%016x", i), 8)
					j.Deadline = f.clock.Now().Add(time.Hour)
					j.Steps[0].Estimate = time.Hour / 10
					f.s.Submit(uint64(1+i), j)
				}
				f.takeEffects()
				r := newFullReport("agent-000")
				for bm.Loop() {
					f.s.HandleReport(r)
				}
			})
		}
	}
}
