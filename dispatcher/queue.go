package dispatcher

import (
	"container/heap"
	"math"
	"time"
)

// Order ranks waiting jobs.
type Order interface {
	// Key returns a time in Unix nanoseconds. The job with the earliest key
	// starts first, at its owner and, where slots are offered, among owners.
	Key(j QueuedJob) int64
}

// QueuedJob is what an Order may look at.
type QueuedJob struct {
	ArrivedNanos  int64
	DeadlineNanos int64
	// TasksLeft counts the tasks that wait.
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

// FewestTasksLeft starts the job with the fewest waiting tasks first, however long
// others have waited.
type FewestTasksLeft struct{}

// Key implements Order.
func (FewestTasksLeft) Key(j QueuedJob) int64 {
	return j.ArrivedNanos + int64(j.TasksLeft)*int64(time.Hour)
}

// VirtualFinish starts the job first that would finish first if each had the
// same share of the slots: a small job overtakes a large one, but only for as
// long as the large one's tasks account for.
type VirtualFinish struct {
	// PerTask is the time that a waiting task adds.
	PerTask time.Duration
}

// Key implements Order.
func (o VirtualFinish) Key(j QueuedJob) int64 {
	return j.ArrivedNanos + int64(j.TasksLeft)*int64(o.PerTask)
}

// queue holds the jobs with waiting tasks, one heap for each service, so that
// a service without workers does not hold up the others.
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

// add queues j unless it is queued, and counts n more waiting tasks.
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

// removeTask notes that one waiting task of j is not waiting any more, and drops j
// when none is left.
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

// removeJob drops j with all its waiting tasks.
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

// first returns the job of service to start next, or nil.
func (q *queue) first(service string) *job {
	h := q.services[service]
	if h == nil || len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0].job
}

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

// jobHeap implements heap.Interface.
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

// expiryQueue orders jobs by the time at which something is due for them.
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
