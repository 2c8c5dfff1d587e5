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
	f := &rackFixture{fixture: newFixture(t), connectedEntries: 1, lastPlace: make(map[string]uint64), runsListed: make(map[string]bool)}
	f.s.Configure(configuration().WithFarFactor(farFactor))
	for _, name := range []string{"far", "near"} {
		f.s.LinkOpened(name)
		f.reportCapacity(name, 0, nil)
	}
	f.collectEffects()
	return f
}

// reportCapacity has an agent report its free capacity and its forecast for each
// horizon.
func (f *rackFixture) reportCapacity(name string, free int, forecast []int) {
	f.s.HandleReport(f.report(name, free, forecast))
}

// reportWith has an agent without free capacity send a report with a further change.
func (f *rackFixture) reportWith(name string, forecast []int, change func(*messenger.Report)) {
	r := f.report(name, 0, forecast)
	change(&r)
	f.s.HandleReport(r)
}

// report returns a report of an agent's free capacity and forecast.
func (f *rackFixture) report(name string, free int, forecast []int) messenger.Report {
	r := newReport(name, f.lastPlace[name])
	r.RunsComplete = !f.runsListed[name]
	f.runsListed[name] = true
	r.ConnectedEntries = f.connectedEntries
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

func (f *rackFixture) collectEffects() {
	f.places = make(map[string][]messenger.Place)
	f.notes = nil
	for _, e := range f.s.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Reply:
			f.replies[e.Ticket] = e.Answer
		case scheduler.Note:
			f.notes = append(f.notes, e)
		case scheduler.Send:
			if p, ok := e.Message.(messenger.Place); ok {
				f.places[e.Agent] = append(f.places[e.Agent], p)
				f.lastPlace[e.Agent] = p.Number
			}
		}
	}
}

// placedAt counts the tasks that the last effects place at an agent.
func (f *rackFixture) placedAt(name string) int {
	n := 0
	for _, p := range f.places[name] {
		n += len(p.Tasks)
	}
	return n
}

// countNotes counts the notes with the given What among the last effects.
func (f *rackFixture) countNotes(what string) int {
	n := 0
	for _, m := range f.notes {
		if m.What == what {
			n++
		}
	}
	return n
}

// rackJob returns a job with the given number of tasks whose data is on the rack.
func (f *rackFixture) rackJob(number, tasks int, estimate time.Duration) scheduler.Job {
	j := f.job(fmt.Sprintf("%016x", number), tasks)
	j.Steps[0].Rack = rackLabel
	j.Steps[0].Estimate = estimate
	return j
}

// submit submits a job.
func (f *rackFixture) submit(j scheduler.Job) {
	f.s.Submit(uint64(len(f.replies)+100), j)
	f.collectEffects()
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
			f := newRackFixture(t, tt.farFactor)
			f.connectedEntries = tt.entries
			if tt.blockedJob {
				large := f.job("00000000000000ff", 1)
				large.Steps[0].Demand = messenger.Resources{CPU: 31_000}
				large.Steps[0].Estimate = 2 * tt.estimate
				f.submit(large)
			}
			f.reportCapacity("near", tt.near, tt.forecast)
			f.reportCapacity("far", 5, nil)
			f.collectEffects()
			f.submit(f.rackJob(1, tt.tasks, tt.estimate))
			require.Equal(t, tt.atNear, f.placedAt("near"), "near")
			require.Equal(t, tt.atFar, f.placedAt("far"), "far")
			if tt.farFactor <= 1 {
				require.Zero(t, f.countNotes("near now")+f.countNotes("near soon")+f.countNotes("far"))
				return
			}
			require.Len(t, f.places["near"], f.countNotes("near now"), "one note per placement")
			require.Len(t, f.places["far"], f.countNotes("far"), "one note per placement")
			require.Equal(t, min(tt.tasks-tt.atNear-tt.atFar, 1), f.countNotes("near soon"))
		})
	}
}

