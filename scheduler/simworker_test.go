package scheduler_test

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// simRun is a run at a simulated worker.
type simRun struct {
	run       messenger.Run
	startedAt time.Time
	// work is how long the run takes at the worker's speed.
	work   time.Duration
	fails  bool
	demand messenger.Resources
}

// simWorker is a simulated worker that follows the rules of leases, tokens and run
// numbers.
type simWorker struct {
	sim      *simulation
	name     string
	upstream messenger.Upstream
	// slowdown multiplies the work of runs that start; 0 counts as 1.
	slowdown float64
	// hangs makes runs neither progress nor end; failsAll makes them fail after 5 ms.
	hangs, failsAll bool
	// unansweredShare is the share of the starts that are not answered. About half of
	// these take effect late.
	unansweredShare float64
	// unresponsiveUntil is the time until which calls get no answer and starts take
	// effect late.
	unresponsiveUntil time.Time
	// lateStopsUntil is the time until which stops take effect two seconds late, and
	// lostAnswersUntil the one until which polls take effect but are not answered.
	lateStopsUntil, lostAnswersUntil time.Time
	// down is whether the worker has crashed and not started again yet; announced is
	// then the incarnation that its agent knows.
	down      bool
	announced messenger.Upstream
	// unguarded workers start what exceeds their capacity. capacities has what they had
	// before each change.
	unguarded  bool
	capacities []pastCapacity
	// starts counts the starts that have taken effect.
	starts        int
	running       map[string]*simRun
	highestNumber map[string]int
	ends          []executor.EndRecord
	endNumber     int64
	token         uint64
	leaseEnd      time.Time
}

func (w *simWorker) free() messenger.Resources {
	d := w.upstream.Capacity
	for _, r := range w.running {
		d = d.Minus(r.demand)
	}
	return d
}

// start handles the call to start a run and returns the call result.
func (w *simWorker) start(s executor.Start, deadline time.Time) executor.CallResult {
	now := w.sim.clock.Now()
	if s.Upstream.Born != w.upstream.Born || s.Upstream.ID != w.upstream.ID {
		return executor.Misdirected
	}
	if s.Token < w.token {
		return executor.Fenced
	}
	w.token = s.Token
	if r := w.running[s.Run.Task]; r != nil && r.run == s.Run {
		return executor.Accepted
	}
	if s.Run.Number <= w.highestNumber[s.Run.Task] {
		return executor.StaleRun
	}
	if now.After(deadline) {
		return executor.Expired
	}
	t := w.sim.tasks[s.Run.Task]
	if !t.demand.FitsIn(w.free()) {
		if !w.unguarded {
			return executor.Full
		}
		w.checkCapacity(s.Run, t.demand)
	}
	w.extendLease(deadline)
	w.sim.runStarted(w, s.Run)
	w.starts++
	work := t.work
	if w.slowdown > 0 {
		work = time.Duration(float64(work) * w.slowdown)
	}
	if t.rack != "" && !slices.Contains(w.upstream.Labels, t.rack) {
		work = time.Duration(float64(work) * max(w.sim.farFactor, 1))
	}
	r := &simRun{run: s.Run, startedAt: now, work: work, fails: w.failsAll || t.fails, demand: t.demand}
	w.running[s.Run.Task] = r
	if w.failsAll {
		work = 5 * time.Millisecond
	}
	if t.crashAfter > 0 {
		w.sim.schedule(t.crashAfter, func() { w.crashWith(r) })
	}
	if !w.hangs {
		w.sim.schedule(work, func() { w.finish(r) })
	}
	return executor.Accepted
}

func (w *simWorker) finish(r *simRun) {
	if w.running[r.run.Task] != r {
		return
	}
	reason := messenger.RunDone
	if r.fails {
		reason = messenger.RunFailed
	} else {
		w.sim.done[r.run.Task] = true
	}
	w.endRun(r, reason)
}

// endRun ends a run and lists its end for the next poll.
func (w *simWorker) endRun(r *simRun, reason messenger.EndReason) {
	delete(w.running, r.run.Task)
	w.highestNumber[r.run.Task] = max(w.highestNumber[r.run.Task], r.run.Number)
	w.endNumber++
	w.ends = append(w.ends, executor.EndRecord{Number: w.endNumber, RunEnd: messenger.RunEnd{Run: r.run, Reason: reason}})
	w.sim.runEnded(w, r.run)
}

func (w *simWorker) stop(s executor.Stop) {
	if s.Token < w.token || s.Upstream.Born != w.upstream.Born || s.Upstream.ID != w.upstream.ID {
		return
	}
	w.token = s.Token
	if r := w.running[s.Run.Task]; r != nil && r.run == s.Run {
		w.endRun(r, messenger.RunStopped)
	}
}

func (w *simWorker) extendLease(deadline time.Time) {
	if deadline.After(w.leaseEnd) {
		w.leaseEnd = deadline
	}
}

// expireLease ends all runs if the lease has run out.
func (w *simWorker) expireLease() {
	if len(w.running) == 0 || !w.sim.clock.Now().After(w.leaseEnd) {
		return
	}
	for _, r := range w.sortedRuns() {
		w.endRun(r, messenger.RunLapsed)
	}
}

func (w *simWorker) sortedRuns() []*simRun {
	var out []*simRun
	for _, r := range w.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *simRun) int {
		return slices.Compare([]byte(a.run.Task), []byte(b.run.Task))
	})
	return out
}

// poll returns the runs in progress and the ends that the agent has not acknowledged, or
// false if the token is too low.
func (w *simWorker) poll(p executor.Poll, deadline time.Time) (executor.PollResult, bool) {
	if p.Token < w.token {
		return executor.PollResult{}, false
	}
	w.token = p.Token
	if !p.LeaseUntil.IsZero() {
		w.extendLease(deadline)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e executor.EndRecord) bool { return e.Number <= p.AckedEnd })
	s := executor.PollResult{Number: p.Number, Born: w.upstream.Born, Ended: slices.Clone(w.ends)}
	now := w.sim.clock.Now()
	for _, r := range w.sortedRuns() {
		percent := int(100 * now.Sub(r.startedAt) / max(r.work, 1))
		if w.hangs {
			percent = 0
		}
		s.Running = append(s.Running, messenger.Progress{Run: r.run, Percent: min(percent, 99)})
	}
	return s, true
}

// restart starts a new incarnation of the worker, without runs and state.
func (w *simWorker) restart() {
	for _, r := range w.sortedRuns() {
		w.sim.runEnded(w, r.run)
	}
	w.running = make(map[string]*simRun)
	w.highestNumber = make(map[string]int)
	w.ends = nil
	w.endNumber = 0
	w.token = 0
	w.leaseEnd = time.Time{}
	w.upstream.Born++
}
