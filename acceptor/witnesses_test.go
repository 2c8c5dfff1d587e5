package acceptor

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

// newWitnessCandidates returns n agents in a number of data centres, all of which can be
// reached.
func newWitnessCandidates(n, dataCentres int) []candidate {
	candidates := newCandidates("entry-1", n)
	for i := range candidates {
		candidates[i].dataCentre = fmt.Sprintf("dc-%d", i%dataCentres)
		candidates[i].witness = true
	}
	return candidates
}

// groupsOf returns the groups of witnesses that are not spare.
func groupsOf(witnesses []scheduler.Witness) map[string]int {
	groups := make(map[string]int)
	for _, w := range witnesses {
		if !w.Spare {
			groups[w.Group]++
		}
	}
	return groups
}

// TestWitnessesAreFewAndInDifferentGroups guards against witnesses that are lost together
// with one data centre, and against links that grow with the number of agents.
func TestWitnessesAreFewAndInDifferentGroups(t *testing.T) {
	for _, tt := range []struct{ agents, dataCentres, groups int }{
		{11, 3, 3}, {58, 4, 4}, {240, 5, 5}, {30, 1, 3}, {30, 2, 6}, {1, 1, 1},
	} {
		t.Run(fmt.Sprintf("%d agents in %d data centres", tt.agents, tt.dataCentres), func(t *testing.T) {
			groups := groupsOf(selectWitnesses(newWitnessCandidates(tt.agents, tt.dataCentres)))
			require.Len(t, groups, tt.groups)
			for group, n := range groups {
				require.LessOrEqual(t, n, witnessesPerGroup, group)
			}
		})
	}
}

// TestEntriesThatReachDifferentAgentsKeepTheSameWitnesses guards against entries that
// lock a job at different agents because one of them cannot reach some.
func TestEntriesThatReachDifferentAgentsKeepTheSameWitnesses(t *testing.T) {
	candidates := newWitnessCandidates(58, 4)
	before := selectWitnesses(candidates)
	slices.Reverse(candidates)
	require.Equal(t, before, selectWitnesses(candidates), "the order in which agents become known does not matter")
	for i := range candidates {
		candidates[i].reachable = candidates[i].agent != before[0].Agent
	}
	after := selectWitnesses(candidates)
	require.Subset(t, after, before)
	require.Len(t, after, len(before)+1)
	added := slices.DeleteFunc(after, func(w scheduler.Witness) bool { return slices.Contains(before, w) })
	require.True(t, added[0].Spare)
	require.Equal(t, before[0].Group, added[0].Group)
}

// TestAgentThatIsGoneForGoodIsNoWitness guards against jobs that wait for a witness that
// will not come back.
func TestAgentThatIsGoneForGoodIsNoWitness(t *testing.T) {
	candidates := newWitnessCandidates(11, 3)
	gone := selectWitnesses(candidates)[0].Agent
	for i := range candidates {
		candidates[i].witness = candidates[i].agent != gone
	}
	require.NotContains(t, witnessAgents(selectWitnesses(candidates)), gone)
}
