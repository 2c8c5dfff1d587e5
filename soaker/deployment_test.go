// Package soaker runs the real programs as separate processes on one machine,
// over the stand-ins of package emulator, and injects faults from outside. All
// of it is tests.
package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/platform/emulator"
)

const (
	service  = "quotes"
	hostName = "q.example"
	prefix   = "/q/"
	// workerCPU is room for ten of the tasks that the stand-ins know.
	workerCPU = 30_000
	// grace is how long a planned stop may take.
	grace = 6 * time.Second
)

// program is the path of the built program.
var program string

func TestMain(m *testing.M) {
	nextPort.Store(int64(os.Getpid()) * portsPerProcess)
	dir, err := os.MkdirTemp("", "soaker")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "pomeloferry")
	build := exec.Command("go", "build", "-o", program, "github.com/pomeloferry/pomeloferry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// deployment is a whole deployment on loopback.
type deployment struct {
	t       testing.TB
	dir     string
	store   *emulator.Store
	address string
	entries []*process
	// fronts are where the entries take callers, and balanced the same places
	// behind proxies.
	fronts   []string
	balanced []string
	callers  []*proxy
	watch    *watcher
	cancel   context.CancelFunc
	ctx      context.Context
	centres  int
	// direct lets agents call their workers without a proxy between.
	direct bool
	// evacuation is held while a data centre is evacuated.
	evacuation sync.Mutex

	// hooks hear of each run that a worker begins, before the worker answers
	// the start. They are called one at a time.
	hookMu sync.Mutex
	hooks  []*hook

	mu      sync.Mutex
	version int
	// strikes lists what has struck, and when.
	strikes  []string
	lastRuns map[string]lastRun
	// sites are the agents with their workers, in the order of their start.
	sites []*site
}

// site is an agent and the worker beside it.
type site struct {
	agent  *process
	worker *emulator.Worker
	// links carries the entries' connections to the agent, and calls those of
	// the agent to its worker.
	links, calls *proxy
	control      string
	id           string
	// busy is held by the fault that strikes the worker.
	busy sync.Mutex
	// leave ends the worker for good.
	leave func()
}

const (
	// portFirst and portLast bound the ports of the programs. They lie below
	// those that the kernel gives to outgoing connections, which would
	// otherwise take a port between its choice and the program's start.
	portFirst = 15_000
	portLast  = 30_000
)

// portsPerProcess spaces the ports of soaks that run side by side.
const portsPerProcess = 1009

// nextPort is the next port to hand out, counted from portFirst.
var nextPort atomic.Int64

// freePorts returns ports of loopback that nothing listens on.
func freePorts(t testing.TB, n int) []int {
	var out []int
	for len(out) < n {
		port := portFirst + int(nextPort.Add(1)-1)%(portLast-portFirst)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		require.NoError(t, err)
		require.NoError(t, l.Close())
		out = append(out, port)
	}
	return out
}

// serve serves a handler on loopback until the test ends, and returns where.
func serve(t testing.TB, h http.Handler) string {
	address, _ := serveUntil(t, h)
	return address
}

// serveUntil is serve with a function that ends it sooner.
func serveUntil(t testing.TB, h http.Handler) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	end := func() { _ = s.Close() }
	t.Cleanup(end)
	return l.Addr().String(), end
}

// besideMost bounds the deployments that run at the same time.
const besideMost = 3

// beside holds a token for each deployment that runs beside others.
var beside = make(chan struct{}, besideMost)

// runBeside lets a test run beside others that do.
func runBeside(t *testing.T) {
	t.Parallel()
	beside <- struct{}{}
	t.Cleanup(func() { <-beside })
}

func newDeployment(t testing.TB, entries, agents int) *deployment {
	return deploy(t, entries, agents, false)
}

func deploy(t testing.TB, entries, agents int, direct bool) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		t: t, dir: t.TempDir(), store: emulator.NewStore(), watch: newWatcher(),
		ctx: ctx, cancel: cancel, centres: max(entries, 2), direct: direct, lastRuns: make(map[string]lastRun),
	}
	d.address = serve(t, d.store.Handler())
	d.store.RewriteValue = d.throughProxy
	d.configure()
	for range agents {
		d.addAgent()
	}
	for i := range entries {
		d.addEntry(i)
	}
	t.Cleanup(d.close)
	return d
}

// throughProxy makes entries reach agents through a proxy.
func (d *deployment) throughProxy(key string, value []byte) []byte {
	name, ok := strings.CutPrefix(key, platform.AgentPrefix)
	if !ok {
		return value
	}
	var r platform.Registration
	if err := json.Unmarshal(value, &r); err != nil {
		return value
	}
	for _, s := range d.all() {
		if s.agent.name == name {
			r.Link = s.links.address
		}
	}
	out, err := json.Marshal(r)
	if err != nil {
		return value
	}
	return out
}

// all returns the agents with their workers, also those that have left.
func (d *deployment) all() []*site {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.sites)
}

// processes returns all programs.
func (d *deployment) processes() []*process {
	out := slices.Clone(d.entries)
	for _, s := range d.all() {
		out = append(out, s.agent)
	}
	return out
}

// configure writes the next configuration.
func (d *deployment) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	raw, err := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []map[string]any{{
			"name": "quotes", "host": hostName, "prefix": prefix, "service": service,
			"timeout_ms": 1500, "target_latency_ms": 60, "max_attempts": maxAttempts, "stretch": 1.6,
		}},
		"limits": map[string]int{"max_body_bytes": 262144},
	})
	require.NoError(d.t, err)
	d.store.Put("op/config", raw)
}

