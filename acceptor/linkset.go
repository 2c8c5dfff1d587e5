package acceptor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
	"github.com/pomeloferry/pomeloferry/server"
)

const (
	// minRedialDelay and maxRedialDelay bound the delay before a link is opened again,
	// without jitter. The delay doubles after every redialsPerDoubling failures. Agents
	// that restart together with their entry are found within a few minimum delays.
	minRedialDelay     = 20 * time.Millisecond
	maxRedialDelay     = 500 * time.Millisecond
	redialsPerDoubling = 5
	// reselectInterval is the time between two selections of the agents to link.
	reselectInterval = 250 * time.Millisecond
	// maxDialFailures is the number of failed dials in a row after which another agent
	// is selected in place of the unreachable one.
	maxDialFailures = 3
)

// knownAgent is an agent that is in the directory, or that was in it and has not been
// evicted.
type knownAgent struct {
	registration platform.Registration
	// registered is whether the agent is in the directory.
	registered bool
	// unregisteredAt is when the directory lost the agent, if registered is false.
	unregisteredAt time.Time
	// rank is the agent's position in the entry's ranking; see rankOf.
	rank uint64
	// dialFailures is the number of failed dials since the last successful one.
	dialFailures int
	// stopLink stops the goroutine that maintains the link; nil if there is none.
	stopLink context.CancelFunc
}

// linkSet follows the directory of agents and keeps links to the selected ones; see
// selectAll. The link to an agent that is no longer selected is closed once no run
// depends on it.
type linkSet struct {
	acceptor *Acceptor
	// post sends a message to the entry's actor.
	post func(msg any)

	// mu guards the fields below.
	mu sync.Mutex
	// agents maps names to the known agents.
	agents map[string]*knownAgent
	budget linkBudget
	// selectedRevision is the revision of the directives at the last selection.
	selectedRevision int64
	// selectionStale means that something has changed since the last selection.
	selectionStale bool
	// selectedWitnesses is the version of the list of witnesses at the last selection.
	selectedWitnesses uint64
	witnessKeeper     *witnessKeeper
	// storedWitnesses is the version of the list of witnesses in the store, which was
	// written at witnessRevision; zero if there is none. directoryRead is whether that is
	// known.
	storedWitnesses uint64
	witnessRevision int64
	directoryRead   bool
	// invalid has the revisions of the invalid registrations that were logged, by key.
	invalid map[string]int64
	// surplus lists the agents that are linked but were not selected the last time.
	surplus []string
}

func newLinkSet(a *Acceptor) *linkSet {
	return &linkSet{
		acceptor:      a,
		post:          a.post,
		agents:        make(map[string]*knownAgent),
		budget:        newLinkBudget(),
		invalid:       make(map[string]int64),
		witnessKeeper: newWitnessKeeper(a.deps.Clock, func(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }),
	}
}

// reselect adjusts the links at intervals until ctx ends: it links more agents if others
// fail or the entry is short of capacity, and fewer if it is not.
func (s *linkSet) reselect(ctx context.Context) {
	// Tick ends with ctx and has no other error.
	_ = server.Tick(ctx, s.acceptor.deps.Clock, reselectInterval, func() {
		need := ask[scheduler.CapacityNeed](s.acceptor, needQuery{})
		if s.acceptor.lag.current() > maxLag/2 {
			// The entry is short of processor time, and more links would cost more.
			need = scheduler.CapacityNeed{}
		}
		s.releaseSurplus(s.reselectOnce(ctx, need))
	})
}

// reselectOnce adjusts the link budget to the present need, selects the agents if
// something has changed, and returns the surplus ones.
func (s *linkSet) reselectOnce(ctx context.Context, need scheduler.CapacityNeed) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selectionStale = s.selectionStale || s.acceptor.witnesses().Version != s.selectedWitnesses
	if s.budget.adjust(need, len(s.agents), s.acceptor.deps.Clock.Now()) {
		s.selectionStale = true
		s.acceptor.deps.Log.WithField("links", s.budget.limit).WithField("short", need.Shortage).WithField("workers", need.Workers).Info("link budget changed")
	}
	s.updateLinks(ctx)
	return slices.Clone(s.surplus)
}

