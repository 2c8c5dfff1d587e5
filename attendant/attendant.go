// Package attendant implements the agent process: it runs beside one worker, receives
// placements from entries over links, and applies the effects that an executor decides
// on. One actor owns the executor; everything else sends it typed messages through its
// bounded mailbox.
package attendant

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/announcer"
	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
)

const (
	// tickInterval is the time between two checks for due work.
	tickInterval = 20 * time.Millisecond
	// mailboxSize bounds the messages that wait for the actor.
	mailboxSize = 8192
	// askTimeout bounds the wait for the actor's answer to a query.
	askTimeout = time.Second
	// gracePeriodMargin is the part of the grace period that remains after the drain.
	gracePeriodMargin = 1500 * time.Millisecond
	// reportFlushDelay is the time after the drain in which the last reports reach the
	// entries.
	reportFlushDelay = 50 * time.Millisecond
	// tokensPerMillisecond spaces the fencing tokens of incarnations: the first token
	// of one is its start in Unix milliseconds times this, which is above all tokens
	// that an earlier one has used.
	tokensPerMillisecond = 1000
)

// WorkerClient calls the worker beside the agent.
type WorkerClient interface {
	Start(ctx context.Context, s executor.Start) (executor.CallResult, error)
	Stop(ctx context.Context, s executor.Stop) (executor.CallResult, error)
	Poll(ctx context.Context, p executor.Poll) (executor.PollResult, executor.CallResult, error)
	// ObserveClock records the clock reading of an incarnation of a worker, from its
	// heartbeat.
	ObserveClock(id string, born int64, clockMillis float64)
}

// Directory registers the agent where entries find it.
type Directory interface {
	// LastUpstream returns the worker that an earlier incarnation of the agent
	// registered.
	LastUpstream(ctx context.Context) (messenger.Upstream, error)
	// SetUpstream changes the worker that the next Renew registers.
	SetUpstream(u messenger.Upstream)
	// Renew renews the registration. It returns the time after which to call it
	// again, also with an error.
	Renew(ctx context.Context) (time.Duration, error)
	// Deregister removes the registration.
	Deregister(ctx context.Context) error
}

// Config configures one agent.
type Config struct {
	ID         string
	DataCentre string
	// LinkAddr is the address at which entries open links.
	LinkAddr string
	// ControlAddr is the address that receives the worker's heartbeats.
	ControlAddr string
	// MetricsAddr is the address that serves metrics and the state dump.
	MetricsAddr string
	// GracePeriod bounds a shutdown.
	GracePeriod time.Duration
	// DrainTimeout is how long tasks may still start on a worker after it has announced
	// that it drains.
	DrainTimeout time.Duration
}

// Attendant is one agent process.
type Attendant struct {
	deps      provider.Deps
	cfg       Config
	worker    WorkerClient
	directory Directory
	listeners struct{ link, control, metrics net.Listener }
	system    *actor.ActorSystem
	pid       *actor.PID
	identity  executor.Identity
	// ctx is set by Run and bounds the calls to the worker.
	ctx context.Context
	// upstreamUpdates holds the newest worker until it is registered.
	upstreamUpdates chan messenger.Upstream
}

// NewAttendant returns an agent whose listeners are open. It fails if an address cannot
// be listened on.
func NewAttendant(deps provider.Deps, cfg Config, w WorkerClient, d Directory) (*Attendant, error) {
	now := deps.Clock.Now()
	a := &Attendant{
		deps:            deps.WithField("agent", cfg.ID).WithField("data_centre", cfg.DataCentre),
		cfg:             cfg,
		worker:          w,
		directory:       d,
		upstreamUpdates: make(chan messenger.Upstream, 1),
		identity: executor.Identity{
			Agent:       cfg.ID,
			DataCentre:  cfg.DataCentre,
			Incarnation: now.UnixMilli(),
			Token:       uint64(now.UnixMilli()) * tokensPerMillisecond,
		},
	}
	list, err := announcer.Listen(
		announcer.Address{Setting: "Link", Addr: cfg.LinkAddr},
		announcer.Address{Setting: "Control", Addr: cfg.ControlAddr},
		announcer.Address{Setting: "Metrics", Addr: cfg.MetricsAddr},
	)
	if err != nil {
		return nil, err
	}
	a.listeners.link, a.listeners.control, a.listeners.metrics = list[0], list[1], list[2]
	a.system = announcer.NewActorSystem(a.deps)
	return a, nil
}

