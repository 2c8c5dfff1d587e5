package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// largeShare is the share of a worker's resource, as its inverse, from which a
	// task counts as large.
	largeShare = 4
	// reserveAfter is how long a large task waits before room is reserved for it. Where
	// a small one has waited as long, room is short altogether, and kept room makes more
	// small tasks late than it serves large ones.
	reserveAfter = 30 * time.Millisecond
	// reserveMost and reserveLeast bound how long room is asked for. Room that
	// is kept for less than the way to the agent and back cannot be used.
	reserveMost  = time.Second
	reserveLeast = 10 * time.Millisecond
	// reservationsMost bounds the reservations of an entry.
	reservationsMost = 4
	// reserveGrace is the time after the request in which reports may have been
	// sent before it arrived.
	reserveGrace = 20 * time.Millisecond
	// missedMost is the number of reports without the reservation that end it.
	missedMost = 2
	// reserveShun is how long an agent is not asked again after a reservation
	// there has ended unused.
	reserveShun = 200 * time.Millisecond
	// refusalWait is how long a reservation goes on after its task has been placed
	// elsewhere, where another entry may have taken the room.
	refusalWait = 3 * roomPatience
	// backfillMargin covers the way of a task to the worker.
	backfillMargin = 10 * time.Millisecond
)

// Size is how large a task is against the workers.
type Size string

// The sizes.
const (
	Small Size = "small"
	// Large tasks take a quarter of a worker or more, in any resource.
	Large Size = "large"
)

// reservation is room that an agent has been asked to keep for a large task.
type reservation struct {
	agent  *agent
	job    *job
	step   int
	number uint64
	demand messenger.Demand
	asked  time.Time
	until  time.Time
	// kept is whether the agent has reported it, and missed how many reports in a
	// row did not.
	kept   bool
	missed int
}

// large reports whether a task is large on a worker.
func large(d, worker messenger.Demand) bool {
	return takesMuch(d.CPU, worker.CPU) || takesMuch(d.Memory, worker.Memory) || takesMuch(d.GPU, worker.GPU)
}

// takesMuch reports whether part is a large share of whole.
func takesMuch(part, whole int) bool { return part > 0 && whole > 0 && largeShare*part >= whole }

// sizeUp notes how large the workers of a service are.
func (s *Scheduler) sizeUp(service string) {
	var most messenger.Demand
	for _, a := range s.byName {
		if a.upstream.Born != 0 && a.upstream.Service == service {
			most = most.Most(a.upstream.Capacity)
		}
	}
	if most.IsZero() {
		delete(s.largest, service)
		return
	}
	s.largest[service] = most
}

// mayBeLarge reports whether a task is large on the workers of some service.
func (s *Scheduler) mayBeLarge(d messenger.Demand) bool {
	for _, worker := range s.largest {
		if large(d, worker) {
			return true
		}
	}
	return false
}

// sizeOf returns the size of the tasks of a step.
func (s *Scheduler) sizeOf(j *job, step int) Size {
	if large(j.Steps[step].Demand, s.largest[j.Queue.Service]) {
		return Large
	}
	return Small
}

// largeTask returns the first task of a job that is large and waits; nil when
// there is none.
func (s *Scheduler) largeTask(j *job) *task {
	for step := range j.Steps {
		if s.sizeOf(j, step) != Large {
			continue
		}
		for _, t := range j.tasks {
			if t.step == step && t.state == ready {
				return t
			}
		}
	}
	return nil
}

// reserve asks agents to keep room for the large tasks that have waited and fit
// nowhere, in the order of the queue.
func (s *Scheduler) reserve(now time.Time) {
	if len(s.reservations) >= reservationsMost || !s.mayBeLarge(s.mostWanted) {
		return
	}
	short := s.smallWait(now)
	misses := 0
	for _, j := range s.queue {
		if len(s.reservations) >= reservationsMost || misses >= reservationsMost {
			return
		}
		if short[j.Queue.Service] || now.Sub(j.queuedAt) < reserveAfter || !s.mayRun(j, now) || s.reservedFor(j) {
			continue
		}
		t := s.largeTask(j)
		if t == nil {
			continue
		}
		span := s.reserveSpan(j, now)
		if span < reserveLeast {
			continue
		}
		a := s.whereSoonest(t, now)
		if a == nil {
			misses++
			continue
		}
		s.ask(a, t, now, span)
	}
}

