package main

import (
	"bytes"
	"context"
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
	heartbeatInterval = 1500 * time.Millisecond
	// maxHold is the longest lease, in milliseconds.
	maxHold = 1000
	// stopTime is how long a stop takes.
	stopTime = 20 * time.Millisecond
)

type resources struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

// workerSpec describes one life of a worker.
type workerSpec struct {
	id, zone, service, app, control string
	labels                          []string
	capacity                        resources
}

// worker stands in for a worker of the platform.
type worker struct {
	workerSpec
	rec    *recorder
	born   int64
	began  time.Time
	server *http.Server
	done   chan struct{}

	mu       sync.Mutex
	sequence int64
	dead     bool
	token    uint64
	// lease is the time on the worker's clock, in milliseconds, when the runs expire.
	lease   int64
	runs    map[runID]*workerRun
	ends    []end
	lastEnd int64
	// highest has, by task, the highest run that was stopped or has ended.
	highest map[string]int
	changed chan struct{}
}

type runID struct {
	task string
	run  int
}

type workerRun struct {
	*taskRun
	demand  resources
	work    time.Duration
	stopped bool
}

type end struct {
	number int64
	id     runID
	how    string
}

// jobSpec is the spec of the jobs in these cases: how long the tasks of each step take,
// and what they demand, which the worker has to know.
type jobSpec struct {
	Millis []int       `json:"millis"`
	Demand []resources `json:"demand"`
}

func startWorker(spec workerSpec, rec *recorder) (*worker, error) {
	w := &worker{
		workerSpec: spec, rec: rec, born: time.Now().UnixMilli(), began: time.Now(), done: make(chan struct{}),
		runs: make(map[runID]*workerRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.addressed(w.start))
	mux.HandleFunc("POST /api/run-stop", w.addressed(w.stop))
	mux.HandleFunc("POST /api/hold", w.addressed(w.hold))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", spec.app); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.watchLease()
	go w.sendHeartbeats()
	rec.note("worker %s is up, born %d, labels %v", spec.id, w.born, spec.labels)
	return w, nil
}

// key identifies this life of the worker.
func (w *worker) key() string { return fmt.Sprintf("%s/%d", w.id, w.born) }

// clock returns the worker's clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// crash ends the worker and all its runs without notice.
func (w *worker) crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	for id, r := range w.runs {
		w.rec.ended(r.taskRun, "crashed")
		delete(w.runs, id)
	}
	close(w.done)
	w.mu.Unlock()
	_ = w.server.Close()
	w.rec.note("worker %s is gone", w.id)
}

func (w *worker) addressed(h func(http.ResponseWriter, []byte)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		if _, err := body.ReadFrom(r.Body); err != nil {
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h(rw, body.Bytes())
	}
}

func (w *worker) conflict(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born, "reason": reason})
}

func (w *worker) ok(rw http.ResponseWriter) {
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born})
}

// extend extends the lease of all runs.
func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHold))
}

func (w *worker) start(rw http.ResponseWriter, body []byte) {
	var c struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline_ms"`
		Token    uint64 `json:"fencing_token"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	var spec jobSpec
	parts := strings.Split(c.Task, ".")
	if err := json.Unmarshal([]byte(c.Spec), &spec); err != nil || len(parts) != 4 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	step, _ := strconv.Atoi(parts[2])
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	if c.Token < w.token {
		w.conflict(rw, "fence")
		return
	}
	w.token = c.Token
	id := runID{c.Task, c.Run}
	if c.Deadline <= w.clock() {
		w.conflict(rw, "late")
		return
	}
	w.extend(c.Deadline)
	if w.runs[id] != nil {
		w.ok(rw)
		return
	}
	if c.Run <= w.highest[c.Task] {
		w.conflict(rw, "old")
		return
	}
	r := &workerRun{
		taskRun: &taskRun{job: parts[0], task: c.Task, step: step, number: c.Run, worker: w.id, wkey: w.key()},
		demand:  spec.Demand[step], work: time.Duration(spec.Millis[step]) * time.Millisecond,
	}
	used := r.demand
	for _, o := range w.runs {
		used.CPU += o.demand.CPU
		used.Memory += o.demand.Memory
	}
	if used.CPU > w.capacity.CPU || used.Memory > w.capacity.Memory {
		w.conflict(rw, "room")
		return
	}
	w.runs[id] = r
	w.rec.began(r.taskRun)
	time.AfterFunc(r.work, func() { w.finish(id, r, "done") })
	w.ok(rw)
}

// finish ends a run, unless it has ended.
func (w *worker) finish(id runID, r *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLocked(id, r, how)
}

func (w *worker) finishLocked(id runID, r *workerRun, how string) {
	if w.runs[id] != r {
		return
	}
	delete(w.runs, id)
	w.highest[id.task] = max(w.highest[id.task], id.run)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, id, how})
	w.rec.ended(r.taskRun, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(rw http.ResponseWriter, body []byte) {
	var c struct {
		Task  string `json:"task"`
		Run   int    `json:"run"`
		Token uint64 `json:"fencing_token"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	if c.Token < w.token {
		w.conflict(rw, "fence")
		return
	}
	w.token = c.Token
	id := runID{c.Task, c.Run}
	if r := w.runs[id]; r == nil {
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	} else if !r.stopped {
		r.stopped = true
		time.AfterFunc(stopTime, func() { w.finish(id, r, "stopped") })
	}
	w.ok(rw)
}

func (w *worker) hold(rw http.ResponseWriter, body []byte) {
	var c struct {
		Token    uint64 `json:"fencing_token"`
		LastSeen int64  `json:"last_seen"`
		Wait     int    `json:"wait_timeout_ms"`
		Deadline *int64 `json:"deadline_ms"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	if c.Token < w.token {
		w.conflict(rw, "fence")
		return
	}
	w.token = c.Token
	if c.Deadline != nil {
		w.extend(*c.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].number <= c.LastSeen {
		w.ends = w.ends[1:]
	}
	for len(w.ends) == 0 && time.Now().Before(until) && !w.dead {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-w.done:
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for id, r := range w.runs {
		share := float64(w.rec.now()-r.startedAt) / float64(max(r.work, time.Millisecond))
		running = append(running, []any{id.task, id.run, "", int(min(share, 1) * 100), r.demand.CPU})
	}
	for i, e := range w.ends {
		if i == 500 {
			break
		}
		finished = append(finished, []any{e.number, e.id.task, e.id.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "finished": finished})
}

// watchLease ends all runs when their lease expires.
func (w *worker) watchLease() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
		if len(w.runs) > 0 && w.clock() > w.lease {
			for id, r := range w.runs {
				w.finishLocked(id, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// sendHeartbeats announces the worker to its agent.
func (w *worker) sendHeartbeats() {
	for {
		acked := w.sendHeartbeat()
		wait := heartbeatInterval
		if !acked {
			wait = 300 * time.Millisecond
		}
		select {
		case <-w.done:
			return
		case <-time.After(wait):
		}
	}
}

func (w *worker) sendHeartbeat() bool {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{
		"service": w.service, "address": w.app, "zone": w.zone, "version": "v1", "task_slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": w.capacity, "labels": w.labels, "clock_ms": w.clock(), "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	raw, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/api/instances/%s", w.control, w.id), bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
