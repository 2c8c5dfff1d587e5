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
	// recordAge is how long the outcome of a job is kept for callers that send
	// it again.
	recordAge = 15 * time.Second
	// recordsMost bounds the outcomes that are kept.
	recordsMost = 20_000
)

// Scheduler owns the jobs of one entry.
type Scheduler struct {
	clock      clockwork.Clock
	dataCentre string
	config     Configuration
	agents     map[string]*agent
	// byName lists the agents in the order of their names.
	byName  []*agent
	jobs    map[string]*job
	tickets map[uint64]*job
	// queue lists the jobs with tasks that wait, in the order of pass.
	queue   []*job
	records map[string]record
	// remains counts, for jobs that are over, the runs that may still go on.
	remains map[string]int
	// yielding are the jobs that wait since another entry holds them.
	yielding map[string]*job
	// shares counts refusals by the name of the queue.
	shares map[string]*share
	// drains and comebacks are kept by the name of the queue as well.
	drains    map[string]*drain
	comebacks map[string]*comeback
	// fleets are the workers by service, as compared at comparedAt.
	fleets     map[string]fleet
	comparedAt time.Time
	// forget lists the records in the order of their making.
	forget  []string
	number  uint64
	effects []Effect
	// requeued counts the times that a job was put into the queue.
	requeued uint64
	// want is what waited for room when it was last counted, less what has been
	// placed since.
	want messenger.Backlog
	// asked is whether the agents have been told that jobs wait, and askedAt when
	// they were last told so before a heartbeat was due.
	asked   bool
	askedAt time.Time
	// locality is what the last pass has found to wait, and scarce whether tasks
	// that would run anywhere had found no room when all agents were last looked at.
	locality locality
	scarce   bool
	// racks means that a job has come whose data is on a rack.
	racks bool
	// throughput is the work done lately; short is for Need.
	throughput throughput
	short      bool
	// largest has the most of each resource that a worker of a service has.
	largest map[string]messenger.Resources
	// mostWanted has the most of each resource that a waiting task takes.
	mostWanted messenger.Resources
	// reservations are those that agents have been asked for.
	reservations []*reservation
	// echoed is when the last heartbeat was sent that an agent has echoed.
	echoed time.Time
	// woke is when the entry last went on after a pause; zero before one.
	woke time.Time
	// settled is when the entry can be taken to know the room; zero before the
	// first configuration.
	settled time.Time
}

// record is the outcome of a job that is over.
type record struct {
	answer  Answer
	made    time.Time
	lastRun int
	// begun means that a task may have started.
	begun bool
	// named means that other entries have been told of the job.
	named bool
}

// NewScheduler returns a scheduler without configuration, which takes no jobs.
func NewScheduler(clock clockwork.Clock, dataCentre string) *Scheduler {
	return &Scheduler{
		clock:      clock,
		dataCentre: dataCentre,
		agents:     make(map[string]*agent),
		jobs:       make(map[string]*job),
		tickets:    make(map[uint64]*job),
		records:    make(map[string]record),
		remains:    make(map[string]int),
		yielding:   make(map[string]*job),
		shares:     make(map[string]*share),
		drains:     make(map[string]*drain),
		comebacks:  make(map[string]*comeback),
		largest:    make(map[string]messenger.Resources),
	}
}

// Drain returns the effects since the last call.
func (s *Scheduler) Drain() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// Configure puts a configuration into force.
func (s *Scheduler) Configure(c Configuration) {
	s.config = c
	if s.settled.IsZero() {
		s.settled = s.clock.Now().Add(settleTime)
	}
	s.pass()
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
	s.number++
	j := newJob(in, s.number, now, r)
	h := s.shareOf(in.Queue)
	h.aged(now)
	h.offered++
	if a, ok := s.admit(j, now); !ok {
		h.refused++
		s.emit(Reply{Ticket: ticket, Answer: j.truthful(a)})
		return
	}
	j.tickets = []uint64{ticket}
	s.tickets[ticket] = j
	s.jobs[j.ID] = j
	s.racks = s.racks || j.onRack()
	if n := s.remains[j.ID]; n > 0 {
		j.hold.since = now.Add(-max(holdAfter, now.Sub(j.hold.since)))
		s.emit(Note{Job: j.ID, Queue: j.Queue.Name, What: "job waits", Why: fmt.Sprintf("%d runs of its last try may go on", n)})
	}
	s.enqueue(j)
	s.pass()
}

