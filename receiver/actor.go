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
	"github.com/pomeloferry/pomeloferry/tracker"
)

// Messages to the entry's actor.
type (
	// tick triggers the periodic work.
	tick struct{}
	// drain begins a planned stop.
	drain struct{}
	// idleQuery queries whether every job here has finished.
	idleQuery struct{}
	// dumpQuery queries a Dump.
	dumpQuery struct{}
	// heartbeatQuery queries the heartbeat to send to another entry, whose ID is empty
	// if it is not known yet.
	heartbeatQuery struct{ to string }
	// registrationQuery queries the Registration to write.
	registrationQuery struct{}
	// linkMessage carries a message from an accepted link.
	linkMessage struct {
		link link
		msg  any
	}
	// linkClosed reports that an accepted link was closed.
	linkClosed struct{ link link }
	// peerHeartbeat carries the heartbeat of another entry.
	peerHeartbeat struct{ hello courier.PeerHello }
	// entriesRead carries the entries registered in the store.
	entriesRead struct {
		entries []courier.EntryInfo
		// noEarlierEntries means that no entry has run within RecordRetention before this
		// one started.
		noEarlierEntries bool
	}
	// bundleRead carries the result of a read of the store that began at beganAt.
	bundleRead struct {
		signed  approver.SignedBundle
		bundle  approver.Bundle
		voters  confirmer.Voters
		beganAt time.Time
	}
	// submitRequest carries a request. answer is called once, unless the caller
	// disconnects first. It must not block.
	submitRequest struct {
		request dispatcher.Request
		answer  func(courier.Answer)
		// onWaiter receives the waiter, which a later callerLeft needs.
		onWaiter func(dispatcher.Waiter)
	}
	// callerLeft reports that a caller has disconnected.
	callerLeft struct{ waiter dispatcher.Waiter }
	// jobQuery queries the state of a job, or cancels it.
	jobQuery struct {
		job    string
		cancel bool
		answer chan<- courier.Answer
	}
)

// onlyReads reports whether processing a message changes no state.
func onlyReads(msg any) bool {
	switch msg.(type) {
	case idleQuery, dumpQuery:
		return true
	}
	return false
}

// link is the part of courier.Link that the entry's actor uses.
type link interface {
	Send(msg any)
	Close()
}

// entryActor is the actor that owns the dispatcher and the view of the entries. It
// handles one message at a time; its only input and output are messages and links.
type entryActor struct {
	deps        provider.Deps
	cfg         Config
	self        courier.EntryInfo
	incarnation string
	// onKnownEntries is called with the other known entries.
	onKnownEntries func([]courier.EntryInfo)

	dispatcher  *dispatcher.Dispatcher
	tracker     *tracker.Tracker
	agentLinks  map[link]agentLink
	linkByAgent map[string]link
	// answerFuncs holds the function to call with the answer, by waiter.
	answerFuncs map[dispatcher.Waiter]func(courier.Answer)
	relays      map[relayKey]dispatcher.Waiter
	// lastWaiter is the number of the last waiter; 0 stands for no waiter.
	lastWaiter dispatcher.Waiter

	confirmer *confirmer.Confirmer
}

func newEntryActor(deps provider.Deps, cfg Config, self courier.EntryInfo, onKnownEntries func([]courier.EntryInfo)) *entryActor {
	d := dispatcher.NewDispatcher(deps.Clock, dispatcher.Config{
		Entry:     cfg.ID,
		Seed:      cfg.Seed,
		Placement: cfg.Placement,
		Order:     cfg.Order,

		MaxKeptBytes: cfg.Instance.ShareBytes(jobsShare),
	})
	return &entryActor{
		deps:           deps,
		cfg:            cfg,
		self:           self,
		incarnation:    uuid.NewString(),
		onKnownEntries: onKnownEntries,
		dispatcher:     d,
		tracker:        tracker.NewTracker(deps.Clock, self),
		confirmer:      confirmer.NewConfirmer(deps.Clock, self.ID),
		agentLinks:     make(map[link]agentLink),
		linkByAgent:    make(map[string]link),
		answerFuncs:    make(map[dispatcher.Waiter]func(courier.Answer)),
		relays:         make(map[relayKey]dispatcher.Waiter),
	}
}

// Receive implements actor.Actor.
func (c *entryActor) Receive(ctx actor.Context) {
	if answer := c.handle(ctx.Message()); answer != nil {
		ctx.Respond(answer)
	}
}

// handle processes one message, applies the effects, and returns the answer if the message
// is a query. After a panic it applies no effects.
func (c *entryActor) handle(msg any) any {
	answer := c.process(msg)
	c.applyEffects()
	return answer
}

