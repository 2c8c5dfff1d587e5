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

// speedHarness plays runs one after the other and keeps what is told of the speed.
type speedHarness struct {
	*harness
	rng  *rand.Rand
	born int64
	jobs int
	// ends counts the ends of the worker's incarnation.
	ends  int64
	speed float64
	// weight is the last SpeedJobs.
	weight int
}

func newSpeedHarness(t *testing.T, seed uint64) *speedHarness {
	b := &speedHarness{harness: newHarness(t), rng: rand.New(rand.NewPCG(seed, 1)), born: 1}
	b.answerLastPoll()
	return b
}

// recordSpeed keeps the speed in the last reports.
func (b *speedHarness) recordSpeed() {
	for _, r := range b.reports {
		if r.Speed > 0 {
			b.speed, b.weight = r.Speed, r.SpeedJobs
		}
	}
}

// answerLastPoll answers the last look.
func (b *speedHarness) answerLastPoll(ended ...executor.EndRecord) {
	b.x.HandlePollResult(executor.PollResult{Number: b.lastPoll, Born: b.born, Ended: ended})
	b.collect()
	b.recordSpeed()
}

// passAnswered lets time pass in which the worker answers looks and the entry is there.
func (b *speedHarness) passAnswered(span time.Duration, running ...messenger.Progress) {
	const step = 10 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += step {
		b.clock.Advance(min(step, span-passed))
		b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.x.Tick()
		b.collect()
		b.recordSpeed()
		b.x.HandlePollResult(executor.PollResult{Number: b.lastPoll, Born: b.born, Running: running})
		b.collect()
		b.recordSpeed()
	}
}

// job runs a task of a new job that takes 60 ms on a worker of a speed, and whose
// estimate is off by up to 40%.
func (b *speedHarness) job(speed float64) {
	b.jobs++
	b.run(fmt.Sprintf("j%d", b.jobs), speed, 0.6+0.8*b.rng.Float64())
}

// run runs a task of a job whose estimate is off by a factor.
func (b *speedHarness) run(job string, speed, estimate float64) {
	const work = 60 * time.Millisecond
	b.placed++
	r := messenger.Run{Task: fmt.Sprintf("%s.0.0.%d", job, b.placed), Number: 1}
	b.x.HandlePlace("e", messenger.Place{
		Number: b.placed, Job: job, Service: "quotes", MaxWait: time.Second, Echo: b.stamp,
		Tasks: []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: 1000}, Estimate: time.Duration(estimate * float64(work))}},
	})
	b.collect()
	b.x.HandleStartResult(r, b.starts[0].Token, executor.Accepted)
	b.collect()
	b.passAnswered(time.Duration(float64(work)/speed), messenger.Progress{Run: r})
	b.ends++
	b.answerLastPoll(executor.EndRecord{Number: b.ends, RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunDone}})
}

// TestSpeedIsKnownDespiteTheErrorOfEstimates guards against a speed that follows the
// estimates of single jobs, which are off by 40% either way.
func TestSpeedIsKnownDespiteTheErrorOfEstimates(t *testing.T) {
	for _, speed := range []float64{0.55, 0.83, 1, 1.8} {
		for seed := range uint64(10) {
			b := newSpeedHarness(t, seed)
			for range 30 {
				b.job(speed)
			}
			b.passAnswered(messenger.HeartbeatInterval)
			require.InEpsilon(t, speed, b.speed, 0.2, "seed %d", seed)
			require.GreaterOrEqual(t, b.weight, 8)
		}
	}
}

// TestStragglerDoesNotMakeItsWorkerSlow guards against a task that takes seven times
// as long as its sibling and counts for the worker.
func TestStragglerDoesNotMakeItsWorkerSlow(t *testing.T) {
	b := newSpeedHarness(t, 1)
	for i := range 12 {
		job := fmt.Sprintf("j%d", i)
		b.run(job, 1, 1)
		b.run(job, 1.0/7, 1)
	}
	b.passAnswered(messenger.HeartbeatInterval)
	require.InEpsilon(t, 1, b.speed, 0.1)
	require.LessOrEqual(t, b.weight, 12, "tasks of one job are one sample")
}

