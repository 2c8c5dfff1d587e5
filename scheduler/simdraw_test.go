package scheduler_test

import "time"

// anyEntry and anyAgent draw a process.
func (sim *simulation) anyEntry() *simEntry { return sim.entries[sim.rng.IntN(len(sim.entries))] }
func (sim *simulation) anyAgent() *simAgent { return sim.agents[sim.rng.IntN(len(sim.agents))] }

// chance is true once in n times.
func (sim *simulation) chance(n int) bool { return sim.rng.IntN(n) == 0 }

// upTo draws a duration below a limit.
func (sim *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}
