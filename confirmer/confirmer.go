// Package confirmer tracks, at one entry, which configuration bundle is in force, and the
// last time at which it is known that no newer one had been accepted.
//
// A bundle is accepted when the platform's store holds it and a majority of the
// registered entries, the voters, have put it in force. An entry confirms its bundle by
// reading the store. While the store is unreachable, it confirms the bundle by heartbeats
// from a majority of the voters, none of which has a newer one. Two majorities share a
// voter, so no entry confirms an old bundle after a new one has been accepted.
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
	// WitnessTTL is how long after its last read of the store an entry still counts as
	// a witness for others.
	WitnessTTL = 30 * time.Minute
	// VoterTimeout is the time since its last write to the store after which a voter
	// cannot confirm any bundle: WitnessTTL and a margin for clock differences.
	VoterTimeout = WitnessTTL + time.Minute
)

// Voters is the list of registered entries as it is kept in the store.
type Voters struct {
	// Version rises by one with each change.
	Version uint64
	Entries []string
	// Previous holds the entries before the last change until a majority of both lists
	// have the change in force. Until then a majority of both lists is required, so that
	// the majorities of consecutive lists always overlap.
	Previous []string `json:",omitempty"`
}

// WithoutPrevious returns the successor of v without the previous entries.
func (v Voters) WithoutPrevious() Voters {
	return Voters{Version: v.Version + 1, Entries: v.Entries}
}

// WithEntries returns the successor of v with the given entries; those of v become the
// previous ones.
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

// Attestation is what another entry stated about its bundle in a heartbeat.
type Attestation struct {
	// AsOf is a time of this entry's clock at or after which the attestation was made.
	// It comes from a timestamp that the other entry echoed.
	AsOf time.Time
	// Witness means that the other entry has read the store within WitnessTTL.
	Witness       bool
	BundleVersion uint64
	VotersVersion uint64
}

// Confirmer holds the configuration of one entry.
type Confirmer struct {
	clock clockwork.Clock
	self  string
	// signed and bundle are in force; their version never decreases.
	signed approver.SignedBundle
	bundle approver.Bundle
	// voters is the newest known list; its version never decreases.
	voters Voters
	// storeReadAt is when the last successful read of the store began.
	storeReadAt  time.Time
	attestations map[string]Attestation
}

// NewConfirmer returns a confirmer without a bundle.
func NewConfirmer(clock clockwork.Clock, self string) *Confirmer {
	return &Confirmer{clock: clock, self: self, attestations: make(map[string]Attestation)}
}

// Bundle returns the bundle in force; its version is 0 if there is none.
func (c *Confirmer) Bundle() approver.Bundle { return c.bundle }

// Signed returns the signed form of the bundle in force.
func (c *Confirmer) Signed() approver.SignedBundle { return c.signed }

// Voters returns the newest known list of registered entries.
func (c *Confirmer) Voters() Voters { return c.voters }

// HandleStoreRead handles the result of a read of the store that began at beganAt.
func (c *Confirmer) HandleStoreRead(beganAt time.Time, s approver.SignedBundle, b approver.Bundle, v Voters) {
	c.Adopt(s, b)
	c.AdoptVoters(v)
	if b.Version == c.bundle.Version && beganAt.After(c.storeReadAt) {
		c.storeReadAt = beganAt
	}
}

// Adopt puts a bundle in force if it is newer than the current one, and reports whether
// it did.
func (c *Confirmer) Adopt(s approver.SignedBundle, b approver.Bundle) bool {
	if b.Version <= c.bundle.Version {
		return false
	}
	c.signed = s
	c.bundle = b
	return true
}

// AdoptVoters replaces the list of registered entries if v is newer.
func (c *Confirmer) AdoptVoters(v Voters) {
	if v.Version > c.voters.Version {
		c.voters = v
	}
}

// SetAttestation records the latest attestation of another entry.
func (c *Confirmer) SetAttestation(entry string, a Attestation) { c.attestations[entry] = a }

// IsWitness reports whether attestations of this entry count for others.
func (c *Confirmer) IsWitness() bool {
	return !c.storeReadAt.IsZero() && c.clock.Since(c.storeReadAt) < WitnessTTL
}

// ConfirmedAt returns the latest time at which the bundle in force is known to have been
// the newest accepted one, or the zero time if it has never been confirmed.
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

// quorumConfirmedAt returns the latest time for which a majority of the voters, and of
// the previous voters if there are any, attest that the bundle was the newest one.
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

// majorityConfirmedAt returns the latest time for which more than half of list attest
// that the bundle was the newest one.
func (c *Confirmer) majorityConfirmedAt(list []string) time.Time {
	times := make([]time.Time, len(list))
	for i, id := range list {
		times[i] = c.attestedAt(id)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// attestedAt returns the time for which one voter attests that the bundle was the newest
// one, or the zero time.
func (c *Confirmer) attestedAt(id string) time.Time {
	if id == c.self {
		if c.IsWitness() {
			return c.clock.Now()
		}
		return time.Time{}
	}
	a := c.attestations[id]
	if !a.Witness || a.BundleVersion > c.bundle.Version || a.VotersVersion > c.voters.Version {
		return time.Time{}
	}
	return a.AsOf
}
