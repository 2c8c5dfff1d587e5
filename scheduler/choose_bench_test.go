package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// BenchmarkChooseAgent guards against a choice of an agent that takes much longer where
// workers differ in speed: an entry has only a fraction of a core.
func BenchmarkChooseAgent(b *testing.B) {
	for _, agents := range []int{24, 96} {
		for _, heterogeneous := range []bool{false, true} {
			b.Run(fmt.Sprintf("agents %d, heterogeneous %t", agents, heterogeneous), func(b *testing.B) {
				benchmarkChooseAgent(b, agents, heterogeneous)
			})
		}
	}
}

func benchmarkChooseAgent(b *testing.B, agents int, heterogeneous bool) {
	clock := clockwork.NewFakeClock()
	s := NewScheduler(clock, "entry", "dc-0")
	q := Queue{Name: "quotes", Service: "quotes", Stretch: 1.6, Slack: 60 * time.Millisecond}
	s.Configure(Configuration{Version: 1, Queues: []Queue{q}})
	clock.Advance(time.Second)
	for i := range agents {
		name := fmt.Sprintf("agent-%02d", i)
		s.LinkOpened(name)
		r := messenger.Report{
			Agent: name, DataCentre: fmt.Sprintf("dc-%d", i%3), RunsComplete: true, Incarnation: 1,
			Free:     messenger.Resources{CPU: 6000 + 1000*(i%26), Memory: 64_000},
			Upstream: &messenger.Upstream{ID: name, Born: 1, Service: "quotes", Capacity: messenger.Resources{CPU: 32_000, Memory: 64_000}},
		}
		if heterogeneous {
			r.Speed, r.SpeedJobs = 0.83, 12
			if i%4 == 0 {
				r.Speed = 1.8
			}
		}
		s.HandleReport(r)
	}
	s.Tick()
	s.TakeEffects()
	now := clock.Now()
	j := newJob(Job{
		ID: "0000000000000001", Queue: q, Deadline: now.Add(time.Second),
		Steps: []Step{{Count: 4, Demand: messenger.Resources{CPU: 2900}, Estimate: 200 * time.Millisecond}},
	}, 1, now, record{})
	b.ResetTimer()
	for b.Loop() {
		if a, _ := s.chooseAgent(s.agentsByName, j, 0, j.tasks, now); a == nil {
			b.Fatal("no worker")
		}
	}
}
