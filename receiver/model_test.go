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

// TestMain makes the property tests draw the same cases every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// referenceModel is the simplest dispatcher there is: one process that never fails and
// remembers everything.
type referenceModel struct {
	// tasks holds the number of tasks of each key's first body.
	tasks map[string]int
}

// submit returns the state that a submission has to end in.
func (n *referenceModel) submit(key string, tasks int) courier.State {
	first, ok := n.tasks[key]
	if !ok {
		n.tasks[key] = tasks
		return courier.Complete
	}
	if first != tasks {
		return courier.Conflict
	}
	return courier.Complete
}

// TestAnswersMatchTheReferenceModel submits the same random jobs, with
// resubmissions and other bodies under used keys, to the naive version and to
// a world in which processes freeze and links go silent. A key is used again
// only when its last answer is there: which of two bodies in flight comes
// first is open, and TestKeysAreLinearisable judges that.
func TestAnswersMatchTheReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"), 3, 3, 3)
		model := &referenceModel{tasks: make(map[string]int)}
		var wanted []courier.State
		last := make(map[string]*caller)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			key := fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(t, "key"))
			tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
			w.runUntilAnswered(last[key])
			_, used := model.tasks[key]
			wanted = append(wanted, model.submit(key, tasks))
			c := w.newCaller(key, rapid.IntRange(0, 2).Draw(t, "entry"), tasks)
			if used {
				c.sub.Attempt = 2
			}
			c.send()
			last[key] = c
			w.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			w.injectHarmlessFault(rapid.IntRange(0, 5).Draw(t, "fault"), rapid.IntRange(0, 2).Draw(t, "target"))
		}
		w.run(40 * time.Second)
		require.Empty(t, w.violations)
		for i, c := range w.callers {
			require.Equal(t, wanted[i], c.last().State, "step %d: %+v", i, c.last())
		}
	})
}

// runUntilAnswered lets the world go on until a caller has its answer.
func (w *simulation) runUntilAnswered(c *caller) {
	for range 100 {
		if c == nil || len(c.answers) > 0 {
			return
		}
		w.run(100 * time.Millisecond)
	}
}

// newCaller returns a caller that has not sent its job yet. All jobs of a world
// have the same deadline, since a body includes it.
func (w *simulation) newCaller(key string, entry, tasks int) *caller {
	c := &caller{world: w, entry: entry, sub: courier.Submission{
		Team: "team", Key: key, Service: "quote", Attempt: 1, Detached: true,
		Deadline: time.Date(2026, 1, 1, 0, 0, 55, 0, time.UTC),
	}}
	for range tasks {
		c.sub.Tasks = append(c.sub.Tasks, courier.Task{Payload: payload(150)})
	}
	w.callers = append(w.callers, c)
	return c
}

// injectHarmlessFault strikes one of the faults that lose nothing.
func (w *simulation) injectHarmlessFault(fault, target int) {
	e, a := w.entries[target].proc, w.agents[target].proc
	switch fault {
	case 0:
		w.pause(e, 3*time.Second)
	case 1:
		w.pause(a, 3*time.Second)
	case 2:
		w.dropMessages(e, a, true, true)
	case 3:
		w.dropMessages(w.entries[(target+1)%3].proc, e, true, false)
	}
}

// registerInput is a submission of a body under one key.
type registerInput struct{ body int }

// registerOutput is its answer.
type registerOutput struct{ state courier.State }

// keyModel says that the first body under a key wins for good. An answer
// Failed leaves open whether its body took the key; NotRun says it did not.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		owner, body := state.(int), input.(registerInput).body
		switch output.(registerOutput).state {
		case courier.Complete:
			if owner == 0 || owner == body {
				return []any{body}
			}
		case courier.Conflict:
			if owner != 0 && owner != body {
				return []any{owner}
			}
		case courier.Failed:
			if owner == 0 {
				return []any{0, body}
			}
			return []any{owner}
		case courier.NotRun:
			return []any{owner}
		}
		return nil
	},
}

// TestKeysAreLinearisable races two bodies under one key through all entries,
// while entries are killed, frozen and replaced.
func TestKeysAreLinearisable(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, 3, 3, 3)
			rng := rand.New(rand.NewPCG(seed, 3))
			w.injectAt(scheduledFault{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(10), faults[rng.IntN(10)]})
			called := raceBodies(w, rng)
			w.run(50 * time.Second)
			require.Empty(t, w.violations)
			var history []porcupine.Operation
			for i, c := range w.callers {
				if len(c.answers) == 0 {
					continue
				}
				history = append(history, porcupine.Operation{
					ClientId: i,
					Input:    registerInput{body: len(c.sub.Tasks)},
					Call:     called[i].UnixNano(),
					Output:   registerOutput{state: c.last().State},
					Return:   c.answers[len(c.answers)-1].at.UnixNano(),
				})
			}
			require.True(t, porcupine.CheckOperations(keyModel.ToModel(), history), "%+v", history)
		})
	}
}

// raceBodies submits two bodies under one key several times, and returns when.
func raceBodies(w *simulation, rng *rand.Rand) []time.Time {
	var called []time.Time
	for i := range 8 {
		c := w.newCaller("key", i, 1+rng.IntN(2)*4)
		if i > 0 {
			c.sub.Attempt = 2
		}
		called = append(called, w.clock.Now())
		c.send()
		w.run(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	return called
}

// TestSimulationsAreRepeatable runs the same faults twice: a failure that was seen
// once has to be seen again from its seed.
func TestSimulationsAreRepeatable(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 4))
		strikes := []scheduledFault{
			{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(9), faults[rng.IntN(len(faults))]},
			{faultSteps[rng.IntN(len(faultSteps))], 1 + rng.IntN(9), faults[rng.IntN(len(faults))]},
		}
		history := func() string {
			w := runFaultSimulation(t, seed, strikes...)
			out := ""
			for _, s := range w.startLog {
				out += fmt.Sprintln(s.at, s.task, s.agent.id.Incarnation)
			}
			for _, c := range w.callers {
				out += fmt.Sprintln(c.answers)
			}
			return out
		}
		require.Equal(t, history(), history(), "seed %d", seed)
	}
}
