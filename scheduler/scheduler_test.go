package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// jobID is the ID of the job that most tests submit.
const jobID = "0000000000000003"

// fixture is a scheduler under a fake clock. The test itself writes the reports of its
// agents.
type fixture struct {
	t     *testing.T
	clock *clockwork.FakeClock
	s     *lockedScheduler
	// replies are the answers so far, by ticket.
	replies map[uint64]scheduler.Answer
	// sentMessages are the messages to agents that the last call of takeEffects
	// returned.
	sentMessages []any
	// sentTo has the same messages by agent, and lastRequest the number of the last lock
	// request to each agent.
	sentTo      map[string][]any
	lastRequest map[string]uint64
	// fullAgents makes keepInContact report that no capacity is free.
	fullAgents bool
	// linkOpenedAt is when the link to each agent was opened.
	linkOpenedAt map[string]time.Time
}

func newFixture(t *testing.T) *fixture {
	f := newStartingFixture(t)
	// The warm-up, in which nothing is refused for lack of capacity, is over then.
	f.clock.Advance(time.Second)
	return f
}

// newStartingFixture is like newFixture, but the entry has just started and is still in
// its warm-up.
func newStartingFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	f := &fixture{t: t, clock: clock, s: newLockedScheduler(clock), replies: make(map[uint64]scheduler.Answer), linkOpenedAt: make(map[string]time.Time), lastRequest: make(map[string]uint64)}
	f.s.Configure(configuration())
	return f
}

// takeEffects takes the scheduler's effects, records the replies and returns the
// messages to agents.
func (f *fixture) takeEffects() []any {
	f.sentMessages = nil
	f.sentTo = make(map[string][]any)
	for _, e := range f.s.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Reply:
			f.replies[e.Ticket] = e.Answer
		case scheduler.Send:
			f.sentMessages = append(f.sentMessages, e.Message)
			f.sentTo[e.Agent] = append(f.sentTo[e.Agent], e.Message)
			if r, ok := e.Message.(messenger.LockJobs); ok {
				f.lastRequest[e.Agent] = r.Number
			}
		}
	}
	return f.sentMessages
}

// newReport returns the report of an agent whose worker has free capacity for ten tasks.
// ackedPlace is the number of the last placement that the agent has processed.
func newReport(agent string, ackedPlace uint64) messenger.Report {
	capacity := messenger.Resources{CPU: 31_000, Memory: 64_000}
	return messenger.Report{
		Agent: agent, DataCentre: "dc-0", Incarnation: 1, AckedPlace: ackedPlace, ConnectedEntries: 1, Free: capacity,
		Upstream: &messenger.Upstream{ID: "w-" + agent, Born: 1, Service: "quotes", DataCentre: "dc-0", Capacity: capacity},
	}
}

// connect opens the link to an agent, which sends a complete and empty list of its runs.
func (f *fixture) connect(agent string) {
	f.s.LinkOpened(agent)
	f.linkOpenedAt[agent] = f.clock.Now()
	r := newReport(agent, 0)
	r.RunsComplete = true
	f.s.HandleReport(r)
	f.takeEffects()
}

// heartbeat has the entry send a heartbeat, which an agent echoes in its report.
func (f *fixture) heartbeat(agent string, ackedPlace uint64) {
	r := newReport(agent, ackedPlace)
	r.Echo = f.clock.Since(f.linkOpenedAt[agent])
	f.s.HandleReport(r)
}

func (f *fixture) job(id string, tasks int) scheduler.Job {
	return scheduler.Job{
		ID: id, Queue: quotesQueue(), Spec: "spec", Deadline: f.clock.Now().Add(1500 * time.Millisecond),
		Steps: []scheduler.Step{{Count: tasks, Demand: messenger.Resources{CPU: 3100}, Estimate: 60 * time.Millisecond}},
	}
}

// longJob returns a job of one task whose caller waits for a minute.
func (f *fixture) longJob() scheduler.Job {
	j := f.job(jobID, 1)
	j.Deadline = f.clock.Now().Add(time.Minute)
	return j
}

// submitPlaced submits a job of one task and returns the run that is placed.
func (f *fixture) submitPlaced(ticket uint64, j scheduler.Job) messenger.Run {
	f.t.Helper()
	f.s.Submit(ticket, j)
	f.takeEffects()
	return f.placed().Tasks[0].Run
}

// reconnectRestarted opens a new link to an agent that has restarted and found runs at
// its worker, and returns the report that the agent has sent.
func (f *fixture) reconnectRestarted(agent string, runs ...messenger.Progress) messenger.Report {
	f.s.LinkOpened(agent)
	r := newReport(agent, 0)
	r.Incarnation = 2
	r.RunsComplete = true
	r.Runs = runs
	f.s.HandleReport(r)
	return r
}

// ejected reports whether the worker at an agent is ejected.
func (f *fixture) ejected(agent string) bool {
	for _, a := range f.s.Dump().Agents {
		if a.Name == agent {
			return a.Ejected
		}
	}
	return false
}

