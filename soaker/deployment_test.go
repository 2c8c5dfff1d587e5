// Package soaker contains fault tests that run the real programs as separate processes
// on one machine, against the emulated upstream of package emulator, and inject faults
// from outside. It consists of tests only.
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
	service    = "quotes"
	hostName   = "q.example"
	pathPrefix = "/q/"
	// workerCPU is the CPU capacity of a worker in millicores: enough for ten normal
	// tasks.
	workerCPU = 30_000
	// gracePeriod is the longest time that a planned stop may take.
	gracePeriod = 6 * time.Second
)

// programPath is the path of the built program.
var programPath string

func TestMain(m *testing.M) {
	if os.Getenv(crowdVariable) != "" {
		if err := beCrowd(); err != nil {
			panic(err)
		}
		return
	}
	nextPort.Store(int64(os.Getpid()) * portsPerProcess)
	dir, err := os.MkdirTemp("", "soaker")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "pomeloferry")
	build := exec.Command("go", "build", "-o", programPath, "github.com/pomeloferry/pomeloferry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// options vary a deployment.
type options struct {
	// direct makes agents call their workers without a proxy.
	direct bool
	// limits are further lines of the settings of all processes.
	limits string
	// descriptors is the kernel's limit of the descriptors of each process, 0 for none.
	descriptors int
	// storeProxies gives each process a proxy before the store.
	storeProxies bool
}

// deployment is a complete deployment on loopback: store, entries, agents and workers.
type deployment struct {
	t         testing.TB
	dir       string
	store     *emulator.Store
	storeAddr string
	entries   []*process
	// fronts are the addresses at which the entries serve callers, and proxiedFronts
	// those of the proxies before them, in the same order.
	fronts        []string
	proxiedFronts []string
	callerProxies []*proxy
	checker       *checker
	cancel        context.CancelFunc
	ctx           context.Context
	dataCentres   int
	options
	// evacuationMu is held while a data centre is evacuated.
	evacuationMu sync.Mutex

	// hooks are called, one at a time, for each run that a worker starts, before the
	// worker answers the start.
	hookMu sync.Mutex
	hooks  []*hook

	mu            sync.Mutex
	configVersion int
	// events are the injected faults and repeated starts, each with its time.
	events     []string
	lastStarts map[string]lastStart
	// instances are in the order of their start.
	instances []*instance
}

// instance is a worker and the agent beside it.
type instance struct {
	agent  *process
	worker *emulator.Worker
	// linkProxy forwards the entries' connections to the agent, and callProxy those of
	// the agent to its worker.
	linkProxy, callProxy *proxy
	controlAddr          string
	workerID             string
	// faultMu is held by the fault that affects the worker.
	faultMu sync.Mutex
	// removeWorker shuts the worker down for good.
	removeWorker func()
}

const (
	// minPort (inclusive) and maxPort (exclusive) bound the ports of the programs. They
	// are below the kernel's range for outgoing connections, which could otherwise take
	// a port between its selection and the program's start.
	minPort = 15_000
	maxPort = 30_000
)

// portsPerProcess spaces out the ports of soak processes that run at the same time.
const portsPerProcess = 1009

// nextPort is the offset of the next port to return, counted from minPort.
var nextPort atomic.Int64

// freePorts returns n loopback ports that nothing listens on.
func freePorts(t testing.TB, n int) []int {
	var out []int
	for len(out) < n {
		port := minPort + int(nextPort.Add(1)-1)%(maxPort-minPort)
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

// serve serves a handler on loopback until the test ends, and returns its address.
func serve(t testing.TB, h http.Handler) string {
	address, _ := serveStoppable(t, h)
	return address
}

// serveStoppable is like serve, but also returns a function that closes the server
// earlier.
func serveStoppable(t testing.TB, h http.Handler) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	stop := func() { _ = server.Close() }
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// maxDeployments is the largest number of deployments that run at the same time.
const maxDeployments = 3

// deploymentSlots holds a token for each deployment of a parallel test.
var deploymentSlots = make(chan struct{}, maxDeployments)

// runParallel lets a test run in parallel with other tests that call it, at most
// maxDeployments at a time.
func runParallel(t *testing.T) {
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}

func newDeployment(t testing.TB, entries, agents int) *deployment {
	return deploy(t, entries, agents, options{})
}

func deploy(t testing.TB, entries, agents int, o options) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		t: t, dir: t.TempDir(), store: emulator.NewStore(), checker: newChecker(),
		ctx: ctx, cancel: cancel, dataCentres: max(entries, 2), options: o, lastStarts: make(map[string]lastStart),
	}
	d.storeAddr = serve(t, d.store.Handler())
	d.store.RewriteValue = d.rewriteLinkAddress
	d.putConfig()
	for range agents {
		d.addInstance()
	}
	for i := range entries {
		d.addEntry(i)
	}
	t.Cleanup(d.close)
	return d
}

// rewriteLinkAddress replaces the link address in an agent's registration by that of
// the proxy, so that entries connect to agents through it.
func (d *deployment) rewriteLinkAddress(key string, value []byte) []byte {
	name, ok := strings.CutPrefix(key, platform.AgentPrefix)
	if !ok {
		return value
	}
	var r platform.Registration
	if err := json.Unmarshal(value, &r); err != nil {
		return value
	}
	for _, inst := range d.allInstances() {
		if inst.agent.name == name {
			r.Link = inst.linkProxy.address
		}
	}
	out, err := json.Marshal(r)
	if err != nil {
		return value
	}
	return out
}

// allInstances returns the instances, including those that have been removed.
func (d *deployment) allInstances() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.instances)
}

