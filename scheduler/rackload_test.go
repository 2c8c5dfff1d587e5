package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// rackWorkers is the number of workers, out of totalWorkers, on the rack with the
	// data.
	rackWorkers  = 8
	totalWorkers = 24
	// rackShare is the share of the short wide jobs whose data is on the rack.
	rackShare = 0.6
	rackLabel = "rack-1"
	// maxLoss is the maximum share of jobs by which choosing between near and far
	// workers may be worse than placing far at once.
	maxLoss = 0.01
)

// newRackSimulation returns a simulation in which the first workers are on the rack.
func newRackSimulation(t testing.TB, seed uint64, entries int, farFactor float64, farFactorKnown bool) *simulation {
	sim := newSimulation(t, seed, entries, totalWorkers, workerCPU)
	sim.farFactor = farFactor
	sim.farFactorKnown = farFactorKnown
	for _, a := range sim.agents[:rackWorkers] {
		a.worker.upstream.Labels = []string{rackLabel}
		a.core.SetUpstream(a.worker.upstream)
	}
	for _, e := range sim.entries {
		e.core.Configure(sim.configuration())
	}
	sim.run(300 * time.Millisecond)
	return sim
}

// rackLoad submits jobs that take a share of the capacity of all workers, for the given
// time. The data of most of the short wide jobs is on the rack.
func (sim *simulation) rackLoad(duration time.Duration, load float64) {
	perSecond := []float64{34.4, 6.25, 100}
	var work float64
	for i, k := range jobKinds {
		work += perSecond[i] * float64(k.tasks) * k.work.Seconds() * float64(k.cpu)
	}
	factor := load * totalWorkers * workerCPU / work
	for i, k := range jobKinds {
		gap := time.Duration(float64(time.Second) / (perSecond[i] * factor))
		for at := sim.upTo(gap); at < duration; at += time.Duration(float64(gap) * (0.5 + sim.rng.Float64())) {
			drawn := k
			if i == 0 && sim.rng.Float64() < rackShare {
				drawn.rack = rackLabel
			}
			sim.schedule(at, func() { sim.submit(sim.anyEntry(), drawn) })
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
		// load is the share of all workers' capacity that the jobs would take on near
		// workers.
		load      float64
		farFactor float64
		// minSaved applies to the jobs for the rack that are late when tasks are placed
		// far at once. It is the minimum share of them that must be in time when the
		// scheduler chooses between near and far workers.
		minSaved float64
	}{
		{0.6, 2, 0.5},
		{0.6, 3, 0.5},
		{1, 2, 0.3},
		{1, 3, 0.5},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%v of the capacity, far factor %v", tt.load, tt.farFactor), func(t *testing.T) {
			t.Parallel()
			simulate := func(farFactorKnown bool) rackShares {
				var sum rackShares
				for seed := range seeds {
					sim := newRackSimulation(t, 600+seed, entries, tt.farFactor, farFactorKnown)
					sim.rackLoad(4*time.Second, tt.load)
					sim.run(6 * time.Second)
					sim.check()
					require.Zero(t, sim.summary().unanswered)
					sum = sum.addWeighted(sim.rackShares(), 1/float64(seeds))
				}
				return sum
			}
			farAtOnce, withChoice := simulate(false), simulate(true)
			t.Logf("far at once %v, with the choice %v", farAtOnce, withChoice)
			for k := range jobKinds {
				require.GreaterOrEqual(t, withChoice.kinds[k], farAtOnce.kinds[k]-maxLoss, "kind %d", k)
			}
			require.GreaterOrEqual(t, withChoice.rack, farAtOnce.rack+tt.minSaved*(1-farAtOnce.rack))
		})
	}
}

// TestRackLostWhileJobsWaitForIt guards against jobs that wait for a rack whose agents
// are lost: they have to be served about as well as if all were placed far at once.
func TestRackLostWhileJobsWaitForIt(t *testing.T) {
	const (
		lostAt = 2 * time.Second
		// recoveredAfter is when the runs lost with the rack have ended.
		recoveredAfter = lostAt + scheduler.AgentLossTimeout + time.Second
		seeds          = 4
	)
	simulate := func(seed uint64, farFactorKnown bool) (inTime, all int) {
		sim := newRackSimulation(t, seed, 3, 2, farFactorKnown)
		startTime := sim.clock.Now()
		sim.rackLoad(6*time.Second, 0.4)
		sim.schedule(lostAt, func() {
			for _, a := range sim.agents[:rackWorkers] {
				a.kill(time.Minute)
			}
		})
		sim.run(9 * time.Second)
		sim.check()
		require.Zero(t, sim.summary().unanswered)
		for _, r := range sim.results {
			if r.job.Steps[0].Rack == "" || r.sent.Sub(startTime) < recoveredAfter {
				continue
			}
			all++
			if sim.inTime(r) {
				inTime++
			}
		}
		return inTime, all
	}
	var farAtOnce, withChoice, all int
	for seed := range uint64(seeds) {
		inTime, _ := simulate(700+seed, false)
		farAtOnce += inTime
		inTime, n := simulate(700+seed, true)
		withChoice += inTime
		all += n
	}
	t.Logf("in time of %d jobs for the lost rack: %d far at once, %d with the choice", all, farAtOnce, withChoice)
	require.Greater(t, farAtOnce, all/2)
	require.GreaterOrEqual(t, float64(withChoice), float64(farAtOnce)-maxLoss*float64(all))
}

// TestFarWorkDoesNotMakeAWorkerCountAsSlow guards against healthy workers that are
// ejected because far work takes longer than its estimate for near workers.
func TestFarWorkDoesNotMakeAWorkerCountAsSlow(t *testing.T) {
	sim := newRackSimulation(t, 800, 3, 3, true)
	for _, a := range sim.agents[:rackWorkers] {
		a.kill(time.Minute)
	}
	for at := time.Duration(0); at < 3*time.Second; at += 20 * time.Millisecond {
		sim.schedule(at, func() {
			sim.submit(sim.entries[sim.rng.IntN(3)], jobKind{tasks: 8, work: 60 * time.Millisecond, cpu: 3100, rack: rackLabel})
		})
	}
	for range 40 {
		sim.run(100 * time.Millisecond)
		for _, e := range sim.entries {
			for _, a := range e.core.Dump().Agents {
				require.False(t, a.Ejected, a.Name)
			}
		}
	}
	sim.check()
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

func (sim *simulation) rackShares() rackShares {
	r := rackShares{rack: sim.rackInTimeShare()}
	copy(r.kinds[:], sim.inTimeShares())
	return r
}

// rackInTimeShare returns the share of the jobs with data on the rack that are in time.
func (sim *simulation) rackInTimeShare() float64 {
	var all, inTime float64
	for _, r := range sim.results {
		if r.job.Steps[0].Rack == "" {
			continue
		}
		all++
		if sim.inTime(r) {
			inTime++
		}
	}
	return inTime / all
}

// inTime reports whether a job was complete within its objective.
func (sim *simulation) inTime(r *result) bool {
	return r.answered && r.answer.Outcome == scheduler.Complete && r.took <= sim.objective(r.job)
}
