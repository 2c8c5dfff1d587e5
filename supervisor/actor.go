package supervisor

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
)

// Messages to the agent's actor.
type (
	// tick makes the actor process due work.
	tick struct{}
	// shutdown begins the shutdown of the agent.
	shutdown struct{}
	// idleQuery asks whether no run is left.
	idleQuery struct{}
	// dumpQuery asks for an executor.Dump.
	dumpQuery struct{}
	// linkMessage carries a message from an entry.
	linkMessage struct {
		link *messenger.Link
		msg  any
	}
	// linkClosed reports that a link has ended.
	linkClosed struct{ link *messenger.Link }
	// heartbeat carries a heartbeat of the worker. It is answered once processed.
	heartbeat struct{ platform.Heartbeat }
	// upstreamRestored carries the worker that an earlier incarnation of the agent
	// registered.
	upstreamRestored struct{ upstream messenger.Upstream }
	// workerDeparted reports that the worker has left.
	workerDeparted struct{ id string }
	// evacuationsRead carries the evacuations in the store, and evacuationsUnread reports
	// that they could not be read.
	evacuationsRead   struct{ view evacuator.View }
	evacuationsUnread struct{}
	// storeCalled reports whether the store has answered a call for the registration.
	storeCalled struct{ answered bool }
	// startResult carries the call result of a start.
	startResult struct {
		start  executor.Start
		result executor.CallResult
	}
	// pollResult carries the outcome of a poll.
	pollResult struct {
		result     executor.PollResult
		callResult executor.CallResult
	}
)

// onlyReads reports whether processing a message changes no state.
func onlyReads(msg any) bool {
	switch msg.(type) {
	case idleQuery, dumpQuery:
		return true
	}
	return false
}

const (
	// maxOvertaken is by how many later ones a heartbeat may be overtaken, and
	// maxHeartbeatDelay how long after the last of them it may arrive.
	maxOvertaken      = 100
	maxHeartbeatDelay = 3 * time.Second
)

// agentActor owns the executor and applies its effects.
type agentActor struct {
	supervisor *Supervisor
	executor   *executor.Executor
	// links maps the name of an entry to its newest link.
	links       map[string]*messenger.Link
	entryByLink map[*messenger.Link]string
	// lastHeartbeat is the last heartbeat that was accepted, and lastHeartbeatAt when.
	lastHeartbeat   platform.Heartbeat
	lastHeartbeatAt time.Time
	callPool        *callPool
	metrics         agentMetrics
}

func newAgentActor(s *Supervisor) *agentActor {
	return &agentActor{
		supervisor: s,
		executor: executor.NewExecutor(s.deps.Clock, s.identity, executor.Config{
			DrainTimeout:      s.cfg.DrainTimeout,
			EvacuationTimeout: s.cfg.EvacuationTimeout,
		}),
		links:       make(map[string]*messenger.Link),
		entryByLink: make(map[*messenger.Link]string),
		callPool:    newCallPool(s.ctx),
		metrics:     newAgentMetrics(s.deps.Metrics),
	}
}

// Receive implements actor.Actor.
func (c *agentActor) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case tick:
		c.executor.Tick()
		c.metrics.evacuationsAge.Set(c.executor.EvacuationsAge().Seconds())
	case shutdown:
		c.executor.BeginShutdown()
	case idleQuery:
		ctx.Respond(c.executor.Idle())
	case dumpQuery:
		ctx.Respond(c.executor.Dump())
	case linkMessage:
		c.handleLinkMessage(m)
	case linkClosed:
		c.handleLinkClosed(m.link)
	case heartbeat:
		ctx.Respond(c.handleHeartbeat(m.Heartbeat))
	case upstreamRestored:
		c.restoreUpstream(m.upstream)
	case workerDeparted:
		c.supervisor.deps.Log.WithField("worker", m.id).Info("worker left")
		c.executor.HandleWorkerDeparture(m.id)
	case evacuationsRead:
		c.executor.HandleEvacuationsRead(m.view)
	case evacuationsUnread:
		c.executor.HandleEvacuationsUnread()
	case storeCalled:
		c.executor.HandleStoreCall(m.answered)
	case startResult:
		c.executor.HandleStartResult(m.start.Run, m.start.Token, m.result)
	case pollResult:
		c.handlePollResult(m)
	}
	c.applyEffects()
}

