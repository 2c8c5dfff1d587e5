package agent

import (
	"fmt"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/starter"
	"github.com/pomeloferry/pomeloferry/worker"
)

// The messages of the ledger's actor.
type (
	// tick triggers the periodic work, such as the check of timeouts.
	tick struct{}
	// drain begins a planned stop.
	drain struct{}
	// idleQuery queries whether the ledger is idle.
	idleQuery struct{}
	// dumpQuery queries a starter.Dump.
	dumpQuery struct{}
	// linkOpened reports a new link to an entry.
	linkOpened struct {
		link   *courier.Link
		number uint64
	}
	// linkMessage carries a message from an entry.
	linkMessage struct {
		link *courier.Link
		msg  any
	}
	// linkClosed reports that a link was closed.
	linkClosed struct{ link *courier.Link }
	// upstreamAnnounced carries the upstream's announcement.
	upstreamAnnounced struct{ announcement worker.Announcement }
	// taskDone reports the end of a task, or that it was not started.
	taskDone struct {
		record     courier.Record
		notStarted bool
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

// entryLink is the actor's state of one open link.
type entryLink struct {
	link   *courier.Link
	number uint64
	// entry is empty until the entry has answered the first heartbeat.
	entry string
}

// ledgerActor is the actor that owns the ledger.
type ledgerActor struct {
	agent       *Agent
	ledger      *starter.Ledger
	links       map[*courier.Link]*entryLink
	linkByEntry map[string]*entryLink
	upstream    worker.Announcement
	// upstreamSeenAt is when the last announcement of the upstream arrived.
	upstreamSeenAt  time.Time
	lastHeartbeatAt time.Time
	// messagesSent counts the messages to entries by type.
	messagesSent map[reflect.Type]*metrics.Counter
}

func newLedgerActor(a *Agent) *ledgerActor {
	return &ledgerActor{
		agent:        a,
		ledger:       starter.NewLedger(a.deps.Clock, a.identity),
		links:        make(map[*courier.Link]*entryLink),
		linkByEntry:  make(map[string]*entryLink),
		messagesSent: make(map[reflect.Type]*metrics.Counter),
	}
}

func (s *ledgerActor) countSent(msg any) {
	t := reflect.TypeOf(msg)
	c := s.messagesSent[t]
	if c == nil {
		name := fmt.Sprintf("pomeloferry_agent_messages_out_total{type=%q}", t.Name())
		c = s.agent.deps.Metrics.GetOrCreateCounter(name)
		s.messagesSent[t] = c
	}
	c.Inc()
}

// Receive implements actor.Actor.
func (s *ledgerActor) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case tick:
		s.tick()
	case drain:
		s.ledger.SetDraining()
		s.announceAll()
	case idleQuery:
		ctx.Respond(s.ledger.Idle())
	case dumpQuery:
		ctx.Respond(s.ledger.Dump())
	case linkOpened:
		if m.link.IsClosed() {
			break
		}
		s.links[m.link] = &entryLink{link: m.link, number: m.number}
		s.announce(s.links[m.link])
	case linkMessage:
		s.receive(m)
	case linkClosed:
		s.close(m.link)
	case upstreamAnnounced:
		s.setUpstream(m.announcement)
	case taskDone:
		s.taskDone(m)
	}
	s.applyEffects()
}

func (s *ledgerActor) tick() {
	now := s.agent.deps.Clock.Now()
	s.ledger.Tick()
	if s.upstream.Slots > 0 && now.Sub(s.upstreamSeenAt) > UpstreamTimeout {
		s.agent.deps.Log.Warn("upstream timed out")
		s.setUpstream(worker.Announcement{})
	}
	if now.Sub(s.lastHeartbeatAt) >= HeartbeatInterval {
		s.announceAll()
	}
}

func (s *ledgerActor) announceAll() {
	s.lastHeartbeatAt = s.agent.deps.Clock.Now()
	for _, l := range s.links {
		s.announce(l)
	}
}

