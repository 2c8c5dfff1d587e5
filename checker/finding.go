package checker

import (
	"fmt"
	"slices"
)

// Kind classifies a Finding.
type Kind string

// The kinds of findings.
const (
	// Fault means that the programs refuse the file, or read it otherwise than
	// it looks.
	Fault Kind = "Fault"
	// Unmatched means that an entry of the file can never match or take effect,
	// or only as the text says.
	Unmatched Kind = "Unmatched"
	// Contradiction means that two limits cannot both hold.
	Contradiction Kind = "Contradiction"
	// Changed means that a value differs from the version in force.
	Changed Kind = "Changed"
)

// Finding is one thing to know about a file before it is sent.
type Finding struct {
	File string
	// Line counts from 1. A missing key has the line of what should hold it.
	Line int
	// Key is the path of a value, such as Services[0].TaskLimit. It is empty
	// where the file as a whole is meant.
	Key  string
	Kind Kind
	Text string
	// Change is not nil for a finding of the kind Changed.
	Change *Change `json:",omitempty"`
}

// String returns the finding in a line.
func (f Finding) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Kind, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s: %s", f.File, f.Line, f.Kind, f.Key, f.Text)
}

// hasFault reports whether the programs would refuse the file.
func hasFault(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Kind == Fault })
}
