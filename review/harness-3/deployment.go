package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun means that a case could not run.
var errCannotRun = errors.New("the case cannot run")

// recorder keeps what was sent, answered and run, and writes it to the record.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
	runs  []runRecord
}

type runRecord struct {
	worker, zone, task, kind string
	run                      int
	started, ended           time.Time
	how                      string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: f, began: time.Now()}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. The caller holds mu.
func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) started(w *worker, task string, run int, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, runRecord{worker: w.id, zone: w.zone, kind: w.labels[0], task: task, run: run, started: time.Now()})
	r.line("worker %s starts %s run %d", w, task, run)
}

func (r *recorder) ended(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.runs) - 1; i >= 0; i-- {
		if x := &r.runs[i]; x.worker == worker && x.task == task && x.run == run && x.ended.IsZero() {
			x.ended = time.Now()
			x.how = how
			break
		}
	}
	r.line("worker %s ends %s run %d: %s", worker, task, run, how)
}

// snapshot returns all runs so far.
func (r *recorder) snapshot() []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runRecord(nil), r.runs...)
}

// process is one process of the system. It is restarted when it ends, unless it is down.
type process struct {
	d          *deployment
	name, role string
	zone, ip   string
	storeAddr  string
	settings   string

	mu   sync.Mutex
	cmd  *exec.Cmd
	down bool
	gone chan struct{}
}

// side is a side machine: an agent and its worker.
type side struct {
	agent  *process
	worker *worker
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *recorder
	store   *store
	dir     string
	program string
	net     int
	// reused is the address of the next machine; "" for a new one.
	reused  string
	hosts   int
	entries []*process
	sides   []*side
	zones   []string
	bounds  map[string]string
	// capacity is that of each worker.
	capacity amounts
	version  int
}

const (
	service = "preisfeed"
	host    = "quotes.example"
	prefix  = "/spot/"
)

const (
	// machinePorts is the number of ports of a machine.
	machinePorts = 26
	firstPort    = 18161
	lastPort     = 30000
)

// portBase is the first port of all machines of the deployment.
var portBase int

// findPorts sets portBase to the first of machinePorts ports that nothing listens on.
func findPorts() error {
	for base := firstPort; base+machinePorts < lastPort; base += machinePorts {
		if portsFree(base) {
			portBase = base
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errCannotRun)
}

func portsFree(base int) bool {
	for p := base; p < base+machinePorts; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func newDeployment(rec *recorder) (*deployment, error) {
	program, err := filepath.Abs("target/pomeloferry")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	if err := findPorts(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, store: newStore(), dir: dir, program: program, zones: []string{"ost-wien", "ost-graz", "ost-linz"}, capacity: amounts{CPU: 32000, Memory: 65536}}
	d.net = 10 + os.Getpid()%200
	return d, nil
}

// address returns the loopback address of the next machine.
func (d *deployment) address() string {
	if ip := d.reused; ip != "" {
		d.reused = ""
		return ip
	}
	d.hosts++
	return fmt.Sprintf("127.%d.%d.%d", d.net, d.hosts/200, 1+d.hosts%200)
}

// route is a queue of the configuration.
type route map[string]any

func defaultRoute() route {
	return route{"name": "spot", "host": host, "prefix": prefix, "service": service, "timeout_ms": 60000, "target_latency_ms": 60, "priority": 0, "max_attempts": 4, "stretch": 1.6}
}

// configure writes the next configuration.
func (d *deployment) configure(routes ...route) {
	d.version += 3
	d.store.put("op/config", map[string]any{
		"version": d.version, "routes": routes,
		"services": []map[string]any{{"name": service, "enforces_capacity": true}},
		"limits":   map[string]any{"max_header_bytes": 65536, "max_body_bytes": 262144},
	})
	d.rec.note("operator: configuration %d acknowledged", d.version)
}

func (d *deployment) settingsOf(p *process, extra string) string {
	return fmt.Sprintf(`node_name=%s
role=%s
machine_class=%s
serves=%s
ip=%s
zone=%s
region=ost
zones.ost-wien=ost
zones.ost-graz=ost
zones.ost-linz=ost
internal_ports=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=%d
limits.max_fds=4100
discovery=local
entry=vip
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_timeout_ms=2000
bounds.grace_period_s=6
bounds.config_deadline_ms=2000
bounds.evacuate_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=1000
bounds.stop_timeout_ms=50
bounds.cancel_ms=3000
bounds.far_x=1.5
bounds.require_fencing=true
bounds.lease_ttl_ms=3000
bounds.retry_ms=1300
orders=call
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.value_bytes=1048576
platform.min_ttl_ms=1000
%s`, p.name, p.role, p.class(), p.class(), p.ip, p.zone, portBase+10, portBase+25, p.memoryMB(), p.storeAddr, extra)
}

func (p *process) class() string {
	if p.role == "entry" {
		return "edge"
	}
	return "side"
}

// memoryMB returns the memory of the process's machine.
func (p *process) memoryMB() int {
	if p.role == "entry" {
		return 284
	}
	return 152
}

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, portBase) }
func (p *process) ready() string { return fmt.Sprintf("%s:%d", p.ip, portBase+6) }
func (p *process) link() string  { return fmt.Sprintf("%s:%d", p.ip, portBase+10) }

