// Package agent implements the process that runs beside each upstream. It receives the
// upstream's announcements, keeps links to the entries, and starts the tasks that a
// starter.Ledger admits. One actor owns the ledger; the links, the runner of tasks and the
// HTTP API send it typed messages through its bounded mailbox. The package belongs to
// the deployment described by a settings file (pomeloferry agent); package starter
// makes its decisions.
package agent

import (
	"context"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/server"
	"github.com/pomeloferry/pomeloferry/starter"
)

const (
	// HeartbeatInterval is the interval between heartbeats to an entry.
	HeartbeatInterval = 500 * time.Millisecond
	// TickInterval is the interval between checks for expired state and due dials.
	TickInterval = 100 * time.Millisecond
	// UpstreamTimeout is how long an upstream counts as present after its last
	// announcement.
	UpstreamTimeout = 2 * time.Second
	// DrainTimeout limits how long a planned stop waits for running tasks.
	DrainTimeout = 65 * time.Second
	// drainPollInterval is the interval between checks whether a drain is complete.
	drainPollInterval = 20 * time.Millisecond
	// mailboxSize is the maximum number of messages queued for the actor.
	mailboxSize = 4096
	// askTimeout limits the wait for the actor's answer to a query.
	askTimeout = 2 * time.Second
	// headerTimeout limits the time to read the head of a request.
	headerTimeout = 5 * time.Second
)

// Config holds the settings of one agent.
type Config struct {
	ID         string
	DataCentre string
	Rack       string
	// Listen is the address at which the upstream and operators reach the agent.
	Listen string
	// Entries lists the link addresses of some entries. The agent learns those of the
	// others from these.
	Entries []string
	// Instance is what the process may take of its instance.
	Instance limiter.Instance
}

// Agent is one agent process.
type Agent struct {
	deps     provider.Deps
	cfg      Config
	listener net.Listener
	identity starter.Identity
	// owner is set by Run.
	owner  *server.Owner
	links  *linkSet
	runner *runner
	stop   chan struct{}
}

// NewAgent returns an agent that listens on cfg.Listen, but does not serve yet.
func NewAgent(deps provider.Deps, cfg Config) (*Agent, error) {
	listener, err := limiter.Listen(cfg.Listen)
	if err != nil {
		return nil, &Error{Op: "Listen", Kind: Unusable, Err: err}
	}
	deps = deps.WithField("agent", cfg.ID).WithField("data_centre", cfg.DataCentre)
	a := &Agent{
		deps:     deps,
		cfg:      cfg,
		listener: limiter.NewPool(deps, cfg.Instance.MainConfig("upstream", 0, 100)).Listener(listener),
		identity: starter.Identity{
			Agent:       cfg.ID,
			Incarnation: uuid.NewString(),
			DataCentre:  cfg.DataCentre,
			Rack:        cfg.Rack,
		},
		stop: make(chan struct{}),
	}
	a.runner = newRunner(deps, a.post)
	a.links = newLinkSet(a)
	return a, nil
}

// Run serves until ctx ends, then drains: running tasks finish and their results reach
// the owners before the links close, within DrainTimeout.
func (a *Agent) Run(ctx context.Context) error {
	a.owner = server.StartOwner(a.deps, server.OwnerConfig{
		Process:     "agent",
		MailboxSize: mailboxSize,
		AskTimeout:  askTimeout,
		OnlyReads:   onlyReads,
	}, newLedgerActor(a))
	defer a.owner.Stop()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	httpServer := limiter.NewServer(a.handler(), headerTimeout)

	var g run.Group
	g.Add(func() error { return a.drainOnShutdown(ctx, inner) }, func(error) { cancel() })
	g.Add(func() error { return a.owner.Wait(inner) }, func(error) { cancel() })
	g.Add(func() error { return server.Serve(httpServer, a.listener) }, func(error) { _ = httpServer.Close() })
	g.Add(func() error { return a.tick(inner) }, func(error) { cancel() })
	g.Add(func() error { return a.links.run(inner) }, func(error) { cancel() })
	a.deps.Log.WithField("listen", a.listener.Addr().String()).Info("agent started")
	err := g.Run()
	a.deps.Log.Info("agent stopped")
	return err
}

// drainOnShutdown begins a planned stop when ctx ends, and returns when the ledger is idle or
// DrainTimeout has passed. It returns early if inner ends first.
func (a *Agent) drainOnShutdown(ctx, inner context.Context) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return nil
	}
	a.deps.Log.Info("agent draining")
	a.post(drain{})
	timeout := a.deps.Clock.After(DrainTimeout)
	for {
		answer, err := a.ask(idleQuery{})
		if idle, ok := answer.(bool); err == nil && ok && idle {
			return nil
		}
		select {
		case <-timeout:
			return nil
		case <-a.deps.Clock.After(drainPollInterval):
		}
	}
}

func (a *Agent) tick(ctx context.Context) error {
	return server.Tick(ctx, a.deps.Clock, TickInterval, func() { a.post(tick{}) })
}

// post sends msg to the ledger's actor. It waits while the mailbox is full.
func (a *Agent) post(msg any) { a.owner.Post(msg) }

func (a *Agent) ask(question any) (any, error) { return a.owner.Ask(question) }

// Receive implements courier.Handler for links to entries.
func (a *Agent) Receive(l *courier.Link, msg any) {
	a.post(linkMessage{link: l, msg: msg})
}

// Closed implements courier.Handler.
func (a *Agent) Closed(l *courier.Link) {
	a.post(linkClosed{link: l})
	a.links.linkClosed(l)
}

// Addr returns the address at which the upstream and operators reach the agent.
func (a *Agent) Addr() string { return a.listener.Addr().String() }
