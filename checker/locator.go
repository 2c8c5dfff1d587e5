package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// maxDepth is the nesting depth down to which values are distinguished. No form is
// nested as deep.
const maxDepth = 16

// value is the position of a JSON value in a file.
type value struct {
	key string
	// name is the name of an object's member. It is empty for a list element.
	name string
	// start and end are byte offsets; end is exclusive.
	start    int
	end      int
	line     int
	isObject bool
}

// duplicateKey is a member of an object whose name occurs again later in the object.
type duplicateKey struct {
	key  string
	line int
	// overridingLine is the line of the member that takes precedence. If both values
	// are objects, members of the earlier one that the later one lacks still count.
	overridingLine int
}

// locator holds the positions of all values of a JSON text.
type locator struct {
	raw     []byte
	decoder *json.Decoder
	// depth is the number of values that contain the next one.
	depth int
	// lineOffset and lineNumber are the last position whose line was counted.
	lineOffset int
	lineNumber int
	// values are in the order of their ends, so that a value comes after those that
	// it contains.
	values      []value
	byKey       map[string]value
	byFoldedKey map[string]value
	duplicates  []duplicateKey
}

// locate finds all values of the JSON text at the start of raw. The error is a
// *json.SyntaxError, or io.EOF or io.ErrUnexpectedEOF if the text ends too early.
func locate(raw []byte) (*locator, error) {
	l := &locator{
		raw:         raw,
		decoder:     json.NewDecoder(bytes.NewReader(raw)),
		lineNumber:  1,
		byKey:       make(map[string]value),
		byFoldedKey: make(map[string]value),
	}
	// Decoding the whole text first returns the same syntax errors as the programs.
	var whole json.RawMessage
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&whole); err != nil {
		return nil, err
	}
	return l, l.walk("", "")
}

// walk records the next value and all values in it.
func (l *locator) walk(key, name string) error {
	if l.depth > maxDepth {
		var deep json.RawMessage
		return l.decoder.Decode(&deep)
	}
	l.depth++
	defer func() { l.depth-- }()
	v := value{key: key, name: name, start: l.skipSeparators(int(l.decoder.InputOffset()))}
	v.line = l.lineAt(v.start)
	token, err := l.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		v.isObject = true
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
	l.byFoldedKey[strings.ToLower(key)] = v
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
		if previous := lines[name]; previous != 0 {
			l.duplicates = append(l.duplicates, duplicateKey{key: member, line: previous, overridingLine: line})
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

// skipSeparators returns the offset of the next value: the first one after the white
// space and the separators at offset.
func (l *locator) skipSeparators(offset int) int {
	for offset < len(l.raw) && strings.IndexByte(" \t\r\n:,", l.raw[offset]) >= 0 {
		offset++
	}
	return offset
}

// lineAt returns the line of an offset. It counts from the offset of the previous call
// if that is not greater.
func (l *locator) lineAt(offset int) int {
	offset = max(0, min(offset, len(l.raw)))
	if offset < l.lineOffset {
		return 1 + bytes.Count(l.raw[:offset], []byte("\n"))
	}
	l.lineNumber += bytes.Count(l.raw[l.lineOffset:offset], []byte("\n"))
	l.lineOffset = offset
	return l.lineNumber
}

// find returns the value of a key. Like encoding/json, it falls back to a match that
// ignores case.
func (l *locator) find(key string) (value, bool) {
	if v, ok := l.byKey[key]; ok {
		return v, true
	}
	v, ok := l.byFoldedKey[strings.ToLower(key)]
	return v, ok
}

// line returns the line of a key, or if the key is missing, of the closest key that
// contains it.
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

// smallestAt returns the smallest value that a decoder had begun to decode when it
// stopped at offset.
func (l *locator) smallestAt(offset int) (value, bool) {
	for _, v := range l.values {
		if v.start < offset && offset <= v.end {
			return v, true
		}
	}
	return value{}, false
}

// end returns the offset of the end of the JSON text.
func (l *locator) end() int { return l.byKey[""].end }

// join returns the key of a member.
func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// parent returns the key of the value that contains key.
func parent(key string) string {
	return key[:max(0, strings.LastIndexAny(key, ".["))]
}
