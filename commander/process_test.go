package commander_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/submitter"
)

const (
	// freezeDuration is the time for which a process is stopped by SIGSTOP.
	freezeDuration = 8 * time.Second
	// readyTimeout is the timeout of the start of a deployment.
	readyTimeout = 30 * time.Second
	// jobDeadline is long enough for a slow machine.
	jobDeadline = 50 * time.Second
)

// processes is a deployment of separate operating system processes.
type processes struct {
	t        *testing.T
	binary   string
	dir      string
	settings configurer.Settings
	running  map[string]*exec.Cmd
	client   *submitter.Client
}

// freeAddresses returns loopback addresses with ports that were free at the time of the
// call.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// startProcesses builds the program and starts 3 entries and 4 workers.
func startProcesses(t *testing.T) *processes {
	t.Helper()
	const entries, workers = 3, 4
	p := &processes{t: t, dir: t.TempDir(), running: make(map[string]*exec.Cmd)}
	p.binary = filepath.Join(p.dir, "pomeloferry")
	out, err := exec.Command("go", "build", "-o", p.binary, "..").CombinedOutput()
	require.NoError(t, err, "%s", out)
	t.Cleanup(p.killAll)

	addrs := freeAddresses(t, 1+2*entries+2*workers)
	next := func() string {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	key := filepath.Join(p.dir, "key")
	public := p.runCommand("bundle", "key", key)
	store := next()
	p.settings.Store = "http://" + store
	p.settings.Trust = approver.ApproverKeys{"berta": public[:len(public)-1]}
	for i := range entries {
		p.settings.Entries = append(p.settings.Entries, configurer.Entry{
			ID: fmt.Sprintf("entry-%d", i+1), DataCentre: "wien", Listen: next(), Link: next(),
		})
	}
	for i := range workers {
		agent := configurer.Agent{ID: fmt.Sprintf("agent-%d", i+1), DataCentre: "wien", Rack: "rack-1", Listen: next()}
		p.settings.Agents = append(p.settings.Agents, agent)
		p.settings.Upstreams = append(p.settings.Upstreams, configurer.Upstream{
			ID: fmt.Sprintf("worker-%d", i+1), Agent: agent.ID, Listen: next(),
			Slots: 4, Connections: 64, Services: []string{"quote"},
		})
	}
	p.writeJSON("settings.json", p.settings)
	p.start("store", "store", "--listen", store)
	p.await("store", func() bool { return p.respondsOK("http://" + store + "/calls") })
	p.rollOut(key)
	p.startAll()
	return p
}

func (p *processes) rollOut(key string) {
	p.writeJSON("bundle.json", approver.Bundle{
		Version: 1, Author: "anna",
		Services:    []approver.Service{{Name: "quote", TaskLimit: 1100, DeadlineLimitMillis: 60_000, ExpectedRunMillis: 300}},
		DataCentres: []approver.DataCentre{{Name: "wien", State: approver.In}},
		Teams:       []approver.Team{{Name: "team", TaskLimit: 100_000}},
		Limits:      approver.Limits{WaitingTaskLimit: 100_000, EjectPercent: 30, RetryPercent: 10},
	})
	signed := p.runCommand("bundle", "sign", "--approver", "berta", "--key", key, p.path("bundle.json"))
	require.NoError(p.t, os.WriteFile(p.path("signed.json"), []byte(signed), 0o600))
	// Without entries the bundle is written but does not come into force, so that the
	// command fails.
	_ = exec.Command(p.binary, "bundle", "roll-out", "--settings", p.path("settings.json"), "--wait", "0s", p.path("signed.json")).Run()
}

func (p *processes) startAll() {
	var entries []string
	for _, e := range p.settings.Entries {
		p.startOne("entry", e.ID)
		entries = append(entries, e.Listen)
	}
	for _, a := range p.settings.Agents {
		p.startOne("agent", a.ID)
	}
	for _, u := range p.settings.Upstreams {
		p.startOne("upstream", u.ID)
	}
	p.client = submitter.NewClient(clockwork.NewRealClock(), entries, 16)
	for i := range entries {
		n := 0
		p.await(fmt.Sprintf("entry %d", i), func() bool {
			n++
			a, err := p.client.SubmitOnce(context.Background(), i, p.job(fmt.Sprintf("ready-%d-%d", i, n), 1, 10))
			return err == nil && a.State == courier.Complete
		})
	}
}

func (p *processes) path(name string) string { return filepath.Join(p.dir, name) }

func (p *processes) writeJSON(name string, v any) {
	raw, err := json.Marshal(v)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.path(name), raw, 0o600))
}

func (p *processes) runCommand(args ...string) string {
	out, err := exec.Command(p.binary, args...).Output()
	require.NoError(p.t, err, "%v", args)
	return string(out)
}

func (p *processes) start(name string, args ...string) {
	cmd := exec.Command(p.binary, args...)
	require.NoError(p.t, cmd.Start())
	p.running[name] = cmd
}

func (p *processes) startOne(kind, id string) {
	p.start(id, kind, "--settings", p.path("settings.json"), "--id", id)
}

