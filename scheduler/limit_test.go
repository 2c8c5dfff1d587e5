package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUnguardedWorkerIsNotBroughtOverItsChangingCapacity(t *testing.T) {
	tests := []struct {
		name string
		// gap is the time between two faults.
		gap   time.Duration
		fault func(sim *simulation)
	}{
		{"nothing else fails", time.Second, func(*simulation) {}},
		{"agents die", 200 * time.Millisecond, func(sim *simulation) {
			if a := sim.anyAgent(); !a.down {
				a.kill(100 * time.Millisecond)
			}
		}},
		{"workers crash", 700 * time.Millisecond, func(sim *simulation) { sim.anyAgent().worker.crash() }},
		{"misleading signals", 100 * time.Millisecond, func(sim *simulation) {
			misleadingSignals[sim.rng.IntN(len(misleadingSignals))].trigger(sim)
		}},
		{"anything fails", 300 * time.Millisecond, func(sim *simulation) { randomFault(sim, time.Second)() }},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", tt.name, 960+seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, 960+seed, 3, 11, workerCPU)
				sim.unguarded = true
				for _, a := range sim.agents {
					a.worker.unguarded = true
				}
				sim.sendHeartbeats()
				sim.load(20*time.Second, 1.2)
				sim.every(500*time.Millisecond, func() {
					sim.anyAgent().worker.resize(workerCPU * (1 + sim.rng.IntN(4)) / 4)
				})
				sim.every(tt.gap, func() { tt.fault(sim) })
				sim.run(24 * time.Second)
				t.Logf("%+v", sim.summary())
				require.Empty(t, sim.overCapacity)
			})
		}
	}
}
