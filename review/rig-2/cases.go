package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// deploy starts agents and entries. Each zone gets so many agents and one entry.
func (w *world) deploy(zones []string, agentsPerZone int, entryZones []string) error {
	w.configure(7)
	for _, z := range zones {
		for i := range agentsPerZone {
			if _, err := w.addAgent(fmt.Sprintf("side-%s-%d", z, i+1), z, "a", zones); err != nil {
				return err
			}
		}
	}
	for _, z := range entryZones {
		if _, err := w.addEntry("edge-"+z+"-1", z, zones); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	return nil
}

// retryDelay is bounds.retry_ms: a client without an answer sends its job again so much
// later.
const retryDelay = 1300 * time.Millisecond

// fiveZones are those of large/marktblick-at-large.toml, and fourZones those of
// further/cppc-sched.toml.
var fiveZones = []string{"ost-wien", "ost-graz", "ost-linz", "ost-stpoelten", "ost-eisenstadt"}

var fourZones = []string{"bkk-north", "bkk-south", "ayutthaya", "samut-prakan"}

// cutBetween cuts the zones of two machines from each other: the links of the entries of
// each to the agents of the other.
func (w *world) cutBetween(a, b string, cut bool) {
	var wg sync.WaitGroup
	for _, e := range w.entries {
		for name, p := range e.links {
			z := w.agents[name].zone
			if e.zone == a && z == b || e.zone == b && z == a {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if cut {
						p.cut()
					} else {
						p.heal()
					}
				}()
			}
		}
	}
	wg.Wait()
	w.note("zones %s and %s can reach each other: %t", a, b, !cut)
}

// load sends small jobs to an entry until stop is closed.
func (w *world) load(e *entry, stop chan struct{}, wg *sync.WaitGroup) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				j := jobSpec{id: fmt.Sprintf("77aa%012x", i), tasks: 2, cpu: 1600, took: 200 * time.Millisecond}
				w.submit(e, j, 1500*time.Millisecond)
			}()
		}
	}()
}

// drainUnheard: a worker announces that it leaves, after a heartbeat of another writer has
// come in under its id.
func drainUnheard(w *world, trouble bool) (verdict, error) {
	zones := fourZones[:3]
	if err := w.deploy(zones, 1, zones[:1]); err != nil {
		return verdict{}, err
	}
	e := w.entries["edge-"+zones[0]+"-1"]
	leaving := w.agents["side-"+zones[0]+"-1"]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	w.load(e, stop, &wg)
	time.Sleep(time.Second)
	if trouble {
		// Fields are missing: the heartbeat names no worker to use, and the others hold.
		leaving.worker.heartbeat(func(b map[string]any) {
			delete(b, "version")
			delete(b, "task_slots")
			delete(b, "address")
			b["sequence"] = b["sequence"].(int64) + 40
		})
	}
	leaving.worker.mu.Lock()
	leaving.worker.draining = true
	leaving.worker.mu.Unlock()
	if status := leaving.worker.heartbeat(nil); status/100 != 2 {
		return verdict{}, fmt.Errorf("the heartbeat was answered with %d", status)
	}
	ackedAt := time.Now()
	w.note("%s is draining, and that is acknowledged", leaving.worker.name)
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	late, last := 0, time.Duration(0)
	for _, r := range w.allRuns() {
		if after := r.began.Sub(ackedAt); r.worker == leaving.worker && after > 2*time.Second {
			late++
			last = max(last, after)
		}
	}
	if late > 0 {
		return verdict{true, fmt.Sprintf("DRAIN: %d starts later than 2 s after the acknowledgement, the last after %.3f s", late, last.Seconds())}, nil
	}
	return verdict{false, "no start later than 2 s after the acknowledgement"}, nil
}

