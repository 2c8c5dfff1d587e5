package acceptor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomeloferry/pomeloferry/announcer"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
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
	// storePause is the pause after a failed call to the store.
	storePause = 150 * time.Millisecond
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
	// failures counts the dials in a row that failed.
	failures int
	// cancel ends the goroutine that keeps the link; nil without one.
	cancel context.CancelFunc
}

// linkSet follows the directory of agents and keeps links to those that choose
// names. A link that stands is kept also when it is no longer chosen, since
// runs may depend on it.
type linkSet struct {
	acceptor *Acceptor

	mu      sync.Mutex
	targets map[string]*target
	// most is the number of links to keep in use. It grows while the entry is
	// short of room.
	most int
}

func newLinkSet(a *Acceptor) *linkSet {
	return &linkSet{acceptor: a, targets: make(map[string]*target), most: linksBase}
}

// follow keeps the targets as the directory has them until ctx ends.
func (s *linkSet) follow(ctx context.Context) error {
	a := s.acceptor
	last := ""
	go s.reselect(ctx)
	revision := int64(0)
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
		if err != nil {
			a.deps.Clock.Sleep(storePause)
		}
	}
	return nil
}

// list reads the whole directory.
func (s *linkSet) list(ctx context.Context) (int64, error) {
	items, revision, err := s.acceptor.store.List(ctx, platform.AgentPrefix)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[s.take(ctx, i)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.targets {
		if !listed[name] {
			s.unlist(t)
		}
	}
	return revision, nil
}

// watch waits for changes of the directory. Any error but a lost answer asks
// for a new list.
func (s *linkSet) watch(ctx context.Context, revision int64) (int64, error) {
	items, next, err := s.acceptor.store.Watch(ctx, platform.AgentPrefix, revision, directoryWait)
	if err != nil {
		return 0, err
	}
	for _, i := range items {
		if i.Deleted {
			s.drop(i.Key[len(platform.AgentPrefix):])
			continue
		}
		s.take(ctx, i)
	}
	return next, nil
}

// take keeps a link to a registered agent and returns its name.
func (s *linkSet) take(ctx context.Context, i platform.Item) string {
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
	s.targets[r.Agent] = &target{registration: r, listed: true}
	s.link(ctx)
	return r.Agent
}

// reselect links more agents as others fail, until ctx ends.
func (s *linkSet) reselect(ctx context.Context) {
	// Tick ends with ctx and has no other error.
	_ = announcer.Tick(ctx, s.acceptor.deps.Clock, reselectInterval, func() {
		short := ask[bool](s.acceptor, shortQuestion{})
		s.mu.Lock()
		defer s.mu.Unlock()
		if short && s.most < len(s.targets) {
			s.most += linksStep
			s.acceptor.deps.Log.WithField("links", s.most).Info("more agents linked")
		}
		s.link(ctx)
	})
}

// link opens links to the chosen agents. The caller holds mu.
func (s *linkSet) link(ctx context.Context) {
	c, _ := s.acceptor.Configuration()
	list := make([]candidate, 0, len(s.targets))
	for name, t := range s.targets {
		dc := t.registration.DataCentre
		list = append(list, candidate{
			agent:      name,
			dataCentre: dc,
			usable:     t.failures < failuresMost && !c.Evacuated[dc],
		})
	}
	for _, name := range choose(s.acceptor.cfg.ID, s.acceptor.cfg.DataCentre, list, s.most) {
		t := s.targets[name]
		if t.cancel != nil {
			continue
		}
		var inner context.Context
		inner, t.cancel = context.WithCancel(ctx)
		go s.keep(inner, t.registration)
	}
}

// dialled notes the outcome of a dial.
func (s *linkSet) dialled(name string, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	switch {
	case t == nil:
	case good:
		t.failures = 0
	default:
		t.failures++
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
		a.deps.Clock.Sleep(pause/2 + time.Duration(rand.Int64N(int64(pause))))
	}
}

// redialPause is the pause after some dials that failed, without jitter.
func redialPause(failures int) time.Duration {
	const doublings = 10
	return min(redialBase<<min(failures/redialRound, doublings), redialMost)
}
