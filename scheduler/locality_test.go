package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// rackBench is a bench with an agent "near" on the rack and an agent "far" off it.
// Capacities are counted in tasks.
type rackBench struct {
	*fixture
	// places holds the placements among the last effects, by agent, and notes the notes
	// among them.
	places map[string][]messenger.Place
	notes  []scheduler.Note
	// entries is the number of connected entries that the agents report.
	entries int
	// seen is the number of the last Place to an agent, and listed whether the agent
	// has sent its complete run list.
	seen   map[string]uint64
	listed map[string]bool
}

func newRackBench(t *testing.T, far float64) *rackBench {
	b := &rackBench{fixture: newFixture(t), entries: 1, seen: make(map[string]uint64), listed: make(map[string]bool)}
	b.s.Configure(configuration().WithFarFactor(far))
	for _, name := range []string{"far", "near"} {
		b.s.LinkOpened(name)
		b.reportCapacity(name, 0, nil)
	}
	b.drain()
	return b
}

// reportCapacity has an agent report its free capacity and its forecast for each horizon.
func (b *rackBench) reportCapacity(name string, free int, ahead []int) {
	b.s.HandleReport(b.report(name, free, ahead))
}

// reportWith has an agent without free capacity send a report with a further change.
func (b *rackBench) reportWith(name string, ahead []int, with func(*messenger.Report)) {
	r := b.report(name, 0, ahead)
	with(&r)
	b.s.HandleReport(r)
}

// report returns a report of an agent's free capacity and forecast.
func (b *rackBench) report(name string, free int, ahead []int) messenger.Report {
	r := newReport(name, b.seen[name])
	r.RunsComplete = !b.listed[name]
	b.listed[name] = true
	r.ConnectedEntries = b.entries
	r.Free = room(free)
	for _, n := range ahead {
		r.Forecast = append(r.Forecast, room(n))
	}
	if name == "near" {
		r.Upstream.Labels = []string{rackLabel}
	}
	return r
}

func room(tasks int) messenger.Resources {
	return messenger.Resources{CPU: 3100 * tasks, Memory: 64_000}
}

func (b *rackBench) drain() {
	b.places = make(map[string][]messenger.Place)
	b.notes = nil
	for _, e := range b.s.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Reply:
			b.replies[e.Ticket] = e.Answer
		case scheduler.Note:
			b.notes = append(b.notes, e)
		case scheduler.Send:
			if p, ok := e.Message.(messenger.Place); ok {
				b.places[e.Agent] = append(b.places[e.Agent], p)
				b.seen[e.Agent] = p.Number
			}
		}
	}
}

// placedAt counts the tasks that the last effects place at an agent.
func (b *rackBench) placedAt(name string) int {
	n := 0
	for _, p := range b.places[name] {
		n += len(p.Tasks)
	}
	return n
}

// noted counts the notes with the given text among the last effects.
func (b *rackBench) noted(what string) int {
	n := 0
	for _, m := range b.notes {
		if m.What == what {
			n++
		}
	}
	return n
}

// hasRackData returns a job with the given number of tasks whose data is on the rack.
func (b *rackBench) onRack(number, tasks int, estimate time.Duration) scheduler.Job {
	j := b.job(fmt.Sprintf("%016x", number), tasks)
	j.Steps[0].Rack = rackLabel
	j.Steps[0].Estimate = estimate
	return j
}

// submit submits a job.
func (b *rackBench) submit(j scheduler.Job) {
	b.s.Submit(uint64(len(b.replies)+100), j)
	b.drain()
}

