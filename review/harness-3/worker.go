package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold     = time.Second
	stopTime    = 20 * time.Millisecond
	heartbeatMs = 1500
)

type amounts struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

// taskRun is one run at a worker.
type taskRun struct {
	task    string
	run     int
	started time.Time
	length  time.Duration
	cpu     int
	timer   *time.Timer
	ending  bool
}

type end struct {
	n    int
	task string
	run  int
	how  string
}

// worker is a stand-in for a worker, as PROTOCOL.md describes it. The spec of a task holds
// its duration in milliseconds and its cpu, "ms=900 cpu=3000".
type worker struct {
	id, service, zone string
	labels            []string
	capacity          amounts
	rec               *recorder
	app, control      string
	born              time.Time
	server            *http.Server

	mu       sync.Mutex
	token    uint64
	deadline time.Time
	runs     map[string]*taskRun
	highest  map[string]int
	ends     []end
	lastEnd  int
	changed  chan struct{}
	draining bool
	sequence int
	closed   bool
}

func newWorker(rec *recorder, id, service, zone, app, control string, capacity amounts, labels ...string) (*worker, error) {
	l, err := net.Listen("tcp", app)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, labels: labels, capacity: capacity, rec: rec, app: app, control: control, born: time.Now(),
		runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.lapse()
	return w, nil
}

// stop ends the worker for good: everything that runs on it terminates.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	_ = w.server.Close()
	for _, r := range w.runs {
		r.timer.Stop()
		w.rec.ended(w.id, r.task, r.run, "crash")
	}
	w.runs = map[string]*taskRun{}
}

func (w *worker) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) heartbeat() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	h := map[string]any{
		"service": w.service, "address": w.app, "zone": w.zone, "version": "v1", "task_slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": w.capacity, "labels": w.labels, "clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	if w.draining {
		h["remaining_ms"] = 4500
	}
	return h
}

var beatClient = &http.Client{Timeout: time.Second}

// sendBeat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) sendBeat() bool {
	raw, _ := json.Marshal(w.heartbeat())
	req, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/api/instances/"+w.id, bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (w *worker) beat() {
	for {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if closed {
			return
		}
		delay := heartbeatMs * time.Millisecond
		if !w.sendBeat() {
			delay = 200 * time.Millisecond
		}
		time.Sleep(delay)
	}
}

// lapse ends everything when the lease has expired.
func (w *worker) lapse() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		if time.Now().After(w.deadline) {
			for _, r := range w.runs {
				w.finish(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// finish ends a run. The caller holds mu.
func (w *worker) finish(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	r.timer.Stop()
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.run, how})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.rec.ended(w.id, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend extends the lease of everything. The caller holds mu.
func (w *worker) extend(deadlineMs int64) {
	until := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if until.After(w.deadline) {
		w.deadline = until
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.isClosed() {
		panic(http.ErrAbortHandler)
	}
	if x := r.Header.Get("Expect-Instance"); x != "" && x != w.id {
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	var q struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline_ms"`
		Token    uint64 `json:"fencing_token"`
		LastSeen int    `json:"last_seen"`
		Wait     int    `json:"wait_timeout_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if q.Token < w.token {
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, "fence")
		return
	}
	w.token = q.Token
	switch r.URL.Path {
	case "/api/run-start":
		status, reason := w.start(q.Task, q.Run, q.Spec, q.Deadline)
		w.mu.Unlock()
		w.reply(rw, status, reason)
	case "/api/run-stop":
		w.stopRun(q.Task, q.Run)
		w.mu.Unlock()
		w.reply(rw, http.StatusOK, "")
	case "/api/hold":
		w.extend(q.Deadline)
		w.hold(rw, r, q.LastSeen, time.Duration(q.Wait)*time.Millisecond)
	default:
		w.mu.Unlock()
		answer(rw, http.StatusBadRequest, struct{}{})
	}
}

func (w *worker) reply(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	answer(rw, status, body)
}

// start starts a run. The caller holds mu.
func (w *worker) start(task string, run int, spec string, deadlineMs int64) (int, string) {
	if time.Duration(deadlineMs)*time.Millisecond < w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(deadlineMs)
	if r := w.runs[task]; r != nil && r.run == run {
		return http.StatusOK, ""
	} else if r != nil && run > r.run {
		return http.StatusConflict, "room"
	}
	if run <= w.highest[task] || w.runs[task] != nil {
		return http.StatusConflict, "old"
	}
	length, cpu := parseSpec(spec)
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.capacity.CPU {
		return http.StatusConflict, "room"
	}
	r := &taskRun{task: task, run: run, started: time.Now(), length: length, cpu: cpu}
	r.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !r.ending {
			w.finish(r, "done")
		}
	})
	w.runs[task] = r
	w.rec.started(w, task, run, spec)
	return http.StatusOK, ""
}

func parseSpec(spec string) (time.Duration, int) {
	ms, cpu := 100, 1000
	for _, f := range strings.Fields(spec) {
		k, v, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(v)
		switch k {
		case "ms":
			ms = n
		case "cpu":
			cpu = n
		}
	}
	return time.Duration(ms) * time.Millisecond, cpu
}

// stopRun stops a run. The caller holds mu.
func (w *worker) stopRun(task string, run int) {
	w.highest[task] = max(w.highest[task], run)
	if r := w.runs[task]; r != nil && r.run == run && !r.ending {
		r.ending = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(r, "stopped")
		})
	}
}

// hold answers with both lists, once there is an end. The caller holds mu, which hold
// releases.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, lastSeen int, wait time.Duration) {
	if wait > 2*time.Second {
		w.mu.Unlock()
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.n > lastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	timeout := time.After(wait)
	for len(w.ends) == 0 && wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		done := false
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if done {
			break
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range w.runs {
		percent := int(100 * time.Since(t.started) / max(t.length, 1))
		running = append(running, []any{t.task, t.run, "", min(percent, 99), t.cpu})
	}
	for i, e := range w.ends {
		if i == 500 {
			break
		}
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

func (w *worker) String() string { return fmt.Sprintf("%s (%s)", w.id, w.zone) }
