package acceptor

import (
	"context"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/server"
)

const (
	// directoryWatchTimeout is how long one watch of the directory waits.
	directoryWatchTimeout = 2 * time.Second
	// directoryBatchDelay is the delay after a watch that returned changes. Agents that
	// start together are then read together, not each with a call of its own.
	directoryBatchDelay = 250 * time.Millisecond
	// evictAfter is how long an agent has to be missing from the directory before it
	// is evicted. It is evicted only if it cannot be reached either.
	evictAfter = 20 * time.Second
)

// follow keeps the known agents up to date with the directory until ctx ends.
func (s *linkSet) follow(ctx context.Context) error {
	a := s.acceptor
	lastError := ""
	go s.reselect(ctx)
	go s.keepWitnesses(ctx)
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
		lastError = server.LogDependency(a.deps, "directory", lastError, err)
		retry.wait(err)
	}
	return nil
}

// loadDirectory reads the whole directory.
func (s *linkSet) loadDirectory(ctx context.Context) (int64, error) {
	items, revision, err := s.acceptor.store.List(ctx, platform.DirectoryPrefix)
	if err != nil {
		return 0, err
	}
	registered := make(map[string]bool, len(items))
	witnesses := platform.Item{Key: platform.WitnessesKey, Deleted: true}
	for _, item := range items {
		switch {
		case item.Key == platform.WitnessesKey:
			witnesses = item
		case strings.HasPrefix(item.Key, platform.AgentPrefix):
			registered[s.register(item)] = true
		}
	}
	s.readWitnesses(witnesses)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directoryRead = true
	for name, agent := range s.agents {
		if !registered[name] {
			s.markUnregistered(agent)
		}
	}
	s.updateLinks(ctx)
	return revision, nil
}

// watchDirectory waits for changes of the directory and applies them. It returns the
// revision from which to watch next, or zero with any error, so that the directory is
// then loaded anew.
func (s *linkSet) watchDirectory(ctx context.Context, revision int64) (int64, error) {
	items, next, err := s.acceptor.store.Watch(ctx, platform.DirectoryPrefix, revision, directoryWatchTimeout)
	if err != nil || len(items) == 0 {
		return next, err
	}
	s.applyChanges(ctx, items)
	s.acceptor.deps.Clock.Sleep(directoryBatchDelay)
	return next, nil
}

// applyChanges applies changes of the directory and updates the links.
func (s *linkSet) applyChanges(ctx context.Context, items []platform.Item) {
	for _, item := range items {
		name, isAgent := strings.CutPrefix(item.Key, platform.AgentPrefix)
		switch {
		case item.Key == platform.WitnessesKey:
			s.readWitnesses(item)
		case isAgent && item.Deleted:
			s.handleDeletion(name)
		case isAgent:
			s.register(item)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLinks(ctx)
}

// register adds or updates a registered agent and returns its name, or "" if the
// registration is invalid. An open link stays as long as the agent answers there, since
// another writer may have left the registration; the next one goes to the new address.
func (s *linkSet) register(item platform.Item) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	registration, err := platform.ParseRegistration(item)
	if err != nil {
		s.logInvalid(item, "registration", err)
		return ""
	}
	agent := s.agents[registration.Agent]
	if agent == nil {
		agent = &knownAgent{rank: rankOf(s.acceptor.cfg.ID, registration.Agent)}
		s.agents[registration.Agent] = agent
	}
	if !agent.registration.SameEndpoint(registration) {
		agent.dialFailures = 0
		s.selectionStale = true
	}
	agent.registration = registration
	agent.registered = true
	return registration.Agent
}

// logInvalid logs an invalid item once. The caller holds mu.
func (s *linkSet) logInvalid(item platform.Item, what string, err error) {
	if s.invalid[item.Key] == item.Revision {
		return
	}
	s.invalid[item.Key] = item.Revision
	s.acceptor.deps.Log.WithError(err).WithField("key", item.Key).Warn("invalid " + what + " ignored")
}

// handleDeletion processes the deletion of an agent's registration.
func (s *linkSet) handleDeletion(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.invalid, platform.AgentPrefix+name)
	if agent := s.agents[name]; agent != nil {
		s.markUnregistered(agent)
	}
}

// markUnregistered records that an agent is no longer in the directory. The agent stays
// known as long as it can be reached, since its registration may expire while it runs.
func (s *linkSet) markUnregistered(agent *knownAgent) {
	if agent.registered {
		agent.registered = false
		agent.unregisteredAt = s.acceptor.deps.Clock.Now()
	}
}

// evictIfExpired evicts an agent that cannot be reached, if it has been missing from the
// directory for evictAfter. It reports whether the agent is no longer known.
func (s *linkSet) evictIfExpired(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	agent := s.agents[name]
	if agent == nil {
		return true
	}
	if agent.registered || s.acceptor.deps.Clock.Since(agent.unregisteredAt) < evictAfter {
		return false
	}
	delete(s.agents, name)
	s.selectionStale = true
	return true
}
