package dispatcher

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomeloferry/pomeloferry/courier"
)

const (
	// minRunTimeSamples is the number of run times of a service that are needed before
	// they replace the estimate in the bundle.
	minRunTimeSamples = 20
	// runTimeWindow is the number of run times in one window. When a window is full,
	// the one before it is discarded.
	runTimeWindow = 2000
	// overrunShare is the share of jobs that may take longer than estimated.
	overrunShare = 0.02
	// maxRunMillis is the longest run time, in milliseconds, that the histograms
	// resolve. Longer ones are recorded as this.
	maxRunMillis  = 60_000
	runTimeDigits = 2
	// maxRetryAfter bounds the retry delay that a refused caller is given.
	maxRetryAfter = 60 * time.Second
	// minRetryAfter keeps refused callers from retrying at once.
	minRetryAfter = 50 * time.Millisecond
	// retryBurst is the number of retries that the budget can accumulate.
	retryBurst = 100
)

// admission estimates waiting times and enforces the quotas of teams.
type admission struct {
	// runTimes holds the recorded run times of each service.
	runTimes map[string]*runTimes
	// teamTasks counts the unfinished tasks of each team's jobs.
	teamTasks map[string]int
	// nextRetryAt is when the work of all callers that were refused so far is expected
	// to be done. The next refused caller is told to retry then or later, so that a
	// burst of refused jobs does not return as a burst.
	nextRetryAt time.Time
}

// runTimes holds the run times of a service in two windows: the one being filled, and
// the full one before it.
type runTimes struct {
	recent   *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newRunTimes() *runTimes {
	return &runTimes{recent: newRunHistogram(), previous: newRunHistogram()}
}

func newRunHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRunMillis, runTimeDigits)
}

func (t *runTimes) add(d time.Duration) {
	_ = t.recent.RecordValue(min(max(d.Milliseconds(), 1), maxRunMillis))
	if t.recent.TotalCount() >= runTimeWindow {
		t.previous, t.recent = t.recent, t.previous
		t.recent.Reset()
	}
}

// largerWindow returns the window with more run times.
func (t *runTimes) largerWindow() *hdrhistogram.Histogram {
	if t.previous.TotalCount() > t.recent.TotalCount() {
		return t.previous
	}
	return t.recent
}

// recordRunTime records the run time of a successful task.
func (m *admission) recordRunTime(service string, d time.Duration) {
	if m.runTimes == nil {
		m.runTimes = make(map[string]*runTimes)
	}
	t := m.runTimes[service]
	if t == nil {
		t = newRunTimes()
		m.runTimes[service] = t
	}
	t.add(d)
}

// learnedRunTimes returns the recorded run times of a service, or nil while there are
// fewer than minRunTimeSamples.
func (m *admission) learnedRunTimes(service string) *hdrhistogram.Histogram {
	t := m.runTimes[service]
	if t == nil || t.largerWindow().TotalCount() < minRunTimeSamples {
		return nil
	}
	return t.largerWindow()
}

// runTime returns the mean run time of a service's tasks: the recorded one, or the
// estimate in the bundle.
func (m *admission) runTime(d *Dispatcher, service string) time.Duration {
	if h := m.learnedRunTimes(service); h != nil {
		return time.Duration(h.Mean() * float64(time.Millisecond))
	}
	s, _ := d.bundle.Service(service)
	return time.Duration(s.ExpectedRunMillis) * time.Millisecond
}

// longestRunTime returns a run time that the longest of n tasks exceeds only in a share
// of overrunShare of the jobs. Without enough recorded run times it returns the
// estimate in the bundle.
func (m *admission) longestRunTime(d *Dispatcher, service string, n int) time.Duration {
	h := m.learnedRunTimes(service)
	if h == nil {
		return m.runTime(d, service)
	}
	q := 100 * (1 - overrunShare/float64(n))
	return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond
}

// likelyToMissDeadline reports whether a waiting task of j that starts now is more
// likely than not to miss the deadline. It uses the median of the recorded run times,
// and reports false without them.
func (d *Dispatcher) likelyToMissDeadline(j *job) bool {
	h := d.admission.learnedRunTimes(j.submission.Service)
	if h == nil {
		return false
	}
	median := time.Duration(h.ValueAtQuantile(50)) * time.Millisecond
	return d.clock.Now().Add(median).After(j.submission.Deadline)
}

