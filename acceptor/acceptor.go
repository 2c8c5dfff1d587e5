// Package acceptor is the entry process: it takes callers' requests, keeps
// links to the agents, follows the operators' directives, and carries out what
// a scheduler decides. One actor owns the scheduler; everything else sends it
// typed messages through its bounded mailbox.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/announcer"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// tickInterval is the time between two looks at what has come due.
	tickInterval = 10 * time.Millisecond
	// mailboxSize bounds the messages that wait for the actor.
	mailboxSize = 8192
	// askTimeout bounds the wait for the actor's answer to a question.
	askTimeout = time.Second
	// gracePeriodMargin is what a planned stop leaves of the time it has.
	gracePeriodMargin = 700 * time.Millisecond
	// deregistrationDelay is how long a stopping entry still takes connections, so that
	// the balancer can turn away from it.
	deregistrationDelay = 3200 * time.Millisecond
	// idleConnTimeout closes callers' connections that are not used.
	idleConnTimeout = 2 * time.Minute
	headerTimeout   = 3 * time.Second
)

// Store is what an entry needs of the platform's store.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Item, int64, error)
	Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]platform.Item, int64, error)
}

// Config describes one entry.
type Config struct {
	ID         string
	DataCentre string
	// FrontAddr is where callers arrive.
	FrontAddr string
	// ReadyAddr is where the balancer asks.
	ReadyAddr string
	// MetricsAddr is where metrics and the state dump are served.
	MetricsAddr string
	// GracePeriod bounds a planned stop.
	GracePeriod time.Duration
	// MinResendDelay is the least time after which a caller that got no answer sends
	// its job again.
	MinResendDelay time.Duration
	// FarFactor is how many times as long a task takes away from its data; 0 or 1
	// means that this makes no difference.
	FarFactor float64
}

// Acceptor is one entry process.
type Acceptor struct {
	deps        provider.Deps
	cfg         Config
	store       Store
	incarnation int64
	listeners   struct{ front, ready, metrics net.Listener }
	system      *actor.ActorSystem
	pid         *actor.PID
	// configuration is the one in force; nil before the first.
	configuration atomic.Pointer[scheduler.Configuration]
	// firstReadDone is closed when the first read of the operators' directives has an
	// outcome.
	firstReadDone chan struct{}
	// hasLinks is whether a worker can be reached.
	hasLinks atomic.Bool
	// shutdownDeadline is when a planned stop ends, in Unix nanoseconds; zero before one.
	shutdownDeadline atomic.Int64
	lastTicket       atomic.Uint64
	inFlight         atomic.Int64
	metrics          entryMetrics
	lag              lag
}

// NewAcceptor returns an entry that listens already.
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
	list, err := announcer.Listen(
		announcer.Address{Setting: "Front", Addr: cfg.FrontAddr},
		announcer.Address{Setting: "Ready", Addr: cfg.ReadyAddr},
		announcer.Address{Setting: "Metrics", Addr: cfg.MetricsAddr},
	)
	if err != nil {
		return nil, err
	}
	a.listeners.front, a.listeners.ready, a.listeners.metrics = list[0], list[1], list[2]
	a.system = announcer.NewActorSystem(a.deps)
	return a, nil
}

// Run serves until ctx ends, then answers every request in flight and stops.
func (a *Acceptor) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	links := newLinkSet(a)
	a.pid = a.system.Root.Spawn(actor.PropsFromProducer(
		func() actor.Actor { return newEntryActor(a) },
		actor.WithMailbox(actor.Bounded(mailboxSize)),
		actor.WithDispatcher(announcer.NewDispatcher(runCtx)),
	))
	defer a.system.Shutdown()
	front := announcer.NewGracefulServer(a.deps.Clock, &http.Server{
		Handler:           platform.NewJobHandler(a.deps.Clock, a),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleConnTimeout,
		ConnContext:       announcer.ContextWithConn,
	}, a.listeners.front)
	ready := &http.Server{Handler: platform.NewReadyHandler(a.isReady), ReadHeaderTimeout: headerTimeout}
	metrics := &http.Server{Handler: announcer.NewMetricsHandler(a.deps, a), ReadHeaderTimeout: headerTimeout}

	var g run.Group
	g.Add(func() error { return a.drainOnShutdown(ctx, runCtx, front) }, func(error) { cancel() })
	g.Add(func() error { return front.Serve(runCtx) }, func(error) { front.Close() })
	g.Add(func() error { return announcer.Serve(ready, a.listeners.ready) }, func(error) { _ = ready.Close() })
	g.Add(func() error { return announcer.Serve(metrics, a.listeners.metrics) }, func(error) { _ = metrics.Close() })
	g.Add(func() error { return a.tick(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return newDirectives(a).follow(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return links.follow(runCtx) }, func(error) { cancel() })
	a.deps.Log.WithField("front", a.cfg.FrontAddr).Info("entry started")
	if a.cfg.MinResendDelay < scheduler.AgentLossTimeout {
		a.deps.Log.WithField("resend", a.cfg.MinResendDelay.String()).WithField("needed", scheduler.AgentLossTimeout.String()).
			Warn("callers may send jobs again while runs of a lost entry go on")
	}
	err := g.Run()
	a.deps.Log.Info("entry stopped")
	return err
}

// isReady reports whether callers are better served here than elsewhere.
func (a *Acceptor) isReady() bool {
	return !a.Stopping() && a.configuration.Load() != nil && a.hasLinks.Load()
}

// drainOnShutdown waits for the planned stop, turns the balancer away, and waits
// until every request has been answered.
func (a *Acceptor) drainOnShutdown(ctx, runCtx context.Context, front *announcer.GracefulServer) error {
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
		a.deps.Log.WithField("in_flight", remaining).Warn("requests cut off by the end of the grace period")
	}
	return nil
}

func (a *Acceptor) tick(ctx context.Context) error {
	return announcer.Tick(ctx, a.deps.Clock, tickInterval, func() { a.post(tick{sentAt: a.deps.Clock.Now()}) })
}

// post sends msg to the actor. It waits while the mailbox is full.
func (a *Acceptor) post(msg any) { a.system.Root.Send(a.pid, msg) }

func (a *Acceptor) ask(query any) (any, error) {
	return a.system.Root.RequestFuture(a.pid, query, askTimeout).Result()
}

// Dump implements announcer.Dumper.
func (a *Acceptor) Dump() (any, error) { return a.ask(dumpQuery{}) }
