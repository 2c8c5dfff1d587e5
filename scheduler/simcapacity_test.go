package scheduler_test

import (
	"fmt"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 1500 * time.Millisecond
	// shrinkGrace is how long a worker's earlier capacity counts after it has shrunk, by
	// the users' pages: contact_ms and one heartbeat.
	shrinkGrace = 3*time.Second + heartbeatInterval
)

// pastCapacity is a capacity that a worker had until a time.
type pastCapacity struct {
	messenger.Resources
	until time.Time
}

// resize changes the capacity of the worker. Its next heartbeat shows it.
func (w *simWorker) resize(cpu int) {
	w.capacities = append(w.capacities, pastCapacity{w.upstream.Capacity, w.sim.clock.Now()})
	w.upstream.Capacity.CPU = cpu
}

// checkCapacity records a start that brings the worker over each capacity that it has had
// within shrinkGrace.
func (w *simWorker) checkCapacity(r messenger.Run, demand messenger.Resources) {
	allowed := w.upstream.Capacity
	for _, c := range w.capacities {
		if w.sim.clock.Since(c.until) <= shrinkGrace {
			allowed = allowed.Max(c.Resources)
		}
	}
	used := w.upstream.Capacity.Minus(w.free())
	if !used.Plus(demand).FitsIn(allowed) {
		w.sim.overCapacity = append(w.sim.overCapacity, fmt.Sprintf("%s run %d at %s", r.Task, r.Number, w.name))
	}
}

// sendHeartbeats makes all workers send heartbeats.
func (sim *simulation) sendHeartbeats() {
	for _, a := range sim.agents {
		sim.schedule(sim.upTo(heartbeatInterval), func() {
			sim.every(heartbeatInterval, func() {
				if !a.worker.down {
					a.do(func() { a.core.SetUpstream(a.worker.upstream) })
				}
			})
		})
	}
}
