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

// process is one program that the soak started.
type process struct {
	name     string
	command  string
	settings string
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the program, which stays up until stop or kill.
func (p *process) start(t testing.TB) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(program, "serve", p.command)
	p.cmd.Env = append(os.Environ(), "POMELOFERRY_BOOT="+p.settings)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	require.NoError(t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		// The exit status of a killed process says nothing.
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end sends a signal and waits until the process is gone; one that stays
// longer than the grace period is killed.
func (p *process) end(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// deployment is a whole deployment on loopback.
type deployment struct {
	t       testing.TB
	dir     string
	store   *emulator.Store
	address string
	entries []*process
	fronts  []string
	agents  []*process
	workers []*emulator.Worker
	proxies []*proxy
	watch   *watcher
	version int
	cancel  context.CancelFunc
}

const (
	// portFirst and portLast bound the ports of the programs. They lie below
	// those that the kernel gives to outgoing connections, which would
	// otherwise take a port between its choice and the program's start.
	portFirst = 15_000
	portLast  = 30_000
)

// portsPerProcess spaces the ports of soaks that run side by side.
const portsPerProcess = 97

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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func newDeployment(t testing.TB, entries, agents int) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{t: t, dir: t.TempDir(), store: emulator.NewStore(), watch: newWatcher(), cancel: cancel}
	d.address = serve(t, d.store.Handler())
	d.store.Rewrite = d.throughProxy
	d.configure()
	for i := range agents {
		d.addAgent(ctx, i)
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
	for i, p := range d.agents {
		if p.name == name {
			r.Link = d.proxies[i].address
		}
	}
	out, err := json.Marshal(r)
	if err != nil {
		return value
	}
	return out
}

// configure writes the next configuration.
func (d *deployment) configure() {
	d.version++
	raw, err := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []map[string]any{{
			"name": "quotes", "host": hostName, "prefix": prefix, "service": service,
			"timeout_ms": 1500, "target_latency_ms": 60, "max_attempts": 3, "stretch": 1.6,
		}},
		"limits": map[string]int{"max_body_bytes": 262144},
	})
	require.NoError(d.t, err)
	d.store.Put("op/config", raw)
}

func (d *deployment) addAgent(ctx context.Context, i int) {
	ports := freePorts(d.t, 3)
	name := fmt.Sprintf("agent-%d", i)
	dc := fmt.Sprintf("dc-%d", i%2)
	control := fmt.Sprintf("127.0.0.1:%d", ports[0])
	w := emulator.NewWorker(emulator.WorkerConfig{
		ID: "worker-" + name, Service: service, DataCentre: dc, CPU: workerCPU,
		Agent: control, Heartbeat: heartbeatInterval, Observer: d.watch, Work: d.watch.work,
	})
	d.watch.place("worker-"+name, dc)
	d.workers = append(d.workers, w)
	d.proxies = append(d.proxies, newProxy(d.t, fmt.Sprintf("127.0.0.1:%d", ports[1])))
	app := serveWorker(ctx, d.t, w)
	go w.Run(ctx)
	d.agents = append(d.agents, d.process(name, "agent", fmt.Sprintf(
		"listen.control=%s\napp=%s\nservice=%s\ninternal_ports=%d,%d\n", control, app, service, ports[1], ports[2]), dc))
}

func (d *deployment) addEntry(i int) {
	ports := freePorts(d.t, 3)
	front := fmt.Sprintf("127.0.0.1:%d", ports[0])
	d.fronts = append(d.fronts, front)
	d.entries = append(d.entries, d.process(fmt.Sprintf("entry-%d", i), "entry", fmt.Sprintf(
		"listen.front=%s\nlisten.ready=127.0.0.1:%d\ninternal_ports=%d,%d\n", front, ports[1], ports[2], ports[2]), fmt.Sprintf("dc-%d", i%2)))
}

// process writes settings and starts a program.
func (d *deployment) process(name, command, settings, dc string) *process {
	path := filepath.Join(d.dir, name+".conf")
	text := fmt.Sprintf("node_name=%s\nip=127.0.0.1\nzone=%s\nplatform.address=%s\nbounds.grace_period_s=%d\n%s",
		name, dc, d.address, int(grace.Seconds()), settings)
	require.NoError(d.t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	require.NoError(d.t, err)
	p := &process{name: name, command: command, settings: path, log: log}
	p.start(d.t)
	return p
}

// close ends all that the deployment started, and prints the logs' ends when
// the test has failed.
func (d *deployment) close() {
	d.cancel()
	for _, p := range append(d.entries, d.agents...) {
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