// placed returns the Place among the last messages and requires that there is just one.
func (f *fixture) placed() messenger.Place {
	f.t.Helper()
	var out []messenger.Place
	for _, m := range f.sentMessages {
		if p, ok := m.(messenger.Place); ok {
			out = append(out, p)
		}
	}
	require.Len(f.t, out, 1)
	return out[0]
}

// placedAt returns the agent that got the Place among the last messages.
func (f *fixture) placedAt() string {
	f.t.Helper()
	for name, messages := range f.sentTo {
		for _, m := range messages {
			if _, ok := m.(messenger.Place); ok {
				return name
			}
		}
	}
	require.Fail(f.t, "no task was placed")
	return ""
}

func TestRunListOlderThanAPlacementDoesNotCoverIt(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.job(jobID, 2))
	f.takeEffects()
	require.Len(t, f.placed().Tasks, 2)
	// The agent lists its runs again before it has processed the placement.
	r := newReport("a", 0)
	r.RunsComplete = true
	f.s.HandleReport(r)
	require.Empty(t, f.takeEffects())
	// A list made after the placement was processed shows that the agent does not have
	// the runs.
	r.AckedPlace = 1
	f.s.HandleReport(r)
	f.takeEffects()
	require.Equal(t, 2, f.placed().Tasks[0].Number)
}

func TestRunsThatARestartedAgentFoundAreClaimed(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	run := f.submitPlaced(1, f.job(jobID, 1))
	f.s.LinkClosed("a")
	r := f.reconnectRestarted("a", messenger.Progress{Run: run, Percent: 50, Age: 30 * time.Millisecond})
	f.takeEffects()
	require.Equal(t, run, f.placed().Tasks[0].Run)
	r = newReport("a", 1)
	r.Incarnation = 2
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
	f.s.HandleReport(r)
	f.takeEffects()
	require.Equal(t, scheduler.Complete, f.replies[1].Outcome)
}

func TestRunsOfALostAgentAreRunAgainOnlyWhenTheyHaveEndedForCertain(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	f.placed()
	f.s.LinkClosed("a")
	f.connect("b")
	f.clock.Advance(time.Second)
	f.heartbeat("b", 0)
	f.s.Tick()
	require.Empty(t, f.takeEffects())
	f.clock.Advance(300 * time.Millisecond)
	f.heartbeat("b", 0)
	f.s.Tick()
	f.takeEffects()
	require.Equal(t, 2, f.placed().Tasks[0].Number)
}

func TestRefusalOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		trigger func(f *fixture)
		want    scheduler.Outcome
	}{
		{"no worker within the wait limit", func(f *fixture) {
			f.s.Submit(1, f.job(jobID, 1))
			f.clock.Advance(200 * time.Millisecond)
			f.s.Tick()
		}, scheduler.Overloaded},
		{"demand exceeds the capacity of every worker", func(f *fixture) {
			f.connect("a")
			j := f.job(jobID, 1)
			j.Steps[0].Demand.CPU = 99_000
			f.s.Submit(1, j)
		}, scheduler.Impossible},
		{"caller's deadline is too short for the work", func(f *fixture) {
			f.connect("a")
			j := f.job(jobID, 1)
			j.Deadline = f.clock.Now().Add(20 * time.Millisecond)
			f.s.Submit(1, j)
		}, scheduler.Overloaded},
		{"no steps", func(f *fixture) {
			j := f.job(jobID, 1)
			j.Steps = nil
			f.s.Submit(1, j)
		}, scheduler.Impossible},
		{"caller's deadline passes after a run may have started", func(f *fixture) {
			f.connect("a")
			f.s.Submit(1, f.job(jobID, 1))
			f.clock.Advance(1500 * time.Millisecond)
			f.s.Tick()
		}, scheduler.Unsettled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			tt.trigger(f)
			f.takeEffects()
			require.Equal(t, tt.want, f.replies[1].Outcome, f.replies[1].Why)
		})
	}
}

