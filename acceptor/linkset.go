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
	// redialBase and redialMost bound the pause before a link is opened again;
	// the pause doubles after each redialRound failures and is jittered. Agents
	// that return together with their entry are found within a few base pauses.
	redialBase  = 20 * time.Millisecond
	redialMost  = 500 * time.Millisecond
	redialRound = 5
	// directoryWait is how long one watch of the directory waits.
	directoryWait = 2 * time.Second
	// directoryPause is the pause after a watch that was answered. Agents that
	// start together are then read together and not each by a call of its own.
	directoryPause = 250 * time.Millisecond
	// storePause is the pause after a failed call to the store. It doubles with
	// each further failure up to storePauseMost, and is jittered.
	storePause     = 150 * time.Millisecond
	storePauseMost = 600 * time.Millisecond
	// forgetAfter drops an agent that is out of touch and out of the directory
	// for so long.
	forgetAfter = 20 * time.Second
	// reselectInterval is the time between two looks at which agents to link.
	reselectInterval = 250 * time.Millisecond
	// failuresMost is the number of dials that fail in a row before another
	// agent takes the place.
	failuresMost = 3
)

// target is an agent that may be linked.
type target struct {
	registration platform.Registration
	// listed is whether the directory holds it.
	listed   bool
	unlisted time.Time
	// rank is the agent's place in the entry's ranking.
	rank uint64
	// failures counts the dials in a row that failed.
	failures int
	// cancel ends the goroutine that keeps the link; nil without one.
	cancel context.CancelFunc
}

// linkSet follows the directory of agents and keeps links to those that choose
// names. A link that is no longer chosen is closed once no run depends on it.
type linkSet struct {
	acceptor *Acceptor

	mu      sync.Mutex
	targets map[string]*target
	budget  budget
	// revision is that of the directives by which agents were last chosen.
	revision int64
	// dirty means that something has changed since agents were last chosen.
	dirty bool
	// surplus lists the linked agents that were not chosen last.
	surplus []string
}

func newLinkSet(a *Acceptor) *linkSet {
	return &linkSet{acceptor: a, targets: make(map[string]*target), budget: newBudget()}
}

// follow keeps the targets as the directory has them until ctx ends.
func (s *linkSet) follow(ctx context.Context) error {
	a := s.acceptor
	last := ""
	go s.reselect(ctx)
	revision := int64(0)
	retry := storeRetry{clock: a.deps.Clock}
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = s.list(ctx)
		} else {
			revision, err = s.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return nil
		}
		last = announcer.Dependency(a.deps, "directory", last, err)
		retry.after(err)
	}
	return nil
}

// storeRetry spaces the calls to the store that follow failed ones.
type storeRetry struct {
	clock clockwork.Clock
	// failures counts the calls in a row that failed.
	failures int
}

// after waits after a call that failed.
func (r *storeRetry) after(err error) {
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
	return min(storePause<<min(max(failures-1, 0), 2), storePauseMost)
}