func (c *agentActor) handlePollResult(m pollResult) {
	if m.callResult == executor.Accepted {
		c.executor.HandlePollResult(m.result)
		return
	}
	c.executor.HandlePollFailure(m.result.Number, m.callResult)
}

// handleHeartbeat applies a heartbeat and reports whether what it says is followed. It
// ignores one that was sent before the last one of the same incarnation, and one of a worker
// that was started before the present one. But an incarnation that drains never takes that
// back, so it is followed whenever it arrives, and whatever is said afterwards: the later one
// is late, or of another writer.
func (c *agentActor) handleHeartbeat(h platform.Heartbeat) bool {
	up := c.executor.Upstream()
	sameIncarnation := h.ID == up.ID && h.Born == up.Born
	now := c.supervisor.deps.Clock.Now()
	outdated := h.Born < up.Born || c.overtaken(h, now)
	switch {
	case outdated && sameIncarnation && h.Draining && !up.Draining:
		up.Draining = true
		up.Remaining = h.Remaining
		c.useUpstream(up)
		return true
	case outdated:
		c.supervisor.deps.Log.WithField("worker", h.ID).WithField("sequence", h.Sequence).Info("outdated heartbeat ignored")
		return false
	case sameIncarnation && up.Draining && !h.Draining && h.Born != platform.UnknownBorn:
		h.Draining = true
		h.Remaining = up.Remaining
	}
	c.lastHeartbeat = h
	c.lastHeartbeatAt = now
	c.supervisor.worker.ObserveClock(h.ID, h.Born, h.ClockMillis)
	c.useUpstream(h.Upstream)
	return true
}

// useUpstream applies what the worker says of itself, and registers it if it has changed.
func (c *agentActor) useUpstream(u messenger.Upstream) {
	up := c.executor.Upstream()
	if u.Incarnation() != up.Incarnation() || u.Draining != up.Draining || u.Capacity != up.Capacity {
		c.supervisor.deps.Log.WithFields(logrus.Fields{
			"worker":   u.ID,
			"born":     u.Born,
			"draining": u.Draining,
			"cpu":      u.Capacity.CPU,
		}).Info("worker changed")
		c.supervisor.publishUpstream(u)
	}
	c.executor.SetUpstream(u)
}

// overtaken reports whether a heartbeat was sent before the last one of the same
// incarnation. The last one may be of another writer, with an odd number: then the true
// ones that follow are far behind it, or go on for longer than any is delayed.
func (c *agentActor) overtaken(h platform.Heartbeat, now time.Time) bool {
	last := c.lastHeartbeat
	behind := last.Sequence - h.Sequence
	return h.ID == last.ID && h.Born == last.Born && behind > 0 && behind <= maxOvertaken &&
		now.Sub(c.lastHeartbeatAt) <= maxHeartbeatDelay
}

// restoreUpstream uses the worker that an earlier incarnation of the agent registered,
// unless the worker has sent a heartbeat already. The first poll shows whether that
// worker is still there, since each call names the incarnation of the worker that it is
// meant for.
func (c *agentActor) restoreUpstream(u messenger.Upstream) {
	if up := c.executor.Upstream(); up.ID != "" {
		return
	}
	c.supervisor.deps.Log.WithField("worker", u.ID).WithField("born", u.Born).Info("worker restored from the registration")
	c.executor.RestoreUpstream(u)
}

