package approver

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

// The largest allowed values in a bundle.
const (
	MaxTaskLimit      = 1100
	MaxDeadlineMillis = 60_000
	MaxTeams          = 1000
	MaxTeamTasks      = 10_000_000
	MaxWaitingTasks   = 10_000_000
	MaxPercent        = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// InvalidValue is an invalid value in a bundle.
type InvalidValue struct {
	// Key is the path of the value, such as Services[0].TaskLimit.
	Key string
	// Problem states the value found and the allowed values.
	Problem string
}

// String returns the key and the problem on one line.
func (f InvalidValue) String() string { return f.Key + ": " + f.Problem }

// validator collects the invalid values of a bundle.
type validator struct {
	invalid []InvalidValue
}

func (v *validator) addInvalid(key string, found any, allowed string) {
	v.invalid = append(v.invalid, InvalidValue{Key: key, Problem: fmt.Sprintf("found %v, allowed %s", found, allowed)})
}

func (v *validator) checkRange(path string, n, low, high int) {
	if n < low || n > high {
		v.addInvalid(path, n, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) checkName(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.addInvalid(path, fmt.Sprintf("%q", name), "1 to 63 lower-case letters, digits and hyphens")
	}
	if seen[name] {
		v.addInvalid(path, fmt.Sprintf("%q", name), "a name that occurs once")
	}
	seen[name] = true
}

// Check returns an Invalid error that lists every invalid value of b with its path,
// the value found and the allowed values. It returns nil if there are none.
func (b Bundle) Check() error {
	invalid := b.InvalidValues()
	if len(invalid) == 0 {
		return nil
	}
	lines := make([]string, 0, len(invalid))
	for _, f := range invalid {
		lines = append(lines, f.String())
	}
	return &Error{Op: "check", Kind: Invalid, Err: errors.New(strings.Join(lines, "; "))}
}

// InvalidValues returns every invalid value of b.
func (b Bundle) InvalidValues() []InvalidValue {
	v := &validator{}
	if b.Version == 0 {
		v.addInvalid("Version", 0, "1 or more")
	}
	if b.Author == "" {
		v.addInvalid("Author", `""`, "the name of who wrote the bundle")
	}
	b.checkServices(v)
	b.checkDataCentres(v)
	b.checkTeams(v)
	v.checkRange("Limits.WaitingTaskLimit", b.Limits.WaitingTaskLimit, 1, MaxWaitingTasks)
	v.checkRange("Limits.EjectPercent", b.Limits.EjectPercent, 0, MaxPercent)
	v.checkRange("Limits.RetryPercent", b.Limits.RetryPercent, 0, MaxPercent)
	return v.invalid
}

func (b Bundle) checkServices(v *validator) {
	if len(b.Services) == 0 {
		v.addInvalid("Services", "none", "at least one")
	}
	seen := make(map[string]bool)
	for i, s := range b.Services {
		path := fmt.Sprintf("Services[%d]", i)
		v.checkName(path+".Name", s.Name, seen)
		v.checkRange(path+".TaskLimit", s.TaskLimit, 1, MaxTaskLimit)
		v.checkRange(path+".DeadlineLimitMillis", s.DeadlineLimitMillis, 1, MaxDeadlineMillis)
		v.checkRange(path+".ExpectedRunMillis", s.ExpectedRunMillis, 1, MaxDeadlineMillis)
	}
}

func (b Bundle) checkDataCentres(v *validator) {
	seen := make(map[string]bool)
	for i, d := range b.DataCentres {
		path := fmt.Sprintf("DataCentres[%d]", i)
		v.checkName(path+".Name", d.Name, seen)
		if d.State != In && d.State != Out {
			v.addInvalid(path+".State", fmt.Sprintf("%q", d.State), "In or Out")
		}
	}
}

func (b Bundle) checkTeams(v *validator) {
	if len(b.Teams) == 0 || len(b.Teams) > MaxTeams {
		v.addInvalid("Teams", len(b.Teams), fmt.Sprintf("1 to %d teams", MaxTeams))
	}
	seen := make(map[string]bool)
	for i, t := range b.Teams {
		path := fmt.Sprintf("Teams[%d]", i)
		v.checkName(path+".Name", t.Name, seen)
		v.checkRange(path+".TaskLimit", t.TaskLimit, 1, MaxTeamTasks)
	}
}
