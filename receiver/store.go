package receiver

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pomeloferry/pomeloferry/confirmer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/keeper"
)

const (
	// BundleKey is the key of the signed bundle in the store.
	BundleKey = "pomeloferry/bundle"
	// VotersKey is the key of the list of registered entries.
	VotersKey = "pomeloferry/voters"
	// EntriesPrefix begins the keys of what entries write about themselves.
	EntriesPrefix = "pomeloferry/entries/"
	// followInterval is the mean time between two reads of the bundle.
	followInterval = 500 * time.Millisecond
	// registerInterval is the mean time between two registrations.
	registerInterval = 2 * time.Second
	// removeAfter is how long an entry is silent in the store before the
	// others take it off the list of voters.
	removeAfter = 20 * time.Second
)

// Registration is what an entry writes about itself.
type Registration struct {
	Entry       courier.EntryInfo
	Incarnation string
	DataCentre  string
	// BundleVersion and VotersVersion are in force at the entry.
	BundleVersion uint64
	VotersVersion uint64
	// Agents counts the agents linked to the entry; AgentsInForce counts
	// those that work under BundleVersion.
	Agents        int
	AgentsInForce int
	// SeenAt is when the entry wrote this.
	SeenAt time.Time
	// Left means that the entry has stopped as planned.
	Left bool
}

// Recent reports whether the entry wrote within the span before now.
func (g Registration) Recent(now time.Time, span time.Duration) bool {
	return !g.Left && now.Sub(g.SeenAt) < span
}

// follower reads the store for one entry and writes what concerns it.
type follower struct {
	receiver *Receiver
	// started is set by the first read of the registrations. Nothing is
	// written before, since that read looks for entries of earlier starts.
	started atomic.Bool
	// version is the last bundle version read from the store.
	version uint64
}

// followBundle reads the bundle and the voters again and again until ctx ends.
func (f *follower) followBundle(ctx context.Context) error {
	return f.repeat(ctx, followInterval, func() error {
		began := f.receiver.deps.Clock.Now()
		bundle, err := f.receiver.store.Get(ctx, BundleKey)
		if err != nil {
			return err
		}
		voters, err := f.receiver.store.Get(ctx, VotersKey)
		if err != nil {
			return err
		}
		return f.readBundle(ctx, began, bundle, voters)
	})
}

// readBundle posts what was read. A new version is registered at once, since
// its acceptance waits for that.
func (f *follower) readBundle(ctx context.Context, began time.Time, bundle, voters keeper.Pair) error {
	msg := bundleRead{at: began}
	if err := parseVoters(voters, &msg.voters); err != nil {
		return err
	}
	if bundle.Revision == 0 {
		return nil
	}
	if err := json.Unmarshal(bundle.Value, &msg.signed); err != nil {
		return &Error{Op: "read " + BundleKey, Kind: Invalid, Err: err}
	}
	b, err := f.receiver.cfg.Trust.Verify(msg.signed)
	if err != nil {
		return &Error{Op: "read " + BundleKey, Kind: Invalid, Err: err}
	}
	msg.bundle = b
	f.receiver.post(msg)
	if b.Version <= f.version || !f.started.Load() {
		return nil
	}
	f.version = b.Version
	return f.write(ctx, false)
}

func parseVoters(p keeper.Pair, v *confirmer.Voters) error {
	if p.Revision == 0 {
		return nil
	}
	if err := json.Unmarshal(p.Value, v); err != nil {
		return &Error{Op: "read " + VotersKey, Kind: Invalid, Err: err}
	}
	return nil
}

// register writes this entry into the store, reads the others and keeps the
// list of voters, until ctx ends.
func (f *follower) register(ctx context.Context) error {
	return f.repeat(ctx, registerInterval, func() error {
		list, err := f.readEntries(ctx)
		if err != nil {
			return err
		}
		if err := f.write(ctx, false); err != nil {
			return err
		}
		return f.keepVoters(ctx, list)
	})
}

// readEntries reads the registrations and posts the recent ones.
func (f *follower) readEntries(ctx context.Context) ([]Registration, error) {
	r := f.receiver
	list, err := ReadRegistrations(ctx, r.store)
	if err != nil {
		return nil, err
	}
	now := r.deps.Clock.Now()
	msg := entriesRead{first: !f.started.Load() && noneRan(list, now)}
	for _, reg := range list {
		if reg.Recent(now, removeAfter) {
			msg.entries = append(msg.entries, reg.Entry)
		}
	}
	f.started.Store(true)
	r.post(msg)
	return list, nil
}