// processes returns the processes of all entries and agents.
func (d *deployment) processes() []*process {
	out := slices.Clone(d.entries)
	for _, inst := range d.allInstances() {
		out = append(out, inst.agent)
	}
	return out
}

// putConfig writes the next version of the configuration to the store.
func (d *deployment) putConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion++
	raw, err := json.Marshal(map[string]any{
		"version": d.configVersion,
		"routes": []map[string]any{{
			"name": "quotes", "host": hostName, "prefix": pathPrefix, "service": service,
			"timeout_ms": 1500, "target_latency_ms": 60, "max_attempts": maxAttempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "enforces_capacity": true}},
		"limits":   map[string]int{"max_header_bytes": maxHeadBytes, "max_body_bytes": maxBodyBytes},
	})
	require.NoError(d.t, err)
	d.store.Put("op/config", raw)
}

// observer observes the runs of one instance's worker.
type observer struct {
	*checker
	d        *deployment
	instance *instance
}

// RunStarted implements emulator.Observer.
func (o observer) RunStarted(inc emulator.Incarnation, task string, run int) {
	o.checker.RunStarted(inc, task, run)
	o.d.recordStart(inc.ID, task, run)
	o.d.hookMu.Lock()
	defer o.d.hookMu.Unlock()
	for _, h := range o.d.hooks {
		(*h)(o.instance, task)
	}
}

// recordStart stores when and where a task last started, and logs an event for a task
// that starts again.
func (d *deployment) recordStart(worker, task string, run int) {
	now := time.Now()
	d.mu.Lock()
	last, ok := d.lastStarts[task]
	d.lastStarts[task] = lastStart{at: now, worker: worker}
	d.mu.Unlock()
	if ok {
		d.logEvent("%s run %d starts at %s, %s after the task started at %s", task, run, worker, now.Sub(last.at), last.worker)
	}
}

// lastStart is the time and the worker of a task's last start.
type lastStart struct {
	at     time.Time
	worker string
}

// hook is called for a run that the worker of an instance starts. It must not block.
type hook func(inst *instance, task string)

// addHook adds a hook and returns a function that removes it.
func (d *deployment) addHook(h hook) func() {
	d.hookMu.Lock()
	defer d.hookMu.Unlock()
	d.hooks = append(d.hooks, &h)
	return func() {
		d.hookMu.Lock()
		defer d.hookMu.Unlock()
		d.hooks = slices.DeleteFunc(d.hooks, func(o *hook) bool { return o == &h })
	}
}

