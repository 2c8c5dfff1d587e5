package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// workerCPU is a worker's capacity in thousandths of a core.
const workerCPU = 36_000

func TestModerateLoadIsServedInTime(t *testing.T) {
	sim := newSimulation(t, 1, 3, 11, workerCPU)
	sim.load(10*time.Second, 0.9)
	sim.run(15 * time.Second)
	sim.check()
	s := sim.summary()
	require.Zero(t, s.unanswered)
	require.Zero(t, s.failed)
	require.Zero(t, s.refused)
	require.GreaterOrEqual(t, float64(s.inTime), 0.98*float64(s.all))
}

func TestEntryThatGetsMostOfTheLoadUsesMostOfTheCapacity(t *testing.T) {
	sim := newSimulation(t, 5, 9, 11, workerCPU)
	for range 6 {
		// One entry gets what nine would share: nine tenths of the full capacity.
		sim.loadAt(sim.entries[:1], 6*time.Second, 0.25)
	}
	sim.run(10 * time.Second)
	sim.check()
	s := sim.summary()
	t.Logf("%+v", s)
	require.LessOrEqual(t, float64(s.refused+s.failed), 0.02*float64(s.all))
}

func TestOverloadIsRefusedAtOnceAndStarvesNoKind(t *testing.T) {
	// The load is a quarter above the full capacity of all workers.
	const factor = 2.0
	sim := newSimulation(t, 2, 3, 11, workerCPU)
	sim.load(6*time.Second, factor)
	sim.run(12 * time.Second)
	sim.check()
	s := sim.summary()
	require.Zero(t, s.unanswered)
	require.Zero(t, s.failed)
	require.Less(t, s.slowestRefusal, 400*time.Millisecond)
	// Half of each kind is the minimum that its callers accept on a bad day.
	for k, share := range sim.inTimeShares() {
		require.GreaterOrEqual(t, share, 0.5, "kind %d", k)
	}
	require.GreaterOrEqual(t, float64(s.inTime), 0.7*float64(s.all))
	require.LessOrEqual(t, float64(s.late), 0.05*float64(s.all))
}

// TestScarceCapacityIsSharedAmongEntries simulates a burst on many entries, one of which
// gets a quarter of the callers, and compares it with a single entry, which sees all
// free capacity at once and races with no other entry. One seed differs from another by more
// than the bound leaves, so several are added up.
func TestScarceCapacityIsSharedAmongEntries(t *testing.T) {
	const (
		entries  = 9
		agents   = 44
		factor   = 6.3
		duration = 2 * time.Second
		seeds    = 6
	)
	simulate := func(seed uint64, entries int, delay time.Duration) summary {
		sim := newSimulation(t, seed, entries, agents, workerCPU)
		sim.linkDelay = delay
		sim.loadAt(sim.entries[:1], duration, factor/4)
		sim.loadAt(sim.entries[entries-1:], duration, factor/4)
		sim.loadAt(sim.entries, duration, factor/2)
		sim.run(duration + 2*time.Second)
		sim.check()
		return sim.summary()
	}
	inTimeShare := func(s summary) float64 { return float64(s.inTime) / float64(s.all) }
	for _, delay := range []time.Duration{linkDelay, 2 * linkDelay} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var single, several summary
			for seed := range uint64(seeds) {
				single = single.plus(simulate(50+seed, 1, delay))
				several = several.plus(simulate(50+seed, entries, delay))
			}
			t.Logf("one entry %+v, %d entries %+v", single, entries, several)
			require.GreaterOrEqual(t, inTimeShare(several), 0.95*inTimeShare(single))
			require.LessOrEqual(t, float64(several.late), 0.02*float64(several.all))
		})
	}
}

