package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// drawKind draws a kind of job, the number of its tasks and their CPU demand.
func drawKind(t *rapid.T) jobKind {
	k := rapid.SampledFrom(jobKinds).Draw(t, "kind")
	k.tasks = rapid.IntRange(1, k.tasks).Draw(t, "tasks")
	k.cpu = rapid.SampledFrom([]int{3100, 9300}).Draw(t, "cpu")
	return k
}

// TestNoJobWaitsTooLateAndNoneIsRefusedWhileCapacityIsFree guards against jobs that are
// kept waiting when it is known that they cannot be in time, and against refusals on
// arrival while a synced agent has free capacity for a task, whether nothing waits or
// only jobs too large for that capacity.
func TestNoJobWaitsTooLateAndNoneIsRefusedWhileCapacityIsFree(t *testing.T) {
	const (
		tick  = 10 * time.Millisecond
		steps = 150
		// maxAge is less than the maximum age of a report by which tasks are placed.
		maxAge = 200 * time.Millisecond
	)
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		f.connect("a")
		jobs := make(map[string]scheduler.Job)
		arrivedAt := make(map[string]time.Time)
		free := newReport("a", 0).Free
		ackedPlace, reportedAt := uint64(0), f.clock.Now()
		for n := range steps {
			f.clock.Advance(tick)
			if rapid.Bool().Draw(rt, "report") {
				r := newReport("a", ackedPlace)
				free = messenger.Resources{CPU: 3100 * rapid.IntRange(0, 4).Draw(rt, "slots"), Memory: 64_000}
				r.Free = free
				f.s.HandleReport(r)
				reportedAt = f.clock.Now()
			}
			f.s.Tick()
			free, ackedPlace = f.applyPlacements(free, ackedPlace)
			for i := range rapid.IntRange(0, 4).Draw(rt, "arrivals") {
				k := drawKind(rt)
				id := fmt.Sprintf("%016x", 1+10*n+i)
				q := quotesQueue()
				q.Name = fmt.Sprintf("queue-%d", k.priority)
				q.Priority = k.priority
				j := scheduler.Job{
					ID: id, Queue: q, Spec: "spec",
					Deadline: f.clock.Now().Add(rapid.SampledFrom([]time.Duration{1500 * time.Millisecond, k.work}).Draw(rt, "deadline")),
					Steps:    []scheduler.Step{{Count: k.tasks, Demand: messenger.Resources{CPU: k.cpu}, Estimate: k.work}},
				}
				jobs[id], arrivedAt[id] = j, f.clock.Now()
				fits := j.Steps[0].Demand.FitsIn(free) && f.clock.Since(reportedAt) <= maxAge
				ticket := uint64(1 + 10*n + i)
				f.s.Submit(ticket, j)
				free, ackedPlace = f.applyPlacements(free, ackedPlace)
				if a := f.replies[ticket]; fits && a.Refusal.Point == scheduler.AtOnce {
					rt.Fatalf("refused while capacity is free: %+v", a)
				}
			}
			f.requireNoneTooLate(rt, jobs, arrivedAt)
		}
	})
}

// applyPlacements takes the effects and returns the capacity that is free after the
// tasks in them are placed, and the number of the last placement.
func (f *fixture) applyPlacements(free messenger.Resources, lastPlace uint64) (messenger.Resources, uint64) {
	for _, m := range f.takeEffects() {
		p, ok := m.(messenger.Place)
		if !ok {
			continue
		}
		for _, t := range p.Tasks {
			free = free.Minus(t.Demand)
		}
		lastPlace = max(lastPlace, p.Number)
	}
	return free, lastPlace
}

// requireNoneTooLate requires, after a tick, that every waiting job can still meet its
// objective and, if the work is overestimated by estimateError, its caller's deadline.
func (f *fixture) requireNoneTooLate(t *rapid.T, jobs map[string]scheduler.Job, arrivedAt map[string]time.Time) {
	const estimateError = 0.4
	now := f.clock.Now()
	for _, w := range f.s.Dump().Waiting {
		j := jobs[w.ID]
		if w.Placed > 0 || w.Ready < j.Steps[0].Count {
			continue
		}
		work := j.Steps[0].Estimate
		objective := arrivedAt[w.ID].Add(time.Duration(j.Queue.Stretch*float64(work)) + j.Queue.Slack)
		if now.Add(work).After(objective) {
			t.Fatalf("job of %s waits past its latest start", j.Queue.Name)
		}
		if now.Add(time.Duration((1 - estimateError) * float64(work))).After(j.Deadline) {
			t.Fatalf("job of %s waits although its caller's deadline will have passed", j.Queue.Name)
		}
	}
}
