package soaker

import (
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
	// restartLeast and restartMost bound the pause before a process that has
	// ended is started again.
	restartLeast = 5 * time.Millisecond
	restartMost  = 50 * time.Millisecond
)

// process is one program that the soak started, and starts again when it ends
// unasked.
type process struct {
	name     string
	command  string
	settings string
	log      *os.File
	// ended hears of a process that ended though no signal was sent to end it.
	ended func(name, status string)
	// busy is held by the fault that strikes the process.
	busy sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// wanted is whether the process is to be up.
	wanted bool
	// killed is whether it was killed and is to be started again.
	killed bool
}

// start starts the program, which stays up until end.
func (p *process) start(t testing.TB) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = true
	require.NoError(t, p.launch())
}

// launch runs the program once. The caller holds mu.
func (p *process) launch() error {
	cmd := exec.Command(program, "serve", p.command)
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

// supervise waits for the program's end and starts it again, unless its end
// was planned.
func (p *process) supervise(cmd *exec.Cmd, exited chan struct{}) {
	// The status is that of the state.
	_ = cmd.Wait()
	close(exited)
	p.mu.Lock()
	again, killed := p.wanted && p.cmd == cmd, p.killed
	p.mu.Unlock()
	if !again {
		return
	}
	if !killed {
		p.ended(p.name, cmd.ProcessState.String())
	}
	time.Sleep(restartLeast + time.Duration(rand.Int64N(int64(restartMost-restartLeast))))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted && p.cmd == cmd {
		if err := p.launch(); err != nil {
			p.ended(p.name, err.Error())
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process, which is started again at once.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted {
		p.killed = true
		_ = p.cmd.Process.Kill()
	}
}

// end sends a signal and waits until the process is gone; one that stays
// longer than the grace period is killed. It stays down until start.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.wanted = false
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(s)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// pause stops the process for a while.
func (p *process) pause(span time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(span)
	p.signal(syscall.SIGCONT)
}

// endedByItself notes a process that ended though no signal was sent to end it.
func (w *watcher) endedByItself(name, status string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault("ENDED: %s ended by itself: %s", name, status)
}

// between returns a span between least and most.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// orderedTo lets f strike as soon as the worker of such a site has begun a run and
// before its answer to the start is sent, or gives up after a while.
func (d *deployment) orderedTo(of func(s *site) bool, f func()) bool {
	const patience = time.Second
	struck := make(chan struct{})
	var once sync.Once
	remove := d.onBegan(func(s *site, _ string) {
		if of(s) {
			once.Do(func() {
				f()
				close(struck)
			})
		}
	})
	defer remove()
	select {
	case <-struck:
		return true
	case <-time.After(patience):
		return false
	}
}

// by returns whether a site is that of an agent.
func by(p *process) func(s *site) bool {
	return func(s *site) bool { return s.agent == p }
}

// anywhere is true of all sites.
func anywhere(*site) bool { return true }

// pauseAfterOrder stops a process as the worker of such a site begins a run.
func (d *deployment) pauseAfterOrder(p *process, of func(s *site) bool, span time.Duration) {
	strike(p, func() {
		if d.orderedTo(of, func() { p.signal(syscall.SIGSTOP) }) {
			time.Sleep(span)
		}
		p.signal(syscall.SIGCONT)
	})
}

// killAfterOrder kills an agent as its worker begins a run.
func (d *deployment) killAfterOrder(p *process) {
	strike(p, func() { d.orderedTo(by(p), p.kill) })
}

// several returns about a third of a list, two at least.
func several[T any](rng *rand.Rand, list []T) []T {
	out := slices.Clone(list)
	rng.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(len(out), max(2, len(out)/3))]
}

// together lets f strike each of a list at the same time.
func together[T any](list []T, f func(T)) {
	var wg sync.WaitGroup
	for _, x := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(x)
		}()
	}
	wg.Wait()
}

// resetEntry breaks all connections of an entry.
func (d *deployment) resetEntry(i int, late time.Duration) {
	d.callers[i].resetCallers(late)
	d.resetLinks(i)
}

// resetLinks breaks all links of an entry.
func (d *deployment) resetLinks(i int) {
	for _, s := range d.all() {
		s.links.resetFrom(d.entries[i].name)
	}
}

