package scheduler_test

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// boot starts an entry, which opens links to all agents.
func (e *simEntry) boot() {
	e.incarnation = e.w.clock.Now().UnixMilli()
	e.core = scheduler.NewScheduler(e.w.clock, "dc-"+e.name[len("entry-"):])
	e.tickets = make(map[uint64]string)
	e.links = make(map[string]*simLink)
	e.disconnected = make(map[uint64]bool)
	e.down = false
	e.activeAt = e.w.clock.Now()
	core := e.core
	core.Configure(e.w.configuration())
	for _, a := range e.w.agents {
		e.connect(a, core)
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
		e.w.schedule(10*time.Millisecond, tick)
	}
	tick()
}

// do calls f, which handles one event of the entry, and then applies the effects. If the
// process is paused, that happens after the pause.
func (e *simEntry) do(f func()) {
	core := e.core
	if wait := e.pausedUntil.Sub(e.w.clock.Now()); wait > 0 {
		e.w.schedule(wait, func() { e.do(f) })
		return
	}
	if e.down || e.core != core {
		return
	}
	if now := e.w.clock.Now(); now.Sub(e.activeAt) > minPause {
		e.core.Resumed()
	}
	e.activeAt = e.w.clock.Now()
	f()
	e.applyEffects()
}

func (e *simEntry) applyEffects() {
	for _, effect := range e.core.TakeEffects() {
		switch m := effect.(type) {
		case scheduler.Send:
			if l := e.links[m.Agent]; l != nil {
				l.toAgent(m.Message)
			}
		case scheduler.Reply:
			e.reply(m)
		}
	}
}

// reply delivers an answer to its caller, if that is still connected.
func (e *simEntry) reply(m scheduler.Reply) {
	r := e.w.results[e.tickets[m.Ticket]]
	delete(e.tickets, m.Ticket)
	if e.disconnected[m.Ticket] {
		return
	}
	e.w.schedule(linkDelay, func() {
		if !r.got {
			r.got = true
			r.answer = m.Answer
			r.took = e.w.clock.Since(r.sent)
		}
	})
}

// disconnectUnnoticed breaks a caller's connection without the entry noticing. The
// caller sends the job again.
func (e *simEntry) disconnectUnnoticed(ticket uint64) {
	if !e.disconnected[ticket] {
		e.disconnected[ticket] = true
		e.w.resend(e.w.results[e.tickets[ticket]].job)
	}
}

// kill ends the entry process, which starts again after downtime. Its callers lose their
// connections and send their jobs again.
func (e *simEntry) kill(downtime time.Duration) {
	e.down = true
	for _, ticket := range slices.Sorted(maps.Keys(e.tickets)) {
		if !e.disconnected[ticket] {
			e.w.resend(e.w.results[e.tickets[ticket]].job)
		}
	}
	e.tickets = make(map[uint64]string)
	for _, a := range e.w.agents {
		if l := a.links[e.name]; l != nil {
			l.close()
		}
	}
	e.w.schedule(downtime, e.boot)
}

// connect opens a link to an agent, and opens it again after it closes, as long as core
// is the entry's scheduler.
func (e *simEntry) connect(a *simAgent, core *scheduler.Scheduler) {
	if e.core != core || e.down {
		return
	}
	if l := a.links[e.name]; l != nil && l.open && l.entry == e {
		e.w.schedule(20*time.Millisecond, func() { e.connect(a, core) })
		return
	}
	old := a.links[e.name]
	if !a.down && (old == nil || !old.cut) {
		l := &simLink{entry: e, agent: a, open: true, openedAt: e.w.clock.Now(), lastReportAt: e.w.clock.Now()}
		a.links[e.name] = l
		e.do(func() {
			e.links[a.name] = l
			core.LinkOpened(a.name)
			l.toAgent(messenger.Hello{Entry: e.name, Incarnation: e.incarnation, Upstream: core.Upstream(a.name)})
		})
	}
	e.w.schedule(20*time.Millisecond, func() { e.connect(a, core) })
}

