package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/checker"
)

const (
	// inForceTimeout is the timeout of reading the version in force.
	inForceTimeout = 5 * time.Second
	// maxCheckedBytes is the maximum size of a file to check.
	maxCheckedBytes = 8 << 20
)

type checkFileCommand struct {
	JSON     bool   `name:"json" help:"Print the report as JSON."`
	Against  string `xor:"inforce" help:"File with the version in force, to list the differences from it."`
	Entry    string `xor:"inforce" help:"Host and port of an entry; lists the differences from the bundle in force there, which is read from the store of --settings."`
	Settings string `help:"Settings of the deployment that a bundle or a configuration is meant for, to check it against them."`
	File     string `arg:"" help:"Settings, bundle, signed bundle or configuration to check."`
}

// Run implements the command.
func (c *checkFileCommand) Run(env *environment) error {
	report, err := c.check(env)
	if err != nil {
		return &exitError{status: exitNotChecked, err: err}
	}
	if err := c.print(env.out, report); err != nil {
		return &exitError{status: exitNotChecked, err: err}
	}
	if !report.Clean() {
		return &exitError{status: exitFailed}
	}
	return nil
}

func (c *checkFileCommand) print(w io.Writer, r checker.Report) error {
	if c.JSON {
		return printJSON(w, r)
	}
	return r.Print(w)
}

func (c *checkFileCommand) check(env *environment) (checker.Report, error) {
	file, err := readLimited(c.File)
	if err != nil {
		return checker.Report{}, err
	}
	o, err := c.options(env)
	if err != nil {
		return checker.Report{}, err
	}
	return checker.Check(*file, o)
}

// options reads the files that the file is checked against.
func (c *checkFileCommand) options(env *environment) (checker.Options, error) {
	var o checker.Options
	var err error
	if c.Settings != "" {
		if o.Deployment, err = readLimited(c.Settings); err != nil {
			return o, err
		}
	}
	switch {
	case c.Against != "":
		o.Against, err = readLimited(c.Against)
	case c.Entry != "":
		o.Against, err = c.readInForce(env)
	}
	return o, err
}

// readLimited reads a file of up to maxCheckedBytes.
func readLimited(path string) (*checker.File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxCheckedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxCheckedBytes {
		return nil, errors.Errorf("%s: found more than %d bytes, allowed %d", path, maxCheckedBytes, maxCheckedBytes)
	}
	return &checker.File{Name: path, Raw: raw}, nil
}

// readInForce queries the entry for the version in force and reads that version from
// the store.
func (c *checkFileCommand) readInForce(env *environment) (*checker.File, error) {
	if c.Settings == "" {
		return nil, errors.New("--entry: --settings is needed too, since an entry reports only the version and the store holds the bundle")
	}
	ctx, cancel := context.WithTimeout(env.ctx, inForceTimeout)
	defer cancel()
	version, err := versionInForceAt(ctx, c.Entry)
	if err != nil {
		return nil, err
	}
	p, err := storeFlags{Settings: c.Settings}.publisher(env)
	if err != nil {
		return nil, err
	}
	s, _, err := p.Version(ctx, version)
	if err != nil {
		return nil, err
	}
	return &checker.File{Name: fmt.Sprintf("version %d at %s", version, c.Entry), Raw: s.Bundle}, nil
}

// versionInForceAt returns the version of the bundle in force at an entry, from its
// state dump (receiver.Dump).
func versionInForceAt(ctx context.Context, entry string) (uint64, error) {
	resp, err := getDump(ctx, entry)
	if err != nil {
		return 0, errors.Wrapf(err, "entry %s", entry)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("entry %s: dump: %s", entry, resp.Status)
	}
	var dump struct{ BundleVersion uint64 }
	if err := json.NewDecoder(resp.Body).Decode(&dump); err != nil {
		return 0, errors.Wrapf(err, "entry %s: dump", entry)
	}
	if dump.BundleVersion == 0 {
		return 0, errors.Errorf("entry %s: no bundle is in force there", entry)
	}
	return dump.BundleVersion, nil
}
