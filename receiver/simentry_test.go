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

// simStore simulates the platform's store. If it is down, no process reaches it; otherwise
// those in unreachableFrom do not.
type simStore struct {
	sim             *simulation
	bundle          approver.Bundle
	signed          approver.SignedBundle
	voters          confirmer.Voters
	list            map[string]Registration
	down            bool
	unreachableFrom map[string]bool
	// acceptedAt is when each version was accepted.
	acceptedAt map[uint64]time.Time
}

func newSimStore(sim *simulation) *simStore {
	s := &simStore{
		sim:             sim,
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

// recordAccepted records the time at which the bundle becomes accepted.
func (s *simStore) recordAccepted() {
	v := s.bundle.Version
	now := s.sim.clock.Now()
	if _, ok := s.acceptedAt[v]; !ok && BundleAccepted(v, s.voters, s.registrations(), now) {
		s.acceptedAt[v] = now
	}
}

// simEntry is a simulated entry: a real entryActor with simulated connections.
type simEntry struct {
	sim             *simulation
	proc            *process
	actor           *entryActor
	peers           map[string]*simPeer
	beforeFirstRead bool
}

// simPeer is the connection that an entry keeps to another entry.
type simPeer struct {
	target  *simEntry
	end     *simConnEnd
	id      string
	pending map[uint64]func(courier.Answer, bool)
	lastID  uint64
}

func (sim *simulation) addEntry(id string) *simEntry {
	e := &simEntry{
		sim:             sim,
		proc:            &process{name: id},
		peers:           make(map[string]*simPeer),
		beforeFirstRead: true,
	}
	_, trust := newSimKey()
	cfg := Config{ID: id, DataCentre: "wien", Seed: uint64(len(sim.entries)), Trust: trust}
	e.actor = newEntryActor(sim.deps, cfg, courier.EntryInfo{ID: id, Link: id + "@" + sim.clock.Now().String()}, e.addPeers)
	sim.entries = append(sim.entries, e)
	sim.every(e.proc, TickInterval, func() { e.actor.handle(tick{}) })
	sim.every(e.proc, 100*time.Millisecond, e.dialPeers)
	sim.every(e.proc, 500*time.Millisecond, e.sendHeartbeats)
	sim.every(e.proc, bundlePollInterval, e.pollBundle)
	sim.every(e.proc, registerInterval, e.pollRegistrations)
	return e
}

func (e *simEntry) addPeers(list []courier.EntryInfo) {
	for _, info := range list {
		if e.peers[info.Link] != nil {
			continue
		}
		for _, other := range e.sim.entries {
			if other.actor.self == info {
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
	for _, other := range e.sim.entries {
		if p := e.peers[other.actor.self.Link]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

func (e *simEntry) dialPeer(p *simPeer) {
	near, far := e.sim.dial(e.proc, p.target.proc)
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
	near.Send(e.actor.peerHello(p.id))
}

// accept serves the far end of a connection.
func (e *simEntry) accept(end *simConnEnd) {
	end.receive = func(msg any) { e.actor.handle(linkMessage{link: end, msg: msg}) }
	end.onClose = func() { e.actor.handle(linkClosed{link: end}) }
}

func (e *simEntry) receivePeer(p *simPeer, msg any) {
	switch m := msg.(type) {
	case *courier.PeerHello:
		p.id = m.Entry.ID
		e.actor.handle(peerHeartbeat{hello: *m})
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
			p.end.Send(e.actor.peerHello(p.id))
		}
	}
}

func (e *simEntry) pollBundle() {
	s := e.sim.store
	if !s.reachable(e.proc) {
		return
	}
	e.actor.handle(bundleRead{signed: s.signed, bundle: s.bundle, voters: s.voters, beganAt: e.sim.clock.Now()})
	if !e.beforeFirstRead {
		s.list[e.proc.name] = e.actor.registration()
		s.recordAccepted()
	}
}

func (e *simEntry) pollRegistrations() {
	s := e.sim.store
	if !s.reachable(e.proc) {
		return
	}
	now := e.sim.clock.Now()
	msg := entriesRead{noEarlierEntries: e.beforeFirstRead && noRecentRun(s.registrations(), now)}
	e.beforeFirstRead = false
	for _, other := range e.sim.entries {
		if reg, ok := s.list[other.proc.name]; ok && reg.WroteWithin(now, registrationTTL) {
			msg.entries = append(msg.entries, reg.Entry)
		}
	}
	e.actor.handle(msg)
	s.list[e.proc.name] = e.actor.registration()
	s.voters, _ = nextVoters(s.voters, s.registrations(), e.proc.name, now)
	s.recordAccepted()
}

// route is the event-driven counterpart of Receiver.route: it sends s to its owner and
// calls answer once.
func (e *simEntry) route(s courier.Submission, answer func(courier.Answer)) {
	admitted, finished := false, false
	finish := func(a courier.Answer) {
		if !finished {
			finished = true
			answer(a)
		}
	}
	var attempt func()
	retry := func(a courier.Answer, sent bool) {
		admitted = admitted || a.Admitted || sent
		e.sim.after(routeRetryDelay, func() { e.proc.exec(attempt) })
	}
	attempt = func() {
		if finished {
			return
		}
		e.routeOnce(s, admitted, finish, retry)
	}
	e.sim.after(s.Deadline.Add(ownerAnswerGrace).Sub(e.sim.clock.Now()), func() {
		e.proc.exec(func() { finish(noOwnerAnswer(e.proc.name, s, admitted)) })
	})
	attempt()
}

func (e *simEntry) routeOnce(s courier.Submission, resent bool, finish func(courier.Answer), retry func(courier.Answer, bool)) {
	e.actor.handle(submitRequest{
		request:  newRequest(s, resent, 0),
		onWaiter: func(dispatcher.Waiter) {},
		answer: func(a courier.Answer) {
			switch {
			case a.State != courier.Moved:
				finish(a)
			case a.Admitted:
				retry(a, false)
			default:
				e.relay(a.Owner, s, resent, finish, retry)
			}
		},
	})
}

func (e *simEntry) relay(owner string, s courier.Submission, resent bool, finish func(courier.Answer), retry func(courier.Answer, bool)) {
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
			retry(a, !ok)
		}
		p.end.Send(courier.Relay{ID: p.lastID, Submission: s, Resent: resent})
		return
	}
	retry(courier.Answer{}, false)
}

// caller is a client that submits one job, and resubmits it when its entry dies.
type caller struct {
	sim        *simulation
	submission courier.Submission
	// answers holds all answers to this caller in order.
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

// submit sends a job of n tasks to the entry with index entry.
func (sim *simulation) submit(key string, entry, n, millis int, deadline time.Duration) *caller {
	c := &caller{sim: sim, entry: entry, submission: courier.Submission{
		Team: "team", Key: key, Service: "quote", Attempt: 1,
		Deadline: sim.clock.Now().Add(deadline), Detached: true,
	}}
	for range n {
		c.submission.Tasks = append(c.submission.Tasks, courier.Task{Payload: payload(millis)})
	}
	sim.callers = append(sim.callers, c)
	c.send()
	return c
}

// send makes one attempt, and another one if the entry dies.
func (c *caller) send() {
	sim := c.sim
	if c.open || !c.submission.Deadline.After(sim.clock.Now()) {
		return
	}
	e := sim.entries[c.entry%len(sim.entries)]
	if e.proc.dead {
		c.entry++
		sim.after(100*time.Millisecond, c.send)
		return
	}
	c.open = true
	attempt := c.submission
	e.proc.exec(func() {
		sim.onStep("accept", e.proc, e.proc)
		e.route(attempt, func(a courier.Answer) {
			if e.proc.dead {
				return
			}
			c.open = c.open && c.submission.Attempt != attempt.Attempt
			c.answers = append(c.answers, callerAnswer{Answer: a, attempt: attempt.Attempt, at: sim.clock.Now()})
		})
	})
	c.resubmitOnCrash(e, attempt.Attempt)
}

// resubmitOnCrash resubmits the job if the entry dies before it answers.
func (c *caller) resubmitOnCrash(e *simEntry, attempt int) {
	c.sim.after(100*time.Millisecond, func() {
		if !c.open || c.submission.Attempt != attempt {
			return
		}
		if e.proc.dead {
			c.resubmit()
			return
		}
		c.resubmitOnCrash(e, attempt)
	})
}

// resubmit sends the next attempt to the next entry.
func (c *caller) resubmit() {
	c.open = false
	c.submission.Attempt++
	c.entry++
	c.send()
}

func (c *caller) last() courier.Answer {
	require.NotEmpty(c.sim.t, c.answers, "%s has no answer", c.submission.JobID())
	return c.answers[len(c.answers)-1].Answer
}

// check records violations of the guarantees to a caller.
func (c *caller) check() {
	sim := c.sim
	if len(c.answers) == 0 {
		sim.violation("%s: no answer", c.submission.JobID())
		return
	}
	seen := make(map[int]bool)
	for _, a := range c.answers {
		limit := c.submission.Deadline.Add(ownerAnswerGrace + longestPause)
		if a.at.After(limit) {
			sim.violation("%s: answered too long after the deadline", c.submission.JobID())
		}
		if seen[a.attempt] {
			sim.violation("%s: attempt %d answered twice", c.submission.JobID(), a.attempt)
		}
		seen[a.attempt] = true
		c.checkAnswer(a)
	}
}

func (c *caller) checkAnswer(a callerAnswer) {
	sim := c.sim
	switch a.State {
	case courier.Complete:
		for i := range c.submission.Tasks {
			id := courier.TaskID{Job: c.submission.JobID(), Index: i}
			if i >= len(a.Results) || string(a.Results[i]) != resultOf(id) {
				sim.violation("%v: wrong result", id)
				return
			}
		}
	case courier.NotRun:
		if a.attempt == c.submission.Attempt && sim.startsOf(c.submission.JobID()) > 0 {
			sim.violation("%s: attempt %d answered NotRun (%s), but tasks have started", c.submission.JobID(), a.attempt, a.Reason)
		}
	case courier.Failed:
		for id := range sim.starts {
			if id.Job == c.submission.JobID() && a.attempt == c.submission.Attempt && !slices.Contains(a.MayHaveRun, id.Index) {
				sim.violation("%v: started, but missing in MayHaveRun of the answer Failed (%s)", id, a.Reason)
			}
		}
		if len(a.Results) > 0 {
			sim.violation("%s: answer Failed has results", c.submission.JobID())
		}
	default:
		sim.violation("%s: unexpected answer %s", c.submission.JobID(), a.State)
	}
}

func (sim *simulation) startsOf(job string) int {
	n := 0
	for id, k := range sim.starts {
		if id.Job == job {
			n += k
		}
	}
	return n
}
