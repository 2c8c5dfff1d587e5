package scheduler_test

import (
	"testing"
	"time"
)

// TestNoLongTaskRunsTwiceAtOnce submits tasks that take longer than an entry waits for
// a lost agent.
func TestNoLongTaskRunsTwiceAtOnce(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(sim *simulation, a *simAgent)
	}{
		{"link cut, stops delayed", func(sim *simulation, a *simAgent) {
			a.worker.lateStopsUntil = sim.clock.Now().Add(2 * time.Second)
			l := a.links[sim.entries[0].name]
			if l == nil {
				return
			}
			l.cut = true
			sim.schedule(2*time.Second, func() { l.cut = false })
		}},
		{"agent restarts, polls processed but not answered", func(sim *simulation, a *simAgent) {
			a.worker.lostAnswersUntil = sim.clock.Now().Add(time.Second)
			if !a.down {
				a.kill(50 * time.Millisecond)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 400, 2, 5, workerCPU)
			for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
				sim.schedule(at, func() { sim.submit(sim.entries[sim.rng.IntN(2)], jobKind{tasks: 2, work: 3 * time.Second, cpu: 3100}) })
			}
			for at := time.Second; at < 8*time.Second; at += time.Second {
				sim.schedule(at, func() { tt.injectFault(sim, sim.anyAgent()) })
			}
			sim.run(16 * time.Second)
			t.Logf("%d tasks ran twice at once, %+v", len(sim.duplicates), sim.summary())
			sim.check()
		})
	}
}
