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

// Leaf is one value of a JSON text that holds no others, or one that is nested
// too deep to be told apart.
type Leaf struct {
	// Path is the key with elements listed under their names, so that a moved
	// element is no difference.
	Path string
	// Key is the key with elements listed by their numbers.
	Key  string
	Text string
}

// String returns the leaf in a line.
func (l Leaf) String() string { return fmt.Sprintf("%s = %s", l.Path, l.Text) }

// Leaves lists the leaves of a JSON text, in the order of their paths. Numbers
// read as they are written.
func Leaves(raw []byte) ([]Leaf, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return flatten(Leaf{}, v, 0), nil
}

func flatten(at Leaf, v any, depth int) []Leaf {
	if depth > maxDepth {
		at.Text = fmt.Sprint(v)
		return []Leaf{at}
	}
	var out []Leaf
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			out = append(out, flatten(Leaf{Path: join(at.Path, name), Key: join(at.Key, name)}, v[name], depth+1)...)
		}
	case []any:
		names := elementNames(v)
		for i, e := range v {
			out = append(out, flatten(Leaf{
				Path: fmt.Sprintf("%s[%s]", at.Path, names[i]),
				Key:  fmt.Sprintf("%s[%d]", at.Key, i),
			}, e, depth+1)...)
		}
	default:
		at.Text = fmt.Sprint(v)
		out = append(out, at)
	}
	return out
}

// elementNames returns what the elements of a list are listed under: their
// names, or their numbers where they have none or share one.
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

// leaves lists what a document says.
func (d document) leaves() ([]Leaf, error) {
	if d.form == Machine {
		return d.lineLeaves(), nil
	}
	if d.form == Signed {
		inner, ok := d.inner()
		if !ok {
			return nil, errors.New("found no bundle")
		}
		d = inner
	}
	return Leaves(d.raw)
}

func (d document) lineLeaves() []Leaf {
	var out []Leaf
	for _, text := range strings.Split(string(d.raw), "\n") {
		if key, v, ok := strings.Cut(strings.TrimSpace(text), "="); ok {
			key = strings.TrimSpace(key)
			out = append(out, Leaf{Path: key, Key: key, Text: strings.TrimSpace(v)})
		}
	}
	return out
}

// content is what a form describes, whether it is signed or not.
func (f Form) content() Form {
	if f == Signed {
		return Bundle
	}
	return f
}

// compare lists the differences of d from the version in force.
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
	if old.form.content() != d.form.content() {
		return nil, fail(Mismatched, errors.Errorf("found a file of the form %s, allowed %s", old.form, d.form.content()))
	}
	before, err := old.leaves()
	if err != nil {
		return nil, fail(Unreadable, err)
	}
	d, ok := d.innermost()
	if !ok {
		// checkSigned reports that the bundle is missing.
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
	found, err := d.versionRules(old)
	if err != nil {
		return nil, fail(Unreadable, err)
	}
	return append(out, found...), nil
}

// innermost returns the document that holds the content.
func (d document) innermost() (document, bool) {
	if d.form != Signed {
		return d, true
	}
	return d.inner()
}

// changes lists values that were added, changed and removed.
func (d document) changes(before, after []Leaf) []Finding {
	old := make(map[string]Leaf, len(before))
	for _, l := range before {
		old[l.Path] = l
	}
	var out []Finding
	there := make(map[string]bool, len(after))
	for _, l := range after {
		there[l.Path] = true
		was, ok := old[l.Path]
		switch {
		case !ok:
			out = append(out, d.change(l.Key, Change{Path: l.Path, Is: &l.Text}))
		case was.Text != l.Text:
			out = append(out, d.change(l.Key, Change{Path: l.Path, Was: &was.Text, Is: &l.Text}))
		}
	}
	for _, l := range before {
		if !there[l.Path] {
			out = append(out, d.removal(l))
		}
	}
	return out
}

// removal returns a finding about a value that d no longer has. It is filed
// under the list or object that held it.
func (d document) removal(l Leaf) Finding {
	key := l.Key
	for strings.Contains(key, "[") {
		key = parent(key)
	}
	return d.change(key, Change{Path: l.Path, Was: &l.Text})
}

func (d document) change(key string, c Change) Finding {
	f := d.finding(Changed, key, c.String())
	f.Change = &c
	return f
}

// versionRules finds a version that the programs would not take in place of
// the one in force.
func (d document) versionRules(old document) ([]Finding, error) {
	switch d.form {
	case Bundle:
		return d.bundleVersion(old)
	case Configuration:
		return d.configurationVersion(old)
	}
	return nil, nil
}

func (d document) bundleVersion(old document) ([]Finding, error) {
	inner, ok := old.innermost()
	if !ok {
		return nil, errors.New("found no bundle")
	}
	before, err := approver.Decode(inner.raw)
	if err != nil {
		return nil, err
	}
	// checkBundle reports a file that cannot be decoded.
	after, err := approver.Decode(d.raw)
	if err != nil || after.Version == before.Version+1 {
		return nil, nil
	}
	return []Finding{d.finding(Fault, "Version",
		fmt.Sprintf("found %d, allowed %d, one more than the version in force", after.Version, before.Version+1))}, nil
}

func (d document) configurationVersion(old document) ([]Finding, error) {
	before, err := platform.ParseConfiguration(old.raw)
	if err != nil {
		return nil, err
	}
	// checkConfiguration reports a file that cannot be decoded.
	after, err := platform.ParseConfiguration(d.raw)
	if err != nil || after.Version >= before.Version {
		return nil, nil
	}
	return []Finding{d.finding(Fault, platform.VersionKey,
		fmt.Sprintf("found %d, allowed %d or more; entries pass an older configuration over", after.Version, before.Version))}, nil
}