// Run serves until ctx ends. It then waits within the grace period until the present
// runs have ended, and returns.
func (a *Attendant) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.ctx = runCtx
	a.pid = a.system.Root.Spawn(actor.PropsFromProducer(
		func() actor.Actor { return newAgentActor(a) },
		actor.WithMailbox(actor.Bounded(mailboxSize)),
		actor.WithDispatcher(announcer.NewDispatcher(runCtx)),
	))
	defer a.system.Shutdown()
	control := &http.Server{Handler: platform.NewHeartbeatHandler(a), ReadHeaderTimeout: time.Second}
	metrics := &http.Server{Handler: announcer.NewMetricsHandler(a.deps, a), ReadHeaderTimeout: time.Second}

	var g run.Group
	g.Add(func() error { return a.drainOnShutdown(ctx, runCtx) }, func(error) { cancel() })
	g.Add(func() error { return announcer.Serve(control, a.listeners.control) }, func(error) { _ = control.Close() })
	g.Add(func() error { return announcer.Serve(metrics, a.listeners.metrics) }, func(error) { _ = metrics.Close() })
	g.Add(func() error { return a.acceptLinks(runCtx) }, func(error) { _ = a.listeners.link.Close() })
	g.Add(func() error { return a.tick(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return a.keepRegistered(runCtx) }, func(error) { cancel() })
	a.deps.Log.WithField("link", a.cfg.LinkAddr).WithField("token", a.identity.Token).Info("agent started")
	err := g.Run()
	a.deps.Log.Info("agent stopped")
	return err
}

// drainOnShutdown waits for ctx to end. It then makes the executor refuse new runs, waits
// until the present ones have ended or only gracePeriodMargin of the grace period
// remains, and deregisters the agent.
func (a *Attendant) drainOnShutdown(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}
	a.deps.Log.Info("agent draining")
	a.post(shutdown{})
	drainCtx, cancel := context.WithTimeout(runCtx, a.cfg.GracePeriod-gracePeriodMargin)
	defer cancel()
	for drainCtx.Err() == nil {
		if idle, err := a.ask(idleQuery{}); err == nil && idle == true {
			break
		}
		a.deps.Clock.Sleep(tickInterval)
	}
	a.deps.Clock.Sleep(reportFlushDelay)
	if err := a.directory.Deregister(runCtx); err != nil {
		a.deps.Log.WithError(err).Warn("agent not deregistered")
	}
	return nil
}

func (a *Attendant) acceptLinks(ctx context.Context) error {
	for {
		conn, err := a.listeners.link.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			a.deps.Log.WithError(err).Warn("link not accepted")
			a.deps.Clock.Sleep(tickInterval)
			continue
		}
		messenger.NewLink(conn, a)
	}
}

func (a *Attendant) tick(ctx context.Context) error {
	return announcer.Tick(ctx, a.deps.Clock, tickInterval, func() { a.post(tick{}) })
}

// keepRegistered keeps the agent and its worker registered in the directory until ctx
// ends. It first restores the worker that an earlier incarnation registered, if any.
func (a *Attendant) keepRegistered(ctx context.Context) error {
	up, err := a.directory.LastUpstream(ctx)
	lastError := announcer.LogDependency(a.deps, "store", "", err)
	if up.Born != 0 {
		a.post(upstreamRestored{upstream: up})
		a.directory.SetUpstream(up)
	}
	for {
		delay, err := a.directory.Renew(ctx)
		lastError = announcer.LogDependency(a.deps, "store", lastError, err)
		select {
		case <-ctx.Done():
			return nil
		case up := <-a.upstreamUpdates:
			a.directory.SetUpstream(up)
		case <-a.deps.Clock.After(delay):
		}
	}
}

// publishUpstream makes keepRegistered register u. It replaces an update that is still
// pending, and does not block.
func (a *Attendant) publishUpstream(u messenger.Upstream) {
	select {
	case <-a.upstreamUpdates:
	default:
	}
	a.upstreamUpdates <- u
}

// post sends msg to the actor. It blocks while the mailbox is full.
func (a *Attendant) post(msg any) { a.system.Root.Send(a.pid, msg) }

func (a *Attendant) ask(query any) (any, error) {
	return a.system.Root.RequestFuture(a.pid, query, askTimeout).Result()
}

// Dump implements announcer.Dumper.
func (a *Attendant) Dump() (any, error) { return a.ask(dumpQuery{}) }

// Receive implements messenger.Handler.
func (a *Attendant) Receive(l *messenger.Link, msg any) { a.post(linkMessage{link: l, msg: msg}) }

// Closed implements messenger.Handler.
func (a *Attendant) Closed(l *messenger.Link) { a.post(linkClosed{link: l}) }

// HandleHeartbeat implements platform.HeartbeatReceiver.
func (a *Attendant) HandleHeartbeat(h platform.Heartbeat) {
	// The heartbeat must not be acknowledged before the actor has processed it.
	if _, err := a.ask(heartbeat{h}); err != nil {
		a.deps.Log.WithError(err).Warn("heartbeat not processed in time")
	}
}

// HandleDeparture implements platform.HeartbeatReceiver.
func (a *Attendant) HandleDeparture(id string) { a.post(workerDeparted{id: id}) }

// HandleInvalid implements platform.HeartbeatReceiver.
func (a *Attendant) HandleInvalid(err error) {
	a.deps.Log.WithError(err).Warn("invalid heartbeat ignored")
}
