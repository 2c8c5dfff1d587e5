package acceptor

import (
	"io"
	"testing"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
	"github.com/pomeloferry/pomeloferry/server"
)

// TestConfigurationHasTheFarFactorOfTheSettings guards against a far factor that is
// lost when the operators change the configuration.
func TestConfigurationHasTheFarFactorOfTheSettings(t *testing.T) {
	a := &Acceptor{deps: provider.NewDeps(io.Discard), cfg: Config{FarFactor: 2}}
	a.system = server.NewActorSystem(a.deps)
	t.Cleanup(a.system.Shutdown)
	a.pid = a.system.Root.Spawn(actor.PropsFromFunc(func(actor.Context) {}))
	d := newDirectives(a)
	for version := range uint64(2) {
		d.setConfiguration(scheduler.Configuration{Version: version + 1})
		d.apply(nil)
		require.Equal(t, version+1, a.configuration.Load().Version)
		require.InDelta(t, 2, a.configuration.Load().FarFactor, 0)
	}
}
