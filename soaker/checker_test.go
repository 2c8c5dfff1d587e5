package soaker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/platform/emulator"
)

const (
	// evacuationDelay is the time after the start of an evacuation in which tasks may
	// still start there.
	evacuationDelay = 5 * time.Second
	// contactTime is how long an agent must have reached the store to be bound by that.
	contactTime = 3 * time.Second
	// resendDelay is the time after which a caller resends a job.
	resendDelay = 1300 * time.Millisecond
	// callerTimeout is the time for which a caller waits for an answer, resending
	// included.
	callerTimeout = 3 * time.Second
	// maxAttempts is the number of failed runs of one task after which its job fails.
	maxAttempts = 3
)

// checker checks the dispatcher's guarantees against what workers and callers observe.
type checker struct {
	// fixedWork is the duration of all tasks in nanoseconds, unless it is zero.
	fixedWork atomic.Int64

	mu          sync.Mutex
	dataCentres map[string]string
	// activeRuns holds the runs of each task that have not ended, in the order of their
	// starts.
	activeRuns map[string][]*observedRun
	// lostUntil holds, for each task whose run was lost with its worker's incarnation,
	// when that run would have ended.
	lostUntil map[string]time.Time
	// lastDone holds the last run of each task with the outcome done.
	lastDone map[string]observedRun
	// failures counts the failed runs of each task.
	failures map[string]int
	// submissions counts the requests that were sent for each job.
	submissions map[string]int
	started     map[string]bool
	refused     map[string]bool
	// evacuatedSince holds the start of each active evacuation by data centre.
	evacuatedSince map[string]time.Time
	// storeCutUntil holds, by worker, when its agent was last cut off from the store by
	// itself. Until contactTime after that it need not know of an evacuation.
	storeCutUntil map[string]time.Time
	violations    []string
	// repeated lists runs that started after a run of the same task had ended as done.
	// A best-effort job may cause them.
	repeated []string
	counts   map[string]int
	// abortedRequests describes each request whose connection closed without a complete
	// answer.
	abortedRequests []string
}

// observedRun is a run as reported by its worker.
type observedRun struct {
	incarnation emulator.Incarnation
	number      int
	startedAt   time.Time
	// overlapped reports whether another run of the task started before this one ended.
	overlapped bool
	// acknowledged reports whether the agent has acknowledged the end.
	acknowledged bool
}

func (r *observedRun) String() string {
	return fmt.Sprintf("run %d at %s (%s, born %d)", r.number, r.incarnation.Worker, r.incarnation.ID, r.incarnation.Born)
}

func newChecker() *checker {
	return &checker{
		dataCentres:    make(map[string]string),
		activeRuns:     make(map[string][]*observedRun),
		lostUntil:      make(map[string]time.Time),
		lastDone:       make(map[string]observedRun),
		failures:       make(map[string]int),
		submissions:    make(map[string]int),
		started:        make(map[string]bool),
		refused:        make(map[string]bool),
		evacuatedSince: make(map[string]time.Time),
		storeCutUntil:  make(map[string]time.Time),
		counts:         make(map[string]int),
	}
}

func (c *checker) setDataCentre(worker, dc string) { c.dataCentres[worker] = dc }

// taskResult returns the duration of a task's runs and whether they fail. Without
// fixedWork the duration is 20 to 320 ms, determined by the task's name, and the tasks of
// one in 200 jobs always fail.
func (c *checker) taskResult(task string) (time.Duration, bool) {
	if fixed := time.Duration(c.fixedWork.Load()); fixed > 0 {
		return fixed, false
	}
	taskHash := fnv.New32a()
	_, _ = io.WriteString(taskHash, task)
	job, _, _ := strings.Cut(task, ".")
	jobHash := fnv.New32a()
	_, _ = io.WriteString(jobHash, job)
	return time.Duration(20+taskHash.Sum32()%300) * time.Millisecond, jobHash.Sum32()%200 == 0
}

func (c *checker) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RunStarted implements emulator.Observer.
func (c *checker) RunStarted(inc emulator.Incarnation, task string, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	job, _, _ := strings.Cut(task, ".")
	r := &observedRun{incarnation: inc, number: run, startedAt: now}
	for _, other := range c.activeRuns[task] {
		other.overlapped = true
		c.recordViolation("TWICE: %s %s starts %s after %s, which is still active", task, r, now.Sub(other.startedAt), other)
	}
	c.activeRuns[task] = append(c.activeRuns[task], r)
	if done, ok := c.lastDone[task]; ok && c.submissions[job] == 1 {
		c.recordRepeat(task, r, &done)
	}
	if until, ok := c.lostUntil[task]; ok && now.Before(until) {
		c.counts["start before the expected end of a lost run"]++
	}
	c.started[job] = true
	if c.refused[job] {
		c.recordViolation("REFUSED: %s run %d starts after its job was refused", task, run)
	}
	since, evacuated := c.evacuatedSince[c.dataCentres[inc.Worker]]
	if evacuated && time.Since(since) > evacuationDelay && time.Since(c.storeCutUntil[inc.Worker]) > contactTime {
		c.recordViolation("EVACUATED: %s run %d starts in %s", task, run, c.dataCentres[inc.Worker])
	}
}

