package dispatcher

import (
	"encoding/json"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// taskState is the state of a task as its owner knows it.
type taskState int

const (
	// taskWaiting means that the task has not started and that no message that could
	// start it is in transit.
	taskWaiting taskState = iota
	// taskSent means that the task has started or may start.
	taskSent
	// taskEnded means that the outcome of the task is known.
	taskEnded
)

// task is one task of a job.
type task struct {
	state   taskState
	outcome courier.Outcome
	result  json.RawMessage
	// agent and link tell where and on which link the task was sent, and number which
	// task of the link it was, if the task has been sent. number is 0 for a task that
	// is known only from an agent's record.
	agent  courier.AgentRef
	link   uint64
	number uint64
	sentAt time.Time
}

// job is the state of one submission at its owner.
type job struct {
	id         string
	submission courier.Submission
	digest     uint64
	partition  router.Partition
	arrivedAt  time.Time
	// attempt is the highest attempt that has reached this job. onlyCopy means that no
	// other copy of the submission can exist.
	attempt  int
	onlyCopy bool
	tasks    []task
	// firstWaiting is a lower bound of the index of the first waiting task.
	firstWaiting int
	// waitingTasks counts the tasks in state taskWaiting.
	waitingTasks int
	// unfinished counts the tasks that have not ended.
	unfinished int
	waiters    map[Waiter]struct{}
	// orphanedAt is when the last waiter left, or zero while there is one.
	orphanedAt time.Time
	// done means that answer is final. It never becomes false again.
	done   bool
	answer courier.Answer
	// bytes is the size of the payloads, and of the results once the job is done.
	bytes int64
	// queued and heapIndex are maintained by the queue.
	queued    bool
	heapIndex int
}

func newJob(r Request, now time.Time) *job {
	n := len(r.Submission.Tasks)
	id := r.Submission.JobID()
	return &job{
		id:           id,
		submission:   r.Submission,
		digest:       r.Digest,
		partition:    router.PartitionOf(id),
		arrivedAt:    now,
		attempt:      r.Submission.Attempt,
		onlyCopy:     r.isFirstCopy(),
		tasks:        make([]task, n),
		waitingTasks: n,
		unfinished:   n,
		waiters:      make(map[Waiter]struct{}),
		bytes:        payloadBytes(r.Submission),
	}
}

// payloadBytes returns the size of the payloads of a submission, in bytes.
func payloadBytes(s courier.Submission) int64 {
	var sum int64
	for _, t := range s.Tasks {
		sum += int64(len(t.Payload))
	}
	return sum
}

// resultBytes returns the size of the results in an answer, in bytes.
func resultBytes(a courier.Answer) int64 {
	var sum int64
	for _, r := range a.Results {
		sum += int64(len(r))
	}
	return sum
}

// takeWaiting returns the index of a waiting task, and marks it as the next task sent
// to a.
func (j *job) takeWaiting(a *agent, now time.Time) int {
	for j.tasks[j.firstWaiting].state != taskWaiting {
		j.firstWaiting++
	}
	i := j.firstWaiting
	a.sentTaskCount++
	j.tasks[i] = task{state: taskSent, agent: a.ref, link: a.link, number: a.sentTaskCount, sentAt: now}
	j.waitingTasks--
	return i
}

// resetTask makes a sent task wait again, after it is known that it has not started.
func (j *job) resetTask(i int) {
	j.tasks[i] = task{}
	j.waitingTasks++
	j.firstWaiting = min(j.firstWaiting, i)
}

// endTask records the outcome of a task. It reports false if the task has ended
// already.
func (j *job) endTask(i int, outcome courier.Outcome, result json.RawMessage) bool {
	t := &j.tasks[i]
	if t.state == taskEnded {
		return false
	}
	if t.state == taskWaiting {
		j.waitingTasks--
	}
	t.state = taskEnded
	t.outcome = outcome
	t.result = result
	j.unfinished--
	return true
}

// mayHaveRun returns the indexes of the tasks that have or may have started.
func (j *job) mayHaveRun() []int {
	var out []int
	for i := range j.tasks {
		if j.tasks[i].state != taskWaiting {
			out = append(out, i)
		}
	}
	return out
}

// sentTasksByAgent returns the tasks that may be running, by agent.
func (j *job) sentTasksByAgent() map[courier.AgentRef][]courier.TaskID {
	out := make(map[courier.AgentRef][]courier.TaskID)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskSent {
			out[t.agent] = append(out[t.agent], courier.TaskID{Job: j.id, Index: i})
		}
	}
	return out
}

func (j *job) results() []json.RawMessage {
	out := make([]json.RawMessage, len(j.tasks))
	for i := range j.tasks {
		out[i] = j.tasks[i].result
	}
	return out
}

// freeTasks frees the memory that a finished job no longer needs.
func (j *job) freeTasks() {
	j.submission.Tasks = nil
	j.tasks = nil
}

// recoveredJob is what agents have reported about a job whose body is not here.
type recoveredJob struct {
	digest    uint64
	records   map[int]recoveredTask
	expiresAt time.Time
}

// recoveredTask is the record of one task of a recovered job.
type recoveredTask struct {
	agent   courier.AgentRef
	link    uint64
	outcome courier.Outcome
	result  json.RawMessage
}

// forbiddenAttempt records that all attempts up to attempt were answered NotRun.
type forbiddenAttempt struct {
	attempt   int
	expiresAt time.Time
}
