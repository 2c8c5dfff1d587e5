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
	// wireDelay is the time that a message travels.
	wireDelay = time.Millisecond
	// longestPause is the longest time that a test pauses a process.
	longestPause = 9 * time.Second
	// silenceCheck is the time between two looks for silent wires.
	silenceCheck = 100 * time.Millisecond
)

// tester is what a world needs of a test; rapid's tests have it too.
type tester interface {
	require.TestingT
	Helper()
}

// world is a deployment of real cores and ledgers on fake wires, with a fake
// clock. It runs one event at a time in a repeatable order, and notes every
// breach of a promise.
type world struct {
	t        tester
	clock    *clockwork.FakeClock
	rng      *rand.Rand
	deps     provider.Deps
	events   eventQueue
	sequence int

	entries []*simEntry
	agents  []*simAgent
	wires   []*wire
	store   *simStore
	// blocked holds the pairs of processes between which nothing gets
	// through and no wire can be opened, in this direction.
	blocked map[[2]string]bool
	// reach is called with every step of a request: the type of a message
	// sent, or "accept" or "run".
	reach func(step string, from, to *process)

	starts   map[courier.TaskID]int
	startLog []startEvent
	callers  []*caller
	breaches []string
}

// startEvent is one start of a task on an upstream.
type startEvent struct {
	at    time.Time
	task  courier.TaskID
	agent *simAgent
}

func newWorld(t tester, seed uint64, entries, agents, slots int) *world {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	deps := provider.NewDeps(io.Discard).WithClock(clock)
	w := &world{
		t:       t,
		clock:   clock,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		deps:    deps,
		blocked: make(map[[2]string]bool),
		reach:   func(string, *process, *process) {},
		starts:  make(map[courier.TaskID]int),
	}
	w.store = newSimStore(w)
	for range entries {
		w.addEntry(fmt.Sprintf("entry-%d", len(w.entries)+1))
	}
	for i := range agents {
		w.addAgent(fmt.Sprintf("agent-%d", i+1), 0, []string{"wien", "graz", "linz"}[i%3], slots)
	}
	w.every(&process{name: "wires"}, silenceCheck, w.closeSilent)
	w.run(3 * time.Second)
	return w
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

func (w *world) breach(format string, args ...any) {
	at := w.clock.Since(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	w.breaches = append(w.breaches, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// event is something that happens at a time.
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

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.clock.Now().Add(d), sequence: w.sequence, run: run})
}

// run lets the world go on for a span of time.
func (w *world) run(d time.Duration) {
	end := w.clock.Now().Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.clock.Advance(e.at.Sub(w.clock.Now()))
		e.run()
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
}

// process is one simulated process. While it is paused, what arrives waits.
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

func (w *world) pause(p *process, d time.Duration) {
	p.paused = true
	w.after(d, func() { w.wake(p) })
}

func (w *world) wake(p *process) {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, f := range inbox {
		p.exec(f)
	}
}

// every runs f in p again and again. Runs that a pause held up are not made
// up for.
func (w *world) every(p *process, d time.Duration, f func()) {
	var next func()
	next = func() {
		if p.dead {
			return
		}
		if !p.paused {
			f()
		}
		w.after(d, next)
	}
	w.after(time.Duration(w.rng.Int64N(int64(d))), next)
}

func (w *world) kill(p *process) {
	p.dead = true
	p.inbox = nil
	for _, x := range w.wires {
		for _, e := range []*wireEnd{x.a, x.b} {
			if e.owner == p && !e.closed {
				e.closed = true
				w.hangUp(e)
			}
		}
	}
}

// wire is a connection between two processes.
type wire struct {
	a, b *wireEnd
}

// wireEnd is one end of a wire. It implements the link of a core.
type wireEnd struct {
	world    *world
	owner    *process
	far      *wireEnd
	closed   bool
	heard    time.Time
	lastSent time.Time
	// silent drops everything that this end sends.
	silent bool
	// late delays everything that this end sends.
	late time.Duration
	// double delivers everything that this end sends twice.
	double  bool
	receive func(msg any)
	onClose func()
}

// dial opens a wire from p to far, unless something is in the way.
func (w *world) dial(p, far *process) (near, other *wireEnd) {
	if far.dead || w.isBlocked(p, far) || w.isBlocked(far, p) {
		return nil, nil
	}
	near = &wireEnd{world: w, owner: p, heard: w.clock.Now()}
	other = &wireEnd{world: w, owner: far, far: near, heard: w.clock.Now()}
	near.far = other
	w.wires = append(w.wires, &wire{a: near, b: other})
	return near, other
}

func (w *world) isBlocked(from, to *process) bool { return w.blocked[[2]string{from.name, to.name}] }

// Send implements link.
func (e *wireEnd) Send(msg any) {
	w := e.world
	if e.closed || e.owner.dead {
		return
	}
	w.reach(reflect.TypeOf(msg).Name(), e.owner, e.far.owner)
	if e.closed || e.owner.dead {
		return
	}
	e.deliver(msg)
	if e.double {
		e.deliver(msg)
	}
}

func (e *wireEnd) deliver(msg any) {
	w := e.world
	at := w.clock.Now().Add(wireDelay + e.late)
	if at.Before(e.lastSent) {
		at = e.lastSent
	}
	e.lastSent = at
	if e.silent || w.isBlocked(e.owner, e.far.owner) {
		return
	}
	ptr := reflect.New(reflect.TypeOf(msg))
	ptr.Elem().Set(reflect.ValueOf(msg))
	w.after(at.Sub(w.clock.Now()), func() {
		e.far.owner.exec(func() {
			if e.far.closed {
				return
			}
			e.far.heard = w.clock.Now()
			e.far.receive(ptr.Interface())
		})
	})
}

// Close implements link.
func (e *wireEnd) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.world.hangUp(e)
	if e.onClose != nil {
		e.onClose()
	}
}

// hangUp tells the far end, unless that message gets lost too.
func (w *world) hangUp(e *wireEnd) {
	if e.silent || w.isBlocked(e.owner, e.far.owner) {
		return
	}
	w.after(wireDelay+e.late, func() { e.far.owner.exec(e.far.Close) })
}

// closeSilent closes the ends on which nothing arrived for too long.
func (w *world) closeSilent() {
	now := w.clock.Now()
	live := w.wires[:0]
	for _, x := range w.wires {
		for _, e := range []*wireEnd{x.a, x.b} {
			if !e.closed && !e.owner.paused && !e.owner.dead && now.Sub(e.heard) > courier.SilenceLimit {
				e.Close()
			}
		}
		if !x.a.closed || !x.b.closed {
			live = append(live, x)
		}
	}
	w.wires = live
}

// payload returns the payload of a task that runs for a time.
func payload(millis int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"Millis":%d}`, millis))
}

// check fails the test when a promise was broken or a caller has no answer.
func (w *world) check() {
	w.t.Helper()
	for _, c := range w.callers {
		c.check()
	}
	require.Empty(w.t, w.breaches)
}