// addInstance starts a worker and its agent.
func (d *deployment) addInstance() *instance {
	i := len(d.allInstances())
	ports := freePorts(d.t, 3)
	name := fmt.Sprintf("agent-%d", i)
	dc := fmt.Sprintf("dc-%d", i%d.dataCentres)
	inst := &instance{controlAddr: fmt.Sprintf("127.0.0.1:%d", ports[0]), workerID: "worker-" + name}
	d.checker.mu.Lock()
	d.checker.setDataCentre(inst.workerID, dc)
	d.checker.mu.Unlock()
	inst.worker = emulator.NewWorker(emulator.WorkerConfig{
		ID: inst.workerID, Service: service, DataCentre: dc, CPU: workerCPU,
		AgentAddr: inst.controlAddr, HeartbeatInterval: heartbeatInterval, Observer: observer{d.checker, d, inst}, TaskResult: d.checker.taskResult, TaskCPU: taskCPU,
	})
	inst.linkProxy = newProxy(d.t, fmt.Sprintf("127.0.0.1:%d", ports[1]))
	ctx, cancel := context.WithCancel(d.ctx)
	inst.removeWorker = func() {
		cancel()
		inst.worker.Shutdown()
	}
	app := serveWorker(ctx, d.t, inst.worker)
	inst.callProxy = newProxy(d.t, app)
	if !d.direct {
		app = inst.callProxy.address
	}
	go inst.worker.Run(ctx)
	inst.agent = d.newProcess(name, "agent", fmt.Sprintf(
		"listen.control=%s\napp=%s\nservice=%s\ninternal_ports=%d,%d\n", inst.controlAddr, app, service, ports[1], ports[2]), dc)
	d.mu.Lock()
	d.instances = append(d.instances, inst)
	d.mu.Unlock()
	inst.agent.start(d.t)
	return inst
}

func (d *deployment) addEntry(i int) {
	ports := freePorts(d.t, 3)
	front := fmt.Sprintf("127.0.0.1:%d", ports[0])
	p := newProxy(d.t, front)
	d.fronts = append(d.fronts, front)
	d.callerProxies = append(d.callerProxies, p)
	d.proxiedFronts = append(d.proxiedFronts, p.address)
	e := d.newProcess(fmt.Sprintf("entry-%d", i), "entry", fmt.Sprintf(
		"listen.front=%s\nlisten.ready=127.0.0.1:%d\ninternal_ports=%d,%d\n", front, ports[1], ports[2], ports[2]), fmt.Sprintf("dc-%d", i%d.dataCentres))
	d.entries = append(d.entries, e)
	e.start(d.t)
}

// newProcess writes the settings file of a process and creates its log file. It does
// not start the process.
func (d *deployment) newProcess(name, command, settings, dc string) *process {
	path := filepath.Join(d.dir, name+".conf")
	storeAddr := d.storeAddr
	var storeProxy *proxy
	if d.storeProxies {
		storeProxy = newProxy(d.t, storeAddr)
		storeAddr = storeProxy.address
	}
	text := fmt.Sprintf("node_name=%s\nip=127.0.0.1\nzone=%s\nplatform.address=%s\nbounds.grace_period_s=%d\n%s%s",
		name, dc, storeAddr, int(gracePeriod.Seconds()), settings, d.limits)
	require.NoError(d.t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	require.NoError(d.t, err)
	return &process{name: name, args: []string{"serve", command}, settings: path, text: text, descriptors: d.descriptors, storeProxy: storeProxy, log: log, onUnexpectedExit: d.checker.recordUnexpectedExit}
}

// close kills all processes of the deployment, and saves their logs when the test has
// failed.
func (d *deployment) close() {
	d.cancel()
	for _, p := range d.processes() {
		p.stop(syscall.SIGKILL)
		_ = p.log.Close()
		if d.t.Failed() {
			d.saveLog(p)
		}
	}
}

// saveLog copies the log of a process to the directory for temporary files, where it
// outlasts the test.
func (d *deployment) saveLog(p *process) {
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
