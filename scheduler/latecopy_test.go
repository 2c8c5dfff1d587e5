package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// sendLate delivers a copy of a job's request to an entry that was sent earlier and held
// up in the network. Its caller has left, which the entry may not notice.
func (sim *simulation) sendLate(e *simEntry, id string, delay time.Duration) {
	sim.schedule(delay, func() {
		if e.down {
			return // The connection is gone, and the bytes with it.
		}
		e.do(func() {
			job := sim.results[id].job
			if least := sim.clock.Now().Add(1500 * time.Millisecond); job.Deadline.Before(least) {
				job.Deadline = least
			}
			e.lastTicket++
			e.tickets[e.lastTicket] = id
			e.core.Submit(e.lastTicket, job)
		})
	})
}

// copies has copies of each job of a load arrive at the other entries, after delays that
// draw returns.
func (sim *simulation) copies(span time.Duration, copies int, draw func() time.Duration) {
	k := jobKind{tasks: 4, work: 900 * time.Millisecond, cpu: 3100}
	for at := time.Duration(0); at < span; at += 60 * time.Millisecond {
		sim.schedule(at, func() {
			first := sim.rng.IntN(len(sim.entries))
			id := sim.submit(sim.entries[first], k)
			for c := range copies {
				sim.sendLate(sim.entries[(first+1+c)%len(sim.entries)], id, draw())
			}
		})
	}
}

// cutOneWay lets nothing pass in one direction between an entry and an agent for a while.
// What is sent meanwhile arrives afterwards, unless the link has closed.
func (sim *simulation) cutOneWay(e *simEntry, a *simAgent, toAgent bool, duration time.Duration) {
	until := sim.clock.Now().Add(duration)
	if l := a.links[e.name]; l != nil {
		if toAgent {
			l.toAgentHeldUntil = until
		} else {
			l.toEntryHeldUntil = until
		}
	}
}

// replaceWitnesses begins a change of the list of witnesses in the store to other agents, or
// completes the change that was begun before.
func (sim *simulation) replaceWitnesses() {
	if len(sim.witnesses.Previous) > 0 {
		sim.completeChange()
		sim.tellStored(maxWatchDelay)
		return
	}
	next := slices.Clone(sim.witnesses.Current)
	for i := range next {
		a := sim.anyAgent()
		if sim.rng.IntN(2) == 0 && !slices.Contains(sim.witnesses.Agents(), a.name) && !slices.ContainsFunc(next, func(w messenger.Witness) bool { return w.Agent == a.name }) {
			next[i] = messenger.Witness{Agent: a.name, Group: a.dataCentre}
		}
	}
	sim.witnesses = sim.witnesses.WithCurrent(next)
	sim.tellStored(maxWatchDelay)
}

// completeChange drops the previous witnesses from the list in the store if an entry finds
// that the change is settled.
func (sim *simulation) completeChange() {
	if slices.ContainsFunc(sim.entries, func(e *simEntry) bool {
		return !e.down && e.knownWitnesses == sim.witnesses.Version && e.core.WitnessChange().Settled
	}) {
		sim.witnesses = sim.witnesses.WithoutPrevious()
	}
}

// maxWatchDelay is the longest time after which an entry learns what is in the store.
const maxWatchDelay = 2 * time.Second

// tellStored tells the entries the list of witnesses in the store after up to maxDelay, but
// for some.
func (sim *simulation) tellStored(maxDelay time.Duration) {
	list := sim.witnesses
	for _, e := range sim.entries {
		if e.watchCut || sim.rng.IntN(3) == 0 {
			continue // Its watch of the store is cut.
		}
		sim.schedule(sim.upTo(maxDelay), func() {
			if !e.down {
				e.do(func() { e.core.ReadWitnesses(list) })
			}
		})
	}
}

// cutFrom cuts an entry from a number of agents in both directions for a while. Its links
// to them go silent.
func (sim *simulation) cutFrom(e *simEntry, agents int, duration time.Duration) {
	for _, i := range sim.rng.Perm(len(sim.agents))[:agents] {
		sim.cutOneWay(e, sim.agents[i], true, duration)
		sim.cutOneWay(e, sim.agents[i], false, duration)
	}
}

