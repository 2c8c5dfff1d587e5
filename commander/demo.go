package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/launcher"
	"github.com/pomeloferry/pomeloferry/submitter"
	"github.com/pomeloferry/pomeloferry/worker"
)

const (
	demoService  = "price-report"
	demoTeam     = "wholesale"
	demoDeadline = 20 * time.Second
	// demoReadyTimeout is the timeout of waiting for the first job to complete.
	demoReadyTimeout = 5 * time.Second
)

type demoCommand struct{}

// Run implements the command.
func (c *demoCommand) Run(env *environment) error {
	env.deps.Log.Logger.SetLevel(logrus.WarnLevel)
	bundle := demoBundle()
	d, err := launcher.NewDeployment(env.deps, launcher.Config{
		Entries:     3,
		Workers:     11,
		Slots:       8,
		Connections: 64,
		DataCentres: []string{"ost-wien", "ost-graz", "ost-linz"},
		Service:     demoService,
		Bundle:      bundle,
	})
	if err != nil {
		return err
	}
	defer d.Stop()
	var addrs []string
	for _, e := range d.Entries {
		addrs = append(addrs, e.Addr())
	}
	show := &demo{env: env, client: submitter.NewClient(env.deps.Clock, addrs, 16)}
	fmt.Fprintln(env.out, "3 entries, 11 agents, 11 upstreams with 8 slots, 1 store; all on loopback")
	if err := show.awaitReady(env.ctx); err != nil {
		return err
	}
	for i, n := range []int{1, 30, 300} {
		if err := show.submitTwice(env.ctx, i, fmt.Sprintf("job-of-%d", n), n); err != nil {
			return err
		}
	}
	return show.checkDoubleStarts(d)
}

func demoBundle() approver.Bundle {
	return approver.Bundle{
		Version: 1,
		Author:  "author",
		Services: []approver.Service{{
			Name: demoService, TaskLimit: approver.MaxTaskLimit,
			DeadlineLimitMillis: approver.MaxDeadlineMillis, ExpectedRunMillis: 300,
		}},
		DataCentres: []approver.DataCentre{
			{Name: "ost-wien", State: approver.In},
			{Name: "ost-graz", State: approver.In},
			{Name: "ost-linz", State: approver.In},
		},
		Teams:  []approver.Team{{Name: demoTeam, TaskLimit: 100_000}},
		Limits: approver.Limits{WaitingTaskLimit: 100_000, EjectPercent: 30, RetryPercent: 10},
	}
}

// demo submits jobs and prints the answers.
type demo struct {
	env    *environment
	client *submitter.Client
}

// awaitReady submits jobs of one task until one completes.
func (d *demo) awaitReady(ctx context.Context) error {
	startedAt := d.env.deps.Clock.Now()
	for i := 0; ; i++ {
		s, _ := d.submission(fmt.Sprintf("probe-%d", i), 1)
		a, err := d.client.SubmitOnce(ctx, i, s)
		if err == nil && a.State == courier.Complete {
			return nil
		}
		if d.env.deps.Clock.Since(startedAt) > demoReadyTimeout {
			return fmt.Errorf("the deployment is not ready after %s: %v %+v", demoReadyTimeout, err, a)
		}
		d.env.deps.Clock.Sleep(100 * time.Millisecond)
	}
}

// submission returns a job of n tasks and the run time of the longest one.
func (d *demo) submission(key string, n int) (courier.Submission, time.Duration) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	s := courier.Submission{
		Team:     demoTeam,
		Key:      key,
		Service:  demoService,
		Attempt:  1,
		Deadline: d.env.deps.Clock.Now().Add(demoDeadline).UTC(),
	}
	longest := 0
	for i := range n {
		p := worker.Payload{Millis: 50 + rng.IntN(250), Echo: fmt.Sprintf("quote-%d", i)}
		longest = max(longest, p.Millis)
		raw, _ := json.Marshal(p)
		s.Tasks = append(s.Tasks, courier.Task{Payload: raw, DeclaredMillis: p.Millis})
	}
	return s, time.Duration(longest) * time.Millisecond
}

// submitTwice submits a job, submits it again through another entry, and prints both
// answers.
func (d *demo) submitTwice(ctx context.Context, entry int, key string, n int) error {
	s, longest := d.submission(key, n)
	sentAt := d.env.deps.Clock.Now()
	a, err := d.client.SubmitOnce(ctx, entry, s)
	if err != nil {
		return err
	}
	took := d.env.deps.Clock.Since(sentAt)
	fmt.Fprintf(d.env.out, "%-12s %-8s %4d results from %s, bundle %d, in %v (longest task %v)\n",
		key, a.State, len(a.Results), a.Entry, a.BundleVersion, took.Round(time.Millisecond), longest)
	s.Attempt = 2
	secondAnswer, err := d.client.SubmitOnce(ctx, entry+1, s)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.env.out, "%-12s %-8s %4d results: the same answer through another entry\n",
		"  again", secondAnswer.State, len(secondAnswer.Results))
	return nil
}

// checkDoubleStarts prints how many tasks have started and how many of them more than
// once, which is an error.
func (d *demo) checkDoubleStarts(deployment *launcher.Deployment) error {
	started, startedTwice := 0, 0
	for _, w := range deployment.Workers {
		for _, n := range w.Starts() {
			started++
			if n > 1 {
				startedTwice++
			}
		}
	}
	reads, writes := deployment.Store.Calls()
	fmt.Fprintf(d.env.out, "%d tasks started, %d of them twice; the store served %d reads and %d writes\n",
		started, startedTwice, reads, writes)
	if startedTwice > 0 {
		return fmt.Errorf("%d tasks started twice", startedTwice)
	}
	return nil
}
