package commander

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/pomeloferry/pomeloferry/agent"
	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/receiver"
	"github.com/pomeloferry/pomeloferry/server"
	"github.com/pomeloferry/pomeloferry/storer"
	"github.com/pomeloferry/pomeloferry/worker"
)

const (
	// headerTimeout bounds the time to read the head of a request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout is the maximum time for which an emulated upstream finishes its
	// last tasks.
	shutdownTimeout = 65 * time.Second
)

// limitMemory sets the soft limit of the Go runtime's memory, and returns i.
func limitMemory(i limiter.Instance) limiter.Instance {
	debug.SetMemoryLimit(i.GoMemoryBytes())
	return i
}

// processFlags identify a process of a deployment.
type processFlags struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the deployment."`
	ID       string `required:"" name:"id" help:"Which process of the settings to run."`
}

type entryCommand struct {
	processFlags
	Order     string `enum:"arrival,deadline,fewest,finish" default:"finish" help:"Which waiting job starts first (${enum})."`
	Placement string `enum:"late,mixed,polling" default:"late" help:"How free slots are found (${enum})."`
}

// Run implements the command.
func (c *entryCommand) Run(env *environment) error {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return err
	}
	e, err := s.Entry(c.ID)
	if err != nil {
		return errors.Wrap(err, c.Settings)
	}
	r, err := receiver.NewReceiver(env.deps, receiver.Config{
		ID:         e.ID,
		DataCentre: e.DataCentre,
		Listen:     e.Listen,
		Link:       e.Link,
		Peers:      s.LinkAddresses(),
		Trust:      s.Trust,
		Seed:       uint64(time.Now().UnixNano()),
		Order:      parseOrder(c.Order),
		Placement:  parsePlacement(c.Placement),
		Instance:   limitMemory(s.Instance()),
	}, keeper.NewClient(s.Store))
	if err != nil {
		return errors.Wrapf(err, "settings %s: entry %s", c.Settings, c.ID)
	}
	go server.DumpOnSignal(env.ctx, env.deps, r)
	return r.Run(env.ctx)
}

func parseOrder(name string) dispatcher.Order {
	switch name {
	case "deadline":
		return dispatcher.EarliestDeadline{}
	case "fewest":
		return dispatcher.FewestTasksLeft{}
	case "arrival":
		return dispatcher.ArrivalOrder{}
	}
	return dispatcher.VirtualFinish{PerTask: dispatcher.FinishTimePerTask}
}

func parsePlacement(name string) dispatcher.Placement {
	switch name {
	case "mixed":
		return dispatcher.AnyFreeSlot{}
	case "polling":
		return dispatcher.HeartbeatOnly{}
	}
	return dispatcher.LateBinding{}
}

type agentCommand struct{ processFlags }

// Run implements the command.
func (c *agentCommand) Run(env *environment) error {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return err
	}
	a, err := s.Agent(c.ID)
	if err != nil {
		return errors.Wrap(err, c.Settings)
	}
	p, err := agent.NewAgent(env.deps, agent.Config{
		ID:         a.ID,
		DataCentre: a.DataCentre,
		Rack:       a.Rack,
		Listen:     a.Listen,
		Entries:    s.LinkAddresses(),
		Instance:   limitMemory(s.Instance()),
	})
	if err != nil {
		return errors.Wrapf(err, "settings %s: agent %s", c.Settings, c.ID)
	}
	go server.DumpOnSignal(env.ctx, env.deps, p)
	return p.Run(env.ctx)
}

type storeCommand struct {
	Listen   string `default:"127.0.0.1:23790" help:"Host and port to serve."`
	MemoryMB int64  `name:"memory-mb" default:"0" help:"Memory of the process in megabytes; 0 for the default of 256."`
}

// Run implements the command.
func (c *storeCommand) Run(env *environment) error {
	s := storer.NewStore(env.deps.Clock)
	go server.DumpOnSignal(env.ctx, env.deps, s)
	instance := limitMemory(limiter.Instance{MemoryBytes: c.MemoryMB * limiter.BytesPerMegabyte})
	return serve(env.ctx, env.deps, instance, c.Listen, s.Handler(), nil)
}

type upstreamCommand struct{ processFlags }

// Run implements the command.
func (c *upstreamCommand) Run(env *environment) error {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return err
	}
	u, err := s.Upstream(c.ID)
	if err != nil {
		return errors.Wrap(err, c.Settings)
	}
	a, err := s.Agent(u.Agent)
	if err != nil {
		return errors.Wrap(err, c.Settings)
	}
	w := worker.NewWorker(env.deps, worker.Config{
		Announcement: worker.Announcement{
			Address:     u.Listen,
			Slots:       u.Slots,
			Connections: u.Connections,
			Services:    u.Services,
		},
		Agent: a.Listen,
	})
	go server.DumpOnSignal(env.ctx, env.deps, w)
	return serve(env.ctx, env.deps, limitMemory(s.Instance()), u.Listen, w.Handler(), w)
}

// serve serves h at addr until ctx ends. Meanwhile w, unless it is nil, announces
// itself to its agent; before the server stops, it shuts down.
func serve(ctx context.Context, deps provider.Deps, instance limiter.Instance, addr string, h http.Handler, w *worker.Worker) error {
	listener, err := limiter.Listen(addr)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", addr)
	}
	pool := limiter.NewPool(deps, instance.MainConfig("calls", 0, 100))
	httpServer := limiter.NewServer(h, headerTimeout)
	serverCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return httpServer.Serve(pool.Listener(listener)) }, func(error) { _ = httpServer.Close() })
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-serverCtx.Done():
			return nil
		}
		shutdownCtx, stop := context.WithTimeout(serverCtx, shutdownTimeout)
		defer stop()
		if w != nil {
			w.Shutdown(shutdownCtx)
		}
		return nil
	}, func(error) { cancel() })
	if w != nil {
		g.Add(func() error { return w.Announce(serverCtx) }, func(error) { cancel() })
	}
	err = g.Run()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
