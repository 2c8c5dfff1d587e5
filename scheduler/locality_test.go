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

// rackFixture is a fixture with an agent "near" on the rack and an agent "far" off it.
// Capacities are counted in tasks.
type rackFixture struct {
	*fixture
	// places holds the placements among the last effects, by agent, and notes the
	// notes.
	places map[string][]messenger.Place
	notes  []scheduler.Note
	// connectedEntries is the number of connected entries that the agents report.
	connectedEntries int
	// lastPlace is the number of the last Place to an agent, and runsListed whether the
	// agent has sent its complete run list.
	lastPlace  map[string]uint64
	runsListed map[string]bool
}

func newRackFixture(t *testing.T, farFactor float64) *rackFixture {
	b := &rackFixture{fixture: newFixture(t), connectedEntries: 1, lastPlace: make(map[string]uint64), runsListed: make(map[string]bool)}
	b.s.Configure(configuration().WithFarFactor(farFactor))
	for _, name := range []string{"far", "near"} {
		b.s.LinkOpened(name)
		b.reportCapacity(name, 0, nil)
	}
	b.drain()
	return b
}

// reportCapacity has an agent report its free capacity and its forecast for each
// horizon.
func (b *rackFixture) reportCapacity(name string, free int, forecast []int) {
	b.s.HandleReport(b.report(name, free, forecast))
}

// reportWith has an agent without free capacity send a report with a further change.
func (b *rackFixture) reportWith(name string, forecast []int, change func(*messenger.Report)) {
	r := b.report(name, 0, forecast)
	change(&r)
	b.s.HandleReport(r)
}

// report returns a report of an agent's free capacity and forecast.
func (b *rackFixture) report(name string, free int, forecast []int) messenger.Report {
	r := newReport(name, b.lastPlace[name])
	r.RunsComplete = !b.runsListed[name]
	b.runsListed[name] = true
	r.ConnectedEntries = b.connectedEntries
	r.Free = taskCapacity(free)
	for _, n := range forecast {
		r.Forecast = append(r.Forecast, taskCapacity(n))
	}
	if name == "near" {
		r.Upstream.Labels = []string{rackLabel}
	}
	return r
}

func taskCapacity(tasks int) messenger.Resources {
	return messenger.Resources{CPU: 3100 * tasks, Memory: 64_000}
}

func (b *rackFixture) drain() {
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
				b.lastPlace[e.Agent] = p.Number
			}
		}
	}
}

// placedAt counts the tasks that the last effects place at an agent.
func (b *rackFixture) placedAt(name string) int {
	n := 0
	for _, p := range b.places[name] {
		n += len(p.Tasks)
	}
	return n
}

// countNotes counts the notes with the given What among the last effects.
func (b *rackFixture) countNotes(what string) int {
	n := 0
	for _, m := range b.notes {
		if m.What == what {
			n++
		}
	}
	return n
}

// rackJob returns a job with the given number of tasks whose data is on the rack.
func (b *rackFixture) rackJob(number, tasks int, estimate time.Duration) scheduler.Job {
	j := b.job(fmt.Sprintf("%016x", number), tasks)
	j.Steps[0].Rack = rackLabel
	j.Steps[0].Estimate = estimate
	return j
}

// submit submits a job.
func (b *rackFixture) submit(j scheduler.Job) {
	b.s.Submit(uint64(len(b.replies)+100), j)
	b.drain()
}

