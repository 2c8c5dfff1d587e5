package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Job is a caller's request.
type Job struct {
	ID    string
	Queue Queue
	// Spec is passed on to the workers as it is.
	Spec  string
	Steps []Step
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// EarliestSent is when the caller may have sent the job at the earliest; zero means
	// when it is handed in.
	EarliestSent time.Time
}

// Step is a set of equal tasks.
type Step struct {
	Count  int
	Demand messenger.Resources
	// Estimate is about how long a task takes on a sound worker.
	Estimate time.Duration
	// After lists the steps that must be done first, by their numbers.
	After []int
	// Label is what the worker must be labelled with; empty means none.
	Label string
	// Rack is the label of the rack where the data is; empty means anywhere.
	Rack string
	// MaxPerWorker is how many tasks of the step one worker may run; 0 means any.
	MaxPerWorker int
}

// Validate reports what is wrong with a job, or nothing.
func (j Job) Validate() error {
	if len(j.Steps) == 0 {
		return &Error{Op: "job", Kind: Invalid, Text: "no steps"}
	}
	for i, s := range j.Steps {
		if s.Count <= 0 {
			return &Error{Op: "job", Kind: Invalid, Text: fmt.Sprintf("step %d has no tasks", i)}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &Error{Op: "job", Kind: Invalid, Text: fmt.Sprintf("step %d comes after step %d", i, a)}
			}
		}
	}
	return nil
}

// criticalPath returns the longest chain of estimated work.
func (j Job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// criticalPathsFrom returns, for each step, the longest chain of estimated work that begins
// with it.
func (j Job) criticalPathsFrom() []time.Duration {
	chains := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		chains[i] += j.Steps[i].Estimate
		for _, a := range j.Steps[i].After {
			chains[a] = max(chains[a], chains[i])
		}
	}
	return chains
}

// estimateError is how far estimates usually are off, either way.
const estimateError = 0.4

// minDuration returns the time that the job takes if the estimates are as far too
// high as they usually get.
func (j Job) minDuration() time.Duration {
	return time.Duration((1 - estimateError) * float64(j.criticalPath()))
}

// MaxDuration returns the time that the job takes if the estimates are as far too low
// as they usually get.
func (j Job) MaxDuration() time.Duration {
	return time.Duration((1 + estimateError) * float64(j.criticalPath()))
}

// objective returns the time in which the job is to be complete.
func (j Job) objective() time.Duration {
	return time.Duration(j.Queue.Stretch*float64(j.criticalPath())) + j.Queue.Slack
}

// taskState is where a task stands.
type taskState int

const (
	// blocked tasks wait for earlier steps.
	blocked taskState = iota
	// ready tasks wait for a worker.
	ready
	// placed tasks have been sent to an agent.
	placed
	finished
)

// task is one task of a job that is being worked on.
type task struct {
	job   *job
	step  int
	id    string
	state taskState
	// readyAt is when the steps before it were done.
	readyAt time.Time
	// runNumber is the number of the last run.
	runNumber int
	agent     *agent
	// lastPlaceAt is when the last run was sent; link and place are the numbers of
	// the agent's link and of the Place on it.
	placedAt    time.Time
	linkNumber  int
	placeNumber uint64
	// placedSpeed is the relative speed of the worker as it was known at lastPlaceAt; 1 for
	// a probe.
	placedSpeed float64
	// failures counts the runs that ended as failed.
	failures int
	// avoidUntil lists agents that the task is kept away from, and until when.
	avoidUntil map[string]time.Time
	// progressPercent is how far the last run had come at age.
	progressPercent int
	progressAge     time.Duration
	// moving means that the last run is being stopped to run it elsewhere.
	moving bool
	// farFactor is how many times as long the last run takes for being away from
	// its data; 0 counts as 1.
	farFactor float64
	// deferred means that the task waits for a near worker although a far one had room
	// when the agents were last looked at.
	deferred bool
}

func (t *task) demand() messenger.Resources { return t.job.Steps[t.step].Demand }

func (t *task) current() messenger.Run { return messenger.Run{Task: t.id, Number: t.runNumber} }

// work returns the task's estimated work in core-milliseconds.
func (t *task) work() float64 {
	s := t.job.Steps[t.step]
	return float64(s.Demand.CPU) / 1000 * float64(s.Estimate.Milliseconds())
}

