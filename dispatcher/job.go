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
	// waiting means that the task has not started and that no message that
	// could start it is on its way.
	waiting taskState = iota
	// sent means that the task has started or may start.
	sent
	// ended means that the outcome of the task is known.
	ended
)

// task is one task of a job.
type task struct {
	state   taskState
	outcome courier.Outcome
	result  json.RawMessage
	// agent, link and number tell where and as which of the link's tasks it
	// was sent, when state is sent.
	agent  courier.AgentRef
	link   uint64
	number uint64
	sentAt time.Time
}

// job is one submission at its owner.
type job struct {
	id        string
	sub       courier.Submission
	digest    uint64
	partition router.Partition
	arrived   time.Time
	// attempt is the highest attempt that has reached this job; onlyCopy
	// means that no other copy of the submission can exist.
	attempt  int
	onlyCopy bool
	tasks    []task
	// next is the first task that may be waiting; all before it are not.
	next int
	// waitingTasks counts the tasks in state waiting.
	waitingTasks int
	// unfinished counts the tasks that are not ended.
	unfinished int
	waiters    map[Waiter]struct{}
	// orphanedAt is when the last waiter left; zero while there is one.
	orphanedAt time.Time
	// done means that answer is final. It never changes back.
	done   bool
	answer courier.Answer
	// queued and heapIndex belong to the queue.
	queued    bool
	heapIndex int
}

func newJob(r Request, now time.Time) *job {
	n := len(r.Submission.Tasks)
	id := r.Submission.Job()
	return &job{
		id:           id,
		sub:          r.Submission,
		digest:       r.Digest,
		partition:    router.PartitionOf(id),
		arrived:      now,
		attempt:      r.Submission.Attempt,
		onlyCopy:     r.first(),
		tasks:        make([]task, n),
		waitingTasks: n,
		unfinished:   n,
		waiters:      make(map[Waiter]struct{}),
	}
}

// takeWaiting returns the index of a waiting task and marks it as the next one
// sent to a.
func (j *job) takeWaiting(a *agent, now time.Time) int {
	for j.tasks[j.next].state != waiting {
		j.next++
	}
	i := j.next
	a.sentTasks++
	j.tasks[i] = task{state: sent, agent: a.ref, link: a.link, number: a.sentTasks, sentAt: now}
	j.waitingTasks--
	return i
}

// putBack makes a sent task wait again, after a positive refusal.
func (j *job) putBack(i int) {
	j.tasks[i] = task{}
	j.waitingTasks++
	j.next = min(j.next, i)
}

// end notes the outcome of a task. It reports whether this is news.
func (j *job) end(i int, outcome courier.Outcome, result json.RawMessage) bool {
	t := &j.tasks[i]
	if t.state == ended {
		return false
	}
	if t.state == waiting {
		j.waitingTasks--
	}
	t.state = ended
	t.outcome = outcome
	t.result = result
	j.unfinished--
	return true
}

// mayHaveRun lists the tasks that started or may have started.
func (j *job) mayHaveRun() []int {
	var out []int
	for i := range j.tasks {
		if j.tasks[i].state != waiting {
			out = append(out, i)
		}
	}
	return out
}

// sentTasks lists the tasks that may be running, by agent.
func (j *job) sentTasks() map[courier.AgentRef][]courier.TaskID {
	out := make(map[courier.AgentRef][]courier.TaskID)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == sent {
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

// release drops what a finished job does not need any more.
func (j *job) release() {
	j.sub.Tasks = nil
	j.tasks = nil
}

// inheritance is what agents have reported of a job whose body is not here.
type inheritance struct {
	digest  uint64
	records map[int]inheritedTask
	until   time.Time
}

type inheritedTask struct {
	agent   courier.AgentRef
	link    uint64
	outcome courier.Outcome
	result  json.RawMessage
}

// refusedAttempt remembers that attempts up to attempt were answered NotRun.
type refusedAttempt struct {
	attempt int
	until   time.Time
}
