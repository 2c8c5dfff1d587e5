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

// faultPairs is the number of pairs of faults to inject; their seeds count from 0.
var faultPairs = flag.Uint64("pairs", 400, "pairs of faults to inject")

// faultSteps are the steps of a request at which a fault is injected: the entry accepts
// the request, a message of a type is sent, or a task begins to run.
var faultSteps = []string{
	"accept", "Relay", "Start", "run", "Demand", "Offer", "Finished", "Acked", "RelayReply",
	"Announce", "AnnounceReply", "PeerHello",
}

// fault is a fault that affects the two processes of a step or the connection between
// them.
type fault struct {
	name   string
	inject func(sim *simulation, from, to *process)
	// harmless means that every job has to complete in spite of the fault.
	harmless bool
}

var faults = []fault{
	{"kill sender", func(sim *simulation, from, _ *process) { sim.kill(from) }, false},
	{"kill receiver", func(sim *simulation, _, to *process) { sim.kill(to) }, false},
	{"restart sender", func(sim *simulation, from, _ *process) { sim.restartProcess(from) }, false},
	{"restart receiver", func(sim *simulation, _, to *process) { sim.restartProcess(to) }, false},
	{"freeze sender", func(sim *simulation, from, _ *process) { sim.pause(from, 8*time.Second) }, true},
	{"freeze receiver", func(sim *simulation, _, to *process) { sim.pause(to, 8*time.Second) }, true},
	{"freeze short", func(sim *simulation, _, to *process) { sim.pause(to, 1200*time.Millisecond) }, true},
	{"silent one way", func(sim *simulation, from, to *process) { sim.dropMessages(from, to, true, false) }, true},
	{"silent other way", func(sim *simulation, from, to *process) { sim.dropMessages(from, to, false, true) }, true},
	{"silent both ways", func(sim *simulation, from, to *process) { sim.dropMessages(from, to, true, true) }, true},
	{"cut off for 8 s", func(sim *simulation, from, to *process) { sim.disconnect(from, to, 8*time.Second) }, true},
	{"isolate sender", func(sim *simulation, from, _ *process) { sim.isolate(from, 8*time.Second) }, true},
	{"isolate receiver", func(sim *simulation, _, to *process) { sim.isolate(to, 8*time.Second) }, true},
	{"late", func(sim *simulation, from, to *process) { sim.delayMessages(from, to, 900*time.Millisecond) }, true},
	{"very late", func(sim *simulation, from, to *process) { sim.delayMessages(from, to, 4*time.Second) }, true},
	{"doubled", func(sim *simulation, from, to *process) { sim.duplicateMessages(from, to) }, true},
	{"store down", func(sim *simulation, _, _ *process) { sim.store.down = true }, true},
	{"store cut from sender", func(sim *simulation, from, _ *process) { sim.store.unreachableFrom[from.name] = true }, true},
	{"stop as planned", func(sim *simulation, from, to *process) { sim.drainProcesses(from, to) }, true},
	{"upstream leaves", func(sim *simulation, from, to *process) { sim.eachAgent(from, to, (*simAgent).announceLeaving) }, true},
	{"upstream dies", func(sim *simulation, from, to *process) {
		sim.eachAgent(from, to, func(a *simAgent) { a.upstreamDead = true })
	}, false},
	{"upstream fails all", func(sim *simulation, from, to *process) {
		sim.eachAgent(from, to, func(a *simAgent) { a.failAll = true })
	}, false},
	{"new entry", func(sim *simulation, _, _ *process) { sim.addEntry(fmt.Sprintf("entry-%d", len(sim.entries)+1)) }, true},
	{"resubmission", func(sim *simulation, _, _ *process) {
		for _, c := range sim.callers {
			sim.after(0, c.resubmit)
		}
	}, false},
}

func (sim *simulation) restartProcess(p *process) {
	for _, a := range sim.agents {
		if a.proc == p {
			a.restart(len(sim.agents))
			return
		}
	}
	sim.kill(p)
	sim.after(500*time.Millisecond, func() { sim.addEntry(p.name) })
}

func (sim *simulation) eachConn(from, to *process, f func(near, far *simConnEnd)) {
	for _, x := range sim.conns {
		switch {
		case x.a.owner == from && x.b.owner == to:
			f(x.a, x.b)
		case x.b.owner == from && x.a.owner == to:
			f(x.b, x.a)
		}
	}
}

func (sim *simulation) dropMessages(from, to *process, there, back bool) {
	sim.eachConn(from, to, func(near, far *simConnEnd) {
		near.dropSent = near.dropSent || there
		far.dropSent = far.dropSent || back
	})
}

func (sim *simulation) delayMessages(from, to *process, d time.Duration) {
	sim.eachConn(from, to, func(near, _ *simConnEnd) { near.sendDelay = d })
}

func (sim *simulation) duplicateMessages(from, to *process) {
	sim.eachConn(from, to, func(near, _ *simConnEnd) { near.duplicateSent = true })
}

