package checker

import (
	"fmt"
	"slices"
)

// Kind classifies a Finding.
type Kind string

// The kinds of findings.
const (
	// Fault means that the programs reject the file, or decode it differently from
	// what its text suggests.
	Fault Kind = "Fault"
	// Unmatched means that an item of the file never matches or takes effect, or
	// only in the way that the text of the finding states.
	Unmatched Kind = "Unmatched"
	// Contradiction means that two limits cannot both hold.
	Contradiction Kind = "Contradiction"
	// Changed means that a value differs from the version in force.
	Changed Kind = "Changed"
)

// Finding is a problem in a file or a difference from the version in force.
type Finding struct {
	File string
	// Line is the line number, from 1. For a missing key it is the line of the
	// object that should contain it.
	Line int
	// Key is the path of a value, such as Services[0].TaskLimit. It is empty for a
	// finding on the whole file.
	Key  string
	Kind Kind
	Text string
	// Change is set for findings of the kind Changed only.
	Change *Change `json:",omitempty"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Kind, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s: %s", f.File, f.Line, f.Kind, f.Key, f.Text)
}

// hasFault reports whether a finding is a Fault, so that the programs would reject the
// file.
func hasFault(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Kind == Fault })
}