// job is a Job that is being worked on.
type job struct {
	Job
	// number orders jobs by their arrival.
	number uint64
	// hash is that of the ID.
	hash    uint64
	arrived time.Time
	tickets []uint64
	tasks   []*task
	// unfinished counts the tasks of each step that are not finished.
	unfinished []int
	// inQueue means that the scheduler's queue holds the job.
	inQueue bool
	// queuedAt is when it was last put there, apart from placements that were
	// refused since.
	queuedAt time.Time
	// mayHaveStarted means that a task may have started.
	mayHaveStarted bool
	hold           hold
	// overdue means that latest had passed, and rank is the place of its kind,
	// both as of when the queue was last sorted.
	overdue bool
	rank    int
	// waitedForCapacity means that a pass has found no room for the job, and counted that its
	// first placement after that is among its queue's starts.
	waitedForCapacity bool
	startCounted      bool
	// fastOnly means that the job has waited for too long for any worker but a fast
	// one.
	fastOnly bool
	// latestStart is when the first task must start for the job to be in time, and objectiveAt
	// when the last one must have ended.
	latestStart, objectiveAt time.Time
	// criticalPaths are the longest chains of estimated work from each step on.
	criticalPaths []time.Duration
}

// newJob returns a job of which last is the record of the last try.
func newJob(j Job, number uint64, now time.Time, last record) *job {
	n := &job{
		Job:            j,
		number:         number,
		hash:           xxhash.Sum64String(j.ID),
		arrived:        now,
		unfinished:     make([]int, len(j.Steps)),
		latestStart:    now.Add(j.objective() - j.criticalPath()),
		objectiveAt:    now.Add(j.objective()),
		criticalPaths:  j.criticalPathsFrom(),
		mayHaveStarted: last.mayHaveStarted,
		hold:           hold{sentAt: j.EarliestSent},
	}
	if j.EarliestSent.IsZero() {
		n.hold.sentAt = now
	}
	for i, s := range j.Steps {
		n.unfinished[i] = s.Count
		for k := range s.Count {
			t := &task{job: n, step: i, id: fmt.Sprintf("%s.0.%d.%d", j.ID, i, k), runNumber: last.lastRunNumber}
			if len(s.After) == 0 {
				t.state = ready
				t.readyAt = now
			}
			n.tasks = append(n.tasks, t)
		}
	}
	return n
}

// unsettledIfStarted returns an answer that does not claim that a job which may have
// begun has not run.
func (j *job) unsettledIfStarted(a Answer) Answer {
	if j.mayHaveStarted && a.Outcome != Complete {
		return Answer{Outcome: Unsettled, RetryAfter: AgentLossTimeout, Why: a.Why + "; an earlier try may have run"}
	}
	return a
}

// unstarted reports whether nothing has been done for a job.
func (j *job) unstarted() bool { return !j.mayHaveStarted && !j.hasTask(placed) }

// unblock makes the tasks ready whose steps may begin.
func (j *job) unblock(now time.Time) {
	for _, t := range j.tasks {
		if t.state == blocked && j.stepReady(t.step) {
			t.state = ready
			t.readyAt = now
		}
	}
}

// stepReady reports whether all steps before step are done.
func (j *job) stepReady(step int) bool {
	for _, a := range j.Steps[step].After {
		if j.unfinished[a] > 0 {
			return false
		}
	}
	return true
}

// hasRackData reports whether the data of a step is on a rack.
func (j Job) hasRackData() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Rack != "" })
}

func (j *job) done() bool {
	for _, n := range j.unfinished {
		if n > 0 {
			return false
		}
	}
	return true
}

// hasTask reports whether a task is in a state.
func (j *job) hasTask(state taskState) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == state })
}

// tasksIn returns the tasks in a state.
func (j *job) tasksIn(state taskState) []*task {
	var out []*task
	for _, t := range j.tasks {
		if t.state == state {
			out = append(out, t)
		}
	}
	return out
}

// lastRunNumber returns the highest run number of any task.
func (j *job) lastRunNumber() int {
	n := 0
	for _, t := range j.tasks {
		n = max(n, t.runNumber)
	}
	return n
}

// queuedWork returns the estimated work of the tasks that wait, in core-milliseconds.
// Tasks held for a near worker are left out: other jobs can have the far room.
func (j *job) queuedWork() float64 {
	var sum float64
	for _, t := range j.tasks {
		if t.state == ready && !t.deferred {
			sum += t.work()
		}
	}
	return sum
}

// FirstStep returns the first step, or an empty one, for the log.
func (j Job) FirstStep() Step {
	if len(j.Steps) == 0 {
		return Step{}
	}
	return j.Steps[0]
}
