package checker

import (
	"fmt"
	"slices"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/configurer"
)

// loadDeployment parses the settings of a bundle's deployment. It returns nil if f is
// nil.
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

// checkBundle checks a bundle, also against the settings of its deployment if they
// are given.
func (d document) checkBundle(deployment *File) ([]Finding, error) {
	settings, err := loadDeployment(deployment)
	if err != nil {
		return nil, err
	}
	result := decode(d, approver.Decode)
	findings := result.findings
	if !result.complete {
		return findings, nil
	}
	for _, f := range result.value.InvalidValues() {
		if result.wasDecoded(f.Key) {
			findings = append(findings, d.finding(Fault, f.Key, f.Problem))
		}
	}
	if hasFault(findings) {
		return findings, nil
	}
	findings = append(findings, d.checkServices(result.value)...)
	findings = append(findings, d.checkDataCentres(result.value)...)
	if settings != nil {
		findings = append(findings, d.checkDeployment(result.value, *settings)...)
	}
	return findings, nil
}

// checkServices finds limits of services that contradict each other, the limits of the
// teams or those of the whole system.
func (d document) checkServices(b approver.Bundle) []Finding {
	var findings []Finding
	add := func(key, format string, args ...any) {
		findings = append(findings, d.finding(Contradiction, key, fmt.Sprintf(format, args...)))
	}
	largestTeam := slices.MaxFunc(b.Teams, func(a, b approver.Team) int { return a.TaskLimit - b.TaskLimit })
	for i, s := range b.Services {
		path := fmt.Sprintf("Services[%d]", i)
		if s.DeadlineLimitMillis < s.ExpectedRunMillis {
			add(path+".DeadlineLimitMillis", "%d is below ExpectedRunMillis, %d: by this first guess no deadline within the limit leaves time for a run",
				s.DeadlineLimitMillis, s.ExpectedRunMillis)
		}
		if s.TaskLimit > largestTeam.TaskLimit {
			add(path+".TaskLimit", "no team can submit %d tasks: the largest TaskLimit of Teams is %d", s.TaskLimit, largestTeam.TaskLimit)
		}
		if s.TaskLimit > b.Limits.WaitingTaskLimit {
			add(path+".TaskLimit", "a job of %d tasks is always refused: Limits.WaitingTaskLimit is %d", s.TaskLimit, b.Limits.WaitingTaskLimit)
		}
	}
	return findings
}

// checkDataCentres reports a bundle in which every listed data centre is out. Agents
// in data centres that are not listed still start tasks.
func (d document) checkDataCentres(b approver.Bundle) []Finding {
	if len(b.DataCentres) == 0 || len(b.OutDataCentres()) < len(b.DataCentres) {
		return nil
	}
	return []Finding{d.finding(Unmatched, "DataCentres", "every data centre listed is Out: no task can start in any of them")}
}

// checkDeployment finds items of the bundle that match no process of the deployment, and
// limits that its processes cannot reach.
func (d document) checkDeployment(b approver.Bundle, s configurer.Settings) []Finding {
	f := newFleet(s)
	out := d.checkServicesKnown(b, f)
	out = append(out, d.checkDataCentresKnown(b, f)...)
	return append(out, d.checkEjectPercent(b, f)...)
}

func (d document) checkServicesKnown(b approver.Bundle, f fleet) []Finding {
	var out []Finding
	for i, s := range b.Services {
		if len(f.services) > 0 && !f.services[s.Name] {
			out = append(out, d.finding(Unmatched, fmt.Sprintf("Services[%d].Name", i),
				fmt.Sprintf("no upstream of the settings runs %q", s.Name)))
		}
	}
	return out
}

func (d document) checkDataCentresKnown(b approver.Bundle, f fleet) []Finding {
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

// checkEjectPercent reports a limit on ejected workers that is less than one worker,
// unless it is 0, which disables ejection.
func (d document) checkEjectPercent(b approver.Bundle, f fleet) []Finding {
	p := b.Limits.EjectPercent
	if p == 0 || f.agents == 0 || p*f.agents >= 100 {
		return nil
	}
	return []Finding{d.finding(Contradiction, "Limits.EjectPercent",
		fmt.Sprintf("%d percent of %d agents is less than one: no worker is ever set aside", p, f.agents))}
}
