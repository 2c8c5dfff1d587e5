package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cores is a worker's capacity in thousandths of a core.
const cores = 36_000

func TestModerateLoadIsServedInTime(t *testing.T) {
	w := newSimulation(t, 1, 3, 11, cores)
	w.load(10*time.Second, 0.9)
	w.run(15 * time.Second)
	w.check()
	s := w.summary()
	require.Zero(t, s.unanswered)
	require.Zero(t, s.failed)
	require.Zero(t, s.refused)
	require.GreaterOrEqual(t, float64(s.inTime), 0.98*float64(s.all))
}

func TestEntryThatGetsMostOfTheLoadUsesMostOfTheRoom(t *testing.T) {
	w := newSimulation(t, 5, 9, 11, cores)
	for range 6 {
		// One entry gets what nine would share: nine tenths of the full capacity.
		w.loadAt(w.entries[:1], 6*time.Second, 0.25)
	}
	w.run(10 * time.Second)
	w.check()
	s := w.summary()
	t.Logf("%+v", s)
	require.LessOrEqual(t, float64(s.refused+s.failed), 0.02*float64(s.all))
}

func TestOverloadIsRefusedAtOnceAndStarvesNoKind(t *testing.T) {
	// The load is a quarter above the full capacity of all workers.
	const factor = 2.0
	w := newSimulation(t, 2, 3, 11, cores)
	w.load(6*time.Second, factor)
	w.run(12 * time.Second)
	w.check()
	s := w.summary()
	require.Zero(t, s.unanswered)
	require.Zero(t, s.failed)
	require.Less(t, s.slowestRefusal, 400*time.Millisecond)
	// Half of each kind is the minimum that its callers accept on a bad day.
	for k, share := range w.served() {
		require.GreaterOrEqual(t, share, 0.5, "kind %d", k)
	}
	require.GreaterOrEqual(t, float64(s.inTime), 0.7*float64(s.all))
	require.LessOrEqual(t, float64(s.late), 0.05*float64(s.all))
}

// TestScarceRoomIsSharedByWhatWaits simulates a burst on many entries, one of which
// gets a quarter of the callers, and compares it with a single entry, which sees all
// free capacity at once and races with no other entry.
func TestScarceRoomIsSharedByWhatWaits(t *testing.T) {
	const (
		entries  = 9
		agents   = 44
		factor   = 6.3
		duration = 2 * time.Second
	)
	simulate := func(entries int, delay time.Duration) *simulation {
		w := newSimulation(t, 50, entries, agents, cores)
		w.linkDelay = delay
		w.loadAt(w.entries[:1], duration, factor/4)
		w.loadAt(w.entries[entries-1:], duration, factor/4)
		w.loadAt(w.entries, duration, factor/2)
		w.run(duration + 2*time.Second)
		w.check()
		return w
	}
	inTimeShare := func(s summary) float64 { return float64(s.inTime) / float64(s.all) }
	for _, delay := range []time.Duration{linkDelay, 2 * linkDelay} {
		t.Run(delay.String(), func(t *testing.T) {
			single, several := simulate(1, delay).summary(), simulate(entries, delay).summary()
			t.Logf("one entry %+v, %d entries %+v", single, entries, several)
			require.GreaterOrEqual(t, inTimeShare(several), 0.95*inTimeShare(single))
			require.LessOrEqual(t, float64(several.late), 0.02*float64(several.all))
		})
	}
}

func TestBadWorkers(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(v *simWorker)
	}{
		{"fails all", func(v *simWorker) { v.failsAll = true }},
		{"hangs", func(v *simWorker) { v.hangs = true }},
		{"slow", func(v *simWorker) { v.slowdown = 6.5 }},
		{"no answers for five seconds", func(v *simWorker) { v.unresponsiveUntil = v.w.clock.Now().Add(5 * time.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newSimulation(t, 3, 3, 11, cores)
			w.load(8*time.Second, 0.8)
			w.schedule(time.Second, func() { tt.injectFault(w.agents[4].worker) })
			w.run(14 * time.Second)
			w.check()
			s := w.summary()
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
	w := newSimulation(t, 3, entries, 11, cores)
	w.load(9*time.Second, scarceLoad)
	slow := w.agents[4].worker
	w.schedule(time.Second, func() { slow.slowdown = 8 })
	w.run(3 * time.Second)
	startsBefore := slow.starts
	w.run(6 * time.Second)
	w.check()
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
			w := newSimulation(t, 100+seed, 3, 7, cores)
			w.load(8*time.Second, 0.6)
			for range 14 {
				at := time.Duration(w.rng.Int64N(int64(8 * time.Second)))
				duration := 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Second)))
				w.schedule(at, fault(w, duration))
			}
			w.run(16 * time.Second)
			w.check()
			t.Logf("%+v", w.summary())
		})
	}
}

// fault returns a random fault that lasts for the given duration.
func fault(w *simulation, duration time.Duration) func() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	a := w.agents[w.rng.IntN(len(w.agents))]
	switch w.rng.IntN(7) {
	case 6:
		return func() {
			if !a.down && !w.clock.Now().Before(a.pausedUntil) {
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
		return func() { e.pausedUntil = w.clock.Now().Add(duration) }
	case 3:
		return func() { a.pausedUntil = w.clock.Now().Add(duration) }
	case 4:
		return func() { a.worker.unresponsiveUntil = w.clock.Now().Add(duration) }
	default:
		return func() {
			for _, l := range a.links {
				l.cut = true
			}
			w.schedule(duration, func() {
				for _, l := range a.links {
					l.cut = false
				}
			})
		}
	}
}

// TestEntriesSeldomPlaceTasksWithoutRoom guards against entries that all choose the
// same worker because their reports are slightly out of date, while others have free
// capacity.
func TestEntriesSeldomPlaceTasksWithoutRoom(t *testing.T) {
	w := newSimulation(t, 7, 9, 22, cores)
	w.load(4*time.Second, 1.6)
	w.run(6 * time.Second)
	w.check()
	s := w.summary()
	t.Logf("%+v, %d runs refused of %d", s, w.refusedNoRoom, w.placedRuns)
	require.Equal(t, s.all, s.inTime)
	// A refused run delays its job by several messages.
	require.LessOrEqual(t, float64(w.refusedNoRoom), 0.1*float64(w.placedRuns))
}