func (c *agentActor) handleLinkMessage(m linkMessage) {
	if h, ok := m.msg.(*messenger.Hello); ok {
		c.handleHello(m.link, *h)
		return
	}
	name, ok := c.entryByLink[m.link]
	if !ok {
		return // A newer link of the same entry has replaced this one.
	}
	switch msg := m.msg.(type) {
	case *messenger.Heartbeat:
		c.executor.HandleHeartbeat(name, *msg)
	case *messenger.Place:
		c.executor.HandlePlace(name, *msg)
	case *messenger.Withdraw:
		c.executor.HandleWithdraw(name, *msg)
	case *messenger.Reserve:
		c.executor.HandleReserve(name, *msg)
	case *messenger.WitnessList:
		c.executor.HandleWitnessList(name, *msg)
	case *messenger.LockJobs:
		c.executor.HandleLockJobs(name, *msg)
	}
}

func (c *agentActor) handleHello(l *messenger.Link, h messenger.Hello) {
	if old := c.links[h.Entry]; old != nil {
		delete(c.entryByLink, old)
		old.Close()
	}
	c.links[h.Entry] = l
	c.entryByLink[l] = h.Entry
	c.supervisor.deps.Log.WithField("entry", h.Entry).Info("entry connected")
	c.executor.HandleHello(h)
}

func (c *agentActor) handleLinkClosed(l *messenger.Link) {
	name, ok := c.entryByLink[l]
	if !ok {
		return
	}
	delete(c.entryByLink, l)
	delete(c.links, name)
	c.supervisor.deps.Log.WithField("entry", name).Info("entry disconnected")
	c.executor.HandleLinkClosed(name)
}

// applyEffects applies the executor's pending effects.
func (c *agentActor) applyEffects() {
	s := c.supervisor
	for _, e := range c.executor.TakeEffects() {
		switch e := e.(type) {
		case executor.Start:
			c.metrics.starts.Inc()
			c.callPool.run(func() { s.start(e) })
		case executor.Stop:
			c.metrics.stops.Inc()
			c.callPool.run(func() { s.stop(e) })
		case executor.Poll:
			c.metrics.polls.Inc()
			c.callPool.run(func() { s.poll(e) })
		case executor.SendReport:
			c.metrics.reports.Inc()
			if l := c.links[e.Entry]; l != nil {
				l.Send(e.Report)
			}
		case executor.SendLockReply:
			if l := c.links[e.Entry]; l != nil {
				l.Send(e.Reply)
			}
		case executor.SendWitnesses:
			if l := c.links[e.Entry]; l != nil {
				l.Send(e.List)
			}
		case executor.ReadEvacuations:
			c.metrics.evacuationReads.Inc()
			s.requestEvacuations()
		case executor.TickAfter:
			s.deps.Clock.AfterFunc(e.Delay, func() { s.post(tick{}) })
		case executor.Note:
			c.metrics.countDecision(e.What)
			s.logNote(e)
		}
	}
	c.metrics.setUsage(c.executor)
}

func (s *Supervisor) start(e executor.Start) {
	result, err := s.worker.Start(s.ctx, e)
	if err != nil {
		s.deps.Log.WithError(err).WithField("task", e.Run.Task).WithField("run", e.Run.Number).WithField("token", e.Token).Warn("start failed")
	}
	s.post(startResult{start: e, result: result})
}

func (s *Supervisor) stop(e executor.Stop) {
	if _, err := s.worker.Stop(s.ctx, e); err != nil {
		s.deps.Log.WithError(err).WithField("task", e.Run.Task).WithField("run", e.Run.Number).Warn("stop failed")
	}
}

func (s *Supervisor) poll(p executor.Poll) {
	result, callResult, err := s.worker.Poll(s.ctx, p)
	if err != nil && s.ctx.Err() == nil {
		s.deps.Log.WithError(err).WithField("worker", p.Upstream.ID).WithField("token", p.Token).Warn("poll failed")
	}
	s.post(pollResult{result: result, callResult: callResult})
}

func (s *Supervisor) logNote(n executor.Note) {
	s.deps.Log.WithFields(logrus.Fields{
		"task":   n.Run.Task,
		"run":    n.Run.Number,
		"entry":  n.Owner,
		"worker": n.Worker,
		"why":    n.Why,
		"age_ms": n.Age.Milliseconds(),
	}).Info(n.What)
}
