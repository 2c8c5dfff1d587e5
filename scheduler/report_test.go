package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// full returns an agent's word that it has no room.
func full(agent string) messenger.Report {
	r := report(agent, 0)
	r.Free = messenger.Resources{}
	return r
}

func TestReportPlacesWhatWaitsAtItsOwnAgent(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.open("b")
	b.s.Report(full("a"))
	b.s.Report(full("b"))
	b.s.Submit(1, b.job(jobID, 3))
	require.Empty(t, b.drain())
	// Room for two of the three tasks.
	r := full("b")
	r.Free = messenger.Resources{CPU: 6200, Memory: 64_000}
	b.s.Report(r)
	b.drain()
	p := b.placed()
	require.Len(t, p.Tasks, 2)
	require.Equal(t, messenger.Backlog{Tasks: 1, Total: messenger.Resources{CPU: 3100}, Min: messenger.Resources{CPU: 3100}}, p.Backlog, "one task still waits")
	r = full("a")
	r.Free = messenger.Resources{CPU: 31_000, Memory: 64_000}
	b.s.Report(r)
	b.drain()
	require.Len(t, b.placed().Tasks, 1)
}

// BenchmarkReportWhileJobsWait takes in reports without room at an entry with a
// long queue.
func BenchmarkReportWhileJobsWait(bm *testing.B) {
	for _, agents := range []int{11, 53, 110} {
		for _, jobs := range []int{10, 100} {
			bm.Run(fmt.Sprintf("%d agents, %d jobs", agents, jobs), func(bm *testing.B) {
				b := newBench(nil)
				for i := range agents {
					b.open(fmt.Sprintf("agent-%03d", i))
					b.s.Report(full(fmt.Sprintf("agent-%03d", i)))
				}
				for i := range jobs {
					j := b.job(fmt.Sprintf("%016x", i), 8)
					j.Deadline = b.clock.Now().Add(time.Hour)
					j.Steps[0].Estimate = time.Hour / 10
					b.s.Submit(uint64(1+i), j)
				}
				b.drain()
				r := full("agent-000")
				for bm.Loop() {
					b.s.Report(r)
				}
			})
		}
	}
}
