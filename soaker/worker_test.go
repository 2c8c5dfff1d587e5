package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/platform/emulator"
)

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = 1500 * time.Millisecond

// serveWorker serves a worker on a port below the kernel's range for outgoing
// connections, so that the port stays free while the worker refuses connections. It
// returns the address.
func serveWorker(ctx context.Context, t testing.TB, w *emulator.Worker) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", freePorts(t, 1)[0])
		err := w.Serve(ctx, address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // Another soak process has taken the port in the meantime.
		}
		require.NoError(t, err)
		return address
	}
}

// startSteadyLoad submits one job with a single task of a fixed duration per interval,
// to the entries in turn, until stop is closed. The returned group is done when all are
// answered.
func (d *deployment) startSteadyLoad(work, interval time.Duration, stop chan struct{}) *sync.WaitGroup {
	d.checker.fixedWork.Store(int64(work))
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		client := &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.checker.submit(client, d.fronts, i%len(d.fronts), fmt.Sprintf("%016x", i), 1)
			}()
		}
	}()
	return &wg
}

// awaitAnyStart waits for a run that has just started and returns its instance.
func (d *deployment) awaitAnyStart() *instance {
	const timeout = 5 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		instances := d.allInstances()
		for _, i := range rand.Perm(len(instances)) {
			if d.checker.justStarted(instances[i].worker.ID()) {
				return instances[i]
			}
		}
	}
	require.FailNow(d.t, "no run has just started")
	return nil
}

// awaitStart waits until a run has just started on a worker.
func (d *deployment) awaitStart(w *emulator.Worker) {
	require.Eventually(d.t, func() bool { return d.checker.justStarted(w.ID()) }, 5*time.Second, 2*time.Millisecond, "no run has just started on %s", w.ID())
}

// justStarted reports whether a run has just started in an incarnation with an ID.
func (c *checker) justStarted(id string) bool {
	const (
		minAge = 20 * time.Millisecond
		maxAge = 100 * time.Millisecond
	)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, runs := range c.activeRuns {
		for _, r := range runs {
			if age := time.Since(r.startedAt); r.incarnation.ID == id && age > minAge && age < maxAge {
				return true
			}
		}
	}
	return false
}

const (
	// workerFaultCount is the number of faults that each test of one worker fault
	// injects.
	workerFaultCount = 3
	// recoveryInterval is the time between two faults, in which the deployment recovers.
	recoveryInterval = 700 * time.Millisecond
)

// testWorkerFault injects a fault into one worker after the other under steady load,
// each while it runs a task and others have free capacity. No task may run twice.
func testWorkerFault(t *testing.T, work time.Duration, inject func(d *deployment, inst *instance)) {
	runParallel(t)
	// inFlight is the number of tasks that run at the same time, of the 40 that the
	// workers have capacity for.
	const inFlight = 32
	d := deploy(t, 2, 4, options{direct: true})
	d.awaitReady(0)
	stop := make(chan struct{})
	callers := d.startSteadyLoad(work, work/inFlight, stop)
	for range workerFaultCount {
		time.Sleep(recoveryInterval)
		inject(d, d.awaitAnyStart())
	}
	time.Sleep(recoveryInterval)
	close(stop)
	callers.Wait()
	d.checker.logViolations(t)
	d.requireGuarantees("%s", t.Name())
}

// logViolations logs the violations and repeated runs, one line each.
func (c *checker) logViolations(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range slices.Concat(c.violations, c.repeated) {
		t.Log(violation)
	}
}

func TestDepartureOfWorkerThatKeepsRunningStartsNoSecondRun(t *testing.T) {
	testWorkerFault(t, 400*time.Millisecond, func(d *deployment, inst *instance) {
		inst.worker.SendDelete(t.Context(), inst.worker.ID())
	})
}

func TestForeignHeartbeatStartsNoSecondRun(t *testing.T) {
	testWorkerFault(t, 400*time.Millisecond, func(d *deployment, inst *instance) {
		inst.worker.SendForeignHeartbeat(t.Context(), "stranger")
	})
}

