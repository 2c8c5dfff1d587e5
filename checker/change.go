package checker

import "fmt"

// Change is a difference of one value from the version in force.
type Change struct {
	// Path is the key with elements listed under their names.
	Path string
	// Was is the value in force, or nil for one that was added.
	Was *string `json:",omitempty"`
	// Is is the value in the file, or nil for one that was removed.
	Is *string `json:",omitempty"`
}

// String returns the change in words.
func (c Change) String() string {
	switch {
	case c.Was == nil:
		return "added " + *c.Is
	case c.Is == nil:
		return fmt.Sprintf("removed %s = %s", c.Path, *c.Was)
	}
	return fmt.Sprintf("%s, was %s", *c.Is, *c.Was)
}
