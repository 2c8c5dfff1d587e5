package acceptor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/announcer"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

const (
	// minRedialDelay and maxRedialDelay bound the pause before a link is opened again;
	// the pause doubles after each redialsPerDoubling failures and is jittered. Agents
	// that return together with their entry are found within a few base pauses.
	minRedialDelay     = 20 * time.Millisecond
	maxRedialDelay     = 500 * time.Millisecond
	redialsPerDoubling = 5
	// directoryWatchTimeout is how long one watch of the directory waits.
	directoryWatchTimeout = 2 * time.Second
	// directoryBatchDelay is the pause after a watch that was answered. Agents that
	// start together are then read together and not each by a call of its own.
	directoryBatchDelay = 250 * time.Millisecond
	// minStoreBackoff is the pause after a failed call to the store. It doubles with
	// each further failure up to maxStoreBackoff, and is jittered.
	minStoreBackoff = 150 * time.Millisecond
	maxStoreBackoff = 600 * time.Millisecond
	// evictAfter drops an agent that is out of touch and out of the directory
	// for so long.
	evictAfter = 20 * time.Second
	// reselectInterval is the time between two looks at which agents to link.
	reselectInterval = 250 * time.Millisecond
	// maxDialFailures is the number of dials that fail in a row before another
	// agent takes the place.
	maxDialFailures = 3
)

// knownAgent is an agent that may be linked.
type knownAgent struct {
	registration platform.Registration
	// registered is whether the directory holds it.
	registered     bool
	unregisteredAt time.Time
	// rank is the agent's place in the entry's ranking.
	rank uint64
	// dialFailures counts the dials in a row that failed.
	dialFailures int
	// stopLink ends the goroutine that keeps the link; nil without one.
	stopLink context.CancelFunc
}

// linkSet follows the directory of agents and keeps links to those that choose
// names. A link that is no longer chosen is closed once no run depends on it.
type linkSet struct {
	acceptor *Acceptor

	mu     sync.Mutex
	agents map[string]*knownAgent
	budget linkBudget
	// selectedRevision is that of the directives by which agents were last chosen.
	selectedRevision int64
	// selectionStale means that something has changed since agents were last chosen.
	selectionStale bool
	// surplus lists the linked agents that were not chosen last.
	surplus []string
}

func newLinkSet(a *Acceptor) *linkSet {
	return &linkSet{acceptor: a, agents: make(map[string]*knownAgent), budget: newLinkBudget()}
}

// follow keeps the targets as the directory has them until ctx ends.
func (s *linkSet) follow(ctx context.Context) error {
	a := s.acceptor
	lastError := ""
	go s.reselect(ctx)
	revision := int64(0)
	retry := storeBackoffTimer{clock: a.deps.Clock}
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = s.loadDirectory(ctx)
		} else {
			revision, err = s.watchDirectory(ctx, revision)
		}
		if ctx.Err() != nil {
			return nil
		}
		lastError = announcer.LogDependency(a.deps, "directory", lastError, err)
		retry.wait(err)
	}
	return nil
}

// storeBackoffTimer spaces the calls to the store that follow failed ones.
type storeBackoffTimer struct {
	clock clockwork.Clock
	// failures counts the calls in a row that failed.
	failures int
}

// wait waits after a call that failed.
func (r *storeBackoffTimer) wait(err error) {
	if err == nil {
		r.failures = 0
		return
	}
	r.failures++
	r.clock.Sleep(jittered(storeBackoff(r.failures)))
}

// storeBackoff is the pause after some calls to the store that failed in a row,
// without jitter.
func storeBackoff(failures int) time.Duration {
	return min(minStoreBackoff<<min(max(failures-1, 0), 2), maxStoreBackoff)
}

