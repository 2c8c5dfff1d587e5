// Package receiver implements the entry process. It accepts callers' requests over HTTP,
// forwards each to the entry that owns its partition, and applies the decisions of a
// dispatcher.Dispatcher on the submissions owned here. One actor owns the dispatcher and
// the view of the other entries; everything else sends it typed messages through its
// bounded mailbox. The package belongs to the deployment described by a settings file
// (pomeloferry entry); package dispatcher makes its decisions on submissions.
package receiver

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/server"
)

const (
	// TickInterval is the interval between checks for due work.
	TickInterval = 20 * time.Millisecond
	// StopAcceptDelay is how long an entry in a planned stop still accepts connections,
	// so that the balancer can stop sending requests to it.
	StopAcceptDelay = time.Second
	// DrainTimeout limits how long a planned stop waits for requests in flight.
	DrainTimeout = 65 * time.Second
	// mailboxSize is the maximum number of messages queued for the actor.
	mailboxSize = 16384
	// askTimeout limits the wait for the actor's answer to a query.
	askTimeout = 2 * time.Second
	// callersShare, linksShare and jobsShare divide the memory that the entry does not
	// need for itself, in percent.
	callersShare = 30
	linksShare   = 50
	jobsShare    = 20
	// headerTimeout limits the time to read the head of a request.
	headerTimeout = 5 * time.Second
)

// Store is the part of the platform's key-value service that an entry uses.
type Store interface {
	Get(ctx context.Context, key string) (keeper.Pair, error)
	List(ctx context.Context, prefix string) ([]keeper.Pair, error)
	Put(ctx context.Context, key string, value []byte) error
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, also ...keeper.Pair) (bool, error)
}

// Config holds the settings of one entry.
type Config struct {
	ID         string
	DataCentre string
	// Listen is the address at which callers and operators reach the entry.
	Listen string
	// Link is the address at which agents and other entries reach it.
	Link string
	// Peers lists the link addresses of some other entries. Those of the others are
	// learned from the store and from these.
	Peers []string
	// Trust maps those who may approve bundles to their public keys.
	Trust approver.ApproverKeys
	// Seed is the seed of random choices, which makes them repeatable.
	Seed uint64
	// Placement and Order are the policies; nil selects the defaults.
	Placement dispatcher.Placement
	Order     dispatcher.Order
	// Instance is what the process may take of its instance.
	Instance limiter.Instance
}

// Receiver is one entry process.
type Receiver struct {
	deps         provider.Deps
	cfg          Config
	store        Store
	listener     net.Listener
	linkListener net.Listener
	self         courier.EntryInfo
	// owner is set by Run.
	owner *server.Owner
	peers *peerSet
	// inFlight is the number of submissions in flight.
	inFlight atomic.Int64
}

// NewReceiver returns an entry that listens on cfg.Listen and cfg.Link, but does not serve
// yet.
func NewReceiver(deps provider.Deps, cfg Config, store Store) (*Receiver, error) {
	listener, err := limiter.Listen(cfg.Listen)
	if err != nil {
		return nil, &Error{Op: "Listen", Kind: Unusable, Err: err}
	}
	linkListener, err := limiter.Listen(cfg.Link)
	if err != nil {
		_ = listener.Close()
		return nil, &Error{Op: "Link", Kind: Unusable, Err: err}
	}
	r := &Receiver{
		deps:         deps.WithField("entry", cfg.ID).WithField("data_centre", cfg.DataCentre),
		cfg:          cfg,
		store:        store,
		listener:     limiter.NewPool(deps, cfg.Instance.MainConfig("callers", 0, callersShare)).Listener(listener),
		linkListener: limiter.NewPool(deps, cfg.Instance.MessageConfig("links", 0, linksShare)).Listener(linkListener),
		self:         courier.EntryInfo{ID: cfg.ID, Link: linkListener.Addr().String()},
	}
	r.peers = newPeerSet(r)
	return r, nil
}

