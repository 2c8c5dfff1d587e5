// Package publisher brings an approved configuration bundle into the platform's
// store, exactly once whatever becomes of the answer, and follows it until it
// is in force at every process.
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
	// HistoryPrefix begins the keys of all bundles ever published.
	HistoryPrefix = "pomeloferry/history/"
	// minPollRetryDelay is the pause before a call to the store is made again.
	retryPause = 200 * time.Millisecond
	// liveSpan is how recently a live entry has registered.
	liveSpan = 6 * time.Second
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Raced means that another bundle took the version.
	Raced Kind = "Raced"
	// Unsettled means that the store did not tell whether the write was made.
	Unsettled Kind = "Unsettled"
	// Missing means that the store holds no bundle.
	Missing Kind = "Missing"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Publisher publishes bundles and reads them back.
type Publisher struct {
	clock clockwork.Clock
	store receiver.Store
	trust approver.Trust
}

// NewPublisher returns a publisher that trusts the approvers in trust.
func NewPublisher(clock clockwork.Clock, store receiver.Store, trust approver.Trust) *Publisher {
	return &Publisher{clock: clock, store: store, trust: trust}
}

// Current returns the bundle in the store, or a Missing error.
func (p *Publisher) Current(ctx context.Context) (approver.Signed, approver.Bundle, error) {
	s, b, _, err := p.read(ctx)
	if err == nil && b.Version == 0 {
		err = &Error{Op: "read bundle", Kind: Missing, Err: errors.New("the store holds no bundle")}
	}
	return s, b, err
}

// read returns the bundle in the store, which has version 0 when there is none.
func (p *Publisher) read(ctx context.Context) (s approver.Signed, b approver.Bundle, revision int64, err error) {
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

// Publish writes s if it succeeds the version in the store. A write whose
// answer was lost is settled by reading back; it is made again only while the
// version before it is still in the store.
func (p *Publisher) Publish(ctx context.Context, s approver.Signed) error {
	b, err := p.trust.Verify(s)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode bundle")
	}
	unsure := false
	for {
		done, err := p.publishOnce(ctx, s, b, raw, unsure)
		if done || err != nil && !unavailable(err) {
			return err
		}
		unsure = unsure || err != nil
		select {
		case <-ctx.Done():
			return &Error{Op: "publish", Kind: Unsettled, Err: errors.Errorf(
				"the store did not say whether version %d was written; run the command again to learn it", b.Version)}
		case <-p.clock.After(retryPause):
		}
	}
}

// publishOnce reads, and writes if the version before b is there. It reports
// whether b is in the store. When unsure, an earlier write may have been made.
func (p *Publisher) publishOnce(ctx context.Context, s approver.Signed, b approver.Bundle, raw []byte, unsure bool) (bool, error) {
	there, old, revision, err := p.read(ctx)
	if err != nil {
		return false, err
	}
	if revision != 0 && there.Digest() == s.Digest() {
		return true, nil
	}
	if old.Version+1 != b.Version {
		return p.settleRace(ctx, s, b, old, there, unsure)
	}
	history := keeper.Pair{Key: historyKey(b.Version), Value: raw}
	return p.store.CompareAndSwap(ctx, receiver.BundleKey, revision, raw, history)
}

// settleRace tells a bundle that was itself succeeded from one that lost.
func (p *Publisher) settleRace(ctx context.Context, s approver.Signed, b, old approver.Bundle, there approver.Signed, unsure bool) (bool, error) {
	if unsure && old.Version >= b.Version {
		past, err := p.version(ctx, b.Version)
		if err != nil {
			return false, err
		}
		if past.Digest() == s.Digest() {
			return true, nil
		}
	}
	return false, &Error{Op: "publish", Kind: Raced, Err: errors.Errorf(
		"version %d by %s, approved by %s, is in the store; version %d by %s was not written and must be made anew from it",
		old.Version, old.Author, there.Approver, b.Version, b.Author)}
}

func unavailable(err error) bool {
	var e *keeper.Error
	return errors.As(err, &e) && e.Kind == keeper.Unavailable
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, version) }

// version returns a version of the past.
func (p *Publisher) version(ctx context.Context, version uint64) (approver.Signed, error) {
	var s approver.Signed
	pair, err := p.store.Get(ctx, historyKey(version))
	if err != nil {
		return s, err
	}
	if pair.Revision == 0 {
		return s, &Error{Op: "read bundle", Kind: Missing, Err: errors.Errorf("no version %d was published", version)}
	}
	return s, json.Unmarshal(pair.Value, &s)
}

// Version returns a published version and its bundle.
func (p *Publisher) Version(ctx context.Context, version uint64) (approver.Signed, approver.Bundle, error) {
	s, err := p.version(ctx, version)
	if err != nil {
		return s, approver.Bundle{}, err
	}
	b, err := p.trust.Verify(s)
	return s, b, err
}

// History returns all published bundles in the order of their versions.
func (p *Publisher) History(ctx context.Context) ([]approver.Signed, error) {
	pairs, err := p.store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]approver.Signed, 0, len(pairs))
	for _, pair := range pairs {
		var s approver.Signed
		if err := json.Unmarshal(pair.Value, &s); err != nil {
			return nil, errors.Wrap(err, pair.Key)
		}
		out = append(out, s)
	}
	return out, nil
}

// Progress is how far a version has come.
type Progress struct {
	Version  uint64
	Written  bool
	Accepted bool
	// Entries counts the live entries, EntriesInForce those that have the
	// version in force; Missing names the others.
	Entries        int
	EntriesInForce int
	Missing        []string
	// Agents counts the agents of the entry that knows most of them.
	Agents        int
	AgentsInForce int
	// Waiting names the voters that keep the version from being accepted.
	Waiting []string
}

// Done reports whether the version is accepted and in force everywhere.
func (g Progress) Done() bool {
	return g.Accepted && g.EntriesInForce == g.Entries && g.AgentsInForce == g.Agents
}

// String describes the progress in a line.
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

// Progress returns how far a version has come.
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
	list, err := receiver.ReadRegistrations(ctx, p.store)
	if err != nil {
		return g, err
	}
	g.count(voters, list, p.clock.Now())
	return g, nil
}

func (g *Progress) count(voters confirmer.Voters, list []receiver.Registration, now time.Time) {
	g.Accepted = g.Written && receiver.BundleAccepted(g.Version, voters, list, now)
	for _, reg := range list {
		inForce := reg.BundleVersion >= g.Version
		if !inForce && slices.Contains(voters.Entries, reg.Entry.ID) {
			g.Waiting = append(g.Waiting, reg.Entry.ID)
		}
		if !reg.WroteWithin(now, liveSpan) {
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
