package messenger

import "slices"

// Witness is an agent that keeps locks of jobs.
type Witness struct {
	Agent string `cbor:"1,keyasint,omitempty"`
	// Group names the agents that are likely to be lost together.
	Group string `cbor:"2,keyasint,omitempty"`
}

// WitnessList says which agents are the witnesses. There is one list for all entries,
// which is changed in the platform's store only, one version after the other. Entries tell
// it to the witnesses, which answer with the newest list that they know and tell it to all
// entries that are linked to them, before anything else. It is also stored as JSON.
type WitnessList struct {
	// Version rises by one with each change, from 1; zero means that none is known.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Current has at most MaxWitnesses witnesses.
	Current []Witness `cbor:"2,keyasint,omitempty"`
	// Previous are the witnesses of the version before, while jobs may be locked at them
	// only. A lock then needs a quorum of both.
	Previous []Witness `cbor:"3,keyasint,omitempty"`
}

// MaxWitnesses bounds each part of a WitnessList: two witnesses in each of 32 groups.
const MaxWitnesses = 64

// Follows reports whether the list is the version after another one: it begins or completes a
// change of that one.
func (l WitnessList) Follows(o WitnessList) bool {
	if l.Version != o.Version+1 {
		return false
	}
	if len(o.Previous) > 0 {
		return len(l.Previous) == 0 && slices.Equal(l.Current, o.Current)
	}
	return slices.Equal(l.Previous, o.Current)
}

// Equal reports whether two lists are the same.
func (l WitnessList) Equal(o WitnessList) bool {
	return l.Version == o.Version && slices.Equal(l.Current, o.Current) && slices.Equal(l.Previous, o.Previous)
}

// Agents returns the names of all witnesses, each once.
func (l WitnessList) Agents() []string {
	var out []string
	for _, w := range slices.Concat(l.Current, l.Previous) {
		if !slices.Contains(out, w.Agent) {
			out = append(out, w.Agent)
		}
	}
	return out
}

// WithCurrent returns the next version, in which the present witnesses are the previous
// ones.
func (l WitnessList) WithCurrent(current []Witness) WitnessList {
	return WitnessList{Version: l.Version + 1, Current: current, Previous: l.Current}
}

// WithoutPrevious returns the next version, without the previous witnesses.
func (l WitnessList) WithoutPrevious() WitnessList {
	return WitnessList{Version: l.Version + 1, Current: l.Current}
}
