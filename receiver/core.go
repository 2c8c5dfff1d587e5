package receiver

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/registrar"
	"github.com/pomeloferry/pomeloferry/starter"
)

// The messages of the core actor.
type (
	// tick asks for a look at what has come due.
	tick struct{}
	// leaving begins a planned stop.
	leaving struct{}
	// idleQuestion asks whether every job here is finished.
	idleQuestion struct{}
	// dumpQuestion asks for a Dump.
	dumpQuestion struct{}
	// helloQuestion asks for the heartbeat to send to other entries.
	helloQuestion struct{}
	// linkMessage carries a message from an accepted link.
	linkMessage struct {
		link *courier.Link
		msg  any
	}
	// linkClosed tells that an accepted link has ended.
	linkClosed struct{ link *courier.Link }
	// peerHeard carries the heartbeat of another entry.
	peerHeard struct{ hello courier.PeerHello }
	// entriesRead carries the entries registered in the store.
	entriesRead struct {
		entries []courier.EntryInfo
		// first means that no entry ran here before within the record
		// horizon.
		first bool
	}
	// bundleRead carries the bundle that was in the store at a time.
	bundleRead struct {
		signed approver.Signed
		bundle approver.Bundle
		at     time.Time
	}
	// submit carries a request; answer gets one answer.
	submit struct {
		request dispatcher.Request
		answer  chan<- courier.Answer
		// opened gets the waiter, for a later leave.
		opened chan<- dispatcher.Waiter
	}
	// leave tells that a caller has gone.
	leave struct{ waiter dispatcher.Waiter }
	// query asks for the state of a job, or cancels it.
	query struct {
		job    string
		cancel bool
		answer chan<- courier.Answer
	}
)

// agentLink is a link on which an agent has announced itself.
type agentLink struct {
	name   string
	number uint64
}

// relayKey names a relayed request of another entry.
type relayKey struct {
	link *courier.Link
	id   uint64
}

// core is the actor that owns the dispatcher and the view of the entries.
type core struct {
	receiver  *Receiver
	owner     *dispatcher.Owner
	registrar *registrar.Registrar
	agents    map[*courier.Link]agentLink
	byAgent   map[string]*courier.Link
	// answers holds what to do with the answer for each waiter.
	answers map[dispatcher.Waiter]func(courier.Answer)
	relays  map[relayKey]dispatcher.Waiter
	// lastWaiter numbers waiters; 0 means none.
	lastWaiter dispatcher.Waiter

	signed approver.Signed
	bundle approver.Bundle
	// confirmed is when the bundle was last known to be the newest one.
	confirmed time.Time
}

func newCore(r *Receiver) *core {
	owner := dispatcher.NewOwner(r.deps.Clock, dispatcher.Config{
		Entry:     r.cfg.ID,
		Seed:      r.cfg.Seed,
		Placement: r.cfg.Placement,
		Order:     r.cfg.Order,
	})
	return &core{
		receiver:  r,
		owner:     owner,
		registrar: registrar.NewRegistrar(r.deps.Clock, r.info),
		agents:    make(map[*courier.Link]agentLink),
		byAgent:   make(map[string]*courier.Link),
		answers:   make(map[dispatcher.Waiter]func(courier.Answer)),
		relays:    make(map[relayKey]dispatcher.Waiter),
	}
}

// Receive implements actor.Actor.
func (c *core) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case tick:
		c.tick()
	case leaving:
		c.registrar.SetLeaving()
		c.owner.SetStopping()
		c.refreshView()
	case idleQuestion:
		ctx.Respond(c.owner.Idle())
	case dumpQuestion:
		ctx.Respond(c.dump())
	case helloQuestion:
		ctx.Respond(c.hello())
	case linkMessage:
		c.receive(m.link, m.msg)
	case linkClosed:
		c.closed(m.link)
	case peerHeard:
		c.heard(m.hello)
	case entriesRead:
		c.registrar.Learn(m.entries)
		if m.first {
			c.owner.SetRosterCertain()
		}
	case bundleRead:
		c.adopt(m)
	case submit:
		c.submit(m)
	case leave:
		delete(c.answers, m.waiter)
		c.owner.Leave(m.waiter)
	case query:
		m.answer <- c.query(m.job, m.cancel)
	}
	c.drain()
}

func (c *core) tick() {
	c.registrar.Tick()
	c.refreshView()
	c.owner.Tick()
}

func (c *core) refreshView() {
	c.owner.SetView(c.registrar.View(), c.registrar.Peers())
	c.receiver.peers.learn(c.registrar.Known())
}

func (c *core) submit(m submit) {
	w := c.newWaiter(func(a courier.Answer) { m.answer <- a })
	m.opened <- w
	m.request.Waiter = w
	c.owner.Submit(m.request)
}

func (c *core) newWaiter(answer func(courier.Answer)) dispatcher.Waiter {
	c.lastWaiter++
	c.answers[c.lastWaiter] = answer
	return c.lastWaiter
}

func (c *core) query(job string, cancel bool) courier.Answer {
	if cancel {
		return c.owner.Cancel(job)
	}
	return c.owner.State(job)
}

// receive takes a message from an accepted link.
func (c *core) receive(l *courier.Link, msg any) {
	switch m := msg.(type) {
	case *courier.Announce:
		c.announced(l, *m)
	case *courier.PeerHello:
		c.heard(*m)
		l.Send(c.hello())
	case *courier.Relay:
		c.relayed(l, *m)
	case *courier.RelayLeave:
		c.relayLeft(relayKey{link: l, id: m.ID})
	case *courier.RelayQuery:
		l.Send(courier.RelayReply{ID: m.ID, Answer: c.query(m.Job, m.Cancel)})
	default:
		if a, ok := c.agents[l]; ok {
			c.receiveFromAgent(a, msg)
		}
	}
}

