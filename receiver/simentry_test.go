package receiver

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/confirmer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
)

// simStore is the platform's store. A down store answers nobody; a cut one
// does not answer some processes.
type simStore struct {
	world  *world
	bundle approver.Bundle
	signed approver.Signed
	voters confirmer.Voters
	list   map[string]Registration
	down   bool
	cut    map[string]bool
	// acceptedAt is when each version was accepted.
	acceptedAt map[uint64]time.Time
}

func newSimStore(w *world) *simStore {
	s := &simStore{
		world:      w,
		list:       make(map[string]Registration),
		cut:        make(map[string]bool),
		acceptedAt: make(map[uint64]time.Time),
	}
	s.write(simBundle())
	return s
}

func (s *simStore) reachable(p *process) bool { return !s.down && !s.cut[p.name] }

func (s *simStore) registrations() []Registration {
	var out []Registration
	for _, reg := range s.list {
		out = append(out, reg)
	}
	return out
}

// noteAccepted notes when the bundle becomes accepted.
func (s *simStore) noteAccepted() {
	v := s.bundle.Version
	now := s.world.clock.Now()
	if _, ok := s.acceptedAt[v]; !ok && Accepted(v, s.voters, s.registrations(), now) {
		s.acceptedAt[v] = now
	}
}

// simEntry is an entry: a real core, with wires in place of links.
type simEntry struct {
	world *world
	proc  *process
	core  *core
	peers map[string]*simPeer
	first bool
}

// simPeer is the wire that an entry keeps to another.
type simPeer struct {
	target  *simEntry
	end     *wireEnd
	id      string
	pending map[uint64]func(courier.Answer, bool)
	lastID  uint64
}

func (w *world) addEntry(id string) *simEntry {
	e := &simEntry{
		world: w,
		proc:  &process{name: id},
		peers: make(map[string]*simPeer),
		first: true,
	}
	_, trust := newSimKey()
	cfg := Config{ID: id, DataCentre: "wien", Seed: uint64(len(w.entries)), Trust: trust}
	e.core = newCore(w.deps, cfg, courier.EntryInfo{ID: id, Link: id + "@" + w.clock.Now().String()}, e.learn)
	w.entries = append(w.entries, e)
	w.every(e.proc, TickInterval, func() { e.core.handle(tick{}) })
	w.every(e.proc, 100*time.Millisecond, e.dialPeers)
	w.every(e.proc, 500*time.Millisecond, e.beat)
	w.every(e.proc, followInterval, e.follow)
	w.every(e.proc, registerInterval, e.register)
	return e
}

func (e *simEntry) learn(list []courier.EntryInfo) {
	for _, info := range list {
		if e.peers[info.Link] != nil {
			continue
		}
		for _, other := range e.world.entries {
			if other.core.info == info {
				e.peers[info.Link] = &simPeer{target: other, pending: make(map[uint64]func(courier.Answer, bool))}
			}
		}
	}
}

func (e *simEntry) dialPeers() {
	for _, p := range e.sortedPeers() {
		if p.end == nil {
			e.dialPeer(p)
		}
	}
}

