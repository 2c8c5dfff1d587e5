package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// maxDepth bounds how deep values are told apart. No form is nested as deep.
const maxDepth = 16

// value is the place of one JSON value in a file.
type value struct {
	key string
	// name is the member's name in its object, or empty for an element.
	name string
	// start and end are byte offsets; end is the first one after the value.
	start int
	end   int
	line  int
	// object tells that the value is an object.
	object bool
}

// repeat is a member of an object whose name occurs again further down.
type repeat struct {
	key  string
	line int
	// again is the line of the member that takes precedence. Members of the
	// earlier object that it lacks still count.
	again int
}

// locator knows the places of all values of one JSON text.
type locator struct {
	raw     []byte
	decoder *json.Decoder
	// depth counts the values that hold the next one.
	depth int
	// lineOffset and lineNumber are the last place whose line was counted.
	lineOffset int
	lineNumber int
	// values are in the order of their ends, so that a value comes after those
	// that it holds.
	values  []value
	byKey   map[string]value
	folded  map[string]value
	repeats []repeat
}

// locate finds all values of the JSON text at the start of raw. An error is a
// *json.SyntaxError, or io.EOF or io.ErrUnexpectedEOF for a text that ends too
// early.
func locate(raw []byte) (*locator, error) {
	l := &locator{
		raw:        raw,
		decoder:    json.NewDecoder(bytes.NewReader(raw)),
		lineNumber: 1,
		byKey:      make(map[string]value),
		folded:     make(map[string]value),
	}
	// Reading the whole first gives the errors of syntax that the programs give.
	var whole json.RawMessage
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&whole); err != nil {
		return nil, err
	}
	return l, l.walk("", "")
}

// walk notes the value that comes next, and all values in it.
func (l *locator) walk(key, name string) error {
	if l.depth > maxDepth {
		var deep json.RawMessage
		return l.decoder.Decode(&deep)
	}
	l.depth++
	defer func() { l.depth-- }()
	v := value{key: key, name: name, start: l.skip(int(l.decoder.InputOffset()))}
	v.line = l.lineAt(v.start)
	token, err := l.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		v.object = true
		err = l.walkObject(key)
	case json.Delim('['):
		err = l.walkArray(key)
	}
	if err != nil {
		return err
	}
	v.end = int(l.decoder.InputOffset())
	l.values = append(l.values, v)
	l.byKey[key] = v
	l.folded[strings.ToLower(key)] = v
	return nil
}

func (l *locator) walkObject(key string) error {
	lines := make(map[string]int)
	for l.decoder.More() {
		token, err := l.decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.Errorf("found %v, want a name", token)
		}
		member := join(key, name)
		line := l.lineAt(int(l.decoder.InputOffset()) - 1)
		if before := lines[name]; before != 0 {
			l.repeats = append(l.repeats, repeat{key: member, line: before, again: line})
		}
		lines[name] = line
		if err := l.walk(member, name); err != nil {
			return err
		}
	}
	_, err := l.decoder.Token()
	return err
}

func (l *locator) walkArray(key string) error {
	for i := 0; l.decoder.More(); i++ {
		if err := l.walk(fmt.Sprintf("%s[%d]", key, i), ""); err != nil {
			return err
		}
	}
	_, err := l.decoder.Token()
	return err
}

// skip returns the offset of the value that follows what separates it from the
// last token.
func (l *locator) skip(offset int) int {
	for offset < len(l.raw) && strings.IndexByte(" \t\r\n:,", l.raw[offset]) >= 0 {
		offset++
	}
	return offset
}

// lineAt returns the line of an offset. It counts on from the last one asked
// for where it can.
func (l *locator) lineAt(offset int) int {
	offset = max(0, min(offset, len(l.raw)))
	if offset < l.lineOffset {
		return 1 + bytes.Count(l.raw[:offset], []byte("\n"))
	}
	l.lineNumber += bytes.Count(l.raw[l.lineOffset:offset], []byte("\n"))
	l.lineOffset = offset
	return l.lineNumber
}

// find returns the value of a key. As encoding/json does, it takes names in
// another case for the same.
func (l *locator) find(key string) (value, bool) {
	if v, ok := l.byKey[key]; ok {
		return v, true
	}
	v, ok := l.folded[strings.ToLower(key)]
	return v, ok
}

// line returns the line of a key, or of the closest one that holds it.
func (l *locator) line(key string) int {
	for {
		if v, ok := l.find(key); ok {
			return v.line
		}
		if key == "" {
			return 1
		}
		key = parent(key)
	}
}

// around returns the smallest value that a decoder had begun to read when it
// stopped at offset.
func (l *locator) around(offset int) (value, bool) {
	for _, v := range l.values {
		if v.start < offset && offset <= v.end {
			return v, true
		}
	}
	return value{}, false
}

// end returns the offset after the JSON text.
func (l *locator) end() int { return l.byKey[""].end }

// join returns the key of a member.
func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// parent returns the key that holds key.
func parent(key string) string {
	return key[:max(0, strings.LastIndexAny(key, ".["))]
}