// Run serves until ctx ends, then hands its partitions over and returns when every
// request in flight has been answered, or after DrainTimeout.
func (r *Receiver) Run(ctx context.Context) error {
	r.owner = server.StartOwner(r.deps, server.OwnerConfig{
		Process:     "entry",
		MailboxSize: mailboxSize,
		AskTimeout:  askTimeout,
		OnlyReads:   onlyReads,
	}, newEntryActor(r.deps, r.cfg, r.self, r.peers.setEntries))
	defer r.owner.Stop()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	httpServer := server.NewGracefulServer(r.deps.Clock, limiter.NewServer(r.handler(), headerTimeout), r.listener)

	poller := &storePoller{receiver: r}

	var g run.Group
	g.Add(func() error { return r.drainOnShutdown(ctx, inner, httpServer, poller) }, func(error) { cancel() })
	g.Add(func() error { return r.owner.Wait(inner) }, func(error) { cancel() })
	g.Add(func() error { return httpServer.Serve(inner) }, func(error) { httpServer.Close() })
	g.Add(func() error { return r.acceptLinks(inner) }, func(error) { _ = r.linkListener.Close() })
	g.Add(func() error { return r.tick(inner) }, func(error) { cancel() })
	g.Add(func() error { return r.peers.run(inner) }, func(error) { cancel() })
	g.Add(func() error { return poller.pollBundle(inner) }, func(error) { cancel() })
	g.Add(func() error { return poller.pollRegistrations(inner) }, func(error) { cancel() })
	r.deps.Log.WithField("listen", r.listener.Addr().String()).Info("entry started")
	err := g.Run()
	r.deps.Log.Info("entry stopped")
	return err
}

// Addr returns the address at which callers reach the entry.
func (r *Receiver) Addr() string { return r.listener.Addr().String() }

// LinkAddr returns the address at which agents and other entries reach the entry.
func (r *Receiver) LinkAddr() string { return r.self.Link }

// drainOnShutdown begins a planned stop when ctx ends: it hands the partitions over to the
// other entries, waits until every request has been answered, and registers this entry as
// stopped. It returns early if inner ends first.
func (r *Receiver) drainOnShutdown(ctx, inner context.Context, httpServer *server.GracefulServer, poller *storePoller) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return nil
	}
	r.deps.Log.Info("entry draining")
	r.post(drain{})
	r.deps.Clock.Sleep(StopAcceptDelay)
	drainCtx, cancel := context.WithTimeout(inner, DrainTimeout)
	defer cancel()
	if remaining := httpServer.Drain(drainCtx); remaining > 0 {
		r.deps.Log.WithField("in_flight", remaining).Warn("requests aborted at the drain timeout")
	}
	r.awaitIdle(drainCtx)
	if err := poller.writeRegistration(drainCtx, true); err != nil {
		r.deps.Log.WithError(err).Warn("planned stop not registered")
	}
	return nil
}

// awaitIdle waits until every job here has finished, or ctx ends.
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
		socket, err := r.linkListener.Accept()
		if err != nil {
			return nil
		}
		courier.NewLink(ctx, socket, r)
	}
}

func (r *Receiver) tick(ctx context.Context) error {
	return server.Tick(ctx, r.deps.Clock, TickInterval, func() { r.post(tick{}) })
}

// post sends msg to the actor. It waits while the mailbox is full.
func (r *Receiver) post(msg any) { r.owner.Post(msg) }

func (r *Receiver) ask(question any) (any, error) { return r.owner.Ask(question) }

// Receive implements courier.Handler for accepted links.
func (r *Receiver) Receive(l *courier.Link, msg any) {
	r.post(linkMessage{link: l, msg: msg})
}

// Closed implements courier.Handler for accepted links.
func (r *Receiver) Closed(l *courier.Link) { r.post(linkClosed{link: l}) }
