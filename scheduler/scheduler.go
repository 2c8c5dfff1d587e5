// Package scheduler makes an entry's decisions on jobs: which jobs are admitted, in
// which order tasks are placed on which workers, what is refused, and what is run again
// elsewhere. It does no input or output and reads the time from a clock interface. It
// returns effects, which the entry process applies. The package decides for package
// acceptor, the entry process of the deployment on the platform's machines.
//
// A job runs at one entry at a time: the one that has it locked at a quorum of witnesses,
// which are agents.
package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// recordTTL is how long the outcome of a finished job is kept for callers that send
	// the job again.
	recordTTL = 15 * time.Second
	// maxRecords bounds the number of outcomes that are kept.
	maxRecords = 20_000
)

// Scheduler owns the jobs of one entry.
type Scheduler struct {
	clock      clockwork.Clock
	dataCentre string
	config     Configuration
	agents     map[string]*agent
	// agentsByName lists the agents sorted by name.
	agentsByName []*agent
	jobs         map[string]*job
	// tickets has the job that the caller of each ticket waits for.
	tickets map[uint64]*job
	// queue lists the jobs that have ready tasks, in the order in which a scheduling
	// pass places them.
	queue   []*job
	records map[string]record
	// withdrawnRuns counts, by job ID, the runs of finished jobs that are not known to
	// have ended.
	withdrawnRuns map[string]int
	// locks holds the locks of unfinished jobs, and of finished ones whose runs may not
	// have ended, by job ID.
	locks         map[string]*jobLock
	witnesses     witnessSet
	quorumContact quorumContact
	// nameHash is the hash of the entry's name.
	nameHash uint64
	crashes  crashLog
	bulkhead bulkhead
	// refusals counts recent refusals by queue name.
	refusals map[string]*refusalStats
	// startRates and retrySchedules are also kept by queue name.
	startRates     map[string]*startRate
	retrySchedules map[string]*retrySchedule
	windows        map[windowKey]*waitingWindow
	// speedProfiles describes the spread of the workers' speeds by service, as compared
	// at speedsComparedAt.
	speedProfiles    map[string]speedProfile
	speedsComparedAt time.Time
	// recordOrder lists the job IDs of the records, oldest first.
	recordOrder   []string
	lastJobNumber uint64
	effects       []Effect
	// enqueueCount counts the calls of enqueue that made tasks available for placement.
	enqueueCount uint64
	// backlog is what waited for capacity when it was last computed, less what has been
	// placed since.
	backlog messenger.Backlog
	// backlogAnnounced means that heartbeats were sent before they were due, to
	// announce to the agents that jobs wait. earlyHeartbeatAt is when that was last
	// done.
	backlogAnnounced bool
	earlyHeartbeatAt time.Time
	// passBacklog is what the last scheduling pass left waiting. capacityScarce means
	// that the last pass over all agents found no capacity for tasks that could run on
	// any worker.
	passBacklog    passBacklog
	capacityScarce bool
	// rackJobSeen means that a job has arrived whose data is on a rack.
	rackJobSeen bool
	// throughput is the work done recently. refusedForCapacity means that a job was
	// refused for lack of capacity since the last call of CapacityNeed.
	throughput         throughput
	refusedForCapacity bool
	// maxCapacity has, by service, the maximum of each resource over the workers.
	maxCapacity map[string]messenger.Resources
	// maxBacklogDemand is the maximum of each resource over the demands of the waiting
	// tasks.
	maxBacklogDemand messenger.Resources
	// reservations lists those requested from agents.
	reservations []*reservation
	// resumedAt is when the last pause of this process ended; zero if there was none.
	resumedAt time.Time
	// warmUpEnd is when the entry is assumed to know the free capacity; zero before the
	// first configuration.
	warmUpEnd time.Time
}

// record is the outcome of a finished job.
type record struct {
	answer        Answer
	endedAt       time.Time
	lastRunNumber int
	// mayHaveStarted means that a run of one of the job's tasks may have started.
	mayHaveStarted bool
}

// NewScheduler returns the scheduler of an entry, without a configuration. Without queues
// no jobs can be submitted to it.
func NewScheduler(clock clockwork.Clock, name, dataCentre string) *Scheduler {
	return &Scheduler{
		clock:          clock,
		nameHash:       hashName(name),
		dataCentre:     dataCentre,
		agents:         make(map[string]*agent),
		jobs:           make(map[string]*job),
		tickets:        make(map[uint64]*job),
		records:        make(map[string]record),
		withdrawnRuns:  make(map[string]int),
		locks:          make(map[string]*jobLock),
		crashes:        newCrashLog(),
		bulkhead:       newBulkhead(),
		refusals:       make(map[string]*refusalStats),
		startRates:     make(map[string]*startRate),
		retrySchedules: make(map[string]*retrySchedule),
		windows:        make(map[windowKey]*waitingWindow),
		maxCapacity:    make(map[string]messenger.Resources),
	}
}

