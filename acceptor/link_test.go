package acceptor

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// discardHandler ignores messages and the end of the link.
type discardHandler struct{}

func (discardHandler) Receive(*messenger.Link, any) {}
func (discardHandler) Closed(*messenger.Link)       {}

func newTestLink(t *testing.T) *messenger.Link {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = theirs.Close() })
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	l := messenger.NewLink(ours, discardHandler{})
	t.Cleanup(l.Close)
	return l
}

func TestOldLinkIsClosedEvenIfItsReplacementHasEnded(t *testing.T) {
	c := newEntryActor(&Acceptor{deps: provider.NewDeps(io.Discard)})
	first, second := newTestLink(t), newTestLink(t)
	c.handleLinkOpened(linkOpened{agent: "a", link: first})
	require.Len(t, c.links, 1)
	second.Close()
	c.handleLinkOpened(linkOpened{agent: "a", link: second})
	require.Empty(t, c.links)
	require.True(t, first.IsClosed())
}

func TestLinkIsNotReleasedWhileTasksRunAtItsAgent(t *testing.T) {
	a := &Acceptor{deps: provider.NewDeps(io.Discard), cfg: Config{DataCentre: "dc"}}
	c := newEntryActor(a)
	up := messenger.Upstream{ID: "w", Born: 1, Service: "quotes", Capacity: messenger.Resources{CPU: 1000}}
	c.scheduler.SetWitnesses(messenger.WitnessList{Version: 1, Current: []messenger.Witness{{Agent: "busy"}}})
	for _, name := range []string{"busy", "idle"} {
		c.handleLinkOpened(linkOpened{agent: name, link: newTestLink(t)})
		c.scheduler.HandleReport(messenger.Report{Agent: name, Incarnation: 1, RunsComplete: true, Timestamp: time.Minute})
	}
	queue := scheduler.Queue{Name: "q", Service: "quotes", MaxAttempts: 1}
	c.scheduler.Configure(scheduler.Configuration{Version: 1, Queues: []scheduler.Queue{queue}})
	c.scheduler.Submit(1, scheduler.Job{
		ID: "j", Queue: queue, Deadline: a.deps.Clock.Now().Add(time.Minute),
		Steps: []scheduler.Step{{Count: 1, Demand: messenger.Resources{CPU: 1000}}},
	})
	c.scheduler.HandleLockReply("busy", messenger.LockReply{Number: 2, Locked: []string{"j"}})
	c.scheduler.HandleReport(messenger.Report{Agent: "busy", Incarnation: 1, Timestamp: time.Minute, Upstream: &up, Free: up.Capacity})
	require.Equal(t, []string{"idle"}, c.releaseIdleLinks([]string{"busy", "idle"}))
	require.Contains(t, c.links, "busy")
	require.NotContains(t, c.links, "idle")
}

func TestHeartbeatsThatWillBeDueSoonGoOutTogether(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newEntryActor(&Acceptor{deps: provider.NewDeps(io.Discard).WithClock(clock)})
	for _, name := range []string{"first", "second"} {
		c.handleLinkOpened(linkOpened{agent: name, link: newTestLink(t)})
		clock.Advance(heartbeatBatchWindow / 2)
	}
	clock.Advance(messenger.HeartbeatInterval - heartbeatBatchWindow)
	c.sendHeartbeats()
	require.Equal(t, c.links["first"].heartbeatAt, c.links["second"].heartbeatAt)
	require.Equal(t, clock.Now(), c.links["first"].heartbeatAt)
}
