package dispatcher

import (
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// Placement chooses the agent that starts the next task.
type Placement interface {
	// choose returns an agent for a task of service, or nil if the task has to wait.
	choose(d *Dispatcher, service string) *agent
	// reportsDemand reports whether agents are notified of waiting tasks, so that they
	// offer free slots.
	reportsDemand() bool
}

// LateBinding starts tasks only in slots that are known to be free. While tasks wait,
// it notifies the agents, which then offer slots as they become free.
type LateBinding struct{}

func (LateBinding) choose(d *Dispatcher, service string) *agent { return d.fleet.pick(service, d.rng) }
func (LateBinding) reportsDemand() bool                         { return true }

// HeartbeatOnly starts tasks only in slots that are known to be free, and learns of
// free slots only from heartbeats and other messages that are sent anyway. It is the
// baseline for other placements.
type HeartbeatOnly struct{}

func (HeartbeatOnly) choose(d *Dispatcher, service string) *agent {
	return d.fleet.withFreeSlots.pickBetterOfTwo(service, d.rng)
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

// demandState is what was last reported to the agents about the waiting tasks.
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
func (d *Dispatcher) dispatch() {
	if d.queue.tasks == 0 || !d.fresh() {
		return
	}
	var batches []*startBatch
	byAgent := make(map[*agent]*startBatch)
	for _, service := range d.queue.serviceNames {
		for j := d.nextJobOf(service); j != nil; j = d.nextJobOf(service) {
			a := d.cfg.Placement.choose(d, service)
			if a == nil {
				break
			}
			b := byAgent[a]
			if b == nil {
				b = &startBatch{agent: a}
				byAgent[a] = b
				batches = append(batches, b)
			}
			b.tasks = append(b.tasks, d.bindTask(j, a))
			if a.health.probing {
				a.health.probeSent(d.clock.Now())
			}
			d.fleet.update(a)
		}
	}
	for _, b := range batches {
		d.sendStart(b.agent, 0, b.tasks)
	}
}

// bindTask assigns a waiting task of j, which is the first job of its service, to a.
func (d *Dispatcher) bindTask(j *job, a *agent) courier.StartTask {
	i := j.takeWaiting(a, d.clock.Now())
	d.queue.removeTask(j)
	id := courier.TaskID{Job: j.id, Index: i}
	d.fleet.assign(a, id)
	d.counts.Started++
	d.retryBudget.recordStart()
	return courier.StartTask{
		Number:   a.sentTaskCount,
		Task:     id,
		Digest:   j.digest,
		Service:  j.submission.Service,
		Deadline: j.submission.Deadline,
		Term:     d.partitions[j.partition].term,
		Payload:  j.submission.Tasks[i].Payload,
	}
}

// sendStart sends tasks to an agent. offer is the number of the offer that the first
// task uses, or 0.
func (d *Dispatcher) sendStart(a *agent, offer uint64, tasks []courier.StartTask) {
	d.send(a.ref.Agent, courier.Start{
		LinkNumber:    a.link,
		BundleVersion: d.bundle.Version,
		Offer:         offer,
		Tasks:         tasks,
	})
}

// useOffer starts a waiting task in an offered slot, or declines the offer.
func (d *Dispatcher) useOffer(a *agent, offer uint64) {
	if offer == 0 {
		return
	}
	if j := d.nextJobAt(a); j != nil && d.fresh() && a.acceptsTasks() && !a.health.ejected {
		d.sendStart(a, offer, []courier.StartTask{d.bindTask(j, a)})
		d.fleet.update(a)
		return
	}
	d.counts.Declined++
	d.send(a.ref.Agent, courier.Decline{Offer: offer})
}

// nextJobAt returns the job whose task the agent a is to start next, or nil.
func (d *Dispatcher) nextJobAt(a *agent) *job {
	for _, service := range a.services {
		if j := d.nextJobOf(service); j != nil {
			return j
		}
	}
	return nil
}

// nextJobOf returns the job of the service whose task is to start next, or nil. It
// aborts the jobs before it that are likely to miss their deadlines.
func (d *Dispatcher) nextJobOf(service string) *job {
	for j := d.queue.first(service); j != nil; j = d.queue.first(service) {
		if !d.likelyToMissDeadline(j) {
			return j
		}
		d.abortJob(j, courier.ReasonDeadline, "a task that starts now would miss the deadline")
	}
	return nil
}

// reportDemand notifies agents how many tasks wait: some agents at once when tasks
// begin to wait; all agents when tasks still wait after notifyAllDelay, when their
// number has more than doubled, and every DemandReportInterval. When no tasks wait any
// more, the notified agents are told so.
func (d *Dispatcher) reportDemand(now time.Time) {
	if !d.cfg.Placement.reportsDemand() {
		return
	}
	demand := &d.demand
	n := d.queue.tasks
	switch {
	case n == 0 && demand.waiting > 0:
		for _, a := range d.fleet.sorted() {
			if _, ok := demand.notified[a]; ok {
				d.sendDemand(a, 0, 0)
			}
		}
		*demand = demandState{}
	case n > 0 && demand.waiting == 0:
		demand.notified = make(map[*agent]struct{})
		d.notifyAgents(now, d.initialNotifyCount(n))
	case n > 0 && (d.notifyAllDue(now) || n > 2*demand.waiting || now.Sub(demand.reportedAt) >= DemandReportInterval):
		demand.notifiedAll = true
		d.notifyAgents(now, len(d.fleet.agents))
	}
}

// initialNotifyCount returns how many agents to notify first of n waiting tasks.
func (d *Dispatcher) initialNotifyCount(n int) int {
	if d.fleet.totals.free == 0 {
		return max(notifyWhenFull, n*notifyPerTask)
	}
	return n * notifyPerTask
}

// notifyAllDue reports whether tasks have waited for notifyAllDelay and not all agents
// have been notified.
func (d *Dispatcher) notifyAllDue(now time.Time) bool {
	return !d.demand.notifiedAll && now.Sub(d.demand.reportedAt) >= notifyAllDelay
}

// notifyAgents tells up to limit agents, drawn at random, how many tasks wait.
func (d *Dispatcher) notifyAgents(now time.Time, limit int) {
	n := d.queue.tasks
	d.demand.waiting = n
	d.demand.reportedAt = now
	age := time.Duration(now.UnixNano() - d.queue.earliestKey())
	list := d.fleet.sorted()
	d.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, a := range list {
		if limit <= 0 {
			return
		}
		if a.acceptsTasks() && !a.health.ejected {
			limit--
			d.demand.notified[a] = struct{}{}
			d.sendDemand(a, n, age)
		}
	}
}

// sendDemand tells an agent, if it is linked, how many tasks wait and how long ago the
// first of them was due.
func (d *Dispatcher) sendDemand(a *agent, n int, age time.Duration) {
	if a.linked {
		d.send(a.ref.Agent, courier.Demand{Waiting: n, Age: age})
	}
}

// AnyFreeSlot draws among all agents with free slots, whether or not other owners
// prefer the same slots. It is the baseline for LateBinding's choice of preferred slots.
type AnyFreeSlot struct{}

func (AnyFreeSlot) choose(d *Dispatcher, service string) *agent {
	return d.fleet.withFreeSlots.pickBetterOfTwo(service, d.rng)
}
func (AnyFreeSlot) reportsDemand() bool { return true }
