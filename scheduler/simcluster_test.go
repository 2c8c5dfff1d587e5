package scheduler_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// event is a call that is due at a time. sequence orders the events of one time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	// linkDelay is the usual delay of a message between machines, localDelay that of
	// one between an agent and its worker.
	linkDelay  = time.Millisecond
	localDelay = 300 * time.Microsecond
	// maxStopDelay is the longest time that a run takes to stop.
	maxStopDelay = 50 * time.Millisecond
	// callTimeout bounds a call to a worker.
	callTimeout = 40 * time.Millisecond
	// minPause is the shortest time without activity that counts as a pause of an
	// entry.
	minPause = 200 * time.Millisecond
	// minResendDelay is the shortest time after which a caller sends a job again.
	minResendDelay = 1300 * time.Millisecond
)

// simTask is the actual work and demand of a task, as opposed to its estimate.
type simTask struct {
	work   time.Duration
	demand messenger.Resources
	fails  bool
	// crashAfter is how long after its start the task crashes its worker; 0 means that
	// it does not.
	crashAfter time.Duration
	// rack is the label of the rack that has the task's data; empty means that it makes
	// no difference where the task runs.
	rack string
}

// result is a job and the answer that its caller got, if any.
type result struct {
	job      scheduler.Job
	answer   scheduler.Answer
	sent     time.Time
	took     time.Duration
	answered bool
}

// simulation connects real schedulers and executors by simulated links and workers, in
// the virtual time of a fake clock.
type simulation struct {
	t               testing.TB
	rng             *rand.Rand
	clock           *clockwork.FakeClock
	events          events
	lastEventNumber int
	entries         []*simEntry
	agents          []*simAgent
	tasks           map[string]simTask
	results         map[string]*result
	// runningCount counts the workers that run each task.
	runningCount map[string]int
	// duplicates lists the runs that began while another worker ran the same task.
	duplicates []string
	// done holds the tasks that are done, and rerunAfterDone lists the runs that began
	// after their task was done.
	done map[string]bool
	// firstStartAt is when each task was first started.
	firstStartAt   map[string]time.Time
	rerunAfterDone []string
	// crashes counts the workers that have crashed under each task, and lateStarts the
	// starts of each task since the third of them.
	crashes, lateStarts map[string]int
	// workerCrashes counts the crashes of workers.
	workerCrashes int
	// overCapacity lists the runs that brought an unguarded worker over its capacity.
	overCapacity []string
	// resendUnsettled makes callers send a job again whose answer says so.
	resendUnsettled bool
	// startedAt is when the load may begin.
	startedAt time.Time
	// deadlyJob reports whether a new job of a kind has a task that crashes its workers
	// soon after its start; nil means that none has.
	deadlyJob func(k jobKind) bool
	// agentsDieToo makes a crash of a worker end its agent at the same moment, half of the
	// time.
	agentsDieToo bool
	// unguarded is whether the workers do not guard their capacity.
	unguarded bool
	// patience is how long the callers of new jobs wait; zero means as long as usual.
	patience time.Duration
	jobs     int
	// placedRuns counts the runs that reached agents, and capacityRefusals those that
	// agents refused for lack of capacity.
	placedRuns, capacityRefusals int
	// witnesses is the list of witnesses in the store.
	witnesses messenger.WitnessList
	// store has the operators' evacuations; nil if the operators evacuate nothing.
	store *simStore
	// startsInEvacuated lists the runs that began in a data centre which had been evacuated
	// for too long.
	startsInEvacuated []string
	// lockRequests counts the jobs that agents were asked to lock.
	lockRequests int
	// linkDelay is the delay of a message between an entry and an agent.
	linkDelay time.Duration
	// farFactor is the factor by which a task takes longer on a worker away from its
	// data; values below 1 count as 1. The entries know it if farFactorKnown is set.
	farFactor      float64
	farFactorKnown bool
	// ignoreReserve makes agents ignore Reserve messages.
	ignoreReserve bool
	// withoutSpeeds removes the speeds of workers from all reports, as if the agents did
	// not estimate them.
	withoutSpeeds bool
}

