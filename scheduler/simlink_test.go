package scheduler_test

import (
	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

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
			l.greeted = true
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
	if !l.greeted {
		r.Evacuations = nil // It echoes timestamps of the link before, to which it would go.
	}
	core := l.entry.core
	l.sendToEntry(func() {
		l.lastReportAt = l.entry.sim.clock.Now()
		l.echo = r.Timestamp
		l.agent.sim.countCapacityRefusals(r.Refused)
		l.entry.receiveEvacuations(l, r)
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
