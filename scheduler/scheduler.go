// Package scheduler holds an entry's decisions on jobs: what is taken on, in
// which order tasks go to which worker, what is refused, and what is run again
// elsewhere. It does no input or output and reads time from a clock interface.
// It returns effects; the entry process carries them out.
//
// The entry that takes a job on owns it. A caller whose connection broke sends
// the job again only after a time within which every run of a lost owner has
// ended, and within which the other entries have heard of an owner that lives.
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
	// recordTTL is how long the outcome of a job is kept for callers that send
	// it again.
	recordTTL = 15 * time.Second
	// maxRecords bounds the outcomes that are kept.
	maxRecords = 20_000
)

// Scheduler owns the jobs of one entry.
type Scheduler struct {
	clock      clockwork.Clock
	dataCentre string
	config     Configuration
	agents     map[string]*agent
	// agentsByName lists the agents in the order of their names.
	agentsByName []*agent
	jobs         map[string]*job
	tickets      map[uint64]*job
	// queue lists the jobs with tasks that wait, in the order of pass.
	queue   []*job
	records map[string]record
	// withdrawnRuns counts, for jobs that are over, the runs that may still go on.
	withdrawnRuns map[string]int
	// yielding are the jobs that wait since another entry holds them.
	yielding map[string]*job
	// refusals counts refusals by the name of the queue.
	refusals map[string]*refusalStats
	// startRates and comebacks are kept by the name of the queue as well.
	startRates     map[string]*startRate
	retrySchedules map[string]*retrySchedule
	// speedProfiles are the workers by service, as compared at speedsComparedAt.
	speedProfiles    map[string]speedProfile
	speedsComparedAt time.Time
	// recordOrder lists the records in the order of their making.
	recordOrder   []string
	lastJobNumber uint64
	effects       []Effect
	// enqueueCount counts the times that a job was put into the queue.
	enqueueCount uint64
	// backlog is what waited for room when it was last counted, less what has been
	// placed since.
	backlog messenger.Backlog
	// backlogAnnounced is whether the agents have been told that jobs wait, and earlyHeartbeatAt when
	// they were last told so before a heartbeat was due.
	backlogAnnounced bool
	earlyHeartbeatAt time.Time
	// passBacklog is what the last pass has found to wait, and scarce whether tasks
	// that would run anywhere had found no room when all agents were last looked at.
	passBacklog    passBacklog
	capacityScarce bool
	// rackJobSeen means that a job has come whose data is on a rack.
	rackJobSeen bool
	// throughput is the work done lately; short is for Need.
	throughput         throughput
	refusedForCapacity bool
	// maxCapacity has the most of each resource that a worker of a service has.
	maxCapacity map[string]messenger.Resources
	// maxBacklogDemand has the most of each resource that a waiting task takes.
	maxBacklogDemand messenger.Resources
	// reservations are those that agents have been asked for.
	reservations []*reservation
	// echoedHeartbeatAt is when the last heartbeat was sent that an agent has echoed.
	echoedHeartbeatAt time.Time
	// resumedAt is when the entry last went on after a pause; zero before one.
	resumedAt time.Time
	// warmUpEnd is when the entry can be taken to know the room; zero before the
	// first configuration.
	warmUpEnd time.Time
}

// record is the outcome of a job that is over.
type record struct {
	answer        Answer
	endedAt       time.Time
	lastRunNumber int
	// mayHaveStarted means that a task may have started.
	mayHaveStarted bool
	// announced means that other entries have been told of the job.
	announced bool
}

// NewScheduler returns a scheduler without configuration, which takes no jobs.
func NewScheduler(clock clockwork.Clock, dataCentre string) *Scheduler {
	return &Scheduler{
		clock:          clock,
		dataCentre:     dataCentre,
		agents:         make(map[string]*agent),
		jobs:           make(map[string]*job),
		tickets:        make(map[uint64]*job),
		records:        make(map[string]record),
		withdrawnRuns:  make(map[string]int),
		yielding:       make(map[string]*job),
		refusals:       make(map[string]*refusalStats),
		startRates:     make(map[string]*startRate),
		retrySchedules: make(map[string]*retrySchedule),
		maxCapacity:    make(map[string]messenger.Resources),
	}
}

// TakeEffects returns the effects since the last call.
func (s *Scheduler) TakeEffects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// Configure puts a configuration into force.
func (s *Scheduler) Configure(c Configuration) {
	s.config = c
	if s.warmUpEnd.IsZero() {
		s.warmUpEnd = s.clock.Now().Add(warmUpTime)
	}
	s.schedulingPass()
}

