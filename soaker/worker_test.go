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

// serveWorker serves a worker on a port that stays its own while it refuses
// connections.
func serveWorker(ctx context.Context, t testing.TB, w *emulator.Worker) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", freePorts(t, 1)[0])
		err := w.Serve(ctx, address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // Another soak has taken it since.
		}
		require.NoError(t, err)
		return address
	}
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
func (d *deployment) awaitBusy() *site {
	const patience = 5 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		sites := d.all()
		for _, i := range rand.Perm(len(sites)) {
			if d.watch.busy(sites[i].worker.ID()) {
				return sites[i]
			}
		}
	}
	require.FailNow(d.t, "nothing runs")
	return nil
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

// strikeWorkers plays steady load and strikes workers one after the other, each while
// it runs a task and others have room. No task may run twice.
func strikeWorkers(t *testing.T, work time.Duration, strike func(d *deployment, s *site)) {
	runBeside(t)
	// inFlight of the 40 tasks that there is room for.
	const inFlight = 32
	d := deploy(t, 2, 4, true)
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
	d.watch.report(t)
	d.judge("%s", t.Name())
}

// report prints what was broken, a line each.
func (w *watcher) report(t *testing.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range slices.Concat(w.broken, w.repeated) {
		t.Log(b)
	}
}

func TestDepartureOfWorkerThatRunsOnStartsNoSecondRun(t *testing.T) {
	strikeWorkers(t, 400*time.Millisecond, func(d *deployment, s *site) {
		s.worker.SendDelete(t.Context(), s.worker.ID())
	})
}

func TestHeartbeatOfStrangerStartsNoSecondRun(t *testing.T) {
	strikeWorkers(t, 400*time.Millisecond, func(d *deployment, s *site) {
		s.worker.SendForeignHeartbeat(t.Context(), "stranger")
	})
}

func TestRestartedAgentWithoutAnswersStartsNoSecondRun(t *testing.T) {
	const unanswered = 700 * time.Millisecond
	for _, c := range []struct {
		name     string
		cut, end func(w *emulator.Worker)
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
			strikeWorkers(t, time.Second, func(d *deployment, s *site) {
				c.cut(s.worker)
				s.agent.end(syscall.SIGKILL)
				s.agent.start(t)
				time.Sleep(unanswered)
				c.end(s.worker)
			})
		})
	}
}

func TestOrdersWithoutAnswersStartNoSecondRun(t *testing.T) {
	const lasts = 1500 * time.Millisecond
	for _, c := range []struct {
		name       string
		treatments emulator.CallFaults
	}{
		{"starts reset after they took effect", emulator.CallFaults{Starts: emulator.ResetAfter, Share: 1}},
		{"some starts and looks reset after they took effect", emulator.CallFaults{Starts: emulator.ResetAfter, Polls: emulator.ResetAfter, Share: 0.5}},
		{"starts reset after, looks before they took effect", emulator.CallFaults{Starts: emulator.ResetAfter, Polls: emulator.ResetBefore, Share: 0.7}},
		{"some starts and looks reset before they took effect", emulator.CallFaults{Starts: emulator.ResetBefore, Polls: emulator.ResetBefore, Share: 0.5}},
		{"orders held back", emulator.CallFaults{Starts: emulator.Delayed, Stops: emulator.Delayed, Share: 1}},
		{"some orders and looks held back", emulator.CallFaults{Starts: emulator.Delayed, Stops: emulator.Delayed, Polls: emulator.Delayed, Share: 0.5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			strikeWorkers(t, 300*time.Millisecond, func(_ *deployment, s *site) {
				s.worker.SetCallFaults(c.treatments)
				time.Sleep(lasts)
				s.worker.SetCallFaults(emulator.CallFaults{})
			})
		})
	}
}

func TestLateDepartureOfEarlierLifeStartsNoSecondRun(t *testing.T) {
	const late = 800 * time.Millisecond
	strikeWorkers(t, 400*time.Millisecond, func(d *deployment, s *site) {
		w := s.worker
		w.Crash(t.Context(), 0, w.ID())
		time.Sleep(late)
		d.awaitRun(w)
		w.SendDelete(t.Context(), w.ID())
	})
}

func TestLateHeartbeatOfEarlierLifeStartsNoSecondRun(t *testing.T) {
	for _, sameID := range []bool{true, false} {
		t.Run(fmt.Sprintf("same id %t", sameID), func(t *testing.T) {
			strikeWorkers(t, 400*time.Millisecond, func(d *deployment, s *site) {
				w := s.worker
				id := w.ID()
				if !sameID {
					id = w.UnusedID()
				}
				w.Crash(t.Context(), 0, id)
				d.awaitRun(w)
				require.True(t, w.ResendOldHeartbeat(t.Context()))
			})
		})
	}
}