// releaseSurplus closes the links to those of the named agents at which the entry has no
// runs.
func (s *linkSet) releaseSurplus(names []string) {
	if len(names) == 0 {
		return
	}
	released := ask[[]string](s.acceptor, releaseLinks{agents: names})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range released {
		if agent := s.agents[name]; agent != nil && agent.stopLink != nil {
			agent.stopLink()
			agent.stopLink = nil
			// The agent may have been selected again meanwhile, so a new selection
			// has to link it again.
			s.selectionStale = true
		}
	}
}

// updateLinks selects the agents to link, opens the missing links and sets surplus. It
// does nothing if nothing has changed since the last selection. The caller holds mu.
func (s *linkSet) updateLinks(ctx context.Context) {
	configuration, _ := s.acceptor.Configuration()
	if !s.selectionStale && configuration.Revision == s.selectedRevision {
		return
	}
	s.selectionStale = false
	s.selectedRevision = configuration.Revision
	witnesses := s.acceptor.witnesses()
	s.selectedWitnesses = witnesses.Version
	selected := s.selectAll(s.candidates(configuration.Evacuated), witnesses)
	for name := range selected {
		agent := s.agents[name]
		if agent == nil || agent.stopLink != nil {
			continue
		}
		var linkCtx context.Context
		linkCtx, agent.stopLink = context.WithCancel(ctx)
		go s.maintainLink(linkCtx, name)
	}
	s.surplus = nil
	for name, agent := range s.agents {
		if agent.stopLink != nil && !selected[name] {
			s.surplus = append(s.surplus, name)
		}
	}
}

// candidates returns the known agents as the selection sees them. The caller holds mu.
func (s *linkSet) candidates(evacuated map[string]bool) []candidate {
	candidates := make([]candidate, 0, len(s.agents))
	for name, agent := range s.agents {
		dc := agent.registration.DataCentre
		reachable := agent.dialFailures < maxDialFailures
		candidates = append(candidates, candidate{
			agent:      name,
			dataCentre: dc,
			rank:       agent.rank,
			reachable:  reachable,
			registered: agent.registered,
			leaving:    agent.registration.Upstream.Draining,
			usable:     reachable && !evacuated[dc],
		})
	}
	return candidates
}

// selectAll returns the agents to link: those for the entry's tasks, within the link
// budget, and the witnesses, which it has in common with the other entries.
func (s *linkSet) selectAll(candidates []candidate, witnesses messenger.WitnessList) map[string]bool {
	dc := s.acceptor.cfg.DataCentre
	out := make(map[string]bool)
	for _, name := range slices.Concat(selectAgents(dc, candidates, s.budget.limit), witnesses.Agents(), s.acceptor.formerWitnesses()) {
		out[name] = true
	}
	return out
}

// recordDial records whether a dial of an agent succeeded. The selection becomes stale
// if that makes the agent reachable or unreachable.
func (s *linkSet) recordDial(name string, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	agent := s.agents[name]
	switch {
	case agent == nil:
	case succeeded:
		s.selectionStale = s.selectionStale || agent.dialFailures >= maxDialFailures
		agent.dialFailures = 0
	default:
		agent.dialFailures++
		s.selectionStale = s.selectionStale || agent.dialFailures == maxDialFailures
	}
}

// maintainLink keeps a link to an agent open, redialling as needed, until ctx ends or the
// agent is evicted. It dials the address that is registered at the time.
func (s *linkSet) maintainLink(ctx context.Context, name string) {
	a := s.acceptor
	failures := 0
	for ctx.Err() == nil {
		l, err := messenger.Dial(ctx, s.linkAddr(name), a)
		s.recordDial(name, err == nil)
		if err == nil {
			failures = 0
			s.post(linkOpened{agent: name, link: l})
			select {
			case <-l.Done():
			case <-ctx.Done():
				l.Close()
			}
		} else if s.evictIfExpired(name) {
			a.deps.Log.WithField("agent", name).Info("agent evicted")
			return
		}
		delay := redialDelay(failures)
		failures++
		a.deps.Clock.Sleep(jittered(delay))
	}
}

// linkAddr returns the registered address of an agent, or "" if it has been evicted.
func (s *linkSet) linkAddr(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if agent := s.agents[name]; agent != nil {
		return agent.registration.Link
	}
	return ""
}

// redialDelay returns the delay before the next dial after a number of failed ones,
// without jitter.
func redialDelay(failures int) time.Duration {
	const doublings = 10
	return min(minRedialDelay<<min(failures/redialsPerDoubling, doublings), maxRedialDelay)
}
