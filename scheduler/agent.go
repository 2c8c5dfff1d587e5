package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// maxReportAge is the maximum age of an agent's last report with which tasks are
	// still placed there.
	maxReportAge = 250 * time.Millisecond
	// AgentLossTimeout is how long after an agent's last report its runs for this entry
	// have certainly ended: the agent stops them when the entry has echoed nothing
	// newer for a while, and the worker's lease expires if the agent cannot.
	AgentLossTimeout = 1290 * time.Millisecond
)

// agent is the state of one agent and its worker as last reported.
type agent struct {
	name string
	// hash is the hash of the name.
	hash uint64
	// synced means that a link is open and a complete list of runs has arrived on it.
	synced      bool
	incarnation int64
	report      messenger.Report
	// upstream is the worker as last reported.
	upstream   messenger.Upstream
	reportedAt time.Time
	// lastOutcome is the number of the last outcome reported on the link.
	lastOutcome uint64
	// linked means that a link is open.
	linked bool
	// holders identifies the entries that may have locks at the agent, as last reported on
	// the link; zero before the first report.
	holders uint64
	// witnessVersion is the version of the newest list of witnesses that the agent is
	// known to know.
	witnessVersion uint64
	// contactAt is when the newest message was sent on the link that is known to have
	// arrived.
	contactAt time.Time
	// lockEpoch rises when locks that the agent has granted count no longer.
	lockEpoch int
	// lockNumber is the number of the last LockJobs on the link, and unlocked what the
	// next one, or the next heartbeat, is to unlock.
	lockNumber uint64
	unlocked   []messenger.UnlockedJob
	// asked means that the agent was asked for locks, so that it may keep some.
	asked bool
	// linkOpenedAt is when the link was opened; the entry's timestamps on it are
	// relative to that.
	linkOpenedAt time.Time
	// echoedHeartbeatAt is when the newest heartbeat was sent that the agent has echoed
	// on the link.
	echoedHeartbeatAt time.Time
	// linkNumber counts the links that have been opened to the agent.
	linkNumber int
	// placeNumber is the number of the last Place on the link.
	placeNumber uint64
	// pending lists the placements that the last report does not cover.
	pending []pendingPlacement
	// tasks are those placed here, by run.
	tasks map[messenger.Run]*task
	// withdrawn are the runs of finished jobs that are not known to have ended.
	withdrawn map[messenger.Run]*task
	// unexplained has, by worker, the runs that ended without an outcome.
	unexplained map[messenger.Incarnation][]unexplainedRun
	// leaving is the last worker that was draining.
	leaving messenger.Incarnation
	health  health
	// reservation is the last one requested from the agent; nil for none.
	reservation *reservation
	// reserveNumber is the number of the last Reserve on the link that requests
	// capacity. nextReserveAt is the earliest time of the next one.
	reserveNumber uint64
	nextReserveAt time.Time
	speed         speed
}

// pendingPlacement is the demand of a Place that the agent has not reported on.
type pendingPlacement struct {
	number uint64
	demand messenger.Resources
}

// Idle reports whether no run of this entry depends on the link to an agent.
func (s *Scheduler) Idle(name string) bool {
	a := s.agents[name]
	return a == nil || a.idle()
}

// idle reports whether the agent has no placed or withdrawn runs.
func (a *agent) idle() bool { return len(a.tasks) == 0 && len(a.withdrawn) == 0 }

// free returns the reported free capacity less the pending placements.
func (a *agent) free() messenger.Resources {
	free := a.report.Free
	for _, p := range a.pending {
		free = free.Minus(p.demand)
	}
	return free
}

// dropReported drops the pending placements that the last report covers.
func (a *agent) dropReported() {
	a.pending = slices.DeleteFunc(a.pending, func(p pendingPlacement) bool { return p.number <= a.report.AckedPlace })
}

// acceptsQueue reports whether tasks of a queue may be placed at the agent at all: it
// is synced, has reported recently and has echoed a heartbeat sent after the last pause
// of the entry, its worker serves the queue's service, neither of them is shutting
// down, and neither data centre is evacuated.
func (a *agent) acceptsQueue(q Queue, c Configuration, now, resumedAt time.Time) bool {
	worker := a.upstream
	return a.synced &&
		!a.echoedHeartbeatAt.Before(resumedAt) &&
		now.Sub(a.reportedAt) <= maxReportAge &&
		worker.Born != 0 &&
		worker.Service == q.Service &&
		!worker.Draining &&
		!a.report.Leaving &&
		!c.Evacuated[worker.DataCentre] &&
		!c.Evacuated[a.report.DataCentre]
}

// accepts reports whether tasks of a queue may be placed at an agent.
func (s *Scheduler) accepts(a *agent, q Queue, now time.Time) bool {
	return s.bulkhead.allows(q.Name, a.name) && a.acceptsQueue(q, s.config, now, s.resumedAt)
}

// healthy reports whether the worker may get tasks now: it answers its agent's calls,
// and it is either not ejected or due for a probe.
func (a *agent) healthy(now time.Time) bool {
	return a.report.UnansweredCalls == 0 && a.health.usable(now)
}

// matchesLabel reports whether the worker has the label that a step requires.
func (a *agent) matchesLabel(s Step) bool {
	return s.Label == "" || slices.Contains(a.upstream.Labels, s.Label)
}

// near reports whether the worker is on the rack that holds a step's data.
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
