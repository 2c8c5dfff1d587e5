// Package checker checks a configuration file before it is deployed. It decodes the
// file with the code that the programs use, and also reports items that can never match,
// limits that contradict each other, and differences from the version in force.
package checker

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
)

// File is a file's name and content.
type File struct {
	Name string
	Raw  []byte
}

// Options hold the files that a file is checked against.
type Options struct {
	// Against is the version in force. It may be nil.
	Against *File
	// Deployment holds the settings of the deployment that the file is meant for,
	// of the form Settings for a bundle and Machine for a Configuration. It may be
	// nil.
	Deployment *File
}

// Check checks f. An error, of type *Error, means that f could not be checked.
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
	r.Findings = append(r.Findings, d.ignoredTextFindings()...)
	contentFindings, err := d.checkContent(o.Deployment)
	if err != nil {
		return Report{}, err
	}
	r.Findings = append(r.Findings, contentFindings...)
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

// checkContent checks the content of d according to its form.
func (d document) checkContent(deployment *File) ([]Finding, error) {
	switch d.form {
	case Machine:
		return d.checkMachine(), d.rejectDeployment(deployment)
	case Settings:
		return d.checkSettings(), d.rejectDeployment(deployment)
	case Configuration:
		return d.checkConfiguration(deployment)
	case Signed:
		return d.checkSigned(deployment)
	}
	return d.checkBundle(deployment)
}

// rejectDeployment returns an error if deployment settings are given, for a form that
// is not checked against them.
func (d document) rejectDeployment(deployment *File) error {
	if deployment == nil {
		return nil
	}
	return &Error{Op: "check", Kind: Mismatched, File: deployment.Name, Err: errors.Errorf(
		"settings are compared with a bundle or a configuration, and %s is neither", d.file)}
}

// ignoredTextFindings reports what JSON decoders ignore silently: duplicate keys and
// text after the value.
func (d document) ignoredTextFindings() []Finding {
	var out []Finding
	for _, r := range d.locator.duplicates {
		out = append(out, Finding{
			File: d.file, Line: r.line, Key: r.key, Kind: Unmatched,
			Text: fmt.Sprintf("the same key in line %d takes precedence", r.overridingLine),
		})
	}
	if d.form == Machine {
		return out
	}
	rest := d.raw[d.locator.end():]
	if more := bytes.TrimSpace(rest); len(more) > 0 {
		offset := bytes.Index(d.raw[d.locator.end():], more) + d.locator.end()
		out = append(out, Finding{
			File: d.file, Line: d.locator.lineAt(offset), Kind: Fault,
			Text: "text after the end of the JSON value is refused or not read",
		})
	}
	return out
}
