package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// While workers crash one after another, tasks of some queue may be the cause. Each queue
// that may be it is confined to a part of the workers (the bulkhead pattern), so that it
// does not take the workers of the others. Where the next crashes occur shows which queue
// it is.

const (
	// stormWindow is the time in which at least stormMoments crashes at different moments
	// make a storm. Crashes within momentWidth are of one moment: a rack or a data centre
	// fails at once, and no task is the cause.
	stormWindow  = 3 * time.Second
	stormMoments = 3
	momentWidth  = 100 * time.Millisecond
	// suspectShare is the share of the crashes of a storm at which a queue must have had
	// tasks to be confined.
	suspectShare = 0.75
	// trialTime is how long a queue is confined unless one of the workers that are set
	// aside for it crashes, and confinementTime how long after the last of these crashes.
	// Workers that have crashed are back before.
	trialTime       = 2 * time.Second
	confinementTime = 6 * time.Second
	// clearingCrashes is the number of crashes in a row without any task of a confined
	// queue that end its confinement.
	clearingCrashes = 2
	// demandHalfLife is the half-life of the work submitted to a queue, by which the
	// workers are divided.
	demandHalfLife = 2 * time.Second
)

// queueState is what the bulkhead knows of a queue.
type queueState struct {
	// service is empty until a job has been submitted.
	service string
	// confinedUntil is when its confinement ends; zero if it is not confined.
	confinedUntil time.Time
	// misses counts the crashes in a row without any of its tasks.
	misses int
	// demand is the decaying work submitted, in core-milliseconds, as of demandAt.
	demand   float64
	demandAt time.Time
}

// stormCrash is a recent crash and the queues that had tasks there.
type stormCrash struct {
	worker messenger.Incarnation
	agent  string
	at     time.Time
	queues map[string]bool
}

// bulkhead decides which queues are confined to which agents.
type bulkhead struct {
	queues map[string]*queueState
	// recent lists the crashes of the last stormWindow, the oldest first.
	recent []stormCrash
	// shards has the queue that an agent is set aside for, by agent.
	shards map[string]string
}

func newBulkhead() bulkhead {
	return bulkhead{queues: make(map[string]*queueState), shards: make(map[string]string)}
}

// queue returns the state of a queue.
func (b *bulkhead) queue(name string) *queueState {
	q := b.queues[name]
	if q == nil {
		q = &queueState{}
		b.queues[name] = q
	}
	return q
}

// addDemand adds work that was submitted to a queue, in core-milliseconds.
func (b *bulkhead) addDemand(name, service string, work float64, now time.Time) {
	q := b.queue(name)
	q.service = service
	q.demand = q.demandNow(now) + work
	q.demandAt = now
}

// demandNow returns the demand decayed to now.
func (q *queueState) demandNow(now time.Time) float64 {
	return q.demand * decayFactor(now.Sub(q.demandAt), demandHalfLife)
}

// confined reports whether a queue is confined.
func (b *bulkhead) confined(name string) bool {
	q := b.queues[name]
	return q != nil && !q.confinedUntil.IsZero()
}

// allows reports whether tasks of a queue may be placed at an agent.
func (b *bulkhead) allows(queue, agent string) bool {
	if b.confined(queue) {
		return b.shards[agent] == queue
	}
	return b.shards[agent] == ""
}

// addCrash processes a crash. It reports whether a queue has been confined or released.
func (b *bulkhead) addCrash(c stormCrash) bool {
	b.recent = slices.DeleteFunc(b.recent, func(o stormCrash) bool { return o.worker == c.worker || c.at.Sub(o.at) > stormWindow })
	b.recent = append(b.recent, c)
	changed := false
	for name := range c.queues {
		b.queue(name) // Its jobs may come to this entry later.
	}
	for _, name := range slices.Sorted(maps.Keys(b.queues)) {
		q := b.queues[name]
		switch {
		case c.queues[name]:
			q.misses = 0
			switch {
			case !b.confined(name) && b.moments() >= stormMoments && b.presence(name) >= suspectShare:
				q.confinedUntil = c.at.Add(trialTime)
				changed = true
			case b.confined(name) && b.shards[c.agent] == name:
				q.confinedUntil = c.at.Add(confinementTime)
			}
		case b.confined(name):
			if q.misses++; q.misses >= clearingCrashes {
				q.confinedUntil = time.Time{}
				changed = true
			}
		}
	}
	return changed
}

