package dispatcher

import (
	"container/heap"
	"math"
	"time"
)

// Order ranks the jobs with waiting tasks.
type Order interface {
	// Key returns the rank of a job as a time in Unix nanoseconds. The job with the
	// earliest key starts first, both among the jobs of one owner and, where agents
	// offer slots, among owners.
	Key(j QueuedJob) int64
}

// QueuedJob is the input of an Order.
type QueuedJob struct {
	ArrivedNanos  int64
	DeadlineNanos int64
	// TasksLeft counts the waiting tasks.
	TasksLeft int
}

// ArrivalOrder starts jobs in the order of their arrival.
type ArrivalOrder struct{}

// Key implements Order.
func (ArrivalOrder) Key(j QueuedJob) int64 { return j.ArrivedNanos }

// EarliestDeadline starts the job with the earliest deadline first.
type EarliestDeadline struct{}

// Key implements Order.
func (EarliestDeadline) Key(j QueuedJob) int64 { return j.DeadlineNanos }

// FewestTasksLeft starts the job with the fewest waiting tasks first, regardless of how
// long the others have waited.
type FewestTasksLeft struct{}

// Key implements Order.
func (FewestTasksLeft) Key(j QueuedJob) int64 {
	return j.ArrivedNanos + int64(j.TasksLeft)*int64(time.Hour)
}

// VirtualFinish starts the job first that would finish first if all jobs had equal
// shares of the slots. A job with fewer waiting tasks overtakes an earlier one if it
// arrives less than PerTask times the difference in waiting tasks after it, so that a
// large job is overtaken for a limited time only.
type VirtualFinish struct {
	// PerTask is the time that each waiting task adds to the key.
	PerTask time.Duration
}

// Key implements Order.
func (v VirtualFinish) Key(j QueuedJob) int64 {
	return j.ArrivedNanos + int64(j.TasksLeft)*int64(v.PerTask)
}

// queue holds the jobs with waiting tasks in one heap for each service, so that a
// service without workers does not block the others.
type queue struct {
	order    Order
	services map[string]*jobHeap
	// serviceNames lists the keys of services in the order of their first use.
	serviceNames []string
	sequence     uint64
	// tasks counts the waiting tasks of all queued jobs.
	tasks int
}

func newQueue(order Order) *queue {
	return &queue{order: order, services: make(map[string]*jobHeap)}
}

// add counts n more waiting tasks of j, and queues j if it is not queued yet.
func (q *queue) add(j *job, n int) {
	q.tasks += n
	h := q.services[j.submission.Service]
	if h == nil {
		h = &jobHeap{order: q.order}
		q.services[j.submission.Service] = h
		q.serviceNames = append(q.serviceNames, j.submission.Service)
	}
	if j.queued {
		heap.Fix(h, j.heapIndex)
		return
	}
	q.sequence++
	j.queued = true
	heap.Push(h, queuedJob{job: j, sequence: q.sequence})
}

// removeTask counts one waiting task of j less, and removes j when it has none left.
func (q *queue) removeTask(j *job) {
	if !j.queued {
		return
	}
	q.tasks--
	if j.waitingTasks == 0 {
		q.drop(j)
		return
	}
	heap.Fix(q.services[j.submission.Service], j.heapIndex)
}

// removeJob removes j with all its waiting tasks.
func (q *queue) removeJob(j *job) {
	if !j.queued {
		return
	}
	q.tasks -= j.waitingTasks
	q.drop(j)
}

func (q *queue) drop(j *job) {
	heap.Remove(q.services[j.submission.Service], j.heapIndex)
	j.queued = false
}

// earliestKey returns the earliest key of all queued jobs.
func (q *queue) earliestKey() int64 {
	key := int64(math.MaxInt64)
	for _, h := range q.services {
		if len(h.jobs) > 0 {
			key = min(key, h.key(h.jobs[0].job))
		}
	}
	return key
}

// first returns the job of the service that starts next, or nil.
func (q *queue) first(service string) *job {
	h := q.services[service]
	if h == nil || len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0].job
}

// queuedJob is an element of a jobHeap. sequence breaks ties between equal keys.
type queuedJob struct {
	job      *job
	sequence uint64
}

func (h *jobHeap) key(j *job) int64 {
	return h.order.Key(QueuedJob{
		ArrivedNanos:  j.arrivedAt.UnixNano(),
		DeadlineNanos: j.submission.Deadline.UnixNano(),
		TasksLeft:     j.waitingTasks,
	})
}

// jobHeap implements heap.Interface. The first job starts next.
type jobHeap struct {
	order Order
	jobs  []queuedJob
}

func (h *jobHeap) Len() int { return len(h.jobs) }

func (h *jobHeap) Less(a, b int) bool {
	ka, kb := h.key(h.jobs[a].job), h.key(h.jobs[b].job)
	if ka != kb {
		return ka < kb
	}
	return h.jobs[a].sequence < h.jobs[b].sequence
}

func (h *jobHeap) Swap(a, b int) {
	h.jobs[a], h.jobs[b] = h.jobs[b], h.jobs[a]
	h.jobs[a].job.heapIndex = a
	h.jobs[b].job.heapIndex = b
}

func (h *jobHeap) Push(x any) {
	q := x.(queuedJob)
	q.job.heapIndex = len(h.jobs)
	h.jobs = append(h.jobs, q)
}

func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	q := h.jobs[last]
	h.jobs[last] = queuedJob{}
	h.jobs = h.jobs[:last]
	return q
}

// expiryQueue is a heap of jobs, ordered by the time at which expireJob has to check
// them.
type expiryQueue []expiry

type expiry struct {
	atNanos int64
	job     *job
}

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(a, b int) bool { return q[a].atNanos < q[b].atNanos }
func (q expiryQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *expiryQueue) Push(x any)        { *q = append(*q, x.(expiry)) }

func (q *expiryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = expiry{}
	*q = old[:last]
	return e
}
