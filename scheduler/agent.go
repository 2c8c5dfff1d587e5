package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// maxReportAge is the greatest age of a report on which tasks are placed.
	maxReportAge = 250 * time.Millisecond
	// AgentLossTimeout is how long after its last report an agent's runs are over for
	// certain: the agent drops them when the entry has echoed nothing newer for
	// a while, and the worker's lease runs out if it cannot.
	AgentLossTimeout = 1290 * time.Millisecond
)

// agent is what the entry knows of one agent and its worker.
type agent struct {
	name string
	// hash is that of the name.
	hash uint64
	// synced is whether a link is open and a complete list has come on it.
	synced      bool
	incarnation int64
	report      messenger.Report
	// upstream is the worker as last reported.
	upstream   messenger.Upstream
	reportedAt time.Time
	// lastOutcome is the number of the last outcome told on the link.
	lastOutcome uint64
	// heldJobs are the jobs that other entries hold, as the agent told at heldJobsAt.
	heldJobs   map[string]holdState
	heldJobsAt time.Time
	// heldJobsIncarnation is the incarnation that held is of. earlierHeldJobs has what earlier ones
	// told, and until when it counts.
	heldJobsIncarnation int64
	earlierHeldJobs     map[string]time.Time
	// linkOpenedAt is when the link was opened; the entry's stamps count from there.
	linkOpenedAt time.Time
	// echoedHeartbeatAt is when the entry's last heartbeat was sent that the agent had heard
	// when it last reported on the link.
	echoedHeartbeatAt time.Time
	// linkNumber counts the links that have been opened.
	linkNumber int
	// placeNumber counts the Place messages on the link.
	placeNumber uint64
	// pending are placements that the last report does not cover.
	pending []pendingPlacement
	// tasks are those placed here.
	tasks map[messenger.Run]*task
	// withdrawn are runs of jobs that are over, until it is known that they
	// have ended.
	withdrawn map[messenger.Run]*task
	health    health
	// reservation is the one that the agent was last asked for; nil for none.
	reservation *reservation
	// reserveNumber counts the Reserve messages on the link that ask for room, and
	// nextReserveAt is the earliest time of the next one.
	reserveNumber uint64
	nextReserveAt time.Time
	speed         speed
}

// pendingPlacement is what a Place holds that the agent has not reported on.
type pendingPlacement struct {
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

// dropReported drops the placements that the report takes into account.
func (a *agent) dropReported() {
	a.pending = slices.DeleteFunc(a.pending, func(p pendingPlacement) bool { return p.number <= a.report.AckedPlace })
}

// acceptsQueue reports whether tasks of a queue may be placed here at all.
func (a *agent) acceptsQueue(q Queue, c Configuration, now, woke time.Time) bool {
	up := a.upstream
	return a.synced &&
		!a.echoedHeartbeatAt.Before(woke) &&
		now.Sub(a.reportedAt) <= maxReportAge &&
		up.Born != 0 &&
		up.Service == q.Service &&
		!up.Draining &&
		!a.report.Leaving &&
		!c.Evacuated[up.DataCentre] &&
		!c.Evacuated[a.report.DataCentre]
}

// healthy reports whether the worker is trusted with tasks now.
func (a *agent) healthy(now time.Time) bool {
	return a.report.UnansweredCalls == 0 && a.health.usable(now)
}

// matchesLabel reports whether a step may run on the worker.
func (a *agent) matchesLabel(s Step) bool {
	return s.Label == "" || slices.Contains(a.upstream.Labels, s.Label)
}

// near reports whether the worker stands where the step's data is.
func (a *agent) near(s Step) bool {
	return s.Rack == "" || slices.Contains(a.upstream.Labels, s.Rack)
}

// countPlaced counts the tasks of a job's step that are placed here.
func (a *agent) countPlaced(j *job, step int) int {
	n := 0
	for _, t := range a.tasks {
		if t.job == j && t.step == step {
			n++
		}
	}
	return n
}
