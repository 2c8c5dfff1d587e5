// Package loader is an open-loop load client: it submits jobs at random times derived
// from a seed, whether or not earlier jobs have been answered. It measures the ratio
// of the response time to the ideal, the answers including refusals, and the work
// completed, and reads the processes' metrics. It sends to loopback addresses only,
// and ends by itself.
package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/submitter"
	"github.com/pomeloferry/pomeloferry/worker"
)

const (
	// clientConnections is the maximum number of idle connections to each entry.
	clientConnections = 256
	// resubmitDelay is the delay after which a job is submitted a second time.
	resubmitDelay = 100 * time.Millisecond
	// maxSubmissions is the maximum number of submissions of a job that is refused.
	maxSubmissions = 20
)

// Operator changes the deployment during an experiment.
type Operator interface {
	// Apply applies an event.
	Apply(ctx context.Context, e Event) error
}

// Config describes the deployment under load.
type Config struct {
	Entries []string
	Agents  []string
	// Prefix is the prefix of all jobs' keys. It differs between experiments, so that
	// their jobs do not share keys.
	Prefix   string
	Operator Operator
}

// Loader runs one experiment.
type Loader struct {
	clock     clockwork.Clock
	cfg       Config
	workload  Workload
	client    *submitter.Client
	startedAt time.Time
	jobs      sync.WaitGroup
	results   *results
}

// NewLoader returns a loader. It returns an Invalid error if an address is not on
// loopback.
func NewLoader(clock clockwork.Clock, cfg Config, w Workload) (*Loader, error) {
	for _, addr := range append(append([]string{}, cfg.Entries...), cfg.Agents...) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return nil, &Error{Op: "start", Kind: Invalid, Err: errors.Errorf("%s: found %q, allowed a loopback address", "Listen", addr)}
		}
	}
	return &Loader{
		clock:    clock,
		cfg:      cfg,
		workload: w,
		client:   submitter.NewClient(clock, cfg.Entries, clientConnections),
		results:  newResults(),
	}, nil
}

// Run runs the experiment and returns the measurements.
func (l *Loader) Run(ctx context.Context) (Report, error) {
	before, err := readMetrics(ctx, l.cfg)
	if err != nil {
		return Report{}, err
	}
	l.startedAt = l.clock.Now()
	var background sync.WaitGroup
	for _, e := range l.workload.Events {
		background.Go(func() { l.applyEvent(ctx, e) })
	}
	for i, v := range l.workload.Waves {
		background.Go(func() { l.submitWave(ctx, i, v) })
	}
	l.submitArrivals(ctx)
	background.Wait()
	l.jobs.Wait()
	took := l.clock.Since(l.startedAt)
	after, err := readMetrics(ctx, l.cfg)
	if err != nil {
		return Report{}, err
	}
	return l.results.buildReport(l.workload, took, before, after), ctx.Err()
}

// submitArrivals submits jobs with the arrival times of a Poisson process.
func (l *Loader) submitArrivals(ctx context.Context) {
	rate := l.workload.jobsPerSecond()
	if rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(l.workload.Seed, 1))
	end := l.startedAt.Add(time.Duration(l.workload.DurationMillis) * time.Millisecond)
	next := l.startedAt
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) || ctx.Err() != nil {
			return
		}
		j := l.newJob(fmt.Sprintf("%s-%d", l.cfg.Prefix, i), i, rng)
		withCopy := rng.IntN(100) < l.workload.ResubmitPercent
		l.clock.Sleep(next.Sub(l.clock.Now()))
		j.submission.Deadline = l.deadline()
		l.jobs.Go(func() { l.submitJob(ctx, j) })
		if withCopy {
			l.jobs.Go(func() { l.submitCopy(ctx, j) })
		}
	}
}

// job is a submission with the properties that its measurement needs.
type job struct {
	submission courier.Submission
	entry      int
	longest    time.Duration
	work       time.Duration
}

func (l *Loader) newJob(key string, entry int, rng *rand.Rand) job {
	j := job{entry: entry, submission: courier.Submission{
		Team: l.workload.Team, Key: key, Service: l.workload.Service, Attempt: 1, Detached: true,
	}}
	for i := range l.workload.drawJobSize(rng) {
		p := worker.Payload{Millis: l.workload.drawRunMillis(rng), Echo: fmt.Sprintf("%s#%d", key, i)}
		raw, _ := json.Marshal(p)
		j.submission.Tasks = append(j.submission.Tasks, courier.Task{Payload: raw})
		d := time.Duration(p.Millis) * time.Millisecond
		j.longest = max(j.longest, d)
		j.work += d
	}
	return j
}

func (l *Loader) deadline() time.Time {
	return l.clock.Now().Add(time.Duration(l.workload.DeadlineMillis) * time.Millisecond).UTC()
}

// submitJob submits a job, and if the workload asks for it, submits it again after a
// refusal at the time that the answer gives.
func (l *Loader) submitJob(ctx context.Context, j job) {
	for range maxSubmissions {
		sentAt := l.clock.Now()
		a, err := l.client.SubmitOnce(ctx, j.entry, j.submission)
		now := l.clock.Now()
		l.results.recordAnswer(j, a, err, now.Sub(sentAt), now.Sub(l.startedAt))
		retryAt := now.Add(a.RetryAfter)
		if err != nil || a.State != courier.NotRun || !l.workload.FollowRetryAfter || retryAt.After(j.submission.Deadline) {
			return
		}
		l.clock.Sleep(a.RetryAfter)
		j.submission.Attempt++
	}
}

// submitCopy submits a copy of a job through another entry while the job runs. The copy
// has to get the same answer; it is counted separately.
func (l *Loader) submitCopy(ctx context.Context, j job) {
	l.clock.Sleep(resubmitDelay)
	j.submission.Attempt = 2
	a, err := l.client.SubmitOnce(ctx, j.entry+1, j.submission)
	l.results.recordCopy(a, err)
}

func (l *Loader) submitWave(ctx context.Context, n int, v Wave) {
	rng := rand.New(rand.NewPCG(l.workload.Seed, uint64(n)+100))
	l.clock.Sleep(time.Duration(v.AtMillis) * time.Millisecond)
	for i := range v.Jobs {
		j := l.newJob(fmt.Sprintf("%s-wave%d-%d", l.cfg.Prefix, n, i), i, rng)
		j.submission.Deadline = l.deadline()
		l.jobs.Go(func() { l.submitJob(ctx, j) })
		if v.Cancel {
			l.jobs.Go(func() {
				l.clock.Sleep(time.Duration(v.CancelAfterMillis) * time.Millisecond)
				_, err := l.client.Cancel(ctx, j.entry+1, j.submission.JobID())
				l.results.recordCancel(err)
			})
		}
	}
}

func (l *Loader) applyEvent(ctx context.Context, e Event) {
	l.clock.Sleep(time.Duration(e.AtMillis) * time.Millisecond)
	err := l.cfg.Operator.Apply(ctx, e)
	l.results.recordEvent(e, l.clock.Since(l.startedAt), err)
}
