package dispatcher

import (
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// Placement chooses where the next task starts.
type Placement interface {
	// choose returns an agent for a task of service, or nil to wait.
	choose(o *Owner, service string) *agent
	// asks reports whether waiting tasks ask agents for free slots.
	asks() bool
}

// LateBinding starts only into slots known to be free, and asks the agents to
// offer slots as they become free while tasks wait.
type LateBinding struct{}

func (LateBinding) choose(o *Owner, service string) *agent { return o.fleet.pick(service, o.rng) }
func (LateBinding) asks() bool                             { return true }

// Polling starts only into slots known to be free, and learns of free slots
// from the reports that come anyway. It is the baseline.
type Polling struct{}

func (Polling) choose(o *Owner, service string) *agent { return o.fleet.idle.draw(service, o.rng) }
func (Polling) asks() bool                             { return false }

const (
	// askedPerTask is the number of agents that are asked first for each
	// waiting task while some slots may be free.
	askedPerTask = 2
	// askedWhenFull is the number asked first while no slot is known to be
	// free: the next one to become free is wanted, wherever it is.
	askedWhenFull = 16
	// askAllAfter is when all agents are asked, if tasks still wait.
	askAllAfter = 20 * time.Millisecond
)

// demandState is what the agents were last told of the waiting tasks.
type demandState struct {
	waiting int
	at      time.Time
	// asked holds the agents that were told of waiting tasks since there
	// last were none; all means that every one was.
	asked map[*agent]struct{}
	all   bool
}

// batch gathers the tasks of one Start message.
type batch struct {
	agent *agent
	tasks []courier.StartTask
}

// dispatch starts waiting tasks while agents have free slots.
func (o *Owner) dispatch() {
	if o.queue.tasks == 0 || !o.fresh() {
		return
	}
	var batches []*batch
	byAgent := make(map[*agent]*batch)
	for _, service := range o.queue.names {
		for j := o.nextFor(service); j != nil; j = o.nextFor(service) {
			a := o.cfg.Placement.choose(o, service)
			if a == nil {
				break
			}
			b := byAgent[a]
			if b == nil {
				b = &batch{agent: a}
				byAgent[a] = b
				batches = append(batches, b)
			}
			b.tasks = append(b.tasks, o.bind(j, a))
			if a.health.probing {
				a.health.probeSent(o.clock.Now())
			}
			o.fleet.update(a)
		}
	}
	for _, b := range batches {
		o.sendStart(b.agent, 0, b.tasks)
	}
}

// bind takes a waiting task of j, the first of its service, for a.
func (o *Owner) bind(j *job, a *agent) courier.StartTask {
	i := j.takeWaiting(a, o.clock.Now())
	o.queue.took(j)
	id := courier.TaskID{Job: j.id, Index: i}
	o.fleet.assign(a, id)
	o.counts.Started++
	o.budget.started()
	return courier.StartTask{
		Number:   a.sentTasks,
		Task:     id,
		Digest:   j.digest,
		Service:  j.sub.Service,
		Deadline: j.sub.Deadline,
		Term:     o.partitions[j.partition].term,
		Payload:  j.sub.Tasks[i].Payload,
	}
}

func (o *Owner) sendStart(a *agent, offer uint64, tasks []courier.StartTask) {
	o.send(a.ref.Agent, courier.Start{
		LinkNumber:    a.link,
		BundleVersion: o.bundle.Version,
		Offer:         offer,
		Tasks:         tasks,
	})
}

// useOffer starts a waiting task into an offered slot, or gives it back.
func (o *Owner) useOffer(a *agent, offer uint64) {
	if offer == 0 {
		return
	}
	if j := o.firstFor(a); j != nil && o.fresh() && a.startable() && !a.health.ejected {
		o.sendStart(a, offer, []courier.StartTask{o.bind(j, a)})
		o.fleet.update(a)
		return
	}
	o.counts.Declined++
	o.send(a.ref.Agent, courier.Decline{Offer: offer})
}

// firstFor returns the job to start next at a, or nil.
func (o *Owner) firstFor(a *agent) *job {
	for _, service := range a.services {
		if j := o.nextFor(service); j != nil {
			return j
		}
	}
	return nil
}

// nextFor returns the job of service to start next, or nil, and gives up those
// before it that have become hopeless.
func (o *Owner) nextFor(service string) *job {
	for j := o.queue.first(service); j != nil; j = o.queue.first(service) {
		if !o.hopeless(j) {
			return j
		}
		o.giveUp(j, courier.ReasonDeadline, "a task that starts now would miss the deadline")
	}
	return nil
}

// reportDemand tells agents how many tasks wait: some at once when tasks begin
// to wait, all when they still wait later or grow much in number, and from
// time to time. When none waits any more, those that were told hear of it.
func (o *Owner) reportDemand(now time.Time) {
	if !o.cfg.Placement.asks() {
		return
	}
	d := &o.demand
	n := o.queue.tasks
	switch {
	case n == 0 && d.waiting > 0:
		for _, a := range o.fleet.sorted() {
			if _, ok := d.asked[a]; ok {
				o.sendDemand(a, 0, 0)
			}
		}
		*d = demandState{}
	case n > 0 && d.waiting == 0:
		d.asked = make(map[*agent]struct{})
		o.ask(now, o.askedFirst(n))
	case n > 0 && (o.askAllDue(now) || n > 2*d.waiting || now.Sub(d.at) >= DemandInterval):
		d.all = true
		o.ask(now, len(o.fleet.agents))
	}
}

// askedFirst returns how many agents to ask first for n waiting tasks.
func (o *Owner) askedFirst(n int) int {
	if o.fleet.totals.free == 0 {
		return max(askedWhenFull, n*askedPerTask)
	}
	return n * askedPerTask
}

func (o *Owner) askAllDue(now time.Time) bool {
	return !o.demand.all && now.Sub(o.demand.at) >= askAllAfter
}

// ask tells up to limit agents, drawn at random, how many tasks wait.
func (o *Owner) ask(now time.Time, limit int) {
	n := o.queue.tasks
	o.demand.waiting = n
	o.demand.at = now
	age := time.Duration(now.UnixNano() - o.queue.earliest())
	list := o.fleet.sorted()
	o.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, a := range list {
		if limit <= 0 {
			return
		}
		if a.startable() && !a.health.ejected {
			limit--
			o.demand.asked[a] = struct{}{}
			o.sendDemand(a, n, age)
		}
	}
}

func (o *Owner) sendDemand(a *agent, n int, age time.Duration) {
	if a.linked {
		o.send(a.ref.Agent, courier.Demand{Waiting: n, Age: age})
	}
}

// Mixed draws among all agents with free slots, whether or not other owners
// leave them to this one. It is the baseline of LateBinding's preference.
type Mixed struct{}

func (Mixed) choose(o *Owner, service string) *agent { return o.fleet.idle.draw(service, o.rng) }
func (Mixed) asks() bool                             { return true }
