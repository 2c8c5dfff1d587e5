package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// fastWorkFactor and normalWorkFactor are the factors of the work's duration on a
	// quarter of the workers and on the others.
	fastWorkFactor   = 1 / 1.8
	normalWorkFactor = 1 / 0.83
	// heterogeneousFullLoad is the load factor that uses the full capacity of twelve
	// workers of different speeds.
	heterogeneousFullLoad = 1.79
)

// newHeterogeneousSimulation returns a simulation in which a quarter of the workers are
// fast.
func newHeterogeneousSimulation(t testing.TB, seed uint64) *simulation {
	sim := newSimulation(t, seed, 3, 12, workerCPU)
	for i, a := range sim.agents {
		a.worker.slowdown = normalWorkFactor
		if i%4 == 0 {
			a.worker.slowdown = fastWorkFactor
		}
	}
	return sim
}

// speedScenario is a simulated load on workers of different speeds.
type speedScenario struct {
	name          string
	newSimulation func(t testing.TB, seed uint64) *simulation
	// load is the load factor for 8 s.
	load float64
	// change is called after 3 s; nil for none.
	change func(w *simulation)
	// seeds is the number of seeds, which count up from firstSeed.
	firstSeed, seeds uint64
}

// run simulates one seed.
func (p speedScenario) run(t testing.TB, seed uint64, withoutSpeeds bool) summary {
	sim := p.newSimulation(t, seed)
	sim.withoutSpeeds = withoutSpeeds
	sim.load(8*time.Second, p.load)
	if p.change != nil {
		sim.schedule(3*time.Second, func() { p.change(sim) })
	}
	sim.run(12 * time.Second)
	sim.check()
	s := sim.summary()
	t.Logf("%+v by kind %.3f", s, sim.inTimeShares())
	require.Zero(t, s.unanswered)
	return s
}

// sum simulates all seeds and adds up their results.
func (p speedScenario) sum(t *testing.T, withoutSpeeds bool) summary {
	all := make([]summary, p.seeds)
	t.Run(fmt.Sprintf("without speeds %t", withoutSpeeds), func(t *testing.T) {
		for i := range p.seeds {
			t.Run(fmt.Sprintf("seed %d", p.firstSeed+i), func(t *testing.T) {
				t.Parallel()
				all[i] = p.run(t, p.firstSeed+i, withoutSpeeds)
			})
		}
	})
	var sum summary
	for _, s := range all {
		sum = sum.plus(s)
	}
	t.Logf("without speeds %t: %+v", withoutSpeeds, sum)
	return sum
}

// setSlowdown returns a change that sets the factor of the work's duration on one
// worker.
func setSlowdown(agent int, slowdown float64) func(sim *simulation) {
	return func(sim *simulation) { sim.agents[agent].worker.slowdown = slowdown }
}

// newUniformSimulation returns a simulation with workers of equal speed.
func newUniformSimulation(t testing.TB, seed uint64) *simulation {
	return newSimulation(t, seed, 3, 11, workerCPU)
}

// TestFastWorkersHaveCapacityForAllJobs guards against jobs that are late on slow workers,
// or on workers whose agents have restarted, while fast workers have free capacity for
// all of them.
func TestFastWorkersHaveCapacityForAllJobs(t *testing.T) {
	const minInTimeShare = 0.995
	tests := []speedScenario{
		{"three fifths of the capacity", newHeterogeneousSimulation, 0.6 * heterogeneousFullLoad, nil, 600, 6},
		{"agents of fast workers restart", newHeterogeneousSimulation, 0.8 * heterogeneousFullLoad, func(sim *simulation) {
			sim.agents[0].kill(100 * time.Millisecond)
			sim.agents[4].kill(100 * time.Millisecond)
		}, 700, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := tt.sum(t, false)
			require.Zero(t, s.failed)
			require.GreaterOrEqual(t, float64(s.inTime), minInTimeShare*float64(s.all))
		})
	}
}

