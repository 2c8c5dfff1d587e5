package commander

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/checker"
	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/publisher"
)

const (
	// publishTimeout is the timeout of writing a bundle to the store.
	publishTimeout = 30 * time.Second
	// progressInterval is the interval between two lines of progress.
	progressInterval = 500 * time.Millisecond
	keyFileMode      = 0o600
)

type bundleCommand struct {
	Key     keyCommand     `cmd:"" help:"Make a key to approve bundles with; prints the public key."`
	Check   checkCommand   `cmd:"" help:"Check a bundle."`
	Sign    signCommand    `cmd:"" help:"Approve a bundle written by someone else."`
	RollOut rollOutCommand `cmd:"" help:"Publish a signed bundle and follow it until it is in force."`
	Show    showCommand    `cmd:"" help:"Print the bundle in the store."`
	History historyCommand `cmd:"" help:"List all published bundles."`
	Diff    diffCommand    `cmd:"" help:"Print the lines that differ between two versions."`
}

type keyCommand struct {
	File string `arg:"" help:"File to write the private key to."`
}

// Run implements the command.
func (c *keyCommand) Run(env *environment) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	text := base64.StdEncoding.EncodeToString(private.Seed()) + "\n"
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return errors.Wrap(err, "write key")
	}
	defer f.Close()
	if _, err := f.WriteString(text); err != nil {
		return errors.Wrap(err, "write key")
	}
	_, err = fmt.Fprintln(env.out, base64.StdEncoding.EncodeToString(public))
	return err
}

func readKey(path string) (ed25519.PrivateKey, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s: no Ed25519 key of %d bytes in base64", path, ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func readBundle(path string) (approver.Bundle, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return approver.Bundle{}, errors.Wrap(err, "bundle")
	}
	b, err := approver.Parse(raw)
	if err != nil {
		return b, errors.Wrap(err, path)
	}
	return b, nil
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Bundle to check."`
}

// Run implements the command.
func (c *checkCommand) Run(env *environment) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "version %d by %s is well formed\n", b.Version, b.Author)
	return err
}

type signCommand struct {
	Approver string `required:"" help:"Name of the approver, as in the settings."`
	Key      string `required:"" type:"existingfile" help:"The approver's private key."`
	File     string `arg:"" type:"existingfile" help:"Bundle to approve."`
}

// Run implements the command.
func (c *signCommand) Run(env *environment) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	s, err := approver.Sign(b, c.Approver, key)
	if err != nil {
		return err
	}
	return printJSON(env.out, s)
}

// storeFlags names the settings, which hold the address of the store and the approvers.
type storeFlags struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the deployment."`
}

func (c storeFlags) publisher(env *environment) (*publisher.Publisher, error) {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return nil, err
	}
	return publisher.NewPublisher(env.deps.Clock, keeper.NewClient(s.Store), s.Trust), nil
}

type rollOutCommand struct {
	storeFlags
	Wait time.Duration `default:"20s" help:"How long to follow the roll-out."`
	File string        `arg:"" type:"existingfile" help:"Signed bundle."`
}

// Run implements the command.
func (c *rollOutCommand) Run(env *environment) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "signed bundle")
	}
	var s approver.SignedBundle
	if err := json.Unmarshal(raw, &s); err != nil {
		return errors.Wrap(err, c.File)
	}
	p, err := c.publisher(env)
	if err != nil {
		return err
	}
	return rollOut(env, p, s, c.Wait)
}

// rollOut publishes s and prints its progress until it is in force in every process. It
// returns an error if that takes longer than wait.
func rollOut(env *environment, p *publisher.Publisher, s approver.SignedBundle, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(env.ctx, publishTimeout)
	defer cancel()
	if err := p.Publish(ctx, s); err != nil {
		return err
	}
	b, err := approver.Parse(s.Bundle)
	if err != nil {
		return err
	}
	startedAt := env.deps.Clock.Now()
	for {
		g, err := p.Progress(env.ctx, b.Version)
		if err != nil {
			fmt.Fprintln(env.out, "progress unknown:", err)
		} else {
			fmt.Fprintf(env.out, "%5.1fs %s\n", env.deps.Clock.Since(startedAt).Seconds(), g)
			if g.Done() {
				return nil
			}
		}
		if env.ctx.Err() != nil || env.deps.Clock.Since(startedAt) > wait {
			return errors.Errorf("version %d is written but not yet known to be in force everywhere", b.Version)
		}
		env.deps.Clock.Sleep(progressInterval)
	}
}

// current returns the bundle in the store.
func (c storeFlags) current(env *environment) (approver.Bundle, error) {
	p, err := c.publisher(env)
	if err != nil {
		return approver.Bundle{}, err
	}
	_, b, err := p.Current(env.ctx)
	return b, err
}

type showCommand struct{ storeFlags }

// Run implements the command.
func (c *showCommand) Run(env *environment) error {
	b, err := c.current(env)
	if err != nil {
		return err
	}
	return printJSON(env.out, b)
}

type historyCommand struct{ storeFlags }

// Run implements the command.
func (c *historyCommand) Run(env *environment) error {
	p, err := c.publisher(env)
	if err != nil {
		return err
	}
	list, err := p.History(env.ctx)
	if err != nil {
		return err
	}
	for _, s := range list {
		var b approver.Bundle
		if err := json.Unmarshal(s.Bundle, &b); err != nil {
			return err
		}
		fmt.Fprintf(env.out, "%d\tby %s\tapproved by %s\t%s\t%s\n", b.Version, b.Author, s.Approver, s.Digest()[:12], b.Note)
	}
	return nil
}

type diffCommand struct {
	storeFlags
	From uint64 `arg:"" help:"Earlier version."`
	To   uint64 `arg:"" help:"Later version."`
}

// Run implements the command.
func (c *diffCommand) Run(env *environment) error {
	p, err := c.publisher(env)
	if err != nil {
		return err
	}
	from, err := versionLines(env, p, c.From)
	if err != nil {
		return err
	}
	to, err := versionLines(env, p, c.To)
	if err != nil {
		return err
	}
	printLinesNotIn(env, "-", from, to)
	printLinesNotIn(env, "+", to, from)
	return nil
}

// versionLines returns the values of a published version as lines of path and value.
func versionLines(env *environment, p *publisher.Publisher, version uint64) ([]string, error) {
	s, _, err := p.Version(env.ctx, version)
	if err != nil {
		return nil, err
	}
	leaves, err := checker.Leaves(s.Bundle)
	if err != nil {
		return nil, err
	}
	lines := make([]string, 0, len(leaves))
	for _, l := range leaves {
		lines = append(lines, l.String())
	}
	return lines, nil
}

func printLinesNotIn(env *environment, mark string, lines, others []string) {
	present := make(map[string]bool, len(others))
	for _, l := range others {
		present[l] = true
	}
	for _, l := range lines {
		if !present[l] {
			fmt.Fprintln(env.out, mark, l)
		}
	}
}
