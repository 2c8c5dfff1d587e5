package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// rackWorkers is the number of workers, out of fleetWorkers, on the rack with the
	// data.
	rackWorkers  = 8
	fleetWorkers = 24
	// rackShare is the share of the short wide jobs whose data is on the rack.
	rackShare = 0.6
	rackLabel = "rack-1"
	// maxLoss is the maximum share of jobs by which the choice may be worse than
	// placing far at once.
	maxLoss = 0.01
)

// newRackWorld returns a simulation in which the first workers are on the rack.
func newRackWorld(t testing.TB, seed uint64, entries int, far float64, aware bool) *simulation {
	w := newSimulation(t, seed, entries, fleetWorkers, cores)
	w.farFactor = far
	w.farFactorKnown = aware
	for _, a := range w.agents[:rackWorkers] {
		a.worker.up.Labels = []string{rackLabel}
		a.core.SetUpstream(a.worker.up)
	}
	for _, e := range w.entries {
		e.core.Configure(w.configuration())
	}
	w.run(300 * time.Millisecond)
	return w
}

// rackLoad submits jobs that take a share of the capacity of all workers, for the given
// time. The data of most of the short wide jobs is on the rack.
func (w *simulation) rackLoad(span time.Duration, room float64) {
	perSecond := []float64{34.4, 6.25, 100}
	var work float64
	for i, k := range jobKinds {
		work += perSecond[i] * float64(k.tasks) * k.work.Seconds() * float64(k.cpu)
	}
	factor := room * fleetWorkers * cores / work
	for i, k := range jobKinds {
		gap := time.Duration(float64(time.Second) / (perSecond[i] * factor))
		for at := time.Duration(w.rng.Int64N(int64(gap))); at < span; at += time.Duration(float64(gap) * (0.5 + w.rng.Float64())) {
			asked := k
			if i == 0 && w.rng.Float64() < rackShare {
				asked.rack = rackLabel
			}
			w.schedule(at, func() { w.submit(w.entries[w.rng.IntN(len(w.entries))], asked) })
		}
	}
}

// TestJobsForOneRackAreServedBetterThanFarAtOnce simulates a load in which most short
// wide jobs have their data on one rack. It guards against far work that is late and
// takes capacity from the other jobs, and against jobs that pile up for the rack.
func TestJobsForOneRackAreServedBetterThanFarAtOnce(t *testing.T) {
	const entries = 3
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	tests := []struct {
		// room is the share of all workers' capacity that the jobs would take on near
		// workers.
		room float64
		far  float64
		// saved is the minimum share, of the jobs for the rack that are late with far
		// at once, that must be in time with the choice.
		saved float64
	}{
		{0.6, 2, 0.5},
		{0.6, 3, 0.5},
		{1, 2, 0.3},
		{1, 3, 0.5},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%v of the capacity, far factor %v", tt.room, tt.far), func(t *testing.T) {
			t.Parallel()
			play := func(aware bool) rackShares {
				var sum rackShares
				for seed := range seeds {
					w := newRackWorld(t, 600+seed, entries, tt.far, aware)
					w.rackLoad(4*time.Second, tt.room)
					w.run(6 * time.Second)
					w.check()
					require.Zero(t, w.summary().unanswered)
					sum = sum.addWeighted(w.rackShares(), 1/float64(seeds))
				}
				return sum
			}
			before, now := play(false), play(true)
			t.Logf("far at once %v, with the choice %v", before, now)
			for k := range jobKinds {
				require.GreaterOrEqual(t, now.kinds[k], before.kinds[k]-maxLoss, "kind %d", k)
			}
			require.GreaterOrEqual(t, now.rack, before.rack+tt.saved*(1-before.rack))
		})
	}
}

// TestRackLostWhileJobsWaitForIt guards against jobs that wait for a rack whose agents
// are gone: they have to be served about as well as if all were placed far at once.
func TestRackLostWhileJobsWaitForIt(t *testing.T) {
	const (
		lostAt = 2 * time.Second
		// settled is when the runs lost with the rack have ended.
		settled = lostAt + scheduler.AgentLossTimeout + time.Second
		seeds   = 4
	)
	play := func(seed uint64, aware bool) (good, all int) {
		w := newRackWorld(t, seed, 3, 2, aware)
		began := w.clock.Now()
		w.rackLoad(6*time.Second, 0.4)
		w.schedule(lostAt, func() {
			for _, a := range w.agents[:rackWorkers] {
				a.kill(time.Minute)
			}
		})
		w.run(9 * time.Second)
		w.check()
		require.Zero(t, w.summary().unanswered)
		for _, r := range w.results {
			if r.job.Steps[0].Rack == "" || r.sent.Sub(began) < settled {
				continue
			}
			all++
			if w.inTime(r) {
				good++
			}
		}
		return good, all
	}
	var before, now, all int
	for seed := range uint64(seeds) {
		good, _ := play(700+seed, false)
		before += good
		good, n := play(700+seed, true)
		now += good
		all += n
	}
	t.Logf("in time of %d jobs for the lost rack: %d far at once, %d with the choice", all, before, now)
	require.Greater(t, before, all/2)
	require.GreaterOrEqual(t, float64(now), float64(before)-maxLoss*float64(all))
}

// TestFarWorkDoesNotMakeAWorkerCountAsSlow guards against healthy workers that are
// ejected because far work takes longer than its estimate for near workers.
func TestFarWorkDoesNotMakeAWorkerCountAsSlow(t *testing.T) {
	w := newRackWorld(t, 800, 3, 3, true)
	for _, a := range w.agents[:rackWorkers] {
		a.kill(time.Minute)
	}
	for at := time.Duration(0); at < 3*time.Second; at += 20 * time.Millisecond {
		w.schedule(at, func() {
			w.submit(w.entries[w.rng.IntN(3)], jobKind{tasks: 8, work: 60 * time.Millisecond, cpu: 3100, rack: rackLabel})
		})
	}
	for range 40 {
		w.run(100 * time.Millisecond)
		for _, e := range w.entries {
			for _, a := range e.core.Dump().Agents {
				require.False(t, a.Ejected, a.Name)
			}
		}
	}
	w.check()
}

// rackShares holds the shares of jobs in time.
type rackShares struct {
	kinds [3]float64
	// rack is the share of the jobs whose data is on the rack.
	rack float64
}

func (r rackShares) addWeighted(o rackShares, weight float64) rackShares {
	for k := range r.kinds {
		r.kinds[k] += weight * o.kinds[k]
	}
	r.rack += weight * o.rack
	return r
}

// String implements fmt.Stringer.
func (r rackShares) String() string {
	return fmt.Sprintf("short wide %.3f, long %.3f, short %.3f, for the rack %.3f", r.kinds[0], r.kinds[1], r.kinds[2], r.rack)
}

func (w *simulation) rackShares() rackShares {
	r := rackShares{rack: w.servedNear()}
	copy(r.kinds[:], w.served())
	return r
}

// servedNear returns the share of the jobs with data on the rack that are in time.
func (w *simulation) servedNear() float64 {
	var all, good float64
	for _, r := range w.results {
		if r.job.Steps[0].Rack == "" {
			continue
		}
		all++
		if w.inTime(r) {
			good++
		}
	}
	return good / all
}

// inTime reports whether a job was complete within its objective.
func (w *simulation) inTime(r *result) bool {
	return r.got && r.answer.Outcome == scheduler.Complete && r.took <= w.objective(r.job)
}
