package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Job is a caller's request to run the tasks of one or more steps. Only Validate may be
// called on a job that has not been validated.
type Job struct {
	ID    string
	Queue Queue
	// Spec is passed on to the workers unchanged.
	Spec  string
	Steps []Step
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
}

// Step is a set of equal tasks.
type Step struct {
	Count  int
	Demand messenger.Resources
	// Estimate is approximately how long a task takes on a healthy worker.
	Estimate time.Duration
	// After lists, by index, the steps that must be done before this one starts.
	After []int
	// Label is a label that the worker must have; empty means none.
	Label string
	// Rack is the label of the rack that holds the data; empty means that the data is
	// not on a rack.
	Rack string
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means no
	// limit.
	MaxPerWorker int
}

// criticalPath returns the longest chain of estimated durations over dependent steps. The
// job must be valid.
func (j Job) criticalPath() time.Duration {
	pathEnds := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, a := range s.After {
			pathEnds[i] = max(pathEnds[i], pathEnds[a])
		}
		pathEnds[i] += s.Estimate
		longest = max(longest, pathEnds[i])
	}
	return longest
}

// criticalPathsFrom returns, for each step, the longest chain of estimated durations
// that begins with it. The job must be valid.
func (j Job) criticalPathsFrom() []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] += j.Steps[i].Estimate
		for _, a := range j.Steps[i].After {
			paths[a] = max(paths[a], paths[i])
		}
	}
	return paths
}

// estimateError is the usual relative error of estimates, in either direction.
const estimateError = 0.4

// minDuration returns the duration of the job if the estimates are too high by their
// usual error.
func (j Job) minDuration() time.Duration {
	return time.Duration((1 - estimateError) * float64(j.criticalPath()))
}

// MaxDuration returns the duration of the job if the estimates are too low by their
// usual error.
func (j Job) MaxDuration() time.Duration {
	return time.Duration((1 + estimateError) * float64(j.criticalPath()))
}

// objective returns the latency objective of the job, counted from its arrival.
func (j Job) objective() time.Duration {
	return time.Duration(j.Queue.Stretch*float64(j.criticalPath())) + j.Queue.Slack
}

// taskState is the state of a task within its job.
type taskState int

const (
	// blocked tasks wait for earlier steps.
	blocked taskState = iota
	// ready tasks wait to be placed.
	ready
	// placed tasks have been sent to an agent.
	placed
	finished
)

// task is the state of one task of an unfinished job.
type task struct {
	job   *job
	step  int
	id    string
	state taskState
	// readyAt is when the steps that it depends on were done.
	readyAt time.Time
	// runNumber is the number of the last run.
	runNumber int
	agent     *agent
	// worker is the worker that the last run was placed at.
	worker messenger.Incarnation
	// placedAt is when the last run was sent. linkNumber and placeNumber identify the
	// agent's link and the Place message on it.
	placedAt    time.Time
	linkNumber  int
	placeNumber uint64
	// placedSpeed is the relative speed of the worker as estimated at placedAt; 1 for a
	// probe.
	placedSpeed float64
	// failures counts the runs that ended as failed.
	failures int
	// avoidUntil lists, by agent name, until when the task is not placed there.
	avoidUntil map[string]time.Time
	// progressPercent is the progress of the last run when it had the age progressAge.
	progressPercent int
	progressAge     time.Duration
	// lastStart means that the last run was placed as the last one that is allowed.
	lastStart bool
	// alone means that the last run is to be the only one at its worker.
	alone bool
	// moving means that the last run is being stopped so that the task can run
	// elsewhere.
	moving bool
	// farFactor is the factor by which the last run takes longer because its worker is
	// away from the data; 0 counts as 1.
	farFactor float64
	// deferred means that the task waits for a near worker although a far one had
	// capacity when the agents were last checked.
	deferred bool
}

func (t *task) demand() messenger.Resources { return t.job.Steps[t.step].Demand }

func (t *task) current() messenger.Run { return messenger.Run{Task: t.id, Number: t.runNumber} }

// work returns the task's estimated work in core-milliseconds.
func (t *task) work() float64 {
	s := t.job.Steps[t.step]
	return float64(s.Demand.CPU) / 1000 * float64(s.Estimate.Milliseconds())
}