// jittered returns a pause of half to one and a half times d.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// loadDirectory reads the whole directory.
func (s *linkSet) loadDirectory(ctx context.Context) (int64, error) {
	items, revision, err := s.acceptor.store.List(ctx, platform.AgentPrefix)
	if err != nil {
		return 0, err
	}
	registered := make(map[string]bool, len(items))
	for _, item := range items {
		registered[s.register(item)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.agents {
		if !registered[name] {
			s.markUnregistered(t)
		}
	}
	s.updateLinks(ctx)
	return revision, nil
}

// watchDirectory waits for changes of the directory. Any error but a lost answer asks
// for a new list.
func (s *linkSet) watchDirectory(ctx context.Context, revision int64) (int64, error) {
	items, next, err := s.acceptor.store.Watch(ctx, platform.AgentPrefix, revision, directoryWatchTimeout)
	if err != nil || len(items) == 0 {
		return next, err
	}
	s.applyChanges(ctx, items)
	s.acceptor.deps.Clock.Sleep(directoryBatchDelay)
	return next, nil
}

// applyChanges takes in changes of the directory.
func (s *linkSet) applyChanges(ctx context.Context, items []platform.Item) {
	for _, item := range items {
		if item.Deleted {
			s.handleDeletion(item.Key[len(platform.AgentPrefix):])
			continue
		}
		s.register(item)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLinks(ctx)
}

// register notes a registered agent and returns its name.
func (s *linkSet) register(item platform.Item) string {
	registration, err := platform.ParseRegistration(item)
	if err != nil {
		s.acceptor.deps.Log.WithError(err).WithField("key", item.Key).Warn("registration passed over")
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.agents[registration.Agent]; t != nil {
		t.registered = true
		if t.registration.SameEndpoint(registration) {
			return registration.Agent
		}
		if t.stopLink != nil {
			t.stopLink()
		}
	}
	s.agents[registration.Agent] = &knownAgent{registration: registration, registered: true, rank: rankOf(s.acceptor.cfg.ID, registration.Agent)}
	s.selectionStale = true
	return registration.Agent
}

// reselect links more agents as others fail or the entry is short of room, and
// fewer when it is not, until ctx ends.
func (s *linkSet) reselect(ctx context.Context) {
	// Tick ends with ctx and has no other error.
	_ = announcer.Tick(ctx, s.acceptor.deps.Clock, reselectInterval, func() {
		need := ask[scheduler.CapacityNeed](s.acceptor, needQuery{})
		if s.acceptor.lag.current() > maxLag/2 {
			// What this entry lacks is processor time, which more links cost.
			need = scheduler.CapacityNeed{}
		}
		s.releaseSurplus(s.reselectOnce(ctx, need))
	})
}

// reselectOnce chooses the agents by the present need and returns the linked ones that
// are not needed any more.
func (s *linkSet) reselectOnce(ctx context.Context, need scheduler.CapacityNeed) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budget.adjust(need, len(s.agents), s.acceptor.deps.Clock.Now()) {
		s.selectionStale = true
		s.acceptor.deps.Log.WithField("links", s.budget.limit).WithField("short", need.Shortage).WithField("workers", need.Workers).Info("number of links changed")
	}
	s.updateLinks(ctx)
	return slices.Clone(s.surplus)
}

// releaseSurplus ends the links to agents on which nothing depends.
func (s *linkSet) releaseSurplus(names []string) {
	if len(names) == 0 {
		return
	}
	released := ask[[]string](s.acceptor, releaseLinks{agents: names})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range released {
		if t := s.agents[name]; t != nil && t.stopLink != nil {
			t.stopLink()
			t.stopLink = nil
			// Agents are chosen once more: it may have been chosen again meanwhile.
			s.selectionStale = true
		}
	}
}

// updateLinks opens links to the chosen agents, if something has changed since they
// were last chosen. The caller holds mu.
func (s *linkSet) updateLinks(ctx context.Context) {
	configuration, _ := s.acceptor.Configuration()
	if !s.selectionStale && configuration.Revision == s.selectedRevision {
		return
	}
	s.selectionStale = false
	s.selectedRevision = configuration.Revision
	candidates := make([]candidate, 0, len(s.agents))
	for name, t := range s.agents {
		dc := t.registration.DataCentre
		reachable := t.dialFailures < maxDialFailures
		candidates = append(candidates, candidate{
			agent:      name,
			dataCentre: dc,
			rank:       t.rank,
			reachable:  reachable,
			usable:     reachable && !configuration.Evacuated[dc],
		})
	}
	selected := s.selectAll(candidates)
	for name := range selected {
		t := s.agents[name]
		if t.stopLink != nil {
			continue
		}
		var linkCtx context.Context
		linkCtx, t.stopLink = context.WithCancel(ctx)
		go s.maintainLink(linkCtx, t.registration)
	}
	s.surplus = nil
	for name, t := range s.agents {
		if t.stopLink != nil && !selected[name] {
			s.surplus = append(s.surplus, name)
		}
	}
}

// selectAll returns the agents to link: those for the entry's tasks, and those at
// which it meets the other entries.
func (s *linkSet) selectAll(candidates []candidate) map[string]bool {
	id, dc := s.acceptor.cfg.ID, s.acceptor.cfg.DataCentre
	out := make(map[string]bool)
	for _, name := range slices.Concat(selectAgents(dc, candidates, s.budget.limit), gridAgents(id, candidates)) {
		out[name] = true
	}
	return out
}

// recordDial notes the outcome of a dial.
func (s *linkSet) recordDial(name string, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.agents[name]
	switch {
	case t == nil:
	case succeeded:
		s.selectionStale = s.selectionStale || t.dialFailures >= maxDialFailures
		t.dialFailures = 0
	default:
		t.dialFailures++
		s.selectionStale = s.selectionStale || t.dialFailures == maxDialFailures
	}
}

func (s *linkSet) handleDeletion(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.agents[name]; t != nil {
		s.markUnregistered(t)
	}
}

// markUnregistered notes that the directory no longer holds a target. It is kept as long
// as it can be reached, since an entry of the directory may lapse while its
// agent lives.
func (s *linkSet) markUnregistered(t *knownAgent) {
	if t.registered {
		t.registered = false
		t.unregisteredAt = s.acceptor.deps.Clock.Now()
	}
}

// evictIfExpired reports whether an agent that cannot be reached is to be dropped.
func (s *linkSet) evictIfExpired(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.agents[name]
	if t == nil {
		return true
	}
	if t.registered || s.acceptor.deps.Clock.Since(t.unregisteredAt) < evictAfter {
		return false
	}
	delete(s.agents, name)
	s.selectionStale = true
	return true
}

// maintainLink holds one link to an agent open until ctx ends or the agent is
// forgotten.
func (s *linkSet) maintainLink(ctx context.Context, r platform.Registration) {
	a := s.acceptor
	failures := 0
	for ctx.Err() == nil {
		l, err := messenger.Dial(ctx, r.Link, a)
		s.recordDial(r.Agent, err == nil)
		if err == nil {
			failures = 0
			a.post(linkOpened{agent: r.Agent, link: l})
			select {
			case <-l.Done():
			case <-ctx.Done():
				l.Close()
			}
		} else if s.evictIfExpired(r.Agent) {
			a.deps.Log.WithField("agent", r.Agent).Info("agent forgotten")
			return
		}
		delay := redialDelay(failures)
		failures++
		a.deps.Clock.Sleep(jittered(delay))
	}
}

// redialDelay is the pause after some dials that failed, without jitter.
func redialDelay(failures int) time.Duration {
	const doublings = 10
	return min(minRedialDelay<<min(failures/redialsPerDoubling, doublings), maxRedialDelay)
}
