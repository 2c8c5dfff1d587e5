package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// reportAge is the greatest age of a report on which tasks are placed.
	reportAge = 250 * time.Millisecond
	// LossAfter is how long after its last report an agent's runs are over for
	// certain: the agent drops them when the entry has echoed nothing newer for
	// a while, and the worker's lease runs out if it cannot.
	LossAfter = 1290 * time.Millisecond
)

// agent is what the entry knows of one agent and its worker.
type agent struct {
	name string
	// hash is that of the name.
	hash uint64
	// open is whether a link is open and a complete list has come on it.
	open        bool
	incarnation int64
	report      messenger.Report
	// upstream is the worker as last reported.
	upstream   messenger.Upstream
	reportedAt time.Time
	// heard is the number of the last outcome told on the link.
	heard uint64
	// held are the jobs that other entries hold, as the agent told at heldAt.
	held   map[string]holding
	heldAt time.Time
	// heldBy is the incarnation that held is of. heldBefore has what earlier ones
	// told, and until when it counts.
	heldBy     int64
	heldBefore map[string]time.Time
	// openedAt is when the link was opened; the entry's stamps count from there.
	openedAt time.Time
	// echoed is when the entry's last heartbeat was sent that the agent had heard
	// when it last reported on the link.
	echoed time.Time
	// links counts the links that have been opened.
	links int
	// placements counts the Place messages on the link.
	placements uint64
	// pending are placements that the last report does not cover.
	pending []pending
	// tasks are those placed here.
	tasks map[messenger.Run]*task
	// withdrawn are runs of jobs that are over, until it is known that they
	// have ended.
	withdrawn map[messenger.Run]*task
	health    health
	// reservation is the one that the agent was last asked for; nil for none.
	reservation *reservation
	// reserves counts the Reserve messages on the link that ask for room, and
	// reserveNext is the earliest time of the next one.
	reserves    uint64
	reserveNext time.Time
	speed       speed
}

// pending is what a Place holds that the agent has not reported on.
type pending struct {
	number uint64
	demand messenger.Resources
}

// Idle reports whether no run of the entry's depends on the link to an agent.
func (s *Scheduler) Idle(name string) bool {
	a := s.agents[name]
	return a == nil || a.idle()
}

func (a *agent) idle() bool { return len(a.tasks) == 0 && len(a.withdrawn) == 0 }

// free returns the room that can be counted on.
func (a *agent) free() messenger.Resources {
	d := a.report.Free
	for _, p := range a.pending {
		d = d.Minus(p.demand)
	}
	return d
}

// covered drops the placements that the report takes into account.
func (a *agent) covered() {
	a.pending = slices.DeleteFunc(a.pending, func(p pending) bool { return p.number <= a.report.AckedPlace })
}

// serves reports whether tasks of a queue may be placed here at all.
func (a *agent) serves(q Queue, c Configuration, now, woke time.Time) bool {
	up := a.upstream
	return a.open &&
		!a.echoed.Before(woke) &&
		now.Sub(a.reportedAt) <= reportAge &&
		up.Born != 0 &&
		up.Service == q.Service &&
		!up.Draining &&
		!a.report.Leaving &&
		!c.Evacuated[up.DataCentre] &&
		!c.Evacuated[a.report.DataCentre]
}

// sound reports whether the worker is trusted with tasks now.
func (a *agent) sound(now time.Time) bool {
	return a.report.UnansweredCalls == 0 && a.health.usable(now)
}

// suits reports whether a step may run on the worker.
func (a *agent) suits(s Step) bool {
	return s.Label == "" || slices.Contains(a.upstream.Labels, s.Label)
}

// near reports whether the worker stands where the step's data is.
func (a *agent) near(s Step) bool {
	return s.Rack == "" || slices.Contains(a.upstream.Labels, s.Rack)
}

// of counts the tasks of a job's step that are placed here.
func (a *agent) of(j *job, step int) int {
	n := 0
	for _, t := range a.tasks {
		if t.job == j && t.step == step {
			n++
		}
	}
	return n
}