// process processes one message and returns the answer if the message is a query.
func (c *entryActor) process(msg any) any {
	switch m := msg.(type) {
	case tick:
		c.tick()
	case drain:
		c.tracker.SetLeaving()
		c.dispatcher.SetStopping()
		c.refreshView()
	case idleQuery:
		return c.dispatcher.Idle()
	case dumpQuery:
		return c.dump()
	case heartbeatQuery:
		return c.peerHello(m.to)
	case registrationQuery:
		return c.registration()
	case linkMessage:
		c.receive(m.link, m.msg)
	case linkClosed:
		c.handleLinkClosed(m.link)
	case peerHeartbeat:
		c.handlePeerHello(m.hello)
	case entriesRead:
		c.tracker.AddEntries(m.entries)
		if m.noEarlierEntries {
			c.dispatcher.SetRosterComplete()
		}
	case bundleRead:
		c.handleBundleRead(m)
	case submitRequest:
		c.submit(m)
	case callerLeft:
		delete(c.answerFuncs, m.waiter)
		c.dispatcher.CallerLeft(m.waiter)
	case jobQuery:
		m.answer <- c.query(m.job, m.cancel)
	}
	return nil
}

func (c *entryActor) tick() {
	c.tracker.Tick()
	c.refreshView()
	c.refreshBundle()
	c.dispatcher.Tick()
}

func (c *entryActor) refreshView() {
	c.dispatcher.SetView(c.tracker.View(), c.tracker.Peers())
	c.onKnownEntries(c.tracker.KnownEntries())
}

func (c *entryActor) submit(m submitRequest) {
	w := c.newWaiter(m.answer)
	m.onWaiter(w)
	m.request.Waiter = w
	c.dispatcher.Submit(m.request)
}

func (c *entryActor) newWaiter(answer func(courier.Answer)) dispatcher.Waiter {
	c.lastWaiter++
	c.answerFuncs[c.lastWaiter] = answer
	return c.lastWaiter
}

func (c *entryActor) query(job string, cancel bool) courier.Answer {
	if cancel {
		return c.dispatcher.Cancel(job)
	}
	return c.dispatcher.State(job)
}

// receive handles a message from an accepted link.
func (c *entryActor) receive(l link, msg any) {
	switch m := msg.(type) {
	case *courier.Announce:
		c.handleAnnounce(l, *m)
	case *courier.PeerHello:
		c.handlePeerHello(*m)
		l.Send(c.peerHello(m.Entry.ID))
	case *courier.Relay:
		c.handleRelay(l, *m)
	case *courier.RelayLeave:
		c.handleRelayLeave(relayKey{link: l, id: m.ID})
	case *courier.RelayQuery:
		l.Send(courier.RelayReply{ID: m.ID, Answer: c.query(m.Job, m.Cancel)})
	default:
		if a, ok := c.agentLinks[l]; ok {
			c.receiveFromAgent(a, msg)
		}
	}
}

// handlePeerHello handles the heartbeat of another entry.
func (c *entryActor) handlePeerHello(h courier.PeerHello) {
	c.tracker.HandleHeartbeat(h)
	c.tracker.AddEntries(h.Entries)
	c.refreshView()
	asOf := c.tracker.StampTime(h.EchoFor(c.incarnation))
	c.dispatcher.MergeRoster(h.Roster, h.RosterCertain, asOf)
	old := c.confirmer.Bundle().Version
	c.adoptFromPeer(h)
	c.confirmer.SetAttestation(h.Entry.ID, confirmer.Attestation{
		AsOf:          asOf,
		Witness:       h.Witness,
		BundleVersion: h.BundleVersion,
		VotersVersion: h.VotersVersion,
	})
	c.applyBundle(old, h.Entry.ID)
}

// peerHello returns the heartbeat for another entry. Its roster is complete for the
// receiver once a heartbeat of the receiver has arrived here: from then on, an agent is
// used only if the receiver knows it.
func (c *entryActor) peerHello(to string) courier.PeerHello {
	roster, complete := c.dispatcher.Roster()
	echo := c.tracker.Echo(to)
	h := courier.PeerHello{
		Entry:         c.self,
		Incarnation:   c.incarnation,
		Ready:         c.tracker.Ready(),
		Leaving:       c.tracker.Leaving(),
		RosterCertain: complete,
		Roster:        roster,
		Entries:       c.tracker.AliveEntries(),
		BundleVersion: c.confirmer.Bundle().Version,
		VotersVersion: c.confirmer.Voters().Version,
		Witness:       c.confirmer.IsWitness(),
		Stamp:         c.tracker.Stamp(),
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

// handleLinkClosed handles the closing of an accepted link. The jobs relayed over it
// continue, since the entry that relayed them relays them again over a new link.
func (c *entryActor) handleLinkClosed(l link) {
	a, ok := c.agentLinks[l]
	if ok {
		delete(c.agentLinks, l)
		if c.linkByAgent[a.name] == l {
			delete(c.linkByAgent, a.name)
			c.dispatcher.AgentLinkDown(a.name, a.number)
		}
		return
	}
	for key, w := range c.relays {
		if key.link == l {
			delete(c.relays, key)
			delete(c.answerFuncs, w)
		}
	}
}

// applyEffects sends the messages and the answers that the dispatcher has decided on.
func (c *entryActor) applyEffects() {
	for _, e := range c.dispatcher.TakeEffects() {
		switch e := e.(type) {
		case dispatcher.Send:
			if l := c.linkByAgent[e.To]; l != nil {
				l.Send(e.Msg)
			}
		case dispatcher.Reply:
			if answer := c.answerFuncs[e.Waiter]; answer != nil {
				delete(c.answerFuncs, e.Waiter)
				answer(e.Answer)
			}
		}
	}
}
