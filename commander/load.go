package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/loader"
	"github.com/pomeloferry/pomeloferry/publisher"
	"github.com/pomeloferry/pomeloferry/worker"
)

// slowFactor is the factor by which a Slow event increases an upstream's run times.
const slowFactor = 5

type loadCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the deployment."`
	Workload string `required:"" type:"existingfile" help:"Workload file."`
	Out      string `help:"File to write the report to, as JSON."`
	Plot     string `help:"File to draw the work completed to, as SVG or PNG."`
	Author   string `default:"load" help:"Author of the workload's changes of data centres."`
	Approver string `help:"Approver of these changes."`
	Key      string `type:"existingfile" help:"The approver's private key."`
	Load     int    `help:"Offered load in percent, in place of the workload's."`
	Seed     uint64 `help:"Seed, in place of the workload's."`
}

// Run implements the command.
func (c *loadCommand) Run(env *environment) error {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return err
	}
	w, err := loader.LoadWorkload(c.Workload)
	if err != nil {
		return err
	}
	if c.Load > 0 {
		w.LoadPercent = c.Load
	}
	if c.Seed > 0 {
		w.Seed = c.Seed
	}
	cfg := loader.Config{
		Prefix:   fmt.Sprintf("load-%d", time.Now().UnixNano()),
		Operator: &loadOperator{env: env, command: c, settings: s},
	}
	for _, e := range s.Entries {
		cfg.Entries = append(cfg.Entries, e.Listen)
	}
	for _, a := range s.Agents {
		cfg.Agents = append(cfg.Agents, a.Listen)
	}
	l, err := loader.NewLoader(env.deps.Clock, cfg, w)
	if err != nil {
		return err
	}
	report, err := l.Run(env.ctx)
	if err != nil {
		return err
	}
	report.Print(env.out)
	return c.writeReport(report)
}

func (c *loadCommand) writeReport(report loader.Report) error {
	if c.Out != "" {
		f, err := os.Create(c.Out)
		if err != nil {
			return errors.Wrap(err, "report")
		}
		defer f.Close()
		if err := printJSON(f, report); err != nil {
			return errors.Wrap(err, c.Out)
		}
	}
	if c.Plot != "" {
		return report.Plot(c.Plot)
	}
	return nil
}

// loadOperator applies the events of a workload to a deployment.
type loadOperator struct {
	env      *environment
	command  *loadCommand
	settings configurer.Settings
}

// Apply implements loader.Operator.
func (o *loadOperator) Apply(ctx context.Context, e loader.Event) error {
	switch e.Kind {
	case loader.TakeOut:
		return o.changeDataCentre(ctx, e.Name, approver.Out)
	case loader.BringBack:
		return o.changeDataCentre(ctx, e.Name, approver.In)
	case loader.FailAll:
		return o.setBehaviour(ctx, e.Name, worker.Behaviour{FailAll: true})
	case loader.RefuseAll:
		return o.setBehaviour(ctx, e.Name, worker.Behaviour{RefuseAll: true})
	case loader.Slow:
		return o.setBehaviour(ctx, e.Name, worker.Behaviour{Slowdown: slowFactor})
	case loader.Recover:
		return o.setBehaviour(ctx, e.Name, worker.Behaviour{})
	}
	return errors.Errorf("Kind: found %q, allowed TakeOut, BringBack, FailAll, RefuseAll, Slow or Recover", e.Kind)
}

func (o *loadOperator) changeDataCentre(ctx context.Context, name string, state approver.DataCentreState) error {
	flags := storeFlags{Settings: o.command.Settings}
	p, err := flags.publisher(o.env)
	if err != nil {
		return err
	}
	return publishChange(ctx, p, change{
		name:     name,
		state:    state,
		author:   o.command.Author,
		approver: o.command.Approver,
		key:      o.command.Key,
	})
}

func publishChange(ctx context.Context, p *publisher.Publisher, c change) error {
	s, err := c.sign(ctx, p)
	if err != nil {
		return err
	}
	return p.Publish(ctx, s)
}

func (o *loadOperator) setBehaviour(ctx context.Context, id string, b worker.Behaviour) error {
	u, err := o.settings.Upstream(id)
	if err != nil {
		return err
	}
	body, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode behaviour")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Listen+"/behaviour", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "behaviour")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "behaviour")
	}
	return resp.Body.Close()
}
