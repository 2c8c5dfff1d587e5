package checker

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/platform"
)

// Form is the kind of configuration that a file holds.
type Form string

// The forms of files.
const (
	// Settings are the settings of a deployment (package configurer).
	Settings Form = "Settings"
	// Bundle is a bundle without approval (package approver).
	Bundle Form = "Bundle"
	// Signed is an approved bundle with its signature (package approver).
	Signed Form = "Signed"
	// Configuration is the operators' configuration on the platform (package platform).
	Configuration Form = "Configuration"
	// Machine is the platform's settings file of one machine, with one key-value
	// pair a line.
	Machine Form = "Machine"
)

// bundleKey is the key of the bundle in a signed bundle.
const bundleKey = "Bundle"

// topLevelKeys lists the top-level keys of each form, with the forms in the order of
// preference.
var topLevelKeys = []struct {
	form  Form
	names []string
}{
	{Bundle, fieldNames(reflect.TypeFor[approver.Bundle]())},
	{Settings, fieldNames(reflect.TypeFor[configurer.Settings]())},
	{Signed, fieldNames(reflect.TypeFor[approver.SignedBundle]())},
	{Configuration, []string{platform.VersionKey, platform.QueuesKey, platform.LimitsKey}},
}

func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		out = append(out, t.Field(i).Name)
	}
	return out
}

// document is a file with the positions of its values.
type document struct {
	file    string
	raw     []byte
	form    Form
	locator *locator
	// prefix is prepended to each key. It is empty except for the bundle in a signed
	// bundle.
	prefix string
}

// newDocument parses raw and determines its form. For a JSON text with a syntax error
// it returns a finding and a document without a form.
func newDocument(file string, raw []byte) (document, []Finding, error) {
	d := document{file: file, raw: raw}
	if isKeyValueText(raw) {
		d.form = Machine
		d.locator = locateKeyValueLines(raw)
		return d, nil, nil
	}
	l, err := locate(raw)
	if err != nil {
		return d, []Finding{syntaxFinding(file, raw, err)}, nil
	}
	d.locator = l
	if d.form = formOf(l); d.form == "" {
		return d, nil, &Error{Op: "check", Kind: Unknown, File: file, Err: errors.New(
			"found none of the top-level keys of settings, a bundle, a signed bundle or a configuration")}
	}
	return d, nil, nil
}

func syntaxFinding(file string, raw []byte, err error) Finding {
	offset := len(raw)
	if syntax, ok := errors.Into[*json.SyntaxError](err); ok {
		offset = min(int(syntax.Offset), len(raw))
	}
	line := 1 + bytes.Count(raw[:max(0, offset-1)], []byte("\n"))
	text := err.Error()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		text = "the text ends too early"
	}
	return Finding{File: file, Line: line, Kind: Fault, Text: "no JSON: " + text}
}

// formOf returns the form of which most top-level keys are present, or "" if none is.
func formOf(l *locator) Form {
	var bestForm Form
	maxMatches := 0
	for _, t := range topLevelKeys {
		matches := 0
		for _, name := range t.names {
			if _, ok := l.byKey[name]; ok {
				matches++
			}
		}
		if matches > maxMatches {
			bestForm, maxMatches = t.form, matches
		}
	}
	return bestForm
}

// embeddedBundle returns the bundle in a signed bundle. Its line numbers are those in
// the file.
func (d document) embeddedBundle() (document, bool) {
	v, ok := d.locator.find(bundleKey)
	if !ok || !v.isObject {
		return document{}, false
	}
	raw := append(bytes.Repeat([]byte("\n"), v.line-1), d.raw[v.start:v.end]...)
	l, err := locate(raw)
	if err != nil {
		return document{}, false
	}
	return document{file: d.file, raw: raw, form: Bundle, locator: l, prefix: v.key + "."}, true
}

// finding returns a finding on a key, at the line of the key.
func (d document) finding(kind Kind, key, text string) Finding {
	return Finding{File: d.file, Line: d.locator.line(key), Key: d.prefix + key, Kind: kind, Text: text}
}
