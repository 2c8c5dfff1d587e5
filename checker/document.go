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

// Form is what a file describes.
type Form string

// The forms of files.
const (
	// Settings are the settings of a deployment (package configurer).
	Settings Form = "Settings"
	// Bundle is a bundle that waits for its approval (package approver).
	Bundle Form = "Bundle"
	// Signed is a bundle with its approval.
	Signed Form = "Signed"
	// Configuration is the operators' configuration on the platform.
	Configuration Form = "Configuration"
	// Machine is the platform's settings file of one machine, in lines of key
	// and value.
	Machine Form = "Machine"
)

// bundleKey is the key of the bundle in a signed one.
const bundleKey = "Bundle"

// topLevel lists the names at the top of each form, the forms in the order in
// which they are preferred.
var topLevel = []struct {
	form  Form
	names []string
}{
	{Bundle, fieldNames(reflect.TypeFor[approver.Bundle]())},
	{Settings, fieldNames(reflect.TypeFor[configurer.Settings]())},
	{Signed, fieldNames(reflect.TypeFor[approver.Signed]())},
	{Configuration, []string{platform.VersionKey, platform.QueuesKey, platform.LimitsKey}},
}

func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		out = append(out, t.Field(i).Name)
	}
	return out
}

// document is a text with the places of its values.
type document struct {
	file string
	raw  []byte
	form Form
	at   *locator
	// prefix is put before each key. It is not empty for the bundle in a signed
	// one.
	prefix string
}

// newDocument reads raw. A JSON text with an error of syntax gives a finding
// and no form.
func newDocument(file string, raw []byte) (document, []Finding, error) {
	d := document{file: file, raw: raw}
	if isLines(raw) {
		d.form = Machine
		d.at = locateLines(raw)
		return d, nil, nil
	}
	at, err := locate(raw)
	if err != nil {
		return d, []Finding{syntaxFinding(file, raw, err)}, nil
	}
	d.at = at
	if d.form = formOf(at); d.form == "" {
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

// formOf returns the form with the most of its names at the top, or "".
func formOf(at *locator) Form {
	var best Form
	most := 0
	for _, t := range topLevel {
		n := 0
		for _, name := range t.names {
			if _, ok := at.byKey[name]; ok {
				n++
			}
		}
		if n > most {
			best, most = t.form, n
		}
	}
	return best
}

// inner returns the bundle in a signed one. The lines stay what they are in
// the file.
func (d document) inner() (document, bool) {
	v, ok := d.at.find(bundleKey)
	if !ok || !v.object {
		return document{}, false
	}
	raw := append(bytes.Repeat([]byte("\n"), v.line-1), d.raw[v.start:v.end]...)
	at, err := locate(raw)
	if err != nil {
		return document{}, false
	}
	return document{file: d.file, raw: raw, form: Bundle, at: at, prefix: v.key + "."}, true
}

// finding returns a finding about a key.
func (d document) finding(kind Kind, key, text string) Finding {
	return Finding{File: d.file, Line: d.at.line(key), Key: d.prefix + key, Kind: kind, Text: text}
}
