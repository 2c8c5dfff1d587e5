package checker

import (
	"fmt"

	"github.com/pomeloferry/pomeloferry/configurer"
)

// checkSettings judges the settings of a deployment.
func (d document) checkSettings() []Finding {
	read := decode(d, configurer.Decode)
	out := read.findings
	if !read.whole {
		return out
	}
	for _, f := range read.value.Faults() {
		if read.readable(f.Key) {
			out = append(out, d.finding(Fault, f.Key, f.Text))
		}
	}
	if hasFault(out) {
		return out
	}
	out = append(out, d.emptyLists(read.value)...)
	return append(out, d.upstreamRules(read.value)...)
}

// emptyLists finds lists without which a deployment does nothing.
func (d document) emptyLists(s configurer.Settings) []Finding {
	var out []Finding
	if len(s.Trust) == 0 {
		out = append(out, d.finding(Unmatched, "Trust", "no approver: no bundle can be rolled out"))
	}
	if len(s.Agents) == 0 {
		out = append(out, d.finding(Unmatched, "Agents", "no agent: no job can start"))
	}
	return out
}

// upstreamRules finds upstreams that displace each other, and limits that
// cannot be used.
func (d document) upstreamRules(s configurer.Settings) []Finding {
	var out []Finding
	beside := make(map[string]string)
	for i, u := range s.Upstreams {
		path := fmt.Sprintf("Upstreams[%d]", i)
		if other := beside[u.Agent]; other != "" {
			out = append(out, d.finding(Unmatched, path+".Agent",
				fmt.Sprintf("%s is beside %s already; an agent keeps one upstream", other, u.Agent)))
		}
		beside[u.Agent] = u.ID
		if u.Slots > u.Connections {
			out = append(out, d.finding(Contradiction, path+".Slots",
				fmt.Sprintf("%d cannot run at once over %d connections", u.Slots, u.Connections)))
		}
		out = append(out, d.repeatedServices(path, u.Services)...)
	}
	return out
}

func (d document) repeatedServices(path string, services []string) []Finding {
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
