package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = time.Second // bounds.max_hold_ms
	stopDelay     = 40 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond // heartbeat_ms
)

type runKey struct {
	task string
	run  int
}

type activeRun struct {
	cpu      int
	began    time.Time
	took     time.Duration
	timer    *time.Timer
	stopping bool
}

type endedRun struct {
	number int64
	key    runKey
	how    string
}

// worker plays one worker beside its agent. It keeps to PROTOCOL.md: leases, fencing
// tokens, run numbers and its capacity.
type worker struct {
	w       *world
	name    string
	zone    string
	kind    string
	control string
	born    time.Time

	mu       sync.Mutex
	running  map[runKey]*activeRun
	ended    []endedRun
	lastEnd  int64
	highest  map[string]int
	token    uint64
	lease    time.Time
	sequence int64
	draining bool
	changed  chan struct{}
}

func newWorker(w *world, name, zone, kind, control string) *worker {
	return &worker{
		w: w, name: name, zone: zone, kind: kind, control: control, born: time.Now(),
		running: map[runKey]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() + 1 }

func (k *worker) signal() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// loop sends heartbeats and ends runs whose lease has expired, until ctx ends.
func (k *worker) loop(ctx context.Context) {
	go func() {
		for ctx.Err() == nil {
			k.heartbeat(nil)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatTime):
			}
		}
	}()
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		k.mu.Lock()
		if len(k.running) > 0 && time.Now().After(k.lease) {
			for key := range k.running {
				k.finish(key, "lapsed")
			}
		}
		k.mu.Unlock()
	}
}

// heartbeat sends what the worker says of itself, or with change what another writer
// says under its id. It returns the status of the answer, 0 for none.
func (k *worker) heartbeat(change func(map[string]any)) int {
	k.mu.Lock()
	if change == nil {
		k.sequence++
	}
	state := "ready"
	if k.draining {
		state = "draining"
	}
	b := map[string]any{
		"service": service, "address": "127.0.0.1:1", "zone": k.zone, "version": "v1", "task_slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": 65536, "gpu": 0},
		"labels": []string{k.kind, "r-" + k.zone}, "clock_ms": k.clock(), "sequence": k.sequence, "born": k.born.UnixMilli(),
	}
	if k.draining {
		b["remaining_ms"] = 12000
	}
	k.mu.Unlock()
	if change != nil {
		change(b)
	}
	raw, _ := json.Marshal(b)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+k.control+"/api/instances/"+k.name, bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	if change != nil || b["state"] == "draining" {
		k.w.note("heartbeat under %s answered %d: %s", k.name, resp.StatusCode, raw)
	}
	return resp.StatusCode
}

// finish ends a run. The caller holds mu.
func (k *worker) finish(key runKey, how string) {
	r := k.running[key]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(k.running, key)
	k.highest[key.task] = max(k.highest[key.task], key.run)
	k.lastEnd++
	k.ended = append(k.ended, endedRun{k.lastEnd, key, how})
	k.w.runEnded(k, key, how)
	k.signal()
}

func (k *worker) extend(deadline int64) {
	until := k.born.Add(time.Duration(deadline-1) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(k.lease) {
		k.lease = until
	}
}

type callBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_timeout_ms"`
}

func (k *worker) handler() http.Handler {
	mux := http.NewServeMux()
	call := func(do func(b callBody) (int, map[string]any)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var b callBody
			status, body := http.StatusBadRequest, map[string]any{}
			err := json.NewDecoder(r.Body).Decode(&b)
			switch {
			case err != nil:
			case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != k.name:
				status = http.StatusMisdirectedRequest
			default:
				status, body = do(b)
			}
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(body)
		}
	}
	mux.HandleFunc("POST /api/run-start", call(k.start))
	mux.HandleFunc("POST /api/run-stop", call(k.stop))
	mux.HandleFunc("POST /api/hold", call(k.hold))
	return mux
}

func (k *worker) conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli(), "reason": reason}
}

func (k *worker) accepted() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clock_ms": k.clock(), "born": k.born.UnixMilli()}
}

func (k *worker) start(b callBody) (int, map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.Token < k.token {
		return k.conflict("fence")
	}
	k.token = b.Token
	key := runKey{b.Task, b.Run}
	if k.running[key] != nil {
		return k.accepted()
	}
	k.extend(b.Deadline)
	if b.Run <= k.highest[b.Task] {
		return k.conflict("old")
	}
	if b.Deadline < k.clock() {
		return k.conflict("late")
	}
	j := k.w.jobOf(b.Task)
	used := 0
	for _, r := range k.running {
		used += r.cpu
	}
	if used+j.cpu > workerCPU {
		return k.conflict("room")
	}
	r := &activeRun{cpu: j.cpu, began: time.Now(), took: j.took}
	r.timer = time.AfterFunc(j.took, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.running[key] == r {
			k.finish(key, "done")
		}
	})
	k.running[key] = r
	k.w.runStarted(k, key, b.Spec)
	return k.accepted()
}

func (k *worker) stop(b callBody) (int, map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.Token < k.token {
		return k.conflict("fence")
	}
	k.token = b.Token
	key := runKey{b.Task, b.Run}
	k.highest[b.Task] = max(k.highest[b.Task], b.Run)
	if r := k.running[key]; r != nil && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopDelay, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.running[key] == r {
				k.finish(key, "stopped")
			}
		})
	}
	return k.accepted()
}

func (k *worker) hold(b callBody) (int, map[string]any) {
	end := time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
	for {
		k.mu.Lock()
		if b.Token < k.token {
			defer k.mu.Unlock()
			return k.conflict("fence")
		}
		k.token = b.Token
		if b.Deadline > 0 {
			k.extend(b.Deadline)
			b.Deadline = 0
		}
		for len(k.ended) > 0 && k.ended[0].number <= b.LastSeen {
			k.ended = k.ended[1:]
		}
		if len(k.ended) > 0 || b.Wait <= 0 {
			defer k.mu.Unlock()
			status, body := k.accepted()
			running, ended := [][]any{}, [][]any{}
			for key, r := range k.running {
				running = append(running, []any{key.task, key.run, "", min(99, int(100*time.Since(r.began)/r.took)), r.cpu})
			}
			for _, e := range k.ended {
				ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, ""})
			}
			body["running"], body["finished"] = running, ended
			return status, body
		}
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			b.Wait = 0
		}
	}
}

func jobIDOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (r runKey) String() string { return fmt.Sprintf("%s run %d", r.task, r.run) }