func (e *simEntry) sortedPeers() []*simPeer {
	var out []*simPeer
	for _, other := range e.world.entries {
		if p := e.peers[other.core.info.Link]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

func (e *simEntry) dialPeer(p *simPeer) {
	near, far := e.world.dial(e.proc, p.target.proc)
	if near == nil {
		return
	}
	p.end = near
	near.receive = func(msg any) { e.receivePeer(p, msg) }
	near.onClose = func() {
		p.end = nil
		pending := p.pending
		p.pending = make(map[uint64]func(courier.Answer, bool))
		for _, id := range slices.Sorted(maps.Keys(pending)) {
			pending[id](courier.Answer{}, false)
		}
	}
	p.target.accept(far)
	near.Send(e.core.hello(p.id))
}

// accept serves the far end of a wire.
func (e *simEntry) accept(end *wireEnd) {
	end.receive = func(msg any) { e.core.handle(linkMessage{link: end, msg: msg}) }
	end.onClose = func() { e.core.handle(linkClosed{link: end}) }
}

func (e *simEntry) receivePeer(p *simPeer, msg any) {
	switch m := msg.(type) {
	case *courier.PeerHello:
		p.id = m.Entry.ID
		e.core.handle(peerHeard{hello: *m})
	case *courier.RelayReply:
		if f := p.pending[m.ID]; f != nil {
			delete(p.pending, m.ID)
			f(m.Answer, true)
		}
	}
}

func (e *simEntry) beat() {
	for _, p := range e.sortedPeers() {
		if p.end != nil {
			p.end.Send(e.core.hello(p.id))
		}
	}
}

func (e *simEntry) follow() {
	s := e.world.store
	if !s.reachable(e.proc) {
		return
	}
	e.core.handle(bundleRead{signed: s.signed, bundle: s.bundle, voters: s.voters, at: e.world.clock.Now()})
	if !e.first {
		s.list[e.proc.name] = e.core.registration()
		s.noteAccepted()
	}
}

func (e *simEntry) register() {
	s := e.world.store
	if !s.reachable(e.proc) {
		return
	}
	now := e.world.clock.Now()
	msg := entriesRead{first: e.first && noneRan(s.registrations(), now)}
	e.first = false
	for _, other := range e.world.entries {
		if reg, ok := s.list[other.proc.name]; ok && reg.Recent(now, removeAfter) {
			msg.entries = append(msg.entries, reg.Entry)
		}
	}
	e.core.handle(msg)
	s.list[e.proc.name] = e.core.registration()
	s.voters, _ = nextVoters(s.voters, s.registrations(), e.proc.name, now)
	s.noteAccepted()
}

// route is the event-driven twin of Receiver.route: it brings s to its owner
// and calls answer once.
func (e *simEntry) route(s courier.Submission, answer func(courier.Answer)) {
	admitted, over := false, false
	finish := func(a courier.Answer) {
		if !over {
			over = true
			answer(a)
		}
	}
	var again func()
	later := func(a courier.Answer, sent bool) {
		admitted = admitted || a.Admitted || sent
		e.world.after(routePause, func() { e.proc.exec(again) })
	}
	again = func() {
		if over {
			return
		}
		e.routeOnce(s, admitted, finish, later)
	}
	e.world.after(s.Deadline.Add(answerGrace).Sub(e.world.clock.Now()), func() {
		e.proc.exec(func() { finish(unanswered(e.proc.name, s, admitted)) })
	})
	again()
}

func (e *simEntry) routeOnce(s courier.Submission, resent bool, finish func(courier.Answer), later func(courier.Answer, bool)) {
	e.core.handle(submit{
		request: newRequest(s, resent, 0),
		opened:  func(dispatcher.Waiter) {},
		answer: func(a courier.Answer) {
			switch {
			case a.State != courier.Moved:
				finish(a)
			case a.Admitted:
				later(a, false)
			default:
				e.relay(a.Owner, s, resent, finish, later)
			}
		},
	})
}

func (e *simEntry) relay(owner string, s courier.Submission, resent bool, finish func(courier.Answer), later func(courier.Answer, bool)) {
	for _, p := range e.sortedPeers() {
		if p.id != owner || p.end == nil {
			continue
		}
		p.lastID++
		p.pending[p.lastID] = func(a courier.Answer, ok bool) {
			if ok && a.State != courier.Moved {
				finish(a)
				return
			}
			later(a, !ok)
		}
		p.end.Send(courier.Relay{ID: p.lastID, Submission: s, Resent: resent})
		return
	}
	later(courier.Answer{}, false)
}

// caller is a client that submits one job, and again when it breaks.
type caller struct {
	world *world
	sub   courier.Submission
	// answers holds every answer to this caller, in order.
	answers []callerAnswer
	open    bool
	entry   int
}

// callerAnswer is the answer to one attempt.
type callerAnswer struct {
	courier.Answer
	attempt int
	at      time.Time
}

// submit sends a job of n tasks through an entry.
func (w *world) submit(key string, entry, n, millis int, deadline time.Duration) *caller {
	c := &caller{world: w, entry: entry, sub: courier.Submission{
		Team: "team", Key: key, Service: "quote", Attempt: 1,
		Deadline: w.clock.Now().Add(deadline), Detached: true,
	}}
	for range n {
		c.sub.Tasks = append(c.sub.Tasks, courier.Task{Payload: payload(millis)})
	}
	w.callers = append(w.callers, c)
	c.send()
	return c
}

// send makes one attempt; when the entry dies, another follows.
func (c *caller) send() {
	w := c.world
	if c.open || !c.sub.Deadline.After(w.clock.Now()) {
		return
	}
	e := w.entries[c.entry%len(w.entries)]
	if e.proc.dead {
		c.entry++
		w.after(100*time.Millisecond, c.send)
		return
	}
	c.open = true
	attempt := c.sub
	e.proc.exec(func() {
		w.reach("accept", e.proc, e.proc)
		e.route(attempt, func(a courier.Answer) {
			if e.proc.dead {
				return
			}
			c.open = c.open && c.sub.Attempt != attempt.Attempt
			c.answers = append(c.answers, callerAnswer{Answer: a, attempt: attempt.Attempt, at: w.clock.Now()})
		})
	})
	c.watch(e, attempt.Attempt)
}

// watch sends again when the entry dies before it answers.
func (c *caller) watch(e *simEntry, attempt int) {
	c.world.after(100*time.Millisecond, func() {
		if !c.open || c.sub.Attempt != attempt {
			return
		}
		if e.proc.dead {
			c.resubmit()
			return
		}
		c.watch(e, attempt)
	})
}

// resubmit sends the next attempt through the next entry.
func (c *caller) resubmit() {
	c.open = false
	c.sub.Attempt++
	c.entry++
	c.send()
}

func (c *caller) last() courier.Answer {
	require.NotEmpty(c.world.t, c.answers, "%s has no answer", c.sub.Job())
	return c.answers[len(c.answers)-1].Answer
}

// check notes breaches of what a caller is promised.
func (c *caller) check() {
	w := c.world
	if len(c.answers) == 0 {
		w.breach("%s: no answer", c.sub.Job())
		return
	}
	seen := make(map[int]bool)
	for _, a := range c.answers {
		limit := c.sub.Deadline.Add(answerGrace + longestPause)
		if a.at.After(limit) {
			w.breach("%s: answered after the deadline", c.sub.Job())
		}
		if seen[a.attempt] {
			w.breach("%s: attempt %d answered twice", c.sub.Job(), a.attempt)
		}
		seen[a.attempt] = true
		c.checkAnswer(a)
	}
}

func (c *caller) checkAnswer(a callerAnswer) {
	w := c.world
	switch a.State {
	case courier.Complete:
		for i := range c.sub.Tasks {
			id := courier.TaskID{Job: c.sub.Job(), Index: i}
			if i >= len(a.Results) || string(a.Results[i]) != resultOf(id) {
				w.breach("%v: wrong result", id)
				return
			}
		}
	case courier.NotRun:
		if a.attempt == c.sub.Attempt && w.startsOf(c.sub.Job()) > 0 {
			w.breach("%s: attempt %d answered NotRun (%s) and ran", c.sub.Job(), a.attempt, a.Reason)
		}
	case courier.Failed:
		for id := range w.starts {
			if id.Job == c.sub.Job() && a.attempt == c.sub.Attempt && !slices.Contains(a.MayHaveRun, id.Index) {
				w.breach("%v: started and not named in the failed answer %s", id, a.Reason)
			}
		}
		if len(a.Results) > 0 {
			w.breach("%s: a failed answer with results", c.sub.Job())
		}
	default:
		w.breach("%s: answer %s", c.sub.Job(), a.State)
	}
}

func (w *world) startsOf(job string) int {
	n := 0
	for id, k := range w.starts {
		if id.Job == job {
			n += k
		}
	}
	return n
}