// TestFarTaskIsExpectedToTakeLonger guards against far workers that are mistaken for
// slow ones, and against forecasts that count on their capacity too soon.
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
			f := newRackFixture(t, tt.farFactor)
			f.reportCapacity("near", 1, nil)
			f.reportCapacity("far", 1, nil)
			f.collectEffects()
			f.submit(f.rackJob(1, 2, 60*time.Millisecond))
			require.Equal(t, tt.near, f.places["near"][0].Tasks[0].Estimate)
			require.Equal(t, tt.far, f.places["far"][0].Tasks[0].Estimate)
		})
	}
}

// TestJobsDoNotPileUpForASaturatedRack guards against jobs that are all deferred for
// the same near capacity, most of which would be late.
func TestJobsDoNotPileUpForASaturatedRack(t *testing.T) {
	f := newRackFixture(t, 2)
	f.reportCapacity("near", 0, []int{6, 6, 6, 6, 6})
	f.reportCapacity("far", 10, nil)
	f.collectEffects()
	far := 0
	for i := range 4 {
		f.submit(f.rackJob(i+1, 3, 60*time.Millisecond))
		far += f.placedAt("far")
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
		onTick func(f *rackFixture)
		// maxWait is the maximum time that the job may wait.
		maxWait time.Duration
	}{
		{"forecast never comes true", func(f *rackFixture) { f.reportCapacity("near", 0, []int{9, 9, 9, 9, 9}) }, waitLimit + tick},
		{"near agent sends nothing more", func(*rackFixture) {}, waitLimit + tick},
		{"link of the near agent closes", func(f *rackFixture) { f.s.LinkClosed("near") }, tick},
		{"near agent is leaving", func(f *rackFixture) {
			f.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.Leaving = true })
		}, tick},
		{"near worker drains", func(f *rackFixture) {
			f.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.Upstream.Draining = true })
		}, tick},
		{"near data centre is evacuated", func(f *rackFixture) {
			f.reportWith("near", []int{9, 9, 9, 9, 9}, func(r *messenger.Report) { r.DataCentre = "b"; r.Upstream.DataCentre = "b" })
			f.s.Configure(configuration().WithFarFactor(3).WithEvacuated(map[string]bool{"b": true}, 1))
		}, tick},
		{"forecast is withdrawn", func(f *rackFixture) { f.reportCapacity("near", 0, nil) }, tick},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newRackFixture(t, 3)
			f.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
			f.reportCapacity("far", 10, nil)
			f.collectEffects()
			f.submit(f.rackJob(1, 4, 60*time.Millisecond))
			require.Zero(t, f.placedAt("far"))
			for at := tick; at <= tt.maxWait; at += tick {
				f.clock.Advance(tick)
				tt.onTick(f)
				f.reportCapacity("far", 10, nil)
				f.s.Tick()
				f.collectEffects()
				if f.placedAt("far") > 0 {
					require.Equal(t, 4, f.placedAt("far"))
					return
				}
			}
			t.Fatalf("not placed within %v: %+v", tt.maxWait, f.replies)
		})
	}
}

// TestStaleForecastDefersNothing guards against jobs that wait for an agent whose last
// report is too old for placements.
func TestStaleForecastDefersNothing(t *testing.T) {
	f := newRackFixture(t, 2)
	f.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	f.clock.Advance(251 * time.Millisecond)
	f.reportCapacity("far", 10, nil)
	f.collectEffects()
	f.submit(f.rackJob(1, 4, 60*time.Millisecond))
	require.Equal(t, 4, f.placedAt("far"))
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
			f := newRackFixture(t, 2)
			f.reportCapacity("far", 5, nil)
			f.collectEffects()
			j := f.rackJob(1, 1, work)
			first := j.Steps[0]
			first.Rack = ""
			second := j.Steps[0]
			second.After = []int{0}
			j.Steps = []scheduler.Step{first, second}
			f.submit(j)
			require.Equal(t, 1, f.placedAt("far"))
			run := f.places["far"][0].Tasks[0].Run
			f.clock.Advance(work)
			f.reportCapacity("near", 0, tt.forecast)
			r := newReport("far", f.lastPlace["far"])
			r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
			f.s.HandleReport(r)
			f.collectEffects()
			far := f.placedAt("far")
			require.Equal(t, tt.far, far)
			for waited := time.Duration(0); far == 0; waited += tick {
				require.LessOrEqual(t, waited, 6*slack/10)
				f.clock.Advance(tick)
				f.reportCapacity("near", 0, tt.forecast)
				f.reportCapacity("far", 5, nil)
				f.s.Tick()
				f.collectEffects()
				far += f.placedAt("far")
			}
		})
	}
}

