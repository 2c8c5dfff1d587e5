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
	e.incarnation = e.sim.clock.Now().UnixMilli()
	e.core = scheduler.NewScheduler(e.sim.clock, e.name, "dc-"+e.name[len("entry-"):])
	e.tickets = make(map[uint64]string)
	e.links = make(map[string]*simLink)
	e.disconnected = make(map[uint64]bool)
	e.down = false
	e.activeAt = e.sim.clock.Now()
	core := e.core
	core.Configure(e.sim.configuration())
	core.SetWitnesses(e.sim.witnesses)
	for _, a := range e.sim.agents {
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
		e.sim.schedule(10*time.Millisecond, tick)
	}
	tick()
}

// restartDelay is how long after its end a process starts again.
const restartDelay = 200 * time.Millisecond

// panicCountdown makes a process panic after a number of events, so that the effects of the
// last one are lost and the process ends. Zero means never.
type panicCountdown struct{ events int }

// panicsNow counts an event and reports whether the process panics on it.
func (c *panicCountdown) panicsNow() bool {
	if c.events == 0 {
		return false
	}
	c.events--
	return c.events == 0
}

// pause pauses the process. A pause during another one does not shorten it: what is
// received is handled in order.
func (e *simEntry) pause(d time.Duration) {
	e.pausedUntil = later(e.pausedUntil, e.sim.clock.Now().Add(d))
}

// pause is like that of an entry.
func (a *simAgent) pause(d time.Duration) {
	a.pausedUntil = later(a.pausedUntil, a.sim.clock.Now().Add(d))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
			l.toAgent(messenger.Heartbeat{Timestamp: now.Sub(l.openedAt), Echo: l.echo, Backlog: e.core.Backlog(), AckedOutcome: e.core.LastOutcome(a.name), Unlocked: e.core.TakeUnlocked(a.name)})
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
	l.agent.sim.schedule(l.agent.sim.linkDelay, func() {
		if l.cut {
			return
		}
		l.heldToAgent.deliver(l.agent.sim, l.toAgentHeldUntil, func() { l.receive(core, msg) })
	})
}

// receive has the agent handle a message, unless the link is closed or replaced.
func (l *simLink) receive(core *executor.Executor, msg any) {
	if !l.open || l.agent.core != core {
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
			l.agent.sim.placedRuns += len(m.Tasks)
			core.HandlePlace(l.entry.name, m)
		case messenger.WitnessList:
			core.HandleWitnessList(l.entry.name, m)
		case messenger.LockJobs:
			l.agent.sim.lockRequests += len(m.Jobs)
			core.HandleLockJobs(l.entry.name, m)
		case messenger.Withdraw:
			core.HandleWithdraw(l.entry.name, m)
		case messenger.Reserve:
			if !l.agent.sim.ignoreReserve {
				core.HandleReserve(l.entry.name, m)
			}
		}
	})
}

// toEntry delivers a report to the entry after the link's delay, unless the link is
// closed or replaced by then.
func (l *simLink) toEntry(r messenger.Report) {
	if l.agent.sim.withoutSpeeds {
		r.Speed, r.SpeedJobs = 0, 0
	}
	core := l.entry.core
	l.sendToEntry(func() {
		l.lastReportAt = l.entry.sim.clock.Now()
		l.echo = r.Timestamp
		l.agent.sim.countCapacityRefusals(r.Refused)
		core.HandleReport(r)
	})
}

// replyToEntry delivers the answer to a lock request to the entry, as toEntry does.
func (l *simLink) replyToEntry(r messenger.LockReply) {
	core := l.entry.core
	l.sendToEntry(func() { core.HandleLockReply(l.agent.name, r) })
}

// tellEntry delivers the list of witnesses to the entry, as toEntry does.
func (l *simLink) tellEntry(list messenger.WitnessList) {
	core := l.entry.core
	l.sendToEntry(func() { core.HandleWitnessList(l.agent.name, list) })
}