// TestChoiceBetweenNearAndFar guards against far work that makes a job miss its objective,
// or takes capacity from other jobs, when a near worker is about to have free capacity,
// and against waiting for a near worker when that makes a job late.
func TestChoiceBetweenNearAndFar(t *testing.T) {
	const short = 60 * time.Millisecond
	tests := []struct {
		name     string
		factor   float64
		tasks    int
		estimate time.Duration
		entries  int
		near     int
		ahead    []int
		// barred first submits a job that finds no free capacity anywhere and waits.
		barred bool
		// atNear and atFar are the numbers of tasks placed; the others wait.
		atNear, atFar int
	}{
		{"room near", 2, 4, short, 1, 5, nil, false, 4, 0},
		{"room near for some, none ahead", 2, 4, short, 1, 3, nil, false, 3, 1},
		{"room near for some, more soon", 2, 4, short, 1, 3, []int{1, 1, 1, 1, 1}, false, 3, 0},
		{"no room near", 2, 4, short, 1, 0, nil, false, 0, 4},
		{"room near soon", 2, 4, short, 1, 0, []int{0, 4, 4, 4, 4}, false, 0, 0},
		{"room near soon for some", 2, 4, short, 1, 0, []int{3, 3, 3, 3, 3}, false, 0, 1},
		{"room near after far work would end", 2, 4, short, 1, 0, []int{0, 0, 0, 4, 4}, false, 0, 4},
		{"room near soon, shared with another entry", 2, 4, short, 2, 0, []int{4, 4, 4, 4, 4}, false, 0, 2},
		{"the same when far is late anyway", 3, 4, short, 2, 0, []int{4, 4, 4, 4, 4}, false, 0, 0},
		{"little slower far", 1.2, 1, 200 * time.Millisecond, 1, 0, []int{0, 0, 1, 1, 1}, false, 0, 1},
		{"little slower far, others find no room", 1.2, 1, 200 * time.Millisecond, 1, 0, []int{0, 0, 1, 1, 1}, true, 0, 0},
		{"choice off", 1, 4, short, 1, 0, []int{4, 4, 4, 4, 4}, false, 0, 4},
		{"no factor", 0, 4, short, 1, 0, []int{4, 4, 4, 4, 4}, false, 0, 4},
		{"choice off, room near", 0, 4, short, 1, 2, nil, false, 2, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackBench(t, tt.factor)
			b.entries = tt.entries
			if tt.barred {
				large := b.job("00000000000000ff", 1)
				large.Steps[0].Demand = messenger.Resources{CPU: 31_000}
				large.Steps[0].Estimate = 2 * tt.estimate
				b.submit(large)
			}
			b.reportCapacity("near", tt.near, tt.ahead)
			b.reportCapacity("far", 5, nil)
			b.drain()
			b.submit(b.onRack(1, tt.tasks, tt.estimate))
			require.Equal(t, tt.atNear, b.placedAt("near"), "near")
			require.Equal(t, tt.atFar, b.placedAt("far"), "far")
			if tt.factor <= 1 {
				require.Zero(t, b.noted("near now")+b.noted("near soon")+b.noted("far"))
				return
			}
			require.Len(t, b.places["near"], b.noted("near now"), "one note per placement")
			require.Len(t, b.places["far"], b.noted("far"), "one note per placement")
			require.Equal(t, min(tt.tasks-tt.atNear-tt.atFar, 1), b.noted("near soon"))
		})
	}
}

// TestFarTaskIsExpectedToTakeLonger guards against far workers that are taken for slow,
// and against forecasts that count on their capacity too soon.
func TestFarTaskIsExpectedToTakeLonger(t *testing.T) {
	tests := []struct {
		factor    float64
		near, far time.Duration
	}{
		{0, 60 * time.Millisecond, 60 * time.Millisecond},
		{1, 60 * time.Millisecond, 60 * time.Millisecond},
		{2.5, 60 * time.Millisecond, 150 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.factor), func(t *testing.T) {
			b := newRackBench(t, tt.factor)
			b.reportCapacity("near", 1, nil)
			b.reportCapacity("far", 1, nil)
			b.drain()
			b.submit(b.onRack(1, 2, 60*time.Millisecond))
			require.Equal(t, tt.near, b.places["near"][0].Tasks[0].Estimate)
			require.Equal(t, tt.far, b.places["far"][0].Tasks[0].Estimate)
		})
	}
}

// TestJobsDoNotPileUpForASaturatedRack guards against jobs that are all deferred for
// the same near capacity, most of which would be late.
func TestJobsDoNotPileUpForASaturatedRack(t *testing.T) {
	b := newRackBench(t, 2)
	b.reportCapacity("near", 0, []int{6, 6, 6, 6, 6})
	b.reportCapacity("far", 10, nil)
	b.drain()
	far := 0
	for i := range 4 {
		b.submit(b.onRack(i+1, 3, 60*time.Millisecond))
		far += b.placedAt("far")
	}
	require.Equal(t, 6, far, "6 of 12 tasks are deferred, as many as the rack will have capacity for")
}

