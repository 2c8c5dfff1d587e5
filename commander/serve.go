package commander

import (
	"net"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/acceptor"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/server"
	"github.com/pomeloferry/pomeloferry/supervisor"
)

// serveCommand runs a process on the platform's machines, with settings from the
// platform.
type serveCommand struct {
	Entry serveEntryCommand `cmd:"" help:"Run an entry on the platform."`
	Agent serveAgentCommand `cmd:"" help:"Run an agent on the platform."`
}

// newPlatformDeps returns the dependencies of a process on the platform: a log to
// standard output whose writes never block, and a clock that continues while the
// machine is suspended. The returned function flushes the log.
func newPlatformDeps(env *environment) (provider.Deps, func()) {
	logWriter := provider.NewNonBlockingWriter(env.out)
	deps := provider.NewDeps(logWriter).WithClock(provider.NewBootClock())
	deps.Log.Logger.SetLevel(env.deps.Log.Logger.GetLevel())
	return deps, logWriter.Close
}

// reloadOnHangup reads and checks the settings file on each SIGHUP, which the platform
// sends after a change, and logs whether the settings differ from those in use. It does
// not apply them: addresses are bound at the start, so that a change needs a restart.
func reloadOnHangup(env *environment, deps provider.Deps, current platform.Settings) {
	go func() {
		for {
			select {
			case <-env.ctx.Done():
				return
			case <-env.hangups:
			}
			s, err := platform.LoadSettings()
			if err != nil {
				deps.Log.WithError(err).Error("settings not reloaded")
				continue
			}
			deps.Log.WithField("changed", s != current).Info("settings reloaded")
		}
	}()
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

type serveEntryCommand struct{}

// Run implements the command.
func (c *serveEntryCommand) Run(env *environment) error {
	deps, flush := newPlatformDeps(env)
	defer flush()
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	reloadOnHangup(env, deps, s)
	instance := limitMemory(s.Instance())
	a, err := acceptor.NewAcceptor(deps, acceptor.Config{
		ID:          s.NodeName,
		DataCentre:  s.DataCentre,
		FrontAddr:   s.FrontAddr,
		ReadyAddr:   s.ReadyAddr,
		MetricsAddr: hostPort(s.IP, s.LastInternalPort),
		GracePeriod: s.GracePeriod,
		FarFactor:   s.FarFactor,
		Instance:    instance,
	}, platform.NewStore(s.StoreAddr))
	if err != nil {
		return errors.Wrapf(err, "entry %s", s.NodeName)
	}
	go server.DumpOnSignal(env.ctx, deps, a)
	return a.Run(env.ctx)
}

type serveAgentCommand struct{}

// Run implements the command.
func (c *serveAgentCommand) Run(env *environment) error {
	deps, flush := newPlatformDeps(env)
	defer flush()
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	instance := limitMemory(s.Instance())
	reloadOnHangup(env, deps, s)
	link := hostPort(s.IP, s.FirstInternalPort)
	store := platform.NewStore(s.StoreAddr)
	directory := platform.NewRegistrar(store, platform.Registration{
		Agent:      s.NodeName,
		DataCentre: s.DataCentre,
		Link:       link,
	})
	a, err := supervisor.NewSupervisor(deps, supervisor.Config{
		ID:                s.NodeName,
		DataCentre:        s.DataCentre,
		LinkAddr:          link,
		ControlAddr:       s.ControlAddr,
		MetricsAddr:       hostPort(s.IP, s.LastInternalPort),
		GracePeriod:       s.GracePeriod,
		DrainTimeout:      s.DrainTimeout,
		EvacuationTimeout: s.EvacuationTimeout,
		Instance:          instance,
	}, platform.NewWorkerClient(deps.Clock, s.UpstreamAddr), directory, store)
	if err != nil {
		return errors.Wrapf(err, "agent %s", s.NodeName)
	}
	go server.DumpOnSignal(env.ctx, deps, a)
	return a.Run(env.ctx)
}