// sendToEntry has the entry handle a message after the link's delay, unless the link is
// closed or replaced by then.
func (l *simLink) sendToEntry(handle func()) {
	sim, core := l.entry.sim, l.entry.core
	sim.schedule(sim.linkDelay, func() {
		if l.cut {
			return
		}
		l.heldToEntry.deliver(sim, l.toEntryHeldUntil, func() {
			if l.open && l.entry.core == core && l.agent.links[l.entry.name] == l {
				l.entry.do(handle)
			}
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
	now := a.sim.clock.Now()
	a.down = false
	a.incarnation = now.UnixMilli()
	a.core = executor.NewExecutor(a.sim.clock, executor.Identity{
		Agent: a.name, DataCentre: a.dataCentre, Incarnation: a.incarnation, Token: uint64(now.UnixMilli()) * 1000,
	}, executor.Config{DrainTimeout: 2 * time.Second})
	core := a.core
	a.core.RestoreUpstream(a.worker.registered())
	var tick func()
	tick = func() {
		if a.core != core || a.down {
			return
		}
		a.do(func() { core.Tick() })
		a.sim.schedule(20*time.Millisecond, tick)
	}
	tick()
}

// do calls f, which handles one event of the agent, and then applies the effects. If the
// process is paused, that happens after the pause.
func (a *simAgent) do(f func()) {
	core := a.core
	if wait := a.pausedUntil.Sub(a.sim.clock.Now()); wait > 0 {
		a.sim.schedule(wait, func() {
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
	if a.panicsNow() {
		a.core.TakeEffects()
		a.kill(restartDelay)
		return
	}
	a.applyEffects()
}

// kill ends the agent process, which starts again after downtime. The worker keeps
// running.
func (a *simAgent) kill(downtime time.Duration) {
	a.down = true
	for _, l := range a.links {
		if a.sim.clock.Now().Before(l.entry.cutUntil[a.name]) {
			l.cut = true // The entry notices by the silence.
			continue
		}
		l.close()
	}
	a.links = make(map[string]*simLink)
	a.sim.schedule(downtime, a.boot)
}

// restartWorker restarts the worker, which announces itself after delay.
func (a *simAgent) restartWorker(delay time.Duration) {
	a.worker.restart()
	upstream := a.worker.upstream
	a.sim.schedule(delay, func() { a.do(func() { a.core.SetUpstream(upstream) }) })
}

func (a *simAgent) applyEffects() {
	for _, effect := range a.core.TakeEffects() {
		switch e := effect.(type) {
		case executor.Start:
			a.start(e)
		case executor.Stop:
			delay := localDelay + time.Duration(a.sim.rng.Int64N(int64(maxStopDelay)))
			if a.sim.clock.Now().Before(a.worker.lateStopsUntil) {
				delay += 2 * time.Second
			}
			a.sim.schedule(delay, func() { a.worker.stop(e) })
		case executor.Poll:
			a.poll(e)
		case executor.TickAfter:
			core := a.core
			a.sim.schedule(e.Delay, func() {
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
		case executor.SendWitnesses:
			if l := a.links[e.Entry]; l != nil && l.open {
				l.tellEntry(e.List)
			}
		case executor.SendLockReply:
			if l := a.links[e.Entry]; l != nil && l.open {
				l.replyToEntry(e.Reply)
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
	if a.worker.down {
		a.sim.schedule(localDelay, func() { answer(executor.NoListener) })
		return
	}
	if a.sim.clock.Now().Before(a.worker.unresponsiveUntil) {
		startDelay := time.Duration(a.sim.rng.Int64N(int64(3 * time.Second)))
		a.sim.schedule(startDelay, func() { a.worker.start(s, deadline) })
		a.sim.schedule(s.Timeout, func() { answer(executor.Unanswered) })
		return
	}
	if lost := a.worker.unansweredShare; lost > 0 && a.sim.rng.Float64() < lost {
		delay := localDelay
		if a.sim.rng.IntN(2) == 0 {
			delay += time.Duration(a.sim.rng.Int64N(int64(2 * callTimeout)))
		}
		a.sim.schedule(delay, func() { a.worker.start(s, deadline) })
		a.sim.schedule(s.Timeout, func() { answer(executor.Unanswered) })
		return
	}
	a.sim.schedule(localDelay, func() {
		if a.worker.down {
			a.sim.schedule(localDelay, func() { answer(executor.NoListener) })
			return
		}
		out := a.worker.start(s, deadline)
		a.sim.schedule(localDelay, func() { answer(out) })
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
	if a.worker.down {
		a.sim.schedule(localDelay, func() { fail(executor.NoListener) })
		return
	}
	if a.sim.clock.Now().Before(a.worker.unresponsiveUntil) {
		a.sim.schedule(p.MaxWait+callTimeout, func() { fail(executor.Unanswered) })
		return
	}
	if a.sim.clock.Now().Before(a.worker.lostAnswersUntil) {
		a.sim.schedule(localDelay, func() {
			if p.Upstream.Born == a.worker.upstream.Born && p.Upstream.ID == a.worker.upstream.ID {
				a.worker.poll(p, deadline)
			}
		})
		a.sim.schedule(p.MaxWait+callTimeout, func() { fail(executor.Unanswered) })
		return
	}
	end := a.sim.clock.Now().Add(p.MaxWait)
	var attempt func()
	attempt = func() {
		if a.worker.down {
			fail(executor.Unanswered) // The connection breaks.
			return
		}
		if p.Upstream.Born != a.worker.upstream.Born || p.Upstream.ID != a.worker.upstream.ID {
			fail(executor.Misdirected)
			return
		}
		pollResult, ok := a.worker.poll(p, deadline)
		if !ok {
			fail(executor.Fenced)
			return
		}
		if len(pollResult.Ended) == 0 && a.sim.clock.Now().Before(end) {
			a.sim.schedule(time.Millisecond, attempt)
			return
		}
		a.sim.schedule(localDelay, func() {
			a.do(func() {
				if a.core == core {
					core.HandlePollResult(pollResult)
				}
			})
		})
	}
	a.sim.schedule(localDelay, attempt)
}