// TestDeferredJobFallsBackToFarWorker guards against a job that is refused although a far worker
// has free capacity, because the near capacity that it waits for does not become free.
func TestDeferredJobFallsBackToFarWorker(t *testing.T) {
	const tick = 10 * time.Millisecond
	// patience is the wait limit: 0.6 times the slack of 96 ms.
	const patience = 58 * time.Millisecond
	tests := []struct {
		name string
		// each is called at each tick and acts for the near agent.
		each func(b *rackBench)
		// most is the maximum time that the job may wait.
		most time.Duration
	}{
		{"forecast never comes true", func(b *rackBench) { b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9}) }, patience + tick},
		{"near agent sends nothing more", func(*rackBench) {}, patience + tick},
		{"link of the near agent closes", func(b *rackBench) { b.s.LinkClosed("near") }, tick},
		{"near agent is leaving", func(b *rackBench) {
			b.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.Leaving = true })
		}, tick},
		{"near worker drains", func(b *rackBench) {
			b.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.Upstream.Draining = true })
		}, tick},
		{"near data centre is evacuated", func(b *rackBench) {
			b.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.DataCentre = "b"; r.Upstream.DataCentre = "b" })
			b.s.Configure(configuration().WithFarFactor(3).WithEvacuated(map[string]bool{"b": true}, 1))
		}, tick},
		{"forecast is withdrawn", func(b *rackBench) { b.reportCapacity("near", 0, nil) }, tick},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackBench(t, 3)
			b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
			b.reportCapacity("far", 10, nil)
			b.drain()
			b.submit(b.onRack(1, 4, 60*time.Millisecond))
			require.Zero(t, b.placedAt("far"))
			for at := tick; at <= tt.most; at += tick {
				b.clock.Advance(tick)
				tt.each(b)
				b.reportCapacity("far", 10, nil)
				b.s.Tick()
				b.drain()
				if b.placedAt("far") > 0 {
					require.Equal(t, 4, b.placedAt("far"))
					return
				}
			}
			t.Fatalf("not placed within %v: %+v", tt.most, b.replies)
		})
	}
}

// TestStaleForecastDefersNothing guards against jobs that wait for an agent whose
// last report is too old for placements.
func TestStaleForecastDefersNothing(t *testing.T) {
	b := newRackBench(t, 2)
	b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	b.clock.Advance(251 * time.Millisecond)
	b.reportCapacity("far", 10, nil)
	b.drain()
	b.submit(b.onRack(1, 4, 60*time.Millisecond))
	require.Equal(t, 4, b.placedAt("far"))
}

// TestLaterStepWaitsOnlyWithinItsSlack guards against later steps that never wait for a near
// worker because the wait limit of their job applies to its first task, and against
// ones that wait until no slack is left for capacity that does not become free.
func TestLaterStepWaitsOnlyWithinItsSlack(t *testing.T) {
	const (
		work = 60 * time.Millisecond
		tick = 10 * time.Millisecond
		// slack is the initial slack of a job of two such steps: 0.6 of its work, and
		// 60 ms.
		slack = 132 * time.Millisecond
	)
	tests := []struct {
		name  string
		ahead []int
		far   int
	}{
		{"room near soon", []int{1, 1, 1, 1, 1}, 0},
		{"room near too late", []int{0, 0, 0, 0, 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackBench(t, 2)
			b.reportCapacity("far", 5, nil)
			b.drain()
			j := b.onRack(1, 1, work)
			first := j.Steps[0]
			first.Rack = ""
			second := j.Steps[0]
			second.After = []int{0}
			j.Steps = []scheduler.Step{first, second}
			b.submit(j)
			require.Equal(t, 1, b.placedAt("far"))
			run := b.places["far"][0].Tasks[0].Run
			b.clock.Advance(work)
			b.reportCapacity("near", 0, tt.ahead)
			r := newReport("far", b.seen["far"])
			r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
			b.s.HandleReport(r)
			b.drain()
			far := b.placedAt("far")
			require.Equal(t, tt.far, far)
			for waited := time.Duration(0); far == 0; waited += tick {
				require.LessOrEqual(t, waited, 6*slack/10)
				b.clock.Advance(tick)
				b.reportCapacity("near", 0, tt.ahead)
				b.reportCapacity("far", 5, nil)
				b.s.Tick()
				b.drain()
				far += b.placedAt("far")
			}
		})
	}
}

