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
	world           *simulation
	bundle          approver.Bundle
	signed          approver.Signed
	voters          confirmer.Voters
	list            map[string]Registration
	down            bool
	unreachableFrom map[string]bool
	// acceptedAt is when each version was accepted.
	acceptedAt map[uint64]time.Time
}

func newSimStore(w *simulation) *simStore {
	s := &simStore{
		world:           w,
		list:            make(map[string]Registration),
		unreachableFrom: make(map[string]bool),
		acceptedAt:      make(map[uint64]time.Time),
	}
	s.writeBundle(simBundle())
	return s
}

func (s *simStore) reachable(p *process) bool { return !s.down && !s.unreachableFrom[p.name] }

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
	if _, ok := s.acceptedAt[v]; !ok && BundleAccepted(v, s.voters, s.registrations(), now) {
		s.acceptedAt[v] = now
	}
}

// simEntry is an entry: a real core, with wires in place of links.
type simEntry struct {
	world           *simulation
	proc            *process
	core            *core
	peers           map[string]*simPeer
	beforeFirstRead bool
}

// simPeer is the wire that an entry keeps to another.
type simPeer struct {
	target  *simEntry
	end     *simConnEnd
	id      string
	pending map[uint64]func(courier.Answer, bool)
	lastID  uint64
}

func (w *simulation) addEntry(id string) *simEntry {
	e := &simEntry{
		world:           w,
		proc:            &process{name: id},
		peers:           make(map[string]*simPeer),
		beforeFirstRead: true,
	}
	_, trust := newSimKey()
	cfg := Config{ID: id, DataCentre: "wien", Seed: uint64(len(w.entries)), Trust: trust}
	e.core = newCore(w.deps, cfg, courier.EntryInfo{ID: id, Link: id + "@" + w.clock.Now().String()}, e.learn)
	w.entries = append(w.entries, e)
	w.every(e.proc, TickInterval, func() { e.core.handle(tick{}) })
	w.every(e.proc, 100*time.Millisecond, e.dialPeers)
	w.every(e.proc, 500*time.Millisecond, e.sendHeartbeats)
	w.every(e.proc, bundlePollInterval, e.pollBundle)
	w.every(e.proc, registerInterval, e.pollRegistrations)
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
	near.Send(e.core.peerHello(p.id))
}

// accept serves the far end of a wire.
func (e *simEntry) accept(end *simConnEnd) {
	end.receive = func(msg any) { e.core.handle(linkMessage{link: end, msg: msg}) }
	end.onClose = func() { e.core.handle(linkClosed{link: end}) }
}

func (e *simEntry) receivePeer(p *simPeer, msg any) {
	switch m := msg.(type) {
	case *courier.PeerHello:
		p.id = m.Entry.ID
		e.core.handle(peerHeartbeat{hello: *m})
	case *courier.RelayReply:
		if f := p.pending[m.ID]; f != nil {
			delete(p.pending, m.ID)
			f(m.Answer, true)
		}
	}
}

func (e *simEntry) sendHeartbeats() {
	for _, p := range e.sortedPeers() {
		if p.end != nil {
			p.end.Send(e.core.peerHello(p.id))
		}
	}
}

func (e *simEntry) pollBundle() {
	s := e.world.store
	if !s.reachable(e.proc) {
		return
	}
	e.core.handle(bundleRead{signed: s.signed, bundle: s.bundle, voters: s.voters, at: e.world.clock.Now()})
	if !e.beforeFirstRead {
		s.list[e.proc.name] = e.core.registration()
		s.noteAccepted()
	}
}

func (e *simEntry) pollRegistrations() {
	s := e.world.store
	if !s.reachable(e.proc) {
		return
	}
	now := e.world.clock.Now()
	msg := entriesRead{noEarlierEntries: e.beforeFirstRead && noRecentRun(s.registrations(), now)}
	e.beforeFirstRead = false
	for _, other := range e.world.entries {
		if reg, ok := s.list[other.proc.name]; ok && reg.WroteWithin(now, registrationTTL) {
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
		e.world.after(routeRetryDelay, func() { e.proc.exec(again) })
	}
	again = func() {
		if over {
			return
		}
		e.routeOnce(s, admitted, finish, later)
	}
	e.world.after(s.Deadline.Add(ownerAnswerGrace).Sub(e.world.clock.Now()), func() {
		e.proc.exec(func() { finish(noOwnerAnswer(e.proc.name, s, admitted)) })
	})
	again()
}

func (e *simEntry) routeOnce(s courier.Submission, resent bool, finish func(courier.Answer), later func(courier.Answer, bool)) {
	e.core.handle(submitRequest{
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
	world *simulation
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
func (w *simulation) submit(key string, entry, n, millis int, deadline time.Duration) *caller {
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
		w.onStep("accept", e.proc, e.proc)
		e.route(attempt, func(a courier.Answer) {
			if e.proc.dead {
				return
			}
			c.open = c.open && c.sub.Attempt != attempt.Attempt
			c.answers = append(c.answers, callerAnswer{Answer: a, attempt: attempt.Attempt, at: w.clock.Now()})
		})
	})
	c.resubmitOnCrash(e, attempt.Attempt)
}

// resubmitOnCrash sends again when the entry dies before it answers.
func (c *caller) resubmitOnCrash(e *simEntry, attempt int) {
	c.world.after(100*time.Millisecond, func() {
		if !c.open || c.sub.Attempt != attempt {
			return
		}
		if e.proc.dead {
			c.resubmit()
			return
		}
		c.resubmitOnCrash(e, attempt)
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
	require.NotEmpty(c.world.t, c.answers, "%s has no answer", c.sub.JobID())
	return c.answers[len(c.answers)-1].Answer
}

// check notes breaches of what a caller is promised.
func (c *caller) check() {
	w := c.world
	if len(c.answers) == 0 {
		w.violation("%s: no answer", c.sub.JobID())
		return
	}
	seen := make(map[int]bool)
	for _, a := range c.answers {
		limit := c.sub.Deadline.Add(ownerAnswerGrace + longestPause)
		if a.at.After(limit) {
			w.violation("%s: answered after the deadline", c.sub.JobID())
		}
		if seen[a.attempt] {
			w.violation("%s: attempt %d answered twice", c.sub.JobID(), a.attempt)
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
			id := courier.TaskID{Job: c.sub.JobID(), Index: i}
			if i >= len(a.Results) || string(a.Results[i]) != resultOf(id) {
				w.violation("%v: wrong result", id)
				return
			}
		}
	case courier.NotRun:
		if a.attempt == c.sub.Attempt && w.startsOf(c.sub.JobID()) > 0 {
			w.violation("%s: attempt %d answered NotRun (%s) and ran", c.sub.JobID(), a.attempt, a.Reason)
		}
	case courier.Failed:
		for id := range w.starts {
			if id.Job == c.sub.JobID() && a.attempt == c.sub.Attempt && !slices.Contains(a.MayHaveRun, id.Index) {
				w.violation("%v: started and not named in the failed answer %s", id, a.Reason)
			}
		}
		if len(a.Results) > 0 {
			w.violation("%s: a failed answer with results", c.sub.JobID())
		}
	default:
		w.violation("%s: answer %s", c.sub.JobID(), a.State)
	}
}

func (w *simulation) startsOf(job string) int {
	n := 0
	for id, k := range w.starts {
		if id.Job == job {
			n += k
		}
	}
	return n
}