// job is the state of an unfinished Job.
type job struct {
	Job
	// number rises in order of arrival.
	number uint64
	// hash is the hash of the ID.
	hash    uint64
	arrived time.Time
	tickets []uint64
	tasks   []*task
	// unfinished counts the unfinished tasks of each step.
	unfinished []int
	// inQueue means that the job is in Scheduler.queue.
	inQueue bool
	// queuedAt is when the job was last put into the queue. A refused placement does
	// not change it.
	queuedAt time.Time
	// mayHaveStarted means that a run of one of the job's tasks may have started, here
	// or at another entry.
	mayHaveStarted bool
	// overdue means that latestStart had passed, and rank is the queue's rank, both as
	// of the last time that the scheduler's queue was sorted.
	overdue bool
	rank    int
	// waitedForCapacity means that a pass found no capacity for the job. startCounted
	// means that the first placement after that was counted in the start rate of its
	// queue.
	waitedForCapacity bool
	startCounted      bool
	// fastOnly means that the job has waited so long that only a fast worker can still
	// meet the objective.
	fastOnly bool
	// latestStart is when the first task must start for the job to meet its objective,
	// and objectiveAt when the last task must have ended.
	latestStart, objectiveAt time.Time
	// criticalPaths has, for each step, the longest chain of estimated durations that
	// begins with it.
	criticalPaths []time.Duration
}

// tryNewJob is like newJob, but returns an error if that panics. Nothing else has been
// changed by then, so that only this job has to be refused, and its caller can end no entry
// by sending it to one after the other.
func tryNewJob(j Job, number uint64, now time.Time, last record) (out *job, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = invalidJob("it cannot be processed: %v", cause)
		}
	}()
	return newJob(j, number, now, last), nil
}

// newJob returns a job. last is the record of an earlier attempt, whose run numbers the
// new one continues.
func newJob(j Job, number uint64, now time.Time, last record) *job {
	out := &job{
		Job:            j,
		number:         number,
		hash:           xxhash.Sum64String(j.ID),
		arrived:        now,
		unfinished:     make([]int, len(j.Steps)),
		latestStart:    now.Add(j.objective() - j.criticalPath()),
		objectiveAt:    now.Add(j.objective()),
		criticalPaths:  j.criticalPathsFrom(),
		mayHaveStarted: last.mayHaveStarted,
	}
	for i, s := range j.Steps {
		out.unfinished[i] = s.Count
		for k := range s.Count {
			t := &task{job: out, step: i, id: fmt.Sprintf("%s.0.%d.%d", j.ID, i, k), runNumber: last.lastRunNumber}
			if len(s.After) == 0 {
				t.state = ready
				t.readyAt = now
			}
			out.tasks = append(out.tasks, t)
		}
	}
	return out
}

// unsettledIfStarted returns a, or Unsettled in place of an answer that would claim
// that the job has not run although a task may have started.
func (j *job) unsettledIfStarted(a Answer) Answer {
	if j.mayHaveStarted && a.Outcome != Complete {
		return Answer{Outcome: Unsettled, RetryAfter: AgentLossTimeout, Why: a.Why + "; an earlier try may have run"}
	}
	return a
}

// unstarted reports whether no task is placed and none may have started.
func (j *job) unstarted() bool { return !j.mayHaveStarted && !j.hasTask(placed) }

// unblock makes the blocked tasks ready whose step is ready.
func (j *job) unblock(now time.Time) {
	for _, t := range j.tasks {
		if t.state == blocked && j.stepReady(t.step) {
			t.state = ready
			t.readyAt = now
		}
	}
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(step int) bool {
	for _, a := range j.Steps[step].After {
		if j.unfinished[a] > 0 {
			return false
		}
	}
	return true
}

// hasRackData reports whether a step has its data on a rack.
func (j Job) hasRackData() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Rack != "" })
}

// done reports whether all tasks are finished.
func (j *job) done() bool {
	for _, n := range j.unfinished {
		if n > 0 {
			return false
		}
	}
	return true
}

// hasTask reports whether any task is in a state.
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

// queuedWork returns the estimated work of the ready tasks, in core-milliseconds.
// Deferred tasks are left out: they leave the capacity of far workers to other jobs.
func (j *job) queuedWork() float64 {
	var sum float64
	for _, t := range j.tasks {
		if t.state == ready && !t.deferred {
			sum += t.work()
		}
	}
	return sum
}

// Tasks returns the number of tasks of all steps. The job must be valid.
func (j Job) Tasks() int {
	sum := 0
	for _, s := range j.Steps {
		sum += s.Count
	}
	return sum
}

// FirstStep returns the first step for the log, or an empty one if there is none.
func (j Job) FirstStep() Step {
	if len(j.Steps) == 0 {
		return Step{}
	}
	return j.Steps[0]
}