// TestSpeedsBringMoreJobsInTime guards against known speeds that do not help: jobs were
// late that another worker would have done in time. The same seeds are also simulated
// with the speeds left out of the reports.
func TestSpeedsBringMoreJobsInTime(t *testing.T) {
	tests := []struct {
		speedScenario
		// minGain is the minimum share of the jobs late without speeds that must be in
		// time with them.
		minGain float64
	}{
		// Fast workers are full as well, which bounds what they can take.
		{speedScenario{"a quarter is fast, and all capacity is used", newHeterogeneousSimulation, heterogeneousFullLoad, nil, 600, 6}, 0.1},
		// The other workers have free capacity for the jobs that are late on the slow
		// one.
		{speedScenario{"a worker turns slow", newUniformSimulation, 0.9 * 1.53, setSlowdown(4, 2.2), 700, 4}, 0.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			with, without := tt.sum(t, false), tt.sum(t, true)
			require.Zero(t, with.failed)
			require.LessOrEqual(t, float64(with.missed()), (1-tt.minGain)*float64(without.missed()))
		})
	}
}

// TestOutdatedSpeedDoesNoHarm guards against jobs that are sent to a worker as a fast
// one although it has become the slowest. The same seeds are also simulated with the
// speeds left out of the reports. The number of late jobs varies between runs by at
// least its square root, which is allowed for.
func TestOutdatedSpeedDoesNoHarm(t *testing.T) {
	p := speedScenario{"a fast worker turns slow", newHeterogeneousSimulation, 0.9 * heterogeneousFullLoad, setSlowdown(4, 1.8), 700, 4}
	with, without := p.sum(t, false), p.sum(t, true)
	require.Zero(t, with.failed)
	missed := float64(without.missed())
	require.LessOrEqual(t, float64(with.missed()), missed+math.Sqrt(missed))
}

// TestLostAnswersToStartsDelayJobsLittle simulates a load of half of the capacity while
// 4% of the starts are not answered, which used to delay every fourth of the short wide
// jobs by half of its slack.
func TestLostAnswersToStartsDelayJobsLittle(t *testing.T) {
	sim := newSimulation(t, 800, 3, 11, workerCPU)
	for _, a := range sim.agents {
		a.worker.unansweredShare = 0.04
	}
	sim.load(10*time.Second, 0.5*1.53)
	sim.run(14 * time.Second)
	sim.check()
	require.Empty(t, sim.rerunAfterDone)
	var excess []time.Duration
	for _, r := range sim.results {
		if r.answered && r.answer.Outcome == scheduler.Complete && len(r.job.Steps) == 1 && r.job.Steps[0].Count == jobKinds[0].tasks {
			excess = append(excess, r.took-sim.longestTask(r.job))
		}
	}
	slices.Sort(excess)
	p90 := excess[len(excess)*9/10]
	t.Logf("%+v, p90 of the short wide jobs' time beyond their work: %v", sim.summary(), p90)
	require.LessOrEqual(t, p90, 25*time.Millisecond)
}

// TestNoTaskRunsTwiceAtOnceWhenStartsAreLateOrNotAnswered guards against a start that
// is assumed after a short time to have had no effect, and takes effect later.
func TestNoTaskRunsTwiceAtOnceWhenStartsAreLateOrNotAnswered(t *testing.T) {
	seeds := uint64(12)
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", 900+seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 900+seed, 3, 7, workerCPU)
			for i, a := range sim.agents {
				a.worker.unansweredShare = 0.05 * float64(i)
			}
			sim.load(6*time.Second, 0.6)
			for range 6 {
				at := sim.upTo(6 * time.Second)
				sim.schedule(at, randomFault(sim, 200*time.Millisecond+sim.upTo(2*time.Second)))
			}
			sim.run(12 * time.Second)
			sim.check()
			t.Logf("%+v", sim.summary())
		})
	}
}

// speedReport returns a report with a speed, of an agent among four.
func speedReport(f *fixture, agent string, speed float64) messenger.Report {
	r := newReport(agent, 0)
	r.Upstream = nil
	r.Echo = f.clock.Since(f.linkOpenedAt[agent])
	r.Speed, r.SpeedJobs = speed, 16
	return r
}

// newSpeedFixture returns a fixture whose agents have reported their speeds: d is fast.
func newSpeedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	for _, a := range []string{"a", "b", "c", "d"} {
		f.connect(a)
	}
	f.reportSpeeds(0.83, 0.83, 0.83, 1.8)
	return f
}

