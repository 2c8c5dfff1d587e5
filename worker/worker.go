// Package worker emulates an upstream, the process on a worker that runs tasks in
// slots. It announces itself to the agent beside it and runs the tasks that the agent
// sends. It counts the starts of each task, so that tests can detect a task that has
// started twice.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/server"
)

// AnnounceInterval is the time between two announcements to the agent.
const AnnounceInterval = 500 * time.Millisecond

// Announcement is an upstream's message to its agent.
type Announcement struct {
	// Address is the host and port at which the upstream accepts tasks.
	Address     string
	Slots       int
	Connections int
	Services    []string
	// Leaving means that the upstream is shutting down and accepts no new tasks.
	Leaving bool
}

// RunRequest asks the upstream to run a task.
type RunRequest struct {
	Job     string
	Index   int
	Service string
	Payload json.RawMessage
}

// RunResult is the upstream's response to a RunRequest.
type RunResult struct {
	Result json.RawMessage `json:",omitempty"`
	// Error is set if the task failed.
	Error string `json:",omitempty"`
	// NotStarted means that the upstream did not start the task.
	NotStarted bool `json:",omitempty"`
}

// Payload is the payload of a task for the emulated upstream.
type Payload struct {
	// Millis is the run time of the task in milliseconds.
	Millis int
	// Echo is returned as the result.
	Echo string `json:",omitempty"`
	// Fail makes the task fail.
	Fail bool `json:",omitempty"`
}

// Config configures a Worker.
type Config struct {
	// Announcement is sent to the agent, with Leaving set during a shutdown.
	Announcement Announcement
	// Agent is the host and port of the agent beside it.
	Agent string
}

// Behaviour describes the faults that the upstream injects into tasks.
type Behaviour struct {
	// FailAll makes every task fail immediately after its start.
	FailAll bool
	// RefuseAll makes the upstream refuse every task without starting it.
	RefuseAll bool
	// Slowdown is a factor of run times; 0 and 1 leave them unchanged.
	Slowdown float64
}

// Worker is an emulated upstream. It is safe for concurrent use.
type Worker struct {
	deps provider.Deps
	cfg  Config

	mu         sync.Mutex
	starts     map[string]int
	running    map[string]context.CancelFunc
	maxRunning int
	leaving    bool
	behaviour  Behaviour
}

// NewWorker returns an upstream that has not announced itself yet.
func NewWorker(deps provider.Deps, cfg Config) *Worker {
	return &Worker{
		deps:    deps,
		cfg:     cfg,
		starts:  make(map[string]int),
		running: make(map[string]context.CancelFunc),
	}
}

// SetBehaviour sets the behaviour towards tasks that start from now on.
func (w *Worker) SetBehaviour(b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviour = b
}

// Starts returns the number of starts of each task, by task name (see TaskName).
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int, len(w.starts))
	for k, n := range w.starts {
		out[k] = n
	}
	return out
}

// MaxRunning returns the largest number of tasks that have run at the same time.
func (w *Worker) MaxRunning() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxRunning
}

// Announce sends announcements to the agent until ctx ends. It returns nil.
func (w *Worker) Announce(ctx context.Context) error {
	tick := w.deps.Clock.NewTicker(AnnounceInterval)
	defer tick.Stop()
	for {
		w.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
	}
}

func (w *Worker) announceOnce(ctx context.Context) {
	w.mu.Lock()
	a := w.cfg.Announcement
	a.Leaving = w.leaving
	w.mu.Unlock()
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.cfg.Agent+"/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{Timeout: AnnounceInterval}
	resp, err := client.Do(r)
	if err != nil {
		w.deps.Log.WithError(err).Debug("announcement to the agent failed")
		return
	}
	_ = resp.Body.Close()
}

// Shutdown announces the shutdown and waits until no task is running or ctx ends.
func (w *Worker) Shutdown(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.announceOnce(ctx)
	for w.countRunning() > 0 && ctx.Err() == nil {
		w.deps.Clock.Sleep(10 * time.Millisecond)
	}
}

func (w *Worker) countRunning() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Handler returns the HTTP interface that the agent calls, which includes for
// experiments /starts, /behaviour and /dump.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", w.serveRun)
	mux.HandleFunc("POST /stop", w.serveStop)
	mux.HandleFunc("GET /starts", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.Starts())
	})
	mux.Handle("GET /dump", server.NewDumpHandler(w))
	mux.HandleFunc("POST /behaviour", func(rw http.ResponseWriter, r *http.Request) {
		var b Behaviour
		if readJSON(rw, r, &b) {
			w.SetBehaviour(b)
		}
	})
	return mux
}

// maxCallBytes bounds the body of a call, in bytes. A task's payload is part of a submission,
// which is smaller.
const maxCallBytes = 8 << 20

// readJSON decodes the body of a call, or answers it with an error and returns false. A payload
// is kept as it is.
func readJSON(rw http.ResponseWriter, r *http.Request, v any) bool {
	const maxFields = 16
	limit := limiter.BodyLimit{Bytes: maxCallBytes, Shape: limiter.Shape{Elements: maxFields, Depth: 1}}
	if err := limiter.ReadJSON(rw, r, limit, v); err != nil {
		http.Error(rw, err.Error(), limiter.StatusOf(err))
		return false
	}
	return true
}

// TaskName returns the name of a task in the counts of starts.
func TaskName(job string, index int) string { return fmt.Sprintf("%s#%d", job, index) }

func (w *Worker) serveRun(rw http.ResponseWriter, r *http.Request) {
	var req RunRequest
	if !readJSON(rw, r, &req) {
		return
	}
	_ = json.NewEncoder(rw).Encode(w.run(req))
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var req RunRequest
	if !readJSON(rw, r, &req) {
		return
	}
	w.mu.Lock()
	stop := w.running[TaskName(req.Job, req.Index)]
	w.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// run runs a task to its end, even if the agent has disconnected meanwhile.
func (w *Worker) run(req RunRequest) RunResult {
	var p Payload
	if err := json.Unmarshal(req.Payload, &p); err != nil {
		return RunResult{Error: "payload: " + err.Error()}
	}
	name := TaskName(req.Job, req.Index)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	b, ok := w.registerStart(name, stop)
	if !ok {
		return RunResult{NotStarted: true}
	}
	defer w.unregister(name)
	if b.FailAll || p.Fail {
		return RunResult{Error: "the worker failed the task"}
	}
	d := time.Duration(p.Millis) * time.Millisecond
	if b.Slowdown > 0 {
		d = time.Duration(float64(d) * b.Slowdown)
	}
	timer := w.deps.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
		return RunResult{Error: "stopped"}
	}
	out, err := json.Marshal(p.Echo)
	if err != nil {
		return RunResult{Error: err.Error()}
	}
	return RunResult{Result: out}
}

func (w *Worker) registerStart(name string, stop context.CancelFunc) (Behaviour, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.behaviour.RefuseAll {
		return w.behaviour, false
	}
	w.starts[name]++
	w.running[name] = stop
	w.maxRunning = max(w.maxRunning, len(w.running))
	return w.behaviour, true
}

func (w *Worker) unregister(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, name)
}
