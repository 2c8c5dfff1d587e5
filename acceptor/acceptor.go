// Package acceptor implements the entry process: it accepts callers' requests, keeps
// links to the agents, follows the operators' directives, and applies the effects that
// a scheduler decides on. One actor owns the scheduler; everything else sends it typed
// messages through its bounded mailbox. The package belongs to the deployment on the
// platform's machines (pomeloferry serve entry); package scheduler makes its
// decisions.
package acceptor

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
	"github.com/pomeloferry/pomeloferry/server"
)

const (
	// tickInterval is the time between two checks for due work.
	tickInterval = 10 * time.Millisecond
	// mailboxSize bounds the messages that wait for the actor.
	mailboxSize = 8192
	// askTimeout bounds the wait for the actor's answer to a query.
	askTimeout = time.Second
	// gracePeriodMargin is the part of the grace period that remains after the drain.
	gracePeriodMargin = 700 * time.Millisecond
	// deregistrationDelay is how long an entry that shuts down still accepts
	// connections, so that the balancer can stop sending requests to it.
	deregistrationDelay = 3200 * time.Millisecond
	// headerTimeout bounds the time to read the head of a request.
	headerTimeout = 3 * time.Second
)

// Store is the part of the platform's store that an entry uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Item, int64, error)
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]platform.Item, int64, error)
	ReplaceWitnessList(ctx context.Context, l messenger.WitnessList, revision int64) error
}

// Config configures one entry.
type Config struct {
	ID         string
	DataCentre string
	// FrontAddr is the address that serves callers.
	FrontAddr string
	// ReadyAddr is the address that serves the balancer's readiness checks.
	ReadyAddr string
	// MetricsAddr is the address that serves metrics and the state dump.
	MetricsAddr string
	// GracePeriod bounds a shutdown.
	GracePeriod time.Duration
	// FarFactor is the factor by which a task takes longer away from its data; 0 or
	// 1 means that this makes no difference.
	FarFactor float64
	// Instance is what the process may take of its instance.
	Instance limiter.Instance
}

// Acceptor is one entry process.
type Acceptor struct {
	deps        provider.Deps
	cfg         Config
	store       Store
	incarnation int64
	listeners   struct{ front, ready, metrics net.Listener }
	// owner is set by Run.
	owner *server.Owner
	// configuration is the one in force; nil before the first one.
	configuration atomic.Pointer[scheduler.Configuration]
	inForce       inForce
	// witnessList is the list of witnesses in force; nil before the first one.
	witnessList atomic.Pointer[messenger.WitnessList]
	// keptWitnesses are the scheduler.WitnessesChanged.Kept of that list.
	keptWitnesses atomic.Pointer[[]string]
	// firstReadDone is closed when the first read of the operators' directives has
	// succeeded or failed.
	firstReadDone chan struct{}
	// quorumLost is whether the entry has been out of contact with most witnesses for long.
	quorumLost atomic.Bool
	// hasLinks is whether a link to an agent is open.
	hasLinks atomic.Bool
	// shutdownDeadline is when the drain of a shutdown ends, in Unix nanoseconds; zero
	// before a shutdown.
	shutdownDeadline atomic.Int64
	lastTicket       atomic.Uint64
	inFlight         atomic.Int64
	metrics          entryMetrics
	lag              lag
}

// CallerLimits returns the bounds of the connections of callers.
func CallerLimits(i limiter.Instance) limiter.Config {
	const operatorListeners = 2 // The readiness check and the metrics.
	return i.MainConfig("callers", operatorListeners, 100)
}

// NewAcceptor returns an entry whose listeners are open. It fails if an address cannot
// be listened on.
func NewAcceptor(deps provider.Deps, cfg Config, store Store) (*Acceptor, error) {
	a := &Acceptor{
		deps:          deps.WithField("entry", cfg.ID).WithField("data_centre", cfg.DataCentre),
		cfg:           cfg,
		store:         store,
		firstReadDone: make(chan struct{}),
		incarnation:   deps.Clock.Now().UnixMilli(),
		metrics:       newEntryMetrics(deps.Metrics),
		lag:           lag{clock: deps.Clock},
	}
	list, err := server.Listen(
		server.Address{Setting: "Front", Addr: cfg.FrontAddr},
		server.Address{Setting: "Ready", Addr: cfg.ReadyAddr},
		server.Address{Setting: "Metrics", Addr: cfg.MetricsAddr},
	)
	if err != nil {
		return nil, err
	}
	callers := CallerLimits(cfg.Instance)
	callers.MaxHeadBytes = a.maxHeadBytes
	a.listeners.front = limiter.NewPool(a.deps, callers).Listener(list[0])
	a.listeners.ready = limiter.NewPool(a.deps, cfg.Instance.OperatorConfig("ready")).Listener(list[1])
	a.listeners.metrics = limiter.NewPool(a.deps, cfg.Instance.OperatorConfig("metrics")).Listener(list[2])
	return a, nil
}

