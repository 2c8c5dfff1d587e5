package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// maxTypeFaults bounds the values of a wrong type that are looked for.
const maxTypeFaults = 50

// decoded is the outcome of reading a document into a T.
type decoded[T any] struct {
	value T
	// whole tells that value holds all that could be read.
	whole bool
	// bad are the keys of the values that could not be read.
	bad      []string
	findings []Finding
}

// decode reads d with the function that the programs use. That function stops
// at the first error, so decode takes a value of a wrong type out and reads
// again, until no error is left.
func decode[T any](d document, read func([]byte) (T, error)) decoded[T] {
	var out decoded[T]
	rest := d
	for range maxTypeFaults {
		// textFindings reports what follows the value.
		v, err := read(rest.raw[:rest.at.end()])
		if err == nil {
			out.value = v
			out.whole = true
			return out
		}
		if wrong, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
			bad, ok := rest.at.around(int(wrong.Offset))
			if !ok || bad.key == "" {
				return out.with(d.finding(Fault, "", err.Error()))
			}
			out.bad = append(out.bad, bad.key)
			out = out.with(d.finding(Fault, bad.key, fmt.Sprintf("found a JSON %s, allowed %s", wrong.Value, wrong.Type)))
			rest = rest.without(bad)
			continue
		}
		unknown := unknownKeys[T](rest.raw)
		if len(unknown) == 0 {
			return out.with(d.finding(Fault, "", err.Error()))
		}
		for _, key := range unknown {
			out = out.with(d.finding(Fault, key, "no such key"))
		}
		read = lenient
	}
	return out
}

func (d decoded[T]) with(f Finding) decoded[T] {
	d.findings = append(d.findings, f)
	return d
}

// lenient reads a T and passes unknown keys over.
func lenient[T any](raw []byte) (T, error) {
	var v T
	err := json.NewDecoder(bytes.NewReader(raw)).Decode(&v)
	return v, err
}

// without returns a copy of d with null in place of v. It keeps the lines.
func (d document) without(v value) document {
	lines := bytes.Count(d.raw[v.start:v.end], []byte("\n"))
	null := append([]byte("null"), bytes.Repeat([]byte("\n"), lines)...)
	d.raw = slices.Concat(d.raw[:v.start], null, d.raw[v.end:])
	if at, err := locate(d.raw); err == nil {
		d.at = at
	}
	return d
}

// readable reports whether a fault of key is no mere consequence of a value
// that could not be read.
func (d decoded[T]) readable(key string) bool {
	return !slices.ContainsFunc(d.bad, func(bad string) bool {
		return key == bad || strings.HasPrefix(key, bad+".") || strings.HasPrefix(key, bad+"[")
	})
}

// unknownKeys lists the keys in raw that a T has no place for.
func unknownKeys[T any](raw []byte) []string {
	v, err := lenient[any](raw)
	if err != nil {
		return nil
	}
	return unknownIn(reflect.TypeFor[T](), v, "")
}

func unknownIn(t reflect.Type, v any, key string) []string {
	var out []string
	switch v := v.(type) {
	case []any:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i, e := range v {
			out = append(out, unknownIn(t.Elem(), e, fmt.Sprintf("%s[%d]", key, i))...)
		}
	case map[string]any:
		if t.Kind() != reflect.Struct {
			return nil
		}
		for _, name := range slices.Sorted(maps.Keys(v)) {
			f, ok := t.FieldByNameFunc(func(s string) bool { return strings.EqualFold(s, name) })
			if !ok {
				out = append(out, join(key, name))
				continue
			}
			out = append(out, unknownIn(f.Type, v[name], join(key, name))...)
		}
	}
	return out
}
