package acceptor

import (
	"io"
	"testing"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// TestConfigurationHasTheFarFactorOfTheSettings guards against a far factor that is
// lost when the operators change the configuration.
func TestConfigurationHasTheFarFactorOfTheSettings(t *testing.T) {
	a := &Acceptor{deps: provider.NewDeps(io.Discard), cfg: Config{FarFactor: 2}}
	a.owner = a.startOwner(t.Context(), actor.ReceiveFunc(func(actor.Context) {}))
	t.Cleanup(a.owner.Stop)
	d := newDirectives(a)
	for version := range uint64(2) {
		d.setConfiguration(scheduler.Configuration{Version: version + 1})
		d.apply(nil)
		require.Equal(t, version+1, a.configuration.Load().Version)
		require.InDelta(t, 2, a.configuration.Load().FarFactor, 0)
	}
}
