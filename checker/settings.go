package checker

import (
	"fmt"

	"github.com/pomeloferry/pomeloferry/configurer"
)

// checkSettings checks the settings of a deployment.
func (d document) checkSettings() []Finding {
	result := decode(d, configurer.Decode)
	findings := result.findings
	if !result.complete {
		return findings
	}
	for _, f := range result.value.InvalidValues() {
		if result.wasDecoded(f.Key) {
			findings = append(findings, d.finding(Fault, f.Key, f.Problem))
		}
	}
	if hasFault(findings) {
		return findings
	}
	findings = append(findings, d.checkEmptyLists(result.value)...)
	return append(findings, d.checkUpstreams(result.value)...)
}

// checkEmptyLists reports empty lists without which a deployment cannot work.
func (d document) checkEmptyLists(s configurer.Settings) []Finding {
	var out []Finding
	if len(s.Trust) == 0 {
		out = append(out, d.finding(Unmatched, "Trust", "no approver: no bundle can be rolled out"))
	}
	if len(s.Agents) == 0 {
		out = append(out, d.finding(Unmatched, "Agents", "no agent: no job can start"))
	}
	return out
}

// checkUpstreams finds upstreams that use the same agent, where one displaces the
// other, limits that cannot be reached, and services that are listed twice.
func (d document) checkUpstreams(s configurer.Settings) []Finding {
	var out []Finding
	upstreamByAgent := make(map[string]string)
	for i, u := range s.Upstreams {
		path := fmt.Sprintf("Upstreams[%d]", i)
		if other := upstreamByAgent[u.Agent]; other != "" {
			out = append(out, d.finding(Unmatched, path+".Agent",
				fmt.Sprintf("%s is beside %s already; an agent keeps one upstream", other, u.Agent)))
		}
		upstreamByAgent[u.Agent] = u.ID
		if u.Slots > u.Connections {
			out = append(out, d.finding(Contradiction, path+".Slots",
				fmt.Sprintf("%d cannot run at once over %d connections", u.Slots, u.Connections)))
		}
		out = append(out, d.checkDuplicateServices(path, u.Services)...)
	}
	return out
}

func (d document) checkDuplicateServices(path string, services []string) []Finding {
	var out []Finding
	seen := make(map[string]bool)
	for i, name := range services {
		if seen[name] {
			out = append(out, d.finding(Unmatched, fmt.Sprintf("%s.Services[%d]", path, i),
				fmt.Sprintf("%q is listed already", name)))
		}
		seen[name] = true
	}
	return out
}
