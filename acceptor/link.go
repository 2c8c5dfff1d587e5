package acceptor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// heartbeatBatchWindow is the time after a heartbeat from which the next one may be sent
// early, together with those that are due on other links.
const heartbeatBatchWindow = messenger.HeartbeatInterval / 2

// agentLink is the actor's state of an open link to an agent.
type agentLink struct {
	*messenger.Link
	// openedAt is when the actor handled the opening; timestamps count from it.
	openedAt time.Time
	// heartbeatAt is when the last heartbeat was sent, or openedAt before the first.
	// It is zero if one is to be sent at once.
	heartbeatAt time.Time
	// lastTimestamp is the timestamp of the agent's last report, which heartbeats
	// echo; zero before the first.
	lastTimestamp time.Duration
}

// recordTimestamp records the agent's timestamp. The first one is echoed at once, since
// only an echo shows the agent that the entry is running.
func (l *agentLink) recordTimestamp(timestamp time.Duration) {
	if l.lastTimestamp == 0 {
		l.heartbeatAt = time.Time{}
	}
	l.lastTimestamp = timestamp
}

// sendHeartbeats sends the heartbeats that are due.
func (c *entryActor) sendHeartbeats() {
	due := c.linksDue(c.acceptor.deps.Clock.Now())
	if len(due) == 0 {
		return
	}
	evacuations := c.acceptor.evacuations()
	backlog := c.scheduler.Backlog()
	now := c.acceptor.deps.Clock.Now()
	for _, l := range due {
		l.heartbeatAt = now
		l.Send(messenger.Heartbeat{
			Timestamp:    now.Sub(l.openedAt),
			Echo:         l.lastTimestamp,
			Evacuations:  evacuations.Message(now),
			Backlog:      backlog,
			AckedOutcome: c.scheduler.LastOutcome(c.agentByLink[l.Link]),
			Unlocked:     c.scheduler.TakeUnlocked(c.agentByLink[l.Link]),
		})
	}
}

// linksDue returns the links on which a heartbeat is to be sent: all of them if jobs have
// begun to wait for capacity. Otherwise, if a heartbeat is due, those that will be due
// soon are sent with it, so that the agents answer together and the entry wakes once for
// all of them.
func (c *entryActor) linksDue(now time.Time) []*agentLink {
	if c.scheduler.EarlyHeartbeatDue() {
		return c.linksWithoutHeartbeatFor(0, now)
	}
	if len(c.linksWithoutHeartbeatFor(messenger.HeartbeatInterval, now)) == 0 {
		return nil
	}
	return c.linksWithoutHeartbeatFor(heartbeatBatchWindow, now)
}

// linksWithoutHeartbeatFor returns the links on which no heartbeat was sent for d or
// longer.
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
	if m.link.IsClosed() {
		return
	}
	// The scheduler has to open the link before openedAt is read: it adds echoed
	// timestamps to its own time of the opening, and a later one would date the
	// entry's heartbeats later than they were sent.
	c.scheduler.LinkOpened(m.agent)
	now := c.acceptor.deps.Clock.Now()
	c.links[m.agent] = &agentLink{Link: m.link, openedAt: now, heartbeatAt: now}
	c.agentByLink[m.link] = m.agent
	c.acceptor.hasLinks.Store(true)
	c.acceptor.deps.Log.WithField("agent", m.agent).Info("agent connected")
	m.link.Send(messenger.Hello{
		Entry:       c.acceptor.cfg.ID,
		Incarnation: c.acceptor.incarnation,
		Upstream:    c.scheduler.Upstream(m.agent),
		Crashes:     c.scheduler.IsolatedCrashes(),
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

// releaseIdleLinks closes the links to those of the agents at which the entry has no
// runs, and returns the names of those that are not linked any more.
func (c *entryActor) releaseIdleLinks(agents []string) []string {
	var released []string
	for _, name := range agents {
		if !c.scheduler.Idle(name) {
			continue
		}
		released = append(released, name)
		if l := c.links[name]; l != nil {
			c.acceptor.deps.Log.WithField("agent", name).Info("surplus link closed")
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
