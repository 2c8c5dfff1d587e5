package receiver

import (
	"encoding/json"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/confirmer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/registrar"
)

// The messages of the core actor.
type (
	// tick asks for a look at what has come due.
	tick struct{}
	// leaving begins a planned stop.
	leaving struct{}
	// idleQuery asks whether every job here is finished.
	idleQuestion struct{}
	// dumpQuery asks for a Dump.
	dumpQuestion struct{}
	// helloQuestion asks for the heartbeat to send to another entry, whose
	// name may not be known yet.
	helloQuestion struct{ to string }
	// registrationQuestion asks for the Registration to write.
	registrationQuestion struct{}
	// linkMessage carries a message from an accepted link.
	linkMessage struct {
		link link
		msg  any
	}
	// linkClosed tells that an accepted link has ended.
	linkClosed struct{ link link }
	// peerHeard carries the heartbeat of another entry.
	peerHeard struct{ hello courier.PeerHello }
	// entriesRead carries the entries registered in the store.
	entriesRead struct {
		entries []courier.EntryInfo
		// first means that no entry ran here before within the record
		// horizon.
		first bool
	}
	// bundleRead carries what was in the store at a time.
	bundleRead struct {
		signed approver.Signed
		bundle approver.Bundle
		voters confirmer.Voters
		at     time.Time
	}
	// submit carries a request; answer is called once, unless the caller
	// leaves. It must not block.
	submit struct {
		request dispatcher.Request
		answer  func(courier.Answer)
		// opened gets the waiter, for a later leave.
		opened func(dispatcher.Waiter)
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

// link is the core's view of a courier.Link.
type link interface {
	Send(msg any)
	Close()
}

// core owns the dispatcher and the view of the entries. It handles one message
// at a time, without input or output but through the links.
type core struct {
	deps        provider.Deps
	cfg         Config
	info        courier.EntryInfo
	incarnation string
	// learn is told which other entries are known.
	learn func([]courier.EntryInfo)

	owner     *dispatcher.Owner
	registrar *registrar.Registrar
	agents    map[link]agentLink
	byAgent   map[string]link
	// answers holds what to do with the answer for each waiter.
	answers map[dispatcher.Waiter]func(courier.Answer)
	relays  map[relayKey]dispatcher.Waiter
	// lastWaiter numbers waiters; 0 means none.
	lastWaiter dispatcher.Waiter

	confirmer *confirmer.Confirmer
}

func newCore(deps provider.Deps, cfg Config, info courier.EntryInfo, learn func([]courier.EntryInfo)) *core {
	owner := dispatcher.NewOwner(deps.Clock, dispatcher.Config{
		Entry:     cfg.ID,
		Seed:      cfg.Seed,
		Placement: cfg.Placement,
		Order:     cfg.Order,
	})
	return &core{
		deps:        deps,
		cfg:         cfg,
		info:        info,
		incarnation: uuid.NewString(),
		learn:       learn,
		owner:       owner,
		registrar:   registrar.NewRegistrar(deps.Clock, info),
		confirmer:   confirmer.NewConfirmer(deps.Clock, info.ID),
		agents:      make(map[link]agentLink),
		byAgent:     make(map[string]link),
		answers:     make(map[dispatcher.Waiter]func(courier.Answer)),
		relays:      make(map[relayKey]dispatcher.Waiter),
	}
}

// Receive implements actor.Actor.
func (c *core) Receive(ctx actor.Context) {
	if answer := c.handle(ctx.Message()); answer != nil {
		ctx.Respond(answer)
	}
}

// handle takes one message, and returns the answer if it is a question.
func (c *core) handle(msg any) any {
	defer c.drain()
	switch m := msg.(type) {
	case tick:
		c.tick()
	case leaving:
		c.registrar.SetLeaving()
		c.owner.SetStopping()
		c.refreshView()
	case idleQuestion:
		return c.owner.Idle()
	case dumpQuestion:
		return c.dump()
	case helloQuestion:
		return c.hello(m.to)
	case registrationQuestion:
		return c.registration()
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
	return nil
}

func (c *core) tick() {
	c.registrar.Tick()
	c.refreshView()
	c.refreshBundle()
	c.owner.Tick()
}

func (c *core) refreshView() {
	c.owner.SetView(c.registrar.View(), c.registrar.Peers())
	c.learn(c.registrar.Known())
}

func (c *core) submit(m submit) {
	w := c.newWaiter(m.answer)
	m.opened(w)
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
func (c *core) receive(l link, msg any) {
	switch m := msg.(type) {
	case *courier.Announce:
		c.announced(l, *m)
	case *courier.PeerHello:
		c.heard(*m)
		l.Send(c.hello(m.Entry.ID))
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

// heard takes the heartbeat of another entry.
func (c *core) heard(h courier.PeerHello) {
	c.registrar.Heard(h)
	c.registrar.Learn(h.Entries)
	c.refreshView()
	asOf := c.registrar.TimeOf(h.EchoTo(c.incarnation))
	c.owner.SetRoster(h.Roster, h.RosterCertain, asOf)
	old := c.confirmer.Bundle().Version
	c.adoptFromPeer(h)
	c.confirmer.Heard(h.Entry.ID, confirmer.Word{
		AsOf:          asOf,
		Witness:       h.Witness,
		BundleVersion: h.BundleVersion,
		VotersVersion: h.VotersVersion,
	})
	c.bundleChanged(old, h.Entry.ID)
}

// hello returns the heartbeat for another entry. The roster in it is complete
// for its receiver once the receiver's own heartbeat has arrived here: from
// then on an agent is used only when the receiver knows it.
func (c *core) hello(to string) courier.PeerHello {
	roster, certain := c.owner.Roster()
	echo := c.registrar.Echo(to)
	h := courier.PeerHello{
		Entry:         c.info,
		Incarnation:   c.incarnation,
		Ready:         c.registrar.Ready(),
		Leaving:       c.registrar.Leaving(),
		RosterCertain: certain,
		Roster:        roster,
		Entries:       c.registrar.Alive(),
		BundleVersion: c.confirmer.Bundle().Version,
		VotersVersion: c.confirmer.Voters().Version,
		Witness:       c.confirmer.Witness(),
		Stamp:         c.registrar.Stamp(),
		Echo:          echo.Stamp,
		EchoOf:        echo.Incarnation,
	}
	if echo.BundleVersion < h.BundleVersion {
		h.Bundle, _ = json.Marshal(c.confirmer.Signed())
	}
	if echo.VotersVersion < h.VotersVersion {
		h.Voters, _ = json.Marshal(c.confirmer.Voters())
	}
	return h
}

// closed notes the end of an accepted link. The jobs relayed over it go on,
// since their entry asks again over a new link.
func (c *core) closed(l link) {
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
