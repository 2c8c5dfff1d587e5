package acceptor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

// The witnesses, which keep the locks of jobs, have to be the same for all entries, so
// they are chosen by hashes of the agents' names. There are few of them, since each
// entry keeps a link to each.

const (
	// minWitnessGroups is the minimum number of groups that the witnesses are divided
	// into. Each data centre is a group, or several if there are too few.
	minWitnessGroups = 3
	// witnessesPerGroup is the number of witnesses in a group, so that another one can
	// take over when one is lost.
	witnessesPerGroup = 2
)

// selectWitnesses returns the witnesses among the known agents.
func selectWitnesses(candidates []candidate) []scheduler.Witness {
	groups := make(map[string][]candidate)
	split := splitDataCentres(candidates)
	for _, c := range candidates {
		if !c.witness {
			continue
		}
		group := c.dataCentre
		if split {
			group = fmt.Sprintf("%s/%d", group, xxhash.Sum64String(c.agent)%minWitnessGroups)
		}
		groups[group] = append(groups[group], c)
	}
	var out []scheduler.Witness
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, witnessesOf(group, groups[group])...)
	}
	return out
}

// witnessesOf returns the witnesses of a group: its first agents in the order that all
// entries share, and spare ones in place of those of them that cannot be reached.
func witnessesOf(group string, agents []candidate) []scheduler.Witness {
	slices.SortFunc(agents, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(witnessRank(a.agent), witnessRank(b.agent)), cmp.Compare(a.agent, b.agent))
	})
	var out []scheduler.Witness
	reachable := 0
	for _, c := range agents {
		if reachable >= witnessesPerGroup {
			break
		}
		out = append(out, scheduler.Witness{Agent: c.agent, Group: group, Spare: len(out) >= witnessesPerGroup})
		if c.reachable {
			reachable++
		}
	}
	return out
}

// splitDataCentres reports whether there are too few data centres for a group each.
func splitDataCentres(candidates []candidate) bool {
	dataCentres := make(map[string]bool)
	for _, c := range candidates {
		dataCentres[c.dataCentre] = true
	}
	return len(dataCentres) < minWitnessGroups
}

// witnessRank returns the position of an agent in the order in which all entries select
// witnesses.
func witnessRank(agent string) uint64 { return xxhash.Sum64String("witness/" + agent) }

// witnessAgents returns the names of the agents that are witnesses.
func witnessAgents(witnesses []scheduler.Witness) []string {
	out := make([]string, 0, len(witnesses))
	for _, w := range witnesses {
		out = append(out, w.Agent)
	}
	return out
}