// TestChoiceBetweenNearAndFar guards against far work that makes a job miss its
// objective, or takes capacity from other jobs, when a near worker is about to have
// free capacity, and against waiting for a near worker when that makes a job late.
func TestChoiceBetweenNearAndFar(t *testing.T) {
	const shortTask = 60 * time.Millisecond
	tests := []struct {
		name      string
		farFactor float64
		tasks     int
		estimate  time.Duration
		entries   int
		near      int
		forecast  []int
		// blockedJob first submits a job that finds no free capacity anywhere and
		// waits.
		blockedJob bool
		// atNear and atFar are the numbers of tasks placed; the others wait.
		atNear, atFar int
	}{
		{"capacity near", 2, 4, shortTask, 1, 5, nil, false, 4, 0},
		{"capacity near for some, no forecast", 2, 4, shortTask, 1, 3, nil, false, 3, 1},
		{"capacity near for some, more soon", 2, 4, shortTask, 1, 3, []int{1, 1, 1, 1, 1}, false, 3, 0},
		{"no capacity near", 2, 4, shortTask, 1, 0, nil, false, 0, 4},
		{"capacity near soon", 2, 4, shortTask, 1, 0, []int{0, 4, 4, 4, 4}, false, 0, 0},
		{"capacity near soon for some", 2, 4, shortTask, 1, 0, []int{3, 3, 3, 3, 3}, false, 0, 1},
		{"capacity near after far work would end", 2, 4, shortTask, 1, 0, []int{0, 0, 0, 4, 4}, false, 0, 4},
		{"capacity near soon, shared with another entry", 2, 4, shortTask, 2, 0, []int{4, 4, 4, 4, 4}, false, 0, 2},
		{"the same when far is late anyway", 3, 4, shortTask, 2, 0, []int{4, 4, 4, 4, 4}, false, 0, 0},
		{"little slower far", 1.2, 1, 200 * time.Millisecond, 1, 0, []int{0, 0, 1, 1, 1}, false, 0, 1},
		{"little slower far, others find no capacity", 1.2, 1, 200 * time.Millisecond, 1, 0, []int{0, 0, 1, 1, 1}, true, 0, 0},
		{"choice off", 1, 4, shortTask, 1, 0, []int{4, 4, 4, 4, 4}, false, 0, 4},
		{"no factor", 0, 4, shortTask, 1, 0, []int{4, 4, 4, 4, 4}, false, 0, 4},
		{"choice off, capacity near", 0, 4, shortTask, 1, 2, nil, false, 2, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackFixture(t, tt.farFactor)
			b.connectedEntries = tt.entries
			if tt.blockedJob {
				large := b.job("00000000000000ff", 1)
				large.Steps[0].Demand = messenger.Resources{CPU: 31_000}
				large.Steps[0].Estimate = 2 * tt.estimate
				b.submit(large)
			}
			b.reportCapacity("near", tt.near, tt.forecast)
			b.reportCapacity("far", 5, nil)
			b.drain()
			b.submit(b.rackJob(1, tt.tasks, tt.estimate))
			require.Equal(t, tt.atNear, b.placedAt("near"), "near")
			require.Equal(t, tt.atFar, b.placedAt("far"), "far")
			if tt.farFactor <= 1 {
				require.Zero(t, b.countNotes("near now")+b.countNotes("near soon")+b.countNotes("far"))
				return
			}
			require.Len(t, b.places["near"], b.countNotes("near now"), "one note per placement")
			require.Len(t, b.places["far"], b.countNotes("far"), "one note per placement")
			require.Equal(t, min(tt.tasks-tt.atNear-tt.atFar, 1), b.countNotes("near soon"))
		})
	}
}

// TestFarTaskIsExpectedToTakeLonger guards against far workers that are taken for slow,
// and against forecasts that count on their capacity too soon.
func TestFarTaskIsExpectedToTakeLonger(t *testing.T) {
	tests := []struct {
		farFactor float64
		near, far time.Duration
	}{
		{0, 60 * time.Millisecond, 60 * time.Millisecond},
		{1, 60 * time.Millisecond, 60 * time.Millisecond},
		{2.5, 60 * time.Millisecond, 150 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.farFactor), func(t *testing.T) {
			b := newRackFixture(t, tt.farFactor)
			b.reportCapacity("near", 1, nil)
			b.reportCapacity("far", 1, nil)
			b.drain()
			b.submit(b.rackJob(1, 2, 60*time.Millisecond))
			require.Equal(t, tt.near, b.places["near"][0].Tasks[0].Estimate)
			require.Equal(t, tt.far, b.places["far"][0].Tasks[0].Estimate)
		})
	}
}

