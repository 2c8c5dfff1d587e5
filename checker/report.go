package checker

import (
	"fmt"
	"io"
	"strings"
)

// Report is the result of a check.
type Report struct {
	File string
	// Form is empty if the file is not valid JSON.
	Form Form
	// Against is the name of the version in force that the file was compared with.
	Against string `json:",omitempty"`
	// Findings are in the order of their lines.
	Findings []Finding
}

// Clean reports whether there are no findings.
func (r Report) Clean() bool { return len(r.Findings) == 0 }

// Print writes the findings, one a line, then the differences and a summary.
func (r Report) Print(w io.Writer) error {
	var b strings.Builder
	changes := 0
	for _, f := range r.Findings {
		if f.Change != nil {
			changes++
			continue
		}
		fmt.Fprintln(&b, f)
	}
	if changes > 0 {
		r.printChanges(&b)
	}
	if r.Clean() {
		fmt.Fprintf(&b, "%s: %s: clean\n", r.File, r.Form)
	} else {
		fmt.Fprintf(&b, "%s: %d findings, %d of them differences\n", r.File, len(r.Findings), changes)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r Report) printChanges(w io.Writer) {
	fmt.Fprintf(w, "--- %s\n+++ %s\n", r.Against, r.File)
	line := 0
	for _, f := range r.Findings {
		c := f.Change
		if c == nil {
			continue
		}
		if f.Line != line {
			line = f.Line
			fmt.Fprintf(w, "@@ line %d @@\n", line)
		}
		if c.Was != nil {
			fmt.Fprintf(w, "-%s = %s\n", c.Path, *c.Was)
		}
		if c.Is != nil {
			fmt.Fprintf(w, "+%s = %s\n", c.Path, *c.Is)
		}
	}
}