// smallWait returns the services of which jobs with only small tasks to place have
// waited for reserveAfter.
func (s *Scheduler) smallWait(now time.Time) map[string]bool {
	short := make(map[string]bool)
	for _, j := range s.queue {
		if now.Sub(j.queuedAt) >= reserveAfter && s.mayRun(j, now) && s.largeTask(j) == nil {
			short[j.Queue.Service] = true
		}
	}
	return short
}

func (s *Scheduler) reservedFor(j *job) bool {
	return slices.ContainsFunc(s.reservations, func(v *reservation) bool { return v.job == j })
}

// reserveSpan returns for how long room is of use to a job.
func (s *Scheduler) reserveSpan(j *job, now time.Time) time.Duration {
	until := j.arrived.Add(s.patience(j))
	if j.begun || j.has(placed) {
		until = j.Deadline.Add(-j.least())
	}
	return min(until.Sub(now), reserveMost)
}

// ask asks an agent to keep room for a task.
func (s *Scheduler) ask(a *agent, t *task, now time.Time, span time.Duration) {
	a.reserves++
	v := &reservation{agent: a, job: t.job, step: t.step, number: a.reserves, demand: t.demand(), asked: now, until: now.Add(span)}
	a.reservation = v
	s.reservations = append(s.reservations, v)
	s.emit(Send{Agent: a.name, Message: messenger.Reserve{Number: v.number, Demand: v.demand, For: span}})
	s.noteReservation(v, "reservation requested", fmt.Sprintf("%d thousandths of a core for %s", v.demand.CPU, span))
}

func (s *Scheduler) noteReservation(v *reservation, what, why string) {
	s.emit(Note{Job: v.job.ID, Queue: v.job.Queue.Name, Agent: v.agent.name, What: what, Why: why, Age: s.clock.Since(v.job.arrived)})
}

// confirm notes whether an agent's last report names the reservation there.
func (s *Scheduler) confirm(a *agent) {
	v := a.reservation
	switch {
	case v == nil:
	case a.report.Reserved == v.number:
		if !v.kept {
			s.noteReservation(v, "reservation kept", "")
		}
		v.kept = true
		v.missed = 0
	case s.clock.Since(v.asked) >= reserveGrace:
		if v.missed++; v.missed >= missedMost {
			s.giveBack(v, "not kept by the agent")
		}
	}
}

// reviewReservations gives back what is of no use any more.
func (s *Scheduler) reviewReservations() {
	if len(s.reservations) == 0 {
		return
	}
	now := s.clock.Now()
	for _, v := range slices.Clone(s.reservations) {
		if why := s.useless(v, now); why != "" {
			s.giveBack(v, why)
		}
	}
}

// useless tells why a reservation is of no use any more, or returns nothing.
func (s *Scheduler) useless(v *reservation, now time.Time) string {
	waits := func(t *task) bool {
		return t.step == v.step && (t.state == ready || (t.state == placed && now.Sub(t.placedAt) < refusalWait))
	}
	switch {
	case s.jobs[v.job.ID] != v.job:
		return "job is over"
	case !slices.ContainsFunc(v.job.tasks, waits):
		return "placed elsewhere"
	case !now.Before(v.until):
		return "time passed"
	case !v.agent.serves(v.job.Queue, s.config, now, s.woke) || !v.agent.sound(now):
		return "agent is of no use now"
	}
	return ""
}

// useReservation notes that a task is placed for which room was kept. The agent
// ends the reservation with the placement.
func (s *Scheduler) useReservation(a *agent, j *job, step int) {
	v := a.reservation
	if v == nil || v.job != j || v.step != step {
		return
	}
	s.dropReservation(v)
	s.noteReservation(v, "reservation used", fmt.Sprintf("after %s", s.clock.Since(v.asked)))
}

// giveBack ends a reservation and tells its agent.
func (s *Scheduler) giveBack(v *reservation, why string) {
	s.dropReservation(v)
	v.agent.reserveNext = s.clock.Now().Add(reserveShun)
	if v.agent.open {
		s.emit(Send{Agent: v.agent.name, Message: messenger.Reserve{Number: v.number}})
	}
	s.noteReservation(v, "reservation given up", why)
}