// TestJobsDoNotPileUpForASaturatedRack guards against jobs that are all deferred for
// the same near capacity, most of which would be late.
func TestJobsDoNotPileUpForASaturatedRack(t *testing.T) {
	b := newRackFixture(t, 2)
	b.reportCapacity("near", 0, []int{6, 6, 6, 6, 6})
	b.reportCapacity("far", 10, nil)
	b.drain()
	far := 0
	for i := range 4 {
		b.submit(b.rackJob(i+1, 3, 60*time.Millisecond))
		far += b.placedAt("far")
	}
	require.Equal(t, 6, far, "6 of 12 tasks are deferred, as many as the rack will have capacity for")
}

// TestDeferredJobFallsBackToFarWorker guards against a job that is refused although a
// far worker has free capacity, because the near capacity that it waits for does not
// become free.
func TestDeferredJobFallsBackToFarWorker(t *testing.T) {
	const tick = 10 * time.Millisecond
	// waitLimit is 0.6 times the slack of 96 ms.
	const waitLimit = 58 * time.Millisecond
	tests := []struct {
		name string
		// onTick is called at each tick and acts for the near agent.
		onTick func(b *rackFixture)
		// maxWait is the maximum time that the job may wait.
		maxWait time.Duration
	}{
		{"forecast never comes true", func(b *rackFixture) { b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9}) }, waitLimit + tick},
		{"near agent sends nothing more", func(*rackFixture) {}, waitLimit + tick},
		{"link of the near agent closes", func(b *rackFixture) { b.s.LinkClosed("near") }, tick},
		{"near agent is leaving", func(b *rackFixture) {
			b.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.Leaving = true })
		}, tick},
		{"near worker drains", func(b *rackFixture) {
			b.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.Upstream.Draining = true })
		}, tick},
		{"near data centre is evacuated", func(b *rackFixture) {
			b.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.DataCentre = "b"; r.Upstream.DataCentre = "b" })
			b.s.Configure(configuration().WithFarFactor(3).WithEvacuated(map[string]bool{"b": true}, 1))
		}, tick},
		{"forecast is withdrawn", func(b *rackFixture) { b.reportCapacity("near", 0, nil) }, tick},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackFixture(t, 3)
			b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
			b.reportCapacity("far", 10, nil)
			b.drain()
			b.submit(b.rackJob(1, 4, 60*time.Millisecond))
			require.Zero(t, b.placedAt("far"))
			for at := tick; at <= tt.maxWait; at += tick {
				b.clock.Advance(tick)
				tt.onTick(b)
				b.reportCapacity("far", 10, nil)
				b.s.Tick()
				b.drain()
				if b.placedAt("far") > 0 {
					require.Equal(t, 4, b.placedAt("far"))
					return
				}
			}
			t.Fatalf("not placed within %v: %+v", tt.maxWait, b.replies)
		})
	}
}

// TestStaleForecastDefersNothing guards against jobs that wait for an agent whose last
// report is too old for placements.
func TestStaleForecastDefersNothing(t *testing.T) {
	b := newRackFixture(t, 2)
	b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	b.clock.Advance(251 * time.Millisecond)
	b.reportCapacity("far", 10, nil)
	b.drain()
	b.submit(b.rackJob(1, 4, 60*time.Millisecond))
	require.Equal(t, 4, b.placedAt("far"))
}

