package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// withdrawnRun places a job of one task at an agent, disconnects its caller, requires
// that the run is withdrawn, and returns it.
func (b *fixture) withdrawnRun() messenger.Run {
	b.connect("a")
	b.connect("b")
	run := b.submitPlaced(1, b.job(jobID, 1))
	b.s.CallerLeft(1)
	require.Equal(b.t, []any{messenger.Withdraw{Runs: []messenger.Run{run}}}, b.drain())
	return run
}

func TestJobSentAgainWaitsUntilTheRunsOfItsLastTryAreOver(t *testing.T) {
	tests := []struct {
		name string
		over func(b *fixture, run messenger.Run)
		run  int
	}{
		{"stopped", func(b *fixture, run messenger.Run) {
			r := newReport("a", 1)
			r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunStopped}}
			b.s.HandleReport(r)
		}, 2},
		{"refused", func(b *fixture, run messenger.Run) {
			r := newReport("a", 1)
			r.Refused = []messenger.Refusal{{Run: run, Reason: messenger.RefusedWithdrawn}}
			b.s.HandleReport(r)
		}, 2},
		{"missing from its agent's list on the next link", func(b *fixture, run messenger.Run) {
			b.s.LinkClosed("a")
			b.s.LinkOpened("a")
			r := newReport("a", 0)
			r.RunsComplete = true
			r.Runs = []messenger.Progress{{Run: run, Percent: 50}}
			b.s.HandleReport(r)
			require.Equal(b.t, []any{messenger.Withdraw{Runs: []messenger.Run{run}}}, b.drain())
			r.Runs = nil
			b.s.HandleReport(r)
		}, 2},
		{"agent lost", func(b *fixture, _ messenger.Run) {
			b.s.LinkClosed("a")
			for range 5 {
				b.clock.Advance(260 * time.Millisecond)
				b.heartbeat("b", 0)
			}
			b.s.Tick()
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			run := b.withdrawnRun()
			b.s.Submit(2, b.longJob())
			require.Empty(t, b.drain(), "run 1 may not have ended")
			b.clock.Advance(100 * time.Millisecond)
			b.s.HandleReport(newReport("b", 0))
			b.s.Tick()
			require.Empty(t, b.drain(), "run 1 may still not have ended")
			tt.over(b, run)
			b.drain()
			require.Equal(t, tt.run, b.placed().Tasks[0].Number)
		})
	}
}

func TestWithdrawnRunThatARestartedAgentFoundIsWithdrawnAgain(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	run := b.submitPlaced(1, b.longJob())
	b.s.LinkClosed("a")
	b.s.CallerLeft(1)
	b.drain()
	b.reconnectRestarted("a", messenger.Progress{Run: run})
	require.Equal(t, []any{messenger.Withdraw{Runs: []messenger.Run{run}}}, b.drain())
}

func TestTaskThatWasDoneInTheLastTryIsNotRunAgain(t *testing.T) {
	b := newFixture(t)
	run := b.withdrawnRun()
	b.s.Submit(2, b.job(jobID, 1))
	r := newReport("a", 1)
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
	b.s.HandleReport(r)
	require.Empty(t, b.drain())
	require.Equal(t, scheduler.Complete, b.replies[2].Outcome)
}

func TestRefusalOfAJobWhoseLastTryMayHaveRunDoesNotSayThatItHasNotRun(t *testing.T) {
	b := newFixture(t)
	b.withdrawnRun()
	j := b.job(jobID, 1)
	j.Deadline = b.clock.Now().Add(20 * time.Millisecond)
	b.s.Submit(2, j)
	b.drain()
	require.Equal(t, scheduler.Unsettled, b.replies[2].Outcome)
}

func TestRefusalOfARunThatWasThereBeforeDoesNotTellThatTheJobHasNotRun(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.job(jobID, 1))
	b.drain()
	r := newReport("a", 1)
	r.Refused = []messenger.Refusal{{Run: b.placed().Tasks[0].Run, Reason: messenger.RefusedSuperseded}}
	b.s.HandleReport(r)
	b.clock.Advance(1500 * time.Millisecond)
	b.s.Tick()
	b.drain()
	require.Equal(t, scheduler.Unsettled, b.replies[1].Outcome)
}

func TestJobWhoseTaskFailedTooOftenLeavesNoRunBehind(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.s.Submit(1, b.longJob())
	b.drain()
	seen := uint64(0)
	for len(b.replies) == 0 {
		run := b.placed().Tasks[0].Run
		seen++
		r := newReport("a", seen)
		r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunFailed}}
		b.s.HandleReport(r)
		b.drain()
		for len(b.replies) == 0 && len(b.sent) == 0 {
			b.clock.Advance(100 * time.Millisecond)
			b.s.HandleReport(newReport("a", seen))
			b.s.Tick()
			b.drain()
		}
	}
	// Once the record of the job has expired, the caller sends the job again.
	b.clock.Advance(16 * time.Second)
	b.s.Tick()
	b.s.HandleReport(newReport("a", seen))
	b.drain()
	b.s.Submit(2, b.longJob())
	b.drain()
	require.NotEmpty(t, b.sent, "all runs of the job's earlier submission have ended")
}

func TestRunThatARestartedAgentFoundHasBegunItsJob(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	run := b.submitPlaced(1, b.job(jobID, 1))
	b.s.LinkClosed("a")
	r := b.reconnectRestarted("a", messenger.Progress{Run: run})
	r.Refused = []messenger.Refusal{{Run: run, Reason: messenger.RefusedNoRoom}}
	r.Free = messenger.Resources{}
	b.s.HandleReport(r)
	b.clock.Advance(400 * time.Millisecond)
	b.s.Tick()
	b.drain()
	require.NotEqual(t, scheduler.Overloaded, b.replies[1].Outcome)
}