// noneRan reports whether no entry of list can have run within the record
// horizon. One that has not left may run on without the store until its word
// lapses.
func noneRan(list []Registration, now time.Time) bool {
	return !slices.ContainsFunc(list, func(reg Registration) bool {
		if reg.Left {
			return now.Sub(reg.SeenAt) < dispatcher.RecordHorizon
		}
		return now.Sub(reg.SeenAt) < confirmer.LapseLimit+dispatcher.RecordHorizon
	})
}

// ReadRegistrations returns what the entries have written about themselves.
func ReadRegistrations(ctx context.Context, store Store) ([]Registration, error) {
	pairs, err := store.List(ctx, EntriesPrefix)
	if err != nil {
		return nil, err
	}
	list := make([]Registration, 0, len(pairs))
	for _, p := range pairs {
		var reg Registration
		if err := json.Unmarshal(p.Value, &reg); err != nil {
			return nil, &Error{Op: "read " + p.Key, Kind: Invalid, Err: err}
		}
		list = append(list, reg)
	}
	return list, nil
}

// write registers this entry with what is in force here.
func (f *follower) write(ctx context.Context, left bool) error {
	answer, err := f.receiver.ask(registrationQuestion{})
	if err != nil {
		return &Error{Op: "register", Kind: Unusable, Err: err}
	}
	reg := answer.(Registration)
	reg.Left = left
	raw, err := json.Marshal(reg)
	if err != nil {
		return &Error{Op: "register", Kind: Invalid, Err: err}
	}
	return f.receiver.store.Put(ctx, EntriesPrefix+f.receiver.cfg.ID, raw)
}

// keepVoters adds this entry to the list of voters and takes silent ones off
// it, one change at a time: a change waits until a majority of the last two
// lists have the last one in force.
func (f *follower) keepVoters(ctx context.Context, list []Registration) error {
	p, err := f.receiver.store.Get(ctx, VotersKey)
	if err != nil {
		return err
	}
	var v confirmer.Voters
	if err := parseVoters(p, &v); err != nil {
		return err
	}
	next, changed := nextVoters(v, list, f.receiver.cfg.ID, f.receiver.deps.Clock.Now())
	if !changed {
		return nil
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return &Error{Op: "keep voters", Kind: Invalid, Err: err}
	}
	_, err = f.receiver.store.CompareAndSwap(ctx, VotersKey, p.Revision, raw)
	return err
}

// Settled reports whether a majority of both lists of v know v, or can confirm
// nothing any more.
func Settled(v confirmer.Voters, list []Registration, now time.Time) bool {
	if v.Version == 0 {
		return true
	}
	return v.Majority(func(id string) bool {
		reg, ok := find(list, id)
		return ok && (reg.VotersVersion >= v.Version || !reg.Recent(now, confirmer.LapseLimit))
	})
}

// Accepted reports whether a majority of the voters have a bundle version in
// force, or can confirm no other any more.
func Accepted(version uint64, v confirmer.Voters, list []Registration, now time.Time) bool {
	return len(v.Entries) > 0 && v.Majority(func(id string) bool {
		reg, ok := find(list, id)
		return ok && (reg.BundleVersion >= version || !reg.Recent(now, confirmer.LapseLimit))
	})
}

func find(list []Registration, id string) (Registration, bool) {
	for _, reg := range list {
		if reg.Entry.ID == id {
			return reg, true
		}
	}
	return Registration{}, false
}

// nextVoters returns the list that is to follow v, if any is.
func nextVoters(v confirmer.Voters, list []Registration, self string, now time.Time) (confirmer.Voters, bool) {
	if !Settled(v, list, now) {
		return v, false
	}
	if len(v.Previous) > 0 {
		return v.Final(), true
	}
	wanted := wantedVoters(v, list, self, now)
	if slices.Equal(wanted, v.Entries) {
		return v, false
	}
	return v.With(wanted), true
}

// wantedVoters returns the list as it should be, in order.
func wantedVoters(v confirmer.Voters, list []Registration, self string, now time.Time) []string {
	var out []string
	for _, id := range v.Entries {
		reg, ok := find(list, id)
		if id != self && ok && reg.Recent(now, removeAfter) {
			out = append(out, id)
		}
	}
	out = append(out, self)
	slices.Sort(out)
	return out
}

// repeat calls fn with jittered pauses until ctx ends. The first failure after
// a success is logged, and so is the first success after a failure.
func (f *follower) repeat(ctx context.Context, interval time.Duration, fn func() error) error {
	log := f.receiver.deps.Log
	failing := false
	for {
		err := fn()
		switch {
		case err != nil && !failing && ctx.Err() == nil:
			log.WithError(err).Warn("store call failed")
		case err == nil && failing:
			log.Info("store calls succeed again")
		}
		failing = err != nil
		jitter := time.Duration(rand.Int64N(int64(interval / 2)))
		select {
		case <-ctx.Done():
			return nil
		case <-f.receiver.deps.Clock.After(interval*3/4 + jitter):
		}
	}
}