// Submit takes a job of the request with a ticket. The ticket gets one Reply.
func (s *Scheduler) Submit(ticket uint64, in Job) {
	now := s.clock.Now()
	if j := s.jobs[in.ID]; j != nil {
		// The caller sent the job again while it runs.
		j.tickets = append(j.tickets, ticket)
		s.tickets[ticket] = j
		return
	}
	r, known := s.records[in.ID]
	if known && (r.answer.Outcome == Complete || r.answer.Outcome == JobFailed) {
		s.emit(Reply{Ticket: ticket, Answer: r.answer})
		return
	}
	s.lastJobNumber++
	j := newJob(in, s.lastJobNumber, now, r)
	h := s.refusalsOf(in.Queue)
	h.decay(now)
	h.submitted++
	if a, ok := s.admit(j, now); !ok {
		h.refused++
		s.emit(Reply{Ticket: ticket, Answer: j.unsettledIfStarted(a)})
		return
	}
	j.tickets = []uint64{ticket}
	s.tickets[ticket] = j
	s.jobs[j.ID] = j
	s.rackJobSeen = s.rackJobSeen || j.hasRackData()
	if n := s.withdrawnRuns[j.ID]; n > 0 {
		j.hold.sentAt = now.Add(-max(announceAfter, now.Sub(j.hold.sentAt)))
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job waits", Why: fmt.Sprintf("%d runs of its last try may go on", n)})
	}
	s.enqueue(j)
	s.schedulingPass()
}

// CallerLeft notes that the caller of a ticket has gone. A job that nobody waits
// for is given up.
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

// Cancel gives a job up at its caller's wish and reports whether it was known.
func (s *Scheduler) Cancel(id string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.endJob(j, Answer{Outcome: Cancelled, Why: "cancelled"})
	s.schedulingPass()
	return true
}

// State returns what is known of a job.
func (s *Scheduler) State(id string) Answer {
	if s.jobs[id] != nil {
		return Answer{Outcome: Running}
	}
	if r, ok := s.records[id]; ok {
		return r.answer
	}
	return Answer{Outcome: Unknown}
}

// Waiting counts the jobs of a queue of which no task has been placed.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.queue {
		if j.Queue.Name == queue && j.unstarted() {
			n++
		}
	}
	return n
}

// Tick looks at what has come due.
func (s *Scheduler) Tick() {
	now := s.clock.Now()
	for _, a := range s.agentsByName {
		if !a.synced && !a.idle() && now.Sub(a.reportedAt) > AgentLossTimeout {
			s.requeueLost(a)
		}
	}
	for _, j := range s.jobsByArrival() {
		switch {
		case !now.Before(j.Deadline):
			s.giveUp(j, "deadline passed")
		case s.giveUpIfHeld(j, now):
		case !s.ownsExclusively(j, now) && now.Sub(s.resumedAt) >= pauseCatchUpTime:
			s.giveUp(j, "other entries may not know of it")
		}
	}
	s.releaseYielding()
	s.moveSlowRuns(now)
	s.compareSpeeds(now)
	s.expireRecords(now)
	s.schedulingPass()
}

// abortJob ends a job that cannot be completed.
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

// endJob answers all callers of a job, withdraws what is placed and keeps a
// record.
func (s *Scheduler) endJob(j *job, a Answer) {
	now := s.clock.Now()
	for _, t := range j.tickets {
		delete(s.tickets, t)
		s.emit(Reply{Ticket: t, Answer: a})
	}
	j.tickets = nil
	delete(s.jobs, j.ID)
	if s.yielding[j.ID] == j {
		delete(s.yielding, j.ID)
	}
	left := j.tasksIn(placed)
	s.withdraw(left)
	s.trackWithdrawn(left)
	for _, t := range j.tasks {
		if t.agent != nil {
			t.unplace()
		}
		t.state = finished
	}
	s.records[j.ID] = record{answer: a, endedAt: now, lastRunNumber: j.lastRunNumber(), mayHaveStarted: j.mayHaveStarted || len(left) > 0, announced: !j.hold.announcedAt.IsZero()}
	s.recordOrder = append(s.recordOrder, j.ID)
}

// withdraw asks the agents to drop runs.
func (s *Scheduler) withdraw(tasks []*task) {
	byAgent := make(map[*agent][]messenger.Run)
	var order []*agent
	for _, t := range tasks {
		if byAgent[t.agent] == nil {
			order = append(order, t.agent)
		}
		byAgent[t.agent] = append(byAgent[t.agent], t.current())
	}
	for _, a := range order {
		s.emit(Note{Job: jobIDOf(byAgent[a][0].Task), Run: byAgent[a][0], Agent: a.name, What: "runs withdrawn", Why: fmt.Sprintf("%d runs, agent in touch: %t", len(byAgent[a]), a.synced)})
		if a.synced {
			s.emit(Send{Agent: a.name, Message: messenger.Withdraw{Runs: byAgent[a]}})
		}
	}
}

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

// jobsByArrival returns the unfinished jobs in the order of their arrival.
func (s *Scheduler) jobsByArrival() []*job {
	out := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return int(a.number) - int(b.number) })
	return out
}

// findOrAddAgent returns the agent with a name, a new one if need be.
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
