package receiver

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/courier"
)

// TestMain makes the property tests draw the same cases in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// referenceModel is the simplest possible dispatcher: one process that never fails and
// keeps all state.
type referenceModel struct {
	// tasks holds the number of tasks of the first body of each key.
	tasks map[string]int
}

// submit returns the state that a submission has to end with.
func (m *referenceModel) submit(key string, tasks int) courier.State {
	first, ok := m.tasks[key]
	if !ok {
		m.tasks[key] = tasks
		return courier.Complete
	}
	if first != tasks {
		return courier.Conflict
	}
	return courier.Complete
}

// TestAnswersMatchTheReferenceModel submits the same random jobs, with resubmissions and
// other bodies under used keys, to the reference model and to a simulation in which
// processes are paused and links lose messages. A key is reused only after its last
// submission has been answered: the order of two bodies in flight is undefined, and
// TestKeysAreLinearisable covers that case.
func TestAnswersMatchTheReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"), 3, 3, 3)
		model := &referenceModel{tasks: make(map[string]int)}
		var expected []courier.State
		last := make(map[string]*caller)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			key := fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(t, "key"))
			tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
			sim.runUntilAnswered(last[key])
			_, used := model.tasks[key]
			expected = append(expected, model.submit(key, tasks))
			c := sim.newCaller(key, rapid.IntRange(0, 2).Draw(t, "entry"), tasks)
			if used {
				c.submission.Attempt = 2
			}
			c.send()
			last[key] = c
			sim.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			sim.injectHarmlessFault(rapid.IntRange(0, 5).Draw(t, "fault"), rapid.IntRange(0, 2).Draw(t, "target"))
		}
		sim.run(40 * time.Second)
		require.Empty(t, sim.violations)
		for i, c := range sim.callers {
			require.Equal(t, expected[i], c.last().State, "step %d: %+v", i, c.last())
		}
	})
}

// runUntilAnswered runs the simulation until a caller has its answer, for 10 s at most.
func (sim *simulation) runUntilAnswered(c *caller) {
	for range 100 {
		if c == nil || len(c.answers) > 0 {
			return
		}
		sim.run(100 * time.Millisecond)
	}
}

// newCaller returns a caller that has not sent its job yet. All jobs of a simulation have
// the same deadline, since the deadline is part of the body.
func (sim *simulation) newCaller(key string, entry, tasks int) *caller {
	c := &caller{sim: sim, entry: entry, submission: courier.Submission{
		Team: "team", Key: key, Service: "quote", Attempt: 1, Detached: true,
		Deadline: time.Date(2026, 1, 1, 0, 0, 55, 0, time.UTC),
	}}
	for range tasks {
		c.submission.Tasks = append(c.submission.Tasks, courier.Task{Payload: payload(150)})
	}
	sim.callers = append(sim.callers, c)
	return c
}

// injectHarmlessFault injects one of the faults under which no job may be lost. Values of
// fault without a case inject none.
func (sim *simulation) injectHarmlessFault(fault, target int) {
	e, a := sim.entries[target].proc, sim.agents[target].proc
	switch fault {
	case 0:
		sim.pause(e, 3*time.Second)
	case 1:
		sim.pause(a, 3*time.Second)
	case 2:
		sim.dropMessages(e, a, true, true)
	case 3:
		sim.dropMessages(sim.entries[(target+1)%3].proc, e, true, false)
	}
}

// keyInput is the input of an operation on the model: the submission of a body under
// the key.
type keyInput struct{ body int }

// keyOutput is the output of an operation: the state in the answer.
type keyOutput struct{ state courier.State }

// keyModel is the model of a key: the first body that takes the key keeps it. After an
// answer Failed, the body may or may not have taken the key; after NotRun it has not.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		holder, body := state.(int), input.(keyInput).body
		switch output.(keyOutput).state {
		case courier.Complete:
			if holder == 0 || holder == body {
				return []any{body}
			}
		case courier.Conflict:
			if holder != 0 && holder != body {
				return []any{holder}
			}
		case courier.Failed:
			if holder == 0 {
				return []any{0, body}
			}
			return []any{holder}
		case courier.NotRun:
			return []any{holder}
		}
		return nil
	},
}

// TestKeysAreLinearisable submits two bodies under one key concurrently through all
// entries while a fault is injected, such as an entry that is killed, paused or restarted,
// and checks that the answers are linearisable.
func TestKeysAreLinearisable(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 3, 3, 3)
			rng := rand.New(rand.NewPCG(seed, 3))
			sim.injectAt(scheduledFault{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(10), faults[rng.IntN(10)]})
			submittedAt := raceBodies(sim, rng)
			sim.run(50 * time.Second)
			require.Empty(t, sim.violations)
			var history []porcupine.Operation
			for i, c := range sim.callers {
				if len(c.answers) == 0 {
					continue
				}
				history = append(history, porcupine.Operation{
					ClientId: i,
					Input:    keyInput{body: len(c.submission.Tasks)},
					Call:     submittedAt[i].UnixNano(),
					Output:   keyOutput{state: c.last().State},
					Return:   c.answers[len(c.answers)-1].at.UnixNano(),
				})
			}
			require.True(t, porcupine.CheckOperations(keyModel.ToModel(), history), "%+v", history)
		})
	}
}

// raceBodies submits two bodies under one key several times, and returns the times of the
// submissions.
func raceBodies(sim *simulation, rng *rand.Rand) []time.Time {
	var submittedAt []time.Time
	for i := range 8 {
		c := sim.newCaller("key", i, 1+rng.IntN(2)*4)
		if i > 0 {
			c.submission.Attempt = 2
		}
		submittedAt = append(submittedAt, sim.clock.Now())
		c.send()
		sim.run(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	return submittedAt
}

// TestSimulationsAreRepeatable runs the same faults twice and compares the histories: a
// failure has to be reproducible from its seed.
func TestSimulationsAreRepeatable(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 4))
		scheduled := []scheduledFault{
			{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(9), faults[rng.IntN(len(faults))]},
			{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(9), faults[rng.IntN(len(faults))]},
		}
		history := func() string {
			sim := runFaultSimulation(t, seed, scheduled...)
			out := ""
			for _, s := range sim.startLog {
				out += fmt.Sprintln(s.at, s.task, s.agent.id.Incarnation)
			}
			for _, c := range sim.callers {
				out += fmt.Sprintln(c.answers)
			}
			return out
		}
		require.Equal(t, history(), history(), "seed %d", seed)
	}
}
