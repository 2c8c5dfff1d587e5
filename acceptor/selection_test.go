package acceptor

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func fleet(entry string, n int) []candidate {
	var list []candidate
	for i := range n {
		agent := fmt.Sprintf("agent-%d", i)
		list = append(list, candidate{agent: agent, dataCentre: fmt.Sprintf("dc-%d", i%3), rank: rankOf(entry, agent), reachable: true, usable: true})
	}
	return list
}

func TestSmallFleetIsLinkedWhole(t *testing.T) {
	require.Len(t, selectAgents("dc-0", fleet("entry-1", 11), baseLinks), 11)
}

func TestLinksAreBoundedAndMostlyLocal(t *testing.T) {
	list := fleet("entry-1", 300)
	chosen := selectAgents("dc-0", list, baseLinks)
	require.Len(t, chosen, baseLinks)
	local := 0
	for _, name := range chosen {
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
		list := fleet(fmt.Sprintf("entry-%d", e), 68)
		for _, name := range selectAgents(fmt.Sprintf("dc-%d", e%3), list, baseLinks) {
			links[name]++
		}
	}
	require.Len(t, links, 68)
}

func TestAgentsThatAreNotUsableAreReplaced(t *testing.T) {
	list := fleet("entry-1", 68)
	before := selectAgents("dc-0", list, baseLinks)
	for i := range list {
		list[i].usable = list[i].dataCentre != "dc-0"
	}
	after := selectAgents("dc-0", list, baseLinks)
	usable := 0
	for _, name := range after {
		for _, c := range list {
			if c.agent == name && c.usable {
				usable++
			}
		}
	}
	require.Equal(t, baseLinks, usable)
	require.Subset(t, after, before)
}

func TestEntryShortOfRoomLinksMoreAgentsAndKeepsThoseThatItHas(t *testing.T) {
	list := fleet("entry-1", 68)
	before := selectAgents("dc-0", list, baseLinks)
	after := selectAgents("dc-0", list, baseLinks+linkShrinkStep)
	require.Len(t, after, baseLinks+linkShrinkStep)
	require.Subset(t, after, before)
}
