package scheduler_test

import (
	"fmt"
	"slices"
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
	s     *scheduler.Scheduler
	// replies are the answers so far, by ticket.
	replies map[uint64]scheduler.Answer
	sent    []any
	// linkOpenedAt is when the link to each agent was opened.
	linkOpenedAt map[string]time.Time
}

func newFixture(t *testing.T) *fixture {
	b := newStartingFixture(t)
	// The warm-up, in which nothing is refused for lack of capacity, is over then.
	b.clock.Advance(time.Second)
	return b
}

// newStartingFixture is like newBench, but the entry has just started and is still in its
// warm-up.
func newStartingFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	b := &fixture{t: t, clock: clock, s: scheduler.NewScheduler(clock, "dc-0"), replies: make(map[uint64]scheduler.Answer), linkOpenedAt: make(map[string]time.Time)}
	b.s.Configure(configuration())
	return b
}

// drain takes the scheduler's effects, records the replies and returns the messages to
// agents.
func (b *fixture) drain() []any {
	b.sent = nil
	for _, e := range b.s.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Reply:
			b.replies[e.Ticket] = e.Answer
		case scheduler.Send:
			b.sent = append(b.sent, e.Message)
		}
	}
	return b.sent
}

// newReport returns the report of an agent whose worker has free capacity for ten tasks.
// seen is the number of the last placement that the agent has processed.
func newReport(agent string, seen uint64) messenger.Report {
	room := messenger.Resources{CPU: 31_000, Memory: 64_000}
	return messenger.Report{
		Agent: agent, DataCentre: "dc-0", Incarnation: 1, AckedPlace: seen, ConnectedEntries: 1, Free: room,
		Upstream: &messenger.Upstream{ID: "w-" + agent, Born: 1, Service: "quotes", DataCentre: "dc-0", Capacity: room},
	}
}

// connect opens the link to an agent, which sends a complete and empty list of its runs.
func (b *fixture) connect(agent string) {
	b.s.LinkOpened(agent)
	b.linkOpenedAt[agent] = b.clock.Now()
	r := newReport(agent, 0)
	r.RunsComplete = true
	b.s.HandleReport(r)
	b.drain()
}

// heartbeat has the entry send a heartbeat, which an agent echoes in its report, and
// returns the jobs that the heartbeat announces.
func (b *fixture) heartbeat(agent string, seen uint64) []string {
	held := b.s.HeldJobs()
	r := newReport(agent, seen)
	r.Echo = b.clock.Since(b.linkOpenedAt[agent])
	b.s.HandleReport(r)
	return slices.Concat(held.Running, held.Yielding, held.Finished)
}

// heartbeatAndTick has the entry send a heartbeat, which an agent that has processed one placement
// echoes, and then calls Tick.
func (b *fixture) heartbeatAndTick(agent string) {
	b.heartbeat(agent, 1)
	b.s.Tick()
	b.drain()
}

func (b *fixture) job(id string, tasks int) scheduler.Job {
	return scheduler.Job{
		ID: id, Queue: quotes(), Spec: "spec", Deadline: b.clock.Now().Add(1500 * time.Millisecond),
		Steps: []scheduler.Step{{Count: tasks, Demand: messenger.Resources{CPU: 3100}, Estimate: 60 * time.Millisecond}},
	}
}

// longJob returns a job of one task whose caller waits for a minute.
func (b *fixture) longJob() scheduler.Job {
	j := b.job(jobID, 1)
	j.Deadline = b.clock.Now().Add(time.Minute)
	return j
}

// submitPlaced submits a job of one task and returns the run that is placed.
func (b *fixture) submitPlaced(ticket uint64, j scheduler.Job) messenger.Run {
	b.t.Helper()
	b.s.Submit(ticket, j)
	b.drain()
	return b.placed().Tasks[0].Run
}

// reconnectRestarted opens a new link to an agent that has restarted and found runs at its
// worker, and returns the report that the agent has sent.
func (b *fixture) reconnectRestarted(agent string, runs ...messenger.Progress) messenger.Report {
	b.s.LinkOpened(agent)
	r := newReport(agent, 0)
	r.Incarnation = 2
	r.RunsComplete = true
	r.Runs = runs
	b.s.HandleReport(r)
	return r
}

// ejected reports whether the worker at an agent is ejected.
func (b *fixture) ejected(agent string) bool {
	for _, a := range b.s.Dump().Agents {
		if a.Name == agent {
			return a.Ejected
		}
	}
	return false
}

// placed returns the Place among the last messages and requires that there is just one.
func (b *fixture) placed() messenger.Place {
	b.t.Helper()
	var out []messenger.Place
	for _, m := range b.sent {
		if p, ok := m.(messenger.Place); ok {
			out = append(out, p)
		}
	}
	require.Len(b.t, out, 1)
	return out[0]
}

