package receiver

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
)

// faultPairs is the number of pairs of faults to strike, from seed 0.
var faultPairs = flag.Uint64("pairs", 400, "pairs of faults to strike")

// faultSteps are the steps of a request at which a fault strikes: the entry takes
// it, a message of a type is sent, or a task begins to run.
var faultSteps = []string{
	"accept", "Relay", "Start", "run", "Demand", "Offer", "Finished", "Acked", "RelayReply",
	"Announce", "AnnounceReply", "PeerHello",
}

// fault is a fault between the two processes of a step.
type fault struct {
	name   string
	inject func(w *simulation, from, to *process)
	// harmless means that every job still has to complete.
	harmless bool
}

var faults = []fault{
	{"kill sender", func(w *simulation, from, _ *process) { w.kill(from) }, false},
	{"kill receiver", func(w *simulation, _, to *process) { w.kill(to) }, false},
	{"restart sender", func(w *simulation, from, _ *process) { w.restartProcess(from) }, false},
	{"restart receiver", func(w *simulation, _, to *process) { w.restartProcess(to) }, false},
	{"freeze sender", func(w *simulation, from, _ *process) { w.pause(from, 8*time.Second) }, true},
	{"freeze receiver", func(w *simulation, _, to *process) { w.pause(to, 8*time.Second) }, true},
	{"freeze short", func(w *simulation, _, to *process) { w.pause(to, 1200*time.Millisecond) }, true},
	{"silent one way", func(w *simulation, from, to *process) { w.dropMessages(from, to, true, false) }, true},
	{"silent other way", func(w *simulation, from, to *process) { w.dropMessages(from, to, false, true) }, true},
	{"silent both ways", func(w *simulation, from, to *process) { w.dropMessages(from, to, true, true) }, true},
	{"cut off for 8 s", func(w *simulation, from, to *process) { w.disconnect(from, to, 8*time.Second) }, true},
	{"isolate sender", func(w *simulation, from, _ *process) { w.isolate(from, 8*time.Second) }, true},
	{"isolate receiver", func(w *simulation, _, to *process) { w.isolate(to, 8*time.Second) }, true},
	{"late", func(w *simulation, from, to *process) { w.delayMessages(from, to, 900*time.Millisecond) }, true},
	{"very late", func(w *simulation, from, to *process) { w.delayMessages(from, to, 4*time.Second) }, true},
	{"doubled", func(w *simulation, from, to *process) { w.duplicateMessages(from, to) }, true},
	{"store down", func(w *simulation, _, _ *process) { w.store.down = true }, true},
	{"store cut from sender", func(w *simulation, from, _ *process) { w.store.unreachableFrom[from.name] = true }, true},
	{"stop as planned", func(w *simulation, from, to *process) { w.drainProcesses(from, to) }, true},
	{"upstream leaves", func(w *simulation, from, to *process) { w.eachAgent(from, to, (*simAgent).announceLeaving) }, true},
	{"upstream dies", func(w *simulation, from, to *process) {
		w.eachAgent(from, to, func(a *simAgent) { a.upstreamDead = true })
	}, false},
	{"upstream fails all", func(w *simulation, from, to *process) {
		w.eachAgent(from, to, func(a *simAgent) { a.failAll = true })
	}, false},
	{"new entry", func(w *simulation, _, _ *process) { w.addEntry(fmt.Sprintf("entry-%d", len(w.entries)+1)) }, true},
	{"resubmission", func(w *simulation, _, _ *process) {
		for _, c := range w.callers {
			w.after(0, c.resubmit)
		}
	}, false},
}

func (w *simulation) restartProcess(p *process) {
	for _, a := range w.agents {
		if a.proc == p {
			a.restart(len(w.agents))
			return
		}
	}
	w.kill(p)
	w.after(500*time.Millisecond, func() { w.addEntry(p.name) })
}

func (w *simulation) eachConn(from, to *process, f func(near, far *simConnEnd)) {
	for _, x := range w.conns {
		switch {
		case x.a.owner == from && x.b.owner == to:
			f(x.a, x.b)
		case x.b.owner == from && x.a.owner == to:
			f(x.b, x.a)
		}
	}
}

func (w *simulation) dropMessages(from, to *process, there, back bool) {
	w.eachConn(from, to, func(near, far *simConnEnd) {
		near.dropSent = near.dropSent || there
		far.dropSent = far.dropSent || back
	})
}

func (w *simulation) delayMessages(from, to *process, d time.Duration) {
	w.eachConn(from, to, func(near, _ *simConnEnd) { near.sendDelay = d })
}

func (w *simulation) duplicateMessages(from, to *process) {
	w.eachConn(from, to, func(near, _ *simConnEnd) { near.duplicateSent = true })
}

