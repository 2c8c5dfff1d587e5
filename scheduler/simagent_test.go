package scheduler_test

import (
	"time"

	"github.com/pomeloferry/pomeloferry/executor"
)

// boot starts an agent.
func (a *simAgent) boot() {
	now := a.sim.clock.Now()
	a.down = false
	a.incarnation = now.UnixMilli()
	a.core = executor.NewExecutor(a.sim.clock, executor.Identity{
		Agent: a.name, DataCentre: a.dataCentre, Incarnation: a.incarnation, Token: uint64(now.UnixMilli()) * 1000,
	}, executor.Config{DrainTimeout: 2 * time.Second})
	core := a.core
	if a.sim.store == nil {
		a.core.HandleEvacuationsUnread()
	} else {
		a.followStore()
	}
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
			delay := localDelay + a.sim.upTo(maxStopDelay)
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
		case executor.ReadEvacuations:
			a.readEvacuations()
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
		startDelay := a.sim.upTo(3 * time.Second)
		a.sim.schedule(startDelay, func() { a.worker.start(s, deadline) })
		a.sim.schedule(s.Timeout, func() { answer(executor.Unanswered) })
		return
	}
	if lost := a.worker.unansweredShare; lost > 0 && a.sim.rng.Float64() < lost {
		delay := localDelay
		if a.sim.rng.IntN(2) == 0 {
			delay += a.sim.upTo(2 * callTimeout)
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

// pause is like that of an entry.
func (a *simAgent) pause(d time.Duration) {
	a.pausedUntil = later(a.pausedUntil, a.sim.clock.Now().Add(d))
}
