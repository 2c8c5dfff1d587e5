package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/submitter"
)

// clientFlags lists the entries that a client calls.
type clientFlags struct {
	Entry []string `required:"" help:"Host and port of an entry; give several to fall back on."`
}

func (c clientFlags) client(env *environment) *submitter.Client {
	return submitter.NewClient(env.deps.Clock, c.Entry, 1)
}

type submitCommand struct {
	clientFlags
	Team     string        `required:"" help:"Team that submits."`
	Key      string        `help:"Key of the submission; a new one when left out."`
	Service  string        `required:"" help:"Service that runs the tasks."`
	Attempt  int           `default:"1" help:"Which attempt this is; 2 or more for a resubmission."`
	Timeout  time.Duration `default:"30s" help:"Time until the deadline, unless --deadline is given."`
	Deadline time.Time     `help:"Deadline in RFC 3339 form; a resubmission repeats it."`
	Detached bool          `help:"Keep the job running when this command ends."`
	File     string        `arg:"" help:"File with a JSON array of payloads, one for each task; - for standard input."`
}

// Run implements the command.
func (c *submitCommand) Run(env *environment) error {
	payloads, err := readPayloads(c.File)
	if err != nil {
		return err
	}
	s := courier.Submission{
		Team:     c.Team,
		Key:      c.Key,
		Service:  c.Service,
		Attempt:  c.Attempt,
		Deadline: c.Deadline,
		Detached: c.Detached,
	}
	if s.Key == "" {
		s.Key = uuid.NewString()
	}
	if s.Deadline.IsZero() {
		s.Deadline = env.deps.Clock.Now().Add(c.Timeout).UTC()
	}
	for _, p := range payloads {
		s.Tasks = append(s.Tasks, courier.Task{Payload: p})
	}
	a, err := c.client(env).Submit(env.ctx, 0, s)
	if err != nil {
		return errors.Wrapf(err, "job %s, deadline %s", s.JobID(), s.Deadline.Format(time.RFC3339Nano))
	}
	return printJSON(env.out, a)
}

func readPayloads(path string) ([]json.RawMessage, error) {
	in := os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "payloads")
		}
		defer f.Close()
		in = f
	}
	var out []json.RawMessage
	if err := json.NewDecoder(in).Decode(&out); err != nil {
		return nil, errors.Wrapf(err, "%s: expected a JSON array of payloads", path)
	}
	return out, nil
}

type stateCommand struct {
	clientFlags
	Job string `arg:"" help:"Team and key of the job, with a slash between."`
}

// Run implements the command.
func (c *stateCommand) Run(env *environment) error {
	a, err := c.client(env).State(env.ctx, 0, c.Job)
	if err != nil {
		return err
	}
	return printJSON(env.out, a)
}

type cancelCommand struct {
	clientFlags
	Job string `arg:"" help:"Team and key of the job, with a slash between."`
}

// Run implements the command.
func (c *cancelCommand) Run(env *environment) error {
	a, err := c.client(env).Cancel(env.ctx, 0, c.Job)
	if err != nil {
		return err
	}
	return printJSON(env.out, a)
}

type dumpCommand struct {
	Process string `arg:"" help:"Host and port of an entry or an agent."`
}

// Run implements the command.
func (c *dumpCommand) Run(env *environment) error {
	resp, err := getDump(env.ctx, c.Process)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(env.out, resp.Body)
	return err
}

// getDump requests the state dump of a process. The caller has to close the body.
func getDump(ctx context.Context, process string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process+"/dump", nil)
	if err != nil {
		return nil, errors.Wrap(err, "dump")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "dump")
	}
	return resp, nil
}

type settingsCommand struct {
	Check checkSettingsCommand `cmd:"" help:"Check a settings file and print what it describes."`
}

type checkSettingsCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run implements the command.
func (c *checkSettingsCommand) Run(env *environment) error {
	s, err := configurer.Load(c.File)
	if err != nil {
		return err
	}
	return printJSON(env.out, map[string]int{
		"Entries":   len(s.Entries),
		"Agents":    len(s.Agents),
		"Upstreams": len(s.Upstreams),
	})
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