func TestAgentRestartedWithoutWorkerAnswersStartsNoSecondRun(t *testing.T) {
	const unansweredTime = 700 * time.Millisecond
	for _, c := range []struct {
		name          string
		inject, clear func(w *emulator.Worker)
	}{
		{
			"refused", (*emulator.Worker).Disconnect, (*emulator.Worker).Reconnect,
		},
		{
			"reset",
			func(w *emulator.Worker) {
				w.SetCallFaults(emulator.CallFaults{Starts: emulator.ResetBefore, Stops: emulator.ResetBefore, Polls: emulator.ResetBefore, Share: 1})
			},
			func(w *emulator.Worker) { w.SetCallFaults(emulator.CallFaults{}) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			testWorkerFault(t, time.Second, func(d *deployment, inst *instance) {
				c.inject(inst.worker)
				inst.agent.stop(syscall.SIGKILL)
				inst.agent.start(t)
				time.Sleep(unansweredTime)
				c.clear(inst.worker)
			})
		})
	}
}

func TestFaultyCallsStartNoSecondRun(t *testing.T) {
	const duration = 1500 * time.Millisecond
	for _, c := range []struct {
		name   string
		faults emulator.CallFaults
	}{
		{"starts reset after they took effect", emulator.CallFaults{Starts: emulator.ResetAfter, Share: 1}},
		{"some starts and polls reset after they took effect", emulator.CallFaults{Starts: emulator.ResetAfter, Polls: emulator.ResetAfter, Share: 0.5}},
		{"starts reset after, polls before they took effect", emulator.CallFaults{Starts: emulator.ResetAfter, Polls: emulator.ResetBefore, Share: 0.7}},
		{"some starts and polls reset before they took effect", emulator.CallFaults{Starts: emulator.ResetBefore, Polls: emulator.ResetBefore, Share: 0.5}},
		{"starts and stops delayed", emulator.CallFaults{Starts: emulator.Delayed, Stops: emulator.Delayed, Share: 1}},
		{"some starts, stops and polls delayed", emulator.CallFaults{Starts: emulator.Delayed, Stops: emulator.Delayed, Polls: emulator.Delayed, Share: 0.5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			testWorkerFault(t, 300*time.Millisecond, func(_ *deployment, inst *instance) {
				inst.worker.SetCallFaults(c.faults)
				time.Sleep(duration)
				inst.worker.SetCallFaults(emulator.CallFaults{})
			})
		})
	}
}

func TestLateDepartureOfEarlierIncarnationStartsNoSecondRun(t *testing.T) {
	const delay = 800 * time.Millisecond
	testWorkerFault(t, 400*time.Millisecond, func(d *deployment, inst *instance) {
		w := inst.worker
		w.Crash(t.Context(), 0, w.ID())
		time.Sleep(delay)
		d.awaitStart(w)
		w.SendDelete(t.Context(), w.ID())
	})
}

func TestLateHeartbeatOfEarlierIncarnationStartsNoSecondRun(t *testing.T) {
	for _, sameID := range []bool{true, false} {
		t.Run(fmt.Sprintf("same ID %t", sameID), func(t *testing.T) {
			testWorkerFault(t, 400*time.Millisecond, func(d *deployment, inst *instance) {
				w := inst.worker
				id := w.ID()
				if !sameID {
					id = w.UnusedID()
				}
				w.Crash(t.Context(), 0, id)
				d.awaitStart(w)
				require.True(t, w.ResendOldHeartbeat(t.Context()))
			})
		})
	}
}

func TestPlannedDepartureOfWorkerThatKeepsRunningStartsNoSecondRun(t *testing.T) {
	for _, linger := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(linger.String(), func(t *testing.T) {
			testWorkerFault(t, 400*time.Millisecond, func(d *deployment, inst *instance) {
				w := inst.worker
				w.Depart(t.Context(), emulator.Departure{
					NoticePeriod: time.Duration(50+rand.IntN(300)) * time.Millisecond, Linger: linger, NextID: w.UnusedID(),
				})
			})
		})
	}
}

