package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/platform/emulator"
)

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = 1500 * time.Millisecond

// serveWorker serves a worker on a port that stays its own while it refuses
// connections.
func serveWorker(ctx context.Context, t testing.TB, w *emulator.Worker) string {
	address := fmt.Sprintf("127.0.0.1:%d", freePorts(t, 1)[0])
	require.NoError(t, w.Serve(ctx, address))
	return address
}

// steady sends single tasks of a given time, one each interval to each entry
// in turn, until stop is closed.
func (d *deployment) steady(work, interval time.Duration, stop chan struct{}) *sync.WaitGroup {
	d.watch.fixedWork.Store(int64(work))
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		client := &http.Client{Timeout: callerPatience + time.Second, Transport: &http.Transport{}}
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
				d.watch.submit(client, d.fronts, i%len(d.fronts), fmt.Sprintf("%016x", i), 1)
			}()
		}
	}()
	return &wg
}

// awaitBusy returns a worker on which a run has just begun.
func (d *deployment) awaitBusy() int {
	const patience = 5 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, i := range rand.Perm(len(d.workers)) {
			if d.watch.busy(d.workers[i].ID()) {
				return i
			}
		}
	}
	require.Fail(d.t, "nothing runs")
	return 0
}

// awaitRun waits until a run has just begun at a worker.
func (d *deployment) awaitRun(w *emulator.Worker) {
	require.Eventually(d.t, func() bool { return d.watch.busy(w.ID()) }, 5*time.Second, 2*time.Millisecond, "nothing runs at %s", w.ID())
}

// busy reports whether a run has just begun in a life with an id.
func (w *watcher) busy(id string) bool {
	const (
		youngest = 20 * time.Millisecond
		oldest   = 100 * time.Millisecond
	)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, runs := range w.runs {
		for _, r := range runs {
			if age := time.Since(r.began); r.life.ID == id && age > youngest && age < oldest {
				return true
			}
		}
	}
	return false
}

const (
	// strikes is how often a directed test strikes.
	strikes = 3
	// strikePause is the time between two strikes, in which all is well again.
	strikePause = 700 * time.Millisecond
)

// struck plays steady load and strikes workers one after the other, each while
// it runs a task and others have room. No task may run twice.
func struck(t *testing.T, work time.Duration, strike func(d *deployment, i int)) {
	// inFlight of the 40 tasks that there is room for.
	const inFlight = 32
	d := newDeployment(t, 2, 4)
	d.awaitReady(0)
	stop := make(chan struct{})
	callers := d.steady(work, work/inFlight, stop)
	for range strikes {
		time.Sleep(strikePause)
		strike(d, d.awaitBusy())
	}
	time.Sleep(strikePause)
	close(stop)
	callers.Wait()
	d.watch.mu.Lock()
	defer d.watch.mu.Unlock()
	t.Logf("%v", d.watch.counts)
	for _, b := range d.watch.broken {
		t.Log(b)
	}
	require.Empty(t, d.watch.broken)
	require.Positive(t, d.watch.counts["complete"])
}

func TestDepartureOfWorkerThatRunsOnStartsNoSecondRun(t *testing.T) {
	struck(t, 400*time.Millisecond, func(d *deployment, i int) {
		d.workers[i].SendDelete(t.Context(), d.workers[i].ID())
	})
}

func TestHeartbeatOfStrangerStartsNoSecondRun(t *testing.T) {
	struck(t, 400*time.Millisecond, func(d *deployment, i int) {
		d.workers[i].AnnounceStranger(t.Context(), "stranger")
	})
}

func TestRestartedAgentWithoutAnswersStartsNoSecondRun(t *testing.T) {
	const unanswered = 700 * time.Millisecond
	w := func(d *deployment, i int) *emulator.Worker { return d.workers[i] }
	for _, c := range []struct {
		name     string
		cut, end func(w *emulator.Worker)
	}{
		{
			"refused", (*emulator.Worker).Refuse, (*emulator.Worker).Accept,
		},
		{
			"reset",
			func(w *emulator.Worker) {
				w.Treat(emulator.Treatments{Starts: emulator.ResetBefore, Stops: emulator.ResetBefore, Looks: emulator.ResetBefore, Share: 1})
			},
			func(w *emulator.Worker) { w.Treat(emulator.Treatments{}) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			struck(t, time.Second, func(d *deployment, i int) {
				c.cut(w(d, i))
				d.agents[i].end(syscall.SIGKILL)
				d.agents[i].start(t)
				time.Sleep(unanswered)
				c.end(w(d, i))
			})
		})
	}
}

func TestStartsResetAfterTheyTookEffectStartNoSecondRun(t *testing.T) {
	const lasts = 1500 * time.Millisecond
	struck(t, 300*time.Millisecond, func(d *deployment, i int) {
		d.workers[i].Treat(emulator.Treatments{Starts: emulator.ResetAfter, Looks: emulator.ResetBefore, Share: 0.7})
		time.Sleep(lasts)
		d.workers[i].Treat(emulator.Treatments{})
	})
}

func TestLateDepartureOfEarlierLifeStartsNoSecondRun(t *testing.T) {
	const late = 800 * time.Millisecond
	struck(t, 400*time.Millisecond, func(d *deployment, i int) {
		w := d.workers[i]
		w.Crash(t.Context(), 0, w.ID())
		time.Sleep(late)
		d.awaitRun(w)
		w.SendDelete(t.Context(), w.ID())
	})
}

func TestLateHeartbeatOfEarlierLifeStartsNoSecondRun(t *testing.T) {
	for _, sameID := range []bool{true, false} {
		t.Run(fmt.Sprintf("same id %t", sameID), func(t *testing.T) {
			struck(t, 400*time.Millisecond, func(d *deployment, i int) {
				w := d.workers[i]
				id := w.ID()
				if !sameID {
					id = w.FreshID()
				}
				w.Crash(t.Context(), 0, id)
				d.awaitRun(w)
				require.True(t, w.AnnounceEarlier(t.Context()))
			})
		})
	}
}

func TestPlannedEndOfWorkerThatRunsOnStartsNoSecondRun(t *testing.T) {
	for _, runsOn := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(runsOn.String(), func(t *testing.T) {
			struck(t, 400*time.Millisecond, func(d *deployment, i int) {
				w := d.workers[i]
				w.Leave(t.Context(), emulator.Leaving{
					Notice: time.Duration(50+rand.IntN(300)) * time.Millisecond, RunsOn: runsOn, NextID: w.FreshID(),
				})
			})
		})
	}
}

func TestWorkerCutOffThatRunsOnStartsNoSecondRun(t *testing.T) {
	const lasts = 500 * time.Millisecond
	struck(t, 500*time.Millisecond, func(d *deployment, i int) {
		d.workers[i].Refuse()
		time.Sleep(lasts)
		d.workers[i].Accept()
	})
}
