package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["rogue"] = rogue }

// ahead is by how much the other writer's numbers are greater than the worker's.
const ahead = 50

// sendForeignBeat sends the agent of a worker a heartbeat of another writer, which names a
// service that no configuration and no settings name.
func sendForeignBeat(w *worker) {
	h := w.heartbeat()
	h["service"] = "stockfeed"
	h["sequence"] = h["sequence"].(int) + ahead
	raw, _ := json.Marshal(h)
	req, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/api/instances/"+w.id, bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		w.rec.note("another writer's heartbeat for %s: %v", w.id, err)
		return
	}
	_ = resp.Body.Close()
	w.rec.note("another writer's heartbeat for %s, service stockfeed: %d", w.id, resp.StatusCode)
}

// rogue has another writer send heartbeats in the names of the workers.
func rogue(rec *recorder, trouble bool) (verdict, error) {
	const (
		interval = time.Second
		judged   = 20 * time.Second
	)
	d, err := deploy(rec, 3, 6)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	if trouble {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				for _, s := range d.sides {
					sendForeignBeat(s.worker)
				}
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
			}
		}()
		time.Sleep(time.Second)
	}
	clients := startTraffic(rec, d.entries, 20*time.Millisecond)
	time.Sleep(judged)
	all, served := count(clients.end(), "", rec.began, time.Now())
	return verdict{
		broken: served == 0,
		text:   fmt.Sprintf("Fault: %d of %d requests were served", served, all),
	}, nil
}
