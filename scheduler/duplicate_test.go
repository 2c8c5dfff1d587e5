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
	a.w.schedule(time.Duration(a.w.rng.Int64N(int64(maxAnnounceDelay))), func() {
		a.do(func() { a.core.SetUpstream(a.worker.up) })
	})
}

// misleadingSignals are misleading signals: events from which an agent or an entry must not conclude
// that a run has ended.
var misleadingSignals = []struct {
	name string
	say  func(w *simulation)
}{
	{"a worker is reported as gone", func(w *simulation) {
		a := w.anyAgent()
		a.do(func() { a.core.HandleWorkerDeparture(a.worker.up.ID) })
		a.announceWorker()
	}},
	{"a worker that does not exist is announced", func(w *simulation) {
		a := w.anyAgent()
		u := a.worker.up
		u.ID = "stranger"
		u.Born++
		a.do(func() { a.core.SetUpstream(u) })
		a.announceWorker()
	}},
	{"a worker restarts with another ID", func(w *simulation) {
		a := w.anyAgent()
		a.worker.restart()
		a.worker.up.ID = fmt.Sprintf("worker-%d", w.rng.IntN(1<<30))
		a.announceWorker()
	}},
	{"links break", func(w *simulation) {
		for _, a := range w.agents {
			for _, e := range w.entries {
				if l := a.links[e.name]; l != nil && w.rng.IntN(2) == 0 {
					l.close()
				}
			}
		}
	}},
	{"callers disconnect and send their jobs again at once", func(w *simulation) {
		e := w.entries[w.rng.IntN(len(w.entries))]
		var tickets []uint64
		for ticket := range e.tickets {
			tickets = append(tickets, ticket)
		}
		slices.Sort(tickets)
		for _, ticket := range tickets {
			id, waits := e.tickets[ticket]
			if !waits || e.disconnected[ticket] {
				continue // Answered when an earlier caller left, or its caller is already gone.
			}
			job := w.results[id].job
			// A paused entry learns of it later, but the caller is gone at once.
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
	{"callers' connections break without their entry noticing", func(w *simulation) {
		e := w.entries[w.rng.IntN(len(w.entries))]
		for _, ticket := range slices.Sorted(maps.Keys(e.tickets)) {
			e.disconnectUnnoticed(ticket)
		}
	}},
	{"an agent restarts while its worker does not answer", func(w *simulation) {
		a := w.anyAgent()
		a.worker.unresponsiveUntil = w.clock.Now().Add(400 * time.Millisecond)
		if !a.down {
			a.kill(5 * time.Millisecond)
		}
	}},
}

func (w *simulation) anyAgent() *simAgent { return w.agents[w.rng.IntN(len(w.agents))] }

func TestNoTaskThatIsDoneRunsAgainWhenLinksBreak(t *testing.T) {
	for seed := range uint64(4) {
		w := newSimulation(t, 340+seed, 3, 7, cores)
		w.load(6*time.Second, 0.6)
		w.every(50*time.Millisecond, func() {
			a := w.anyAgent()
			if l := a.links[w.entries[w.rng.IntN(len(w.entries))].name]; l != nil {
				l.close()
			}
		})
		w.run(12 * time.Second)
		w.check()
		require.Empty(t, w.rerunAfterDone, "tasks that were run again after they were done")
		t.Logf("%+v", w.summary())
	}
}

func TestNoTaskRunsTwiceAtOnceDespiteMisleadingSignals(t *testing.T) {
	for _, word := range misleadingSignals {
		t.Run(word.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				w := newSimulation(t, 300+seed, 3, 7, cores)
				w.load(6*time.Second, 0.6)
				for range 30 {
					w.schedule(time.Duration(w.rng.Int64N(int64(6*time.Second))), func() { word.say(w) })
				}
				w.run(12 * time.Second)
				w.check()
				s := w.summary()
				t.Logf("%+v", s)
				require.Greater(t, s.inTime, s.all/2)
			}
		})
	}
	t.Run("all signals and faults", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(8) {
			w := newSimulation(t, 320+seed, 3, 7, cores)
			w.load(8*time.Second, 0.6)
			for range 30 {
				at := time.Duration(w.rng.Int64N(int64(8 * time.Second)))
				w.schedule(at, func() { misleadingSignals[w.rng.IntN(len(misleadingSignals))].say(w) })
			}
			for range 8 {
				at := time.Duration(w.rng.Int64N(int64(8 * time.Second)))
				w.schedule(at, fault(w, 200*time.Millisecond+time.Duration(w.rng.Int64N(int64(2*time.Second)))))
			}
			w.run(16 * time.Second)
			w.check()
			t.Logf("%+v", w.summary())
		}
	})
}
