package soaker

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// minRestartDelay and maxRestartDelay bound the time before a process that has
	// exited is restarted.
	minRestartDelay = 5 * time.Millisecond
	maxRestartDelay = 50 * time.Millisecond
)

// process is one program under test. It is restarted when it exits without having been
// stopped.
type process struct {
	name string
	// args are the program's arguments.
	args []string
	// settings is the path of the platform's settings file, and text what it holds; both
	// are empty if the program reads none.
	settings, text string
	// descriptors is the kernel's limit of its descriptors, 0 for none.
	descriptors int
	// storeProxy forwards the process's connections to the store, if options.storeProxies is
	// set.
	storeProxy *proxy
	log        *os.File
	// onUnexpectedExit is called when the process exits without having been killed or
	// stopped, and when it cannot be restarted.
	onUnexpectedExit func(name, status string)
	// faultMu is held by the fault that affects the process.
	faultMu sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// shouldRun reports whether the process is to be restarted when it exits.
	shouldRun bool
	// killed reports whether kill has been called since the last launch.
	killed bool
}

// start starts the program and keeps it running until stop.
func (p *process) start(t testing.TB) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shouldRun = true
	require.NoError(t, p.launch())
}

// launch starts the program once. The caller must hold mu.
func (p *process) launch() error {
	cmd := exec.Command(programPath, p.args...)
	if p.descriptors > 0 {
		limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors)
		cmd = exec.Command("sh", append([]string{"-c", limit, programPath}, p.args...)...)
	}
	cmd.Env = append(os.Environ(), "POMELOFERRY_BOOT="+p.settings)
	cmd.Stdout = p.log
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.killed = cmd, exited, false
	go p.supervise(cmd, exited)
	return nil
}

// supervise waits for the program to exit and restarts it, unless it has been stopped.
func (p *process) supervise(cmd *exec.Cmd, exited chan struct{}) {
	// The exit status is taken from cmd.ProcessState.
	_ = cmd.Wait()
	close(exited)
	p.mu.Lock()
	restart, killed := p.shouldRun && p.cmd == cmd, p.killed
	p.mu.Unlock()
	if !restart {
		return
	}
	if !killed {
		p.onUnexpectedExit(p.name, cmd.ProcessState.String())
	}
	time.Sleep(minRestartDelay + time.Duration(rand.Int64N(int64(maxRestartDelay-minRestartDelay))))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shouldRun && p.cmd == cmd {
		if err := p.launch(); err != nil {
			p.onUnexpectedExit(p.name, err.Error())
		}
	}
}

// pid returns the ID of the program's present process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// hangUp tells the process that its settings have changed.
func (p *process) hangUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		awaitMinded(p.cmd.Process.Pid, syscall.SIGHUP)
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// kill kills the process, which is then restarted after the restart delay.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shouldRun {
		p.killed = true
		_ = p.cmd.Process.Kill()
	}
}

// stop sends a signal and waits for the process to exit; a process that is still running
// after the grace period is killed. It is not restarted until start.
func (p *process) stop(sig syscall.Signal) {
	p.mu.Lock()
	p.shouldRun = false
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// pause pauses the process for a duration.
func (p *process) pause(duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// recordUnexpectedExit records a process that exited without having been killed or
// stopped, or that could not be restarted.
func (c *checker) recordUnexpectedExit(name, status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("ENDED: %s exited unexpectedly: %s", name, status)
}

// randomDuration returns a duration of at least low and less than high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// onNextStart calls f as soon as the worker of a matching instance has started a run
// and before it answers the start. It returns false if there is none within its
// timeout.
func (d *deployment) onNextStart(match func(inst *instance) bool, f func()) bool {
	const timeout = time.Second
	called := make(chan struct{})
	var once sync.Once
	remove := d.addHook(func(inst *instance, _ string) {
		if match(inst) {
			once.Do(func() {
				f()
				close(called)
			})
		}
	})
	defer remove()
	select {
	case <-called:
		return true
	case <-time.After(timeout):
		return false
	}
}

// hasAgent returns a function that reports whether an instance has the given agent.
func hasAgent(p *process) func(inst *instance) bool {
	return func(inst *instance) bool { return inst.agent == p }
}

// anyInstance matches all instances.
func anyInstance(*instance) bool { return true }

// pauseAfterStart pauses a process when the worker of a matching instance starts a run.
func (d *deployment) pauseAfterStart(p *process, match func(inst *instance) bool, duration time.Duration) {
	injectFault(p, func() {
		if d.onNextStart(match, func() { p.signal(syscall.SIGSTOP) }) {
			time.Sleep(duration)
		}
		p.signal(syscall.SIGCONT)
	})
}

// killAfterStart kills an agent when its worker starts a run.
func (d *deployment) killAfterStart(p *process) {
	injectFault(p, func() { d.onNextStart(hasAgent(p), p.kill) })
}

// pickSeveral returns about a third of the items of a list in random order, at least
// two if there are as many.
func pickSeveral[T any](rng *rand.Rand, items []T) []T {
	out := slices.Clone(items)
	rng.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(len(out), max(2, len(out)/3))]
}

// forEachConcurrently calls f for all items at the same time and waits for the calls.
func forEachConcurrently[T any](items []T, f func(T)) {
	var wg sync.WaitGroup
	for _, x := range items {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(x)
		}()
	}
	wg.Wait()
}

