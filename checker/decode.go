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
	raw, at := d.raw, d.at
	for range maxTypeFaults {
		v, err := read(raw)
		out.value = v
		if err == nil {
			out.whole = true
			return out
		}
		wrong, ok := errors.Into[*json.UnmarshalTypeError](err)
		if !ok {
			unknown := unknownKeys[T](raw)
			if len(unknown) == 0 {
				out.findings = append(out.findings, d.finding(Fault, "", err.Error()))
				return out
			}
			for _, key := range unknown {
				out.findings = append(out.findings, d.finding(Fault, key, "no such key"))
			}
			read = lenient
			continue
		}
		bad, ok := at.around(int(wrong.Offset))
		if !ok || bad.key == "" {
			out.findings = append(out.findings, d.finding(Fault, "", err.Error()))
			return out
		}
		out.bad = append(out.bad, bad.key)
		out.findings = append(out.findings, d.finding(Fault, bad.key,
			fmt.Sprintf("found a JSON %s, allowed %s", wrong.Value, wrong.Type)))
		raw = without(raw, bad)
		if at, err = locate(raw); err != nil {
			return out
		}
	}
	return out
}

// lenient reads a T and passes unknown keys over.
func lenient[T any](raw []byte) (T, error) {
	var v T
	err := json.NewDecoder(bytes.NewReader(raw)).Decode(&v)
	return v, err
}

// without returns a copy of raw with null in place of v. It keeps the lines.
func without(raw []byte, v value) []byte {
	lines := bytes.Count(raw[v.start:v.end], []byte("\n"))
	null := append([]byte("null"), bytes.Repeat([]byte("\n"), lines)...)
	return slices.Concat(raw[:v.start], null, raw[v.end:])
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