func (sim *simulation) disconnect(from, to *process, d time.Duration) {
	pairs := [][2]string{{from.name, to.name}, {to.name, from.name}}
	for _, p := range pairs {
		sim.blocked[p] = true
	}
	sim.after(d, func() {
		for _, p := range pairs {
			delete(sim.blocked, p)
		}
	})
}

// isolate disconnects an entry from the other entries and the store for d.
func (sim *simulation) isolate(p *process, d time.Duration) {
	sim.store.unreachableFrom[p.name] = true
	for _, e := range sim.entries {
		if e.proc != p {
			sim.disconnect(p, e.proc, d)
		}
	}
	sim.after(d, func() { delete(sim.store.unreachableFrom, p.name) })
}

// drainProcesses begins a planned stop of the first entry among the processes, or of the
// agent that is the first process if there is no entry.
func (sim *simulation) drainProcesses(list ...*process) {
	for _, e := range sim.entries {
		for _, p := range list {
			if e.proc == p {
				sim.after(0, func() { p.exec(func() { e.actor.handle(drain{}) }) })
				return
			}
		}
	}
	sim.eachAgent(list[0], list[0], func(a *simAgent) { a.ledger.SetDraining() })
}

func (sim *simulation) eachAgent(from, to *process, f func(*simAgent)) {
	for _, a := range sim.agents {
		if a.proc == from || a.proc == to {
			f(a)
		}
	}
}

// scheduledFault is a fault to inject when a step is reached for the n-th time.
type scheduledFault struct {
	step  string
	n     int
	fault fault
}

// injectAt makes the simulation inject each scheduled fault once, at its step.
func (sim *simulation) injectAt(scheduled ...scheduledFault) {
	seen := make(map[string]int)
	done := make([]bool, len(scheduled))
	sim.onStep = func(step string, from, to *process) {
		seen[step]++
		for i, s := range scheduled {
			if !done[i] && s.step == step && seen[step] >= s.n {
				done[i] = true
				s.fault.inject(sim, from, to)
			}
		}
	}
}

// runFaultSimulation runs jobs with resubmissions under the scheduled faults, and returns
// the simulation at its end.
func runFaultSimulation(t *testing.T, seed uint64, scheduled ...scheduledFault) *simulation {
	sim := newSimulation(t, seed, 3, 3, 2)
	sim.injectAt(scheduled...)
	for i := range 4 {
		sim.submit(fmt.Sprintf("job-%d", i), i, 1+5*i, 150+50*i, 25*time.Second)
		sim.run(40 * time.Millisecond)
	}
	for range 3 {
		sim.run(4 * time.Second)
		for _, c := range sim.callers {
			if c.open {
				c.resubmit()
			}
		}
	}
	sim.run(25 * time.Second)
	return sim
}

func (sim *simulation) completed() int {
	n := 0
	for _, c := range sim.callers {
		if len(c.answers) > 0 && c.last().State == courier.Complete {
			n++
		}
	}
	return n
}

func TestSimulationCompletesJobs(t *testing.T) {
	sim := newSimulation(t, 1, 3, 3, 4)
	for i := range 9 {
		sim.submit(fmt.Sprintf("job-%d", i), i, 1+i*3, 100, 20*time.Second)
	}
	sim.run(20 * time.Second)
	sim.check()
	for _, c := range sim.callers {
		require.Equal(t, courier.Complete, c.last().State, "%s: %+v", c.submission.JobID(), c.last())
	}
}

// TestFaultMatrix injects every fault at the first, fifth and ninth time of every step.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		var completed, total atomic.Int64
		t.Run(f.name, func(t *testing.T) {
			for _, step := range faultSteps {
				for n := 1; n <= 9; n += 4 {
					t.Run(fmt.Sprintf("%s %d", step, n), func(t *testing.T) {
						t.Parallel()
						sim := runFaultSimulation(t, uint64(n), scheduledFault{step, n, f})
						sim.check()
						for _, c := range sim.callers {
							if f.harmless {
								require.Equal(t, courier.Complete, c.last().State, "%+v", c.last())
							}
						}
						completed.Add(int64(sim.completed()))
						total.Add(int64(len(sim.callers)))
					})
				}
			}
		})
		t.Logf("%s: %d of %d jobs complete", f.name, completed.Load(), total.Load())
	}
}

// TestFaultPairs injects pairs of faults that are chosen by seed.
func TestFaultPairs(t *testing.T) {
	for seed := range *faultPairs {
		rng := rand.New(rand.NewPCG(seed, 2))
		var scheduled []scheduledFault
		name := fmt.Sprintf("seed %d", seed)
		for range 2 {
			s := scheduledFault{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(20), faults[rng.IntN(len(faults))]}
			scheduled = append(scheduled, s)
			name += fmt.Sprintf(", %s at %s %d", s.fault.name, s.step, s.n)
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFaultSimulation(t, seed, scheduled...).check()
		})
	}
}