// reportSpeeds has agents a, b and so on report their speeds, and has the scheduler
// compare them.
func (f *fixture) reportSpeeds(speeds ...float64) {
	for i, v := range speeds {
		f.s.HandleReport(speedReport(f, string(rune('a'+i)), v))
	}
	f.clock.Advance(100 * time.Millisecond)
	for i := range speeds {
		r := speedReport(f, string(rune('a'+i)), 0)
		r.SpeedJobs = 0
		f.s.HandleReport(r)
	}
	f.s.Tick()
	f.takeEffects()
}

// reportFree has agents report that they have only the given CPU left free.
func (f *fixture) reportFree(free int, agents ...string) {
	for _, a := range agents {
		r := speedReport(f, a, 0)
		r.Free = messenger.Resources{CPU: free, Memory: 64_000}
		f.s.HandleReport(r)
	}
	f.takeEffects()
}

// relativeSpeeds returns the relative speeds that are in effect for the agents.
func (f *fixture) relativeSpeeds() []float64 {
	var out []float64
	for _, a := range f.s.Dump().Agents {
		out = append(out, a.Speed)
	}
	return out
}

// placedAgents returns the agents of the last Place messages.
func (f *fixture) placedAgents() []string {
	var out []string
	for _, e := range f.s.TakeEffects() {
		if m, ok := e.(scheduler.Send); ok {
			if _, ok := m.Message.(messenger.Place); ok {
				out = append(out, m.Agent)
			}
		}
	}
	return out
}

// TestFasterWorkerIsChosenWhenNothingWaits guards against fast workers that are idle
// while slow ones are busy.
func TestFasterWorkerIsChosenWhenNothingWaits(t *testing.T) {
	f := newSpeedFixture(t)
	f.s.Submit(1, f.job(jobID, 2))
	require.Equal(t, []string{"d"}, f.placedAgents())
}

// TestJobWithSlackLeavesFastWorkersToOthersThatWait guards against fast workers that
// are full of jobs which any worker would have done in time.
func TestJobWithSlackLeavesFastWorkersToOthersThatWait(t *testing.T) {
	f := newSpeedFixture(t)
	f.reportFree(1000, "a", "b", "c", "d")
	large := f.job("0000000000000002", 1)
	large.Steps[0].Demand.CPU = 30_000
	f.s.Submit(2, large)
	f.reportFree(7000, "a", "d")
	f.s.Submit(1, f.job(jobID, 2))
	require.Equal(t, []string{"a"}, f.placedAgents())
}

// TestJobThatNeedsAFastWorkerIsPlacedThereFirst guards against a fast worker that gets
// a job which a slow one would do in time, while another job becomes late.
func TestJobThatNeedsAFastWorkerIsPlacedThereFirst(t *testing.T) {
	tests := []struct {
		name  string
		agent string
		first string
	}{
		{"capacity at a slow worker", "a", jobID},
		{"capacity at a fast worker", "d", "0000000000000002"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSpeedFixture(t)
			f.reportFree(1000, "a", "b", "c", "d")
			needsFast := f.job("0000000000000002", 2)
			needsFast.Steps[0].Estimate = 300 * time.Millisecond
			f.s.Submit(2, needsFast)
			f.clock.Advance(130 * time.Millisecond)
			f.reportFree(1000, "a", "b", "c", "d")
			f.s.Submit(1, f.job(jobID, 2))
			f.takeEffects()
			r := speedReport(f, tt.agent, 0)
			r.Free = messenger.Resources{CPU: 7000, Memory: 64_000}
			f.s.HandleReport(r)
			require.Equal(t, tt.first, f.takeEffects()[0].(messenger.Place).Job)
		})
	}
}