// simEntry is an entry process.
type simEntry struct {
	panicCountdown
	// knownWitnesses is the version of the list of witnesses that the entry knows.
	knownWitnesses uint64
	sim            *simulation
	name           string
	incarnation    int64
	core           *scheduler.Scheduler
	tickets        map[uint64]string
	// links holds the links that the entry knows of, by agent. What it sends on a link
	// that has been replaced meanwhile is lost.
	links map[string]*simLink
	// disconnected marks the tickets whose callers have disconnected without the entry
	// noticing.
	disconnected map[uint64]bool
	lastTicket   uint64
	down         bool
	// pausedUntil is when a pause of the process ends. What it receives before is handled
	// then.
	pausedUntil time.Time
	// activeAt is when the entry last handled an event.
	activeAt time.Time
	// cutUntil is until when the entry can open no link to an agent, by the agent's name.
	cutUntil map[string]time.Time
	// watchCut means that the entry is not told what changes in the list of witnesses.
	watchCut bool
	// evacuations are those that the entry knows, and configured is whether it has read the
	// configuration in simulation.store.
	evacuations evacuator.View
	configured  bool
	// storeCutUntil is until when the entry cannot reach simulation.store.
	storeCutUntil time.Time
}

// simAgent is an agent process with its worker.
type simAgent struct {
	panicCountdown
	sim         *simulation
	name        string
	core        *executor.Executor
	worker      *simWorker
	incarnation int64
	down        bool
	pausedUntil time.Time
	links       map[string]*simLink
	dataCentre  string
	// storeCutUntil is until when the agent cannot reach simulation.store.
	storeCutUntil time.Time
}

// simLink is a link between an entry and an agent. A cut link delivers nothing.
type simLink struct {
	entry *simEntry
	agent *simAgent
	open  bool
	cut   bool
	// greeted means that the agent has handled the Hello.
	greeted bool
	// openedAt is when the link was opened; the timestamps of heartbeats count from there.
	openedAt        time.Time
	lastHeartbeatAt time.Time
	lastReportAt    time.Time
	echo            time.Duration
	// toAgentHeldUntil and toEntryHeldUntil are until when messages in one direction are
	// held up. heldToAgent and heldToEntry are those that are.
	toAgentHeldUntil, toEntryHeldUntil time.Time
	heldToAgent, heldToEntry           heldMessages
}

// heldMessages delivers held-up messages in their order.
type heldMessages []func()

// deliver calls do, or keeps it until the given time, after which what was kept is
// delivered.
func (h *heldMessages) deliver(sim *simulation, until time.Time, do func()) {
	wait := until.Sub(sim.clock.Now())
	if wait <= 0 && len(*h) == 0 {
		do()
		return
	}
	*h = append(*h, do)
	if len(*h) > 1 {
		return
	}
	sim.schedule(max(wait, 0), func() {
		list := *h
		*h = nil
		for _, do := range list {
			do()
		}
	})
}

// newSimulation returns a running deployment whose agents are in three data centres.
func newSimulation(t testing.TB, seed uint64, entries, agents int, capacity int) *simulation {
	return newSimulationIn(t, seed, 3, entries, agents, capacity)
}

