package scheduler_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	smallCPU  = 3100
	largeCPU  = 16_000
	smallWork = 100 * time.Millisecond
	largeWork = 300 * time.Millisecond
	// jobsPerLarge is the number of jobs among which one is large.
	jobsPerLarge = 20
	// mixedLoadDuration is the duration of the mixed load.
	mixedLoadDuration = 6 * time.Second
)

// mixedSizesScenario is a simulated load of small and large jobs of one task each, of
// which one in jobsPerLarge is large. It takes loadShare of the full capacity.
// Estimates are wrong by up to estimateError, either way.
type mixedSizesScenario struct {
	entries, agents          int
	loadShare, estimateError float64
	seed                     uint64
	withoutReservations      bool
	// fault is applied to the simulation before the load begins.
	fault func(sim *simulation)
}

func (m mixedSizesScenario) run(t testing.TB) *simulation {
	t.Helper()
	sim := newSimulation(t, m.seed, m.entries, m.agents, workerCPU)
	sim.ignoreReserve = m.withoutReservations
	if m.fault != nil {
		m.fault(sim)
	}
	mean := (float64(jobsPerLarge-1)*smallCPU*smallWork.Seconds() + largeCPU*largeWork.Seconds()) / jobsPerLarge
	gap := time.Duration(float64(time.Second) * mean / (m.loadShare * float64(workerCPU*m.agents)))
	n := 0
	for at := time.Duration(0); at < mixedLoadDuration; at += time.Duration(float64(gap) * 2 * sim.rng.Float64()) {
		n++
		cpu, work := smallCPU, smallWork
		if n%jobsPerLarge == 0 {
			cpu, work = largeCPU, largeWork
		}
		sim.schedule(at, func() { sim.submitOne(sim.anyEntry(), cpu, work, m.estimateError) })
	}
	sim.run(mixedLoadDuration + 3*time.Second)
	sim.check()
	return sim
}

// runAll simulates the load once with each seed.
func (m mixedSizesScenario) runAll(t testing.TB, seeds []uint64) []*simulation {
	t.Helper()
	var simulations []*simulation
	for _, seed := range seeds {
		m.seed = seed
		simulations = append(simulations, m.run(t))
	}
	return simulations
}

// submitOne submits a job of one task whose caller allows a wait of a second.
func (sim *simulation) submitOne(e *simEntry, cpu int, mean time.Duration, maxError float64) {
	sim.jobs++
	id := fmt.Sprintf("%016x", sim.jobs)
	work := time.Duration(float64(mean) * (0.5 + sim.rng.Float64()))
	estimate := time.Duration(float64(work) * (1 - maxError + 2*maxError*sim.rng.Float64()))
	q := quotesQueue()
	q.Slack = time.Second
	j := scheduler.Job{
		ID: id, Queue: q, Spec: "spec", Deadline: sim.clock.Now().Add(2 * time.Second),
		Steps: []scheduler.Step{{Count: 1, Demand: messenger.Resources{CPU: cpu, Memory: 64}, Estimate: estimate}},
	}
	sim.tasks[id+".0.0.0"] = simTask{work: work, demand: j.Steps[0].Demand}
	sim.results[id] = &result{job: j, sent: sim.clock.Now()}
	sim.send(e, j)
}

// sizeStats holds the statistics of the jobs of one size, as their callers saw them.
type sizeStats struct {
	jobs, refused, unanswered int
	// late counts the refused jobs and those whose wait alone made them miss the
	// latency objective.
	late              int
	p50, p99, longest time.Duration
	// waits is in ascending order.
	waits []time.Duration
}

func (s sizeStats) String() string {
	return fmt.Sprintf("%d jobs, %d refused, %d late, wait p50 %s p99 %s longest %s", s.jobs, s.refused, s.late, s.p50, s.p99, s.longest)
}

func (s sizeStats) refusedShare() float64 { return float64(s.refused) / float64(s.jobs) }
func (s sizeStats) lateShare() float64    { return float64(s.late) / float64(s.jobs) }

