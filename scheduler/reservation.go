package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// reserveAfter is how long a large task waits before capacity is reserved for it.
	// Where a small task has waited as long, capacity is short altogether, and a
	// reservation would make more small tasks late than it serves large ones.
	reserveAfter = 30 * time.Millisecond
	// maxReserveTTL and minReserveTTL bound the lifetime of a reservation. One that is
	// shorter than the round trip to the agent cannot be used.
	maxReserveTTL = time.Second
	minReserveTTL = 10 * time.Millisecond
	// maxReservations is the maximum number of concurrent reservations of an entry.
	maxReservations = 4
	// reserveConfirmGrace is the time after the request during which a report may have
	// been sent before the request arrived.
	reserveConfirmGrace = 20 * time.Millisecond
	// maxMissedReports is the number of consecutive reports without the reservation
	// after which it is cancelled.
	maxMissedReports = 2
	// reserveBackoff is how long no reservation is requested from an agent after one
	// there has ended unused.
	reserveBackoff = 200 * time.Millisecond
	// placedElsewhereGrace is how long a reservation is kept after its task has been
	// placed elsewhere, where another entry may have taken the capacity.
	placedElsewhereGrace = 3 * placementWaitLimit
	// backfillMargin allows for the time that a task takes to reach the worker.
	backfillMargin = 10 * time.Millisecond
)

// reservation is capacity that an agent has been asked to reserve for a large task.
type reservation struct {
	agent       *agent
	job         *job
	step        int
	number      uint64
	demand      messenger.Resources
	requestedAt time.Time
	expiresAt   time.Time
	// confirmed is whether the agent has reported the reservation, and missedReports
	// the number of consecutive reports without it.
	confirmed     bool
	missedReports int
}

// requestReservations requests reservations for the large tasks that have waited long
// enough and fit nowhere, in queue order.
func (s *Scheduler) requestReservations(now time.Time) {
	if len(s.reservations) >= maxReservations || !s.largeForAnyService(s.maxBacklogDemand) {
		return
	}
	saturated := s.saturatedServices(now)
	misses := 0
	for _, j := range s.queue {
		if len(s.reservations) >= maxReservations || misses >= maxReservations {
			return
		}
		if saturated[j.Queue.Service] || now.Sub(j.queuedAt) < reserveAfter || !s.mayPlace(j, now) || s.hasReservation(j) {
			continue
		}
		t := s.waitingLargeTask(j)
		if t == nil {
			continue
		}
		ttl := s.reservationTTL(j, now)
		if ttl < minReserveTTL {
			continue
		}
		a := s.soonestAgent(t, now)
		if a == nil {
			misses++
			continue
		}
		s.requestReservation(a, t, t.demand(), now, ttl)
	}
}

// saturatedServices returns the saturated services: those of which a job with only small
// tasks to place has waited for reserveAfter.
func (s *Scheduler) saturatedServices(now time.Time) map[string]bool {
	saturated := make(map[string]bool)
	for _, j := range s.queue {
		if now.Sub(j.queuedAt) >= reserveAfter && s.mayPlace(j, now) && s.waitingLargeTask(j) == nil {
			saturated[j.Queue.Service] = true
		}
	}
	return saturated
}

// hasReservation reports whether there is a reservation for a task of a job.
func (s *Scheduler) hasReservation(j *job) bool {
	return slices.ContainsFunc(s.reservations, func(r *reservation) bool { return r.job == j })
}

// reservationTTL returns how long reserved capacity is of use to a job.
func (s *Scheduler) reservationTTL(j *job, now time.Time) time.Duration {
	expiresAt := j.arrived.Add(s.waitLimit(j))
	if j.mayHaveStarted || j.hasTask(placed) {
		expiresAt = j.Deadline.Add(-j.minDuration())
	}
	return min(expiresAt.Sub(now), maxReserveTTL)
}

// requestReservation asks an agent to reserve capacity for a task.
func (s *Scheduler) requestReservation(a *agent, t *task, demand messenger.Resources, now time.Time, ttl time.Duration) {
	a.reserveNumber++
	r := &reservation{
		agent: a, job: t.job, step: t.step, number: a.reserveNumber, demand: demand,
		requestedAt: now, expiresAt: now.Add(ttl),
	}
	a.reservation = r
	s.reservations = append(s.reservations, r)
	s.emit(Send{Agent: a.name, Message: messenger.Reserve{Number: r.number, Demand: r.demand, TTL: ttl}})
	s.noteReservation(r, "reservation requested", fmt.Sprintf("demand of %d thousandths of a core, TTL %s", r.demand.CPU, ttl))
}

