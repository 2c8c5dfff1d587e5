package receiver

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/provider"
)

const (
	// messageDelay is the latency of a message.
	messageDelay = time.Millisecond
	// longestPause is the longest pause of an entry that the check of answer times allows.
	longestPause = 9 * time.Second
	// idleCheckInterval is the interval between checks for idle connections.
	idleCheckInterval = 100 * time.Millisecond
)

// tester is the part of testing.T that a simulation uses; rapid.T implements it too.
type tester interface {
	require.TestingT
	Helper()
}

// simulation is a deployment of real cores and ledgers with simulated connections and a
// fake clock. It runs one event at a time in a repeatable order, and records every
// violation of a guarantee.
type simulation struct {
	t        tester
	clock    *clockwork.FakeClock
	rng      *rand.Rand
	deps     provider.Deps
	events   eventQueue
	sequence int

	entries []*simEntry
	agents  []*simAgent
	conns   []*simConn
	store   *simStore
	// blocked holds the pairs of processes, as sender and receiver, between which
	// messages are lost and no connection can be opened.
	blocked map[[2]string]bool
	// onStep is called at every step of a request: the type of a message that is sent,
	// "accept" or "run".
	onStep func(step string, from, to *process)

	starts     map[courier.TaskID]int
	startLog   []startEvent
	callers    []*caller
	violations []string
}

// startEvent is a start of a task on an upstream.
type startEvent struct {
	at    time.Time
	task  courier.TaskID
	agent *simAgent
}

func newSimulation(t tester, seed uint64, entries, agents, slots int) *simulation {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	deps := provider.NewDeps(io.Discard).WithClock(clock)
	sim := &simulation{
		t:       t,
		clock:   clock,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		deps:    deps,
		blocked: make(map[[2]string]bool),
		onStep:  func(string, *process, *process) {},
		starts:  make(map[courier.TaskID]int),
	}
	sim.store = newSimStore(sim)
	for range entries {
		sim.addEntry(fmt.Sprintf("entry-%d", len(sim.entries)+1))
	}
	for i := range agents {
		sim.addAgent(fmt.Sprintf("agent-%d", i+1), 0, []string{"wien", "graz", "linz"}[i%3], slots)
	}
	sim.every(&process{name: "connections"}, idleCheckInterval, sim.closeIdle)
	sim.run(3 * time.Second)
	return sim
}

func simBundle() approver.Bundle {
	return approver.Bundle{
		Version: 1,
		Author:  "author",
		Services: []approver.Service{{
			Name: "quote", TaskLimit: 1100, DeadlineLimitMillis: 60_000, ExpectedRunMillis: 300,
		}},
		DataCentres: []approver.DataCentre{
			{Name: "wien", State: approver.In},
			{Name: "graz", State: approver.In},
			{Name: "linz", State: approver.In},
		},
		Teams:  []approver.Team{{Name: "team", TaskLimit: 100_000}},
		Limits: approver.Limits{WaitingTaskLimit: 100_000, EjectPercent: 30, RetryPercent: 10},
	}
}

func (sim *simulation) violation(format string, args ...any) {
	at := sim.clock.Since(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// event is a function to run at a time. Events at the same time run in the order in which
// they were scheduled.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].sequence < q[b].sequence
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.clock.Now().Add(d), sequence: sim.sequence, run: run})
}

// run runs the simulation for the duration d.
func (sim *simulation) run(d time.Duration) {
	end := sim.clock.Now().Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.clock.Advance(e.at.Sub(sim.clock.Now()))
		e.run()
	}
	sim.clock.Advance(end.Sub(sim.clock.Now()))
}

// process is one simulated process. While it is paused, its incoming events wait in inbox.
type process struct {
	name   string
	paused bool
	dead   bool
	inbox  []func()
}

func (p *process) exec(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

func (sim *simulation) pause(p *process, d time.Duration) {
	p.paused = true
	sim.after(d, func() { sim.resume(p) })
}

func (sim *simulation) resume(p *process) {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, f := range inbox {
		p.exec(f)
	}
}

// every runs f in p at the interval d, until p dies. Runs that fall into a pause are
// skipped.
func (sim *simulation) every(p *process, d time.Duration, f func()) {
	var next func()
	next = func() {
		if p.dead {
			return
		}
		if !p.paused {
			f()
		}
		sim.after(d, next)
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(d))), next)
}

