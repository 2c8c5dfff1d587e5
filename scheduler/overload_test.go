package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

// immediateLimit is the longest time that a refusal on arrival takes to reach its caller.
const immediateLimit = 10 * time.Millisecond

// TestOverloadIsRefusedBeforeItHasWaited guards against callers that wait only to be
// refused: under overload, jobs were admitted, overtaken by more urgent ones, and
// refused at the end of their wait limit.
func TestOverloadIsRefusedBeforeItHasWaited(t *testing.T) {
	const (
		span    = 4 * time.Second
		entries = 9
		agents  = 44
		seeds   = 3
		// minServedShare is the least share of servedBefore that must be served in time.
		// It bounds what refusing on arrival may cost.
		minServedShare = 0.98
	)
	tests := []struct {
		name string
		// base is the factor of the load, and extra the multiple of it that a burst adds
		// for each kind of job.
		base  float64
		extra []float64
		// servedBefore is the number of callers that were served in time when jobs were
		// refused only at the end of their wait limit (commit dcb70b6).
		servedBefore int
	}{
		{"all kinds", 7.6, []float64{0, 0, 0}, 10_467},
		{"burst of long jobs", 5.6, []float64{0, 1.5, 0}, 8600},
		{"burst of short jobs", 5.6, []float64{0.5, 0, 0.7}, 10_531},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			refusedSum, immediateSum, jobs, inTime := 0, 0, 0, 0
			for seed := range uint64(seeds) {
				sim := newSimulation(t, 60+seed, entries, agents, workerCPU)
				sim.load(span, tt.base)
				sim.schedule(span/4, func() { sim.burst(span/2, tt.base, tt.extra) })
				sim.run(span + 3*time.Second)
				sim.check()
				s := sim.summary()
				require.Zero(t, s.unanswered)
				require.Zero(t, s.failed)
				refused, immediate := sim.refusals()
				refusedSum += refused
				immediateSum += immediate
				jobs += s.all
				inTime += s.inTime
				t.Logf("%+v, %d refused on arrival, served %.3f", s, immediate, sim.inTimeShares())
			}
			t.Logf("%d of %d refused on arrival, %d of %d in time", immediateSum, refusedSum, inTime, jobs)
			require.GreaterOrEqual(t, float64(immediateSum), 0.8*float64(refusedSum))
			require.GreaterOrEqual(t, float64(inTime), minServedShare*float64(tt.servedBefore))
		})
	}
}

// refusals returns the number of callers that were refused, and of those among them that
// got the refusal within immediateLimit.
func (sim *simulation) refusals() (all, immediate int) {
	for _, r := range sim.results {
		if !r.answered || r.answer.Outcome != scheduler.Overloaded {
			continue
		}
		all++
		if r.took <= immediateLimit {
			immediate++
		}
	}
	return all, immediate
}

// burst submits jobs for a span. Those of each kind come at its rate in load, times
// factor, times the kind's item of extra.
func (sim *simulation) burst(span time.Duration, factor float64, extra []float64) {
	perSecond := []float64{34.4, 6.25, 100}
	for i, k := range jobKinds {
		if extra[i] == 0 {
			continue
		}
		gap := time.Duration(float64(time.Second) / (perSecond[i] * factor * extra[i]))
		for at := time.Duration(0); at < span; at += time.Duration(float64(gap) * (0.5 + sim.rng.Float64())) {
			sim.schedule(at, func() { sim.submit(sim.entries[sim.rng.IntN(len(sim.entries))], k) })
		}
	}
}