// newSimulationIn is newSimulation with a number of data centres.
func newSimulationIn(t testing.TB, seed uint64, dataCentres, entries, agents, capacity int) *simulation {
	sim := &simulation{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 1)),
		clock:        clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)),
		tasks:        make(map[string]simTask),
		results:      make(map[string]*result),
		runningCount: make(map[string]int),
		done:         make(map[string]bool),
		firstStartAt: make(map[string]time.Time),
		crashes:      make(map[string]int),
		lateStarts:   make(map[string]int),
		linkDelay:    linkDelay,
	}
	for i := range agents {
		a := &simAgent{sim: sim, name: fmt.Sprintf("agent-%02d", i), links: make(map[string]*simLink), dataCentre: fmt.Sprintf("dc-%d", i%dataCentres)}
		a.worker = &simWorker{
			sim:  sim,
			name: a.name,
			upstream: messenger.Upstream{
				ID: "worker-" + a.name, Born: 1, Service: "quotes", DataCentre: a.dataCentre,
				Capacity: messenger.Resources{CPU: capacity, Memory: 64_000},
			},
			running:       make(map[string]*simRun),
			highestNumber: make(map[string]int),
		}
		sim.agents = append(sim.agents, a)
		a.boot()
	}
	sim.witnesses = sim.firstWitnesses()
	for i := range entries {
		e := &simEntry{sim: sim, name: fmt.Sprintf("entry-%d", i)}
		sim.entries = append(sim.entries, e)
		e.boot()
	}
	sim.every(5*time.Millisecond, func() {
		for _, a := range sim.agents {
			a.worker.expireLease()
		}
	})
	sim.run(300 * time.Millisecond)
	sim.startedAt = sim.clock.Now()
	return sim
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.lastEventNumber++
	heap.Push(&sim.events, event{at: sim.clock.Now().Add(d), sequence: sim.lastEventNumber, do: do})
}

func (sim *simulation) every(d time.Duration, do func()) {
	sim.schedule(d, func() {
		do()
		sim.every(d, do)
	})
}

// run advances the clock by span and calls the events that are due by then.
func (sim *simulation) run(span time.Duration) {
	end := sim.clock.Now().Add(span)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		if d := e.at.Sub(sim.clock.Now()); d > 0 {
			sim.clock.Advance(d)
		}
		e.do()
	}
	if d := end.Sub(sim.clock.Now()); d > 0 {
		sim.clock.Advance(d)
	}
}

// runStarted and runEnded keep count of the workers that run a task. runStarted also
// records runs that break a rule.
func (sim *simulation) runStarted(w *simWorker, r messenger.Run) {
	sim.runningCount[r.Task]++
	sim.checkEvacuation(w, r)
	if _, ok := sim.firstStartAt[r.Task]; !ok {
		sim.firstStartAt[r.Task] = sim.clock.Now()
	}
	if sim.crashes[r.Task] >= crashBudget {
		sim.lateStarts[r.Task]++
	}
	if sim.done[r.Task] {
		sim.rerunAfterDone = append(sim.rerunAfterDone, fmt.Sprintf("%s run %d at %s", r.Task, r.Number, w.name))
	}
	if sim.runningCount[r.Task] > 1 {
		sim.duplicates = append(sim.duplicates, fmt.Sprintf("%s run %d at %s", r.Task, r.Number, w.name))
	}
}

func (sim *simulation) runEnded(_ *simWorker, r messenger.Run) { sim.runningCount[r.Task]-- }

// firstWitnesses returns the first list of witnesses: two agents of each data centre, by
// hashes of their names.
func (sim *simulation) firstWitnesses() messenger.WitnessList {
	list := messenger.WitnessList{Version: 1}
	agents := slices.Clone(sim.agents)
	slices.SortFunc(agents, func(a, b *simAgent) int {
		return cmp.Compare(xxhash.Sum64String("witness/"+a.name), xxhash.Sum64String("witness/"+b.name))
	})
	perDataCentre := make(map[string]int)
	for _, a := range agents {
		if perDataCentre[a.dataCentre]++; perDataCentre[a.dataCentre] <= 2 {
			list.Current = append(list.Current, messenger.Witness{Agent: a.name, Group: a.dataCentre})
		}
	}
	return list
}

// configuration returns a configuration with one queue, for the service quotes.
func configuration() scheduler.Configuration {
	return scheduler.Configuration{Version: 1, Queues: []scheduler.Queue{quotesQueue()}, Evacuated: map[string]bool{}}
}

func quotesQueue() scheduler.Queue {
	return scheduler.Queue{Name: "quotes", Host: "q.example", Prefix: "/q/", Service: "quotes", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond}
}

// configuration returns the configuration of the simulated entries.
func (sim *simulation) configuration() scheduler.Configuration {
	if !sim.farFactorKnown {
		return configuration()
	}
	return configuration().WithFarFactor(sim.farFactor)
}