// TestJobTooLateForSlowWorkersMayStillGoToAFastOne guards against refusing a job that a
// fast worker would do in time, and against doing it late on a slow one.
func TestJobTooLateForSlowWorkersMayStillGoToAFastOne(t *testing.T) {
	for _, agent := range []string{"a", "d"} {
		t.Run(agent, func(t *testing.T) {
			f := newSpeedFixture(t)
			f.reportFree(1000, "a", "b", "c", "d")
			j := f.job(jobID, 2)
			j.Steps[0].Estimate = 300 * time.Millisecond
			f.s.Submit(1, j)
			// Its wait limit is 144 ms.
			f.clock.Advance(150 * time.Millisecond)
			f.reportFree(1000, "a", "b", "c", "d")
			f.s.Tick()
			f.takeEffects()
			require.Empty(t, f.replies)
			f.clock.Advance(40 * time.Millisecond)
			r := speedReport(f, agent, 0)
			r.Free = messenger.Resources{CPU: 7000, Memory: 64_000}
			f.s.HandleReport(r)
			require.Equal(t, agent == "d", len(f.placedAgents()) > 0)
			f.clock.Advance(200 * time.Millisecond)
			f.s.Tick()
			f.takeEffects()
			require.Equal(t, agent == "a", len(f.replies) > 0, "refused unless it runs")
		})
	}
}

// TestRunIsNotMovedBecauseItsWorkerIsKnownToBeSlow guards against a run that is
// mistaken for a straggler because it was placed on a slow worker.
func TestRunIsNotMovedBecauseItsWorkerIsKnownToBeSlow(t *testing.T) {
	tests := []struct {
		name    string
		speed   float64
		percent int
		moved   bool
	}{
		{"as slow as known", 0.5, 25, false},
		{"slower than known", 0.5, 10, true},
		{"speed not known to be low", 1, 25, true},
		{"so slow that it has a fault", 0.1, 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			for _, a := range []string{"a", "b", "c", "d"} {
				f.connect(a)
			}
			f.reportSpeeds(1, 1, 1, tt.speed)
			f.reportFree(1000, "a", "b", "c")
			j := f.longJob()
			j.Steps[0].Estimate = 500 * time.Millisecond
			f.s.Submit(1, j)
			require.Equal(t, []string{"d"}, f.placedAgents())
			f.clock.Advance(500 * time.Millisecond)
			f.reportFree(1000, "a", "b", "c")
			r := speedReport(f, "d", 0)
			r.AckedPlace = 1
			r.ConsecutiveFailedJobs = 2
			r.Runs = []messenger.Progress{{Run: messenger.Run{Task: jobID + ".0.0.0", Number: 1}, Percent: tt.percent, Age: 500 * time.Millisecond}}
			f.s.HandleReport(r)
			f.s.Tick()
			withdrawn := false
			for _, m := range f.takeEffects() {
				_, ok := m.(messenger.Withdraw)
				withdrawn = withdrawn || ok
			}
			require.Equal(t, tt.moved, withdrawn)
		})
	}
}

// TestEqualWorkersAreNotChosenBySpeed guards against choosing workers of equal speed by
// the error of the estimates, which are wrong by up to 40% either way.
func TestEqualWorkersAreNotChosenBySpeed(t *testing.T) {
	for _, n := range []int{4, 11, 26} {
		for _, jobs := range []int{4, 8, 16} {
			inEffect := 0
			const samples = 100
			for seed := range uint64(samples) {
				f := newConnectedFixture(t, n)
				f.reportSampledSpeeds(seed, jobs, func(int) float64 { return 0.9 })
				if slices.ContainsFunc(f.relativeSpeeds(), func(v float64) bool { return v != 1 }) {
					inEffect++
				}
			}
			t.Logf("%d workers, speeds from %d jobs each: in effect in %d of %d samples", n, jobs, inEffect, samples)
			require.LessOrEqual(t, inEffect, samples/20)
		}
	}
}

// TestSpeedDifferencesOfWorkersAreDetected guards against estimation errors that hide
// that every third worker takes 1.3 times as long, or that a quarter of the workers are
// faster.
func TestSpeedDifferencesOfWorkersAreDetected(t *testing.T) {
	speedsByCase := map[string]func(i int) float64{
		"every third slow": func(i int) float64 { return []float64{1, 1, 1 / 1.3}[i%3] },
		"a quarter fast":   func(i int) float64 { return []float64{1.8, 0.83, 0.83, 0.83}[i%4] },
	}
	for name, speed := range speedsByCase {
		t.Run(name, func(t *testing.T) {
			found := 0
			const seeds = 50
			for seed := range uint64(seeds) {
				f := newConnectedFixture(t, 24)
				f.reportSampledSpeeds(seed, 16, speed)
				if slices.ContainsFunc(f.relativeSpeeds(), func(v float64) bool { return v != 1 }) {
					found++
				}
			}
			t.Logf("found in %d of %d", found, seeds)
			require.GreaterOrEqual(t, found, seeds*9/10)
		})
	}
}