func (w *simulation) disconnect(from, to *process, d time.Duration) {
	pairs := [][2]string{{from.name, to.name}, {to.name, from.name}}
	for _, p := range pairs {
		w.blocked[p] = true
	}
	w.after(d, func() {
		for _, p := range pairs {
			delete(w.blocked, p)
		}
	})
}

// isolate cuts an entry off from the other entries and the store.
func (w *simulation) isolate(p *process, d time.Duration) {
	w.store.unreachableFrom[p.name] = true
	for _, e := range w.entries {
		if e.proc != p {
			w.disconnect(p, e.proc, d)
		}
	}
	w.after(d, func() { delete(w.store.unreachableFrom, p.name) })
}

// drainProcesses begins a planned stop of the entries among the processes.
func (w *simulation) drainProcesses(list ...*process) {
	for _, e := range w.entries {
		for _, p := range list {
			if e.proc == p {
				w.after(0, func() { p.exec(func() { e.core.handle(drain{}) }) })
				return
			}
		}
	}
	w.eachAgent(list[0], list[0], func(a *simAgent) { a.ledger.SetDraining() })
}

func (w *simulation) eachAgent(from, to *process, f func(*simAgent)) {
	for _, a := range w.agents {
		if a.proc == from || a.proc == to {
			f(a)
		}
	}
}

// scheduledFault has f strike when a step is reached for the n-th time.
type scheduledFault struct {
	step  string
	n     int
	fault fault
}

// injectAt sets the world up so that each strike happens once.
func (w *simulation) injectAt(strikes ...scheduledFault) {
	seen := make(map[string]int)
	done := make([]bool, len(strikes))
	w.onStep = func(step string, from, to *process) {
		seen[step]++
		for i, s := range strikes {
			if !done[i] && s.step == step && seen[step] >= s.n {
				done[i] = true
				s.fault.inject(w, from, to)
			}
		}
	}
}

// runFaultSimulation runs jobs through the given faults, with resubmissions, and
// returns the world at the end.
func runFaultSimulation(t *testing.T, seed uint64, strikes ...scheduledFault) *simulation {
	w := newSimulation(t, seed, 3, 3, 2)
	w.injectAt(strikes...)
	for i := range 4 {
		w.submit(fmt.Sprintf("job-%d", i), i, 1+5*i, 150+50*i, 25*time.Second)
		w.run(40 * time.Millisecond)
	}
	for range 3 {
		w.run(4 * time.Second)
		for _, c := range w.callers {
			if c.open {
				c.resubmit()
			}
		}
	}
	w.run(25 * time.Second)
	return w
}

func (w *simulation) completed() int {
	n := 0
	for _, c := range w.callers {
		if len(c.answers) > 0 && c.last().State == courier.Complete {
			n++
		}
	}
	return n
}

func TestSimulationCompletesJobs(t *testing.T) {
	w := newSimulation(t, 1, 3, 3, 4)
	for i := range 9 {
		w.submit(fmt.Sprintf("job-%d", i), i, 1+i*3, 100, 20*time.Second)
	}
	w.run(20 * time.Second)
	w.check()
	for _, c := range w.callers {
		require.Equal(t, courier.Complete, c.last().State, "%s: %+v", c.sub.JobID(), c.last())
	}
}

// TestFaultMatrix strikes every fault at every step.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		var done, all atomic.Int64
		t.Run(f.name, func(t *testing.T) {
			for _, step := range faultSteps {
				for n := 1; n <= 9; n += 4 {
					t.Run(fmt.Sprintf("%s %d", step, n), func(t *testing.T) {
						t.Parallel()
						w := runFaultSimulation(t, uint64(n), scheduledFault{step, n, f})
						w.check()
						for _, c := range w.callers {
							if f.harmless {
								require.Equal(t, courier.Complete, c.last().State, "%+v", c.last())
							}
						}
						done.Add(int64(w.completed()))
						all.Add(int64(len(w.callers)))
					})
				}
			}
		})
		t.Logf("%s: %d of %d jobs complete", f.name, done.Load(), all.Load())
	}
}

// TestFaultPairs strikes pairs of faults, chosen by seed.
func TestFaultPairs(t *testing.T) {
	for seed := range *faultPairs {
		rng := rand.New(rand.NewPCG(seed, 2))
		var strikes []scheduledFault
		name := fmt.Sprintf("seed %d", seed)
		for range 2 {
			s := scheduledFault{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(20), faults[rng.IntN(len(faults))]}
			strikes = append(strikes, s)
			name += fmt.Sprintf(", %s at %s %d", s.fault.name, s.step, s.n)
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFaultSimulation(t, seed, strikes...).check()
		})
	}
}