// observer hears what the worker at one site runs.
type observer struct {
	*watcher
	d    *deployment
	site *site
}

// RunStarted implements emulator.Observer.
func (o observer) RunStarted(l emulator.Incarnation, task string, run int) {
	o.watcher.RunStarted(l, task, run)
	o.d.noteRun(l.ID, task, run)
	o.d.hookMu.Lock()
	defer o.d.hookMu.Unlock()
	for _, h := range o.d.hooks {
		(*h)(o.site, task)
	}
}

// noteRun keeps when and where a task last began, and tells of those that begin
// again.
func (d *deployment) noteRun(worker, task string, run int) {
	now := time.Now()
	d.mu.Lock()
	last, ok := d.lastRuns[task]
	d.lastRuns[task] = lastRun{at: now, worker: worker}
	d.mu.Unlock()
	if ok {
		d.struck("%s run %d begins at %s, %s after it began at %s", task, run, worker, now.Sub(last.at), last.worker)
	}
}

// lastRunNumber is where and when a task last began.
type lastRun struct {
	at     time.Time
	worker string
}

// hook hears of a run that the worker of a site begins. It does not block.
type hook func(s *site, task string)

// onBegan adds a hook until the returned function is called.
func (d *deployment) onBegan(h hook) func() {
	d.hookMu.Lock()
	defer d.hookMu.Unlock()
	d.hooks = append(d.hooks, &h)
	return func() {
		d.hookMu.Lock()
		defer d.hookMu.Unlock()
		d.hooks = slices.DeleteFunc(d.hooks, func(o *hook) bool { return o == &h })
	}
}

// addAgent starts an agent with a worker.
func (d *deployment) addAgent() *site {
	i := len(d.all())
	ports := freePorts(d.t, 3)
	name := fmt.Sprintf("agent-%d", i)
	dc := fmt.Sprintf("dc-%d", i%d.centres)
	s := &site{control: fmt.Sprintf("127.0.0.1:%d", ports[0]), id: "worker-" + name}
	d.watch.mu.Lock()
	d.watch.place(s.id, dc)
	d.watch.mu.Unlock()
	s.worker = emulator.NewWorker(emulator.WorkerConfig{
		ID: s.id, Service: service, DataCentre: dc, CPU: workerCPU,
		AgentAddr: s.control, HeartbeatInterval: heartbeatInterval, Observer: observer{d.watch, d, s}, TaskResult: d.watch.work, TaskCPU: taskCPU,
	})
	s.links = newProxy(d.t, fmt.Sprintf("127.0.0.1:%d", ports[1]))
	ctx, cancel := context.WithCancel(d.ctx)
	s.leave = func() {
		cancel()
		s.worker.Shutdown()
	}
	app := serveWorker(ctx, d.t, s.worker)
	s.calls = newProxy(d.t, app)
	if !d.direct {
		app = s.calls.address
	}
	go s.worker.Run(ctx)
	s.agent = d.newProcess(name, "agent", fmt.Sprintf(
		"listen.control=%s\napp=%s\nservice=%s\ninternal_ports=%d,%d\n", s.control, app, service, ports[1], ports[2]), dc)
	d.mu.Lock()
	d.sites = append(d.sites, s)
	d.mu.Unlock()
	s.agent.start(d.t)
	return s
}

func (d *deployment) addEntry(i int) {
	ports := freePorts(d.t, 3)
	front := fmt.Sprintf("127.0.0.1:%d", ports[0])
	p := newProxy(d.t, front)
	d.fronts = append(d.fronts, front)
	d.callers = append(d.callers, p)
	d.balanced = append(d.balanced, p.address)
	e := d.newProcess(fmt.Sprintf("entry-%d", i), "entry", fmt.Sprintf(
		"listen.front=%s\nlisten.ready=127.0.0.1:%d\ninternal_ports=%d,%d\n", front, ports[1], ports[2], ports[2]), fmt.Sprintf("dc-%d", i%d.centres))
	d.entries = append(d.entries, e)
	e.start(d.t)
}

// newProcess writes the settings of a program.
func (d *deployment) newProcess(name, command, settings, dc string) *process {
	path := filepath.Join(d.dir, name+".conf")
	text := fmt.Sprintf("node_name=%s\nip=127.0.0.1\nzone=%s\nplatform.address=%s\nbounds.grace_period_s=%d\n%s",
		name, dc, d.address, int(grace.Seconds()), settings)
	require.NoError(d.t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	require.NoError(d.t, err)
	return &process{name: name, command: command, settings: path, log: log, ended: d.watch.endedByItself}
}

// close ends all that the deployment started, and prints the logs' ends when
// the test has failed.
func (d *deployment) close() {
	d.cancel()
	for _, p := range d.processes() {
		p.end(syscall.SIGKILL)
		_ = p.log.Close()
		if d.t.Failed() {
			d.keepLog(p)
		}
	}
}

// keepLog copies a log to where it outlives the test.
func (d *deployment) keepLog(p *process) {
	raw, err := os.ReadFile(p.log.Name())
	if err != nil {
		d.t.Logf("%s: %v", p.name, err)
		return
	}
	path := filepath.Join(os.TempDir(), strings.ReplaceAll(d.t.Name(), "/", "_")+"-"+p.name+".log")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		d.t.Logf("%s: %v", p.name, err)
	}
}
