package executor

import "github.com/pomeloferry/pomeloferry/messenger"

// HandleWitnessList processes the list of witnesses that an entry knows. The entry is
// answered with the newest one, and a new one is told to all entries. Since that comes
// before anything else that the agent sends them, an entry that counts what a witness has
// granted knows each list that the witness knew then.
func (x *Executor) HandleWitnessList(owner string, list messenger.WitnessList) {
	e := x.entries[owner]
	if e == nil {
		return
	}
	if list.Version <= x.witnesses.Version {
		x.tellWitnesses(e)
		return
	}
	x.witnesses = list
	for _, e := range x.sortedEntries {
		if e.linkOpen {
			x.tellWitnesses(e)
		}
	}
}

// tellWitnesses tells an entry the newest list of witnesses, if any is known.
func (x *Executor) tellWitnesses(e *entry) {
	if x.witnesses.Version > 0 {
		x.emit(SendWitnesses{Entry: e.name, List: x.witnesses})
	}
}