// replace starts an instance beside the others, lets an old one drain and ends
// it. It leaves between its word that it goes and its end.
func (d *deployment) replace(p *process, drain, leave time.Duration) {
	if !p.busy.TryLock() {
		return
	}
	// An instance that has gone stays busy, so that no fault wakes it.
	sites := d.all()
	old := sites[slices.IndexFunc(sites, by(p))]
	d.addAgent()
	time.Sleep(instanceStart)
	old.worker.SetDraining(true)
	time.Sleep(drain)
	old.worker.SendDelete(d.ctx, old.worker.ID())
	time.Sleep(leave)
	old.leave()
	p.end(syscall.SIGTERM)
}

// instanceStart is the time that an instance has to get to work.
const instanceStart = 500 * time.Millisecond

// wideFaults strike processes and connections, some of them many at once.
var wideFaults = []fault{
	{"calls reset", func(d *deployment, rng *rand.Rand, span time.Duration) {
		p := pick(rng, d.all()).calls
		for end := time.Now().Add(span); time.Now().Before(end); {
			p.reset()
			time.Sleep(between(rng, 5*time.Millisecond, 100*time.Millisecond))
		}
	}},
	{"calls carried out and reset", func(d *deployment, rng *rand.Rand, span time.Duration) {
		p := pick(rng, d.all()).calls
		p.swallow.Store(true)
		time.Sleep(span / 2)
		p.swallow.Store(false)
	}},
	{"calls refused", func(d *deployment, rng *rand.Rand, span time.Duration) {
		p := pick(rng, d.all()).calls
		p.refuse.Store(true)
		p.reset()
		time.Sleep(span)
		p.refuse.Store(false)
	}},
	{"calls silent", func(d *deployment, rng *rand.Rand, span time.Duration) {
		p := pick(rng, d.all()).calls
		p.silence(&p.muteOut, span)
	}},
	{"open connections silent for good", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		s := pick(rng, d.all())
		s.calls.hush()
		s.links.hush()
	}},
	{"callers reset", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		pick(rng, d.callers).resetCallers(0)
	}},
	{"callers reset, entry told late", func(d *deployment, rng *rand.Rand, span time.Duration) {
		pick(rng, d.callers).resetCallers(2 * span)
	}},
	{"entry killed and started again at once", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		p := pick(rng, d.entries)
		strike(p, p.kill)
	}},
	{"agent killed and started again at once", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		p := pick(rng, d.all()).agent
		strike(p, p.kill)
	}},
	{"agent killed as its calls are refused", func(d *deployment, rng *rand.Rand, span time.Duration) {
		s := pick(rng, d.all())
		strike(s.agent, func() {
			s.calls.refuse.Store(true)
			s.calls.reset()
			s.agent.kill()
			time.Sleep(span / 2)
			s.calls.refuse.Store(false)
		})
	}},
	{"agents killed after an order", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		together(several(rng, d.all()), func(s *site) { d.killAfterOrder(s.agent) })
	}},
	{"agents paused after an order", func(d *deployment, rng *rand.Rand, span time.Duration) {
		together(several(rng, d.all()), func(s *site) { d.pauseAfterOrder(s.agent, by(s.agent), span) })
	}},
	{"entry paused after an order", func(d *deployment, rng *rand.Rand, span time.Duration) {
		d.pauseAfterOrder(pick(rng, d.entries), anywhere, span)
	}},
	{"links of an entry reset again and again", func(d *deployment, rng *rand.Rand, span time.Duration) {
		i := rng.IntN(len(d.entries))
		for end := time.Now().Add(span); time.Now().Before(end); {
			d.resetLinks(i)
			time.Sleep(between(rng, 5*time.Millisecond, 50*time.Millisecond))
		}
	}},
	{"all connections of several instances reset", func(d *deployment, rng *rand.Rand, span time.Duration) {
		sites, entry := several(rng, d.all()), rng.IntN(len(d.entries))
		d.resetEntry(entry, span)
		for _, s := range sites {
			s.links.reset()
			s.calls.reset()
			time.Sleep(between(rng, 0, 2*time.Millisecond))
		}
	}},
	{"all connections of several instances silent for good", func(d *deployment, rng *rand.Rand, _ time.Duration) {
		for _, s := range several(rng, d.all()) {
			s.links.hush()
			s.calls.hush()
		}
	}},
	{"instance replaced", func(d *deployment, rng *rand.Rand, span time.Duration) {
		const instancesMost = 20
		if len(d.all()) < instancesMost {
			d.replace(pick(rng, d.all()).agent, span, between(rng, 0, 50*time.Millisecond))
		}
	}},
}