// noteReservation emits the note on a reservation's change of state.
func (s *Scheduler) noteReservation(r *reservation, what, why string) {
	s.emit(Note{Job: r.job.ID, Queue: r.job.Queue.Name, Agent: r.agent.name, What: what, Why: why, Age: s.clock.Since(r.job.arrived)})
}

// confirmReservation records whether an agent's last report lists the entry's
// reservation there.
func (s *Scheduler) confirmReservation(a *agent) {
	r := a.reservation
	switch {
	case r == nil:
	case a.report.ReservationNumber == r.number:
		if !r.confirmed {
			s.noteReservation(r, "reservation kept", "")
		}
		r.confirmed = true
		r.missedReports = 0
	case s.clock.Since(r.requestedAt) >= reserveConfirmGrace:
		if r.missedReports++; r.missedReports >= maxMissedReports {
			s.cancelReservation(r, "not confirmed by the agent")
		}
	}
}

// cancelObsoleteReservations cancels the reservations that are no longer of use.
func (s *Scheduler) cancelObsoleteReservations() {
	if len(s.reservations) == 0 {
		return
	}
	now := s.clock.Now()
	for _, r := range slices.Clone(s.reservations) {
		if why := s.obsoleteReason(r, now); why != "" {
			s.cancelReservation(r, why)
		}
	}
}

// obsoleteReason returns the reason why a reservation is no longer of use, or "" while
// it still is.
func (s *Scheduler) obsoleteReason(r *reservation, now time.Time) string {
	needsReservation := func(t *task) bool {
		return t.step == r.step && (t.state == ready || (t.state == placed && now.Sub(t.placedAt) < placedElsewhereGrace))
	}
	switch {
	case s.jobs[r.job.ID] != r.job:
		return "job has ended"
	case !slices.ContainsFunc(r.job.tasks, needsReservation):
		return "placed elsewhere"
	case !now.Before(r.expiresAt):
		return "reservation expired"
	case !s.accepts(r.agent, r.job.Queue, now) || !r.agent.healthy(now):
		return "agent no longer serves the queue or its worker is unhealthy"
	}
	return ""
}

// useReservation removes the reservation of a task that has just been placed at the
// agent. The agent ends the reservation with the placement.
func (s *Scheduler) useReservation(a *agent, j *job, step int) {
	r := a.reservation
	if r == nil || r.job != j || r.step != step {
		return
	}
	s.removeReservation(r)
	s.noteReservation(r, "reservation used", fmt.Sprintf("%s after the request", s.clock.Since(r.requestedAt)))
}

// cancelReservation ends a reservation and notifies its agent.
func (s *Scheduler) cancelReservation(r *reservation, why string) {
	s.removeReservation(r)
	r.agent.nextReserveAt = s.clock.Now().Add(reserveBackoff)
	if r.agent.synced {
		s.emit(Send{Agent: r.agent.name, Message: messenger.Reserve{Number: r.number}})
	}
	s.noteReservation(r, "reservation given up", why)
}

// reservationLinkEnded removes the reservation at an agent whose link has ended. The
// agent has dropped it already.
func (s *Scheduler) reservationLinkEnded(a *agent) {
	if r := a.reservation; r != nil {
		s.removeReservation(r)
		s.noteReservation(r, "reservation given up", "link closed")
	}
}

// removeReservation removes a reservation without notifying the agent.
func (s *Scheduler) removeReservation(r *reservation) {
	r.agent.reservation = nil
	s.reservations = slices.DeleteFunc(s.reservations, func(other *reservation) bool { return other == r })
}

// capacityFor returns the capacity that tasks of a step may use at the agent: without
// what is reserved for another job of the entry, and including what is being collected
// for a task of another entry if these tasks end before that one can start.
func (a *agent) capacityFor(j *job, step int, now time.Time) messenger.Resources {
	capacity := a.free()
	if r := a.reservation; r != nil && (r.job != j || r.step != step) && r.demand.FitsIn(capacity) {
		capacity = capacity.Minus(r.demand)
	}
	if backfill := a.report.Backfill; backfill.Window > 0 && now.Sub(a.reportedAt)+j.Steps[step].Estimate+backfillMargin <= backfill.Window {
		capacity = capacity.Plus(backfill.Resources)
	}
	return capacity
}

// capacityWithBackfill returns the free capacity of the agent plus the capacity that
// tasks which end soon may use.
func (a *agent) capacityWithBackfill() messenger.Resources {
	return a.free().Plus(a.report.Backfill.Resources)
}
