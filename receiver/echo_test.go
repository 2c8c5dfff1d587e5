package receiver

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/confirmer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/starter"
)

// TestRestartedEntryIsNotConfirmedByEchoesOfItsEarlierProcess checks that heartbeats of
// peers that still echo the timestamps of the earlier process do not confirm the bundle of
// the restarted one: they would date the attestations by the wrong clock.
func TestRestartedEntryIsNotConfirmedByEchoesOfItsEarlierProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	deps := provider.NewDeps(io.Discard).WithClock(clock)
	start := func(id string) *entryActor {
		return newEntryActor(deps, Config{ID: id}, courier.EntryInfo{ID: id, Link: id}, func([]courier.EntryInfo) {})
	}
	read := func(c *entryActor) {
		c.handle(bundleRead{
			bundle: simBundle(), beganAt: clock.Now(),
			voters: confirmer.Voters{Version: 1, Entries: []string{"entry-1", "entry-2", "entry-3"}},
		})
	}
	earlier, peers := start("entry-1"), []*entryActor{start("entry-2"), start("entry-3")}
	clock.Advance(time.Hour)
	for _, p := range peers {
		read(p)
		p.handle(peerHeartbeat{hello: earlier.peerHello(p.cfg.ID)})
	}
	restarted := start("entry-1")
	read(restarted)
	for _, p := range peers {
		restarted.handle(peerHeartbeat{hello: p.peerHello("entry-1")})
	}
	clock.Advance(starter.FreshnessLimit)
	require.GreaterOrEqual(t, restarted.announceReply(courier.Announce{}).Age, starter.FreshnessLimit)
}