// Run serves until ctx ends. It then waits within the grace period until the requests in
// flight have been answered, and returns.
func (a *Acceptor) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	links := newLinkSet(a)
	a.owner = a.startOwner(runCtx, newEntryActor(a))
	defer a.owner.Stop()
	front := server.NewGracefulServer(a.deps.Clock, limiter.NewServer(platform.NewJobHandler(a.deps.Clock, a), headerTimeout), a.listeners.front)
	ready := limiter.NewServer(platform.NewReadyHandler(a.isReady), headerTimeout)
	metrics := limiter.NewServer(server.NewMetricsHandler(a.deps, a), headerTimeout)

	var g run.Group
	g.Add(func() error { return a.drainOnShutdown(ctx, runCtx, front) }, func(error) { cancel() })
	g.Add(func() error { return a.owner.Wait(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return front.Serve(runCtx) }, func(error) { front.Close() })
	g.Add(func() error { return server.Serve(ready, a.listeners.ready) }, func(error) { _ = ready.Close() })
	g.Add(func() error { return server.Serve(metrics, a.listeners.metrics) }, func(error) { _ = metrics.Close() })
	g.Add(func() error { return a.tick(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return newDirectives(a).follow(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return links.follow(runCtx) }, func(error) { cancel() })
	a.deps.Log.WithField("front", a.cfg.FrontAddr).Info("entry started")
	err := g.Run()
	a.deps.Log.Info("entry stopped")
	return err
}

// startOwner starts the actor that owns the entry's state.
func (a *Acceptor) startOwner(ctx context.Context, entry actor.Actor) *server.Owner {
	return server.StartOwner(a.deps, server.OwnerConfig{
		Process:     "entry",
		MailboxSize: mailboxSize,
		AskTimeout:  askTimeout,
		OnlyReads:   onlyReads,
		Dispatcher:  server.NewDispatcher(ctx),
	}, entry)
}

// isReady reports whether the balancer should send callers to this entry: it is not
// shutting down, has a configuration, a link to an agent and witnesses, most of which it has
// heard of lately, and its actor goes on.
func (a *Acceptor) isReady() bool {
	return !a.Stopping() && a.configuration.Load() != nil && a.witnessList.Load() != nil && a.hasLinks.Load() && !a.quorumLost.Load() &&
		!a.owner.Failed() && a.lag.current() < maxReadyLag
}

// drainOnShutdown waits for ctx to end. It then makes the readiness check fail, waits
// for the balancer to notice, and waits until every request has been answered or only
// gracePeriodMargin of the grace period remains.
func (a *Acceptor) drainOnShutdown(ctx, runCtx context.Context, front *server.GracefulServer) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}
	a.shutdownDeadline.Store(a.deps.Clock.Now().Add(a.cfg.GracePeriod - gracePeriodMargin).UnixNano())
	a.deps.Log.WithField("in_flight", a.inFlight.Load()).Info("entry draining")
	drainCtx, cancel := context.WithTimeout(runCtx, a.cfg.GracePeriod-gracePeriodMargin)
	defer cancel()
	a.deps.Clock.Sleep(deregistrationDelay)
	if remaining := front.Drain(drainCtx); remaining > 0 {
		a.deps.Log.WithField("in_flight", remaining).Warn("requests aborted at the end of the grace period")
	}
	return nil
}

func (a *Acceptor) tick(ctx context.Context) error {
	return server.Tick(ctx, a.deps.Clock, tickInterval, func() { a.post(tick{sentAt: a.deps.Clock.Now()}) })
}

// post sends msg to the actor. It blocks while the mailbox is full.
func (a *Acceptor) post(msg any) { a.owner.Post(msg) }

func (a *Acceptor) ask(query any) (any, error) { return a.owner.Ask(query) }

// Dump implements server.Dumper.
func (a *Acceptor) Dump() (any, error) { return a.ask(dumpQuery{}) }
