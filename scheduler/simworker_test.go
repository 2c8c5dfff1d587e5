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
	// starts counts the starts that have taken effect.
	starts        int
	running       map[string]*simRun
	highestNumber map[string]int
	ends          []executor.EndRecord
	endNumber     int64
	token         uint64
	leaseEnd      time.Time
}

func (v *simWorker) free() messenger.Resources {
	d := v.upstream.Capacity
	for _, r := range v.running {
		d = d.Minus(r.demand)
	}
	return d
}

// start handles the call to start a run and returns its outcome.
func (v *simWorker) start(s executor.Start, deadline time.Time) executor.CallResult {
	now := v.sim.clock.Now()
	if s.Upstream.Born != v.upstream.Born || s.Upstream.ID != v.upstream.ID {
		return executor.Misdirected
	}
	if s.Token < v.token {
		return executor.Fenced
	}
	v.token = s.Token
	if r := v.running[s.Run.Task]; r != nil && r.run == s.Run {
		return executor.Accepted
	}
	if s.Run.Number <= v.highestNumber[s.Run.Task] {
		return executor.StaleRun
	}
	if now.After(deadline) {
		return executor.Expired
	}
	t := v.sim.tasks[s.Run.Task]
	if !t.demand.FitsIn(v.free()) {
		return executor.Full
	}
	v.extendLease(deadline)
	v.sim.runStarted(v, s.Run)
	v.starts++
	work := t.work
	if v.slowdown > 0 {
		work = time.Duration(float64(work) * v.slowdown)
	}
	if t.rack != "" && !slices.Contains(v.upstream.Labels, t.rack) {
		work = time.Duration(float64(work) * max(v.sim.farFactor, 1))
	}
	r := &simRun{run: s.Run, startedAt: now, work: work, fails: v.failsAll || t.fails, demand: t.demand}
	v.running[s.Run.Task] = r
	if v.failsAll {
		work = 5 * time.Millisecond
	}
	if !v.hangs {
		v.sim.schedule(work, func() { v.finish(r) })
	}
	return executor.Accepted
}

func (v *simWorker) finish(r *simRun) {
	if v.running[r.run.Task] != r {
		return
	}
	reason := messenger.RunDone
	if r.fails {
		reason = messenger.RunFailed
	} else {
		v.sim.done[r.run.Task] = true
	}
	v.endRun(r, reason)
}

// endRun ends a run and lists its end for the next poll.
func (v *simWorker) endRun(r *simRun, reason messenger.EndReason) {
	delete(v.running, r.run.Task)
	v.highestNumber[r.run.Task] = max(v.highestNumber[r.run.Task], r.run.Number)
	v.endNumber++
	v.ends = append(v.ends, executor.EndRecord{Number: v.endNumber, RunEnd: messenger.RunEnd{Run: r.run, Reason: reason}})
	v.sim.runEnded(v, r.run)
}

func (v *simWorker) stop(s executor.Stop) {
	if s.Token < v.token || s.Upstream.Born != v.upstream.Born || s.Upstream.ID != v.upstream.ID {
		return
	}
	v.token = s.Token
	if r := v.running[s.Run.Task]; r != nil && r.run == s.Run {
		v.endRun(r, messenger.RunStopped)
	}
}

func (v *simWorker) extendLease(deadline time.Time) {
	if deadline.After(v.leaseEnd) {
		v.leaseEnd = deadline
	}
}

// expireLease ends all runs if the lease has run out.
func (v *simWorker) expireLease() {
	if len(v.running) == 0 || !v.sim.clock.Now().After(v.leaseEnd) {
		return
	}
	for _, r := range v.sortedRuns() {
		v.endRun(r, messenger.RunLapsed)
	}
}

func (v *simWorker) sortedRuns() []*simRun {
	var out []*simRun
	for _, r := range v.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *simRun) int {
		return slices.Compare([]byte(a.run.Task), []byte(b.run.Task))
	})
	return out
}

// poll returns the runs in progress and those that have ended since the last poll, or
// false if the token is too low.
func (v *simWorker) poll(p executor.Poll, deadline time.Time) (executor.PollResult, bool) {
	if p.Token < v.token {
		return executor.PollResult{}, false
	}
	v.token = p.Token
	if !p.LeaseUntil.IsZero() {
		v.extendLease(deadline)
	}
	v.ends = slices.DeleteFunc(v.ends, func(e executor.EndRecord) bool { return e.Number <= p.AckedEnd })
	s := executor.PollResult{Number: p.Number, Born: v.upstream.Born, Ended: slices.Clone(v.ends)}
	now := v.sim.clock.Now()
	for _, r := range v.sortedRuns() {
		percent := int(100 * now.Sub(r.startedAt) / max(r.work, 1))
		if v.hangs {
			percent = 0
		}
		s.Running = append(s.Running, messenger.Progress{Run: r.run, Percent: min(percent, 99)})
	}
	return s, true
}

// restart starts a new incarnation of the worker, without runs and state.
func (v *simWorker) restart() {
	for _, r := range v.sortedRuns() {
		v.sim.runEnded(v, r.run)
	}
	v.running = make(map[string]*simRun)
	v.highestNumber = make(map[string]int)
	v.ends = nil
	v.endNumber = 0
	v.token = 0
	v.leaseEnd = time.Time{}
	v.upstream.Born++
}
