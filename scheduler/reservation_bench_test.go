package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// BenchmarkReserve measures the choice of agents for reservations, by the numbers of
// agents and of waiting jobs, all of which are large. All agents report a forecast.
func BenchmarkReserve(b *testing.B) {
	for _, agents := range []int{10, 60, 200} {
		for _, jobs := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("%d agents, %d jobs", agents, jobs), func(b *testing.B) {
				s := newFullScheduler(agents, jobs)
				now := s.clock.Now()
				for b.Loop() {
					s.requestReservations(now)
					for _, r := range s.reservations {
						r.agent.reservation = nil
					}
					s.reservations = nil
					s.effects = nil
				}
			})
		}
	}
}

// BenchmarkReserveNowhere measures the same when no agent can be asked.
func BenchmarkReserveNowhere(b *testing.B) {
	s := newFullScheduler(200, 1000)
	now := s.clock.Now()
	for _, a := range s.agentsByName {
		a.nextReserveAt = now.Add(time.Second)
	}
	for b.Loop() {
		s.requestReservations(now)
	}
}

// BenchmarkReserveSmall measures the same when all tasks are small.
func BenchmarkReserveSmall(b *testing.B) {
	s := newFullScheduler(60, 1000)
	for _, j := range s.queue {
		j.Steps[0].Demand.CPU = 1000
	}
	s.computeBacklog()
	now := s.clock.Now()
	for b.Loop() {
		s.cancelObsoleteReservations()
		s.requestReservations(now)
	}
}

// newFullScheduler returns a scheduler with full agents and large jobs that wait.
func newFullScheduler(agents, jobs int) *Scheduler {
	clock := clockwork.NewFakeClock()
	s := NewScheduler(clock, "entry", "dc-0")
	for i := range agents {
		name := fmt.Sprintf("agent-%03d", i)
		s.LinkOpened(name)
		s.HandleReport(messenger.Report{
			Agent: name, RunsComplete: true, ConnectedEntries: 1, Free: messenger.Resources{CPU: 100 * (i % 20)},
			Upstream: &messenger.Upstream{ID: name, Born: 1, Service: "quotes", Capacity: messenger.Resources{CPU: 36_000}},
			Forecast: []messenger.Resources{{}, {CPU: 1000}, {CPU: 4000}, {CPU: 9000}, {CPU: 20_000}},
		})
	}
	for i := range jobs {
		j := newJob(Job{
			ID: fmt.Sprintf("%016x", i), Queue: Queue{Name: "q", Service: "quotes", Stretch: 1.6, Slack: time.Second},
			Deadline: clock.Now().Add(2 * time.Second),
			Steps:    []Step{{Count: 1, Demand: messenger.Resources{CPU: 16_000}, Estimate: 300 * time.Millisecond}},
		}, uint64(i), clock.Now(), record{})
		j.queuedAt = clock.Now().Add(-reserveAfter)
		s.jobs[j.ID] = j
		s.queue = append(s.queue, j)
	}
	s.computeBacklog()
	return s
}