// TestLaterStepWaitsOnlyWithinItsSlack guards against later steps that never wait for a
// near worker because the wait limit of their job applies to its first task, and
// against ones that wait until no slack is left for capacity that does not become free.
func TestLaterStepWaitsOnlyWithinItsSlack(t *testing.T) {
	const (
		work = 60 * time.Millisecond
		tick = 10 * time.Millisecond
		// slack is the initial slack of a job of two such steps: 0.6 of its work, and
		// 60 ms.
		slack = 132 * time.Millisecond
	)
	tests := []struct {
		name     string
		forecast []int
		far      int
	}{
		{"capacity near soon", []int{1, 1, 1, 1, 1}, 0},
		{"capacity near too late", []int{0, 0, 0, 0, 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackFixture(t, 2)
			b.reportCapacity("far", 5, nil)
			b.drain()
			j := b.rackJob(1, 1, work)
			first := j.Steps[0]
			first.Rack = ""
			second := j.Steps[0]
			second.After = []int{0}
			j.Steps = []scheduler.Step{first, second}
			b.submit(j)
			require.Equal(t, 1, b.placedAt("far"))
			run := b.places["far"][0].Tasks[0].Run
			b.clock.Advance(work)
			b.reportCapacity("near", 0, tt.forecast)
			r := newReport("far", b.lastPlace["far"])
			r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
			b.s.HandleReport(r)
			b.drain()
			far := b.placedAt("far")
			require.Equal(t, tt.far, far)
			for waited := time.Duration(0); far == 0; waited += tick {
				require.LessOrEqual(t, waited, 6*slack/10)
				b.clock.Advance(tick)
				b.reportCapacity("near", 0, tt.forecast)
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
		name          string
		farFactor     float64
		rack          string
		wantsForecast bool
	}{
		{"rack and factor", 2, rackLabel, true},
		{"no rack", 2, "", false},
		{"no factor", 0, rackLabel, false},
		{"factor of 1", 1, rackLabel, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newRackFixture(t, tt.farFactor)
			j := b.rackJob(1, 1, 60*time.Millisecond)
			j.Steps[0].Rack = tt.rack
			require.False(t, b.s.Backlog().WantsForecast, "nothing waits")
			b.submit(j)
			require.Equal(t, 1, b.s.Backlog().Tasks)
			require.Equal(t, tt.wantsForecast, b.s.Backlog().WantsForecast)
		})
	}
}

// TestNoMoreTasksAreDeferredThanTheRackWillHaveCapacityFor checks, for random
// capacities and jobs, that forecast capacity is counted on only once, and that no job
// is refused or waits past its limit while a far worker has free capacity.
func TestNoMoreTasksAreDeferredThanTheRackWillHaveCapacityFor(t *testing.T) {
	const farCapacity = 10
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		b := newRackFixture(t, 1.2+2*rng.Float64())
		b.connectedEntries = 1 + rng.IntN(4)
		forecast := make([]int, len(messenger.ForecastHorizons))
		for i := range forecast {
			forecast[i] = rng.IntN(4)
			if i > 0 {
				forecast[i] += forecast[i-1]
			}
		}
		b.reportCapacity("near", 0, forecast)
		tasks, far := 0, 0
		for i := range 1 + rng.IntN(4) {
			b.reportCapacity("far", farCapacity, nil)
			b.drain()
			n := 1 + rng.IntN(4)
			b.submit(b.rackJob(i+1, n, time.Duration(20+rng.IntN(300))*time.Millisecond))
			tasks += n
			far += b.placedAt("far")
		}
		require.LessOrEqual(t, tasks-far, forecast[len(forecast)-1], "seed %d", seed)
		for waited := time.Duration(0); waited < 360*time.Millisecond; waited += 10 * time.Millisecond {
			b.clock.Advance(10 * time.Millisecond)
			b.reportCapacity("near", 0, forecast)
			b.reportCapacity("far", farCapacity, nil)
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
	b := newRackFixture(t, 3)
	b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	b.reportCapacity("far", 10, nil)
	b.drain()
	b.submit(b.rackJob(1, 9, 800*time.Millisecond))
	require.Equal(t, 1, b.countNotes("near soon"))
	later := b.rackJob(2, 4, 800*time.Millisecond)
	later.Steps[0].Rack = ""
	b.submit(later)
	require.Equal(t, 4, b.placedAt("far"))
	require.Empty(t, b.replies)
}

// TestDeferredTasksCountAsBacklogOnceFarWorkersAreFull guards against jobs that are
// admitted behind tasks which are no longer deferred because the far workers have
// filled up.
func TestDeferredTasksCountAsBacklogOnceFarWorkersAreFull(t *testing.T) {
	b := newRackFixture(t, 3)
	b.clock.Advance(200 * time.Millisecond)
	b.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	b.reportCapacity("far", 10, nil)
	b.drain()
	b.submit(b.rackJob(1, 9, 800*time.Millisecond))
	require.Equal(t, 1, b.countNotes("near soon"))
	b.reportCapacity("far", 0, nil)
	b.s.Tick()
	b.drain()
	later := b.rackJob(2, 4, 800*time.Millisecond)
	later.Steps[0].Rack = ""
	b.submit(later)
	require.Len(t, b.replies, 1)
	for _, a := range b.replies {
		require.Equal(t, scheduler.Overloaded, a.Outcome)
	}
}
