package acceptor

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// heartbeatBatchWindow is the time after a heartbeat from which the next one goes out with
// those that are due on other links.
const heartbeatBatchWindow = messenger.HeartbeatInterval / 2

// agentLink is an open link to an agent as the core sees it.
type agentLink struct {
	*messenger.Link
	openedAt    time.Time
	heartbeatAt time.Time
	// lastTimestamp is the agent's last stamp.
	lastTimestamp time.Duration
}

// recordTimestamp notes the agent's stamp. The first one is echoed at once, since the
// agent counts the entry as there by that.
func (l *agentLink) recordTimestamp(timestamp time.Duration) {
	if l.lastTimestamp == 0 {
		l.heartbeatAt = time.Time{}
	}
	l.lastTimestamp = timestamp
}

// sendHeartbeats sends heartbeats that are due.
func (c *entryActor) sendHeartbeats() {
	due := c.linksDue(c.acceptor.deps.Clock.Now())
	if len(due) == 0 {
		return
	}
	configuration, _ := c.acceptor.Configuration()
	evacuated := slices.Sorted(maps.Keys(configuration.Evacuated))
	backlog := c.scheduler.Backlog()
	heldJobs := c.scheduler.HeldJobs()
	// What has been named counts from before the stamp on.
	now := c.acceptor.deps.Clock.Now()
	for _, l := range due {
		l.heartbeatAt = now
		l.Send(messenger.Heartbeat{
			Timestamp:    now.Sub(l.openedAt),
			Echo:         l.lastTimestamp,
			Revision:     configuration.Revision,
			Evacuated:    evacuated,
			Backlog:      backlog,
			AckedOutcome: c.scheduler.LastOutcome(c.agentByLink[l.Link]),
			HeldJobs:     heldJobs,
		})
	}
}

// linksDue returns the links whose heartbeat is due: all when the entry asks for room.
// With one that is due go those that will be soon, so that the agents answer
// together and the entry wakes for all of them at once.
func (c *entryActor) linksDue(now time.Time) []*agentLink {
	if c.scheduler.EarlyHeartbeatDue() {
		return c.linksWithoutHeartbeatFor(0, now)
	}
	if len(c.linksWithoutHeartbeatFor(messenger.HeartbeatInterval, now)) == 0 {
		return nil
	}
	return c.linksWithoutHeartbeatFor(heartbeatBatchWindow, now)
}

// linksWithoutHeartbeatFor returns the links on which no heartbeat went out for a time.
func (c *entryActor) linksWithoutHeartbeatFor(d time.Duration, now time.Time) []*agentLink {
	var out []*agentLink
	for _, l := range c.links {
		if now.Sub(l.heartbeatAt) >= d {
			out = append(out, l)
		}
	}
	return out
}

func (c *entryActor) handleLinkOpened(m linkOpened) {
	if old := c.links[m.agent]; old != nil {
		c.handleLinkClosed(old.Link)
		old.Close()
	}
	if m.link.Ended() {
		return
	}
	// The scheduler must not date the entry's stamps later than they are.
	c.scheduler.LinkOpened(m.agent)
	now := c.acceptor.deps.Clock.Now()
	c.links[m.agent] = &agentLink{Link: m.link, openedAt: now, heartbeatAt: now}
	c.agentByLink[m.link] = m.agent
	c.acceptor.hasLinks.Store(true)
	c.acceptor.deps.Log.WithField("agent", m.agent).Info("agent in touch")
	m.link.Send(messenger.Hello{
		Entry:       c.acceptor.cfg.ID,
		Incarnation: c.acceptor.incarnation,
		Upstream:    c.scheduler.Upstream(m.agent),
	})
}

func (c *entryActor) handleLinkClosed(l *messenger.Link) {
	name, ok := c.agentByLink[l]
	if !ok {
		return
	}
	delete(c.agentByLink, l)
	delete(c.links, name)
	c.acceptor.hasLinks.Store(len(c.links) > 0)
	c.scheduler.LinkClosed(name)
}

// releaseIdleLinks ends the links to agents at which the entry has no runs, and returns
// the names of those that are not linked any more.
func (c *entryActor) releaseIdleLinks(agents []string) []string {
	var released []string
	for _, name := range agents {
		if !c.scheduler.Idle(name) {
			continue
		}
		released = append(released, name)
		if l := c.links[name]; l != nil {
			c.acceptor.deps.Log.WithField("agent", name).Info("link not needed any more")
			c.handleLinkClosed(l.Link)
			l.Close()
		}
	}
	return released
}

// Receive implements messenger.Handler.
func (a *Acceptor) Receive(l *messenger.Link, msg any) { a.post(linkMessage{link: l, msg: msg}) }

// Closed implements messenger.Handler.
func (a *Acceptor) Closed(l *messenger.Link) { a.post(linkClosed{link: l}) }
