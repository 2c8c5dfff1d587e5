package scheduler_test

import (
	"fmt"
	"testing"
	"time"
)

// forSeeds calls play with n seeds from the first one on, some at a time.
func forSeeds(t *testing.T, first, n uint64, play func(t *testing.T, seed uint64)) {
	const parts = 4
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("part %d", part), func(t *testing.T) {
			t.Parallel()
			for seed := first + part; seed < first+n; seed += parts {
				play(t, seed)
			}
		})
	}
}

// anyEntry and anyAgent draw a process.
func (sim *simulation) anyEntry() *simEntry { return sim.entries[sim.rng.IntN(len(sim.entries))] }
func (sim *simulation) anyAgent() *simAgent { return sim.agents[sim.rng.IntN(len(sim.agents))] }

// chance is true once in n times.
func (sim *simulation) chance(n int) bool { return sim.rng.IntN(n) == 0 }

// upTo draws a duration below a limit.
func (sim *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}
