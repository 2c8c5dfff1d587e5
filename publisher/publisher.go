// Package publisher writes an approved configuration bundle to the platform's
// store, exactly once even if the store's answer is lost, and reports the progress
// of the roll-out until the bundle is in force in every process.
package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/confirmer"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/receiver"
)

const (
	// HistoryPrefix is the prefix of the keys of all published bundles.
	HistoryPrefix = "pomeloferry/history/"
	// retryDelay is the delay before a failed call to the store is retried.
	retryDelay = 200 * time.Millisecond
	// maxRegistrationAge is the maximum age of a live entry's registration.
	maxRegistrationAge = 6 * time.Second
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// VersionConflict means that the version is not the successor of the one in the store,
	// usually because another bundle took the version.
	VersionConflict Kind = "Raced"
	// OutcomeUnknown means that the store did not confirm whether the write was made.
	OutcomeUnknown Kind = "Unsettled"
	// Missing means that the store does not hold the bundle.
	Missing Kind = "Missing"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Publisher publishes bundles and reads published ones.
type Publisher struct {
	clock clockwork.Clock
	store receiver.Store
	trust approver.ApproverKeys
}

// NewPublisher returns a publisher that accepts the approvers in trust.
func NewPublisher(clock clockwork.Clock, store receiver.Store, trust approver.ApproverKeys) *Publisher {
	return &Publisher{clock: clock, store: store, trust: trust}
}

// Current returns the bundle in the store, or a Missing error.
func (p *Publisher) Current(ctx context.Context) (approver.SignedBundle, approver.Bundle, error) {
	s, b, _, err := p.read(ctx)
	if err == nil && b.Version == 0 {
		err = &Error{Op: "read bundle", Kind: Missing, Err: errors.New("the store holds no bundle")}
	}
	return s, b, err
}

// read returns the bundle in the store and the revision of its key. Without a bundle,
// version and revision are 0.
func (p *Publisher) read(ctx context.Context) (s approver.SignedBundle, b approver.Bundle, revision int64, err error) {
	pair, err := p.store.Get(ctx, receiver.BundleKey)
	if err != nil || pair.Revision == 0 {
		return s, b, 0, err
	}
	if err := json.Unmarshal(pair.Value, &s); err != nil {
		return s, b, 0, errors.Wrap(err, receiver.BundleKey)
	}
	b, err = p.trust.Verify(s)
	return s, b, pair.Revision, err
}

// Publish writes s if its version is the successor of the one in the store, and
// returns a VersionConflict error if it is not. If the answer to a write is lost,
// Publish reads the store to find out whether the write took effect, and repeats it
// only while the previous version is still in the store. If ctx ends before that is
// known, it returns an OutcomeUnknown error.
func (p *Publisher) Publish(ctx context.Context, s approver.SignedBundle) error {
	b, err := p.trust.Verify(s)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode bundle")
	}
	maybeWritten := false
	for {
		done, err := p.publishOnce(ctx, s, b, encoded, maybeWritten)
		if done || err != nil && !isUnavailable(err) {
			return err
		}
		maybeWritten = maybeWritten || err != nil
		select {
		case <-ctx.Done():
			return &Error{Op: "publish", Kind: OutcomeUnknown, Err: errors.Errorf(
				"the store did not confirm whether version %d was written; run the command again to find out", b.Version)}
		case <-p.clock.After(retryDelay):
		}
	}
}

// publishOnce reads the store and writes the encoded bundle if the predecessor of b is
// there. It reports whether b is in the store. maybeWritten means that an earlier
// write may have taken effect.
func (p *Publisher) publishOnce(ctx context.Context, s approver.SignedBundle, b approver.Bundle, encoded []byte, maybeWritten bool) (bool, error) {
	stored, current, revision, err := p.read(ctx)
	if err != nil {
		return false, err
	}
	if revision != 0 && stored.Digest() == s.Digest() {
		return true, nil
	}
	if current.Version+1 != b.Version {
		return p.resolveConflict(ctx, s, b, current, stored, maybeWritten)
	}
	history := keeper.Pair{Key: historyKey(b.Version), Value: encoded}
	return p.store.CompareAndSwap(ctx, receiver.BundleKey, revision, encoded, history)
}

// resolveConflict distinguishes a bundle that was published and then replaced from one
// that was not published because another took its version.
func (p *Publisher) resolveConflict(ctx context.Context, s approver.SignedBundle, b, current approver.Bundle, stored approver.SignedBundle, maybeWritten bool) (bool, error) {
	if maybeWritten && current.Version >= b.Version {
		published, err := p.readVersion(ctx, b.Version)
		if err != nil {
			return false, err
		}
		if published.Digest() == s.Digest() {
			return true, nil
		}
	}
	return false, &Error{Op: "publish", Kind: VersionConflict, Err: errors.Errorf(
		"version %d by %s, approved by %s, is in the store; version %d by %s was not written and must be recreated from it",
		current.Version, current.Author, stored.Approver, b.Version, b.Author)}
}