// jobKind describes one kind of job of a workload.
type jobKind struct {
	tasks    int
	work     time.Duration
	cpu      int
	priority int
	// rack is the label of the rack that has the data of the tasks; empty means that it
	// makes no difference where they run.
	rack string
}

// jobKinds are the jobs of the price service: quotes, indices and alerts.
var jobKinds = []jobKind{
	{tasks: 8, work: 60 * time.Millisecond, cpu: 3100},
	{tasks: 4, work: 900 * time.Millisecond, cpu: 3100, priority: 2},
	{tasks: 2, work: 200 * time.Millisecond, cpu: 3100, priority: 1},
}

// submit creates a job of a kind and sends it to an entry, as its caller would. The
// work and its estimate are drawn at random.
func (sim *simulation) submit(e *simEntry, k jobKind) string {
	sim.jobs++
	id := fmt.Sprintf("%016x", sim.jobs)
	work := time.Duration(float64(k.work) * (0.6 + 0.8*sim.rng.Float64()))
	estimate := time.Duration(float64(work) * (0.7 + 0.6*sim.rng.Float64()))
	q := quotesQueue()
	q.Unguarded = sim.unguarded
	q.Name = fmt.Sprintf("queue-%d", k.priority)
	q.Priority = k.priority
	j := scheduler.Job{
		ID: id, Queue: q, Spec: "spec", Deadline: sim.clock.Now().Add(max(1500*time.Millisecond, 3*work)),
		Steps: []scheduler.Step{{Count: k.tasks, Demand: messenger.Resources{CPU: k.cpu, Memory: 64}, Estimate: estimate, Rack: k.rack}},
	}
	for i := range k.tasks {
		sim.tasks[fmt.Sprintf("%s.0.0.%d", id, i)] = simTask{
			work:   time.Duration(float64(work) * (0.9 + 0.2*sim.rng.Float64())),
			demand: j.Steps[0].Demand,
			rack:   k.rack,
		}
	}
	if sim.deadlyJob != nil && sim.deadlyJob(k) {
		sim.makeDeadly(id, usualCrashAfter)
	}
	if sim.patience > 0 {
		j.Deadline = sim.clock.Now().Add(sim.patience)
	}
	sim.results[id] = &result{job: j, sent: sim.clock.Now()}
	sim.send(e, j)
	return id
}

// send submits a job to an entry. If the entry is down, the caller sends the job again
// later.
func (sim *simulation) send(e *simEntry, j scheduler.Job) {
	sim.schedule(linkDelay, func() {
		if e.down {
			sim.resend(j)
			return
		}
		e.do(func() {
			e.lastTicket++
			e.tickets[e.lastTicket] = j.ID
			e.core.Submit(e.lastTicket, j)
		})
	})
}

// resend sends a job after minResendDelay to a random entry, if its caller still waits
// then.
func (sim *simulation) resend(j scheduler.Job) {
	sim.schedule(minResendDelay, func() {
		if sim.clock.Now().Before(j.Deadline) {
			sim.send(sim.anyEntry(), j)
		}
	})
}

// load submits jobs of all kinds to random entries for a span, at their usual rates times
// factor.
func (sim *simulation) load(span time.Duration, factor float64) {
	sim.loadAt(sim.entries, span, factor)
}

// loadAt is like load, but submits jobs to the given entries only.
func (sim *simulation) loadAt(entries []*simEntry, span time.Duration, factor float64) {
	perSecond := []float64{34.4, 6.25, 100}
	for i, k := range jobKinds {
		gap := time.Duration(float64(time.Second) / (perSecond[i] * factor))
		for at := sim.upTo(gap); at < span; at += time.Duration(float64(gap) * (0.5 + sim.rng.Float64())) {
			sim.schedule(at, func() { sim.submit(entries[sim.rng.IntN(len(entries))], k) })
		}
	}
}

// countCapacityRefusals counts the runs that were refused for lack of capacity.
func (sim *simulation) countCapacityRefusals(list []messenger.Refusal) {
	for _, r := range list {
		if r.Reason == messenger.RefusedNoRoom {
			sim.capacityRefusals++
		}
	}
}
