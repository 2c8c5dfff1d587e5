package checker

import "fmt"

// Change is the difference of one value from the version in force.
type Change struct {
	// Path is the key of the value, with list elements identified by their names.
	Path string
	// Was is the value in force. It is nil if the value was added.
	Was *string `json:",omitempty"`
	// Is is the value in the file. It is nil if the value was removed.
	Is *string `json:",omitempty"`
}

// String describes the change on one line.
func (c Change) String() string {
	switch {
	case c.Was == nil:
		return "added " + *c.Is
	case c.Is == nil:
		return fmt.Sprintf("removed %s = %s", c.Path, *c.Was)
	}
	return fmt.Sprintf("%s, was %s", *c.Is, *c.Was)
}
