// Package supervisor implements the agent process: it runs beside one worker, receives
// placements from entries over links, and applies the effects that an executor decides
// on. One actor owns the executor; everything else sends it typed messages through its
// bounded mailbox. The package belongs to the deployment on the platform's machines
// (pomeloferry serve agent); package executor makes its decisions.
package supervisor

import (
	"context"
	"net"
	"time"

	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/server"
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
	// headerTimeout bounds the time to read the head of a request.
	headerTimeout = time.Second
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

// EvacuationReader reads what the operators have evacuated.
type EvacuationReader interface {
	// Evacuations returns the evacuated data centres, and the store's revision at which
	// they are.
	Evacuations(ctx context.Context) ([]string, int64, error)
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
	// EvacuationTimeout is how long after an evacuation tasks may still start in the data
	// centre.
	EvacuationTimeout time.Duration
	// Instance is what the process may take of its instance.
	Instance limiter.Instance
}

// Supervisor is one agent process.
type Supervisor struct {
	deps      provider.Deps
	cfg       Config
	worker    WorkerClient
	directory Directory
	operators EvacuationReader
	listeners struct{ link, control, metrics net.Listener }
	// owner is set by Run.
	owner    *server.Owner
	identity executor.Identity
	// ctx is set by Run and bounds the calls to the worker.
	ctx context.Context
	// upstreamUpdates holds the newest worker until it is registered.
	upstreamUpdates chan messenger.Upstream
	// evacuationReads holds a request for a read of the evacuations until it begins.
	evacuationReads chan struct{}
}

// NewSupervisor returns an agent whose listeners are open. It fails if an address cannot
// be listened on.
func NewSupervisor(deps provider.Deps, cfg Config, w WorkerClient, d Directory, o EvacuationReader) (*Supervisor, error) {
	now := deps.Clock.Now()
	s := &Supervisor{
		deps:            deps.WithField("agent", cfg.ID).WithField("data_centre", cfg.DataCentre),
		cfg:             cfg,
		worker:          w,
		directory:       d,
		operators:       o,
		upstreamUpdates: make(chan messenger.Upstream, 1),
		evacuationReads: make(chan struct{}, 1),
		identity: executor.Identity{
			Agent:       cfg.ID,
			DataCentre:  cfg.DataCentre,
			Incarnation: now.UnixMilli(),
			Token:       uint64(now.UnixMilli()) * tokensPerMillisecond,
		},
	}
	list, err := server.Listen(
		server.Address{Setting: "Link", Addr: cfg.LinkAddr},
		server.Address{Setting: "Control", Addr: cfg.ControlAddr},
		server.Address{Setting: "Metrics", Addr: cfg.MetricsAddr},
	)
	if err != nil {
		return nil, err
	}
	const share = 50 // Of the links, and of the worker's heartbeats.
	s.listeners.link = limiter.NewPool(s.deps, cfg.Instance.MessageConfig("links", 1, share)).Listener(list[0])
	s.listeners.control = limiter.NewPool(s.deps, cfg.Instance.MainConfig("heartbeats", 1, share)).Listener(list[1])
	s.listeners.metrics = limiter.NewPool(s.deps, cfg.Instance.OperatorConfig("metrics")).Listener(list[2])
	return s, nil
}

// Run serves until ctx ends. It then waits within the grace period until the present
// runs have ended, and returns.
func (s *Supervisor) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.ctx = runCtx
	s.owner = server.StartOwner(s.deps, server.OwnerConfig{
		Process:     "agent",
		MailboxSize: mailboxSize,
		AskTimeout:  askTimeout,
		OnlyReads:   onlyReads,
		Dispatcher:  server.NewDispatcher(runCtx),
	}, newAgentActor(s))
	defer s.owner.Stop()
	control := limiter.NewServer(platform.NewHeartbeatHandler(s), headerTimeout)
	metrics := limiter.NewServer(server.NewMetricsHandler(s.deps, s), headerTimeout)

	var g run.Group
	g.Add(func() error { return s.drainOnShutdown(ctx, runCtx) }, func(error) { cancel() })
	g.Add(func() error { return s.owner.Wait(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return server.Serve(control, s.listeners.control) }, func(error) { _ = control.Close() })
	g.Add(func() error { return server.Serve(metrics, s.listeners.metrics) }, func(error) { _ = metrics.Close() })
	g.Add(func() error { return s.acceptLinks(runCtx) }, func(error) { _ = s.listeners.link.Close() })
	g.Add(func() error { return s.tick(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return s.keepRegistered(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return s.readEvacuations(runCtx) }, func(error) { cancel() })
	s.deps.Log.WithField("link", s.cfg.LinkAddr).WithField("token", s.identity.Token).Info("agent started")
	err := g.Run()
	s.deps.Log.Info("agent stopped")
	return err
}

// drainOnShutdown waits for ctx to end. It then makes the executor refuse new runs, waits
// until the present ones have ended or only gracePeriodMargin of the grace period
// remains, and deregisters the agent.
func (s *Supervisor) drainOnShutdown(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}
	s.deps.Log.Info("agent draining")
	s.post(shutdown{})
	drainCtx, cancel := context.WithTimeout(runCtx, s.cfg.GracePeriod-gracePeriodMargin)
	defer cancel()
	for drainCtx.Err() == nil {
		if idle, err := s.ask(idleQuery{}); err == nil && idle == true {
			break
		}
		s.deps.Clock.Sleep(tickInterval)
	}
	s.deps.Clock.Sleep(reportFlushDelay)
	if err := s.directory.Deregister(runCtx); err != nil {
		s.deps.Log.WithError(err).Warn("agent not deregistered")
	}
	return nil
}

func (s *Supervisor) acceptLinks(ctx context.Context) error {
	for {
		conn, err := s.listeners.link.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			s.deps.Log.WithError(err).Warn("link not accepted")
			s.deps.Clock.Sleep(tickInterval)
			continue
		}
		messenger.NewLink(conn, s)
	}
}

func (s *Supervisor) tick(ctx context.Context) error {
	return server.Tick(ctx, s.deps.Clock, tickInterval, func() { s.post(tick{}) })
}

// keepRegistered keeps the agent and its worker registered in the directory until ctx
// ends. It first restores the worker that an earlier incarnation registered, if any.
func (s *Supervisor) keepRegistered(ctx context.Context) error {
	up, err := s.directory.LastUpstream(ctx)
	lastError := server.LogDependency(s.deps, "store", "", err)
	if up.Born != 0 {
		s.post(upstreamRestored{upstream: up})
		s.directory.SetUpstream(up)
	}
	for {
		delay, err := s.directory.Renew(ctx)
		lastError = server.LogDependency(s.deps, "store", lastError, err)
		s.post(storeCalled{answered: err == nil})
		select {
		case <-ctx.Done():
			return nil
		case up := <-s.upstreamUpdates:
			s.directory.SetUpstream(up)
		case <-s.deps.Clock.After(delay):
		}
	}
}

// readEvacuations reads the evacuations from the store at the start and whenever the executor
// asks for it, until ctx ends.
func (s *Supervisor) readEvacuations(ctx context.Context) error {
	for {
		beganAt := s.deps.Clock.Now()
		dataCentres, revision, err := s.operators.Evacuations(ctx)
		if err != nil {
			s.deps.Log.WithError(err).Warn("evacuations not read")
			s.post(evacuationsUnread{})
		} else {
			s.post(evacuationsRead{view: evacuator.NewView(revision, dataCentres, beganAt)})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.evacuationReads:
		}
	}
}

// requestEvacuations makes readEvacuations read them again. It does not block.
func (s *Supervisor) requestEvacuations() {
	select {
	case s.evacuationReads <- struct{}{}:
	default:
	}
}

// publishUpstream makes keepRegistered register u. It replaces an update that is still
// pending, and does not block.
func (s *Supervisor) publishUpstream(u messenger.Upstream) {
	select {
	case <-s.upstreamUpdates:
	default:
	}
	s.upstreamUpdates <- u
}

// post sends msg to the actor. It blocks while the mailbox is full.
func (s *Supervisor) post(msg any) { s.owner.Post(msg) }

func (s *Supervisor) ask(query any) (any, error) { return s.owner.Ask(query) }

// Dump implements server.Dumper.
func (s *Supervisor) Dump() (any, error) { return s.ask(dumpQuery{}) }

// Receive implements messenger.Handler.
func (s *Supervisor) Receive(l *messenger.Link, msg any) { s.post(linkMessage{link: l, msg: msg}) }

// Closed implements messenger.Handler.
func (s *Supervisor) Closed(l *messenger.Link) { s.post(linkClosed{link: l}) }

// HandleHeartbeat implements platform.HeartbeatReceiver.
func (s *Supervisor) HandleHeartbeat(h platform.Heartbeat) bool {
	followed, err := s.ask(heartbeat{h})
	if err != nil {
		s.deps.Log.WithError(err).Warn("heartbeat not processed in time")
	}
	return err == nil && followed == true
}

// HandleDeparture implements platform.HeartbeatReceiver.
func (s *Supervisor) HandleDeparture(id string) { s.post(workerDeparted{id: id}) }

// HandleInvalid implements platform.HeartbeatReceiver.
func (s *Supervisor) HandleInvalid(err error) {
	s.deps.Log.WithError(err).Warn("invalid heartbeat ignored")
}
