package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

// patience is how long callers wait in the simulations of this file, so that it is not
// their leaving that ends a series of crashes.
const patience = 20 * time.Second

// submitPatiently submits a job whose caller waits for patience. If crashAfter is
// positive, one of its tasks crashes each worker that starts it.
func (sim *simulation) submitPatiently(e *simEntry, k jobKind, crashAfter time.Duration) string {
	id := sim.submit(e, k)
	if crashAfter > 0 {
		sim.makeDeadly(id, crashAfter)
	}
	return id
}

// loadWithCrashes submits jobs of all kinds for a span, and every gap one with a task
// that crashes its workers.
func (sim *simulation) loadWithCrashes(span time.Duration, factor float64, gap time.Duration) {
	sim.patience = patience
	sim.resendUnsettled = true
	sim.load(span, factor)
	for at := time.Second; at < span; at += gap {
		k := jobKinds[sim.rng.IntN(len(jobKinds))]
		crashAfter := time.Duration(1 + sim.rng.Int64N(int64(k.work/2)))
		sim.schedule(at, func() { sim.submitPatiently(sim.anyEntry(), k, crashAfter) })
	}
}

func TestTaskThatCrashesItsWorkersIsNotStartedOnOneAfterAnother(t *testing.T) {
	tests := []struct {
		name string
		// gap is the time between two faults.
		gap   time.Duration
		fault func(sim *simulation)
	}{
		{"nothing else fails", time.Second, func(*simulation) {}},
		{"entries die", 700 * time.Millisecond, func(sim *simulation) {
			if e := sim.anyEntry(); !e.down {
				e.kill(500 * time.Millisecond)
			}
		}},
		{"agents die", 300 * time.Millisecond, func(sim *simulation) {
			if a := sim.anyAgent(); !a.down {
				a.kill(500 * time.Millisecond)
			}
		}},
		{"agents die with their workers", time.Minute, func(sim *simulation) {}},
		{"callers disconnect unnoticed and send again", 150 * time.Millisecond, func(sim *simulation) {
			misleadingSignals[5].trigger(sim)
		}},
		{"links break", 50 * time.Millisecond, func(sim *simulation) { misleadingSignals[3].trigger(sim) }},
		{"anything fails", 400 * time.Millisecond, func(sim *simulation) { randomFault(sim, time.Second)() }},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", tt.name, 900+seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, 900+seed, 3, 11, workerCPU)
				sim.agentsDieToo = strings.Contains(tt.name, "with their workers")
				sim.loadWithCrashes(10*time.Second, 0.5, time.Second)
				for at := time.Second; at < 20*time.Second; at += tt.gap {
					sim.schedule(at, func() { tt.fault(sim) })
				}
				sim.run(34 * time.Second)
				sim.check()
				t.Logf("%+v, %d crashes of workers", sim.summary(), sim.workerCrashes)
				require.Empty(t, sim.seriesTooLong())
				require.Empty(t, sim.givenUpTooSoon())
			})
		}
	}
}

func TestJobWithATaskThatCrashesItsWorkersIsAnsweredAsFailed(t *testing.T) {
	sim := newSimulation(t, 910, 3, 11, workerCPU)
	sim.patience = patience
	sim.load(5*time.Second, 0.5)
	var id string
	sim.schedule(time.Second, func() { id = sim.submitPatiently(sim.entries[0], jobKinds[0], usualCrashAfter) })
	sim.run(7 * time.Second)
	require.True(t, sim.results[id].answered, "its caller waits on")
	require.Equal(t, scheduler.JobFailed, sim.results[id].answer.Outcome)
	require.LessOrEqual(t, sim.workerCrashes, crashBudget)
	require.Empty(t, sim.failedInnocents())
	// Sent again to an entry that has not had it, it starts no new series.
	crashes := sim.workerCrashes
	for _, e := range sim.entries {
		sim.send(e, sim.results[id].job)
	}
	sim.run(5 * time.Second)
	require.LessOrEqual(t, sim.workerCrashes, crashes)
}

func TestOtherKindsAreServedWhileTasksOfOneKindCrashTheirWorkers(t *testing.T) {
	const (
		span = 14 * time.Second
		// deadlyShare is the share of the jobs of the kind with a task that crashes its
		// workers, between deadlyFrom and deadlyUntil.
		deadlyShare = 0.1
		deadlyFrom  = 2 * time.Second
		deadlyUntil = 12 * time.Second
		// minInTime is the least share of each other kind that its callers accept in
		// time on a bad day.
		minInTime = 0.5
	)
	for kind := range jobKinds {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("kind %d, seed %d", kind, 920+seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, 920+seed, 3, 11, 32_000)
				sim.load(span, 1)
				sim.deadlyJob = func(k jobKind) bool {
					now := sim.clock.Since(sim.startedAt)
					return k == jobKinds[kind] && now >= deadlyFrom && now < deadlyUntil && sim.rng.Float64() < deadlyShare
				}
				sim.run(span + 4*time.Second)
				sim.check()
				shares := sim.inTimeShares()
				t.Logf("%+v, %d crashes of workers, in time by kind: %.2f", sim.summary(), sim.workerCrashes, shares)
				for k, share := range shares {
					if k != kind {
						require.GreaterOrEqual(t, share, minInTime, "kind %d", k)
					}
				}
				require.Empty(t, sim.failedInnocents())
			})
		}
	}
}

func TestNoJobIsGivenUpBecauseWorkersCrashForAnotherReason(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", 940+seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 940+seed, 3, 11, workerCPU)
			sim.load(12*time.Second, 0.6)
			// The tasks of one crash have just been placed again when the next one comes.
			for at := time.Second; at < 11*time.Second; at += 800 * time.Millisecond {
				sim.schedule(at, func() { sim.anyAgent().worker.crash() })
			}
			sim.run(16 * time.Second)
			sim.check()
			t.Logf("%+v, %d crashes of workers", sim.summary(), sim.workerCrashes)
			require.Empty(t, sim.failedInnocents())
		})
	}
}
