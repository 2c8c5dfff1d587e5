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

// demandState is what the agents were last told of the waiting tasks.
type demandState struct {
	waiting int
	at      time.Time
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
		for j := o.queue.first(service); j != nil; j = o.queue.first(service) {
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
	a.tasks[id] = struct{}{}
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

func (o *Owner) firstFor(a *agent) *job {
	for _, service := range a.services {
		if j := o.queue.first(service); j != nil {
			return j
		}
	}
	return nil
}

// reportDemand tells the agents how many tasks wait: at once when tasks begin
// or cease to wait or grow much in number, and from time to time.
func (o *Owner) reportDemand(now time.Time) {
	if !o.cfg.Placement.asks() {
		return
	}
	n := o.queue.tasks
	last := o.demand.waiting
	began := (n == 0) != (last == 0)
	grew := n > 2*last
	due := n > 0 && now.Sub(o.demand.at) >= DemandInterval
	if !began && !grew && !due {
		return
	}
	o.demand = demandState{waiting: n, at: now}
	age := time.Duration(now.UnixNano() - o.queue.earliest())
	if n == 0 {
		age = 0
	}
	for _, a := range o.fleet.sorted() {
		if a.startable() && !a.health.ejected {
			o.send(a.ref.Agent, courier.Demand{Waiting: n, Age: age})
		}
	}
}

// Mixed draws among all agents with free slots, whether or not other owners
// leave them to this one. It is the baseline of LateBinding's preference.
type Mixed struct{}

func (Mixed) choose(o *Owner, service string) *agent { return o.fleet.idle.draw(service, o.rng) }
func (Mixed) asks() bool                             { return true }
