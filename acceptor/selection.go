package acceptor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// localLinkShare is the share of an entry's links that lead to its own data centre, if
// that has enough agents.
const localLinkShare = 0.6

// candidate is a known agent as the selection of the agents to link sees it.
type candidate struct {
	agent      string
	dataCentre string
	// rank is the agent's position in the entry's ranking; see rankOf.
	rank uint64
	// reachable is whether the last maxDialFailures dials have not all failed.
	reachable bool
	// registered is whether the agent is in the directory.
	registered bool
	// leaving is whether its worker drains, with which the agent's machine may go.
	leaving bool
	// usable is whether tasks may be placed there: the agent is reachable and
	// its data centre is not evacuated.
	usable bool
}

// rankOf returns the position of an agent in an entry's ranking; lower ones come first.
// It is a hash of both names, so that the entries spread evenly over the agents without
// coordination.
func rankOf(entry, agent string) uint64 { return xxhash.Sum64String(entry + "/" + agent) }

// selectAgents returns the agents at which an entry runs its tasks, in the order of its
// ranking. A share of localLinkShare is selected first among the agents of the entry's
// own data centre, the rest among all, each time those that come first in the ranking,
// until limit usable ones are selected in all. Agents that are not usable are selected
// but not counted, so that others are added in their place.
func selectAgents(dataCentre string, candidates []candidate, limit int) []string {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b candidate) int {
		if c := cmp.Compare(a.rank, b.rank); c != 0 {
			return c
		}
		return cmp.Compare(a.agent, b.agent)
	})
	selected := make(map[string]bool)
	local := selectMatching(selected, sorted, int(localLinkShare*float64(limit)), func(c candidate) bool { return c.dataCentre == dataCentre })
	selectMatching(selected, sorted, limit-local, func(candidate) bool { return true })
	var out []string
	for _, c := range sorted {
		if selected[c.agent] {
			out = append(out, c.agent)
		}
	}
	return out
}

// selectMatching adds the first matching candidates to selected until limit usable ones
// have been added. It returns the number of usable ones that it added.
func selectMatching(selected map[string]bool, candidates []candidate, limit int, matches func(candidate) bool) int {
	n := 0
	for _, c := range candidates {
		if n >= limit {
			break
		}
		if selected[c.agent] || !matches(c) {
			continue
		}
		selected[c.agent] = true
		if c.usable {
			n++
		}
	}
	return n
}
