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
		list = append(list, candidate{agent: agent, dataCentre: fmt.Sprintf("dc-%d", i%3), rank: rankOf(entry, agent), reached: true, usable: true})
	}
	return list
}

func TestSmallFleetIsLinkedWhole(t *testing.T) {
	require.Len(t, choose("dc-0", fleet("entry-1", 11), linksBase), 11)
}

func TestLinksAreBoundedAndMostlyLocal(t *testing.T) {
	list := fleet("entry-1", 300)
	chosen := choose("dc-0", list, linksBase)
	require.Len(t, chosen, linksBase)
	local := 0
	for _, name := range chosen {
		var i int
		_, err := fmt.Sscanf(name, "agent-%d", &i)
		require.NoError(t, err)
		if i%3 == 0 {
			local++
		}
	}
	require.GreaterOrEqual(t, float64(local), localShare*linksBase-1)
}

func TestEveryAgentOfAGrownFleetIsLinked(t *testing.T) {
	links := make(map[string]int)
	for e := range 12 {
		list := fleet(fmt.Sprintf("entry-%d", e), 68)
		for _, name := range choose(fmt.Sprintf("dc-%d", e%3), list, linksBase) {
			links[name]++
		}
	}
	require.Len(t, links, 68)
}

func TestAgentsThatAreNotUsableAreReplaced(t *testing.T) {
	list := fleet("entry-1", 68)
	before := choose("dc-0", list, linksBase)
	for i := range list {
		list[i].usable = list[i].dataCentre != "dc-0"
	}
	after := choose("dc-0", list, linksBase)
	usable := 0
	for _, name := range after {
		for _, c := range list {
			if c.agent == name && c.usable {
				usable++
			}
		}
	}
	require.Equal(t, linksBase, usable)
	require.Subset(t, after, before)
}

func TestEntryShortOfRoomLinksMoreAgentsAndKeepsThoseThatItHas(t *testing.T) {
	list := fleet("entry-1", 68)
	before := choose("dc-0", list, linksBase)
	after := choose("dc-0", list, linksBase+linksStep)
	require.Len(t, after, linksBase+linksStep)
	require.Subset(t, after, before)
}
