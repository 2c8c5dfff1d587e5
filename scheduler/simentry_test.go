package scheduler_test

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// boot starts an entry, which opens links to all agents.
func (e *simEntry) boot() {
	e.incarnation = e.sim.clock.Now().UnixMilli()
	e.core = scheduler.NewScheduler(e.sim.clock, e.name, "dc-"+e.name[len("entry-"):])
	e.tickets = make(map[uint64]string)
	e.links = make(map[string]*simLink)
	e.disconnected = make(map[uint64]bool)
	e.down = false
	e.activeAt = e.sim.clock.Now()
	core := e.core
	e.evacuations = evacuator.View{}
	e.configured = false
	if e.sim.store == nil {
		core.Configure(e.sim.configuration())
	}
	core.ReadWitnesses(e.sim.witnesses)
	for _, a := range e.sim.agents {
		e.connect(a, core)
	}
	if e.sim.store != nil {
		e.watchStore()
	}
	var tick func()
	tick = func() {
		if e.core != core || e.down {
			return
		}
		e.do(func() {
			core.Tick()
			e.sendHeartbeats()
		})
		e.sim.schedule(10*time.Millisecond, tick)
	}
	tick()
}

// pause pauses the process. A pause during another one does not shorten it: what is
// received is handled in order.
func (e *simEntry) pause(d time.Duration) {
	e.pausedUntil = later(e.pausedUntil, e.sim.clock.Now().Add(d))
}

// do calls f, which handles one event of the entry, and then applies the effects. If the
// process is paused, that happens after the pause.
func (e *simEntry) do(f func()) {
	core := e.core
	if wait := e.pausedUntil.Sub(e.sim.clock.Now()); wait > 0 {
		e.sim.schedule(wait, func() { e.do(f) })
		return
	}
	if e.down || e.core != core {
		return
	}
	if now := e.sim.clock.Now(); now.Sub(e.activeAt) > minPause {
		e.core.Resumed()
	}
	e.activeAt = e.sim.clock.Now()
	f()
	if e.panicsNow() {
		e.core.TakeEffects()
		e.kill(restartDelay)
		return
	}
	e.applyEffects()
}

func (e *simEntry) applyEffects() {
	for _, effect := range e.core.TakeEffects() {
		switch m := effect.(type) {
		case scheduler.Send:
			if l := e.links[m.Agent]; l != nil {
				l.toAgent(m.Message)
			}
		case scheduler.WitnessesChanged:
			e.knownWitnesses = m.List.Version
		case scheduler.Reply:
			e.reply(m)
		}
	}
}

// reply delivers an answer to its caller, if that is still connected.
func (e *simEntry) reply(m scheduler.Reply) {
	r := e.sim.results[e.tickets[m.Ticket]]
	delete(e.tickets, m.Ticket)
	if e.disconnected[m.Ticket] {
		return
	}
	e.sim.schedule(linkDelay, func() {
		if m.Answer.Outcome == scheduler.Unsettled && e.sim.resendUnsettled {
			e.sim.resend(r.job)
			return
		}
		if !r.answered {
			r.answered = true
			r.answer = m.Answer
			r.took = e.sim.clock.Since(r.sent)
		}
	})
}

// disconnectUnnoticed breaks a caller's connection without the entry noticing. The
// caller sends the job again.
func (e *simEntry) disconnectUnnoticed(ticket uint64) {
	if !e.disconnected[ticket] {
		e.disconnected[ticket] = true
		e.sim.resend(e.sim.results[e.tickets[ticket]].job)
	}
}

// kill ends the entry process, which starts again after downtime. Its callers lose their
// connections and send their jobs again.
func (e *simEntry) kill(downtime time.Duration) {
	e.down = true
	for _, ticket := range slices.Sorted(maps.Keys(e.tickets)) {
		if !e.disconnected[ticket] {
			e.sim.resend(e.sim.results[e.tickets[ticket]].job)
		}
	}
	e.tickets = make(map[uint64]string)
	for _, a := range e.sim.agents {
		if l := a.links[e.name]; l != nil {
			l.close()
		}
	}
	e.sim.schedule(downtime, e.boot)
}

// connect opens a link to an agent, and opens it again after it closes, as long as core
// is the entry's scheduler.
func (e *simEntry) connect(a *simAgent, core *scheduler.Scheduler) {
	if e.core != core || e.down {
		return
	}
	if l := a.links[e.name]; l != nil && l.open && l.entry == e {
		e.sim.schedule(20*time.Millisecond, func() { e.connect(a, core) })
		return
	}
	old := a.links[e.name]
	if !a.down && (old == nil || !old.cut) && !e.sim.clock.Now().Before(e.cutUntil[a.name]) {
		l := &simLink{entry: e, agent: a, open: true, openedAt: e.sim.clock.Now(), lastReportAt: e.sim.clock.Now()}
		a.links[e.name] = l
		e.do(func() {
			e.links[a.name] = l
			core.LinkOpened(a.name)
			l.toAgent(messenger.Hello{Entry: e.name, Incarnation: e.incarnation, Upstream: core.Upstream(a.name), Crashes: core.IsolatedCrashes()})
		})
	}
	e.sim.schedule(20*time.Millisecond, func() { e.connect(a, core) })
}

// sendHeartbeats sends heartbeats that are due and closes links without traffic.
func (e *simEntry) sendHeartbeats() {
	now := e.sim.clock.Now()
	early := e.core.EarlyHeartbeatDue()
	for _, a := range e.sim.agents {
		l := e.links[a.name]
		if l == nil || !l.open {
			continue
		}
		if now.Sub(l.lastReportAt) > messenger.IdleTimeout {
			l.close()
			continue
		}
		if early || now.Sub(l.lastHeartbeatAt) >= messenger.HeartbeatInterval {
			l.lastHeartbeatAt = now
			l.toAgent(messenger.Heartbeat{Timestamp: now.Sub(l.openedAt), Echo: l.echo, Evacuations: e.evacuations.Message(now), Backlog: e.core.Backlog(), AckedOutcome: e.core.LastOutcome(a.name), Unlocked: e.core.TakeUnlocked(a.name)})
		}
	}
}