// TestForecastIsAskedForOnlyWhereItIsUsed guards against longer reports in deployments
// whose jobs have no rack, or in which the forecast makes no difference.
func TestForecastIsAskedForOnlyWhereItIsUsed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		factor float64
		rack   string
		asks   bool
	}{
		{"rack and factor", 2, rackLabel, true},
		{"no rack", 2, "", false},
		{"no factor", 0, rackLabel, false},
		{"factor of 1", 1, rackLabel, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackBench(t, tt.factor)
			j := b.onRack(1, 1, 60*time.Millisecond)
			j.Steps[0].Rack = tt.rack
			require.False(t, b.s.Backlog().WantsForecast, "nothing waits")
			b.submit(j)
			require.Equal(t, 1, b.s.Backlog().Tasks)
			require.Equal(t, tt.asks, b.s.Backlog().WantsForecast)
		})
	}
}

// TestNoMoreTasksAreDeferredThanTheRackWillHaveCapacityFor checks, for random capacities and
// jobs, that forecast capacity is counted on only once, and that no job is refused or
// waits past its limit while a far worker has free capacity.
func TestNoMoreTasksAreDeferredThanTheRackWillHaveCapacityFor(t *testing.T) {
	const most = 10
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		b := newRackBench(t, 1.2+2*rng.Float64())
		b.entries = 1 + rng.IntN(4)
		ahead := make([]int, len(messenger.ForecastHorizons))
		for i := range ahead {
			ahead[i] = rng.IntN(4)
			if i > 0 {
				ahead[i] += ahead[i-1]
			}
		}
		b.reportCapacity("near", 0, ahead)
		tasks, far := 0, 0
		for i := range 1 + rng.IntN(4) {
			b.reportCapacity("far", most, nil)
			b.drain()
			n := 1 + rng.IntN(4)
			b.submit(b.onRack(i+1, n, time.Duration(20+rng.IntN(300))*time.Millisecond))
			tasks += n
			far += b.placedAt("far")
		}
		require.LessOrEqual(t, tasks-far, ahead[len(ahead)-1], "seed %d", seed)
		for waited := time.Duration(0); waited < 360*time.Millisecond; waited += 10 * time.Millisecond {
			b.clock.Advance(10 * time.Millisecond)
			b.reportCapacity("near", 0, ahead)
			b.reportCapacity("far", most, nil)
			b.s.Tick()
			b.drain()
			far += b.placedAt("far")
		}
		require.Equal(t, tasks, far, "seed %d %+v", seed, b.replies)
		require.Empty(t, b.replies, "seed %d", seed)
	}
}

// TestDeferredTasksCauseNoRefusals guards against jobs that are refused because of the
// expected wait behind tasks that are deferred for a near worker, while other workers
// have free capacity.
func TestDeferredTasksCauseNoRefusals(t *testing.T) {
	b := newRackBench(t, 3)
	b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	b.reportCapacity("far", 10, nil)
	b.drain()
	b.submit(b.onRack(1, 9, 800*time.Millisecond))
	require.Equal(t, 1, b.noted("near soon"))
	later := b.onRack(2, 4, 800*time.Millisecond)
	later.Steps[0].Rack = ""
	b.submit(later)
	require.Equal(t, 4, b.placedAt("far"))
	require.Empty(t, b.replies)
}

// TestDeferredTasksCountAsBacklogOnceFarWorkersAreFull guards against jobs that are admitted
// behind tasks which are no longer deferred because the far workers have filled up.
func TestDeferredTasksCountAsBacklogOnceFarWorkersAreFull(t *testing.T) {
	b := newRackBench(t, 3)
	b.clock.Advance(200 * time.Millisecond)
	b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	b.reportCapacity("far", 10, nil)
	b.drain()
	b.submit(b.onRack(1, 9, 800*time.Millisecond))
	require.Equal(t, 1, b.noted("near soon"))
	b.reportCapacity("far", 0, nil)
	b.s.Tick()
	b.drain()
	later := b.onRack(2, 4, 800*time.Millisecond)
	later.Steps[0].Rack = ""
	b.submit(later)
	require.Len(t, b.replies, 1)
	for _, a := range b.replies {
		require.Equal(t, scheduler.Overloaded, a.Outcome)
	}
}