func isUnavailable(err error) bool {
	var e *keeper.Error
	return errors.As(err, &e) && e.Kind == keeper.Unavailable
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, version) }

// readVersion returns a published version without verifying it.
func (p *Publisher) readVersion(ctx context.Context, version uint64) (approver.SignedBundle, error) {
	var s approver.SignedBundle
	pair, err := p.store.Get(ctx, historyKey(version))
	if err != nil {
		return s, err
	}
	if pair.Revision == 0 {
		return s, &Error{Op: "read bundle", Kind: Missing, Err: errors.Errorf("no version %d was published", version)}
	}
	return s, json.Unmarshal(pair.Value, &s)
}

// Version returns a published version and its verified bundle. It returns a Missing
// error if there is no such version.
func (p *Publisher) Version(ctx context.Context, version uint64) (approver.SignedBundle, approver.Bundle, error) {
	s, err := p.readVersion(ctx, version)
	if err != nil {
		return s, approver.Bundle{}, err
	}
	b, err := p.trust.Verify(s)
	return s, b, err
}

// History returns all published bundles in the order of their versions, without
// verifying them.
func (p *Publisher) History(ctx context.Context) ([]approver.SignedBundle, error) {
	pairs, err := p.store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]approver.SignedBundle, 0, len(pairs))
	for _, pair := range pairs {
		var s approver.SignedBundle
		if err := json.Unmarshal(pair.Value, &s); err != nil {
			return nil, errors.Wrap(err, pair.Key)
		}
		out = append(out, s)
	}
	return out, nil
}

// Progress is the state of the roll-out of a version.
type Progress struct {
	Version  uint64
	Written  bool
	Accepted bool
	// Entries is the number of live entries, EntriesInForce the number of those
	// where the version is in force; Missing lists the others.
	Entries        int
	EntriesInForce int
	Missing        []string
	// Agents and AgentsInForce are the counts of the entry with the most agents.
	Agents        int
	AgentsInForce int
	// Waiting lists the voters that have not confirmed the version, without which it
	// is not accepted.
	Waiting []string
}

// Done reports whether the version is accepted and in force in every process.
func (g Progress) Done() bool {
	return g.Accepted && g.EntriesInForce == g.Entries && g.AgentsInForce == g.Agents
}

// String returns the progress on one line.
func (g Progress) String() string {
	line := fmt.Sprintf("version %d: written %t, accepted %t, in force at %d of %d entries and %d of %d agents",
		g.Version, g.Written, g.Accepted, g.EntriesInForce, g.Entries, g.AgentsInForce, g.Agents)
	if len(g.Missing) > 0 {
		line += "; missing " + strings.Join(g.Missing, ", ")
	}
	if !g.Accepted && len(g.Waiting) > 0 {
		line += "; waiting for " + strings.Join(g.Waiting, ", ")
	}
	return line
}

// Progress returns the state of the roll-out of a version.
func (p *Publisher) Progress(ctx context.Context, version uint64) (Progress, error) {
	g := Progress{Version: version}
	_, b, _, err := p.read(ctx)
	if err != nil {
		return g, err
	}
	g.Written = b.Version >= version
	pair, err := p.store.Get(ctx, receiver.VotersKey)
	if err != nil {
		return g, err
	}
	var voters confirmer.Voters
	if pair.Revision != 0 {
		if err := json.Unmarshal(pair.Value, &voters); err != nil {
			return g, errors.Wrap(err, receiver.VotersKey)
		}
	}
	registrations, err := receiver.ReadRegistrations(ctx, p.store)
	if err != nil {
		return g, err
	}
	g.countRegistrations(voters, registrations, p.clock.Now())
	return g, nil
}

func (g *Progress) countRegistrations(voters confirmer.Voters, registrations []receiver.Registration, now time.Time) {
	g.Accepted = g.Written && receiver.BundleAccepted(g.Version, voters, registrations, now)
	for _, reg := range registrations {
		inForce := reg.BundleVersion >= g.Version
		if !inForce && slices.Contains(voters.Entries, reg.Entry.ID) {
			g.Waiting = append(g.Waiting, reg.Entry.ID)
		}
		if !reg.WroteWithin(now, maxRegistrationAge) {
			continue
		}
		g.Entries++
		if !inForce {
			g.Missing = append(g.Missing, reg.Entry.ID)
			continue
		}
		g.EntriesInForce++
		if reg.Agents >= g.Agents {
			g.Agents = reg.Agents
			g.AgentsInForce = reg.AgentsInForce
		}
	}
}
