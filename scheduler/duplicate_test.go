package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxAnnounceDelay is the longest time after which a worker announces itself again.
const maxAnnounceDelay = 1500 * time.Millisecond

// announceWorker has the worker announce itself to its agent after a random time of up to
// maxAnnounceDelay.
func (a *simAgent) announceWorker() {
	a.sim.schedule(a.sim.upTo(maxAnnounceDelay), func() {
		a.do(func() { a.core.SetUpstream(a.worker.upstream) })
	})
}

// misleadingSignals are events from which an agent or an entry must not conclude that a
// run has ended.
var misleadingSignals = []struct {
	name    string
	trigger func(sim *simulation)
}{
	{"a worker is reported as departed", func(sim *simulation) {
		a := sim.anyAgent()
		a.do(func() { a.core.HandleWorkerDeparture(a.worker.upstream.ID) })
		a.announceWorker()
	}},
	{"a worker that does not exist is announced", func(sim *simulation) {
		a := sim.anyAgent()
		u := a.worker.upstream
		u.ID = "unknown-worker"
		u.Born++
		a.do(func() { a.core.SetUpstream(u) })
		a.announceWorker()
	}},
	{"a worker restarts with another ID", func(sim *simulation) {
		a := sim.anyAgent()
		a.worker.restart()
		a.worker.upstream.ID = fmt.Sprintf("worker-%d", sim.rng.IntN(1<<30))
		a.announceWorker()
	}},
	{"links break", func(sim *simulation) {
		for _, a := range sim.agents {
			for _, e := range sim.entries {
				if l := a.links[e.name]; l != nil && sim.rng.IntN(2) == 0 {
					l.close()
				}
			}
		}
	}},
	{"callers disconnect and send their jobs again at once", func(sim *simulation) {
		e := sim.anyEntry()
		var tickets []uint64
		for ticket := range e.tickets {
			tickets = append(tickets, ticket)
		}
		slices.Sort(tickets)
		for _, ticket := range tickets {
			id, waits := e.tickets[ticket]
			if !waits || e.disconnected[ticket] {
				continue // Answered when an earlier caller left, or its caller has disconnected.
			}
			job := sim.results[id].job
			// A paused entry learns of it later, but the caller disconnects at once.
			e.disconnected[ticket] = true
			e.do(func() {
				delete(e.tickets, ticket)
				e.core.CallerLeft(ticket)
				e.lastTicket++
				e.tickets[e.lastTicket] = job.ID
				e.core.Submit(e.lastTicket, job)
			})
		}
	}},
	{"callers' connections break without their entry noticing", func(sim *simulation) {
		e := sim.anyEntry()
		for _, ticket := range slices.Sorted(maps.Keys(e.tickets)) {
			e.disconnectUnnoticed(ticket)
		}
	}},
	{"an agent restarts while its worker does not answer", func(sim *simulation) {
		a := sim.anyAgent()
		a.worker.unresponsiveUntil = sim.clock.Now().Add(400 * time.Millisecond)
		if !a.down {
			a.kill(5 * time.Millisecond)
		}
	}},
}

func TestNoTaskThatIsDoneRunsAgainWhenLinksBreak(t *testing.T) {
	for seed := range uint64(4) {
		sim := newSimulation(t, 340+seed, 3, 7, workerCPU)
		sim.load(6*time.Second, 0.6)
		sim.every(50*time.Millisecond, func() {
			a := sim.anyAgent()
			if l := a.links[sim.anyEntry().name]; l != nil {
				l.close()
			}
		})
		sim.run(12 * time.Second)
		sim.check()
		require.Empty(t, sim.rerunAfterDone, "tasks that were run again after they were done")
		t.Logf("%+v", sim.summary())
	}
}

func TestNoTaskRunsTwiceAtOnceDespiteMisleadingSignals(t *testing.T) {
	for _, signal := range misleadingSignals {
		t.Run(signal.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				sim := newSimulation(t, 300+seed, 3, 7, workerCPU)
				sim.load(6*time.Second, 0.6)
				for range 30 {
					sim.schedule(sim.upTo(6*time.Second), func() { signal.trigger(sim) })
				}
				sim.run(12 * time.Second)
				sim.check()
				s := sim.summary()
				t.Logf("%+v", s)
				require.Greater(t, s.inTime, s.all/2)
			}
		})
	}
	t.Run("all signals and faults", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(8) {
			sim := newSimulation(t, 320+seed, 3, 7, workerCPU)
			sim.load(8*time.Second, 0.6)
			for range 30 {
				at := sim.upTo(8 * time.Second)
				sim.schedule(at, func() { misleadingSignals[sim.rng.IntN(len(misleadingSignals))].trigger(sim) })
			}
			for range 8 {
				at := sim.upTo(8 * time.Second)
				sim.schedule(at, randomFault(sim, 200*time.Millisecond+sim.upTo(2*time.Second)))
			}
			sim.run(16 * time.Second)
			sim.check()
			t.Logf("%+v", sim.summary())
		}
	})
}
