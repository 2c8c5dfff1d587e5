package receiver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/tracker"
)

// redialDelay is the delay before a link to another entry is dialled again.
const redialDelay = 100 * time.Millisecond

// peer is another entry, reached over a link that this entry opens.
type peer struct {
	set  *peerSet
	addr string
	// stop ends the goroutine, which closes the link.
	stop context.CancelFunc

	mu   sync.Mutex
	id   string
	link *courier.Link
	// pending holds the answer channels of the unanswered requests by ID.
	pending map[uint64]chan courier.Answer
	lastID  uint64
}

// peerSet keeps a link to each known entry open.
type peerSet struct {
	receiver *Receiver

	mu    sync.Mutex
	ctx   context.Context
	peers map[string]*peer
}

func newPeerSet(r *Receiver) *peerSet {
	return &peerSet{receiver: r, peers: make(map[string]*peer)}
}

// run keeps links to the peers open until ctx ends.
func (s *peerSet) run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	for _, addr := range s.receiver.cfg.Peers {
		s.add(addr, "")
	}
	<-ctx.Done()
	return nil
}

// setEntries adds the link addresses of entries and removes those that are no longer
// known, except for the ones in the settings.
func (s *peerSet) setEntries(entries []courier.EntryInfo) {
	known := make(map[string]bool, len(entries))
	for _, e := range entries {
		known[e.Link] = true
		s.add(e.Link, e.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, p := range s.peers {
		if !known[addr] && !slices.Contains(s.receiver.cfg.Peers, addr) {
			p.stop()
			delete(s.peers, addr)
		}
	}
}

func (s *peerSet) add(addr, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || addr == s.receiver.self.Link || s.peers[addr] != nil {
		return
	}
	ctx, stop := context.WithCancel(s.ctx)
	p := &peer{set: s, addr: addr, id: id, stop: stop, pending: make(map[uint64]chan courier.Answer)}
	s.peers[addr] = p
	go p.run(ctx)
}

// linkedPeer returns a peer with an open link to the entry id, or nil.
func (s *peerSet) linkedPeer(id string) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.linkedTo(id) {
			return p
		}
	}
	return nil
}

func (p *peer) linkedTo(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id == id && p.link != nil
}

// run keeps the link open and sends heartbeats until ctx ends.
func (p *peer) run(ctx context.Context) {
	clock := p.set.receiver.deps.Clock
	for ctx.Err() == nil {
		link, err := courier.Dial(ctx, p.addr, p)
		if err == nil {
			p.setLink(link)
			p.sendHeartbeats(ctx, link)
			link.Close()
		}
		select {
		case <-ctx.Done():
		case <-clock.After(redialDelay):
		}
	}
}

// sendHeartbeats sends heartbeats until the link is closed or ctx ends.
func (p *peer) sendHeartbeats(ctx context.Context, link *courier.Link) {
	clock := p.set.receiver.deps.Clock
	for {
		if answer, err := p.set.receiver.ask(heartbeatQuery{to: p.entry()}); err == nil {
			link.Send(answer.(courier.PeerHello))
		}
		select {
		case <-ctx.Done():
			return
		case <-link.Done():
			return
		case <-clock.After(tracker.HeartbeatInterval):
		}
	}
}

// entry returns the ID of the entry, or "" if it is not known yet.
func (p *peer) entry() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

func (p *peer) setLink(l *courier.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.IsClosed() {
		return
	}
	p.link = l
}

// Receive implements courier.Handler.
func (p *peer) Receive(_ *courier.Link, msg any) {
	switch m := msg.(type) {
	case *courier.PeerHello:
		p.mu.Lock()
		p.id = m.Entry.ID
		p.mu.Unlock()
		p.set.receiver.post(peerHeartbeat{hello: *m})
	case *courier.RelayReply:
		p.mu.Lock()
		answer := p.pending[m.ID]
		delete(p.pending, m.ID)
		p.mu.Unlock()
		if answer != nil {
			answer <- m.Answer
		}
	}
}

// Closed implements courier.Handler. Unanswered requests fail.
func (p *peer) Closed(l *courier.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == l {
		p.link = nil
	}
	for id, answer := range p.pending {
		delete(p.pending, id)
		close(answer)
	}
}

// sendRequest assigns an ID to a request and sends it by calling send. It fails if there is
// no link, in which case nothing has been sent.
func (p *peer) sendRequest(send func(l *courier.Link, id uint64)) (uint64, chan courier.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return 0, nil, &Error{Op: "relay", Kind: Disconnected, Err: errors.Errorf("no link to %s", p.addr)}
	}
	p.lastID++
	answer := make(chan courier.Answer, 1)
	p.pending[p.lastID] = answer
	send(p.link, p.lastID)
	return p.lastID, answer, nil
}

// awaitAnswer waits for the answer. If ctx ends first, it tells the owner that the caller
// has disconnected.
func (p *peer) awaitAnswer(ctx context.Context, id uint64, answer chan courier.Answer) (courier.Answer, error) {
	select {
	case a, ok := <-answer:
		if !ok {
			return courier.Answer{}, &Error{Op: "relay", Kind: Disconnected, Err: errors.Errorf("link to %s closed", p.addr)}
		}
		return a, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.pending, id)
		if p.link != nil {
			p.link.Send(courier.RelayLeave{ID: id})
		}
		p.mu.Unlock()
		return courier.Answer{}, ctx.Err()
	}
}
