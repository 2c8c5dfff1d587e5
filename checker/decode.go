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

// maxTypeErrors is the maximum number of values of a wrong type that are searched for.
const maxTypeErrors = 50

// decodeResult is the result of decoding a document into a T.
type decodeResult[T any] struct {
	value T
	// complete means that value holds everything that could be decoded.
	complete bool
	// undecodable lists the keys of the values that could not be decoded.
	undecodable []string
	findings    []Finding
}

// decode decodes d with the function that the programs use. Since that function stops
// at the first error, decode replaces a value of a wrong type by null and tries again
// until no error is left.
func decode[T any](d document, read func([]byte) (T, error)) decodeResult[T] {
	var out decodeResult[T]
	remaining := d
	for range maxTypeErrors {
		// The text after the value is left out; ignoredTextFindings reports it.
		v, err := read(remaining.raw[:remaining.locator.end()])
		if err == nil {
			out.value = v
			out.complete = true
			return out
		}
		if typeError, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
			undecodable, ok := remaining.locator.smallestAt(int(typeError.Offset))
			if !ok || undecodable.key == "" {
				return out.withFinding(d.finding(Fault, "", err.Error()))
			}
			out.undecodable = append(out.undecodable, undecodable.key)
			out = out.withFinding(d.finding(Fault, undecodable.key, fmt.Sprintf("found a JSON %s, allowed %s", typeError.Value, typeError.Type)))
			remaining = remaining.withNull(undecodable)
			continue
		}
		unknown := unknownKeys[T](remaining.raw)
		if len(unknown) == 0 {
			return out.withFinding(d.finding(Fault, "", err.Error()))
		}
		for _, key := range unknown {
			out = out.withFinding(d.finding(Fault, key, "no such key"))
		}
		read = decodeLenient
	}
	return out
}

func (d decodeResult[T]) withFinding(f Finding) decodeResult[T] {
	d.findings = append(d.findings, f)
	return d
}

// decodeLenient decodes a T and ignores unknown keys.
func decodeLenient[T any](raw []byte) (T, error) {
	var v T
	err := json.NewDecoder(bytes.NewReader(raw)).Decode(&v)
	return v, err
}

// withNull returns a copy of d in which v is replaced by null, with the line numbers
// of the rest unchanged.
func (d document) withNull(v value) document {
	lines := bytes.Count(d.raw[v.start:v.end], []byte("\n"))
	null := append([]byte("null"), bytes.Repeat([]byte("\n"), lines)...)
	d.raw = slices.Concat(d.raw[:v.start], null, d.raw[v.end:])
	if l, err := locate(d.raw); err == nil {
		d.locator = l
	}
	return d
}

// wasDecoded reports whether the value of key was decoded. If not, an error that its
// zero value causes is only a consequence.
func (d decodeResult[T]) wasDecoded(key string) bool {
	return !slices.ContainsFunc(d.undecodable, func(bad string) bool {
		return key == bad || strings.HasPrefix(key, bad+".") || strings.HasPrefix(key, bad+"[")
	})
}

// unknownKeys lists the keys in raw for which T has no field.
func unknownKeys[T any](raw []byte) []string {
	v, err := decodeLenient[any](raw)
	if err != nil {
		return nil
	}
	return unknownKeysIn(reflect.TypeFor[T](), v, "")
}

func unknownKeysIn(t reflect.Type, v any, key string) []string {
	var out []string
	switch v := v.(type) {
	case []any:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i, e := range v {
			out = append(out, unknownKeysIn(t.Elem(), e, fmt.Sprintf("%s[%d]", key, i))...)
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
			out = append(out, unknownKeysIn(f.Type, v[name], join(key, name))...)
		}
	}
	return out
}
