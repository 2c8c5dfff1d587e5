package checker

import (
	"bytes"
	"strings"
)

// isKeyValueText reports whether raw consists of key-value lines, like a machine's
// settings file, and is not JSON.
func isKeyValueText(raw []byte) bool {
	text := bytes.TrimSpace(raw)
	if len(text) == 0 || strings.IndexByte("{[\"", text[0]) >= 0 {
		return false
	}
	return bytes.ContainsRune(text, '=')
}

// locateKeyValueLines returns the positions of the keys in key-value lines.
func locateKeyValueLines(raw []byte) *locator {
	l := &locator{raw: raw, byKey: make(map[string]value), byFoldedKey: make(map[string]value)}
	for i, text := range strings.Split(string(raw), "\n") {
		name, _, ok := strings.Cut(strings.TrimSpace(text), "=")
		if !ok {
			continue
		}
		key := strings.TrimSpace(name)
		if before, ok := l.byKey[key]; ok {
			l.duplicates = append(l.duplicates, duplicateKey{key: key, line: before.line, overridingLine: i + 1})
		}
		l.byKey[key] = value{key: key, name: key, line: i + 1}
	}
	return l
}