// resetEntry breaks all connections of an entry: those of its callers, of which it is
// informed after closeDelay, and its links.
func (d *deployment) resetEntry(i int, closeDelay time.Duration) {
	d.callerProxies[i].resetCallers(closeDelay)
	d.resetLinks(i)
}

// resetLinks breaks all links of an entry.
func (d *deployment) resetLinks(i int) {
	for _, inst := range d.allInstances() {
		inst.linkProxy.resetFrom(d.entries[i].name)
	}
}

// replaceInstance adds an instance, drains an old one and shuts it down. The old worker
// keeps running for linger after it has announced its departure.
func (d *deployment) replaceInstance(p *process, drain, linger time.Duration) {
	if !p.faultMu.TryLock() {
		return
	}
	// The agent of a removed instance stays locked, so that no fault restarts it.
	instances := d.allInstances()
	old := instances[slices.IndexFunc(instances, hasAgent(p))]
	d.addInstance()
	time.Sleep(instanceStartupTime)
	old.worker.SetDraining(true)
	time.Sleep(drain)
	old.worker.SendDelete(d.ctx, old.worker.ID())
	time.Sleep(linger)
	old.removeWorker()
	p.stop(syscall.SIGTERM)
}

// instanceStartupTime is the time that a new instance has until it can run tasks.
const instanceStartupTime = 500 * time.Millisecond

// processFaults affect processes and connections, some of them many at once.
var processFaults = []fault{
	{"calls reset", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		p := pick(rng, d.allInstances()).callProxy
		for end := time.Now().Add(duration); time.Now().Before(end); {
			p.reset()
			time.Sleep(randomDuration(rng, 5*time.Millisecond, 100*time.Millisecond))
		}
	}},
	{"calls reset after they took effect", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		p := pick(rng, d.allInstances()).callProxy
		p.resetOnData.Store(true)
		time.Sleep(duration / 2)
		p.resetOnData.Store(false)
	}},
	{"calls refused", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		p := pick(rng, d.allInstances()).callProxy
		p.refuseNew.Store(true)
		p.reset()
		time.Sleep(duration)
		p.refuseNew.Store(false)
	}},
	{"calls unanswered", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		p := pick(rng, d.allInstances()).callProxy
		p.dropFor(&p.dropOut, duration)
	}},
	{"open connections dropping all data", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		inst := pick(rng, d.allInstances())
		inst.callProxy.blackhole()
		inst.linkProxy.blackhole()
	}},
	{"callers reset", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		pick(rng, d.callerProxies).resetCallers(0)
	}},
	{"callers reset, entry notices late", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		pick(rng, d.callerProxies).resetCallers(2 * duration)
	}},
	{"entry killed and restarted at once", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		p := pick(rng, d.entries)
		injectFault(p, p.kill)
	}},
	{"agent killed and restarted at once", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		p := pick(rng, d.allInstances()).agent
		injectFault(p, p.kill)
	}},
	{"agent killed while its calls are refused", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		inst := pick(rng, d.allInstances())
		injectFault(inst.agent, func() {
			inst.callProxy.refuseNew.Store(true)
			inst.callProxy.reset()
			inst.agent.kill()
			time.Sleep(duration / 2)
			inst.callProxy.refuseNew.Store(false)
		})
	}},
	{"agents killed after a start", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		forEachConcurrently(pickSeveral(rng, d.allInstances()), func(inst *instance) { d.killAfterStart(inst.agent) })
	}},
	{"agents paused after a start", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		forEachConcurrently(pickSeveral(rng, d.allInstances()), func(inst *instance) { d.pauseAfterStart(inst.agent, hasAgent(inst.agent), duration) })
	}},
	{"entry paused after a start", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		d.pauseAfterStart(pick(rng, d.entries), anyInstance, duration)
	}},
	{"links of an entry reset repeatedly", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		i := rng.IntN(len(d.entries))
		for end := time.Now().Add(duration); time.Now().Before(end); {
			d.resetLinks(i)
			time.Sleep(randomDuration(rng, 5*time.Millisecond, 50*time.Millisecond))
		}
	}},
	{"all connections of several instances reset", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		instances, entry := pickSeveral(rng, d.allInstances()), rng.IntN(len(d.entries))
		d.resetEntry(entry, duration)
		for _, inst := range instances {
			inst.linkProxy.reset()
			inst.callProxy.reset()
			time.Sleep(randomDuration(rng, 0, 2*time.Millisecond))
		}
	}},
	{"all connections of several instances dropping all data", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		for _, inst := range pickSeveral(rng, d.allInstances()) {
			inst.linkProxy.blackhole()
			inst.callProxy.blackhole()
		}
	}},
	{"instance replaced", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		const maxInstances = 20
		if len(d.allInstances()) < maxInstances {
			d.replaceInstance(pick(rng, d.allInstances()).agent, duration, randomDuration(rng, 0, 50*time.Millisecond))
		}
	}},
}