// recordRepeat records a run that starts after another run of its task has ended as
// done, although the caller submitted the job only once. If the agent has not
// acknowledged that end, possibly no process knows of it, and the run is only counted.
func (c *checker) recordRepeat(task string, r, done *observedRun) {
	if !done.acknowledged {
		c.counts["start after an unacknowledged end"]++
		return
	}
	c.counts["start after an acknowledged end"]++
	c.repeated = append(c.repeated, fmt.Sprintf("AGAIN: %s %s starts although %s, which started %s before, has ended as done and was acknowledged; its caller submitted the job once",
		task, r, done, r.startedAt.Sub(done.startedAt)))
}

// RunEnded implements emulator.Observer.
func (c *checker) RunEnded(inc emulator.Incarnation, task string, run int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.activeRuns[task], func(r *observedRun) bool { return r.incarnation == inc && r.number == run })
	if i < 0 {
		c.recordViolation("ENDED: %s run %d ends at %s but was not active", task, run, inc.Worker)
		return
	}
	r := c.activeRuns[task][i]
	c.activeRuns[task] = slices.Delete(c.activeRuns[task], i, i+1)
	if r.overlapped {
		c.recordViolation("TWICE: %s %s ended %s after %s", task, r, reason, time.Since(r.startedAt))
	}
	switch reason {
	case "done":
		c.lastDone[task] = *r
	case "failed":
		c.failures[task]++
	case emulator.RunLost:
		duration, _ := c.taskResult(task)
		c.lostUntil[task] = r.startedAt.Add(duration)
	}
}

// RunEndAcknowledged implements emulator.Observer.
func (c *checker) RunEndAcknowledged(inc emulator.Incarnation, task string, run int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if done, ok := c.lastDone[task]; ok && reason == "done" && done.incarnation == inc && done.number == run {
		done.acknowledged = true
		c.lastDone[task] = done
	}
}

// count counts an outcome of a job.
func (c *checker) count(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}

// recordAborted records a request whose connection closed without a complete answer.
func (c *checker) recordAborted(front, id string, startedAt time.Time, conn httptrace.GotConnInfo, err error) {
	c.count("aborted")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortedRequests = append(c.abortedRequests, fmt.Sprintf("%s %s at %s after %s (connection reused: %t, idle before for %s): %v",
		time.Now().Format(time.RFC3339Nano), id, front, time.Since(startedAt), conn.Reused, conn.IdleTime, err))
}

// recordSubmission records that a caller sends a job.
func (c *checker) recordSubmission(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submissions[job]++
}

// recordRefusal records that the first submission of a job was refused.
func (c *checker) recordRefusal(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[job] = true
	if c.started[job] {
		c.recordViolation("REFUSED: %s was refused after one of its tasks had started", job)
	}
}

// checkFailed checks an answer that reports a job as failed: a task of it must have had
// maxAttempts failed runs.
func (c *checker) checkFailed(job string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range tasks {
		if c.failures[fmt.Sprintf("%s.0.0.%d", job, i)] >= maxAttempts {
			return
		}
	}
	c.recordViolation("LOST: %s is reported as failed, but no task has had that many failed runs", job)
}

func (c *checker) setEvacuated(dc string, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if active {
		c.evacuatedSince[dc] = time.Now()
	} else {
		delete(c.evacuatedSince, dc)
	}
}

// setStoreCut records until when the agent of a worker is cut off from the store.
func (c *checker) setStoreCut(worker string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeCutUntil[worker] = until
}

// submit submits a job as a caller would: after a broken connection it resends the job
// to the next front. It returns the outcome of the job.
func (c *checker) submit(client *http.Client, fronts []string, firstFront int, id string, tasks int) string {
	estimate := 170 * time.Millisecond
	if fixed := time.Duration(c.fixedWork.Load()); fixed > 0 {
		estimate = fixed
	}
	body, err := json.Marshal(map[string]any{
		"best_effort": true, "spec": "spec",
		"steps": []map[string]any{{"count": tasks, "cpu": taskCPU(id), "mem_mb": 64, "estimate_ms": estimate.Milliseconds()}},
	})
	if err != nil {
		panic(err) // The map above can always be encoded.
	}
	deadline := time.Now().Add(callerTimeout)
	for attempt := 0; ; attempt++ {
		outcome, mayResend := c.submitOnce(client, fronts[(firstFront+attempt)%len(fronts)], id, body, time.Until(deadline))
		if outcome == "refused" && attempt == 0 {
			// A second entry's refusal covers its own attempt only: the first may have run.
			c.recordRefusal(id)
		}
		if outcome == "failed" {
			c.checkFailed(id, tasks)
		}
		if !mayResend || time.Until(deadline) < resendDelay {
			c.count(outcome)
			return outcome
		}
		time.Sleep(resendDelay)
	}
}

// submitOnce sends a job once. It returns the outcome and whether the caller may resend
// the job.
func (c *checker) submitOnce(client *http.Client, front, id string, body []byte, timeout time.Duration) (string, bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+front+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // The address is one of this test's.
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	startedAt := time.Now()
	var conn httptrace.GotConnInfo
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info
			c.recordSubmission(id)
		},
	}))
	resp, err := client.Do(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "broken", true
	}
	if err != nil {
		c.recordAborted(front, id, startedAt, conn, err)
		return "broken", true
	}
	defer resp.Body.Close()
	var state struct {
		State string `json:"state"`
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.recordAborted(front, id, startedAt, conn, err)
		return "broken", true
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(raw, &state); err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.recordViolation("ANSWER: %s got %q", id, raw)
			return "malformed", false
		}
		return state.State, false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "refused", false
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "unsettled", true
	}
	return fmt.Sprintf("status %d", resp.StatusCode), false
}
