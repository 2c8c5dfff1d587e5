package main

import (
	"fmt"
	"math/rand/v2"
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

const (
	program = "target/pomeloferry"
	service = "svc"
	host    = "jobs.example"
)

// deployment is one run of the system with stand-ins for the platform and its workers.
type deployment struct {
	rec   *recorder
	dir   string
	net   string
	store *store
	ports struct{ front, ready, control, app, internal, last, store int }

	entries []*machine
	agents  []*machine
	workers []*worker
	version int
	// closers end the stand-ins of a case.
	closers []func()
}

// machine is a machine of the system with its one process.
type machine struct {
	d          *deployment
	name, zone string
	ip, role   string
	// worker is the worker on a side machine.
	worker *worker

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newDeployment starts the store and chooses loopback addresses and free ports.
func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir}
	for range 100 {
		d.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		if d.free(base) {
			d.ports.store, d.ports.front, d.ports.ready, d.ports.control = base, base+1, base+2, base+3
			d.ports.app, d.ports.internal, d.ports.last = base+4, base+5, base+9
			d.store, err = newStore(d.storeAddr())
			return d, err
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (d *deployment) free(base int) bool {
	for p := base; p < base+10; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", d.net, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) storeAddr() string { return fmt.Sprintf("%s.7:%d", d.net, d.ports.store) }

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) front() string { return m.addr(m.d.ports.front) }

// addEntry adds an edge machine and starts its process.
func (d *deployment) addEntry(zone string) (*machine, error) {
	n := len(d.entries) + 1
	m := &machine{d: d, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, role: "entry", ip: fmt.Sprintf("%s.%d", d.net, 10+n)}
	d.entries = append(d.entries, m)
	return m, m.start()
}

// addAgent adds a side machine with a worker and starts its process.
func (d *deployment) addAgent(zone string, w workerSpec) (*machine, error) {
	n := len(d.agents) + 1
	m := &machine{d: d, name: fmt.Sprintf("side-%s-%d", zone, n), zone: zone, role: "agent", ip: fmt.Sprintf("%s.%d", d.net, 100+n)}
	d.agents = append(d.agents, m)
	if err := m.start(); err != nil {
		return m, err
	}
	if w.id == "" {
		w.id = fmt.Sprintf("i-%04d", n)
	}
	return m, m.startWorker(w)
}

// startWorker starts a worker on a side machine.
func (m *machine) startWorker(w workerSpec) error {
	w.zone, w.service = m.zone, service
	w.app, w.control = m.addr(m.d.ports.app), m.addr(m.d.ports.control)
	started, err := startWorker(w, m.d.rec)
	if err != nil {
		return err
	}
	m.worker = started
	m.d.workers = append(m.d.workers, started)
	return nil
}

// settings returns the settings file of the machine's process.
func (m *machine) settings() string {
	p := m.d.ports
	lines := []string{
		"node_name=" + m.name, "ip=" + m.ip, "zone=" + m.zone, "region=r", "bootstrap=true",
		fmt.Sprintf("internal_ports=%d,%d", p.internal, p.last),
		"seed_addrs=", "limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"discovery=local", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catchup_s=4",
		"bounds.drain_timeout_ms=2000", "bounds.grace_period_s=6", "bounds.loss_slack_ms=200", "bounds.config_deadline_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"bounds.max_hold_ms=1000", "bounds.stop_timeout_ms=50", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far_x=1.5",
		"bounds.checkpoint_s=1", "bounds.restore_ms=100", "bounds.notice_period_ms=4500", "bounds.lease_ttl_ms=3000",
		"bounds.thaw_slack_ms=300", "bounds.pace_ms=100", "bounds.harm_ms=4000", "bounds.retry_ms=1300", "orders=call",
		"platform.address=" + m.d.storeAddr(), "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.retention_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	if m.role == "entry" {
		lines = append(lines, "role=entry", "machine_class=edge", "serves=edge", "listen.front="+m.front(), "listen.ready="+m.addr(p.ready))
	} else {
		lines = append(lines, "role=agent", "machine_class=side", "serves=side", "listen.control="+m.addr(p.control), "app="+m.addr(p.app), "service="+service)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	file := filepath.Join(m.d.dir, m.name+".conf")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "serve", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOFERRY_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.d.rec.note("process of %s has ended: %v", m.name, err)
		close(ended)
	}()
	m.d.rec.note("process of %s starts", m.name)
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.d.rec.note("%s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// close ends all processes and workers.
func (d *deployment) close() {
	for _, m := range append(append([]*machine{}, d.entries...), d.agents...) {
		m.mu.Lock()
		cmd, ended := m.cmd, m.ended
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-ended
		}
	}
	for _, w := range d.workers {
		w.crash()
	}
	d.store.close()
	for _, c := range d.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// route is a queue of the configuration.
type route struct {
	name, prefix string
	timeout      int
	attempts     int
}

// configure writes a configuration, as the operator does.
func (d *deployment) configure(routes ...route) {
	d.version += 3
	list := []map[string]any{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "type": "mutating", "timeout_ms": r.timeout, "target_latency_ms": 60,
			"priority": i, "service": service, "max_attempts": r.attempts, "stretch": 1.6,
		})
	}
	d.store.put("op/config", map[string]any{
		"version": d.version, "routes": list,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// ready reports whether an entry answers the balancer's readiness check with 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.addr(m.d.ports.ready) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready, and then for the machines to settle.
func (d *deployment) awaitReady(settle time.Duration) error {
	for range 100 {
		all := true
		for _, e := range d.entries {
			all = all && e.ready()
		}
		if all {
			time.Sleep(settle)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entries are not ready after 10 s")
}
