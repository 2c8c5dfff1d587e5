package scheduler_test

import (
	"cmp"
	"slices"
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

// TestOverloadStarvesNoSize guards against the largest jobs of a kind being refused or
// failed far more often than the others under overload. The bound is that of the
// platform's pages, which count a day: the largest tenth of a kind is nine jobs a seed.
func TestOverloadStarvesNoSize(t *testing.T) {
	const (
		span  = 6 * time.Second
		seeds = 8
		// factor is the factor of the load, which is half above the full capacity.
		factor = 2.4
		// minShareOfKind is the least ratio of the served share of a size to that of the
		// whole kind.
		minShareOfKind = 0.5
	)
	sums := make([][3]float64, len(jobKinds))
	for seed := range uint64(seeds) {
		sim := newSimulation(t, 70+seed, 3, 11, workerCPU)
		sim.load(span, factor)
		sim.run(span + 4*time.Second)
		sim.check()
		require.Zero(t, sim.summary().unanswered)
		for k, shares := range sim.completeSharesBySize() {
			for i, share := range shares {
				sums[k][i] += share / seeds
			}
		}
	}
	for k, shares := range sums {
		t.Logf("kind %d: complete in all %.2f, largest tenth %.2f, fifth below %.2f", k, shares[0], shares[1], shares[2])
		require.GreaterOrEqual(t, shares[1], minShareOfKind*shares[0])
		require.GreaterOrEqual(t, shares[2], minShareOfKind*shares[0])
	}
}

// completeSharesBySize returns, for each kind, the share of its jobs that were complete,
// of the largest tenth of them by work, and of the fifth below that.
func (sim *simulation) completeSharesBySize() [][3]float64 {
	byKind := make([][]*result, len(jobKinds))
	for _, r := range sim.results {
		k := slices.IndexFunc(jobKinds, func(k jobKind) bool { return k.tasks == r.job.Steps[0].Count })
		byKind[k] = append(byKind[k], r)
	}
	var out [][3]float64
	for _, results := range byKind {
		slices.SortFunc(results, func(a, b *result) int { return cmp.Compare(sim.longestTask(b.job), sim.longestTask(a.job)) })
		tenth := len(results) / 10
		out = append(out, [3]float64{completeShare(results), completeShare(results[:tenth]), completeShare(results[tenth : 3*tenth])})
	}
	return out
}

// completeShare returns the share of results with a complete answer.
func completeShare(results []*result) float64 {
	n := 0
	for _, r := range results {
		if r.answered && r.answer.Outcome == scheduler.Complete {
			n++
		}
	}
	return float64(n) / float64(len(results))
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
			sim.schedule(at, func() { sim.submit(sim.anyEntry(), k) })
		}
	}
}