// TakeEffects returns the effects accumulated since the last call.
func (s *Scheduler) TakeEffects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// Configure applies a configuration. The first one starts the warm-up.
func (s *Scheduler) Configure(c Configuration) {
	s.config = c
	if s.warmUpEnd.IsZero() {
		s.warmUpEnd = s.clock.Now().Add(warmUpTime)
	}
	s.schedulingPass()
}

// Submit admits or refuses a job. Each ticket gets exactly one Reply, unless its caller
// leaves first. An invalid job is refused before anything is computed from it. A job that is already running gets one more ticket; a job with a
// recorded outcome is answered with it.
func (s *Scheduler) Submit(ticket uint64, in Job) {
	if err := in.Validate(); err != nil {
		s.emit(Reply{Ticket: ticket, Answer: Answer{Outcome: Impossible, Why: err.Error()}})
		return
	}
	now := s.clock.Now()
	if j := s.jobs[in.ID]; j != nil {
		// The caller has sent the job again while it is running.
		j.tickets = append(j.tickets, ticket)
		s.tickets[ticket] = j
		return
	}
	r, recorded := s.records[in.ID]
	if recorded && (r.answer.Outcome == Complete || r.answer.Outcome == JobFailed) {
		s.emit(Reply{Ticket: ticket, Answer: r.answer})
		return
	}
	s.lastJobNumber++
	j, err := tryNewJob(in, s.lastJobNumber, now, r)
	if err != nil {
		s.emit(Reply{Ticket: ticket, Answer: Answer{Outcome: Impossible, Why: err.Error()}})
		return
	}
	if s.answerIfCondemned(ticket, j) {
		return
	}
	s.bulkhead.addDemand(in.Queue.Name, in.Queue.Service, j.queuedWork(), now)
	stats := s.refusalsOf(in.Queue)
	stats.decay(now)
	stats.submitted++
	if a, ok := s.admit(j, now); !ok {
		stats.refused++
		s.emit(Reply{Ticket: ticket, Answer: j.unsettledIfStarted(a)})
		return
	}
	j.tickets = []uint64{ticket}
	s.tickets[ticket] = j
	s.jobs[j.ID] = j
	s.rackJobSeen = s.rackJobSeen || j.hasRackData()
	if n := s.withdrawnRuns[j.ID]; n > 0 {
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job waits", Why: fmt.Sprintf("%d runs of its previous attempt may still be running", n)})
	}
	s.lockJob(j, now)
}

// Resumed records the end of a pause, in which the entry has processed nothing.
// Messages read now may have been sent before the pause, so an agent is used again only
// once it has echoed a newer heartbeat.
func (s *Scheduler) Resumed() {
	s.resumedAt = s.clock.Now()
	s.emit(Note{What: "entry was paused"})
}

// CallerLeft records that the caller of a ticket has disconnected. A job without
// callers is cancelled.
func (s *Scheduler) CallerLeft(ticket uint64) {
	j := s.tickets[ticket]
	if j == nil {
		return
	}
	delete(s.tickets, ticket)
	j.tickets = slices.DeleteFunc(j.tickets, func(t uint64) bool { return t == ticket })
	if len(j.tickets) == 0 {
		s.endJob(j, Answer{Outcome: Cancelled, Why: "caller left"})
		s.schedulingPass()
	}
}

// Cancel cancels a job on behalf of its caller and reports whether the job was running
// here.
func (s *Scheduler) Cancel(id string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.endJob(j, Answer{Outcome: Cancelled, Why: "cancelled"})
	s.schedulingPass()
	return true
}

// State returns the outcome of a job: Running while it is unfinished, Unknown if there
// is no record of it.
func (s *Scheduler) State(id string) Answer {
	if s.jobs[id] != nil {
		return Answer{Outcome: Running}
	}
	if r, ok := s.records[id]; ok {
		return r.answer
	}
	return Answer{Outcome: Unknown}
}

// Waiting counts the unstarted jobs of a queue.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.queue {
		if j.Queue.Name == queue && j.unstarted() {
			n++
		}
	}
	return n
}

