// Package checker checks a configuration before it is sent. It reads a file
// with the code with which the programs read it, and adds rules on entries
// that can never match, on limits that contradict each other, and on
// differences from the version in force.
package checker

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
)

// File is the content of a file.
type File struct {
	Name string
	Raw  []byte
}

// Options are what a file is compared with.
type Options struct {
	// Against is the version in force, or nil.
	Against *File
	// Deployment holds the settings of the deployment that the file is meant
	// for, or nil: Settings for a bundle, Machine for a Configuration.
	Deployment *File
}

// Check checks f. An error means that it could not be checked.
func Check(f File, o Options) (Report, error) {
	r := Report{File: f.Name, Findings: []Finding{}}
	d, findings, err := newDocument(f.Name, f.Raw)
	if err != nil {
		return Report{}, err
	}
	r.Form = d.form
	r.Findings = append(r.Findings, findings...)
	if d.form == "" {
		return r, nil
	}
	r.Findings = append(r.Findings, d.textFindings()...)
	found, err := d.check(o.Deployment)
	if err != nil {
		return Report{}, err
	}
	r.Findings = append(r.Findings, found...)
	if o.Against != nil {
		changes, err := compare(d, *o.Against)
		if err != nil {
			return Report{}, err
		}
		r.Against = o.Against.Name
		r.Findings = append(r.Findings, changes...)
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return r, nil
}

// check judges the content of d by its form.
func (d document) check(deployment *File) ([]Finding, error) {
	switch d.form {
	case Machine:
		return d.checkMachine(), d.refuse(deployment)
	case Settings:
		return d.checkSettings(), d.refuse(deployment)
	case Configuration:
		return d.checkConfiguration(deployment)
	case Signed:
		return d.checkSigned(deployment)
	}
	return d.checkBundle(deployment)
}

// refuse returns an error for a deployment that nothing of d is compared with.
func (d document) refuse(deployment *File) error {
	if deployment == nil {
		return nil
	}
	return &Error{Op: "check", Kind: Mismatched, File: deployment.Name, Err: errors.Errorf(
		"settings are compared with a bundle or a configuration, and %s is neither", d.file)}
}

// textFindings tells what the readers of JSON pass over without a word.
func (d document) textFindings() []Finding {
	var out []Finding
	for _, r := range d.at.repeats {
		out = append(out, Finding{
			File: d.file, Line: r.line, Key: r.key, Kind: Unmatched,
			Text: fmt.Sprintf("the same key in line %d takes precedence", r.again),
		})
	}
	if d.form == Machine {
		return out
	}
	rest := d.raw[d.at.end():]
	if more := bytes.TrimSpace(rest); len(more) > 0 {
		offset := bytes.Index(d.raw[d.at.end():], more) + d.at.end()
		out = append(out, Finding{
			File: d.file, Line: d.at.lineAt(offset), Kind: Fault,
			Text: "text after the end of the JSON value is refused or not read",
		})
	}
	return out
}
