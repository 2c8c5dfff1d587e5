// Package loader is an open-loop load client: jobs arrive at times drawn from
// a seed, whether or not earlier ones have been answered. It measures the
// response against the ideal, the truth of refusals and the work completed,
// and reads the processes' own counts. It sends to loopback addresses only,
// and stops by itself.
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
	// clientConnections bounds the idle connections to each entry.
	clientConnections = 256
	// resubmitDelay is the time until a job is sent a second time.
	resubmitDelay = 100 * time.Millisecond
	// maxReturns bounds how often a refused job comes back.
	maxReturns = 20
)

// Operator changes the deployment during an experiment.
type Operator interface {
	// Do carries out an event.
	Do(ctx context.Context, e Event) error
}

// Config describes where an experiment runs.
type Config struct {
	Entries []string
	Agents  []string
	// Prefix begins the keys of all jobs, so that runs do not meet.
	Prefix   string
	Operator Operator
}

// Loader runs one experiment.
type Loader struct {
	clock    clockwork.Clock
	cfg      Config
	workload Workload
	client   *submitter.Client
	began    time.Time
	jobs     sync.WaitGroup
	results  *results
}

// NewLoader returns a loader for loopback addresses.
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

// Run carries out the experiment and returns what was measured.
func (l *Loader) Run(ctx context.Context) (Report, error) {
	before, err := readProcesses(ctx, l.cfg)
	if err != nil {
		return Report{}, err
	}
	l.began = l.clock.Now()
	var side sync.WaitGroup
	for _, e := range l.workload.Events {
		side.Go(func() { l.event(ctx, e) })
	}
	for i, v := range l.workload.Waves {
		side.Go(func() { l.wave(ctx, i, v) })
	}
	l.arrivals(ctx)
	side.Wait()
	l.jobs.Wait()
	took := l.clock.Since(l.began)
	after, err := readProcesses(ctx, l.cfg)
	if err != nil {
		return Report{}, err
	}
	return l.results.report(l.workload, took, before, after), ctx.Err()
}

// arrivals sends jobs at the times of a Poisson process.
func (l *Loader) arrivals(ctx context.Context) {
	rate := l.workload.jobsPerSecond()
	if rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(l.workload.Seed, 1))
	end := l.began.Add(time.Duration(l.workload.DurationMillis) * time.Millisecond)
	next := l.began
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) || ctx.Err() != nil {
			return
		}
		j := l.newJob(fmt.Sprintf("%s-%d", l.cfg.Prefix, i), i, rng)
		again := rng.IntN(100) < l.workload.ResubmitPercent
		l.clock.Sleep(next.Sub(l.clock.Now()))
		j.sub.Deadline = l.deadline()
		l.jobs.Go(func() { l.run(ctx, j) })
		if again {
			l.jobs.Go(func() { l.resubmit(ctx, j) })
		}
	}
}

// job is one job with what the loader knows of it.
type job struct {
	sub     courier.Submission
	entry   int
	longest time.Duration
	work    time.Duration
}

func (l *Loader) newJob(key string, entry int, rng *rand.Rand) job {
	j := job{entry: entry, sub: courier.Submission{
		Team: l.workload.Team, Key: key, Service: l.workload.Service, Attempt: 1, Detached: true,
	}}
	for i := range l.workload.jobSize(rng) {
		p := worker.Payload{Millis: l.workload.runMillis(rng), Echo: fmt.Sprintf("%s#%d", key, i)}
		raw, _ := json.Marshal(p)
		j.sub.Tasks = append(j.sub.Tasks, courier.Task{Payload: raw})
		d := time.Duration(p.Millis) * time.Millisecond
		j.longest = max(j.longest, d)
		j.work += d
	}
	return j
}

func (l *Loader) deadline() time.Time {
	return l.clock.Now().Add(time.Duration(l.workload.DeadlineMillis) * time.Millisecond).UTC()
}

// run sends a job, and again when it is refused and told when to come back.
func (l *Loader) run(ctx context.Context, j job) {
	for range maxReturns {
		began := l.clock.Now()
		a, err := l.client.Once(ctx, j.entry, j.sub)
		now := l.clock.Now()
		l.results.note(j, a, err, now.Sub(began), now.Sub(l.began))
		back := now.Add(a.RetryAfter)
		if err != nil || a.State != courier.NotRun || !l.workload.FollowRetryAfter || back.After(j.sub.Deadline) {
			return
		}
		l.clock.Sleep(a.RetryAfter)
		j.sub.Attempt++
	}
}

// resubmit sends a copy of a job through another entry while it runs. The copy
// has to get the same answer; it is counted apart.
func (l *Loader) resubmit(ctx context.Context, j job) {
	l.clock.Sleep(resubmitDelay)
	j.sub.Attempt = 2
	a, err := l.client.Once(ctx, j.entry+1, j.sub)
	l.results.noteCopy(a, err)
}

func (l *Loader) wave(ctx context.Context, n int, v Wave) {
	rng := rand.New(rand.NewPCG(l.workload.Seed, uint64(n)+100))
	l.clock.Sleep(time.Duration(v.AtMillis) * time.Millisecond)
	for i := range v.Jobs {
		j := l.newJob(fmt.Sprintf("%s-wave%d-%d", l.cfg.Prefix, n, i), i, rng)
		j.sub.Deadline = l.deadline()
		l.jobs.Go(func() { l.run(ctx, j) })
		if v.Cancel {
			l.jobs.Go(func() {
				l.clock.Sleep(time.Duration(v.CancelAfterMillis) * time.Millisecond)
				_, err := l.client.Cancel(ctx, j.entry+1, j.sub.JobID())
				l.results.noteCancel(err)
			})
		}
	}
}

func (l *Loader) event(ctx context.Context, e Event) {
	l.clock.Sleep(time.Duration(e.AtMillis) * time.Millisecond)
	err := l.cfg.Operator.Do(ctx, e)
	l.results.noteEvent(e, l.clock.Since(l.began), err)
}
