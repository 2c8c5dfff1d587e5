package scheduler_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

var (
	evacuationSeeds     = flag.Uint64("evacuations", 24, "number of drawn evacuations to simulate")
	firstEvacuationSeed = flag.Uint64("firstevacuation", 1, "seed of the first drawn evacuation")
)

// undisturbedTime is how long an agent must have reached the store, without a pause, for a
// late start in an evacuated data centre to count. The platform's pages have 3 s or more.
const undisturbedTime = 3 * time.Second

// checkEvacuation records a run that begins in a data centre that has been evacuated for too
// long, at an agent that could have known.
func (sim *simulation) checkEvacuation(w *simWorker, r messenger.Run) {
	if sim.store == nil {
		return
	}
	a := sim.agents[slices.IndexFunc(sim.agents, func(a *simAgent) bool { return a.worker == w })]
	now := sim.clock.Now()
	since, evacuated := sim.store.evacuatedAt[a.dataCentre]
	disturbed := later(later(a.storeCutUntil, a.pausedUntil), sim.store.downUntil)
	if late := now.Sub(since) - executor.DefaultEvacuationTimeout; evacuated && late > 0 && now.Sub(disturbed) > undisturbedTime {
		sim.startsInEvacuated = append(sim.startsInEvacuated, fmt.Sprintf("%s run %d at %s, %s too late", r.Task, r.Number, a.name, late))
	}
}

// drawEvacuations draws what the operators evacuate within a span.
func (sim *simulation) drawEvacuations(dataCentres int, span time.Duration) {
	for i := range dataCentres {
		dc := fmt.Sprintf("dc-%d", i)
		for at := sim.upTo(15 * time.Second); at < span; at += 2*time.Second + sim.upTo(15*time.Second) {
			sim.schedule(at, func() { sim.store.evacuate(dc, true) })
			at += time.Second + sim.upTo(20*time.Second)
			sim.schedule(min(at, span), func() { sim.store.evacuate(dc, false) })
		}
	}
}

// drawDisturbance draws a fault of a process, a link or the store. Entries mostly lose the
// store.
func (sim *simulation) drawDisturbance() {
	until := func(limit time.Duration) time.Time { return sim.clock.Now().Add(sim.upTo(limit)) }
	e, a := sim.anyEntry(), sim.anyAgent()
	switch sim.rng.IntN(10) {
	case 0, 1, 2:
		e.storeCutUntil = later(e.storeCutUntil, until(20*time.Second))
	case 3:
		cutUntil := until(20 * time.Second)
		for _, e := range sim.entries {
			e.storeCutUntil = later(e.storeCutUntil, cutUntil)
		}
	case 4:
		if !e.down {
			e.kill(sim.upTo(8 * time.Second))
		}
	case 5:
		e.pause(sim.upTo(2 * time.Second))
	case 6:
		if !a.down {
			a.kill(sim.upTo(600 * time.Millisecond))
		}
	case 7:
		a.pause(sim.upTo(2 * time.Second))
	case 8:
		a.storeCutUntil = later(a.storeCutUntil, until(10*time.Second))
		if sim.chance(4) {
			sim.store.downUntil = until(4 * time.Second)
		}
	case 9:
		way := []direction{bothWays, toAgent, toEntry}[sim.rng.IntN(3)]
		e.cutFor(a, way, sim.upTo(6*time.Second))
	}
}

// playDrawnEvacuations simulates drawn evacuations beside drawn faults, and then some calm.
func playDrawnEvacuations(t *testing.T, seed uint64) {
	const (
		span     = 40 * time.Second
		calm     = 12 * time.Second
		jobGap   = 150 * time.Millisecond
		lastJobs = 20
	)
	dataCentres := 1 + int(seed%4)
	sim := newSimulationIn(t, seed, dataCentres, 1+int(seed/4%3), dataCentres*2, workerCPU)
	sim.addStore()
	sim.run(time.Second)
	sim.drawEvacuations(dataCentres, span)
	for at := time.Duration(0); at < span; at += sim.upTo(4 * time.Second) {
		sim.schedule(at, sim.drawDisturbance)
	}
	k := jobKind{tasks: 2, work: 60 * time.Millisecond, cpu: 3100}
	for at := time.Duration(0); at < span; at += jobGap {
		sim.schedule(at, func() { sim.submit(sim.anyEntry(), k) })
	}
	sim.run(span)
	require.Empty(t, sim.startsInEvacuated, "seed %d: runs that began in an evacuated data centre", seed)
	sim.check()

	for _, e := range sim.entries {
		e.storeCutUntil = sim.clock.Now()
	}
	sim.run(calm)
	for range lastJobs {
		id := sim.submit(sim.anyEntry(), k)
		sim.run(jobGap)
		require.Equal(t, scheduler.Complete, sim.results[id].answer.Outcome, "seed %d: in calm, with nothing evacuated", seed)
	}
}

// TestNothingStartsInAnEvacuatedDataCentreWhoeverIsCutOff searches for an order of events in
// which agents follow entries that know nothing newer.
func TestNothingStartsInAnEvacuatedDataCentreWhoeverIsCutOff(t *testing.T) {
	forSeeds(t, *firstEvacuationSeed, *evacuationSeeds, playDrawnEvacuations)
}

// TestFewAgentsReadTheStoreForAll guards against a call to the store by each agent whenever the
// entries lose it.
func TestFewAgentsReadTheStoreForAll(t *testing.T) {
	const (
		agents = 66
		span   = 30 * time.Second
		// readInterval is the time between two reads of an agent that nobody tells anything.
		readInterval = 3 * time.Second
	)
	for _, entries := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			sim := newSimulationIn(t, 1, 3, entries, agents, workerCPU)
			sim.addStore()
			sim.run(5 * time.Second)
			require.Equal(t, agents, sim.store.agentReads, "one at the start of each")
			for _, e := range sim.entries {
				e.storeCutUntil = sim.clock.Now().Add(span)
			}
			sim.run(span)
			reads := sim.store.agentReads - agents
			t.Logf("%d reads of %d agents in %s", reads, agents, span)
			require.Less(t, reads, agents*int(span/readInterval)/3)

			sim.store.downUntil = sim.clock.Now().Add(span)
			sim.run(span + 2*time.Second)
			outage := sim.store.agentReads - agents - reads
			t.Logf("%d in an outage of the store, and in 2 s after it", outage)
			require.LessOrEqual(t, outage, agents)
		})
	}
}