// Leave notes that the caller of a ticket has gone. A job that nobody waits
// for is given up.
func (s *Scheduler) Leave(ticket uint64) {
	j := s.tickets[ticket]
	if j == nil {
		return
	}
	delete(s.tickets, ticket)
	j.tickets = slices.DeleteFunc(j.tickets, func(t uint64) bool { return t == ticket })
	if len(j.tickets) == 0 {
		s.end(j, Answer{Outcome: Cancelled, Why: "caller left"})
		s.pass()
	}
}

// Cancel gives a job up at its caller's wish and reports whether it was known.
func (s *Scheduler) Cancel(id string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.end(j, Answer{Outcome: Cancelled, Why: "cancelled"})
	s.pass()
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
		if j.Queue.Name == queue && j.fresh() {
			n++
		}
	}
	return n
}

// Tick looks at what has come due.
func (s *Scheduler) Tick() {
	now := s.clock.Now()
	for _, a := range s.byName {
		if !a.open && !a.idle() && now.Sub(a.reportedAt) > LossAfter {
			s.lose(a)
		}
	}
	for _, j := range s.sorted() {
		switch {
		case !now.Before(j.Deadline):
			s.giveUp(j, "deadline passed")
		case s.gaveWay(j, now):
		case !s.mayRun(j, now) && now.Sub(s.woke) >= readUpTime:
			s.giveUp(j, "other entries may not know of it")
		}
	}
	s.resume()
	s.moveSlow(now)
	s.compareSpeeds(now)
	s.forgetOld(now)
	s.pass()
}

// giveUp ends a job that cannot be completed.
func (s *Scheduler) giveUp(j *job, why string) {
	if j.begun || j.has(placed) {
		s.end(j, Answer{Outcome: Unsettled, RetryAfter: LossAfter, Why: why})
		return
	}
	s.shareOf(j.Queue).refused++
	s.short = true
	f := s.forecast(j, s.clock.Now())
	s.end(j, Answer{Outcome: Overloaded, RetryAfter: s.backIn(j), Why: why + "; " + f.String(), Refusal: f.refusal(AfterWaiting)})
}

// end answers all callers of a job, withdraws what is placed and keeps a
// record.
func (s *Scheduler) end(j *job, a Answer) {
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
	left := j.in(placed)
	s.withdraw(left)
	s.leave(left)
	for _, t := range j.tasks {
		if t.agent != nil {
			t.unplace()
		}
		t.state = finished
	}
	s.records[j.ID] = record{answer: a, made: now, lastRun: j.lastRun(), begun: j.begun || len(left) > 0, named: !j.hold.toldAt.IsZero()}
	s.forget = append(s.forget, j.ID)
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
		s.emit(Note{Job: jobOf(byAgent[a][0].Task), Run: byAgent[a][0], Agent: a.name, What: "runs withdrawn", Why: fmt.Sprintf("%d runs, agent in touch: %t", len(byAgent[a]), a.open)})
		if a.open {
			s.emit(Send{Agent: a.name, Message: messenger.Withdraw{Runs: byAgent[a]}})
		}
	}
}

func (s *Scheduler) forgetOld(now time.Time) {
	for len(s.forget) > 0 {
		id := s.forget[0]
		r, ok := s.records[id]
		if ok && now.Sub(r.made) < recordAge && len(s.forget) <= recordsMost {
			return
		}
		delete(s.records, id)
		s.forget = s.forget[1:]
	}
}

// sorted returns the unfinished jobs in the order of their arrival.
func (s *Scheduler) sorted() []*job {
	out := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return int(a.number) - int(b.number) })
	return out
}

// agentNamed returns the agent with a name, a new one if need be.
func (s *Scheduler) agentNamed(name string) *agent {
	a := s.agents[name]
	if a == nil {
		a = &agent{name: name, hash: xxhash.Sum64String(name), tasks: make(map[messenger.Run]*task), withdrawn: make(map[messenger.Run]*task), speed: usualSpeed}
		s.agents[name] = a
		at, _ := slices.BinarySearchFunc(s.byName, name, func(a *agent, name string) int {
			return strings.Compare(a.name, name)
		})
		s.byName = slices.Insert(s.byName, at, a)
	}
	return a
}
