package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

const (
	// redialBaseDelay and redialMaxDelay bound the delay before a link is dialled again;
	// the delay doubles with each failure and is jittered.
	redialBaseDelay = 50 * time.Millisecond
	redialMaxDelay  = 2 * time.Second
	// addressTTL is how long an address is kept after an entry last advertised it.
	addressTTL = time.Minute
)

// address is a link address of an entry.
type address struct {
	addr       string
	configured bool
	// lastAdvertisedAt is when an entry last listed the address.
	lastAdvertisedAt time.Time
	link             *courier.Link
	// entry is the entry that last answered there, or that the address was listed for.
	entry      string
	dialing    bool
	failures   int
	nextDialAt time.Time
}

// linkSet keeps one link to each known entry open.
type linkSet struct {
	agent *Agent

	mu        sync.Mutex
	addresses map[string]*address
	// number is the number of the last link of this incarnation.
	number uint64
}

func newLinkSet(a *Agent) *linkSet {
	s := &linkSet{agent: a, addresses: make(map[string]*address)}
	for _, addr := range a.cfg.Entries {
		s.addresses[addr] = &address{addr: addr, configured: true}
	}
	return s
}

// run dials due addresses until ctx ends, and then closes all links.
func (s *linkSet) run(ctx context.Context) error {
	t := s.agent.deps.Clock.NewTicker(TickInterval)
	defer t.Stop()
	for {
		for _, a := range s.dueAddresses() {
			go s.dial(ctx, a)
		}
		select {
		case <-ctx.Done():
			s.closeAll()
			return nil
		case <-t.Chan():
		}
	}
}

// dueAddresses returns the addresses to dial now.
func (s *linkSet) dueAddresses() []*address {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.deps.Clock.Now()
	var out []*address
	for key, a := range s.addresses {
		if !a.configured && a.link == nil && now.Sub(a.lastAdvertisedAt) > addressTTL {
			delete(s.addresses, key)
			continue
		}
		if a.link != nil || a.dialing || now.Before(a.nextDialAt) || s.linkedElsewhere(a) {
			continue
		}
		a.dialing = true
		out = append(out, a)
	}
	return out
}

// linkedElsewhere reports whether the entry at a has a link through another address.
func (s *linkSet) linkedElsewhere(a *address) bool {
	if a.entry == "" {
		return false
	}
	for _, b := range s.addresses {
		if b != a && b.link != nil && b.entry == a.entry {
			return true
		}
	}
	return false
}

func (s *linkSet) dial(ctx context.Context, a *address) {
	link, err := courier.Dial(ctx, a.addr, s.agent)
	if number, ok := s.recordDial(a, link, err); ok {
		s.agent.post(linkOpened{link: link, number: number})
	}
}

// recordDial records the result of a dial and returns the number of the new link, or
// false if the dial failed.
func (s *linkSet) recordDial(a *address, link *courier.Link, err error) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.dialing = false
	if err != nil || link.IsClosed() {
		s.backOff(a)
		return 0, false
	}
	s.number++
	a.link = link
	return s.number, true
}

func (s *linkSet) backOff(a *address) {
	delay := min(redialBaseDelay<<min(a.failures, 10), redialMaxDelay)
	a.failures++
	jitter := time.Duration(rand.Int64N(int64(delay)))
	a.nextDialAt = s.agent.deps.Clock.Now().Add(delay/2 + jitter)
}

// setEntry records which entry answers on a link.
func (s *linkSet) setEntry(l *courier.Link, e courier.EntryInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.addresses {
		if a.link == l {
			a.entry = e.ID
			a.failures = 0
		}
	}
}

// addAddresses adds the link addresses of entries that an entry has advertised.
func (s *linkSet) addAddresses(entries []courier.EntryInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		a := s.addresses[e.Link]
		if a == nil {
			a = &address{addr: e.Link, entry: e.ID}
			s.addresses[e.Link] = a
		}
		a.lastAdvertisedAt = s.agent.deps.Clock.Now()
	}
}

func (s *linkSet) linkClosed(l *courier.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.addresses {
		if a.link == l {
			a.link = nil
			s.backOff(a)
		}
	}
}

func (s *linkSet) closeAll() {
	s.mu.Lock()
	links := make([]*courier.Link, 0, len(s.addresses))
	for _, a := range s.addresses {
		links = append(links, a.link)
	}
	s.mu.Unlock()
	for _, l := range slices.DeleteFunc(links, func(l *courier.Link) bool { return l == nil }) {
		l.Close()
	}
}
