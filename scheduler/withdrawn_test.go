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
func (f *fixture) withdrawnRun() messenger.Run {
	f.connect("a")
	f.connect("b")
	run := f.submitPlaced(1, f.job(jobID, 1))
	f.s.CallerLeft(1)
	require.Equal(f.t, []any{messenger.Withdraw{Runs: []messenger.Run{run}}}, f.takeEffects())
	return run
}

func TestJobSentAgainWaitsUntilTheRunsOfItsLastAttemptHaveEnded(t *testing.T) {
	tests := []struct {
		name string
		end  func(f *fixture, run messenger.Run)
		run  int
	}{
		{"stopped", func(f *fixture, run messenger.Run) {
			r := newReport("a", 1)
			r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunStopped}}
			f.s.HandleReport(r)
		}, 2},
		{"refused", func(f *fixture, run messenger.Run) {
			r := newReport("a", 1)
			r.Refused = []messenger.Refusal{{Run: run, Reason: messenger.RefusedWithdrawn}}
			f.s.HandleReport(r)
		}, 2},
		{"missing from its agent's list on the next link", func(f *fixture, run messenger.Run) {
			f.s.LinkClosed("a")
			f.s.LinkOpened("a")
			r := newReport("a", 0)
			r.RunsComplete = true
			r.Runs = []messenger.Progress{{Run: run, Percent: 50}}
			f.s.HandleReport(r)
			require.Equal(f.t, []any{messenger.Withdraw{Runs: []messenger.Run{run}}}, f.takeEffects())
			r.Runs = nil
			f.s.HandleReport(r)
		}, 2},
		{"agent lost", func(f *fixture, _ messenger.Run) {
			f.s.LinkClosed("a")
			for range 5 {
				f.clock.Advance(260 * time.Millisecond)
				f.heartbeat("b", 0)
			}
			f.s.Tick()
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			run := f.withdrawnRun()
			f.s.Submit(2, f.longJob())
			require.Empty(t, f.takeEffects(), "run 1 may not have ended")
			f.clock.Advance(100 * time.Millisecond)
			f.s.HandleReport(newReport("b", 0))
			f.s.Tick()
			require.Empty(t, f.takeEffects(), "run 1 may still not have ended")
			tt.end(f, run)
			f.takeEffects()
			require.Equal(t, tt.run, f.placed().Tasks[0].Number)
		})
	}
}

func TestWithdrawnRunThatARestartedAgentFoundIsWithdrawnAgain(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	run := f.submitPlaced(1, f.longJob())
	f.s.LinkClosed("a")
	f.s.CallerLeft(1)
	f.takeEffects()
	f.reconnectRestarted("a", messenger.Progress{Run: run})
	require.Equal(t, []any{messenger.Withdraw{Runs: []messenger.Run{run}}}, f.takeEffects())
}

func TestTaskThatWasDoneInTheLastAttemptIsNotRunAgain(t *testing.T) {
	f := newFixture(t)
	run := f.withdrawnRun()
	f.s.Submit(2, f.job(jobID, 1))
	r := newReport("a", 1)
	r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}}
	f.s.HandleReport(r)
	require.Empty(t, f.takeEffects())
	require.Equal(t, scheduler.Complete, f.replies[2].Outcome)
}

func TestRefusalOfAJobWhoseLastAttemptMayHaveRunIsUnsettled(t *testing.T) {
	f := newFixture(t)
	f.withdrawnRun()
	j := f.job(jobID, 1)
	j.Deadline = f.clock.Now().Add(20 * time.Millisecond)
	f.s.Submit(2, j)
	f.takeEffects()
	require.Equal(t, scheduler.Unsettled, f.replies[2].Outcome)
}

func TestRefusalOfASupersededRunLeavesTheJobUnsettled(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.job(jobID, 1))
	f.takeEffects()
	r := newReport("a", 1)
	r.Refused = []messenger.Refusal{{Run: f.placed().Tasks[0].Run, Reason: messenger.RefusedSuperseded}}
	f.s.HandleReport(r)
	f.clock.Advance(1500 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.Equal(t, scheduler.Unsettled, f.replies[1].Outcome)
}

func TestJobWhoseTaskFailedTooOftenLeavesNoWithdrawnRun(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	ackedPlace := uint64(0)
	for len(f.replies) == 0 {
		run := f.placed().Tasks[0].Run
		ackedPlace++
		r := newReport("a", ackedPlace)
		r.Ended = []messenger.RunEnd{{Run: run, Reason: messenger.RunFailed}}
		f.s.HandleReport(r)
		f.takeEffects()
		for len(f.replies) == 0 && len(f.sentMessages) == 0 {
			f.clock.Advance(100 * time.Millisecond)
			f.s.HandleReport(newReport("a", ackedPlace))
			f.s.Tick()
			f.takeEffects()
		}
	}
	// Once the record of the job has expired, the caller sends the job again.
	f.clock.Advance(16 * time.Second)
	f.s.Tick()
	f.s.HandleReport(newReport("a", ackedPlace))
	f.takeEffects()
	f.s.Submit(2, f.longJob())
	f.takeEffects()
	require.NotEmpty(t, f.sentMessages, "all runs of the job's earlier submission have ended")
}

func TestRunThatARestartedAgentFoundShowsThatItsJobMayHaveStarted(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	run := f.submitPlaced(1, f.job(jobID, 1))
	f.s.LinkClosed("a")
	r := f.reconnectRestarted("a", messenger.Progress{Run: run})
	r.Refused = []messenger.Refusal{{Run: run, Reason: messenger.RefusedNoRoom}}
	r.Free = messenger.Resources{}
	f.s.HandleReport(r)
	f.clock.Advance(400 * time.Millisecond)
	f.s.Tick()
	f.takeEffects()
	require.NotEqual(t, scheduler.Overloaded, f.replies[1].Outcome)
}