// Tick applies the timeouts: it requeues the runs of lost agents, ends the jobs that
// can no longer be completed here, requests locks, moves slow runs, compares the speeds
// of the workers and expires records. It then runs a scheduling pass.
func (s *Scheduler) Tick() {
	now := s.clock.Now()
	for _, a := range s.agentsByName {
		if !a.synced && !a.idle() && now.Sub(a.reportedAt) > AgentLossTimeout {
			s.requeueLost(a)
		}
	}
	s.updateWitnesses(now)
	s.updateQuorumContact(now)
	s.advanceLocks(now)
	for _, j := range s.jobsByArrival() {
		switch {
		case !now.Before(j.Deadline):
			s.giveUp(j, "deadline passed")
		case s.giveUpIfSentAgain(j, now):
		case !s.lockAcquired(j) && s.tooLate(j, now):
			s.giveUp(j, "no lock in time: "+s.missingQuorum(j.ID))
		case s.lockLost(j, now) && now.Sub(s.resumedAt) >= pauseCatchUpTime:
			s.giveUp(j, "its lock is lost: "+s.missingQuorum(j.ID))
		}
	}
	s.moveSlowRuns(now)
	s.compareSpeeds(now)
	s.expireRecords(now)
	s.crashes.expire(now)
	if s.bulkhead.release(now) {
		s.bulkheadChanged()
	}
	s.schedulingPass()
}

// giveUp ends a job that cannot be completed here: as Unsettled if one of its tasks may
// have started, as Overloaded if not.
func (s *Scheduler) giveUp(j *job, why string) {
	if j.mayHaveStarted || j.hasTask(placed) {
		s.endJob(j, Answer{Outcome: Unsettled, RetryAfter: AgentLossTimeout, Why: why})
		return
	}
	s.refusalsOf(j.Queue).refused++
	s.refusedForCapacity = true
	f := s.forecastWait(j, s.clock.Now())
	s.endJob(j, Answer{Outcome: Overloaded, RetryAfter: s.retryAfter(j), Why: why + "; " + f.String(), Refusal: f.refusal(AfterWaiting)})
}

// endJob answers all callers of a job, withdraws its placed runs and keeps a record.
func (s *Scheduler) endJob(j *job, a Answer) {
	now := s.clock.Now()
	for _, t := range j.tickets {
		delete(s.tickets, t)
		s.emit(Reply{Ticket: t, Answer: a})
	}
	j.tickets = nil
	delete(s.jobs, j.ID)
	placedTasks := j.tasksIn(placed)
	s.withdraw(placedTasks)
	s.trackWithdrawn(placedTasks)
	for _, t := range j.tasks {
		if t.agent != nil {
			t.unplace()
		}
		t.state = finished
	}
	s.keepRecord(j.ID, record{answer: a, endedAt: now, lastRunNumber: j.lastRunNumber(), mayHaveStarted: j.mayHaveStarted || len(placedTasks) > 0})
	if s.withdrawnRuns[j.ID] == 0 {
		s.unlock(j.ID)
	}
}

// keepRecord keeps the outcome of a job.
func (s *Scheduler) keepRecord(id string, r record) {
	s.records[id] = r
	s.recordOrder = append(s.recordOrder, id)
}

// withdraw asks the agents to withdraw the current runs of tasks, with one message to
// each synced agent.
func (s *Scheduler) withdraw(tasks []*task) {
	byAgent := make(map[*agent][]messenger.Run)
	var agents []*agent
	for _, t := range tasks {
		if byAgent[t.agent] == nil {
			agents = append(agents, t.agent)
		}
		byAgent[t.agent] = append(byAgent[t.agent], t.current())
	}
	for _, a := range agents {
		s.emit(Note{Job: jobIDOf(byAgent[a][0].Task), Run: byAgent[a][0], Agent: a.name, What: "runs withdrawn", Why: fmt.Sprintf("%d runs, agent synced: %t", len(byAgent[a]), a.synced)})
		if a.synced {
			s.emit(Send{Agent: a.name, Message: messenger.Withdraw{Runs: byAgent[a]}})
		}
	}
}

// expireRecords deletes the records that are older than recordTTL, and the oldest ones
// beyond maxRecords.
func (s *Scheduler) expireRecords(now time.Time) {
	for len(s.recordOrder) > 0 {
		id := s.recordOrder[0]
		r, ok := s.records[id]
		if ok && now.Sub(r.endedAt) < recordTTL && len(s.recordOrder) <= maxRecords {
			return
		}
		delete(s.records, id)
		s.recordOrder = s.recordOrder[1:]
	}
}

// jobsByArrival returns the unfinished jobs in order of arrival.
func (s *Scheduler) jobsByArrival() []*job {
	out := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return int(a.number) - int(b.number) })
	return out
}

// findOrAddAgent returns the agent with a name and adds it if it is not known yet.
func (s *Scheduler) findOrAddAgent(name string) *agent {
	a := s.agents[name]
	if a == nil {
		a = &agent{name: name, hash: xxhash.Sum64String(name), tasks: make(map[messenger.Run]*task), withdrawn: make(map[messenger.Run]*task), speed: defaultSpeed}
		s.agents[name] = a
		at, _ := slices.BinarySearchFunc(s.agentsByName, name, func(a *agent, name string) int {
			return strings.Compare(a.name, name)
		})
		s.agentsByName = slices.Insert(s.agentsByName, at, a)
	}
	return a
}
