package checker

import (
	"maps"
	"slices"

	"github.com/pomeloferry/pomeloferry/configurer"
)

// fleet summarises the processes in the settings of a deployment.
type fleet struct {
	agents int
	// dataCentres holds those of all processes, agentDataCentres those of agents,
	// sorted by name.
	dataCentres      map[string]bool
	agentDataCentres []string
	// services holds the services that the upstreams run. It is empty unless the
	// settings list an upstream for each agent: an upstream that is not listed announces
	// itself, so its services are not known from the settings.
	services map[string]bool
}

func newFleet(s configurer.Settings) fleet {
	f := fleet{agents: len(s.Agents), dataCentres: make(map[string]bool)}
	for _, e := range s.Entries {
		f.dataCentres[e.DataCentre] = true
	}
	agentDataCentres := make(map[string]bool)
	for _, a := range s.Agents {
		f.dataCentres[a.DataCentre] = true
		agentDataCentres[a.DataCentre] = true
	}
	f.agentDataCentres = slices.Sorted(maps.Keys(agentDataCentres))
	agentsWithUpstream := make(map[string]bool)
	for _, u := range s.Upstreams {
		agentsWithUpstream[u.Agent] = true
	}
	if len(agentsWithUpstream) < len(s.Agents) {
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
