package scheduler_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

var (
	cutSeeds     = flag.Uint64("cuts", 120, "number of drawn cuts to simulate")
	firstCutSeed = flag.Uint64("firstcut", 1, "seed of the first drawn cut")
)

// direction says in which directions nothing passes between an entry and an agent.
type direction int

const (
	bothWays direction = iota
	toAgent
	toEntry
)

// cutFor lets nothing pass between the entry and an agent for a while. What is sent on an
// open link arrives afterwards, unless the link has closed, and no other link opens before.
func (e *simEntry) cutFor(a *simAgent, d direction, duration time.Duration) {
	if e.cutUntil == nil {
		e.cutUntil = make(map[string]time.Time)
	}
	e.cutUntil[a.name] = later(e.cutUntil[a.name], e.sim.clock.Now().Add(duration))
	if d != toEntry {
		e.sim.cutOneWay(e, a, true, duration)
	}
	if d != toAgent {
		e.sim.cutOneWay(e, a, false, duration)
	}
}

// TestAnEntryThatWasCutOffStartsNoLateRequestWhileItsLinksOpenAgain guards against an entry
// whose own machine was cut off and which, while its links open one after the other, starts
// the jobs of late requests that an entry which nothing has disturbed is running.
func TestAnEntryThatWasCutOffStartsNoLateRequestWhileItsLinksOpenAgain(t *testing.T) {
	const (
		cutDuration  = 3300 * time.Millisecond
		reopenSpread = 300 * time.Millisecond
		seeds        = 8
		jobs         = 24
	)
	for seed := range uint64(seeds) {
		sim := newSimulation(t, seed, 3, 6, workerCPU)
		sim.run(messenger.LockTTL)
		cutOff, undisturbed := sim.entries[0], sim.entries[1]
		for _, a := range sim.agents {
			cutOff.cutFor(a, bothWays, cutDuration+sim.upTo(reopenSpread))
		}
		k := jobKind{tasks: 2, work: 900 * time.Millisecond, cpu: 3100}
		for range jobs {
			sentAt := cutDuration - sim.upTo(reopenSpread)
			sim.schedule(sentAt, func() {
				id := sim.submit(undisturbed, k)
				sim.sendLate(cutOff, id, cutDuration-sentAt+sim.upTo(2*reopenSpread))
			})
		}
		sim.run(cutDuration + 4*time.Second)
		sim.check()
		require.Zero(t, sim.summary().missed(), "seed %d: %+v", seed, sim.summary())
	}
}

// drawnCut is a cut of one entry from some agents, with what happens beside it. All of it
// is drawn; times count from the start of the load.
type drawnCut struct {
	*simulation
	cutOff *simEntry
	// cutAt is when the cut begins, and healedAt when its first links can open again.
	cutAt, healedAt time.Duration
	// reopenSpread is the time after healedAt in which the links become possible.
	reopenSpread time.Duration
	// anotherWriter means that the new list of witnesses is not an entry's: it names no
	// previous ones.
	anotherWriter bool
}

const (
	// drawnCutJobs is the number of jobs of a drawn cut, and maxCopies the greatest number
	// of late copies of each.
	drawnCutJobs = 24
	maxCopies    = 3
	// maxCutTime is the longest that a drawn cut lasts, and maxReopenSpread the longest
	// time over which its links become possible again.
	maxCutTime      = 6 * time.Second
	maxReopenSpread = 600 * time.Millisecond
	// maxWork is the longest work of a task, which is more than locks last without contact.
	maxWork = 2500 * time.Millisecond
	// minAgents is the number of agents from which two witnesses may be lost.
	minAgents = 5
)

// newDrawnCut draws a deployment and a cut in it. All agents have been up for longer than
// locks last.
func newDrawnCut(t testing.TB, seed uint64) *drawnCut {
	rng := rand.New(rand.NewPCG(seed, 2))
	dataCentres := 2 + rng.IntN(4)
	agents := max(minAgents, dataCentres*(1+rng.IntN(3)))
	capacity := []int{6200, workerCPU}[rng.IntN(2)]
	d := &drawnCut{simulation: newSimulationIn(t, seed, dataCentres, 2+rng.IntN(3), agents, capacity)}
	d.run(2 * time.Second)
	d.cutOff = d.anyEntry()
	d.cutAt = 300*time.Millisecond + d.upTo(500*time.Millisecond)
	d.healedAt = d.cutAt + 300*time.Millisecond + d.upTo(maxCutTime)
	if d.chance(2) {
		d.reopenSpread = d.upTo(maxReopenSpread) + 1
	}
	return d
}

