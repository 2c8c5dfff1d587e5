package acceptor

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// TestConfigurationHasTheFarFactorOfTheSettings guards against a far factor that is
// lost when the operators change the configuration.
func TestConfigurationHasTheFarFactorOfTheSettings(t *testing.T) {
	a := &Acceptor{deps: provider.NewDeps(io.Discard), cfg: Config{FarFactor: 2}}
	a.owner = a.startOwner(t.Context(), actor.ReceiveFunc(func(actor.Context) {}))
	t.Cleanup(a.owner.Stop)
	for version := range uint64(2) {
		require.True(t, a.putInForce(&scheduler.Configuration{Version: version + 1}, evacuator.View{}, evacuator.FromStore))
		require.Equal(t, version+1, a.configuration.Load().Version)
		require.InDelta(t, 2, a.configuration.Load().FarFactor, 0)
	}
}

// changingStore answers with what it is set to.
type changingStore struct {
	fixedStore
	items    []platform.Item
	revision int64
	err      error
}

func (s *changingStore) List(context.Context, string) ([]platform.Item, int64, error) {
	return s.items, s.revision, s.err
}

func (s *changingStore) Watch(context.Context, string, int64, time.Duration) ([]platform.Item, int64, error) {
	return s.items, s.revision, s.err
}

// TestEntryFollowsTheNewestEvacuationsThatItHears guards against an entry that goes on placing
// tasks in an evacuated data centre while it is cut off from the store, and one that, once it
// is back, takes an older word for the newer one.
func TestEntryFollowsTheNewestEvacuationsThatItHears(t *testing.T) {
	store := &changingStore{items: []platform.Item{{Key: platform.OperatorPrefix + "config", Value: []byte(`{"version":1}`)}}, revision: 10}
	clock := clockwork.NewFakeClock()
	a := &Acceptor{deps: provider.NewDeps(io.Discard).WithClock(clock), store: store}
	a.owner = a.startOwner(t.Context(), actor.ReceiveFunc(func(actor.Context) {}))
	t.Cleanup(a.owner.Stop)
	d := newDirectives(a)
	evacuated := func() map[string]bool { return a.configuration.Load().Evacuated }
	require.NoError(t, d.sync(t.Context()))
	require.Empty(t, evacuated())

	c := newEntryActor(a)
	c.handleLinkOpened(linkOpened{agent: "agent", link: newTestLink(t)})
	clock.Advance(time.Minute)
	store.err = io.ErrUnexpectedEOF
	require.Error(t, d.sync(t.Context()))
	tell := func(revision int64, dataCentres ...string) {
		c.receiveEvacuations("agent", &messenger.Report{Echo: time.Minute, Evacuations: &messenger.Evacuations{Revision: revision, DataCentres: dataCentres, Age: time.Second}})
	}
	tell(12, "dc")
	require.Equal(t, map[string]bool{"dc": true}, evacuated())
	require.Equal(t, clock.Now().Add(-time.Second), a.evacuations().ConfirmedAt)
	require.EqualValues(t, 12, a.configuration.Load().Revision)
	tell(11)
	require.Equal(t, map[string]bool{"dc": true}, evacuated(), "an older word")

	store.err = nil
	store.items, store.revision = nil, 11
	require.NoError(t, d.sync(t.Context()))
	require.Equal(t, map[string]bool{"dc": true}, evacuated(), "an answer of before")
	store.items = []platform.Item{{Key: platform.OperatorPrefix + "evacuate/dc"}, {Key: platform.OperatorPrefix + "evacuate/dc", Deleted: true}}
	store.revision = 13
	require.NoError(t, d.sync(t.Context()))
	require.Empty(t, evacuated())
	require.Equal(t, clock.Now(), a.evacuations().ConfirmedAt)
}

// TestOlderConfigurationIsIgnored guards against a configuration that reverts.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	a := &Acceptor{deps: provider.NewDeps(io.Discard)}
	require.True(t, a.putInForce(&scheduler.Configuration{Version: 2}, evacuator.View{}, evacuator.FromStore))
	require.False(t, a.putInForce(&scheduler.Configuration{Version: 1}, evacuator.View{}, evacuator.FromStore))
	require.True(t, a.putInForce(&scheduler.Configuration{Version: 1}, evacuator.NewView(1, []string{"dc"}, time.Time{}), evacuator.FromStore))
	require.EqualValues(t, 2, a.configuration.Load().Version)
}
