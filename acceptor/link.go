package acceptor

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// beatTogether is the time after a heartbeat from which the next one goes out with
// those that are due on other links.
const beatTogether = messenger.HeartbeatInterval / 2

// link is an open link to an agent as the core sees it.
type link struct {
	*messenger.Link
	openedAt time.Time
	beatAt   time.Time
	// echo is the agent's last stamp.
	echo time.Duration
}

// heard notes the agent's stamp. The first one is echoed at once, since the
// agent counts the entry as there by that.
func (l *link) heard(stamp time.Duration) {
	if l.echo == 0 {
		l.beatAt = time.Time{}
	}
	l.echo = stamp
}

// beat sends heartbeats that are due.
func (c *core) beat() {
	due := c.due(c.acceptor.deps.Clock.Now())
	if len(due) == 0 {
		return
	}
	directives, _ := c.acceptor.Configuration()
	evacuated := slices.Sorted(maps.Keys(directives.Evacuated))
	want := c.scheduler.Backlog()
	held := c.scheduler.HeldJobs()
	// What has been named counts from before the stamp on.
	now := c.acceptor.deps.Clock.Now()
	for _, l := range due {
		l.beatAt = now
		l.Send(messenger.Heartbeat{
			Timestamp:    now.Sub(l.openedAt),
			Echo:         l.echo,
			Revision:     directives.Revision,
			Evacuated:    evacuated,
			Backlog:      want,
			AckedOutcome: c.scheduler.LastOutcome(c.names[l.Link]),
			HeldJobs:     held,
		})
	}
}

// due returns the links whose heartbeat is due: all when the entry asks for room.
// With one that is due go those that will be soon, so that the agents answer
// together and the entry wakes for all of them at once.
func (c *core) due(now time.Time) []*link {
	if c.scheduler.EarlyHeartbeatDue() {
		return c.quietFor(0, now)
	}
	if len(c.quietFor(messenger.HeartbeatInterval, now)) == 0 {
		return nil
	}
	return c.quietFor(beatTogether, now)
}

// quietFor returns the links on which no heartbeat went out for a time.
func (c *core) quietFor(d time.Duration, now time.Time) []*link {
	var out []*link
	for _, l := range c.links {
		if now.Sub(l.beatAt) >= d {
			out = append(out, l)
		}
	}
	return out
}

func (c *core) opened(m linkOpened) {
	if old := c.links[m.agent]; old != nil {
		c.closed(old.Link)
		old.Close()
	}
	if m.link.Ended() {
		return
	}
	// The scheduler must not date the entry's stamps later than they are.
	c.scheduler.LinkOpened(m.agent)
	now := c.acceptor.deps.Clock.Now()
	c.links[m.agent] = &link{Link: m.link, openedAt: now, beatAt: now}
	c.names[m.link] = m.agent
	c.acceptor.connected.Store(true)
	c.acceptor.deps.Log.WithField("agent", m.agent).Info("agent in touch")
	m.link.Send(messenger.Hello{
		Entry:       c.acceptor.cfg.ID,
		Incarnation: c.acceptor.incarnation,
		Upstream:    c.scheduler.Upstream(m.agent),
	})
}

func (c *core) closed(l *messenger.Link) {
	name, ok := c.names[l]
	if !ok {
		return
	}
	delete(c.names, l)
	delete(c.links, name)
	c.acceptor.connected.Store(len(c.links) > 0)
	c.scheduler.LinkClosed(name)
}

// release ends the links to agents at which the entry has no runs, and returns
// the names of those that are not linked any more.
func (c *core) release(agents []string) []string {
	var out []string
	for _, name := range agents {
		if !c.scheduler.Idle(name) {
			continue
		}
		out = append(out, name)
		if l := c.links[name]; l != nil {
			c.acceptor.deps.Log.WithField("agent", name).Info("link not needed any more")
			c.closed(l.Link)
			l.Close()
		}
	}
	return out
}

// Receive implements messenger.Handler.
func (a *Acceptor) Receive(l *messenger.Link, msg any) { a.post(linkMessage{link: l, msg: msg}) }

// Closed implements messenger.Handler.
func (a *Acceptor) Closed(l *messenger.Link) { a.post(linkClosed{link: l}) }