// drawCut cuts an entry from all agents, from those of some data centres, or from some.
func (d *drawnCut) drawCut(e *simEntry) {
	way := bothWays
	if d.chance(4) {
		way = []direction{toAgent, toEntry}[d.rng.IntN(2)]
	}
	all, byDataCentre := d.chance(2), d.chance(2)
	dataCentres := make(map[string]bool)
	for _, a := range d.agents {
		if _, drawn := dataCentres[a.dataCentre]; !drawn {
			dataCentres[a.dataCentre] = d.chance(2)
		}
		cut := d.chance(2)
		if byDataCentre {
			cut = dataCentres[a.dataCentre]
		}
		if !all && !cut {
			continue
		}
		duration := d.healedAt - d.cutAt
		if d.reopenSpread > 0 {
			duration += d.upTo(d.reopenSpread)
		}
		d.schedule(d.cutAt, func() { e.cutFor(a, way, duration) })
	}
}

// drawJobs has jobs sent, and late copies of each.
func (d *drawnCut) drawJobs() {
	for range drawnCutJobs {
		k := jobKind{tasks: 1 + d.rng.IntN(3), work: 200*time.Millisecond + d.upTo(maxWork), cpu: 3100}
		switch d.rng.IntN(5) {
		case 0:
			d.drawJob(k, d.anyEntry(), d.upTo(d.healedAt+time.Second), func() time.Duration { return d.upTo(d.healedAt + 2*time.Second) })
		case 1, 2:
			// The entry is cut off while it runs the job.
			d.drawJob(k, d.cutOff, d.cutAt-300*time.Millisecond+d.upTo(time.Second), func() time.Duration { return d.cutAt + d.upTo(3*time.Second) })
		default:
			// Copies arrive while links open again.
			d.drawJob(k, d.anyEntry(), d.healedAt-time.Second+d.upTo(1500*time.Millisecond), func() time.Duration {
				return d.healedAt - 200*time.Millisecond + d.upTo(time.Second)
			})
		}
	}
}

// drawJob has a job sent to an entry, and copies arrive at drawn times.
func (d *drawnCut) drawJob(k jobKind, first *simEntry, at time.Duration, arrival func() time.Duration) {
	at = max(0, at)
	d.schedule(at, func() {
		id := d.submit(first, k)
		for range 1 + d.rng.IntN(maxCopies) {
			to := d.anyEntry()
			if first != d.cutOff && d.chance(2) {
				to = d.cutOff
			}
			d.sendLate(to, id, max(0, arrival()-at))
		}
	})
}

// drawFaults draws up to two restarts of agents, a pause of a process, and a change of the
// list of witnesses, which some entries learn late or not at all.
func (d *drawnCut) drawFaults() {
	for range d.rng.IntN(3) {
		a := d.anyAgent()
		d.schedule(d.aroundTheCut(), func() {
			if !a.down {
				a.kill(d.upTo(600 * time.Millisecond))
			}
		})
	}
	if d.chance(2) {
		pause := d.anyEntry().pause
		if d.chance(2) {
			pause = d.anyAgent().pause
		}
		duration := d.upTo(3 * time.Second)
		d.schedule(d.aroundTheCut(), func() { pause(duration) })
	}
	if d.chance(2) {
		d.drawChange()
	}
}

// drawChange draws a change of the list of witnesses to any agents, and when entries try to
// complete it.
func (d *drawnCut) drawChange() {
	d.cutOff.watchCut = d.chance(2)
	maxDelay := []time.Duration{50 * time.Millisecond, maxWatchDelay}[d.rng.IntN(2)]
	maxGap := []time.Duration{300 * time.Millisecond, messenger.LockTTL}[d.rng.IntN(2)]
	at := max(0, d.aroundTheCut()-d.upTo(messenger.LockTTL))
	d.schedule(at, func() {
		d.witnesses = d.newList()
		d.tellStored(maxDelay)
	})
	for range 6 {
		at += d.upTo(maxGap)
		d.schedule(at, func() {
			d.completeChange()
			d.tellStored(maxDelay)
		})
	}
}

