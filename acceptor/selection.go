package acceptor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// localLinkShare is the share of an entry's links that is in its own data centre,
// if there are as many agents.
const localLinkShare = 0.6

// candidate is an agent that may be linked.
type candidate struct {
	agent      string
	dataCentre string
	// rank is the place of the agent among all for this entry; see rankOf.
	rank uint64
	// reachable is whether the agent is linked, or has not failed to be.
	reachable bool
	// usable is whether tasks may be placed there: it is reached and its data
	// centre is not evacuated.
	usable bool
}

// rankOf ranks an agent for an entry by a hash of both names, so that the
// entries share the agents out evenly without a word between them.
func rankOf(entry, agent string) uint64 { return xxhash.Sum64String(entry + "/" + agent) }

// selectAgents returns the agents at which an entry has its tasks run: the first most
// of its own ranking. Agents that are not usable are passed over in the count, so
// that others take their place.
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

// selectMatching adds the first candidates that suit until most usable ones have been
// added, and returns how many were.
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
