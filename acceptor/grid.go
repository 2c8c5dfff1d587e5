package acceptor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entries tell each other of long jobs by way of the agents that both are linked
// to. Where each entry links a few agents out of hundreds, two entries might have
// none in common. So some agents stand in a square grid; each entry belongs to
// one row and one column by its name and links the agents of both. Any two
// entries then have two agents in common, at a cost that grows with the square
// root of the fleet.

const (
	// minAgentsPerCell is the least number of agents for each cell of the grid. A
	// cell that has several keeps a holder when one is lost.
	minAgentsPerCell = 9
	// gridGrowthFactor is the step from one size of the grid to the next. The steps are
	// coarse since entries that see fleets of slightly different sizes have to
	// agree on the grid.
	gridGrowthFactor = 2
)

// gridSide returns the number of rows, and of columns, for a number of agents.
func gridSide(agents int) int {
	side := 1
	for next := side * gridGrowthFactor; minAgentsPerCell*next*next <= agents; next *= gridGrowthFactor {
		side = next
	}
	return side
}

// gridAgents returns the agents of an entry's row and column. The first agent
// of each cell that is reached holds it; those before it stay linked, since other
// entries may reach them.
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