// shareWaitingOver returns the share of the jobs that waited longer than d.
func (s sizeStats) shareWaitingOver(d time.Duration) float64 {
	n, _ := slices.BinarySearch(s.waits, d+1)
	return float64(len(s.waits)-n) / float64(len(s.waits))
}

// onePercentBound returns 1% plus three times its standard error in a sample of n.
func onePercentBound(n int) float64 {
	const share = 0.01
	return share + 3*math.Sqrt(share*(1-share)/float64(n))
}

// maxWaitInTime is how long a job of one task can wait and still meet its latency
// objective, which is 1.6 times its work plus 60 ms.
func maxWaitInTime(work time.Duration) time.Duration { return work*6/10 + 60*time.Millisecond }

// statsFor returns the statistics of the jobs with a CPU demand in all simulations. The
// wait of a job lasts until its task begins, or until it is refused.
func statsFor(cpu int, simulations ...*simulation) sizeStats {
	var s sizeStats
	var waits []time.Duration
	for _, sim := range simulations {
		for id, r := range sim.results {
			if r.job.Steps[0].Demand.CPU == cpu {
				waits = append(waits, sim.addToStats(&s, id, r))
			}
		}
	}
	slices.Sort(waits)
	percentile := func(q float64) time.Duration {
		return waits[int(math.Ceil(q*float64(len(waits))))-1].Round(100 * time.Microsecond)
	}
	s.waits = waits
	s.p50, s.p99, s.longest = percentile(0.5), percentile(0.99), percentile(1)
	return s
}

// addToStats adds a job to the statistics and returns its wait.
func (sim *simulation) addToStats(s *sizeStats, id string, r *result) time.Duration {
	task := id + ".0.0.0"
	s.jobs++
	wait := r.took
	at, started := sim.firstStartAt[task]
	switch {
	case !r.answered:
		s.unanswered++
	case started:
		wait = at.Sub(r.sent)
	default:
		s.refused++
	}
	if !started || wait > maxWaitInTime(sim.tasks[task].work) {
		s.late++
	}
	return wait
}

// TestLargeTasksWaitLessWithReservations guards against large tasks that wait long
// because small ones fill each gap, and against small jobs that are delayed too much by
// reservations. The statistics combine several seeds: with one seed, the p99 of the
// large tasks is about the second longest wait.
func TestLargeTasksWaitLessWithReservations(t *testing.T) {
	const (
		// maxLargeLateRatio is the maximum ratio of late large jobs with reservations
		// to those without at nine tenths of the capacity: a gain of less than a tenth
		// is not worth the idle capacity on a worker.
		maxLargeLateRatio = 0.9
		// maxSmallLate is the maximum share of small jobs that may be late at that load.
		maxSmallLate = 0.01
		// maxSmallRefused is the maximum share of small jobs that are refused in overload.
		maxSmallRefused = 0.02
		// maxSmallLateInOverload is the maximum share of them that are late in
		// overload, as in TestOverloadIsRefusedAtOnceAndStarvesNoKind.
		maxSmallLateInOverload = 0.05
	)
	for _, m := range []mixedSizesScenario{
		{entries: 2, loadShare: 0.7},
		{entries: 2, loadShare: 0.7, estimateError: 0.4},
		{entries: 2, loadShare: 0.9},
		{entries: 2, loadShare: 0.9, estimateError: 0.4},
		{entries: 2, loadShare: 1.1},
		{entries: 2, loadShare: 1.1, estimateError: 0.4},
		{entries: 5, loadShare: 0.7},
		{entries: 5, loadShare: 0.7, estimateError: 0.4},
		{entries: 5, loadShare: 0.9},
		{entries: 5, loadShare: 0.9, estimateError: 0.4},
		{entries: 5, loadShare: 1.1},
		{entries: 5, loadShare: 1.1, estimateError: 0.4},
	} {
		m.agents = 11
		t.Run(fmt.Sprintf("%d entries, %.0f%% of the capacity, estimates wrong by up to %.0f%%", m.entries, 100*m.loadShare, 100*m.estimateError), func(t *testing.T) {
			t.Parallel()
			seeds := []uint64{31, 32, 33, 34, 35, 36}
			with := m.runAll(t, seeds)
			m.withoutReservations = true
			without := m.runAll(t, seeds)
			small, large := statsFor(smallCPU, with...), statsFor(largeCPU, with...)
			smallWithout, largeWithout := statsFor(smallCPU, without...), statsFor(largeCPU, without...)
			t.Logf("small %s, without reservations %s", small, smallWithout)
			t.Logf("large %s, without reservations %s", large, largeWithout)
			require.Zero(t, small.unanswered+large.unanswered)
			require.LessOrEqual(t, small.refusedShare(), maxSmallRefused)
			switch m.loadShare {
			case 0.7:
				require.Zero(t, small.late)
				require.LessOrEqual(t, small.shareWaitingOver(smallWithout.p99), onePercentBound(small.jobs))
				require.LessOrEqual(t, large.p99, largeWithout.p99+linkDelay)
			case 0.9:
				require.LessOrEqual(t, large.refused, largeWithout.refused)
				require.LessOrEqual(t, float64(large.late), maxLargeLateRatio*float64(largeWithout.late))
				require.LessOrEqual(t, small.lateShare(), maxSmallLate)
			default:
				require.LessOrEqual(t, small.lateShare(), maxSmallLateInOverload)
			}
		})
	}
}