func TestRunListOlderThanAPlacementDoesNotCoverIt(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.job(jobID, 2))
	b.drain()
	require.Len(t, b.placed().Tasks, 2)
	// The agent lists its runs again before it has processed the placement.
	r := newReport("a", 0)
	r.RunsComplete = true
	b.s.HandleReport(r)
	require.Empty(t, b.drain())
	// A list made after the placement was processed shows that the agent does not have
	// the runs.
	r.AckedPlace = 1
	b.s.HandleReport(r)
	b.drain()
	require.Equal(t, 2, b.placed().Tasks[0].Number)
}

func TestRunsThatARestartedAgentFoundAreClaimed(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	run := b.submitPlaced(1, b.job(jobID, 1))
	b.s.LinkClosed("a")
	r := b.reconnectRestarted("a", messenger.Progress{Run: run, Percent: 50, Age: 30 * time.Millisecond})
	b.drain()
	require.Equal(t, run, b.placed().Tasks[0].Run)
	r = newReport("a", 1)
	r.Incarnation = 2
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
	b.s.HandleReport(r)
	b.drain()
	require.Equal(t, scheduler.Complete, b.replies[1].Outcome)
}

func TestRunsOfALostAgentAreRunAgainOnlyWhenTheyHaveEndedForCertain(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.longJob())
	b.drain()
	b.placed()
	b.s.LinkClosed("a")
	b.connect("b")
	b.clock.Advance(time.Second)
	b.heartbeat("b", 0)
	b.s.Tick()
	require.Empty(t, b.drain())
	b.clock.Advance(300 * time.Millisecond)
	b.heartbeat("b", 0)
	b.s.Tick()
	b.drain()
	require.Equal(t, 2, b.placed().Tasks[0].Number)
}

func TestRefusalOutcomes(t *testing.T) {
	tests := []struct {
		name string
		play func(b *fixture)
		want scheduler.Outcome
	}{
		{"no worker within the wait limit", func(b *fixture) {
			b.s.Submit(1, b.job(jobID, 1))
			b.clock.Advance(200 * time.Millisecond)
			b.s.Tick()
		}, scheduler.Overloaded},
		{"demand exceeds the capacity of every worker", func(b *fixture) {
			b.connect("a")
			j := b.job(jobID, 1)
			j.Steps[0].Demand.CPU = 99_000
			b.s.Submit(1, j)
		}, scheduler.Impossible},
		{"caller's deadline is too short for the work", func(b *fixture) {
			b.connect("a")
			j := b.job(jobID, 1)
			j.Deadline = b.clock.Now().Add(20 * time.Millisecond)
			b.s.Submit(1, j)
		}, scheduler.Overloaded},
		{"no steps", func(b *fixture) {
			j := b.job(jobID, 1)
			j.Steps = nil
			b.s.Submit(1, j)
		}, scheduler.Impossible},
		{"caller's deadline passes after a run may have started", func(b *fixture) {
			b.connect("a")
			b.s.Submit(1, b.job(jobID, 1))
			b.clock.Advance(1500 * time.Millisecond)
			b.s.Tick()
		}, scheduler.Unsettled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			tt.play(b)
			b.drain()
			require.Equal(t, tt.want, b.replies[1].Outcome, b.replies[1].Why)
		})
	}
}

func TestNothingIsRefusedForLackOfRoomWhileLinksAreBeingOpened(t *testing.T) {
	b := newStartingFixture(t)
	const jobs = 6
	for i := range jobs {
		b.s.Submit(uint64(1+i), b.job(fmt.Sprintf("%016x", 1+i), 8))
	}
	b.clock.Advance(100 * time.Millisecond)
	b.s.Tick()
	b.drain()
	require.Empty(t, b.replies, "the free capacity is not known yet")
	b.connect("a")
	placed := 0
	for _, j := range b.s.Dump().Waiting {
		if j.Placed > 0 || j.Ready == 0 {
			placed++
		}
	}
	b.clock.Advance(time.Second)
	b.s.Tick()
	b.drain()
	require.Len(t, b.replies, jobs-1-placed, "jobs for which no capacity is free are refused once the free capacity is known")
	for _, a := range b.replies {
		require.Equal(t, scheduler.Overloaded, a.Outcome)
	}
}

