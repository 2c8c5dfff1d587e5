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

func TestReportPlacesWhatWaitsAtItsOwnAgent(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.connect("b")
	b.s.HandleReport(newFullReport("a"))
	b.s.HandleReport(newFullReport("b"))
	b.s.Submit(1, b.job(jobID, 3))
	require.Empty(t, b.drain())
	// Free capacity for two of the three tasks.
	r := newFullReport("b")
	r.Free = messenger.Resources{CPU: 6200, Memory: 64_000}
	b.s.HandleReport(r)
	b.drain()
	p := b.placed()
	require.Len(t, p.Tasks, 2)
	require.Equal(t, messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 3100}, Min: messenger.Resources{CPU: 3100}}, p.Backlog, "one task still waits")
	r = newFullReport("a")
	r.Free = messenger.Resources{CPU: 31_000, Memory: 64_000}
	b.s.HandleReport(r)
	b.drain()
	require.Len(t, b.placed().Tasks, 1)
}

// BenchmarkReportWhileJobsWait measures how long an entry with waiting jobs takes to
// handle a report without free capacity.
func BenchmarkReportWhileJobsWait(bm *testing.B) {
	for _, agents := range []int{11, 53, 110} {
		for _, jobs := range []int{10, 100} {
			bm.Run(fmt.Sprintf("%d agents, %d jobs", agents, jobs), func(bm *testing.B) {
				b := newFixture(nil)
				for i := range agents {
					b.connect(fmt.Sprintf("agent-%03d", i))
					b.s.HandleReport(newFullReport(fmt.Sprintf("agent-%03d", i)))
				}
				for i := range jobs {
					j := b.job(fmt.Sprintf("%016x", i), 8)
					j.Deadline = b.clock.Now().Add(time.Hour)
					j.Steps[0].Estimate = time.Hour / 10
					b.s.Submit(uint64(1+i), j)
				}
				b.drain()
				r := newFullReport("agent-000")
				for bm.Loop() {
					b.s.HandleReport(r)
				}
			})
		}
	}
}
