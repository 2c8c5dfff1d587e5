package checker

import (
	"maps"
	"slices"

	"github.com/pomeloferry/pomeloferry/configurer"
)

// fleet is what the settings of a deployment tell of its processes.
type fleet struct {
	agents int
	// dataCentres are those of all processes, agentDataCentres those of agents
	// in the order of their names.
	dataCentres      map[string]bool
	agentDataCentres []string
	// services are what the upstreams run. They are empty unless the settings
	// name the upstream of each agent, since others announce themselves.
	services map[string]bool
}

func newFleet(s configurer.Settings) fleet {
	f := fleet{agents: len(s.Agents), dataCentres: make(map[string]bool)}
	for _, e := range s.Entries {
		f.dataCentres[e.DataCentre] = true
	}
	ofAgents := make(map[string]bool)
	for _, a := range s.Agents {
		f.dataCentres[a.DataCentre] = true
		ofAgents[a.DataCentre] = true
	}
	f.agentDataCentres = slices.Sorted(maps.Keys(ofAgents))
	served := make(map[string]bool)
	for _, u := range s.Upstreams {
		served[u.Agent] = true
	}
	if len(served) < len(s.Agents) {
		return f
	}
	f.services = make(map[string]bool)
	for _, u := range s.Upstreams {
		for _, service := range u.Services {
			f.services[service] = true
		}
	}
	return f
}
