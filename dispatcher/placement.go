package dispatcher

import (
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// Placement chooses the agent that starts the next task.
type Placement interface {
	// choose returns an agent for a task of service, or nil if the task has to wait.
	choose(o *Dispatcher, service string) *agent
	// reportsDemand reports whether agents are notified of waiting tasks, so that they
	// offer free slots.
	reportsDemand() bool
}

// LateBinding starts tasks only in slots that are known to be free. While tasks wait,
// it notifies the agents, which then offer slots as they become free.
type LateBinding struct{}

func (LateBinding) choose(o *Dispatcher, service string) *agent { return o.fleet.pick(service, o.rng) }
func (LateBinding) reportsDemand() bool                         { return true }

// HeartbeatOnly starts tasks only in slots that are known to be free, and learns of
// free slots only from heartbeats and other messages that are sent anyway. It is the
// baseline.
type HeartbeatOnly struct{}

func (HeartbeatOnly) choose(o *Dispatcher, service string) *agent {
	return o.fleet.withFreeSlots.pickBetterOfTwo(service, o.rng)
}
func (HeartbeatOnly) reportsDemand() bool { return false }

const (
	// notifyPerTask is the number of agents that are notified first for each waiting
	// task while some slots may be free.
	notifyPerTask = 2
	// notifyWhenFull is the minimum number of agents that are notified first while no
	// slot is known to be free. The next slot to become free is wanted, at whichever
	// agent it is.
	notifyWhenFull = 16
	// notifyAllDelay is the delay after which all agents are notified if tasks still
	// wait.
	notifyAllDelay = 20 * time.Millisecond
)

// demandState is what the agents were last told about the waiting tasks.
type demandState struct {
	waiting    int
	reportedAt time.Time
	// notified holds the agents that were notified since tasks began to wait.
	// notifiedAll means that every agent was.
	notified    map[*agent]struct{}
	notifiedAll bool
}

// startBatch collects the tasks of one Start message.
type startBatch struct {
	agent *agent
	tasks []courier.StartTask
}

// dispatch starts waiting tasks while agents have free slots.
func (o *Dispatcher) dispatch() {
	if o.queue.tasks == 0 || !o.fresh() {
		return
	}
	var batches []*startBatch
	byAgent := make(map[*agent]*startBatch)
	for _, service := range o.queue.serviceNames {
		for j := o.nextJobOf(service); j != nil; j = o.nextJobOf(service) {
			a := o.cfg.Placement.choose(o, service)
			if a == nil {
				break
			}
			b := byAgent[a]
			if b == nil {
				b = &startBatch{agent: a}
				byAgent[a] = b
				batches = append(batches, b)
			}
			b.tasks = append(b.tasks, o.bindTask(j, a))
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

// bindTask assigns a waiting task of j, which is the first job of its service, to a.
func (o *Dispatcher) bindTask(j *job, a *agent) courier.StartTask {
	i := j.takeWaiting(a, o.clock.Now())
	o.queue.removeTask(j)
	id := courier.TaskID{Job: j.id, Index: i}
	o.fleet.assign(a, id)
	o.counts.Started++
	o.retryBudget.recordStart()
	return courier.StartTask{
		Number:   a.sentTaskCount,
		Task:     id,
		Digest:   j.digest,
		Service:  j.submission.Service,
		Deadline: j.submission.Deadline,
		Term:     o.partitions[j.partition].term,
		Payload:  j.submission.Tasks[i].Payload,
	}
}

// sendStart sends tasks to an agent. offer is the number of the offer that the first
// task uses, or 0.
func (o *Dispatcher) sendStart(a *agent, offer uint64, tasks []courier.StartTask) {
	o.send(a.ref.Agent, courier.Start{
		LinkNumber:    a.link,
		BundleVersion: o.bundle.Version,
		Offer:         offer,
		Tasks:         tasks,
	})
}

// useOffer starts a waiting task in an offered slot, or declines the offer.
func (o *Dispatcher) useOffer(a *agent, offer uint64) {
	if offer == 0 {
		return
	}
	if j := o.nextJobAt(a); j != nil && o.fresh() && a.acceptsTasks() && !a.health.ejected {
		o.sendStart(a, offer, []courier.StartTask{o.bindTask(j, a)})
		o.fleet.update(a)
		return
	}
	o.counts.Declined++
	o.send(a.ref.Agent, courier.Decline{Offer: offer})
}

// nextJobAt returns the job from which a starts a task next, or nil.
func (o *Dispatcher) nextJobAt(a *agent) *job {
	for _, service := range a.services {
		if j := o.nextJobOf(service); j != nil {
			return j
		}
	}
	return nil
}

// nextJobOf returns the job of the service from which a task starts next, or nil. It
// aborts the jobs before it that are likely to miss their deadlines.
func (o *Dispatcher) nextJobOf(service string) *job {
	for j := o.queue.first(service); j != nil; j = o.queue.first(service) {
		if !o.likelyToMissDeadline(j) {
			return j
		}
		o.abortJob(j, courier.ReasonDeadline, "a task that starts now would miss the deadline")
	}
	return nil
}

// reportDemand notifies agents how many tasks wait: some agents at once when tasks
// begin to wait; all agents when tasks still wait after notifyAllDelay, when their
// number has more than doubled, and every DemandReportInterval. When no tasks wait any
// more, the notified agents are told so.
func (o *Dispatcher) reportDemand(now time.Time) {
	if !o.cfg.Placement.reportsDemand() {
		return
	}
	d := &o.demand
	n := o.queue.tasks
	switch {
	case n == 0 && d.waiting > 0:
		for _, a := range o.fleet.sorted() {
			if _, ok := d.notified[a]; ok {
				o.sendDemand(a, 0, 0)
			}
		}
		*d = demandState{}
	case n > 0 && d.waiting == 0:
		d.notified = make(map[*agent]struct{})
		o.notifyAgents(now, o.initialNotifyCount(n))
	case n > 0 && (o.notifyAllDue(now) || n > 2*d.waiting || now.Sub(d.reportedAt) >= DemandReportInterval):
		d.notifiedAll = true
		o.notifyAgents(now, len(o.fleet.agents))
	}
}

// initialNotifyCount returns how many agents to notify first of n waiting tasks.
func (o *Dispatcher) initialNotifyCount(n int) int {
	if o.fleet.totals.free == 0 {
		return max(notifyWhenFull, n*notifyPerTask)
	}
	return n * notifyPerTask
}

// notifyAllDue reports whether tasks have waited for notifyAllDelay and not all agents
// have been notified.
func (o *Dispatcher) notifyAllDue(now time.Time) bool {
	return !o.demand.notifiedAll && now.Sub(o.demand.reportedAt) >= notifyAllDelay
}

// notifyAgents tells up to limit agents, drawn at random, how many tasks wait.
func (o *Dispatcher) notifyAgents(now time.Time, limit int) {
	n := o.queue.tasks
	o.demand.waiting = n
	o.demand.reportedAt = now
	age := time.Duration(now.UnixNano() - o.queue.earliestKey())
	list := o.fleet.sorted()
	o.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, a := range list {
		if limit <= 0 {
			return
		}
		if a.acceptsTasks() && !a.health.ejected {
			limit--
			o.demand.notified[a] = struct{}{}
			o.sendDemand(a, n, age)
		}
	}
}

func (o *Dispatcher) sendDemand(a *agent, n int, age time.Duration) {
	if a.linked {
		o.send(a.ref.Agent, courier.Demand{Waiting: n, Age: age})
	}
}

// AnyFreeSlot draws among all agents with free slots, whether or not other owners
// prefer the same slots. It is the baseline for the preference of LateBinding.
type AnyFreeSlot struct{}

func (AnyFreeSlot) choose(o *Dispatcher, service string) *agent {
	return o.fleet.withFreeSlots.pickBetterOfTwo(service, o.rng)
}
func (AnyFreeSlot) reportsDemand() bool { return true }
