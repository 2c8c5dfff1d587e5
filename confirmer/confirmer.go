// Package confirmer keeps, at one entry, which configuration bundle is in
// force, and since when it is known that no newer one has been accepted.
//
// A bundle is accepted when the platform's store holds it and a majority of
// the registered entries, the voters, have put it in force. An entry confirms
// its bundle by reading the store. While the store is out of reach it confirms
// it by hearing from a majority of the voters, none of which has a newer one.
// Two majorities share a voter, so no entry confirms an old bundle after a new
// one has been accepted.
//
// A Confirmer is not safe for concurrent use.
package confirmer

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/approver"
)

const (
	// WitnessTTL is how long after its last read of the store an entry still
	// counts as a witness for others. A voter that has not written to the
	// store for longer than VoterTimeout can confirm nothing any more.
	WitnessTTL = 30 * time.Minute
	// VoterTimeout is WitnessTTL and a margin for clocks that differ.
	VoterTimeout = WitnessTTL + time.Minute
)

// Voters is the list of registered entries, as the store holds it.
type Voters struct {
	// Version rises by one with each change.
	Version uint64
	Entries []string
	// Previous holds the entries before the last change, until a majority of
	// both lists know of it. Until then a majority of both is needed, so that
	// lists that follow each other always overlap.
	Previous []string `json:",omitempty"`
}

// WithoutPrevious returns the successor of v without the previous entries.
func (v Voters) WithoutPrevious() Voters {
	return Voters{Version: v.Version + 1, Entries: v.Entries}
}

// WithEntries returns the successor of v with other entries.
func (v Voters) WithEntries(entries []string) Voters {
	list := slices.Clone(entries)
	slices.Sort(list)
	return Voters{Version: v.Version + 1, Entries: list, Previous: v.Entries}
}

// Majority reports whether the entries for which has is true are a majority
// of both lists.
func (v Voters) Majority(has func(entry string) bool) bool {
	return majorityOf(v.Entries, has) && (len(v.Previous) == 0 || majorityOf(v.Previous, has))
}

func majorityOf(list []string, has func(entry string) bool) bool {
	n := 0
	for _, id := range list {
		if has(id) {
			n++
		}
	}
	return 2*n > len(list)
}

// Attestation is what another entry has said in a heartbeat.
type Attestation struct {
	// AsOf is a time of this entry's clock before which the word was given
	// at the latest; it comes from a stamp that the other one echoed.
	AsOf time.Time
	// Witness means that the other one read the store within WitnessTTL.
	Witness       bool
	BundleVersion uint64
	VotersVersion uint64
}

// Confirmer is the aggregate of one entry's configuration.
type Confirmer struct {
	clock clockwork.Clock
	self  string
	// signed and bundle are in force; the version never falls.
	signed approver.Signed
	bundle approver.Bundle
	// voters is the newest known list; its version never falls.
	voters Voters
	// storeReadAt is when the last read of the store that succeeded began.
	storeReadAt  time.Time
	attestations map[string]Attestation
}

// NewConfirmer returns a confirmer without a bundle.
func NewConfirmer(clock clockwork.Clock, self string) *Confirmer {
	return &Confirmer{clock: clock, self: self, attestations: make(map[string]Attestation)}
}

// Bundle returns the bundle in force; its version is zero when there is none.
func (c *Confirmer) Bundle() approver.Bundle { return c.bundle }

// Signed returns the bundle in force as it was signed.
func (c *Confirmer) Signed() approver.Signed { return c.signed }

// Voters returns the newest known list of registered entries.
func (c *Confirmer) Voters() Voters { return c.voters }

// HandleStoreRead takes what a read of the store that began at a time returned.
func (c *Confirmer) HandleStoreRead(at time.Time, s approver.Signed, b approver.Bundle, v Voters) {
	c.Adopt(s, b)
	c.AdoptVoters(v)
	if b.Version == c.bundle.Version && at.After(c.storeReadAt) {
		c.storeReadAt = at
	}
}

// Adopt puts a bundle in force unless the present one is as new. It reports
// whether it did.
func (c *Confirmer) Adopt(s approver.Signed, b approver.Bundle) bool {
	if b.Version <= c.bundle.Version {
		return false
	}
	c.signed = s
	c.bundle = b
	return true
}

// AdoptVoters takes over a newer list of registered entries.
func (c *Confirmer) AdoptVoters(v Voters) {
	if v.Version > c.voters.Version {
		c.voters = v
	}
}

// SetAttestation takes another entry's word.
func (c *Confirmer) SetAttestation(entry string, w Attestation) { c.attestations[entry] = w }

// IsWitness reports whether this entry's word counts for others.
func (c *Confirmer) IsWitness() bool {
	return !c.storeReadAt.IsZero() && c.clock.Since(c.storeReadAt) < WitnessTTL
}

// ConfirmedAt returns the latest time at which the bundle in force is known to
// have been the newest accepted one. It is zero when that is not known.
func (c *Confirmer) ConfirmedAt() time.Time {
	if c.bundle.Version == 0 {
		return time.Time{}
	}
	at := c.storeReadAt
	if q := c.quorumConfirmedAt(); q.After(at) {
		at = q
	}
	return at
}

// quorumConfirmedAt returns the time up to which a majority of the voters vouches for
// the bundle.
func (c *Confirmer) quorumConfirmedAt() time.Time {
	if len(c.voters.Entries) == 0 {
		return time.Time{}
	}
	at := c.majorityConfirmedAt(c.voters.Entries)
	if len(c.voters.Previous) == 0 {
		return at
	}
	if p := c.majorityConfirmedAt(c.voters.Previous); p.Before(at) {
		at = p
	}
	return at
}

// majorityConfirmedAt returns the latest time for which more than half of list vouch.
func (c *Confirmer) majorityConfirmedAt(list []string) time.Time {
	times := make([]time.Time, len(list))
	for i, id := range list {
		times[i] = c.attestedAt(id)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// attestedAt returns the time for which one voter vouches, or zero.
func (c *Confirmer) attestedAt(id string) time.Time {
	if id == c.self {
		if c.IsWitness() {
			return c.clock.Now()
		}
		return time.Time{}
	}
	w := c.attestations[id]
	if !w.Witness || w.BundleVersion > c.bundle.Version || w.VotersVersion > c.voters.Version {
		return time.Time{}
	}
	return w.AsOf
}
