package acceptor

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// The messages of the core.
type (
	// tick asks for a look at what has come due.
	tick struct{ sent time.Time }
	// dumpQuestion asks for a scheduler.Dump.
	dumpQuestion struct{}
	// submit hands a job in.
	submit struct {
		ticket uint64
		job    scheduler.Job
		reply  chan scheduler.Answer
	}
	// left tells that a caller has gone.
	left struct{ ticket uint64 }
	// configured carries a new configuration.
	configured struct{ configuration scheduler.Configuration }
	// stateQuestion, cancelQuestion and waitingQuestion ask for a job's state,
	// cancel a job, and count a queue's waiting jobs.
	stateQuestion   struct{ job string }
	cancelQuestion  struct{ job string }
	waitingQuestion struct{ queue string }
	// needQuestion asks for the scheduler.Need.
	needQuestion struct{}
	// releaseQuestion asks to end the links to agents on which nothing depends,
	// and for their names.
	releaseQuestion struct{ agents []string }
	// linkOpened tells of a new link to an agent.
	linkOpened struct {
		agent string
		link  *messenger.Link
	}
	// linkMessage carries a message from an agent.
	linkMessage struct {
		link *messenger.Link
		msg  any
	}
	// linkClosed tells that a link has ended.
	linkClosed struct{ link *messenger.Link }
)

// minPause is the least time without any message that counts as a pause.
const pauseLeast = 200 * time.Millisecond

// core owns the scheduler.
type core struct {
	acceptor  *Acceptor
	scheduler *scheduler.Scheduler
	replies   map[uint64]chan scheduler.Answer
	links     map[string]*link
	names     map[*messenger.Link]string
	// at is when the last message was taken in or had been dealt with.
	at time.Time
}

func newCore(a *Acceptor) *core {
	return &core{
		acceptor:  a,
		scheduler: scheduler.NewScheduler(a.deps.Clock, a.cfg.DataCentre),
		replies:   make(map[uint64]chan scheduler.Answer),
		links:     make(map[string]*link),
		names:     make(map[*messenger.Link]string),
	}
}

// Receive implements actor.Actor.
func (c *core) Receive(ctx actor.Context) {
	c.noticePause()
	switch m := ctx.Message().(type) {
	case tick:
		c.acceptor.lag.took(m.sent)
		c.scheduler.Tick()
		c.beat()
	case submit:
		c.replies[m.ticket] = m.reply
		c.scheduler.Submit(m.ticket, m.job)
	case left:
		delete(c.replies, m.ticket)
		c.scheduler.CallerLeft(m.ticket)
	case configured:
		c.scheduler.Configure(m.configuration)
	case linkOpened:
		c.opened(m)
	case linkMessage:
		c.receive(m)
	case linkClosed:
		c.closed(m.link)
	case dumpQuestion:
		ctx.Respond(c.scheduler.Dump())
	case needQuestion:
		ctx.Respond(c.scheduler.CapacityNeed())
	case releaseQuestion:
		ctx.Respond(c.release(m.agents))
	case stateQuestion:
		ctx.Respond(c.scheduler.State(m.job))
	case cancelQuestion:
		ctx.Respond(c.scheduler.Cancel(m.job))
	case waitingQuestion:
		ctx.Respond(c.scheduler.Waiting(m.queue))
	}
	c.carryOut()
	c.noticePause()
}

// noticePause tells the scheduler of a pause of the process, between messages or
// within one: a tick comes sooner.
func (c *core) noticePause() {
	now := c.acceptor.deps.Clock.Now()
	if !c.at.IsZero() && now.Sub(c.at) > pauseLeast {
		c.scheduler.Resumed()
	}
	c.at = now
}

// applyEffects does what the scheduler decided.
func (c *core) carryOut() {
	for _, e := range c.scheduler.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Send:
			c.acceptor.meters.sent.Inc()
			if l := c.links[e.Agent]; l != nil {
				l.Send(e.Message)
			}
		case scheduler.Reply:
			if ch := c.replies[e.Ticket]; ch != nil {
				ch <- e.Answer
				delete(c.replies, e.Ticket)
			}
		case scheduler.Note:
			c.note(e)
		}
	}
}

func (c *core) note(n scheduler.Note) {
	c.acceptor.meters.decided(n.What)
	if n.Size != "" {
		c.acceptor.meters.waited(n.Size, n.Wait.Seconds())
	}
	c.acceptor.deps.Log.WithFields(logrus.Fields{
		"job":    n.Job,
		"queue":  n.Queue,
		"task":   n.Run.Task,
		"run":    n.Run.Number,
		"agent":  n.Agent,
		"why":    n.Why,
		"age_ms": n.Age.Milliseconds(),
	}).Info(n.What)
}

func (c *core) receive(m linkMessage) {
	name, ok := c.names[m.link]
	if !ok {
		return
	}
	r, ok := m.msg.(*messenger.Report)
	if !ok || r.Agent != name {
		return
	}
	c.links[name].heard(r.Timestamp)
	c.scheduler.HandleReport(*r)
}
