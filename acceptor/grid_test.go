package acceptor

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAnyTwoEntriesHaveTwoAgentsInCommon(t *testing.T) {
	const entries = 55
	for _, agents := range []int{68, 240, 1200} {
		t.Run(fmt.Sprintf("%d agents", agents), func(t *testing.T) {
			linked := make([]map[string]bool, entries)
			for e := range entries {
				id := fmt.Sprintf("entry-%d", e)
				linked[e] = make(map[string]bool)
				for _, name := range gridAgents(id, newCandidates(id, agents)) {
					linked[e][name] = true
				}
				require.LessOrEqual(t, len(linked[e]), 2*gridSide(agents)-1)
			}
			for i := range entries {
				for j := range i {
					common := 0
					for name := range linked[i] {
						if linked[j][name] {
							common++
						}
					}
					require.GreaterOrEqual(t, common, 2, "entries %d and %d", i, j)
				}
			}
		})
	}
}

func TestEntryThatCannotReachAGridAgentLinksTheNextOneOfTheCell(t *testing.T) {
	candidates := newCandidates("entry-1", 240)
	before := gridAgents("entry-1", candidates)
	for i := range candidates {
		candidates[i].reachable = candidates[i].agent != before[0]
	}
	after := gridAgents("entry-1", candidates)
	require.Len(t, after, len(before)+1)
	require.Subset(t, after, before)
}
