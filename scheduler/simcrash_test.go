package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// crashBudget is the number of workers that have crashed under a task from which its
	// starts are counted, and maxLateStarts the most starts after that: with a third one
	// the rule BUDGET of the users' pages is broken.
	crashBudget   = 3
	maxLateStarts = 2
	// crashesToGiveUp is the number of workers that must have crashed under a task for it
	// to be given up, by the same pages.
	crashesToGiveUp = 2
	// minDowntime and maxDowntime bound the time until a crashed worker is back.
	minDowntime = 3 * time.Second
	maxDowntime = 3400 * time.Millisecond
	// usualCrashAfter is how long after its start a deadly task crashes its worker.
	usualCrashAfter = 8 * time.Millisecond
)

// crashWith crashes the worker if the run is still active there.
func (w *simWorker) crashWith(r *simRun) {
	if w.running[r.run.Task] == r {
		w.crash()
	}
}

// crash ends the worker with all its runs. A new incarnation with another ID follows.
func (w *simWorker) crash() {
	if w.down {
		return
	}
	w.announced = w.upstream
	w.down = true
	w.sim.workerCrashes++
	for _, r := range w.sortedRuns() {
		w.sim.crashes[r.run.Task]++
	}
	if a := w.agent(); w.sim.agentsDieToo && !a.down && w.sim.rng.IntN(2) == 0 {
		a.kill(500 * time.Millisecond)
	}
	w.restart()
	w.upstream.ID = fmt.Sprintf("worker-%s-%d", w.name, w.upstream.Born)
	downtime := minDowntime + w.sim.upTo(maxDowntime-minDowntime)
	w.sim.schedule(downtime, func() {
		w.down = false
		a := w.agent()
		a.do(func() { a.core.SetUpstream(w.upstream) })
	})
}

// agent returns the agent of the worker.
func (w *simWorker) agent() *simAgent {
	return w.sim.agents[slices.IndexFunc(w.sim.agents, func(a *simAgent) bool { return a.worker == w })]
}

// registered returns the worker as its agent has registered it: with the capacity that it
// had first, unless the agent registers changes.
func (w *simWorker) registered() messenger.Upstream {
	u := w.upstream
	if w.down {
		u = w.announced
	}
	if len(w.capacities) > 0 {
		u.Capacity = w.capacities[0].Resources
	}
	return u
}

// makeDeadly makes one task of a job crash each worker that starts it.
func (sim *simulation) makeDeadly(id string, crashAfter time.Duration) {
	name := id + ".0.0.0"
	t := sim.tasks[name]
	t.crashAfter = crashAfter
	sim.tasks[name] = t
}

// deadly reports whether a task of a job crashes its workers.
func (sim *simulation) deadly(id string) bool { return sim.tasks[id+".0.0.0"].crashAfter > 0 }

// seriesTooLong lists the tasks that crash their workers and that were started more than
// maxLateStarts times after the third crash.
func (sim *simulation) seriesTooLong() []string {
	var out []string
	for task, n := range sim.lateStarts {
		id, _, _ := strings.Cut(task, ".")
		if sim.deadly(id) && n > maxLateStarts {
			out = append(out, fmt.Sprintf("%s: %d crashes, %d starts after the third", task, sim.crashes[task], n))
		}
	}
	return out
}

// givenUpTooSoon lists the jobs that were answered as failed although fewer workers than
// the users' pages ask for have crashed under each of their tasks.
func (sim *simulation) givenUpTooSoon() []string {
	var out []string
	for id, r := range sim.results {
		if !r.answered || r.answer.Outcome != scheduler.JobFailed {
			continue
		}
		crashes := 0
		for i := range r.job.Steps[0].Count {
			crashes = max(crashes, sim.crashes[fmt.Sprintf("%s.0.0.%d", id, i)])
		}
		if crashes < crashesToGiveUp {
			out = append(out, fmt.Sprintf("%s: %s; it was %d", id, r.answer.Why, crashes))
		}
	}
	return out
}

// failedInnocents lists the jobs that were answered as failed although all of their tasks
// could be done.
func (sim *simulation) failedInnocents() []string {
	var out []string
	for id, r := range sim.results {
		if r.answered && r.answer.Outcome == scheduler.JobFailed && !sim.deadly(id) {
			out = append(out, id+": "+r.answer.Why)
		}
	}
	return out
}
