package acceptor

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// Messages to the entry's actor.
type (
	// tick makes the actor process due work.
	tick struct{ sentAt time.Time }
	// dumpQuery asks for a scheduler.Dump.
	dumpQuery struct{}
	// submitJob submits a job.
	submitJob struct {
		ticket uint64
		job    scheduler.Job
		reply  chan scheduler.Answer
	}
	// callerDisconnected reports that the caller of a job has disconnected.
	callerDisconnected struct{ ticket uint64 }
	// configurationChanged reports that another configuration is in force.
	configurationChanged struct{}
	// stateQuery asks for a job's state, cancelJob cancels a job, and waitingQuery
	// asks for the number of a queue's waiting jobs.
	stateQuery   struct{ job string }
	cancelJob    struct{ job string }
	waitingQuery struct{ queue string }
	// needQuery asks for the scheduler.CapacityNeed.
	needQuery struct{}
	// witnessesRead carries the list of witnesses in the store.
	witnessesRead struct{ list messenger.WitnessList }
	// witnessChangeQuery asks for the scheduler.WitnessChange.
	witnessChangeQuery struct{}
	// releaseLinks closes the links to those agents at which the entry has no runs.
	// The answer holds the names of the agents that are not linked afterwards.
	releaseLinks struct{ agents []string }
	// linkOpened carries a new link to an agent.
	linkOpened struct {
		agent string
		link  *messenger.Link
	}
	// linkMessage carries a message from an agent.
	linkMessage struct {
		link *messenger.Link
		msg  any
	}
	// linkClosed reports that a link has ended.
	linkClosed struct{ link *messenger.Link }
)

// onlyReads reports whether processing a message changes no state.
func onlyReads(msg any) bool {
	switch msg.(type) {
	case dumpQuery, stateQuery, waitingQuery, witnessChangeQuery:
		return true
	}
	return false
}

// minPause is the minimum time without activity of the actor that counts as a pause of
// the process.
const minPause = 200 * time.Millisecond

// entryActor owns the scheduler and applies its effects.
type entryActor struct {
	acceptor  *Acceptor
	scheduler *scheduler.Scheduler
	// replies maps the ticket of a submitted job to the channel for its answer.
	replies map[uint64]chan scheduler.Answer
	// links maps the name of an agent to the open link to it.
	links       map[string]*agentLink
	agentByLink map[*messenger.Link]string
	// lastActiveAt is when the processing of the last message began or ended.
	lastActiveAt time.Time
}

func newEntryActor(a *Acceptor) *entryActor {
	return &entryActor{
		acceptor:    a,
		scheduler:   scheduler.NewScheduler(a.deps.Clock, a.cfg.ID, a.cfg.DataCentre),
		replies:     make(map[uint64]chan scheduler.Answer),
		links:       make(map[string]*agentLink),
		agentByLink: make(map[*messenger.Link]string),
	}
}

// Receive implements actor.Actor.
func (c *entryActor) Receive(ctx actor.Context) {
	c.detectPause()
	switch m := ctx.Message().(type) {
	case tick:
		c.acceptor.lag.observeTick(m.sentAt)
		c.scheduler.Tick()
		c.sendHeartbeats()
		c.acceptor.metrics.setEvacuationsAge(c.acceptor.evacuations(), c.acceptor.deps.Clock.Now())
	case submitJob:
		c.replies[m.ticket] = m.reply
		c.scheduler.Submit(m.ticket, m.job)
	case callerDisconnected:
		delete(c.replies, m.ticket)
		c.scheduler.CallerLeft(m.ticket)
	case configurationChanged:
		c.configure()
	case witnessesRead:
		c.scheduler.ReadWitnesses(m.list)
	case linkOpened:
		c.handleLinkOpened(m)
	case linkMessage:
		c.handleLinkMessage(m)
	case linkClosed:
		c.handleLinkClosed(m.link)
	case dumpQuery:
		ctx.Respond(c.dump())
	case needQuery:
		ctx.Respond(c.scheduler.CapacityNeed())
	case releaseLinks:
		ctx.Respond(c.releaseIdleLinks(m.agents))
	case witnessChangeQuery:
		ctx.Respond(c.scheduler.WitnessChange())
	case stateQuery:
		ctx.Respond(c.scheduler.State(m.job))
	case cancelJob:
		ctx.Respond(c.scheduler.Cancel(m.job))
	case waitingQuery:
		ctx.Respond(c.scheduler.Waiting(m.queue))
	}
	c.applyEffects()
	c.detectPause()
}

// detectPause reports a pause of the process to the scheduler. It is called before and
// after each message, so it finds pauses between messages and during one. Without a
// pause, a tick comes sooner than minPause.
func (c *entryActor) detectPause() {
	now := c.acceptor.deps.Clock.Now()
	if !c.lastActiveAt.IsZero() && now.Sub(c.lastActiveAt) > minPause {
		c.scheduler.Resumed()
	}
	c.lastActiveAt = now
}

// applyEffects applies the scheduler's pending effects.
func (c *entryActor) applyEffects() {
	for _, e := range c.scheduler.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Send:
			c.acceptor.metrics.messagesSent.Inc()
			if l := c.links[e.Agent]; l != nil {
				l.Send(e.Message)
			}
		case scheduler.Reply:
			if ch := c.replies[e.Ticket]; ch != nil {
				ch <- e.Answer
				delete(c.replies, e.Ticket)
			}
		case scheduler.WitnessesChanged:
			c.acceptor.witnessList.Store(&e.List)
			c.acceptor.keptWitnesses.Store(&e.Kept)
			c.acceptor.deps.Log.WithFields(logrus.Fields{"version": e.List.Version, "witnesses": e.List.Current, "previous": e.List.Previous, "kept": e.Kept}).Info("witnesses in force")
		case scheduler.QuorumContactChanged:
			c.acceptor.quorumLost.Store(e.Lost)
		case scheduler.Note:
			c.logNote(e)
		}
	}
}

func (c *entryActor) logNote(n scheduler.Note) {
	c.acceptor.metrics.countDecision(n.What)
	if n.Size != "" {
		c.acceptor.metrics.observeWait(n.Size, n.Wait.Seconds())
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

func (c *entryActor) handleLinkMessage(m linkMessage) {
	name, ok := c.agentByLink[m.link]
	if !ok {
		return
	}
	switch msg := m.msg.(type) {
	case *messenger.Report:
		if msg.Agent == name {
			c.links[name].recordTimestamp(msg.Timestamp)
			c.receiveEvacuations(name, msg)
			c.scheduler.HandleReport(*msg)
		}
	case *messenger.WitnessList:
		c.scheduler.HandleWitnessList(name, *msg)
	case *messenger.LockReply:
		c.scheduler.HandleLockReply(name, *msg)
	}
}
