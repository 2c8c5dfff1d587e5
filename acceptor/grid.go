package acceptor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entries announce long jobs to each other by way of the agents that both are linked
// to. If each entry linked only a few agents out of hundreds, two entries might have
// none in common. Agents are therefore arranged in a square grid, as in a grid quorum:
// the hash of an entry's name assigns it one row and one column, and the entry links
// agents of both. Any two entries then have two agents in common, at a cost that grows
// with the square root of the number of agents.

const (
	// minAgentsPerCell is the minimum mean number of agents per cell of the grid. A
	// cell with several agents still has one to link when another is lost.
	minAgentsPerCell = 9
	// gridGrowthFactor is the factor between one size of the grid and the next. The
	// steps are coarse since entries that know slightly different numbers of agents
	// have to agree on the grid.
	gridGrowthFactor = 2
)

// gridSide returns the number of rows, which is also that of columns, for a number of
// agents.
func gridSide(agents int) int {
	side := 1
	for next := side * gridGrowthFactor; minAgentsPerCell*next*next <= agents; next *= gridGrowthFactor {
		side = next
	}
	return side
}

// gridAgents returns the agents to link in the cells of an entry's row and column: in
// each cell the first reachable agent, by an order that all entries share, and those
// before it. The latter stay selected since other entries may be able to reach them.
func gridAgents(entry string, candidates []candidate) []string {
	side := gridSide(len(candidates))
	row, column := gridPosition(entry, side)
	cells := make(map[int][]string)
	reachable := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		cell := int(xxhash.Sum64String(c.agent) % uint64(side*side))
		if cell/side == row || cell%side == column {
			cells[cell] = append(cells[cell], c.agent)
			reachable[c.agent] = c.reachable
		}
	}
	var out []string
	for _, agents := range cells {
		slices.SortFunc(agents, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String("cell/"+a), xxhash.Sum64String("cell/"+b))
		})
		for _, name := range agents {
			out = append(out, name)
			if reachable[name] {
				break
			}
		}
	}
	return out
}

// gridPosition returns the row and the column of an entry.
func gridPosition(entry string, side int) (row, column int) {
	h := xxhash.Sum64String(entry)
	return int(h % uint64(side)), int(h / uint64(side) % uint64(side))
}