// TestForecastIsRequestedOnlyWhereItIsUsed guards against longer reports in deployments
// whose jobs have no rack, or in which the forecast makes no difference.
func TestForecastIsRequestedOnlyWhereItIsUsed(t *testing.T) {
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
			f := newRackFixture(t, tt.farFactor)
			j := f.rackJob(1, 1, 60*time.Millisecond)
			j.Steps[0].Rack = tt.rack
			require.False(t, f.s.Backlog().WantsForecast, "nothing waits")
			f.submit(j)
			require.Equal(t, 1, f.s.Backlog().Tasks)
			require.Equal(t, tt.wantsForecast, f.s.Backlog().WantsForecast)
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
		f := newRackFixture(t, 1.2+2*rng.Float64())
		f.connectedEntries = 1 + rng.IntN(4)
		forecast := make([]int, len(messenger.ForecastHorizons))
		for i := range forecast {
			forecast[i] = rng.IntN(4)
			if i > 0 {
				forecast[i] += forecast[i-1]
			}
		}
		f.reportCapacity("near", 0, forecast)
		tasks, far := 0, 0
		for i := range 1 + rng.IntN(4) {
			f.reportCapacity("far", farCapacity, nil)
			f.collectEffects()
			n := 1 + rng.IntN(4)
			f.submit(f.rackJob(i+1, n, time.Duration(20+rng.IntN(300))*time.Millisecond))
			tasks += n
			far += f.placedAt("far")
		}
		require.LessOrEqual(t, tasks-far, forecast[len(forecast)-1], "seed %d", seed)
		for waited := time.Duration(0); waited < 360*time.Millisecond; waited += 10 * time.Millisecond {
			f.clock.Advance(10 * time.Millisecond)
			f.reportCapacity("near", 0, forecast)
			f.reportCapacity("far", farCapacity, nil)
			f.s.Tick()
			f.collectEffects()
			far += f.placedAt("far")
		}
		require.Equal(t, tasks, far, "seed %d %+v", seed, f.replies)
		require.Empty(t, f.replies, "seed %d", seed)
	}
}

// TestDeferredTasksCauseNoRefusals guards against jobs that are refused because of the
// expected wait behind tasks that are deferred for a near worker, while other workers
// have free capacity.
func TestDeferredTasksCauseNoRefusals(t *testing.T) {
	f := newRackFixture(t, 3)
	f.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	f.reportCapacity("far", 10, nil)
	f.collectEffects()
	f.submit(f.rackJob(1, 9, 800*time.Millisecond))
	require.Equal(t, 1, f.countNotes("near soon"))
	later := f.rackJob(2, 4, 800*time.Millisecond)
	later.Steps[0].Rack = ""
	f.submit(later)
	require.Equal(t, 4, f.placedAt("far"))
	require.Empty(t, f.replies)
}

// TestDeferredTasksCountAsBacklogOnceFarWorkersAreFull guards against jobs that are
// admitted behind tasks which are no longer deferred because the far workers have
// filled up.
func TestDeferredTasksCountAsBacklogOnceFarWorkersAreFull(t *testing.T) {
	f := newRackFixture(t, 3)
	f.clock.Advance(200 * time.Millisecond)
	f.reportCapacity("near", 0, []int{9, 9, 9, 9, 9})
	f.reportCapacity("far", 10, nil)
	f.collectEffects()
	f.submit(f.rackJob(1, 9, 800*time.Millisecond))
	require.Equal(t, 1, f.countNotes("near soon"))
	f.reportCapacity("far", 0, nil)
	f.s.Tick()
	f.collectEffects()
	later := f.rackJob(2, 4, 800*time.Millisecond)
	later.Steps[0].Rack = ""
	f.submit(later)
	require.Len(t, f.replies, 1)
	for _, a := range f.replies {
		require.Equal(t, scheduler.Overloaded, a.Outcome)
	}
}
