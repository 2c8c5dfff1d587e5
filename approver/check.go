package approver

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

// The limits of the values in a bundle.
const (
	MaxTaskLimit      = 1100
	MaxDeadlineMillis = 60_000
	MaxTeams          = 1000
	MaxTeamTasks      = 10_000_000
	MaxWaitingTasks   = 10_000_000
	MaxPercent        = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Fault is one value of a bundle that is not allowed.
type Fault struct {
	// Key is the path of the value, such as Services[0].TaskLimit.
	Key string
	// Text tells the value found and what is allowed.
	Text string
}

// String returns the fault in a line.
func (f Fault) String() string { return f.Key + ": " + f.Text }

// checker gathers the faults of a bundle.
type checker struct {
	faults []Fault
}

func (c *checker) add(key string, found any, allowed string) {
	c.faults = append(c.faults, Fault{Key: key, Text: fmt.Sprintf("found %v, allowed %s", found, allowed)})
}

func (c *checker) between(path string, n, low, high int) {
	if n < low || n > high {
		c.add(path, n, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) name(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.add(path, fmt.Sprintf("%q", name), "1 to 63 lower-case letters, digits and hyphens")
	}
	if seen[name] {
		c.add(path, fmt.Sprintf("%q", name), "a name that occurs once")
	}
	seen[name] = true
}

// Check returns one error that lists every fault of b by path, value found
// and value allowed, or nil.
func (b Bundle) Check() error {
	faults := b.Faults()
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return &Error{Op: "check", Kind: Invalid, Err: errors.New(strings.Join(lines, "; "))}
}

// Faults lists every fault of b.
func (b Bundle) Faults() []Fault {
	c := &checker{}
	if b.Version == 0 {
		c.add("Version", 0, "1 or more")
	}
	if b.Author == "" {
		c.add("Author", `""`, "the name of who wrote the bundle")
	}
	b.checkServices(c)
	b.checkDataCentres(c)
	b.checkTeams(c)
	c.between("Limits.WaitingTaskLimit", b.Limits.WaitingTaskLimit, 1, MaxWaitingTasks)
	c.between("Limits.EjectPercent", b.Limits.EjectPercent, 0, MaxPercent)
	c.between("Limits.RetryPercent", b.Limits.RetryPercent, 0, MaxPercent)
	return c.faults
}

func (b Bundle) checkServices(c *checker) {
	if len(b.Services) == 0 {
		c.add("Services", "none", "at least one")
	}
	seen := make(map[string]bool)
	for i, s := range b.Services {
		path := fmt.Sprintf("Services[%d]", i)
		c.name(path+".Name", s.Name, seen)
		c.between(path+".TaskLimit", s.TaskLimit, 1, MaxTaskLimit)
		c.between(path+".DeadlineLimitMillis", s.DeadlineLimitMillis, 1, MaxDeadlineMillis)
		c.between(path+".ExpectedRunMillis", s.ExpectedRunMillis, 1, MaxDeadlineMillis)
	}
}

func (b Bundle) checkDataCentres(c *checker) {
	seen := make(map[string]bool)
	for i, d := range b.DataCentres {
		path := fmt.Sprintf("DataCentres[%d]", i)
		c.name(path+".Name", d.Name, seen)
		if d.State != In && d.State != Out {
			c.add(path+".State", fmt.Sprintf("%q", d.State), "In or Out")
		}
	}
}

func (b Bundle) checkTeams(c *checker) {
	if len(b.Teams) == 0 || len(b.Teams) > MaxTeams {
		c.add("Teams", len(b.Teams), fmt.Sprintf("1 to %d teams", MaxTeams))
	}
	seen := make(map[string]bool)
	for i, t := range b.Teams {
		path := fmt.Sprintf("Teams[%d]", i)
		c.name(path+".Name", t.Name, seen)
		c.between(path+".TaskLimit", t.TaskLimit, 1, MaxTeamTasks)
	}
}