func TestOnlyTheProbeDecidesOnAnEjectedWorker(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.connect("b")
	end := func(r messenger.Run, how messenger.EndReason, failed int, seen uint64) {
		x := newReport("a", seen)
		x.Ended = []messenger.RunEnd{{Run: r, Reason: how}}
		x.ConsecutiveFailedJobs = failed
		b.s.HandleReport(x)
		b.drain()
	}
	// Three jobs are placed at the worker when two of them fail.
	for i := range 3 {
		j := b.job(fmt.Sprintf("%016x", 1+i), 1)
		j.Deadline = b.clock.Now().Add(time.Minute)
		j.Steps[0].Estimate = 10 * time.Second
		b.s.Submit(uint64(1+i), j)
		b.drain()
	}
	end(messenger.Run{Task: jobID + ".0.0.0", Number: 1}, messenger.RunFailed, 1, 3)
	end(messenger.Run{Task: "0000000000000002.0.0.0", Number: 1}, messenger.RunFailed, 2, 3)
	require.True(t, b.ejected("a"))
	end(messenger.Run{Task: "0000000000000003.0.0.0", Number: 1}, messenger.RunDone, 2, 3)
	require.True(t, b.ejected("a"), "a run placed before the ejection is not the probe")
}

func TestTaskThatFailsTooOftenFailsItsJobOnDifferentWorkers(t *testing.T) {
	b := newFixture(t)
	for _, a := range []string{"a", "b", "c"} {
		b.connect(a)
	}
	b.s.Submit(1, b.job(jobID, 1))
	agents := make(map[string]bool)
	for range quotes().MaxAttempts {
		var to string
		var run messenger.Run
		for _, e := range b.s.TakeEffects() {
			if s, ok := e.(scheduler.Send); ok {
				to = s.Agent
				run = s.Message.(messenger.Place).Tasks[0].Run
			}
		}
		agents[to] = true
		r := newReport(to, uint64(run.Number))
		r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunFailed}}
		b.s.HandleReport(r)
	}
	b.drain()
	require.Len(t, agents, 3)
	require.Equal(t, scheduler.JobFailed, b.replies[1].Outcome)
}

func TestJobSentAgainJoinsTheRunningOneAndGetsItsAnswer(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	j := b.job(jobID, 1)
	b.s.Submit(1, j)
	b.drain()
	run := b.placed().Tasks[0].Run
	b.s.Submit(2, j)
	require.Empty(t, b.drain())
	r := newReport("a", 1)
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
	b.s.HandleReport(r)
	b.s.Submit(3, j)
	b.drain()
	for ticket := range uint64(3) {
		require.Equal(t, scheduler.Complete, b.replies[ticket+1].Outcome)
	}
}

func TestNothingIsPlacedWhereItMustNot(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(r *messenger.Report, c *scheduler.Configuration)
	}{
		{"evacuated data centre", func(_ *messenger.Report, c *scheduler.Configuration) { c.Evacuated = map[string]bool{"dc-0": true} }},
		{"draining worker", func(r *messenger.Report, _ *scheduler.Configuration) { r.Upstream.Draining = true }},
		{"leaving agent", func(r *messenger.Report, _ *scheduler.Configuration) { r.Leaving = true }},
		{"other service", func(r *messenger.Report, _ *scheduler.Configuration) { r.Upstream.Service = "other" }},
		{"worker that does not answer calls", func(r *messenger.Report, _ *scheduler.Configuration) { r.UnansweredCalls = 1 }},
		{"worker that fails every job", func(r *messenger.Report, _ *scheduler.Configuration) { r.ConsecutiveFailedJobs = 2 }},
		{"worker whose runs make hardly any progress", func(r *messenger.Report, _ *scheduler.Configuration) { r.PaceJobs = 3; r.Pace = 0.05 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			c := configuration()
			r := newReport("a", 0)
			r.RunsComplete = true
			tt.spoil(&r, &c)
			b.s.Configure(c)
			b.connect("b") // With a second worker, one of the two may be ejected.
			b.s.LinkOpened("a")
			b.s.HandleReport(r)
			b.s.LinkClosed("b")
			b.s.Submit(1, b.job(jobID, 1))
			require.Empty(t, b.drain())
		})
	}
}

func TestStepsRunInTheirOrder(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	j := b.job(jobID, 1)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	b.s.Submit(1, j)
	b.drain()
	first := b.placed()
	require.Equal(t, jobID+".0.0.0", first.Tasks[0].Task)
	r := newReport("a", 1)
	r.Ended = []messenger.RunEnd{{Run: first.Tasks[0].Run, Reason: messenger.RunDone}}
	b.s.HandleReport(r)
	b.drain()
	require.Equal(t, jobID+".0.1.0", b.placed().Tasks[0].Task)
}

func TestRunThatIsNoLongerAtItsAgentMayHaveStarted(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.job(jobID, 1))
	b.drain()
	b.s.LinkClosed("a")
	b.clock.Advance(time.Second)
	b.s.LinkOpened("a")
	r := newReport("a", 0)
	r.RunsComplete = true
	r.Free = messenger.Resources{}
	b.s.HandleReport(r)
	b.clock.Advance(time.Second)
	b.s.Tick()
	b.drain()
	require.Equal(t, scheduler.Unsettled, b.replies[1].Outcome, b.replies[1].Why)
}