// jittered returns a pause of half to one and a half times d.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// list reads the whole directory.
func (s *linkSet) list(ctx context.Context) (int64, error) {
	items, revision, err := s.acceptor.store.List(ctx, platform.AgentPrefix)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[s.take(i)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.targets {
		if !listed[name] {
			s.unlist(t)
		}
	}
	s.link(ctx)
	return revision, nil
}

// watch waits for changes of the directory. Any error but a lost answer asks
// for a new list.
func (s *linkSet) watch(ctx context.Context, revision int64) (int64, error) {
	items, next, err := s.acceptor.store.Watch(ctx, platform.AgentPrefix, revision, directoryWait)
	if err != nil || len(items) == 0 {
		return next, err
	}
	s.takeAll(ctx, items)
	s.acceptor.deps.Clock.Sleep(directoryPause)
	return next, nil
}

// takeAll takes in changes of the directory.
func (s *linkSet) takeAll(ctx context.Context, items []platform.Item) {
	for _, i := range items {
		if i.Deleted {
			s.drop(i.Key[len(platform.AgentPrefix):])
			continue
		}
		s.take(i)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link(ctx)
}

// take notes a registered agent and returns its name.
func (s *linkSet) take(i platform.Item) string {
	r, err := platform.ReadRegistration(i)
	if err != nil {
		s.acceptor.deps.Log.WithError(err).WithField("key", i.Key).Warn("registration passed over")
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[r.Agent]; t != nil {
		t.listed = true
		if t.registration.Same(r) {
			return r.Agent
		}
		if t.cancel != nil {
			t.cancel()
		}
	}
	s.targets[r.Agent] = &target{registration: r, listed: true, rank: rankOf(s.acceptor.cfg.ID, r.Agent)}
	s.dirty = true
	return r.Agent
}

// reselect links more agents as others fail or the entry is short of room, and
// fewer when it is not, until ctx ends.
func (s *linkSet) reselect(ctx context.Context) {
	// Tick ends with ctx and has no other error.
	_ = announcer.Tick(ctx, s.acceptor.deps.Clock, reselectInterval, func() {
		need := ask[scheduler.CapacityNeed](s.acceptor, needQuestion{})
		if s.acceptor.lag.behind() > lagMost/2 {
			// What this entry lacks is processor time, which more links cost.
			need = scheduler.CapacityNeed{}
		}
		s.release(s.adjust(ctx, need))
	})
}

// adjust chooses the agents by the present need and returns the linked ones that
// are not needed any more.
func (s *linkSet) adjust(ctx context.Context, need scheduler.CapacityNeed) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budget.adjust(need, len(s.targets), s.acceptor.deps.Clock.Now()) {
		s.dirty = true
		s.acceptor.deps.Log.WithField("links", s.budget.most).WithField("short", need.Shortage).WithField("workers", need.Workers).Info("number of links changed")
	}
	s.link(ctx)
	return slices.Clone(s.surplus)
}

// release ends the links to agents on which nothing depends.
func (s *linkSet) release(names []string) {
	if len(names) == 0 {
		return
	}
	idle := ask[[]string](s.acceptor, releaseQuestion{agents: names})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range idle {
		if t := s.targets[name]; t != nil && t.cancel != nil {
			t.cancel()
			t.cancel = nil
			// Agents are chosen once more: it may have been chosen again meanwhile.
			s.dirty = true
		}
	}
}

// link opens links to the chosen agents, if something has changed since they
// were last chosen. The caller holds mu.
func (s *linkSet) link(ctx context.Context) {
	c, _ := s.acceptor.Configuration()
	if !s.dirty && c.Revision == s.revision {
		return
	}
	s.dirty = false
	s.revision = c.Revision
	list := make([]candidate, 0, len(s.targets))
	for name, t := range s.targets {
		dc := t.registration.DataCentre
		reached := t.failures < failuresMost
		list = append(list, candidate{
			agent:      name,
			dataCentre: dc,
			rank:       t.rank,
			reached:    reached,
			usable:     reached && !c.Evacuated[dc],
		})
	}
	wanted := s.wanted(list)
	for name := range wanted {
		t := s.targets[name]
		if t.cancel != nil {
			continue
		}
		var inner context.Context
		inner, t.cancel = context.WithCancel(ctx)
		go s.keep(inner, t.registration)
	}
	s.surplus = nil
	for name, t := range s.targets {
		if t.cancel != nil && !wanted[name] {
			s.surplus = append(s.surplus, name)
		}
	}
}

// wanted returns the agents to link: those for the entry's tasks, and those at
// which it meets the other entries.
func (s *linkSet) wanted(list []candidate) map[string]bool {
	id, dc := s.acceptor.cfg.ID, s.acceptor.cfg.DataCentre
	out := make(map[string]bool)
	for _, name := range slices.Concat(choose(dc, list, s.budget.most), meetingAgents(id, list)) {
		out[name] = true
	}
	return out
}

// dialled notes the outcome of a dial.
func (s *linkSet) dialled(name string, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	switch {
	case t == nil:
	case good:
		s.dirty = s.dirty || t.failures >= failuresMost
		t.failures = 0
	default:
		t.failures++
		s.dirty = s.dirty || t.failures == failuresMost
	}
}

func (s *linkSet) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[name]; t != nil {
		s.unlist(t)
	}
}

// unlist notes that the directory no longer holds a target. It is kept as long
// as it can be reached, since an entry of the directory may lapse while its
// agent lives.
func (s *linkSet) unlist(t *target) {
	if t.listed {
		t.listed = false
		t.unlisted = s.acceptor.deps.Clock.Now()
	}
}

// forgotten reports whether an agent that cannot be reached is to be dropped.
func (s *linkSet) forgotten(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		return true
	}
	if t.listed || s.acceptor.deps.Clock.Since(t.unlisted) < forgetAfter {
		return false
	}
	delete(s.targets, name)
	s.dirty = true
	return true
}

// keep holds one link to an agent open until ctx ends or the agent is
// forgotten.
func (s *linkSet) keep(ctx context.Context, r platform.Registration) {
	a := s.acceptor
	failures := 0
	for ctx.Err() == nil {
		l, err := messenger.Dial(ctx, r.Link, a)
		s.dialled(r.Agent, err == nil)
		if err == nil {
			failures = 0
			a.post(linkOpened{agent: r.Agent, link: l})
			select {
			case <-l.Done():
			case <-ctx.Done():
				l.Close()
			}
		} else if s.forgotten(r.Agent) {
			a.deps.Log.WithField("agent", r.Agent).Info("agent forgotten")
			return
		}
		pause := redialPause(failures)
		failures++
		a.deps.Clock.Sleep(jittered(pause))
	}
}

// redialPause is the pause after some dials that failed, without jitter.
func redialPause(failures int) time.Duration {
	const doublings = 10
	return min(redialBase<<min(failures/redialRound, doublings), redialMost)
}