// TestChangeOfSpeedIsBelievedWithinAFewEnds guards against placing for seconds by the
// speed that a worker has had.
func TestChangeOfSpeedIsBelievedWithinAFewEnds(t *testing.T) {
	for _, change := range []struct{ from, to float64 }{{1, 0.4}, {0.83, 1.8}} {
		for seed := range uint64(10) {
			b := newSpeedHarness(t, seed)
			for range 20 {
				b.job(change.from)
			}
			for range 6 {
				b.job(change.to)
			}
			require.InEpsilon(t, change.to, b.speed, 0.35, "%v, seed %d", change, seed)
			require.LessOrEqual(t, b.weight, 6, "older samples are dropped")
		}
	}
}

// TestSpeedOfAnEarlierIncarnationIsForgotten guards against a worker that comes back
// on another machine and is judged by the last one.
func TestSpeedOfAnEarlierIncarnationIsForgotten(t *testing.T) {
	b := newSpeedHarness(t, 1)
	for range 12 {
		b.job(0.5)
	}
	require.Less(t, b.speed, 0.7)
	b.born = 2
	b.ends = 0
	b.x.SetUpstream(upstream(2))
	b.collect()
	b.passAnswered(2 * messenger.HeartbeatInterval)
	require.InDelta(t, 1, b.speed, 0)
	require.Zero(t, b.weight)
}

// TestSpeedDecaysToUnknown guards against a worker that is avoided for a speed of long ago.
func TestSpeedDecaysToUnknown(t *testing.T) {
	b := newSpeedHarness(t, 1)
	for range 12 {
		b.job(0.5)
	}
	b.passAnswered(30 * time.Second)
	require.Zero(t, b.weight)
	require.InDelta(t, 1, b.speed, 0)
}

// TestRunSeenLateTellsNothingOfTheSpeed guards against a speed that is worse than
// the worker's since its answers were lost.
func TestRunSeenLateTellsNothingOfTheSpeed(t *testing.T) {
	b := newSpeedHarness(t, 1)
	b.place(run1, 1000)
	b.x.HandleStartResult(run1, b.starts[0].Token, executor.Accepted)
	b.collect()
	b.clock.Advance(300 * time.Millisecond)
	b.answerLastPoll(executor.EndRecord{Number: 1, RunEnd: messenger.RunEnd{Run: run1, Reason: messenger.RunDone}})
	b.passAnswered(2 * messenger.HeartbeatInterval)
	require.Zero(t, b.speed)
}

// TestSpeedIsToldWithHeartbeatsOrWhenItHasChanged guards against reports that grow
// by a speed which says nothing new.
func TestSpeedIsToldWithHeartbeatsOrWhenItHasChanged(t *testing.T) {
	b := newSpeedHarness(t, 1)
	told, all := 0, 0
	began := b.clock.Now()
	for i := range 100 {
		b.place(messenger.Run{Task: fmt.Sprintf("j%d.0.0.0", i), Number: 1}, 100)
		r := b.starts[0].Run
		b.x.HandleStartResult(r, b.starts[0].Token, executor.Accepted)
		b.collect()
		b.clock.Advance(10 * time.Millisecond)
		b.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: b.stamp})
		b.collect()
		b.x.HandlePollResult(executor.PollResult{Number: b.lastPoll, Born: 1, Ended: []executor.EndRecord{{Number: int64(i + 1), RunEnd: messenger.RunEnd{Run: r, Reason: messenger.RunDone}}}})
		b.collect()
		for _, tell := range b.reports {
			all++
			if tell.Speed > 0 {
				told++
			}
		}
	}
	beats := int(b.clock.Since(began)/(messenger.HeartbeatInterval/2)) + 2
	require.LessOrEqual(t, told, beats)
	require.Greater(t, all, 2*told)
}