func (sim *simulation) kill(p *process) {
	p.dead = true
	p.inbox = nil
	for _, x := range sim.conns {
		for _, e := range []*simConnEnd{x.a, x.b} {
			if e.owner == p && !e.closed {
				e.closed = true
				sim.closeFar(e)
			}
		}
	}
}

// simConn is a connection between two processes.
type simConn struct {
	a, b *simConnEnd
}

// simConnEnd is one end of a connection. It implements link.
type simConnEnd struct {
	sim            *simulation
	owner          *process
	far            *simConnEnd
	closed         bool
	lastReceivedAt time.Time
	lastSent       time.Time
	// dropSent drops all messages that this end sends.
	dropSent bool
	// sendDelay delays all messages that this end sends.
	sendDelay time.Duration
	// duplicateSent delivers all messages that this end sends twice.
	duplicateSent bool
	receive       func(msg any)
	onClose       func()
}

// dial opens a connection from p to far. It returns nil ends if far is dead or blocked.
func (sim *simulation) dial(p, far *process) (near, other *simConnEnd) {
	if far.dead || sim.isBlocked(p, far) || sim.isBlocked(far, p) {
		return nil, nil
	}
	near = &simConnEnd{sim: sim, owner: p, lastReceivedAt: sim.clock.Now()}
	other = &simConnEnd{sim: sim, owner: far, far: near, lastReceivedAt: sim.clock.Now()}
	near.far = other
	sim.conns = append(sim.conns, &simConn{a: near, b: other})
	return near, other
}

func (sim *simulation) isBlocked(from, to *process) bool {
	return sim.blocked[[2]string{from.name, to.name}]
}

// Send implements link.
func (e *simConnEnd) Send(msg any) {
	sim := e.sim
	if e.closed || e.owner.dead {
		return
	}
	sim.onStep(reflect.TypeOf(msg).Name(), e.owner, e.far.owner)
	if e.closed || e.owner.dead {
		return
	}
	e.deliver(msg)
	if e.duplicateSent {
		e.deliver(msg)
	}
}

func (e *simConnEnd) deliver(msg any) {
	sim := e.sim
	at := sim.clock.Now().Add(messageDelay + e.sendDelay)
	if at.Before(e.lastSent) {
		at = e.lastSent
	}
	e.lastSent = at
	if e.dropSent || sim.isBlocked(e.owner, e.far.owner) {
		return
	}
	ptr := reflect.New(reflect.TypeOf(msg))
	ptr.Elem().Set(reflect.ValueOf(msg))
	sim.after(at.Sub(sim.clock.Now()), func() {
		e.far.owner.exec(func() {
			if e.far.closed {
				return
			}
			e.far.lastReceivedAt = sim.clock.Now()
			e.far.receive(ptr.Interface())
		})
	})
}

// Close implements link.
func (e *simConnEnd) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.sim.closeFar(e)
	if e.onClose != nil {
		e.onClose()
	}
}

// closeFar closes the far end, unless messages to it are lost.
func (sim *simulation) closeFar(e *simConnEnd) {
	if e.dropSent || sim.isBlocked(e.owner, e.far.owner) {
		return
	}
	sim.after(messageDelay+e.sendDelay, func() { e.far.owner.exec(e.far.Close) })
}

// closeIdle closes the ends on which no message has arrived within courier.IdleTimeout.
func (sim *simulation) closeIdle() {
	now := sim.clock.Now()
	live := sim.conns[:0]
	for _, x := range sim.conns {
		for _, e := range []*simConnEnd{x.a, x.b} {
			if !e.closed && !e.owner.paused && !e.owner.dead && now.Sub(e.lastReceivedAt) > courier.IdleTimeout {
				e.Close()
			}
		}
		if !x.a.closed || !x.b.closed {
			live = append(live, x)
		}
	}
	sim.conns = live
}

// payload returns the payload of a task that runs for the given time.
func payload(millis int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"Millis":%d}`, millis))
}

// check fails the test if a guarantee was violated or a caller has no answer.
func (sim *simulation) check() {
	sim.t.Helper()
	for _, c := range sim.callers {
		c.check()
	}
	require.Empty(sim.t, sim.violations)
}