// addTasks adds the tasks of j to the unfinished ones of its team.
func (m *admission) addTasks(j *job) {
	if m.teamTasks == nil {
		m.teamTasks = make(map[string]int)
	}
	m.teamTasks[j.submission.Team] += len(j.tasks)
}

// removeTasks removes the tasks of j from the unfinished ones of its team.
func (m *admission) removeTasks(j *job) {
	m.teamTasks[j.submission.Team] -= len(j.tasks)
	if m.teamTasks[j.submission.Team] <= 0 {
		delete(m.teamTasks, j.submission.Team)
	}
}

// check returns why r cannot be admitted now, and the delay after which to retry. The
// reason is empty if r can be admitted.
func (m *admission) check(d *Dispatcher, r Request) (courier.Reason, time.Duration) {
	s := r.Submission
	n := len(s.Tasks)
	if team, ok := d.bundle.Team(s.Team); !ok || m.teamTasks[s.Team]+n > team.TaskLimit {
		return courier.ReasonTeamQuota, m.retryAfter(d, n)
	}
	if d.queue.tasks+n > d.bundle.Limits.WaitingTaskLimit {
		return courier.ReasonOverload, m.retryAfter(d, n)
	}
	remaining := s.Deadline.Sub(d.clock.Now())
	if m.estimateWait(d, n)+m.longestRunTime(d, s.Service, n) > remaining {
		return courier.ReasonOverload, m.retryAfter(d, n)
	}
	return "", 0
}

// keptShare is the share, as a divisor, of the memory left for jobs that one of them may take.
// So a small job finds room while large ones are kept.
const keptShare = 4

// hasMemoryFor reports whether the payloads of a submission can be kept.
func (d *Dispatcher) hasMemoryFor(s courier.Submission) bool {
	return d.cfg.MaxKeptBytes == 0 || payloadBytes(s) <= (d.cfg.MaxKeptBytes-d.keptBytes)/keptShare
}

// slotShare estimates how many slots run tasks of this owner.
func (d *Dispatcher) slotShare() int {
	t := d.fleet.totals
	return max(1, t.tasks, t.slots/max(1, len(d.view)))
}

// estimateWait estimates the time until the last of n more tasks starts.
func (m *admission) estimateWait(d *Dispatcher, n int) time.Duration {
	excess := d.queue.tasks + n - d.fleet.totals.free
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess) * m.meanRunTime(d) / time.Duration(d.slotShare())
}

// meanRunTime returns the mean over the services of their mean run times.
func (m *admission) meanRunTime(d *Dispatcher) time.Duration {
	var sum time.Duration
	for _, s := range d.bundle.Services {
		sum += m.runTime(d, s.Name)
	}
	return sum / time.Duration(max(1, len(d.bundle.Services)))
}

// retryAfter returns the delay after which a refused job of n tasks should be sent
// again: when the present backlog and the jobs refused before it are expected to be
// done. Jitter of up to 20% is added.
func (m *admission) retryAfter(d *Dispatcher, n int) time.Duration {
	now := d.clock.Now()
	expectedRunTime := time.Duration(n) * m.meanRunTime(d) / time.Duration(d.slotShare())
	at := now.Add(m.estimateWait(d, 0))
	if m.nextRetryAt.After(at) {
		at = m.nextRetryAt
	}
	m.nextRetryAt = at.Add(expectedRunTime)
	if limit := now.Add(maxRetryAfter); m.nextRetryAt.After(limit) {
		m.nextRetryAt = limit
	}
	jitter := 1 + 0.2*d.rng.Float64()
	after := time.Duration(float64(at.Sub(now)) * jitter)
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// retryBudget limits retried starts to a share of first starts, so that retries cannot
// multiply the load of an outage.
type retryBudget struct {
	// tokens counts hundredths of a retry.
	tokens int
	// uncreditedStarts counts the first starts that have not added tokens yet.
	uncreditedStarts int
}

func (b *retryBudget) recordStart() { b.uncreditedStarts++ }

// spend removes one retry from the budget and reports whether there was one. Each first
// start adds percent hundredths of a retry.
func (b *retryBudget) spend(percent int) bool {
	b.tokens = min(b.tokens+b.uncreditedStarts*percent, retryBurst*100)
	b.uncreditedStarts = 0
	if b.tokens < 100 {
		return false
	}
	b.tokens -= 100
	return true
}