func TestDisconnectedWorkerThatKeepsRunningStartsNoSecondRun(t *testing.T) {
	const duration = 500 * time.Millisecond
	testWorkerFault(t, 500*time.Millisecond, func(d *deployment, inst *instance) {
		inst.worker.Disconnect()
		time.Sleep(duration)
		inst.worker.Reconnect()
	})
}

// injectWorkerFault calls f unless another fault affects the worker.
func injectWorkerFault(inst *instance, f func(w *emulator.Worker)) {
	if inst.faultMu.TryLock() {
		defer inst.faultMu.Unlock()
		f(inst.worker)
	}
}

// nextID returns the ID of a worker's next incarnation, half of the time the same one.
func nextID(rng *rand.Rand, w *emulator.Worker) string {
	if rng.IntN(2) == 0 {
		return w.ID()
	}
	return w.UnusedID()
}

// injectCallFaults injects faults into a random share (20 to 100 %) of the calls to a
// worker for a duration.
func (d *deployment) injectCallFaults(rng *rand.Rand, duration time.Duration, callFaults emulator.CallFaults) {
	callFaults.Share = 0.2 + 0.8*rng.Float64()
	injectWorkerFault(pick(rng, d.allInstances()), func(w *emulator.Worker) {
		w.SetCallFaults(callFaults)
		time.Sleep(duration)
		w.SetCallFaults(emulator.CallFaults{})
	})
}

// maxLinger is the longest time for which a worker keeps running after its departure.
const maxLinger = 1500 * time.Millisecond

// workerFaults are faults of workers that the documentation of upstream allows.
var workerFaults = []fault{
	{"worker departs", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		injectWorkerFault(pick(rng, d.allInstances()), func(w *emulator.Worker) {
			w.Depart(d.ctx, emulator.Departure{
				NoticePeriod: duration, Linger: randomDuration(rng, 0, maxLinger), Downtime: randomDuration(rng, 0, duration), NextID: nextID(rng, w),
			})
		})
	}},
	{"worker crashes", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		injectWorkerFault(pick(rng, d.allInstances()), func(w *emulator.Worker) { w.Crash(d.ctx, randomDuration(rng, 0, duration), nextID(rng, w)) })
	}},
	{"late departure of an earlier incarnation", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		injectWorkerFault(pick(rng, d.allInstances()), func(w *emulator.Worker) {
			id := w.ID()
			w.Crash(d.ctx, 0, id)
			time.Sleep(duration)
			w.SendDelete(d.ctx, id)
		})
	}},
	{"late heartbeat of an earlier incarnation", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		injectWorkerFault(pick(rng, d.allInstances()), func(w *emulator.Worker) {
			w.Crash(d.ctx, 0, nextID(rng, w))
			time.Sleep(duration)
			w.ResendOldHeartbeat(d.ctx)
		})
	}},
	{"foreign heartbeat", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		pick(rng, d.allInstances()).worker.SendForeignHeartbeat(d.ctx, fmt.Sprintf("stranger-%d", rng.IntN(1000)))
	}},
	{"worker sends no heartbeats", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		injectWorkerFault(pick(rng, d.allInstances()), func(w *emulator.Worker) {
			w.SuppressHeartbeats(true)
			time.Sleep(duration)
			w.SuppressHeartbeats(false)
		})
	}},
	{"worker disconnected", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		injectWorkerFault(pick(rng, d.allInstances()), func(w *emulator.Worker) {
			w.Disconnect()
			time.Sleep(duration)
			w.Reconnect()
		})
	}},
	{"starts and stops reset after they took effect", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		d.injectCallFaults(rng, duration, emulator.CallFaults{Starts: emulator.ResetAfter, Stops: emulator.ResetAfter})
	}},
	{"starts and polls reset before they took effect", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		d.injectCallFaults(rng, duration, emulator.CallFaults{Starts: emulator.ResetBefore, Polls: emulator.ResetBefore})
	}},
	{"calls delayed", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		d.injectCallFaults(rng, duration, emulator.CallFaults{Starts: emulator.Delayed, Stops: emulator.Delayed, Polls: emulator.Delayed})
	}},
}
