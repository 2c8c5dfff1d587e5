// Package receiver is the entry process. It takes callers' requests over HTTP,
// passes each to the entry that owns it, and, for the submissions owned here,
// lets a dispatcher.Owner decide. One actor owns the dispatcher and the view
// of the other entries; everything else sends it typed messages through its
// bounded mailbox.
package receiver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/announcer"
	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/provider"
)

const (
	// TickInterval is the time between two looks at what has come due.
	TickInterval = 20 * time.Millisecond
	// StopAcceptDelay is how long a stopping entry still takes connections, so
	// that the balancer can turn away from it.
	StopAcceptDelay = time.Second
	// DrainTimeout bounds the wait of a planned stop.
	DrainTimeout = 65 * time.Second
	// mailboxSize bounds the messages that wait for the actor.
	mailboxSize = 16384
	// askTimeout bounds the wait for the actor's answer to a question.
	askTimeout = 2 * time.Second
)

// Store is what an entry needs of the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (keeper.Pair, error)
	List(ctx context.Context, prefix string) ([]keeper.Pair, error)
	Put(ctx context.Context, key string, value []byte) error
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, also ...keeper.Pair) (bool, error)
}

// Config describes one entry.
type Config struct {
	ID         string
	DataCentre string
	// Listen is where callers and operators reach the entry.
	Listen string
	// Link is where agents and other entries reach it.
	Link string
	// Peers lists link addresses of other entries. Others are learned.
	Peers []string
	// Trust names who may approve bundles.
	Trust approver.Trust
	// Seed makes random choices repeatable.
	Seed uint64
	// Placement and Order choose the policies; nil means the defaults.
	Placement dispatcher.Placement
	Order     dispatcher.Order
}

// Receiver is one entry process.
type Receiver struct {
	deps     provider.Deps
	cfg      Config
	store    Store
	listener net.Listener
	links    net.Listener
	self     courier.EntryInfo
	system   *actor.ActorSystem
	pid      *actor.PID
	peers    *peerSet
	// handling counts the submissions being handled.
	handling atomic.Int64
}

// NewReceiver returns an entry that listens already.
func NewReceiver(deps provider.Deps, cfg Config, store Store) (*Receiver, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, &Error{Op: "Listen", Kind: Unusable, Err: err}
	}
	links, err := net.Listen("tcp", cfg.Link)
	if err != nil {
		_ = listener.Close()
		return nil, &Error{Op: "Link", Kind: Unusable, Err: err}
	}
	r := &Receiver{
		deps:     deps.WithField("entry", cfg.ID).WithField("data_centre", cfg.DataCentre),
		cfg:      cfg,
		store:    store,
		listener: listener,
		links:    links,
		self:     courier.EntryInfo{ID: cfg.ID, Link: links.Addr().String()},
	}
	r.system = announcer.NewActorSystem(r.deps)
	r.peers = newPeerSet(r)
	return r, nil
}

// Run serves until ctx ends, then hands its partitions over and stops when
// every request in flight has its answer.
func (r *Receiver) Run(ctx context.Context) error {
	props := actor.PropsFromProducer(
		func() actor.Actor { return newCore(r.deps, r.cfg, r.self, r.peers.setEntries) },
		actor.WithMailbox(actor.Bounded(mailboxSize)),
	)
	r.pid = r.system.Root.Spawn(props)
	defer r.system.Shutdown()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	front := announcer.NewGracefulServer(r.deps.Clock, &http.Server{Handler: r.handler(), ReadHeaderTimeout: 5 * time.Second}, r.listener)

	f := &storePoller{receiver: r}

	var g run.Group
	g.Add(func() error { return r.drainAfter(ctx, inner, front, f) }, func(error) { cancel() })
	g.Add(func() error { return front.Serve(inner) }, func(error) { front.Close() })
	g.Add(func() error { return r.acceptLinks(inner) }, func(error) { _ = r.links.Close() })
	g.Add(func() error { return r.tick(inner) }, func(error) { cancel() })
	g.Add(func() error { return r.peers.run(inner) }, func(error) { cancel() })
	g.Add(func() error { return f.pollBundle(inner) }, func(error) { cancel() })
	g.Add(func() error { return f.pollRegistrations(inner) }, func(error) { cancel() })
	r.deps.Log.WithField("listen", r.listener.Addr().String()).Info("entry started")
	err := g.Run()
	r.deps.Log.Info("entry stopped")
	return err
}

// Addr returns where callers reach the entry.
func (r *Receiver) Addr() string { return r.listener.Addr().String() }

// LinkAddr returns where agents and other entries reach the entry.
func (r *Receiver) LinkAddr() string { return r.self.Link }

// drainOnShutdown waits for the planned stop, gives the partitions to the other
// entries and waits until every request has been answered.
func (r *Receiver) drainAfter(ctx, inner context.Context, front *announcer.GracefulServer, f *storePoller) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return nil
	}
	r.deps.Log.Info("entry draining")
	r.post(drain{})
	r.deps.Clock.Sleep(StopAcceptDelay)
	limit, cancel := context.WithTimeout(inner, DrainTimeout)
	defer cancel()
	if left := front.Drain(limit); left > 0 {
		r.deps.Log.WithField("in_flight", left).Warn("requests cut off by the drain limit")
	}
	r.awaitIdle(limit)
	if err := f.writeRegistration(limit, true); err != nil {
		r.deps.Log.WithError(err).Warn("departure not registered")
	}
	return nil
}

// awaitIdle waits until no job is unfinished here, or ctx ends.
func (r *Receiver) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		answer, err := r.ask(idleQuery{})
		if idle, ok := answer.(bool); err == nil && ok && idle {
			return
		}
		r.deps.Clock.Sleep(TickInterval)
	}
}

func (r *Receiver) acceptLinks(ctx context.Context) error {
	for {
		socket, err := r.links.Accept()
		if err != nil {
			return nil
		}
		courier.NewLink(ctx, socket, r)
	}
}

func (r *Receiver) tick(ctx context.Context) error {
	return announcer.Tick(ctx, r.deps.Clock, TickInterval, func() { r.post(tick{}) })
}

// post sends msg to the actor. It waits while the mailbox is full.
func (r *Receiver) post(msg any) { r.system.Root.Send(r.pid, msg) }

func (r *Receiver) ask(question any) (any, error) {
	return r.system.Root.RequestFuture(r.pid, question, askTimeout).Result()
}

// Receive implements courier.Handler for accepted links.
func (r *Receiver) Receive(l *courier.Link, msg any) {
	r.post(linkMessage{link: l, msg: msg})
}

// Closed implements courier.Handler for accepted links.
func (r *Receiver) Closed(l *courier.Link) { r.post(linkClosed{link: l}) }
