package attendant

import (
	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
)

// The messages of the core.
type (
	// tick asks for a look at what has come due.
	tick struct{}
	// leaving begins a planned stop.
	leaving struct{}
	// idleQuestion asks whether nothing runs.
	idleQuestion struct{}
	// dumpQuestion asks for an executor.Dump.
	dumpQuestion struct{}
	// linkMessage carries a message from an entry.
	linkMessage struct {
		link *messenger.Link
		msg  any
	}
	// linkClosed tells that a link has ended.
	linkClosed struct{ link *messenger.Link }
	// heartbeat carries the worker's word on itself.
	heartbeat struct{ platform.Heartbeat }
	// recalled carries the worker that an earlier incarnation knew.
	recalled struct{ upstream messenger.Upstream }
	// departed tells that the worker has left.
	departed struct{ id string }
	// started carries the outcome of a start.
	started struct {
		order executor.Start
		out   executor.CallResult
	}
	// looked carries the answer to a look.
	looked struct {
		seen executor.PollResult
		out  executor.CallResult
	}
)

// core owns the executor.
type core struct {
	attendant *Attendant
	executor  *executor.Executor
	// links maps the name of an entry to its newest link.
	links map[string]*messenger.Link
	names map[*messenger.Link]string
	// last is the last heartbeat that was taken in.
	last   platform.Heartbeat
	calls  *calls
	meters meters
}

func newCore(a *Attendant) *core {
	return &core{
		attendant: a,
		executor: executor.NewExecutor(a.deps.Clock, a.identity, executor.Config{
			DrainTimeout: a.cfg.DrainWithin,
		}),
		links:  make(map[string]*messenger.Link),
		names:  make(map[*messenger.Link]string),
		calls:  newCalls(a.ctx),
		meters: newMeters(a.deps.Metrics),
	}
}

// Receive implements actor.Actor.
func (c *core) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case tick:
		c.executor.Tick()
	case leaving:
		c.executor.BeginShutdown()
	case idleQuestion:
		ctx.Respond(c.executor.Idle())
	case dumpQuestion:
		ctx.Respond(c.executor.Dump())
	case linkMessage:
		c.receive(m)
	case linkClosed:
		c.closed(m.link)
	case heartbeat:
		c.heartbeat(m.Heartbeat)
		ctx.Respond(true)
	case recalled:
		c.recall(m.upstream)
	case departed:
		c.attendant.deps.Log.WithField("worker", m.id).Info("worker left")
		c.executor.HandleWorkerDeparture(m.id)
	case started:
		c.executor.HandleStartResult(m.order.Run, m.order.Token, m.out)
	case looked:
		c.looked(m)
	}
	c.carryOut()
}

func (c *core) looked(m looked) {
	if m.out == executor.Accepted {
		c.executor.HandlePollResult(m.seen)
		return
	}
	c.executor.HandlePollFailure(m.seen.Number, m.out)
}

// heartbeat takes in the worker's word, unless a later one has come before.
func (c *core) heartbeat(h platform.Heartbeat) {
	up := c.executor.Upstream()
	same := h.ID == up.ID && h.Born == up.Born
	late := h.ID == c.last.ID && h.Born == c.last.Born && h.Sequence < c.last.Sequence
	if h.Born < up.Born || late {
		c.attendant.deps.Log.WithField("worker", h.ID).WithField("sequence", h.Sequence).Info("late heartbeat passed over")
		return
	}
	if !same || h.Draining != up.Draining {
		c.attendant.deps.Log.WithFields(logrus.Fields{
			"worker":   h.ID,
			"born":     h.Born,
			"draining": h.Draining,
			"cpu":      h.Capacity.CPU,
		}).Info("worker changed")
		c.attendant.describe(h.Upstream)
	}
	c.last = h
	c.attendant.worker.Sample(h.ID, h.Born, h.ClockMillis)
	c.executor.SetUpstream(h.Upstream)
}

// recall uses what an earlier incarnation knew of the worker, unless the
// worker has announced itself already. Its first look shows whether it still
// holds, since each call names the incarnation that it is meant for.
func (c *core) recall(u messenger.Upstream) {
	if up := c.executor.Upstream(); up.ID != "" {
		return
	}
	c.attendant.deps.Log.WithField("worker", u.ID).WithField("born", u.Born).Info("worker recalled")
	c.executor.SetUpstream(u)
}

func (c *core) receive(m linkMessage) {
	if h, ok := m.msg.(*messenger.Hello); ok {
		c.hello(m.link, *h)
		return
	}
	name, ok := c.names[m.link]
	if !ok {
		return // A link that another one of the same entry has replaced.
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
	}
}

func (c *core) hello(l *messenger.Link, h messenger.Hello) {
	if old := c.links[h.Entry]; old != nil {
		delete(c.names, old)
		old.Close()
	}
	c.links[h.Entry] = l
	c.names[l] = h.Entry
	c.attendant.deps.Log.WithField("entry", h.Entry).Info("entry in touch")
	c.executor.HandleHello(h)
}

func (c *core) closed(l *messenger.Link) {
	name, ok := c.names[l]
	if !ok {
		return
	}
	delete(c.names, l)
	delete(c.links, name)
	c.attendant.deps.Log.WithField("entry", name).Info("entry out of touch")
	c.executor.HandleLinkClosed(name)
}

// applyEffects does what the executor decided.
func (c *core) carryOut() {
	a := c.attendant
	for _, e := range c.executor.TakeEffects() {
		switch e := e.(type) {
		case executor.Start:
			c.meters.starts.Inc()
			c.calls.do(func() { a.start(e) })
		case executor.Stop:
			c.meters.stops.Inc()
			c.calls.do(func() { a.stop(e) })
		case executor.Poll:
			c.meters.looks.Inc()
			c.calls.do(func() { a.look(e) })
		case executor.SendReport:
			c.meters.reports.Inc()
			if l := c.links[e.Entry]; l != nil {
				l.Send(e.Report)
			}
		case executor.TickAfter:
			a.deps.Clock.AfterFunc(e.Delay, func() { a.post(tick{}) })
		case executor.Note:
			c.meters.decided(e.What)
			a.note(e)
		}
	}
	c.meters.reserved.Set(float64(c.executor.ReservedCapacity().CPU))
}

func (a *Attendant) start(s executor.Start) {
	out, err := a.worker.Start(a.ctx, s)
	if err != nil {
		a.deps.Log.WithError(err).WithField("task", s.Run.Task).WithField("run", s.Run.Number).WithField("token", s.Token).Warn("start failed")
	}
	a.post(started{order: s, out: out})
}

func (a *Attendant) stop(s executor.Stop) {
	if _, err := a.worker.Stop(a.ctx, s); err != nil {
		a.deps.Log.WithError(err).WithField("task", s.Run.Task).WithField("run", s.Run.Number).Warn("stop failed")
	}
}

func (a *Attendant) look(l executor.Poll) {
	seen, out, err := a.worker.Look(a.ctx, l)
	if err != nil && a.ctx.Err() == nil {
		a.deps.Log.WithError(err).WithField("worker", l.Upstream.ID).WithField("token", l.Token).Warn("look failed")
	}
	a.post(looked{seen: seen, out: out})
}

func (a *Attendant) note(n executor.Note) {
	a.deps.Log.WithFields(logrus.Fields{
		"task":   n.Run.Task,
		"run":    n.Run.Number,
		"entry":  n.Owner,
		"worker": n.Worker,
		"why":    n.Why,
		"age_ms": n.Age.Milliseconds(),
	}).Info(n.What)
}