// underLoad plays one kind of fault for a while, under load.
func underLoad(t *testing.T, entries, agents int, f func(d *deployment, rng *rand.Rand)) {
	runBeside(t)
	const seed = 1
	d := newDeployment(t, entries, agents)
	d.awaitReady(seed)
	stop := make(chan struct{})
	callers := d.load(seed, stop, 2*agents, d.balanced, false)
	rng := rand.New(rand.NewPCG(seed, 0))
	for end := time.Now().Add(*span); time.Now().Before(end); {
		d.struck("strikes")
		f(d, rng)
	}
	time.Sleep(settle)
	close(stop)
	callers.Wait()
	d.judge("%s", t.Name())
}

func TestAnAgentThatRestartsWithoutItsWorkersAnswerGivesNoRunUp(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(p *proxy)
		heal  func(p *proxy)
	}{
		{"calls refused", func(p *proxy) { p.refuse.Store(true); p.reset() }, func(p *proxy) { p.refuse.Store(false) }},
		{"calls reset", func(p *proxy) { p.swallow.Store(true); p.reset() }, func(p *proxy) { p.swallow.Store(false) }},
		{"calls silent", func(p *proxy) { p.muteOut.Store(true) }, func(p *proxy) { p.muteOut.Store(false); p.reset() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			underLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
				s := pick(rng, d.all())
				strike(s.agent, func() {
					d.orderedTo(by(s.agent), func() {
						s.agent.kill()
						c.spoil(s.calls)
					})
				})
				time.Sleep(between(rng, 50*time.Millisecond, 400*time.Millisecond))
				c.heal(s.calls)
				time.Sleep(between(rng, 200*time.Millisecond, 500*time.Millisecond))
			})
		})
	}
}

func TestAgentsPausedRightAfterAnOrderLoseNoRun(t *testing.T) {
	underLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		span := between(rng, 300*time.Millisecond, 1500*time.Millisecond)
		together(several(rng, d.all()), func(s *site) { d.pauseAfterOrder(s.agent, by(s.agent), span) })
	})
}

func TestAgentsKilledRightAfterAnOrderLoseNoRun(t *testing.T) {
	underLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		together(several(rng, d.all()), func(s *site) { d.killAfterOrder(s.agent) })
		time.Sleep(between(rng, 50*time.Millisecond, 300*time.Millisecond))
	})
}

func TestLinksThatBreakAgainAndAgainGiveNoRunUp(t *testing.T) {
	underLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		d.resetLinks(0)
		time.Sleep(between(rng, 5*time.Millisecond, 50*time.Millisecond))
	})
}

func TestReplacedInstancesRunNothingTwice(t *testing.T) {
	cases := []struct {
		name         string
		drain, leave time.Duration
	}{
		{"ends as it says so", 1500 * time.Millisecond, 0},
		{"ends soon after it says so", 20 * time.Millisecond, 40 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			underLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
				d.replace(pick(rng, d.all()).agent, c.drain, c.leave)
			})
		})
	}
}

func TestAJobIsNotRefusedAfterAStartThatTheWorkersRestartLeftInDoubt(t *testing.T) {
	// frozen is longer than an entry may be silent, so that the agent drops the run.
	const frozen = 600 * time.Millisecond
	underLoad(t, 2, 4, func(d *deployment, rng *rand.Rand) {
		s := pick(rng, d.all())
		strike(s.agent, func() {
			if d.orderedTo(by(s.agent), func() { s.agent.signal(syscall.SIGSTOP) }) {
				time.Sleep(frozen)
				s.worker.Restart()
			}
			s.agent.signal(syscall.SIGCONT)
		})
		time.Sleep(between(rng, 50*time.Millisecond, 300*time.Millisecond))
	})
}