// reservingAgent returns an agent with a reservation, and the entry that the
// reservation is for; nil when there is none.
func (sim *simulation) reservingAgent() (*simAgent, *simEntry) {
	for _, a := range sim.agents {
		holder := a.core.Dump().Holder
		for _, e := range sim.entries {
			if !a.down && e.name == holder {
				return a, e
			}
		}
	}
	return nil, nil
}

// TestReservationsEndWhateverFails guards, for each failure during a reservation,
// against capacity that stays reserved, jobs without an answer and tasks that run twice
// at once.
func TestReservationsEndWhateverFails(t *testing.T) {
	const (
		faultAfter = 2 * time.Second
		// releaseTimeout covers the longest time for which an agent waits for an entry
		// that sends nothing.
		releaseTimeout = messenger.IdleTimeout + 100*time.Millisecond
	)
	tests := map[string]func(sim *simulation, a *simAgent, e *simEntry){
		"entry killed":      func(_ *simulation, _ *simAgent, e *simEntry) { e.kill(time.Second) },
		"entry paused":      func(sim *simulation, _ *simAgent, e *simEntry) { e.pausedUntil = sim.clock.Now().Add(time.Second) },
		"link cut":          func(sim *simulation, a *simAgent, e *simEntry) { a.links[e.name].cut = true },
		"agent killed":      func(_ *simulation, a *simAgent, _ *simEntry) { a.kill(500 * time.Millisecond) },
		"worker turns slow": func(_ *simulation, a *simAgent, _ *simEntry) { a.worker.slowdown = 8 },
		"worker restarted":  func(_ *simulation, a *simAgent, _ *simEntry) { a.restartWorker(500 * time.Millisecond) },
	}
	for name, inject := range tests {
		for _, entries := range []int{2, 5} {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				t.Parallel()
				injected := false
				m := mixedSizesScenario{entries: entries, agents: 11, loadShare: 0.9, estimateError: 0.4, seed: 33}
				m.fault = func(sim *simulation) {
					var watch func()
					watch = func() {
						a, e := sim.reservingAgent()
						if a == nil {
							sim.schedule(time.Millisecond, watch)
							return
						}
						injected = true
						inject(sim, a, e)
						sim.schedule(releaseTimeout, func() {
							if e.down || sim.clock.Now().Before(e.pausedUntil) {
								require.NotEqual(t, e.name, a.core.Dump().Holder)
							}
							if l := a.links[e.name]; l != nil {
								l.cut = false
							}
						})
					}
					sim.schedule(faultAfter, watch)
				}
				sim := m.run(t)
				require.True(t, injected)
				for _, a := range sim.agents {
					require.Empty(t, a.core.Dump().Holder, a.name)
				}
				small, large := statsFor(smallCPU, sim), statsFor(largeCPU, sim)
				t.Logf("small %s, large %s", small, large)
				require.Zero(t, small.unanswered+large.unanswered)
			})
		}
	}
}