// moments counts the moments of the recent crashes.
func (b *bulkhead) moments() int {
	n := 0
	var last time.Time
	for _, c := range b.recent {
		if n == 0 || c.at.Sub(last) > momentWidth {
			n++
			last = c.at
		}
	}
	return n
}

// presence returns the share of the recent crashes at which a queue had tasks.
func (b *bulkhead) presence(name string) float64 {
	n := 0
	for _, c := range b.recent {
		if c.queues[name] {
			n++
		}
	}
	return float64(n) / float64(max(len(b.recent), 1))
}

// release ends the confinements that are over, and reports whether there were any.
func (b *bulkhead) release(now time.Time) bool {
	changed := false
	for _, q := range b.queues {
		if !q.confinedUntil.IsZero() && !now.Before(q.confinedUntil) {
			q.confinedUntil = time.Time{}
			changed = true
		}
	}
	return changed
}

// assign sets agents aside for the confined queues, in proportion to the demand of all
// queues of their service. Agents are ordered by hash, so that all entries choose nearly
// the same.
func (b *bulkhead) assign(agents []*agent, queues []string, now time.Time) {
	var total float64
	var confined []string
	for _, name := range queues {
		total += b.queue(name).demandNow(now)
		if b.confined(name) {
			confined = append(confined, name)
		}
	}
	slices.SortFunc(agents, func(x, y *agent) int { return cmp.Compare(x.hash, y.hash) })
	next, share := 0, 0.0
	for i, name := range confined {
		share += b.queue(name).demandNow(now) / max(total, 1)
		end := int(math.Round(share * float64(len(agents))))
		if len(confined) == len(queues) && i == len(confined)-1 {
			end = len(agents) // There is no other queue to leave workers for.
		}
		for end = min(max(end, next+1), len(agents)); next < end; next++ {
			b.shards[agents[next].name] = name
		}
	}
}

// assignShards sets agents aside for the confined queues of each service.
func (s *Scheduler) assignShards(now time.Time) {
	clear(s.bulkhead.shards)
	queuesOf := make(map[string][]string)
	for name, q := range s.bulkhead.queues {
		queuesOf[q.service] = append(queuesOf[q.service], name)
	}
	for service, queues := range queuesOf {
		if !slices.ContainsFunc(queues, s.bulkhead.confined) {
			continue
		}
		slices.Sort(queues)
		var agents []*agent
		for _, a := range s.agentsByName {
			if a.upstream.Service == service {
				agents = append(agents, a)
			}
		}
		s.bulkhead.assign(agents, queues, now)
	}
}

// noteCrash updates the bulkhead with the crash of a worker, unless it is known already: on
// new links, and by agents that only pass it on, a crash is reported again.
func (s *Scheduler) noteCrash(a *agent, c messenger.Crash, at time.Time) {
	if s.crashes.knows(c.Worker) {
		return
	}
	queues := make(map[string]bool)
	for _, t := range c.Tasks {
		queues[t.Queue] = true
	}
	if s.bulkhead.addCrash(stormCrash{worker: c.Worker, agent: a.name, at: at, queues: queues}) {
		s.bulkheadChanged()
	}
}

// bulkheadChanged divides the workers anew after a queue has been confined or released.
func (s *Scheduler) bulkheadChanged() {
	s.assignShards(s.clock.Now())
	var names []string
	for name := range s.bulkhead.queues {
		if s.bulkhead.confined(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	s.emit(Note{What: "confined queues changed", Why: fmt.Sprintf("%v, agents set aside: %d of %d", names, len(s.bulkhead.shards), len(s.agentsByName))})
}
