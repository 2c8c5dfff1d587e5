package executor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// speedHarness plays runs one after the other and records the speed that is reported.
type speedHarness struct {
	*harness
	rng      *rand.Rand
	born     int64
	jobCount int
	// endCount counts the ends of the worker's present incarnation.
	endCount int64
	speed    float64
	// weight is the last SpeedJobs.
	weight int
}

func newSpeedHarness(t *testing.T, seed uint64) *speedHarness {
	h := &speedHarness{harness: newHarness(t), rng: rand.New(rand.NewPCG(seed, 1)), born: 1}
	h.answerLastPoll()
	return h
}

// recordSpeed records the speed in the last reports.
func (h *speedHarness) recordSpeed() {
	for _, r := range h.reports {
		if r.Speed > 0 {
			h.speed, h.weight = r.Speed, r.SpeedJobs
		}
	}
}

// answerLastPoll has the worker answer the last poll.
func (h *speedHarness) answerLastPoll(ended ...executor.EndRecord) {
	h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: h.born, Ended: ended})
	h.collect()
	h.recordSpeed()
}

// passAnswered advances the clock while the worker answers polls and the entry sends
// heartbeats.
func (h *speedHarness) passAnswered(span time.Duration, running ...messenger.Progress) {
	const step = 10 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += step {
		h.clock.Advance(min(step, span-passed))
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.x.Tick()
		h.collect()
		h.recordSpeed()
		h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: h.born, Running: running})
		h.collect()
		h.recordSpeed()
	}
}

// runJob runs a task of a new job on a worker of a speed. The task takes 60 ms at speed
// 1, and its estimate is off by up to 40%.
func (h *speedHarness) runJob(speed float64) {
	h.jobCount++
	h.runTask(fmt.Sprintf("j%d", h.jobCount), speed, 0.6+0.8*h.rng.Float64())
}

// runTask runs a task of a job whose estimate is off by the factor estimate.
func (h *speedHarness) runTask(job string, speed, estimate float64) {
	const work = 60 * time.Millisecond
	h.placed++
	r := messenger.Run{Task: fmt.Sprintf("%s.0.0.%d", job, h.placed), Number: 1}
	h.x.HandlePlace("e", messenger.Place{
		Number: h.placed, Job: job, Service: "quotes", MaxWait: time.Second, Echo: h.timestamp,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: 1000}, Estimate: time.Duration(estimate * float64(work))}},
	})
	h.collect()
	h.x.HandleStartResult(r, h.starts[0].Token, executor.Accepted)
	h.collect()
	h.passAnswered(time.Duration(float64(work)/speed), messenger.Progress{Run: r})
	h.endCount++
	h.answerLastPoll(executor.EndRecord{Number: h.endCount, RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunDone}})
}

// TestSpeedIsKnownDespiteTheErrorOfEstimates guards against a speed that follows the
// estimates of single jobs, which are off by 40% either way.
func TestSpeedIsKnownDespiteTheErrorOfEstimates(t *testing.T) {
	for _, speed := range []float64{0.55, 0.83, 1, 1.8} {
		for seed := range uint64(10) {
			h := newSpeedHarness(t, seed)
			for range 30 {
				h.runJob(speed)
			}
			h.passAnswered(messenger.HeartbeatInterval)
			require.InEpsilon(t, speed, h.speed, 0.2, "seed %d", seed)
			require.GreaterOrEqual(t, h.weight, 8)
		}
	}
}

// TestStragglerDoesNotMakeItsWorkerSlow guards against a task that takes seven times as
// long as its sibling and lowers the speed of the worker.
func TestStragglerDoesNotMakeItsWorkerSlow(t *testing.T) {
	h := newSpeedHarness(t, 1)
	for i := range 12 {
		job := fmt.Sprintf("j%d", i)
		h.runTask(job, 1, 1)
		h.runTask(job, 1.0/7, 1)
	}
	h.passAnswered(messenger.HeartbeatInterval)
	require.InEpsilon(t, 1, h.speed, 0.1)
	require.LessOrEqual(t, h.weight, 12, "tasks of one job count as one sample")
}

