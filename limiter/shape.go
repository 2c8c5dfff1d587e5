package limiter

import "fmt"

// Shape bounds the parts of a value in JSON, which decoded may take many times the bytes that
// it was sent in. Package encoding/json finds out how many there are only as it makes them.
type Shape struct {
	// Elements bounds the elements of each list and the fields of each object.
	Elements int
	// Depth is how deep lists and objects are decoded: those inside are not looked at,
	// since they are kept as they were sent. 0 means that all are decoded.
	Depth int
}

// Check returns an error of the kind Malformed if a value has too many parts. It accepts
// other malformed values, which the decoder reports.
func (s Shape) Check(raw []byte) error {
	var elements [maxDepth]int // Of each list and object that is open.
	counted := maxDepth
	if s.Depth > 0 {
		counted = min(s.Depth, maxDepth)
	}
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = endOfString(raw, i)
		case '[', '{':
			if depth == counted && s.Depth == 0 {
				return tooManyParts("lists and objects nested more than %d deep", maxDepth)
			}
			if depth < counted {
				elements[depth] = 1
			}
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		case ',':
			if depth == 0 || depth > counted {
				continue
			}
			elements[depth-1]++
			if elements[depth-1] > s.Elements {
				return tooManyParts("a list or an object of more than %d elements", s.Elements)
			}
		}
	}
	return nil
}

func tooManyParts(format string, n int) error {
	return &Error{Op: "body", Kind: Malformed, Text: fmt.Sprintf(format, n)}
}

// maxDepth bounds how deep lists and objects are nested where all are decoded.
const maxDepth = 64

// endOfString returns the index of the quote that ends the string which begins at i, or the
// length of raw.
func endOfString(raw []byte, i int) int {
	for i++; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return i
}