// foreignLabels: a heartbeat of another writer comes in under a worker's id, with fields
// missing and labels that the worker doesn't have.
func foreignLabels(w *world, trouble bool) (verdict, error) {
	zones := fourZones[:3]
	if err := w.deploy(zones, 1, zones[:1]); err != nil {
		return verdict{}, err
	}
	e := w.entries["edge-"+zones[0]+"-1"]
	k := w.agents["side-"+zones[0]+"-1"].worker
	if trouble {
		k.heartbeat(func(b map[string]any) {
			delete(b, "version")
			delete(b, "task_slots")
			delete(b, "address")
			b["labels"] = []string{"b", "r-" + k.zone}
		})
		time.Sleep(100 * time.Millisecond)
	}
	j := jobSpec{id: "5c0e7a21d94b36f8", tasks: 2, cpu: 1600, took: 200 * time.Millisecond, label: "b"}
	w.submit(e, j, 1500*time.Millisecond)
	for _, r := range w.allRuns() {
		if jobIDOf(r.key.task) == j.id && r.worker.kind != j.label {
			return verdict{true, fmt.Sprintf("ROUTE: %s starts on %s, which is of kind %s, not %s", r.key, r.worker.name, r.worker.kind, j.label)}, nil
		}
	}
	return verdict{false, "no start without the label"}, nil
}

// poisonedSteps: jobs come that can never be done, since a step waits for one that isn't
// there.
func poisonedSteps(w *world, trouble bool) (verdict, error) {
	const (
		// The troubles of the site have a share of 0.05 of the jobs of a kind for 3 s. The
		// kind part-stock has 100 jobs a second, so that is 15 jobs.
		poisoned = 12
		within   = 3 * time.Second
		patience = 1500 * time.Millisecond
	)
	zones := fourZones[:3]
	if err := w.deploy(zones, 1, zones); err != nil {
		return verdict{}, err
	}
	node := func(i int) *entry { return w.entries["edge-"+zones[i%len(zones)]+"-1"] }
	var wg sync.WaitGroup
	if trouble {
		for i := range poisoned {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(within * time.Duration(i) / poisoned)
				w.submitPoisoned(fmt.Sprintf("00000000000000%02x", i), patience, func(try int) *entry { return node(i + try) })
			}()
		}
	}
	wg.Wait()
	if !trouble {
		time.Sleep(10 * time.Second)
	}
	const jobs = 60
	var served, refused, unanswered atomic.Int64
	for i := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			j := jobSpec{id: fmt.Sprintf("11111111111111%02x", i), tasks: 2, cpu: 1600, took: 60 * time.Millisecond}
			switch a := w.submit(node(i), j, patience); {
			case a.status == http.StatusOK && strings.Contains(a.body, "complete"):
				served.Add(1)
			case a.status == 0:
				unanswered.Add(1)
			default:
				refused.Add(1)
			}
		}()
	}
	wg.Wait()
	ready := 0
	for _, e := range w.entries {
		if w.isReady(e) {
			ready++
		}
	}
	text := fmt.Sprintf("of %d sound jobs %d were served, %d refused and %d not answered; %d of %d entries say that they are ready",
		jobs, served.Load(), refused.Load(), unanswered.Load(), ready, len(w.entries))
	return verdict{served.Load() == 0, "Fault: " + text}, nil
}

// submitPoisoned sends a job whose only step comes after a step 1. A client without an
// answer sends it again, to the next node, three times at most.
func (w *world) submitPoisoned(id string, patience time.Duration, node func(try int) *entry) {
	for try := range 4 {
		e := node(try)
		w.note("client sends POST %s, which can never be done, to %s", id, e.name)
		a := w.call(e.callers.addr, http.MethodPost, prefix+id, patience, map[string]any{
			"spec": "spec of " + id, "best_effort": true,
			"steps": []any{map[string]any{"count": 2, "cpu": 1600, "mem_mb": 64, "estimate_ms": 60, "after": []int{1}}},
		})
		w.note("answer to POST %s at %s: %d %s", id, e.name, a.status, strings.TrimSpace(a.body))
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(retryDelay)
	}
}