// newConnectedFixture returns a fixture with n connected agents.
func newConnectedFixture(t *testing.T, n int) *fixture {
	f := newFixture(t)
	for i := range n {
		f.connect(string(rune('a' + i)))
	}
	return f
}

// reportSampledSpeeds has each agent report a speed that is the geometric mean over the
// given number of jobs, whose estimates are wrong by up to 40%.
func (f *fixture) reportSampledSpeeds(seed uint64, jobs int, speed func(i int) float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for i := range len(f.linkOpenedAt) {
		var sum float64
		for range jobs {
			sum += math.Log(speed(i) * (0.6 + 0.8*rng.Float64()))
		}
		r := speedReport(f, string(rune('a'+i)), math.Exp(sum/float64(jobs)))
		r.SpeedJobs = jobs
		f.s.HandleReport(r)
	}
	f.clock.Advance(100 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
}

// TestSpeedBasedOnFewJobsIsIgnored guards against a worker that is chosen
// because of one wrong estimate.
func TestSpeedBasedOnFewJobsIsIgnored(t *testing.T) {
	f := newSpeedFixture(t)
	require.InDelta(t, 1.8/0.83, f.relativeSpeeds()[3], 0.01)
	r := speedReport(f, "d", 1.8)
	r.SpeedJobs = 3
	f.s.HandleReport(r)
	f.clock.Advance(100 * time.Millisecond)
	f.s.Tick()
	require.InDelta(t, 1, f.relativeSpeeds()[3], 0)
}

// TestSpeedIsResetWhenItsAgentOrWorkerRestarts guards against a speed that is no longer
// measured. The restarted agent of the worker reports no speed on its next link.
func TestSpeedIsResetWhenItsAgentOrWorkerRestarts(t *testing.T) {
	tests := []struct {
		name    string
		restart func(f *fixture)
	}{
		{"the agent", func(f *fixture) { f.connect("d") }},
		{"the worker", func(f *fixture) {
			r := newReport("d", 0)
			r.Upstream.Born = 2
			f.s.HandleReport(r)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSpeedFixture(t)
			require.Greater(t, f.relativeSpeeds()[3], 2.0)
			tt.restart(f)
			require.InDelta(t, 1, f.relativeSpeeds()[3], 0)
			f.clock.Advance(100 * time.Millisecond)
			f.s.Tick()
			require.InDelta(t, 1, f.relativeSpeeds()[3], 0)
		})
	}
}

// TestJobDeferredToFastWorkerIsNotSplit guards against a job that waits for a fast worker
// and is refused because the worker that can take all of its tasks has no headroom
// beside them.
func TestJobDeferredToFastWorkerIsNotSplit(t *testing.T) {
	f := newSpeedFixture(t)
	f.reportFree(1000, "a", "b", "c", "d")
	j := f.job(jobID, 4)
	j.Steps[0].Estimate = 300 * time.Millisecond
	f.s.Submit(1, j)
	// Its wait limit is 144 ms.
	f.clock.Advance(150 * time.Millisecond)
	f.reportFree(1000, "a", "b", "c", "d")
	f.s.Tick()
	f.takeEffects()
	require.Empty(t, f.replies)
	f.clock.Advance(40 * time.Millisecond)
	r := speedReport(f, "d", 0)
	// Capacity for five tasks leaves less than the required headroom.
	r.Free = messenger.Resources{CPU: 5 * j.Steps[0].Demand.CPU, Memory: 64_000}
	f.s.HandleReport(r)
	places := f.takeEffects()
	require.Len(t, places, 1)
	require.Len(t, places[0].(messenger.Place).Tasks, 4)
}