// newList returns the next list in the store.
func (d *drawnCut) newList() messenger.WitnessList {
	if d.anotherWriter {
		return messenger.WitnessList{Version: d.witnesses.Version + 1 + uint64(d.rng.IntN(3)), Current: d.anyWitnesses()}
	}
	return d.witnesses.WithCurrent(d.anyWitnesses())
}

// anyWitnesses draws two agents of each data centre.
func (d *drawnCut) anyWitnesses() []messenger.Witness {
	perDataCentre := make(map[string]int)
	var out []messenger.Witness
	for _, i := range d.rng.Perm(len(d.agents)) {
		a := d.agents[i]
		if perDataCentre[a.dataCentre]++; perDataCentre[a.dataCentre] <= 2 {
			out = append(out, messenger.Witness{Agent: a.name, Group: a.dataCentre})
		}
	}
	return out
}

// aroundTheCut draws a time shortly after the beginning of the cut, while its links open
// again, or in between.
func (d *drawnCut) aroundTheCut() time.Duration {
	switch d.rng.IntN(3) {
	case 0:
		return d.cutAt + d.upTo(800*time.Millisecond)
	case 1:
		return d.healedAt - 400*time.Millisecond + d.upTo(maxReopenSpread)
	}
	return d.cutAt + d.upTo(d.healedAt-d.cutAt+maxReopenSpread)
}

// playDrawnCut simulates a drawn cut until all its jobs have ended.
func playDrawnCut(t testing.TB, seed uint64) *drawnCut {
	d := newDrawnCut(t, seed)
	d.play()
	return d
}

// play simulates the cut until all its jobs have ended.
func (d *drawnCut) play() {
	d.drawCut(d.cutOff)
	if d.chance(4) {
		d.drawCut(d.anyEntry())
	}
	d.drawJobs()
	d.drawFaults()
	d.run(d.healedAt + maxReopenSpread + 5*time.Second)
}

// TestNoTaskRunsTwiceAtOnceAroundADrawnCut searches for an order of events around the cut of
// an entry in which a late copy of a request runs a job that another entry is running.
func TestNoTaskRunsTwiceAtOnceAroundADrawnCut(t *testing.T) {
	forSeeds(t, *firstCutSeed, *cutSeeds, func(t *testing.T, seed uint64) {
		require.Empty(t, playDrawnCut(t, seed).duplicates, "seed %d", seed)
	})
}

// TestNoTaskRunsTwiceAtOnceAfterAListOfAnotherWriter guards against two entries that each have
// a quorum, since another writer has put other agents in place of the list of witnesses.
func TestNoTaskRunsTwiceAtOnceAfterAListOfAnotherWriter(t *testing.T) {
	forSeeds(t, *firstCutSeed, *cutSeeds, func(t *testing.T, seed uint64) {
		d := newDrawnCut(t, seed)
		d.anotherWriter = true
		d.drawChange()
		d.play()
		require.Empty(t, d.duplicates, "seed %d", seed)
	})
}

// TestNoTaskRunsTwiceAtOnceWhereOneRuleOfTheLocksPreventsIt guards against the loss of a rule
// that few orders of events need: in each of these, one that drawn cuts have found, a task
// runs twice at once without it.
func TestNoTaskRunsTwiceAtOnceWhereOneRuleOfTheLocksPreventsIt(t *testing.T) {
	for _, tt := range []struct {
		rule string
		seed uint64
	}{
		{"a witness that has restarted does not count at once", 314},
		{"a witness tells a newer list", 238},
		{"a witness tells a newer list to all entries", 430},
		{"an entry follows the list that a witness tells", 243},
		{"a lock needs a quorum of the previous witnesses too", 332},
		{"what was locked at the previous witnesses has expired before they are dropped", 1074},
		{"a witness that was heard of long ago does not count", 341},
		{"no task is placed once the quorum is lost", 75},
	} {
		t.Run(tt.rule, func(t *testing.T) {
			t.Parallel()
			require.Empty(t, playDrawnCut(t, tt.seed).duplicates)
		})
	}
}