func (s *ledgerActor) announce(l *entryLink) {
	msg := s.ledger.Announce(l.entry)
	msg.LinkNumber = l.number
	for id := range s.linkByEntry {
		msg.Acked = append(msg.Acked, id)
	}
	l.link.Send(msg)
}

func (s *ledgerActor) setUpstream(u worker.Announcement) {
	changed := u.Slots != s.upstream.Slots || u.Leaving != s.upstream.Leaving || u.Address != s.upstream.Address
	s.upstream = u
	s.upstreamSeenAt = s.agent.deps.Clock.Now()
	s.agent.runner.setUpstream(u.Address, u.Connections)
	s.ledger.SetUpstream(starter.Upstream{
		Address:  u.Address,
		Slots:    u.Slots,
		Services: u.Services,
		Leaving:  u.Leaving,
	})
	if changed {
		s.announceAll()
	}
}

func (s *ledgerActor) receive(m linkMessage) {
	l := s.links[m.link]
	if l == nil {
		return
	}
	if r, ok := m.msg.(*courier.AnnounceReply); ok {
		s.handleAnnounceReply(l, *r)
		return
	}
	if l.entry == "" || s.linkByEntry[l.entry] != l {
		return // A newer link to the same entry has replaced this one.
	}
	switch msg := m.msg.(type) {
	case *courier.Claim:
		s.ledger.Claim(l.entry, *msg)
	case *courier.Forbid:
		s.ledger.Forbid(l.entry, *msg)
	case *courier.Start:
		s.ledger.Start(l.entry, *msg)
	case *courier.Acked:
		s.ledger.Acknowledge(*msg)
	case *courier.Demand:
		s.ledger.SetDemand(l.entry, *msg)
	case *courier.Decline:
		s.ledger.Decline(l.entry, *msg)
	case *courier.Stop:
		s.ledger.Stop(*msg)
	}
}

// handleAnnounceReply handles an entry's answer to a heartbeat. The first one on a link
// identifies the entry; an older link to the same entry is then closed.
func (s *ledgerActor) handleAnnounceReply(l *entryLink, r courier.AnnounceReply) {
	if l.entry == "" {
		l.entry = r.Entry.ID
		if old := s.linkByEntry[l.entry]; old != nil {
			s.close(old.link)
			old.link.Close()
		}
		s.linkByEntry[l.entry] = l
		s.ledger.LinkUp(l.entry, l.number)
		s.agent.links.setEntry(l.link, r.Entry)
		s.ledger.HandleAnnounceReply(r)
		s.announceAll()
	} else {
		s.ledger.HandleAnnounceReply(r)
	}
	s.agent.deps.BundleVersion.Store(s.ledger.BundleVersion())
	s.agent.links.addAddresses(r.Entries)
}

func (s *ledgerActor) close(link *courier.Link) {
	l := s.links[link]
	if l == nil {
		return
	}
	delete(s.links, link)
	if l.entry != "" && s.linkByEntry[l.entry] == l {
		delete(s.linkByEntry, l.entry)
		s.ledger.LinkDown(l.entry, l.number)
	}
}

func (s *ledgerActor) taskDone(m taskDone) {
	if m.notStarted {
		s.ledger.WithdrawStart(m.record.Task)
		return
	}
	s.ledger.Finish(m.record)
}

// applyEffects sends the messages, and starts and stops the tasks, that the ledger has
// decided on.
func (s *ledgerActor) applyEffects() {
	for _, e := range s.ledger.TakeEffects() {
		switch e := e.(type) {
		case starter.Send:
			s.countSent(e.Msg)
			if l := s.linkByEntry[e.To]; l != nil {
				l.link.Send(e.Msg)
			}
		case starter.Run:
			s.agent.runner.start(e)
		case starter.Stop:
			s.agent.runner.stop(e.Task)
		}
	}
}
