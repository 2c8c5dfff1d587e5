package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/platform"
)

// Leaf is a value of a JSON text that contains no other values, or one that is nested
// deeper than values are distinguished.
type Leaf struct {
	// Path is the key with list elements identified by their names, so that a moved
	// element is not a difference.
	Path string
	// Key is the key with list elements identified by their indexes.
	Key  string
	Text string
}

// String returns path and value on one line.
func (l Leaf) String() string { return fmt.Sprintf("%s = %s", l.Path, l.Text) }

// Leaves returns the leaves of a JSON text. Members of objects are sorted by name, list
// elements keep their order, and numbers keep their notation.
func Leaves(raw []byte) ([]Leaf, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return flatten(Leaf{}, v, 0), nil
}

func flatten(leaf Leaf, v any, depth int) []Leaf {
	if depth > maxDepth {
		leaf.Text = fmt.Sprint(v)
		return []Leaf{leaf}
	}
	var out []Leaf
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			out = append(out, flatten(Leaf{Path: join(leaf.Path, name), Key: join(leaf.Key, name)}, v[name], depth+1)...)
		}
	case []any:
		names := elementNames(v)
		for i, e := range v {
			out = append(out, flatten(Leaf{
				Path: fmt.Sprintf("%s[%s]", leaf.Path, names[i]),
				Key:  fmt.Sprintf("%s[%d]", leaf.Key, i),
			}, e, depth+1)...)
		}
	default:
		leaf.Text = fmt.Sprint(v)
		out = append(out, leaf)
	}
	return out
}

// elementNames returns the names that identify the elements of a list, and the index
// for an element without a name or with one that is not unique.
func elementNames(list []any) []string {
	out := make([]string, len(list))
	count := make(map[string]int)
	for i, e := range list {
		out[i] = elementName(e)
		count[out[i]]++
	}
	for i, name := range out {
		if name == "" || count[name] > 1 {
			out[i] = fmt.Sprint(i)
		}
	}
	return out
}

func elementName(e any) string {
	m, ok := e.(map[string]any)
	if !ok {
		return ""
	}
	for _, key := range []string{"Name", "ID", "name"} {
		if name, ok := m[key].(string); ok {
			return name
		}
	}
	return ""
}

// leaves returns the values of a document.
func (d document) leaves() ([]Leaf, error) {
	if d.form == Machine {
		return d.keyValueLeaves(), nil
	}
	if d.form == Signed {
		inner, ok := d.embeddedBundle()
		if !ok {
			return nil, errors.New("found no bundle")
		}
		d = inner
	}
	return Leaves(d.raw)
}

func (d document) keyValueLeaves() []Leaf {
	var out []Leaf
	for _, text := range strings.Split(string(d.raw), "\n") {
		if key, v, ok := strings.Cut(strings.TrimSpace(text), "="); ok {
			key = strings.TrimSpace(key)
			out = append(out, Leaf{Path: key, Key: key, Text: strings.TrimSpace(v)})
		}
	}
	return out
}

// contentForm returns the form of the content: Bundle for a signed bundle, else f.
func (f Form) contentForm() Form {
	if f == Signed {
		return Bundle
	}
	return f
}

// compare returns the differences of d from the version in force.
func compare(d document, against File) ([]Finding, error) {
	fail := func(kind ErrorKind, err error) error {
		return &Error{Op: "compare", Kind: kind, File: against.Name, Err: err}
	}
	old, findings, err := newDocument(against.Name, against.Raw)
	if err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		return nil, fail(Unreadable, errors.New(findings[0].Text))
	}
	if old.form.contentForm() != d.form.contentForm() {
		return nil, fail(Mismatched, errors.Errorf("found a file of the form %s, allowed %s", old.form, d.form.contentForm()))
	}
	before, err := old.leaves()
	if err != nil {
		return nil, fail(Unreadable, err)
	}
	d, ok := d.content()
	if !ok {
		// The bundle is missing, which checkSigned reports.
		return nil, nil
	}
	after, err := d.leaves()
	if err != nil {
		return nil, &Error{Op: "compare", Kind: Unreadable, File: d.file, Err: err}
	}
	out := d.changes(before, after)
	if len(out) == 0 {
		return nil, nil
	}
	versionFindings, err := d.checkVersion(old)
	if err != nil {
		return nil, fail(Unreadable, err)
	}
	return append(out, versionFindings...), nil
}

// content returns the document with the content: the bundle of a signed one, else d.
func (d document) content() (document, bool) {
	if d.form != Signed {
		return d, true
	}
	return d.embeddedBundle()
}

// changes returns findings on the values that were added, changed and removed.
func (d document) changes(before, after []Leaf) []Finding {
	old := make(map[string]Leaf, len(before))
	for _, l := range before {
		old[l.Path] = l
	}
	var out []Finding
	present := make(map[string]bool, len(after))
	for _, l := range after {
		present[l.Path] = true
		was, ok := old[l.Path]
		switch {
		case !ok:
			out = append(out, d.changeFinding(l.Key, Change{Path: l.Path, Is: &l.Text}))
		case was.Text != l.Text:
			out = append(out, d.changeFinding(l.Key, Change{Path: l.Path, Was: &was.Text, Is: &l.Text}))
		}
	}
	for _, l := range before {
		if !present[l.Path] {
			out = append(out, d.removalFinding(l))
		}
	}
	return out
}

// removalFinding returns a finding on a value that d no longer has. Its key is that of
// the list or object that contained the value.
func (d document) removalFinding(l Leaf) Finding {
	key := l.Key
	for strings.Contains(key, "[") {
		key = parent(key)
	}
	return d.changeFinding(key, Change{Path: l.Path, Was: &l.Text})
}

func (d document) changeFinding(key string, c Change) Finding {
	f := d.finding(Changed, key, c.String())
	f.Change = &c
	return f
}

// checkVersion reports a version that the programs would not accept as the successor
// of the one in force.
func (d document) checkVersion(old document) ([]Finding, error) {
	switch d.form {
	case Bundle:
		return d.checkBundleVersion(old)
	case Configuration:
		return d.checkConfigurationVersion(old)
	}
	return nil, nil
}

func (d document) checkBundleVersion(old document) ([]Finding, error) {
	inner, ok := old.content()
	if !ok {
		return nil, errors.New("found no bundle")
	}
	before, err := approver.Decode(inner.raw)
	if err != nil {
		return nil, err
	}
	// A file that cannot be decoded is reported by checkBundle.
	after, err := approver.Decode(d.raw)
	if err != nil || after.Version == before.Version+1 {
		return nil, nil
	}
	return []Finding{d.finding(Fault, "Version",
		fmt.Sprintf("found %d, allowed %d, one more than the version in force", after.Version, before.Version+1))}, nil
}

func (d document) checkConfigurationVersion(old document) ([]Finding, error) {
	before, err := platform.ParseConfiguration(old.raw)
	if err != nil {
		return nil, err
	}
	// A file that cannot be decoded is reported by checkConfiguration.
	after, err := platform.ParseConfiguration(d.raw)
	if err != nil || after.Version >= before.Version {
		return nil, nil
	}
	return []Finding{d.finding(Fault, platform.VersionKey,
		fmt.Sprintf("found %d, allowed %d or more; entries pass an older configuration over", after.Version, before.Version))}, nil
}
