package checker

import (
	"fmt"
	"slices"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/configurer"
)

// loadDeployment reads the settings of the deployment of a bundle. It returns
// nil for none.
func loadDeployment(f *File) (*configurer.Settings, error) {
	if f == nil {
		return nil, nil
	}
	s, err := configurer.Parse(f.Name, f.Raw)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: Unreadable, File: f.Name, Err: err}
	}
	return &s, nil
}

// checkBundle judges a bundle, and against the settings of its deployment if
// they are given.
func (d document) checkBundle(deployment *File) ([]Finding, error) {
	settings, err := loadDeployment(deployment)
	if err != nil {
		return nil, err
	}
	read := decode(d, approver.Decode)
	out := read.findings
	if !read.whole {
		return out, nil
	}
	for _, f := range read.value.Faults() {
		if read.readable(f.Key) {
			out = append(out, d.finding(Fault, f.Key, f.Text))
		}
	}
	if hasFault(out) {
		return out, nil
	}
	out = append(out, d.serviceRules(read.value)...)
	out = append(out, d.dataCentreRules(read.value)...)
	if settings != nil {
		out = append(out, d.deploymentRules(read.value, *settings)...)
	}
	return out, nil
}

// serviceRules finds the limits of services that contradict each other or the
// limits of the whole.
func (d document) serviceRules(b approver.Bundle) []Finding {
	var out []Finding
	add := func(key, format string, args ...any) {
		out = append(out, d.finding(Contradiction, key, fmt.Sprintf(format, args...)))
	}
	widest := slices.MaxFunc(b.Teams, func(a, b approver.Team) int { return a.TaskLimit - b.TaskLimit })
	for i, s := range b.Services {
		path := fmt.Sprintf("Services[%d]", i)
		switch {
		case s.DeadlineLimitMillis < s.ExpectedRunMillis:
			add(path+".DeadlineLimitMillis", "%d is below ExpectedRunMillis, %d: no deadline within the limit leaves time for a run",
				s.DeadlineLimitMillis, s.ExpectedRunMillis)
		case s.Repeatable && s.DeadlineLimitMillis < 2*s.ExpectedRunMillis:
			add(path+".DeadlineLimitMillis", "Repeatable has no use: a resubmission keeps its deadline, and %d leaves no time for a second run of %d",
				s.DeadlineLimitMillis, s.ExpectedRunMillis)
		}
		if s.TaskLimit > widest.TaskLimit {
			add(path+".TaskLimit", "no team can submit %d tasks: the largest TaskLimit of Teams is %d", s.TaskLimit, widest.TaskLimit)
		}
		if s.TaskLimit > b.Limits.WaitingTaskLimit {
			add(path+".TaskLimit", "a job of %d tasks is always refused: Limits.WaitingTaskLimit is %d", s.TaskLimit, b.Limits.WaitingTaskLimit)
		}
	}
	return out
}

// dataCentreRules finds a bundle under which nothing can start.
func (d document) dataCentreRules(b approver.Bundle) []Finding {
	if len(b.DataCentres) == 0 || len(b.OutDataCentres()) < len(b.DataCentres) {
		return nil
	}
	return []Finding{d.finding(Unmatched, "DataCentres", "no job can start: every data centre is Out")}
}

// deploymentRules finds what no process of a deployment can match or reach.
func (d document) deploymentRules(b approver.Bundle, s configurer.Settings) []Finding {
	f := newFleet(s)
	out := d.unknownServices(b, f)
	out = append(out, d.unknownDataCentres(b, f)...)
	return append(out, d.unreachableLimits(b, f)...)
}

func (d document) unknownServices(b approver.Bundle, f fleet) []Finding {
	var out []Finding
	for i, s := range b.Services {
		if len(f.services) > 0 && !f.services[s.Name] {
			out = append(out, d.finding(Unmatched, fmt.Sprintf("Services[%d].Name", i),
				fmt.Sprintf("no upstream of the settings runs %q", s.Name)))
		}
	}
	return out
}

func (d document) unknownDataCentres(b approver.Bundle, f fleet) []Finding {
	var out []Finding
	listed := make(map[string]bool)
	for i, dc := range b.DataCentres {
		listed[dc.Name] = true
		if !f.dataCentres[dc.Name] {
			out = append(out, d.finding(Unmatched, fmt.Sprintf("DataCentres[%d].Name", i),
				fmt.Sprintf("no process of the settings is in %q", dc.Name)))
		}
	}
	for _, name := range f.agentDataCentres {
		if !listed[name] {
			out = append(out, d.finding(Unmatched, "DataCentres",
				fmt.Sprintf("%q has agents and is not listed: no take-out finds it", name)))
		}
	}
	return out
}

func (d document) unreachableLimits(b approver.Bundle, f fleet) []Finding {
	var out []Finding
	if p := b.Limits.EjectPercent; p > 0 && f.agents > 0 && p*f.agents < 100 {
		out = append(out, d.finding(Contradiction, "Limits.EjectPercent",
			fmt.Sprintf("%d percent of %d agents is less than one: no worker is ever set aside", p, f.agents)))
	}
	if f.places == 0 {
		return out
	}
	most := b.Services[0].TaskLimit
	for _, s := range b.Services {
		most = max(most, s.TaskLimit)
	}
	// Each unfinished job has a task that waits or runs.
	reach := (b.Limits.WaitingTaskLimit + f.places) * most
	for i, t := range b.Teams {
		if t.TaskLimit > reach {
			out = append(out, d.finding(Contradiction, fmt.Sprintf("Teams[%d].TaskLimit", i),
				fmt.Sprintf("%d is out of reach: the other limits and the upstreams leave room for %d unfinished tasks at one entry", t.TaskLimit, reach)))
		}
	}
	return out
}
