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
		if s.DeadlineLimitMillis < s.ExpectedRunMillis {
			add(path+".DeadlineLimitMillis", "%d is below ExpectedRunMillis, %d: by this first guess no deadline within the limit leaves time for a run",
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

// dataCentreRules finds a bundle that takes out every data centre it lists.
// Agents in others still start tasks.
func (d document) dataCentreRules(b approver.Bundle) []Finding {
	if len(b.DataCentres) == 0 || len(b.OutDataCentres()) < len(b.DataCentres) {
		return nil
	}
	return []Finding{d.finding(Unmatched, "DataCentres", "every data centre listed is Out: no task can start in any of them")}
}

// deploymentRules finds what no process of a deployment can match or reach.
func (d document) deploymentRules(b approver.Bundle, s configurer.Settings) []Finding {
	f := newFleet(s)
	out := d.unknownServices(b, f)
	out = append(out, d.unknownDataCentres(b, f)...)
	return append(out, d.ejectionRules(b, f)...)
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

// ejectionRules finds a limit on ejected workers that allows none.
func (d document) ejectionRules(b approver.Bundle, f fleet) []Finding {
	p := b.Limits.EjectPercent
	if p == 0 || f.agents == 0 || p*f.agents >= 100 {
		return nil
	}
	return []Finding{d.finding(Contradiction, "Limits.EjectPercent",
		fmt.Sprintf("%d percent of %d agents is less than one: no worker is ever set aside", p, f.agents))}
}
