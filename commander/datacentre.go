package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/publisher"
)

type dataCentreCommand struct {
	TakeOut   takeOutCommand     `cmd:"" help:"Let nothing start in a data centre any more."`
	BringBack bringBackCommand   `cmd:"" help:"Let tasks start in a data centre again."`
	List      dataCentresCommand `cmd:"" help:"List the data centres and their states."`
}

// changeFlags describe a change of a data centre's state and its approval.
type changeFlags struct {
	storeFlags
	Author   string        `required:"" help:"Who makes the change."`
	Approver string        `required:"" help:"Who approves it, as in the settings."`
	Key      string        `required:"" type:"existingfile" help:"The approver's private key."`
	Note     string        `help:"Why the change is made."`
	Wait     time.Duration `default:"20s" help:"How long to follow the roll-out."`
	Name     string        `arg:"" help:"Data centre."`
}

func (c changeFlags) change(env *environment, state approver.DataCentreState) error {
	p, err := c.publisher(env)
	if err != nil {
		return err
	}
	s, err := change{
		name:     c.Name,
		state:    state,
		author:   c.Author,
		note:     c.Note,
		approver: c.Approver,
		key:      c.Key,
	}.sign(env.ctx, p)
	if err != nil {
		return err
	}
	return rollOut(env, p, s, c.Wait)
}

// change is a new state of a data centre with its author, note and approver. key is the
// path of the approver's private key.
type change struct {
	name     string
	state    approver.DataCentreState
	author   string
	note     string
	approver string
	key      string
}

// sign applies the change to the bundle in the store and returns the signed successor.
func (c change) sign(ctx context.Context, p *publisher.Publisher) (approver.SignedBundle, error) {
	key, err := readKey(c.key)
	if err != nil {
		return approver.SignedBundle{}, err
	}
	_, b, err := p.Current(ctx)
	if err != nil {
		return approver.SignedBundle{}, err
	}
	next, err := b.WithDataCentre(c.name, c.state)
	if err != nil {
		return approver.SignedBundle{}, err
	}
	return approver.Sign(next.WithAuthor(c.author, c.note), c.approver, key)
}

type takeOutCommand struct{ changeFlags }

// Run implements the command.
func (c *takeOutCommand) Run(env *environment) error { return c.change(env, approver.Out) }

type bringBackCommand struct{ changeFlags }

// Run implements the command.
func (c *bringBackCommand) Run(env *environment) error { return c.change(env, approver.In) }

type dataCentresCommand struct{ storeFlags }

// Run implements the command.
func (c *dataCentresCommand) Run(env *environment) error {
	b, err := c.current(env)
	if err != nil {
		return err
	}
	for _, d := range b.DataCentres {
		fmt.Fprintf(env.out, "%s\t%s\tversion %d\n", d.Name, d.State, b.Version)
	}
	return nil
}