func (c *core) receiveFromAgent(a agentLink, msg any) {
	switch m := msg.(type) {
	case *courier.ClaimReply:
		c.owner.Claimed(a.name, a.number, *m)
	case *courier.Finished:
		c.owner.Finished(a.name, a.number, *m)
	case *courier.Refuse:
		c.owner.Refused(a.name, a.number, *m)
	case *courier.Offer:
		c.owner.Offered(a.name, a.number, *m)
	case *courier.Superseded:
		c.owner.Superseded(*m)
	}
}

// announced takes an agent's heartbeat and answers it. The answer goes out
// before anything else on a new link, since it names this entry.
func (c *core) announced(l *courier.Link, an courier.Announce) {
	known, ok := c.agents[l]
	reply := c.announceReply(an)
	if !ok {
		reply.Terms = c.owner.Terms()
	}
	l.Send(reply)
	if ok {
		if known.number == an.LinkNumber {
			c.owner.AgentSeen(an)
		}
		return
	}
	if old := c.byAgent[an.Agent]; old != nil {
		delete(c.agents, old)
		old.Close()
	}
	c.agents[l] = agentLink{name: an.Agent, number: an.LinkNumber}
	c.byAgent[an.Agent] = l
	c.owner.AgentUp(an)
}

func (c *core) announceReply(an courier.Announce) courier.AnnounceReply {
	reply := courier.AnnounceReply{
		Entry:         c.receiver.info,
		Entries:       c.registrar.Alive(),
		Stamp:         an.Stamp,
		Fresh:         c.fresh(),
		Age:           max(0, c.receiver.deps.Clock.Since(c.confirmed)),
		BundleVersion: c.bundle.Version,
	}
	if an.BundleVersion < c.bundle.Version {
		reply.Policy = &courier.AgentPolicy{
			BundleVersion:  c.bundle.Version,
			OutDataCentres: c.bundle.OutDataCentres(),
		}
	}
	return reply
}

func (c *core) fresh() bool {
	return c.bundle.Version > 0 && c.receiver.deps.Clock.Since(c.confirmed) < starter.FreshFor
}

// adopt puts a bundle in force that was the newest at a time.
func (c *core) adopt(m bundleRead) {
	if m.bundle.Version < c.bundle.Version {
		return
	}
	if m.bundle.Version > c.bundle.Version {
		c.bundle = m.bundle
		c.signed = m.signed
		c.receiver.deps.Log.WithField("bundle_version", c.bundle.Version).Info("bundle in force")
	}
	if m.at.After(c.confirmed) {
		c.confirmed = m.at
	}
	c.owner.SetBundle(c.bundle, c.confirmed.Add(starter.FreshFor))
}

// heard takes the heartbeat of another entry.
func (c *core) heard(h courier.PeerHello) {
	c.registrar.Heard(h)
	c.registrar.Learn(h.Entries)
	c.refreshView()
	c.owner.SetRoster(h.Roster, h.RosterCertain)
}

// hello returns the heartbeat. The roster in it is complete for its receiver:
// from now on an agent is used only when the receiver knows it.
func (c *core) hello() courier.PeerHello {
	roster, certain := c.owner.Roster()
	return courier.PeerHello{
		Entry:         c.receiver.info,
		Incarnation:   c.receiver.incarnation,
		Ready:         c.registrar.Ready(),
		Leaving:       c.registrar.Leaving(),
		RosterCertain: certain,
		Roster:        roster,
		Entries:       c.registrar.Alive(),
		BundleVersion: c.bundle.Version,
	}
}

func (c *core) relayed(l *courier.Link, m courier.Relay) {
	key := relayKey{link: l, id: m.ID}
	w := c.newWaiter(func(a courier.Answer) {
		delete(c.relays, key)
		l.Send(courier.RelayReply{ID: m.ID, Answer: a})
	})
	c.relays[key] = w
	c.owner.Submit(newRequest(m.Submission, m.Resent, w))
}

func (c *core) relayLeft(key relayKey) {
	w, ok := c.relays[key]
	if !ok {
		return
	}
	delete(c.relays, key)
	delete(c.answers, w)
	c.owner.Leave(w)
}

// closed notes the end of an accepted link. The jobs relayed over it go on,
// since their entry asks again over a new link.
func (c *core) closed(l *courier.Link) {
	a, ok := c.agents[l]
	if ok {
		delete(c.agents, l)
		if c.byAgent[a.name] == l {
			delete(c.byAgent, a.name)
			c.owner.AgentDown(a.name, a.number)
		}
		return
	}
	for key, w := range c.relays {
		if key.link == l {
			delete(c.relays, key)
			delete(c.answers, w)
		}
	}
}

// drain carries out what the owner decided.
func (c *core) drain() {
	for _, e := range c.owner.Drain() {
		switch e := e.(type) {
		case dispatcher.Send:
			if l := c.byAgent[e.To]; l != nil {
				l.Send(e.Msg)
			}
		case dispatcher.Reply:
			if answer := c.answers[e.Waiter]; answer != nil {
				delete(c.answers, e.Waiter)
				answer(e.Answer)
			}
		}
	}
}
