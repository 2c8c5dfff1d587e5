package acceptor

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newCandidates returns n usable agents of three data centres, ranked for an entry.
func newCandidates(entry string, n int) []candidate {
	var candidates []candidate
	for i := range n {
		agent := fmt.Sprintf("agent-%d", i)
		candidates = append(candidates, candidate{agent: agent, dataCentre: fmt.Sprintf("dc-%d", i%3), rank: rankOf(entry, agent), reachable: true, usable: true})
	}
	return candidates
}

func TestSmallFleetIsLinkedWhole(t *testing.T) {
	require.Len(t, selectAgents("dc-0", newCandidates("entry-1", 11), baseLinks), 11)
}

func TestLinksAreBoundedAndMostlyLocal(t *testing.T) {
	candidates := newCandidates("entry-1", 300)
	selected := selectAgents("dc-0", candidates, baseLinks)
	require.Len(t, selected, baseLinks)
	local := 0
	for _, name := range selected {
		var i int
		_, err := fmt.Sscanf(name, "agent-%d", &i)
		require.NoError(t, err)
		if i%3 == 0 {
			local++
		}
	}
	require.GreaterOrEqual(t, float64(local), localLinkShare*baseLinks-1)
}

func TestEveryAgentOfAGrownFleetIsLinked(t *testing.T) {
	links := make(map[string]int)
	for e := range 12 {
		candidates := newCandidates(fmt.Sprintf("entry-%d", e), 68)
		for _, name := range selectAgents(fmt.Sprintf("dc-%d", e%3), candidates, baseLinks) {
			links[name]++
		}
	}
	require.Len(t, links, 68)
}

func TestAgentsThatAreNotUsableAreReplaced(t *testing.T) {
	candidates := newCandidates("entry-1", 68)
	before := selectAgents("dc-0", candidates, baseLinks)
	for i := range candidates {
		candidates[i].usable = candidates[i].dataCentre != "dc-0"
	}
	after := selectAgents("dc-0", candidates, baseLinks)
	usable := 0
	for _, name := range after {
		for _, c := range candidates {
			if c.agent == name && c.usable {
				usable++
			}
		}
	}
	require.Equal(t, baseLinks, usable)
	require.Subset(t, after, before)
}

func TestEntryShortOfCapacityLinksMoreAgentsAndKeepsThoseThatItHas(t *testing.T) {
	candidates := newCandidates("entry-1", 68)
	before := selectAgents("dc-0", candidates, baseLinks)
	after := selectAgents("dc-0", candidates, baseLinks+linkShrinkStep)
	require.Len(t, after, baseLinks+linkShrinkStep)
	require.Subset(t, after, before)
}