func TestBadWorkers(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(w *simWorker)
	}{
		{"fails all", func(w *simWorker) { w.failsAll = true }},
		{"hangs", func(w *simWorker) { w.hangs = true }},
		{"slow", func(w *simWorker) { w.slowdown = 6.5 }},
		{"no answers for five seconds", func(w *simWorker) { w.unresponsiveUntil = w.sim.clock.Now().Add(5 * time.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 3, 3, 11, workerCPU)
			sim.load(8*time.Second, 0.8)
			sim.schedule(time.Second, func() { tt.injectFault(sim.agents[4].worker) })
			sim.run(14 * time.Second)
			sim.check()
			s := sim.summary()
			t.Logf("%+v", s)
			require.Zero(t, s.unanswered)
			require.GreaterOrEqual(t, float64(s.inTime), 0.95*float64(s.all))
		})
	}
}

// TestSlowWorkerIsProbedSeldom guards against a probe that is moved away because it is
// slow and then counts as no result, so that the next probe follows at once.
func TestSlowWorkerIsProbedSeldom(t *testing.T) {
	const (
		entries = 3
		// probes is the number of probes that an entry sends in 6 s: after 0.4, 0.8,
		// 1.6 and 3 s.
		probes = 4
		// scarceLoad is a load factor at which every worker with free capacity is used.
		scarceLoad = 1.7
	)
	sim := newSimulation(t, 3, entries, 11, workerCPU)
	sim.load(9*time.Second, scarceLoad)
	slow := sim.agents[4].worker
	sim.schedule(time.Second, func() { slow.slowdown = 8 })
	sim.run(3 * time.Second)
	startsBefore := slow.starts
	sim.run(6 * time.Second)
	sim.check()
	require.LessOrEqual(t, slow.starts-startsBefore, entries*(probes+1))
}

func TestNoTaskRunsTwiceAtOnceWhateverFails(t *testing.T) {
	seeds := uint64(25)
	if testing.Short() {
		seeds = 4
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", 100+seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 100+seed, 3, 7, workerCPU)
			sim.load(8*time.Second, 0.6)
			for range 14 {
				at := sim.upTo(8 * time.Second)
				duration := 200*time.Millisecond + sim.upTo(3*time.Second)
				sim.schedule(at, randomFault(sim, duration))
			}
			sim.run(16 * time.Second)
			sim.check()
			t.Logf("%+v", sim.summary())
		})
	}
}

// randomFault returns a random fault that lasts for the given duration.
func randomFault(sim *simulation, duration time.Duration) func() {
	e := sim.anyEntry()
	a := sim.anyAgent()
	switch sim.rng.IntN(7) {
	case 6:
		return func() {
			if !a.down && !sim.clock.Now().Before(a.pausedUntil) {
				a.restartWorker(duration)
			}
		}
	case 0:
		return func() {
			if !e.down {
				e.kill(duration)
			}
		}
	case 1:
		return func() {
			if !a.down {
				a.kill(duration)
			}
		}
	case 2:
		return func() { e.pause(duration) }
	case 3:
		return func() { a.pause(duration) }
	case 4:
		return func() { a.worker.unresponsiveUntil = sim.clock.Now().Add(duration) }
	default:
		return func() {
			for _, l := range a.links {
				l.cut = true
			}
			sim.schedule(duration, func() {
				for _, l := range a.links {
					l.cut = false
				}
			})
		}
	}
}

// TestEntriesSeldomPlaceTasksWithoutFreeCapacity guards against entries that all choose
// the same worker because their reports are slightly out of date, while others have
// free capacity.
func TestEntriesSeldomPlaceTasksWithoutFreeCapacity(t *testing.T) {
	sim := newSimulation(t, 7, 9, 22, workerCPU)
	sim.load(4*time.Second, 1.6)
	sim.run(6 * time.Second)
	sim.check()
	s := sim.summary()
	t.Logf("%+v, %d runs refused of %d", s, sim.capacityRefusals, sim.placedRuns)
	require.Equal(t, s.all, s.inTime)
	// A refused run delays its job by several messages.
	require.LessOrEqual(t, float64(sim.capacityRefusals), 0.1*float64(sim.placedRuns))
}