func TestPlannedEndOfWorkerThatRunsOnStartsNoSecondRun(t *testing.T) {
	for _, runsOn := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(runsOn.String(), func(t *testing.T) {
			strikeWorkers(t, 400*time.Millisecond, func(d *deployment, s *site) {
				w := s.worker
				w.Depart(t.Context(), emulator.Departure{
					NoticePeriod: time.Duration(50+rand.IntN(300)) * time.Millisecond, Linger: runsOn, NextID: w.UnusedID(),
				})
			})
		})
	}
}

func TestWorkerCutOffThatRunsOnStartsNoSecondRun(t *testing.T) {
	const lasts = 500 * time.Millisecond
	strikeWorkers(t, 500*time.Millisecond, func(d *deployment, s *site) {
		s.worker.Disconnect()
		time.Sleep(lasts)
		s.worker.Reconnect()
	})
}

// strikeWorker lets f strike a worker, unless another fault strikes it.
func strikeWorker(s *site, f func(w *emulator.Worker)) {
	if s.busy.TryLock() {
		defer s.busy.Unlock()
		f(s.worker)
	}
}

// nextID returns the id of a worker's next life, the same one half of the time.
func nextID(rng *rand.Rand, w *emulator.Worker) string {
	if rng.IntN(2) == 0 {
		return w.ID()
	}
	return w.UnusedID()
}

// treatFor spoils the calls to a worker for a while.
func (d *deployment) treatFor(rng *rand.Rand, span time.Duration, t emulator.CallFaults) {
	t.Share = 0.2 + 0.8*rng.Float64()
	strikeWorker(pick(rng, d.all()), func(w *emulator.Worker) {
		w.SetCallFaults(t)
		time.Sleep(span)
		w.SetCallFaults(emulator.CallFaults{})
	})
}

// longestRest is how long a worker lives on at most after its departure.
const longestRest = 1500 * time.Millisecond

// workerFaults are what workers do that the pages allow.
var workerFaults = []fault{
	{"worker leaves", func(d *deployment, rng *rand.Rand, span time.Duration) {
		strikeWorker(pick(rng, d.all()), func(w *emulator.Worker) {
			w.Depart(d.ctx, emulator.Departure{
				NoticePeriod: span, Linger: between(rng, 0, longestRest), Downtime: between(rng, 0, span), NextID: nextID(rng, w),
			})
		})
	}},
	{"worker crashes", func(d *deployment, rng *rand.Rand, span time.Duration) {
		strikeWorker(pick(rng, d.all()), func(w *emulator.Worker) { w.Crash(d.ctx, between(rng, 0, span), nextID(rng, w)) })
	}},
	{"departure of an earlier life is late", func(d *deployment, rng *rand.Rand, span time.Duration) {
		strikeWorker(pick(rng, d.all()), func(w *emulator.Worker) {
			id := w.ID()
			w.Crash(d.ctx, 0, id)
			time.Sleep(span)
			w.SendDelete(d.ctx, id)
		})
	}},
	{"heartbeat of an earlier life is late", func(d *deployment, rng *rand.Rand, span time.Duration) {
		strikeWorker(pick(rng, d.all()), func(w *emulator.Worker) {
			w.Crash(d.ctx, 0, nextID(rng, w))
			time.Sleep(span)
			w.ResendOldHeartbeat(d.ctx)
		})
	}},
	{"heartbeat of a stranger", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		pick(rng, d.all()).worker.SendForeignHeartbeat(d.ctx, fmt.Sprintf("stranger-%d", rng.IntN(1000)))
	}},
	{"worker sends no heartbeats", func(d *deployment, rng *rand.Rand, span time.Duration) {
		strikeWorker(pick(rng, d.all()), func(w *emulator.Worker) {
			w.SuppressHeartbeats(true)
			time.Sleep(span)
			w.SuppressHeartbeats(false)
		})
	}},
	{"worker cut off", func(d *deployment, rng *rand.Rand, span time.Duration) {
		strikeWorker(pick(rng, d.all()), func(w *emulator.Worker) {
			w.Disconnect()
			time.Sleep(span)
			w.Reconnect()
		})
	}},
	{"orders carried out and reset", func(d *deployment, rng *rand.Rand, span time.Duration) {
		d.treatFor(rng, span, emulator.CallFaults{Starts: emulator.ResetAfter, Stops: emulator.ResetAfter})
	}},
	{"starts and looks reset", func(d *deployment, rng *rand.Rand, span time.Duration) {
		d.treatFor(rng, span, emulator.CallFaults{Starts: emulator.ResetBefore, Polls: emulator.ResetBefore})
	}},
	{"calls held back", func(d *deployment, rng *rand.Rand, span time.Duration) {
		d.treatFor(rng, span, emulator.CallFaults{Starts: emulator.Delayed, Stops: emulator.Delayed, Polls: emulator.Delayed})
	}},
}