// TestALateCopyOfARequestRunsNoTaskTwiceAtOnce guards against an entry that takes the
// arrival of a request for the time when it was sent, and starts a job that another
// entry runs.
func TestALateCopyOfARequestRunsNoTaskTwiceAtOnce(t *testing.T) {
	between := func(sim *simulation, from, to time.Duration) func() time.Duration {
		return func() time.Duration { return from + sim.upTo(to-from) }
	}
	tests := []struct {
		name     string
		copies   int
		from, to time.Duration
		fault    func(sim *simulation)
	}{
		{"at both entries at once", 1, 0, 4 * time.Millisecond, nil},
		{"three copies at once", 2, 0, 4 * time.Millisecond, nil},
		{"up to 200 ms late", 1, 0, 200 * time.Millisecond, nil},
		{"200 ms to 6 s late", 1, 200 * time.Millisecond, 6 * time.Second, nil},
		{"three copies, up to 6 s late", 2, 0, 6 * time.Second, nil},
		{"witnesses killed and restarted", 2, 0, time.Second, func(sim *simulation) {
			if a := sim.agents[sim.rng.IntN(6)]; !a.down {
				a.kill(sim.upTo(600 * time.Millisecond))
			}
		}},
		{"links cut one way", 2, 0, time.Second, func(sim *simulation) {
			e := sim.anyEntry()
			sim.cutOneWay(e, sim.anyAgent(), sim.rng.IntN(2) == 0, sim.upTo(3*time.Second))
		}},
		{"an entry hears nothing", 2, 0, time.Second, func(sim *simulation) {
			e := sim.anyEntry()
			for _, a := range sim.agents {
				sim.cutOneWay(e, a, false, 300*time.Millisecond)
			}
		}},
		{"agents frozen", 2, 0, time.Second, func(sim *simulation) {
			sim.anyAgent().pause(sim.upTo(4 * time.Second))
		}},
		{"entries frozen", 2, 0, 3 * time.Second, func(sim *simulation) {
			sim.anyEntry().pause(sim.upTo(3 * time.Second))
		}},
		{"an entry cut from some agents", 2, 0, 5 * time.Second, func(sim *simulation) {
			e := sim.anyEntry()
			sim.cutFrom(e, 1+sim.rng.IntN(len(sim.agents)), 500*time.Millisecond+sim.upTo(5*time.Second))
		}},
		{"witnesses replaced", 2, 0, 3 * time.Second, func(sim *simulation) { sim.replaceWitnesses() }},
		{"witnesses replaced beside any fault", 2, 0, 3 * time.Second, func(sim *simulation) {
			if sim.rng.IntN(2) == 0 {
				sim.replaceWitnesses()
				return
			}
			randomFault(sim, sim.upTo(2*time.Second))()
		}},
		{"messages of entries panic", 2, 0, time.Second, func(sim *simulation) {
			sim.anyEntry().events = 1 + sim.rng.IntN(100)
		}},
		{"messages of agents panic", 2, 0, time.Second, func(sim *simulation) {
			sim.anyAgent().events = 1 + sim.rng.IntN(100)
		}},
		{"any fault", 2, 0, 3 * time.Second, func(sim *simulation) {
			randomFault(sim, sim.upTo(2*time.Second))()
		}},
	}
	seeds := uint64(4)
	if testing.Short() {
		seeds = 2
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				sim := newSimulation(t, 900+seed, 3, 9, workerCPU)
				sim.copies(6*time.Second, tt.copies, between(sim, tt.from, tt.to))
				if tt.fault != nil {
					for range 20 {
						sim.schedule(sim.upTo(6*time.Second), func() { tt.fault(sim) })
					}
				}
				sim.run(16 * time.Second)
				s := sim.summary()
				t.Logf("seed %d: %+v, %d locks requested for %d jobs", 900+seed, s, sim.lockRequests, s.all)
				sim.check()
				require.NotZero(t, s.inTime+s.late)
				if tt.fault == nil {
					require.Empty(t, sim.rerunAfterDone, "tasks that were run again after they were done")
					require.Zero(t, s.failed+s.unanswered, fmt.Sprintf("seed %d", 900+seed))
				}
			}
		})
	}
}
