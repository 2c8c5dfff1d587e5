// Package worker is a stand-in for an upstream: a process on a worker that
// runs tasks in slots. It announces itself to the agent beside it and serves
// the tasks that the agent sends. It counts every start by task, so that tests
// can tell when a task has started twice.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pomeloferry/pomeloferry/announcer"
	"github.com/pomeloferry/pomeloferry/provider"
)

// AnnounceInterval is the time between two announcements to the agent.
const AnnounceInterval = 500 * time.Millisecond

// Announcement is what an upstream tells its agent.
type Announcement struct {
	// Address is the host and port where the upstream serves tasks.
	Address     string
	Slots       int
	Connections int
	Services    []string
	// Leaving means that the upstream takes no new tasks.
	Leaving bool
}

// RunRequest asks the upstream to run a task.
type RunRequest struct {
	Job     string
	Index   int
	Service string
	Payload json.RawMessage
}

// RunResult is the upstream's answer to a task that it has run.
type RunResult struct {
	Result json.RawMessage `json:",omitempty"`
	// Error is set when the task failed.
	Error string `json:",omitempty"`
	// NotStarted means that the upstream has not started the task.
	NotStarted bool `json:",omitempty"`
}

// Payload is what the stand-in understands of a task's payload.
type Payload struct {
	// Millis is the run time of the task.
	Millis int
	// Echo is returned in the result.
	Echo string `json:",omitempty"`
	// Fail makes the task fail.
	Fail bool `json:",omitempty"`
}

// Config describes one stand-in.
type Config struct {
	// Announcement is what it tells its agent.
	Announcement Announcement
	// Agent is the host and port of the agent beside it.
	Agent string
}

// Behaviour changes how a stand-in treats tasks.
type Behaviour struct {
	// FailAll makes every task fail at once.
	FailAll bool
	// RefuseAll makes the stand-in refuse every task without starting it.
	RefuseAll bool
	// Slowdown multiplies run times; 0 and 1 leave them.
	Slowdown float64
}

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	deps provider.Deps
	cfg  Config

	mu        sync.Mutex
	starts    map[string]int
	running   map[string]context.CancelFunc
	busiest   int
	leaving   bool
	behaviour Behaviour
}

// NewWorker returns a stand-in that has not announced itself yet.
func NewWorker(deps provider.Deps, cfg Config) *Worker {
	return &Worker{
		deps:    deps,
		cfg:     cfg,
		starts:  make(map[string]int),
		running: make(map[string]context.CancelFunc),
	}
}

// SetBehaviour changes how tasks are treated from now on.
func (w *Worker) SetBehaviour(b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviour = b
}

// Starts returns how often each task has started, by task name.
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int, len(w.starts))
	for k, n := range w.starts {
		out[k] = n
	}
	return out
}

// Busiest returns the largest number of tasks that ran at once.
func (w *Worker) Busiest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busiest
}

// Announce tells the agent about the stand-in until ctx ends.
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
		w.deps.Log.WithError(err).Debug("announcement failed")
		return
	}
	_ = resp.Body.Close()
}

// Leave announces the departure and waits until no task runs, or ctx ends.
func (w *Worker) Leave(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.announceOnce(ctx)
	for w.runningTasks() > 0 && ctx.Err() == nil {
		w.deps.Clock.Sleep(10 * time.Millisecond)
	}
}

func (w *Worker) runningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Handler returns the interface that the agent calls.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", w.serveRun)
	mux.HandleFunc("POST /stop", w.serveStop)
	mux.HandleFunc("GET /starts", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.Starts())
	})
	mux.Handle("GET /dump", announcer.NewDumpHandler(w))
	mux.HandleFunc("POST /behaviour", func(rw http.ResponseWriter, r *http.Request) {
		var b Behaviour
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetBehaviour(b)
	})
	return mux
}

// TaskName names a task in the counts of starts.
func TaskName(job string, index int) string { return fmt.Sprintf("%s#%d", job, index) }

func (w *Worker) serveRun(rw http.ResponseWriter, r *http.Request) {
	var req RunRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(rw).Encode(w.run(req))
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var req RunRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	stop := w.running[TaskName(req.Job, req.Index)]
	w.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// run runs a task to its end whether or not the agent still listens.
func (w *Worker) run(req RunRequest) RunResult {
	var p Payload
	if err := json.Unmarshal(req.Payload, &p); err != nil {
		return RunResult{Error: "payload: " + err.Error()}
	}
	name := TaskName(req.Job, req.Index)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	b, ok := w.begin(name, stop)
	if !ok {
		return RunResult{NotStarted: true}
	}
	defer w.end(name)
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

func (w *Worker) begin(name string, stop context.CancelFunc) (Behaviour, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.behaviour.RefuseAll {
		return w.behaviour, false
	}
	w.starts[name]++
	w.running[name] = stop
	w.busiest = max(w.busiest, len(w.running))
	return w.behaviour, true
}

func (w *Worker) end(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, name)
}