// sendHeartbeats sends heartbeats that are due and closes links without traffic.
func (e *simEntry) sendHeartbeats() {
	now := e.w.clock.Now()
	early := e.core.EarlyHeartbeatDue()
	for _, a := range e.w.agents {
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
			l.toAgent(messenger.Heartbeat{Timestamp: now.Sub(l.openedAt), Echo: l.echo, Backlog: e.core.Backlog(), AckedOutcome: e.core.LastOutcome(a.name), HeldJobs: e.core.HeldJobs()})
		}
	}
}

// toAgent delivers a message to the agent after the link's delay, unless the link is
// closed or replaced by then.
func (l *simLink) toAgent(msg any) {
	if !l.open {
		return
	}
	core := l.agent.core
	l.agent.w.schedule(l.agent.w.linkDelay, func() {
		if !l.open || l.cut || l.agent.core != core {
			return
		}
		l.agent.do(func() {
			if l.agent.links[l.entry.name] != l {
				return
			}
			switch m := msg.(type) {
			case messenger.Hello:
				core.HandleHello(m)
			case messenger.Heartbeat:
				core.HandleHeartbeat(l.entry.name, m)
			case messenger.Place:
				l.agent.w.placedRuns += len(m.Tasks)
				core.HandlePlace(l.entry.name, m)
			case messenger.Withdraw:
				core.HandleWithdraw(l.entry.name, m)
			case messenger.Reserve:
				if !l.agent.w.ignoreReserve {
					core.HandleReserve(l.entry.name, m)
				}
			}
		})
	})
}

// toEntry delivers a report to the entry after the link's delay, unless the link is
// closed or replaced by then.
func (l *simLink) toEntry(r messenger.Report) {
	if l.agent.w.withoutSpeeds {
		r.Speed, r.SpeedJobs = 0, 0
	}
	core := l.entry.core
	l.entry.w.schedule(l.entry.w.linkDelay, func() {
		if !l.open || l.cut || l.entry.core != core || l.agent.links[l.entry.name] != l {
			return
		}
		l.entry.do(func() {
			l.lastReportAt = l.entry.w.clock.Now()
			l.echo = r.Timestamp
			l.agent.w.countNoRoom(r.Refused)
			core.HandleReport(r)
		})
	})
}

// close closes the link. The entry always learns of it, the agent only if the link is
// not cut.
func (l *simLink) close() {
	if !l.open {
		return
	}
	l.open = false
	l.entry.do(func() { l.entry.core.LinkClosed(l.agent.name) })
	if l.cut {
		return
	}
	l.agent.do(func() { l.agent.core.HandleLinkClosed(l.entry.name) })
}

// boot starts an agent.
func (a *simAgent) boot() {
	now := a.w.clock.Now()
	a.down = false
	a.incarnation = now.UnixMilli()
	a.core = executor.NewExecutor(a.w.clock, executor.Identity{
		Agent: a.name, DataCentre: a.dataCentre, Incarnation: a.incarnation, Token: uint64(now.UnixMilli()) * 1000,
	}, executor.Config{DrainTimeout: 2 * time.Second})
	core := a.core
	a.core.SetUpstream(a.worker.up)
	var tick func()
	tick = func() {
		if a.core != core || a.down {
			return
		}
		a.do(func() { core.Tick() })
		a.w.schedule(20*time.Millisecond, tick)
	}
	tick()
}

// do calls f, which handles one event of the agent, and then applies the effects. If the
// process is paused, that happens after the pause.
func (a *simAgent) do(f func()) {
	core := a.core
	if wait := a.pausedUntil.Sub(a.w.clock.Now()); wait > 0 {
		a.w.schedule(wait, func() {
			if a.core == core {
				a.do(f)
			}
		})
		return
	}
	if a.down || a.core != core {
		return
	}
	f()
	a.applyEffects()
}

// kill ends the agent process, which starts again after downtime. The worker keeps
// running.
func (a *simAgent) kill(downtime time.Duration) {
	a.down = true
	for _, l := range a.links {
		l.close()
	}
	a.links = make(map[string]*simLink)
	a.w.schedule(downtime, a.boot)
}