func TestNothingIsRefusedForLackOfCapacityWhileLinksAreBeingOpened(t *testing.T) {
	f := newStartingFixture(t)
	const jobs = 6
	for i := range jobs {
		f.s.Submit(uint64(1+i), f.job(fmt.Sprintf("%016x", 1+i), 8))
	}
	f.clock.Advance(100 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.Empty(t, f.replies, "the free capacity is not known yet")
	f.connect("a")
	placed := 0
	for _, j := range f.s.Dump().Waiting {
		if j.Placed > 0 || j.Ready == 0 {
			placed++
		}
	}
	f.clock.Advance(time.Second)
	f.s.Tick()
	f.takeEffects()
	require.Len(t, f.replies, jobs-1-placed, "jobs for which no capacity is free are refused once the free capacity is known")
	for _, a := range f.replies {
		require.Equal(t, scheduler.Overloaded, a.Outcome)
	}
}

func TestOnlyTheProbeDecidesOnAnEjectedWorker(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.connect("b")
	endRun := func(r messenger.Run, reason messenger.EndReason, failed int, ackedPlace uint64) {
		x := newReport("a", ackedPlace)
		x.Ended = []messenger.RunEnd{{Run: r, Reason: reason}}
		x.ConsecutiveFailedJobs = failed
		f.s.HandleReport(x)
		f.takeEffects()
	}
	// Three jobs are placed at the worker when two of them fail.
	for i := range 3 {
		j := f.job(fmt.Sprintf("%016x", 1+i), 1)
		j.Deadline = f.clock.Now().Add(time.Minute)
		j.Steps[0].Estimate = 10 * time.Second
		f.s.Submit(uint64(1+i), j)
		f.takeEffects()
	}
	endRun(messenger.Run{Task: jobID + ".0.0.0", Number: 1}, messenger.RunFailed, 1, 3)
	endRun(messenger.Run{Task: "0000000000000002.0.0.0", Number: 1}, messenger.RunFailed, 2, 3)
	require.True(t, f.ejected("a"))
	endRun(messenger.Run{Task: "0000000000000003.0.0.0", Number: 1}, messenger.RunDone, 2, 3)
	require.True(t, f.ejected("a"), "a run placed before the ejection is not the probe")
}

func TestTaskThatFailsTooOftenFailsItsJobOnDifferentWorkers(t *testing.T) {
	f := newFixture(t)
	for _, a := range []string{"a", "b", "c"} {
		f.connect(a)
	}
	f.s.Submit(1, f.job(jobID, 1))
	agents := make(map[string]bool)
	for range quotesQueue().MaxAttempts {
		var to string
		var run messenger.Run
		for _, e := range f.s.TakeEffects() {
			if s, ok := e.(scheduler.Send); ok {
				to = s.Agent
				run = s.Message.(messenger.Place).Tasks[0].Run
			}
		}
		agents[to] = true
		r := newReport(to, uint64(run.Number))
		r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunFailed}}
		f.s.HandleReport(r)
	}
	f.takeEffects()
	require.Len(t, agents, 3)
	require.Equal(t, scheduler.JobFailed, f.replies[1].Outcome)
}

func TestJobSentAgainJoinsTheRunningOneAndGetsItsAnswer(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	j := f.job(jobID, 1)
	f.s.Submit(1, j)
	f.takeEffects()
	run := f.placed().Tasks[0].Run
	f.s.Submit(2, j)
	require.Empty(t, f.takeEffects())
	r := newReport("a", 1)
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
	f.s.HandleReport(r)
	f.s.Submit(3, j)
	f.takeEffects()
	for ticket := range uint64(3) {
		require.Equal(t, scheduler.Complete, f.replies[ticket+1].Outcome)
	}
}

func TestNothingIsPlacedAtUnsuitableAgents(t *testing.T) {
	tests := []struct {
		name    string
		exclude func(r *messenger.Report, c *scheduler.Configuration)
	}{
		{"evacuated data centre", func(_ *messenger.Report, c *scheduler.Configuration) { c.Evacuated = map[string]bool{"dc-0": true} }},
		{"draining worker", func(r *messenger.Report, _ *scheduler.Configuration) { r.Upstream.Draining = true }},
		{"agent that is shutting down", func(r *messenger.Report, _ *scheduler.Configuration) { r.Leaving = true }},
		{"other service", func(r *messenger.Report, _ *scheduler.Configuration) { r.Upstream.Service = "other" }},
		{"worker that does not answer calls", func(r *messenger.Report, _ *scheduler.Configuration) { r.UnansweredCalls = 1 }},
		{"worker that fails every job", func(r *messenger.Report, _ *scheduler.Configuration) { r.ConsecutiveFailedJobs = 2 }},
		{"worker whose runs make hardly any progress", func(r *messenger.Report, _ *scheduler.Configuration) { r.PaceJobs = 3; r.Pace = 0.05 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			c := configuration()
			r := newReport("a", 0)
			r.RunsComplete = true
			tt.exclude(&r, &c)
			f.s.Configure(c)
			f.connect("b") // With a second worker, one of the two may be ejected.
			f.s.LinkOpened("a")
			f.s.HandleReport(r)
			f.s.LinkClosed("b")
			f.s.Submit(1, f.job(jobID, 1))
			require.Empty(t, f.takeEffects())
		})
	}
}

func TestStepsRunInTheirOrder(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	j := f.job(jobID, 1)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	f.s.Submit(1, j)
	f.takeEffects()
	first := f.placed()
	require.Equal(t, jobID+".0.0.0", first.Tasks[0].Task)
	r := newReport("a", 1)
	r.Ended = []messenger.RunEnd{{Run: first.Tasks[0].Run, Reason: messenger.RunDone}}
	f.s.HandleReport(r)
	f.takeEffects()
	require.Equal(t, jobID+".0.1.0", f.placed().Tasks[0].Task)
}

func TestRunThatIsNoLongerAtItsAgentMayHaveStarted(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.job(jobID, 1))
	f.takeEffects()
	f.s.LinkClosed("a")
	f.clock.Advance(time.Second)
	f.s.LinkOpened("a")
	r := newReport("a", 0)
	r.RunsComplete = true
	r.Free = messenger.Resources{}
	f.s.HandleReport(r)
	f.clock.Advance(time.Second)
	f.s.Tick()
	f.takeEffects()
	require.Equal(t, scheduler.Unsettled, f.replies[1].Outcome, f.replies[1].Why)
}
