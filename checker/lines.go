package checker

import (
	"bytes"
	"strings"
)

// isLines reports whether raw has lines of key and value, as a machine's
// settings file does, and is no JSON.
func isLines(raw []byte) bool {
	text := bytes.TrimSpace(raw)
	if len(text) == 0 || strings.IndexByte("{[\"", text[0]) >= 0 {
		return false
	}
	return bytes.ContainsRune(text, '=')
}

// locateLines finds the keys in lines of key and value.
func locateLines(raw []byte) *locator {
	l := &locator{raw: raw, byKey: make(map[string]value), folded: make(map[string]value)}
	for i, text := range strings.Split(string(raw), "\n") {
		name, _, ok := strings.Cut(strings.TrimSpace(text), "=")
		if !ok {
			continue
		}
		key := strings.TrimSpace(name)
		if before, ok := l.byKey[key]; ok {
			l.repeats = append(l.repeats, repeat{key: key, line: before.line, again: i + 1})
		}
		l.byKey[key] = value{key: key, name: key, line: i + 1}
	}
	return l
}