func (p *processes) signal(name string, s syscall.Signal) {
	require.NoError(p.t, p.running[name].Process.Signal(s))
}

// signalAndWait sends a signal to a process and waits until it has ended.
func (p *processes) signalAndWait(name string, s syscall.Signal) error {
	p.signal(name, s)
	err := p.running[name].Wait()
	delete(p.running, name)
	return err
}

func (p *processes) killAll() {
	for _, cmd := range p.running {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (p *processes) await(what string, ready func() bool) {
	p.t.Helper()
	for end := time.Now().Add(readyTimeout); !ready(); time.Sleep(50 * time.Millisecond) {
		require.True(p.t, time.Now().Before(end), "%s is not ready", what)
	}
}

func (p *processes) respondsOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *processes) job(key string, n, millis int) courier.Submission {
	s := courier.Submission{
		Team: "team", Key: key, Service: "quote", Attempt: 1, Detached: true,
		Deadline: time.Now().Add(jobDeadline).UTC(),
	}
	for i := range n {
		s.Tasks = append(s.Tasks, courier.Task{Payload: json.RawMessage(fmt.Sprintf(`{"Millis":%d,"Echo":"%s#%d"}`, millis, key, i))})
	}
	return s
}

// submitAll submits jobs through all entries in turn, again if a request gets no
// answer. The returned function waits for the answers, checks the results and returns
// the answers.
func (p *processes) submitAll(prefix string, jobs, tasks, millis int) (wait func() []courier.Answer) {
	answers := make([]courier.Answer, jobs)
	errs := make([]error, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		s := p.job(fmt.Sprintf("%s-%d", prefix, i), tasks, millis)
		wg.Go(func() { answers[i], errs[i] = p.client.Submit(context.Background(), i, s) })
	}
	return func() []courier.Answer {
		wg.Wait()
		for i, err := range errs {
			require.NoError(p.t, err)
			p.checkResults(fmt.Sprintf("%s-%d", prefix, i), answers[i])
		}
		return answers
	}
}

func (p *processes) checkResults(key string, a courier.Answer) {
	for i, r := range a.Results {
		require.Equal(p.t, fmt.Sprintf("%q", fmt.Sprintf("%s#%d", key, i)), string(r))
	}
}

// requireStartedOnce queries the upstreams for the starts of each task and fails if a
// task has started more than once.
func (p *processes) requireStartedOnce() {
	total := make(map[string]int)
	for _, u := range p.settings.Upstreams {
		resp, err := http.Get("http://" + u.Listen + "/starts")
		if err != nil {
			continue // The test has stopped this upstream.
		}
		var starts map[string]int
		err = json.NewDecoder(resp.Body).Decode(&starts)
		_ = resp.Body.Close()
		require.NoError(p.t, err)
		for task, n := range starts {
			total[task] += n
		}
	}
	for task, n := range total {
		require.Equal(p.t, 1, n, "%s started %d times", task, n)
	}
}

func requireComplete(t *testing.T, answers []courier.Answer, tasks int) {
	t.Helper()
	for _, a := range answers {
		require.Equal(t, courier.Complete, a.State, "%+v", a)
		require.Len(t, a.Results, tasks)
	}
}

func TestPlannedShutdownInterruptsNoJob(t *testing.T) {
	p := startProcesses(t)
	for _, name := range []string{"entry-2", "worker-3", "agent-3", "agent-2"} {
		wait := p.submitAll("stop-"+name, 24, 3, 200)
		time.Sleep(150 * time.Millisecond)
		require.NoError(t, p.signalAndWait(name, syscall.SIGTERM), name)
		requireComplete(t, wait(), 3)
	}
	p.requireStartedOnce()
}

func TestKilledEntry(t *testing.T) {
	p := startProcesses(t)
	wait := p.submitAll("kill", 12, 10, 300)
	time.Sleep(400 * time.Millisecond)
	require.Error(t, p.signalAndWait("entry-1", syscall.SIGKILL))
	requireComplete(t, wait(), 10)
	p.requireStartedOnce()
}

func TestKilledAgent(t *testing.T) {
	p := startProcesses(t)
	wait := p.submitAll("kill", 12, 10, 300)
	time.Sleep(400 * time.Millisecond)
	require.Error(t, p.signalAndWait("agent-1", syscall.SIGKILL))
	for _, a := range wait() {
		require.Contains(t, []courier.State{courier.Complete, courier.Failed}, a.State, "%+v", a)
	}
	p.requireStartedOnce()
}

func TestFrozenProcesses(t *testing.T) {
	p := startProcesses(t)
	for _, name := range []string{"entry-1", "agent-1"} {
		wait := p.submitAll("freeze-"+name, 12, 10, 300)
		time.Sleep(400 * time.Millisecond)
		p.signal(name, syscall.SIGSTOP)
		waitDuring := p.submitAll("during-"+name, 4, 3, 100)
		time.Sleep(freezeDuration)
		p.signal(name, syscall.SIGCONT)
		requireComplete(t, wait(), 10)
		requireComplete(t, waitDuring(), 3)
	}
	p.requireStartedOnce()
}
