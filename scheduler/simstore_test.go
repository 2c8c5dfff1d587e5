package scheduler_test

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// storeDelay is how long the store takes for an answer, and storeTimeout how long a
	// process waits for one.
	storeDelay   = 2 * time.Millisecond
	storeTimeout = 800 * time.Millisecond
	// watchTime is how long an entry's watch of the store waits, and storeRetryDelay the
	// time until the next call after a failed one.
	watchTime       = 600 * time.Millisecond
	storeRetryDelay = 400 * time.Millisecond
	// renewInterval is the time between two renewals of an agent's registration.
	renewInterval = 3 * time.Second
)

// simStore is the platform's store, as far as the operators' evacuations go.
type simStore struct {
	sim *simulation
	// revision rises with each change; changedAt is that of the last change of evacuatedAt,
	// which has when each evacuation began.
	revision, changedAt int64
	evacuatedAt         map[string]time.Time
	downUntil           time.Time
	// agentReads counts the reads of agents.
	agentReads int
}

// addStore gives the simulation a store. Entries know the configuration and the evacuations
// only from it, and what agents tell them.
func (sim *simulation) addStore() {
	sim.store = &simStore{sim: sim, revision: 10, evacuatedAt: make(map[string]time.Time)}
	for _, a := range sim.agents {
		a.followStore()
	}
	for _, e := range sim.entries {
		e.watchStore()
	}
}

// evacuate begins the evacuation of a data centre, or ends it.
func (s *simStore) evacuate(dc string, active bool) {
	s.revision++
	s.changedAt = s.revision
	if !active {
		delete(s.evacuatedAt, dc)
		return
	}
	s.evacuatedAt[dc] = s.sim.clock.Now()
}

// view returns what a read that began at a time finds now.
func (s *simStore) view(beganAt time.Time) evacuator.View {
	return evacuator.NewView(s.revision, slices.Collect(maps.Keys(s.evacuatedAt)), beganAt)
}

// reachable reports whether a process that is cut off until a time reaches the store.
func (s *simStore) reachable(cutUntil time.Time) bool {
	now := s.sim.clock.Now()
	return !now.Before(cutUntil) && !now.Before(s.downUntil)
}

// watchStore keeps the entry's evacuations up to date, by watches one after the other.
func (e *simEntry) watchStore() {
	core, store := e.core, e.sim.store
	read := false
	var begin func()
	begin = func() {
		if e.core != core || e.down {
			return
		}
		beganAt := e.sim.clock.Now()
		known := store.revision
		var wait func()
		wait = func() {
			waited := e.sim.clock.Since(beganAt)
			switch {
			case !store.reachable(e.storeCutUntil):
				e.sim.schedule(storeRetryDelay, begin)
			case read && store.changedAt <= known && waited < watchTime:
				e.sim.schedule(20*time.Millisecond, wait)
			default:
				v := store.view(beganAt)
				e.sim.schedule(storeDelay, func() {
					e.do(func() {
						e.learnEvacuations(v, !read)
						read = true
					})
					begin()
				})
			}
		}
		e.sim.schedule(storeDelay, wait)
	}
	begin()
}

// learnEvacuations merges a view into the entry's own, and configures the scheduler if that
// changes the evacuated data centres, or if it is the first one.
func (e *simEntry) learnEvacuations(v evacuator.View, first bool) {
	before := e.evacuations
	e.evacuations = before.Merge(v)
	if first {
		e.configured = true
	}
	if e.configured && (first || !before.SameDataCentres(e.evacuations)) {
		e.core.Configure(e.sim.configuration().WithEvacuated(e.evacuations.Set(), e.evacuations.Revision))
	}
}

// receiveEvacuations merges what an agent tells.
func (e *simEntry) receiveEvacuations(l *simLink, r messenger.Report) {
	if r.Evacuations != nil {
		e.learnEvacuations(evacuator.Received(*r.Evacuations, l.openedAt, r.Echo, e.sim.clock.Now()), false)
	}
}

// followStore reads the evacuations, and keeps the agent registered.
func (a *simAgent) followStore() {
	core, store := a.core, a.sim.store
	a.readEvacuations()
	var renew func()
	renew = func() {
		if a.core != core || a.down {
			return
		}
		answered := store.reachable(a.storeCutUntil)
		a.do(func() { core.HandleStoreCall(answered) })
		next := storeRetryDelay
		if answered {
			next = renewInterval
		}
		a.sim.schedule(next, renew)
	}
	renew()
}

// readEvacuations reads the evacuations in the store.
func (a *simAgent) readEvacuations() {
	core, store := a.core, a.sim.store
	beganAt := a.sim.clock.Now()
	store.agentReads++
	handle := func(f func()) func() {
		return func() {
			a.do(func() {
				if a.core == core {
					f()
				}
			})
		}
	}
	if !store.reachable(a.storeCutUntil) {
		a.sim.schedule(storeTimeout, handle(core.HandleEvacuationsUnread))
		return
	}
	a.sim.schedule(storeDelay, func() {
		v := store.view(beganAt)
		a.sim.schedule(storeDelay, handle(func() { core.HandleEvacuationsRead(v) }))
	})
}