// TestChangeOfSpeedIsDetectedWithinAFewEnds guards against placing tasks for seconds by
// a speed that the worker no longer has.
func TestChangeOfSpeedIsDetectedWithinAFewEnds(t *testing.T) {
	for _, change := range []struct{ from, to float64 }{{1, 0.4}, {0.83, 1.8}} {
		for seed := range uint64(10) {
			h := newSpeedHarness(t, seed)
			for range 20 {
				h.runJob(change.from)
			}
			for range 6 {
				h.runJob(change.to)
			}
			require.InEpsilon(t, change.to, h.speed, 0.35, "%v, seed %d", change, seed)
			require.LessOrEqual(t, h.weight, 6, "older samples are dropped")
		}
	}
}

// TestSpeedOfAnEarlierIncarnationIsDropped guards against a worker that restarts on
// another machine and is rated by the speed of the last one.
func TestSpeedOfAnEarlierIncarnationIsDropped(t *testing.T) {
	h := newSpeedHarness(t, 1)
	for range 12 {
		h.runJob(0.5)
	}
	require.Less(t, h.speed, 0.7)
	h.born = 2
	h.endCount = 0
	h.x.SetUpstream(upstream(2))
	h.collect()
	h.passAnswered(2 * messenger.HeartbeatInterval)
	require.InDelta(t, 1, h.speed, 0)
	require.Zero(t, h.weight)
}

// TestSpeedDecaysToUnknown guards against a worker that is avoided for a speed of long
// ago.
func TestSpeedDecaysToUnknown(t *testing.T) {
	h := newSpeedHarness(t, 1)
	for range 12 {
		h.runJob(0.5)
	}
	h.passAnswered(30 * time.Second)
	require.Zero(t, h.weight)
	require.InDelta(t, 1, h.speed, 0)
}

// TestRunSeenLateGivesNoSpeedSample guards against a speed that is lower than the
// worker's because its answers were lost.
func TestRunSeenLateGivesNoSpeedSample(t *testing.T) {
	h := newSpeedHarness(t, 1)
	h.place(run1, 1000)
	h.x.HandleStartResult(run1, h.starts[0].Token, executor.Accepted)
	h.collect()
	h.clock.Advance(300 * time.Millisecond)
	h.answerLastPoll(executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	h.passAnswered(2 * messenger.HeartbeatInterval)
	require.Zero(t, h.speed)
}

// TestSpeedIsReportedWithHeartbeatsOrWhenItHasChanged guards against reports that are
// larger for a speed that has not changed.
func TestSpeedIsReportedWithHeartbeatsOrWhenItHasChanged(t *testing.T) {
	h := newSpeedHarness(t, 1)
	withSpeed, all := 0, 0
	startedAt := h.clock.Now()
	for i := range 100 {
		h.place(messenger.Run{Task: fmt.Sprintf("j%d.0.0.0", i), Number: 1}, 100)
		r := h.starts[0].Run
		h.x.HandleStartResult(r, h.starts[0].Token, executor.Accepted)
		h.collect()
		h.clock.Advance(10 * time.Millisecond)
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.collect()
		h.x.HandlePollResult(executor.PollResult{Number: h.lastPoll, Born: 1, Ended: []executor.EndRecord{{Number: int64(i + 1), RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunDone}}}})
		h.collect()
		for _, report := range h.reports {
			all++
			if report.Speed > 0 {
				withSpeed++
			}
		}
	}
	heartbeats := int(h.clock.Since(startedAt)/(messenger.HeartbeatInterval/2)) + 2
	require.LessOrEqual(t, withSpeed, heartbeats)
	require.Greater(t, all, 2*withSpeed)
}