// restartWorker restarts the worker, which announces itself after delay.
func (a *simAgent) restartWorker(delay time.Duration) {
	a.worker.restart()
	up := a.worker.up
	a.w.schedule(delay, func() { a.do(func() { a.core.SetUpstream(up) }) })
}

func (a *simAgent) applyEffects() {
	for _, effect := range a.core.TakeEffects() {
		switch e := effect.(type) {
		case executor.Start:
			a.start(e)
		case executor.Stop:
			delay := localDelay + time.Duration(a.w.rng.Int64N(int64(maxStopDelay)))
			if a.w.clock.Now().Before(a.worker.lateStopsUntil) {
				delay += 2 * time.Second
			}
			a.w.schedule(delay, func() { a.worker.stop(e) })
		case executor.Poll:
			a.poll(e)
		case executor.TickAfter:
			core := a.core
			a.w.schedule(e.Delay, func() {
				a.do(func() {
					if a.core == core {
						core.Tick()
					}
				})
			})
		case executor.SendReport:
			if l := a.links[e.Entry]; l != nil && l.open {
				l.toEntry(e.Report)
			}
		}
	}
}

// start calls the worker to start a run. While the worker is unresponsive, the call takes
// effect late and without an answer.
func (a *simAgent) start(s executor.Start) {
	core := a.core
	deadline := s.LeaseUntil
	answer := func(out executor.CallResult) {
		a.do(func() {
			if a.core == core {
				core.HandleStartResult(s.Run, s.Token, out)
			}
		})
	}
	if a.w.clock.Now().Before(a.worker.unresponsiveUntil) {
		startDelay := time.Duration(a.w.rng.Int64N(int64(3 * time.Second)))
		a.w.schedule(startDelay, func() { a.worker.start(s, deadline) })
		a.w.schedule(s.Timeout, func() { answer(executor.Unanswered) })
		return
	}
	if lost := a.worker.unansweredShare; lost > 0 && a.w.rng.Float64() < lost {
		delay := localDelay
		if a.w.rng.IntN(2) == 0 {
			delay += time.Duration(a.w.rng.Int64N(int64(2 * callTimeout)))
		}
		a.w.schedule(delay, func() { a.worker.start(s, deadline) })
		a.w.schedule(s.Timeout, func() { answer(executor.Unanswered) })
		return
	}
	a.w.schedule(localDelay, func() {
		out := a.worker.start(s, deadline)
		a.w.schedule(localDelay, func() { answer(out) })
	})
}

// poll asks the worker for its runs. The worker answers when a run ends or the maximum
// wait is over.
func (a *simAgent) poll(p executor.Poll) {
	core := a.core
	deadline := p.LeaseUntil
	fail := func(out executor.CallResult) {
		a.do(func() {
			if a.core == core {
				core.HandlePollFailure(p.Number, out)
			}
		})
	}
	if a.w.clock.Now().Before(a.worker.unresponsiveUntil) {
		a.w.schedule(p.MaxWait+callTimeout, func() { fail(executor.Unanswered) })
		return
	}
	if a.w.clock.Now().Before(a.worker.lostAnswersUntil) {
		a.w.schedule(localDelay, func() {
			if p.Upstream.Born == a.worker.up.Born && p.Upstream.ID == a.worker.up.ID {
				a.worker.poll(p, deadline)
			}
		})
		a.w.schedule(p.MaxWait+callTimeout, func() { fail(executor.Unanswered) })
		return
	}
	end := a.w.clock.Now().Add(p.MaxWait)
	var attempt func()
	attempt = func() {
		if p.Upstream.Born != a.worker.up.Born || p.Upstream.ID != a.worker.up.ID {
			fail(executor.Misdirected)
			return
		}
		pollResult, ok := a.worker.poll(p, deadline)
		if !ok {
			fail(executor.Fenced)
			return
		}
		if len(pollResult.Ended) == 0 && a.w.clock.Now().Before(end) {
			a.w.schedule(time.Millisecond, attempt)
			return
		}
		a.w.schedule(localDelay, func() {
			a.do(func() {
				if a.core == core {
					core.HandlePollResult(pollResult)
				}
			})
		})
	}
	a.w.schedule(localDelay, attempt)
}