// loseReservation forgets the reservation at an agent whose link has ended. The
// agent has dropped it.
func (s *Scheduler) loseReservation(a *agent) {
	if v := a.reservation; v != nil {
		s.dropReservation(v)
		s.noteReservation(v, "reservation given up", "link ended")
	}
}

func (s *Scheduler) dropReservation(v *reservation) {
	v.agent.reservation = nil
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == v })
}

// roomFor returns the room that tasks of a step may use at the agent: without what
// is kept for another job of the entry, and with what is kept for a task of
// another entry if they end before that can start.
func (a *agent) roomFor(j *job, step int, now time.Time) messenger.Demand {
	room := a.free()
	if v := a.reservation; v != nil && (v.job != j || v.step != step) && v.demand.Fits(room) {
		room = room.Minus(v.demand)
	}
	if fill := a.report.Backfill; fill.For > 0 && now.Sub(a.reportedAt)+j.Steps[step].Estimate+backfillMargin <= fill.For {
		room = room.Plus(fill.Room)
	}
	return room
}

// anyRoom returns the room that any task may use at the agent.
func (a *agent) anyRoom() messenger.Demand { return a.free().Plus(a.report.Backfill.Room) }

// outlook is how soon an agent is expected to have room for a task.
type outlook struct {
	near bool
	// span is the index of the first of the AheadSpans within which there will be
	// room. Agents that do not tell come after these, and before those that will
	// not have it within any.
	span int
	// share is the room that is free now over the room wanted.
	share float64
	// order is the agent's place in the job's own order of agents, so that entries
	// ask different ones of those that are alike.
	order uint64
}

const (
	spanUnknown = len(messenger.AheadSpans)
	spanLate    = spanUnknown + 1
)

func (o outlook) better(p outlook) bool {
	switch {
	case o.near != p.near:
		return o.near
	case o.span != p.span:
		return o.span < p.span
	case o.share != p.share:
		return o.share > p.share
	}
	return o.order < p.order
}

// whereSoonest returns the agent at which room for a task is expected first; nil
// when none can be asked.
func (s *Scheduler) whereSoonest(t *task, now time.Time) *agent {
	var best *agent
	var bestOutlook outlook
	for _, a := range s.byName {
		if !s.mayAsk(a, t, now) {
			continue
		}
		o := a.outlook(t)
		if best == nil || o.better(bestOutlook) {
			best = a
			bestOutlook = o
		}
	}
	return best
}

// mayAsk reports whether an agent may be asked to keep room for a task.
func (s *Scheduler) mayAsk(a *agent, t *task, now time.Time) bool {
	step := t.job.Steps[t.step]
	return a.reservation == nil &&
		a.report.Backfill.For == 0 && // It keeps room for another entry otherwise.
		!now.Before(a.reserveNext) &&
		!now.Before(t.avoid[a.name]) &&
		t.demand().Fits(a.upstream.Capacity) &&
		!a.health.ejected &&
		a.serves(t.job.Queue, s.config, now, s.woke) && a.sound(now) && a.suits(step) &&
		(step.Spread == 0 || a.of(t.job, t.step) < step.Spread)
}

// outlook returns how soon the agent is expected to have room for a task.
func (a *agent) outlook(t *task) outlook {
	d := t.demand()
	room := a.free().NonNegative()
	o := outlook{near: a.near(t.job.Steps[t.step]), span: spanUnknown, share: coverage(room, d), order: t.job.order(a)}
	if len(a.report.Ahead) == 0 {
		return o
	}
	ahead := a.report.Ahead[:min(len(a.report.Ahead), len(messenger.AheadSpans))]
	o.span = slices.IndexFunc(ahead, func(more messenger.Demand) bool { return d.Fits(room.Plus(more)) })
	if o.span < 0 {
		o.span = spanLate
	}
	return o
}

// coverage returns the share of a demand that room covers, in the respect in which
// it covers least.
func coverage(room, d messenger.Demand) float64 {
	least := 1.0
	for _, p := range [...][2]int{{room.CPU, d.CPU}, {room.Memory, d.Memory}, {room.GPU, d.GPU}} {
		if p[1] > 0 {
			least = min(least, float64(p[0])/float64(p[1]))
		}
	}
	return least
}