func (d *deployment) newProcess(name, role, zone string) (*process, error) {
	p := &process{d: d, name: name, role: role, zone: zone, ip: d.address()}
	var err error
	if p.storeAddr, err = d.store.serve(name); err != nil {
		return nil, err
	}
	extra := fmt.Sprintf("listen.front=%s\nlisten.ready=%s\n", p.front(), p.ready())
	if role == "agent" {
		extra = fmt.Sprintf("listen.control=%s:%d\napp=%s:%d\nservice=%s\n", p.ip, portBase+5, p.ip, portBase+4, service)
	}
	p.settings = filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(p.settings, []byte(d.settingsOf(p, extra)), 0o600); err != nil {
		return nil, err
	}
	return p, nil
}

func (d *deployment) addEntry(zone string) (*process, error) {
	p, err := d.newProcess(fmt.Sprintf("edge-%s-%d", zone, len(d.entries)+1), "entry", zone)
	if err != nil {
		return nil, err
	}
	d.entries = append(d.entries, p)
	return p, p.start()
}

func (d *deployment) addSide(zone string) (*side, error) {
	n := len(d.sides) + 1
	p, err := d.newProcess(fmt.Sprintf("side-%s-%d", zone, n), "agent", zone)
	if err != nil {
		return nil, err
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	w, err := newWorker(d.rec, fmt.Sprintf("i-%08x", 0x7f3a0000+n), service, zone, fmt.Sprintf("%s:%d", p.ip, portBase+4), fmt.Sprintf("%s:%d", p.ip, portBase+5), d.capacity, "a", fmt.Sprintf("r1-%d", n%3))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	s := &side{agent: p, worker: w}
	d.sides = append(d.sides, s)
	return s, nil
}

// start starts the process and keeps it running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	return p.launch()
}

// launch starts the program once. The caller holds mu.
func (p *process) launch() error {
	cmd := exec.Command(p.d.program, "serve", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOFERRY_BOOT=" + p.settings}
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	gone := make(chan struct{})
	p.gone = gone
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(gone)
		p.d.rec.note("%s has ended: %v", p.name, err)
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.down && p.cmd == cmd {
			_ = p.launch()
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.d.rec.note("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// powerOff kills the process, which stays down.
func (p *process) powerOff() {
	p.mu.Lock()
	p.down = true
	_ = p.cmd.Process.Kill()
	gone := p.gone
	p.mu.Unlock()
	<-gone
	p.d.rec.note("%s is down", p.name)
}

// close ends everything that was started.
func (d *deployment) close() {
	for _, p := range d.entries {
		p.powerOff()
	}
	for _, s := range d.sides {
		s.agent.powerOff()
		s.worker.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady() error {
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		ready := 0
		for _, p := range d.entries {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(d.entries) {
			d.rec.note("all entries are ready")
			time.Sleep(2 * time.Second)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: the entries are not ready", errCannotRun)
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *process) isReady() bool {
	resp, err := readyClient.Get("http://" + p.ready() + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// step is a step of a job.
type step map[string]any

func jobBody(spec string, steps ...step) map[string]any {
	return map[string]any{"spec": spec, "steps": steps, "best_effort": true}
}

// reply is the answer to a client; status 0 means that there was none.
type reply struct {
	status int
	body   string
	err    error
}

func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprint("no answer: ", r.err)
	}
	return fmt.Sprint(r.status, " ", strings.TrimSpace(r.body))
}

var clientTransport = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}

// request sends one request of a client.
func request(ctx context.Context, method, address, path string, body any, deadline time.Duration) reply {
	var in io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		in = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, in)
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := clientTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, body: string(raw)}
}