// injectUnderLoad injects one kind of fault repeatedly under load, for the time of the
// -span flag, and then checks the guarantees.
func injectUnderLoad(t *testing.T, entries, agents int, f func(d *deployment, rng *rand.Rand)) {
	runParallel(t)
	const seed = 1
	d := newDeployment(t, entries, agents)
	d.awaitReady(seed)
	stop := make(chan struct{})
	callers := d.startLoad(seed, stop, 2*agents, d.proxiedFronts, false)
	rng := rand.New(rand.NewPCG(seed, 0))
	for end := time.Now().Add(*faultTime); time.Now().Before(end); {
		d.logEvent("fault injected")
		f(d, rng)
	}
	time.Sleep(recoveryTime)
	close(stop)
	callers.Wait()
	d.requireGuarantees("%s", t.Name())
}

func TestAnAgentThatRestartsWhileItsWorkerDoesNotAnswerGivesNoRunUp(t *testing.T) {
	cases := []struct {
		name    string
		degrade func(p *proxy)
		restore func(p *proxy)
	}{
		{"calls refused", func(p *proxy) { p.refuseNew.Store(true); p.reset() }, func(p *proxy) { p.refuseNew.Store(false) }},
		{"calls reset", func(p *proxy) { p.resetOnData.Store(true); p.reset() }, func(p *proxy) { p.resetOnData.Store(false) }},
		{"calls unanswered", func(p *proxy) { p.dropOut.Store(true) }, func(p *proxy) { p.dropOut.Store(false); p.reset() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			injectUnderLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
				inst := pick(rng, d.allInstances())
				injectFault(inst.agent, func() {
					d.onNextStart(hasAgent(inst.agent), func() {
						inst.agent.kill()
						c.degrade(inst.callProxy)
					})
				})
				time.Sleep(randomDuration(rng, 50*time.Millisecond, 400*time.Millisecond))
				c.restore(inst.callProxy)
				time.Sleep(randomDuration(rng, 200*time.Millisecond, 500*time.Millisecond))
			})
		})
	}
}

func TestAgentsPausedRightAfterAStartLoseNoRun(t *testing.T) {
	injectUnderLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		duration := randomDuration(rng, 300*time.Millisecond, 1500*time.Millisecond)
		forEachConcurrently(pickSeveral(rng, d.allInstances()), func(inst *instance) { d.pauseAfterStart(inst.agent, hasAgent(inst.agent), duration) })
	})
}

func TestAgentsKilledRightAfterAStartLoseNoRun(t *testing.T) {
	injectUnderLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		forEachConcurrently(pickSeveral(rng, d.allInstances()), func(inst *instance) { d.killAfterStart(inst.agent) })
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 300*time.Millisecond))
	})
}

func TestLinksThatBreakAgainAndAgainGiveNoRunUp(t *testing.T) {
	injectUnderLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		d.resetLinks(0)
		time.Sleep(randomDuration(rng, 5*time.Millisecond, 50*time.Millisecond))
	})
}

func TestReplacedInstancesRunNothingTwice(t *testing.T) {
	cases := []struct {
		name          string
		drain, linger time.Duration
	}{
		{"shuts down as it announces its departure", 1500 * time.Millisecond, 0},
		{"shuts down soon after it announces its departure", 20 * time.Millisecond, 40 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			injectUnderLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
				d.replaceInstance(pick(rng, d.allInstances()).agent, c.drain, c.linger)
			})
		})
	}
}

func TestAJobIsNotRefusedAfterAStartThatTheWorkersRestartLeftUnconfirmed(t *testing.T) {
	// agentPause is longer than the time after which the agent times the entry out, so
	// that the agent cancels the run.
	const agentPause = 600 * time.Millisecond
	injectUnderLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		inst := pick(rng, d.allInstances())
		injectFault(inst.agent, func() {
			if d.onNextStart(hasAgent(inst.agent), func() { inst.agent.signal(syscall.SIGSTOP) }) {
				time.Sleep(agentPause)
				inst.worker.Restart()
			}
			inst.agent.signal(syscall.SIGCONT)
		})
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 300*time.Millisecond))
	})
}
