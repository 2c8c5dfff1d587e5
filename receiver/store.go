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
	// VotersKey is the key of the list of voters, the entries by whose majority a
	// bundle is accepted.
	VotersKey = "pomeloferry/voters"
	// EntriesPrefix is the prefix of the keys of the registrations.
	EntriesPrefix = "pomeloferry/entries/"
	// bundlePollInterval is the mean interval between reads of the bundle.
	bundlePollInterval = 500 * time.Millisecond
	// registerInterval is the mean interval between registrations.
	registerInterval = 2 * time.Second
	// registrationTTL is the time since an entry's last write to the store after which
	// the others remove it from the list of voters.
	registrationTTL = 20 * time.Second
)

// Registration is the state that an entry writes about itself into the store.
type Registration struct {
	Entry       courier.EntryInfo
	Incarnation string
	DataCentre  string
	// BundleVersion and VotersVersion are the versions in force at the entry.
	BundleVersion uint64
	VotersVersion uint64
	// Agents counts the agents linked to the entry; AgentsInForce counts those among
	// them that have BundleVersion in force.
	Agents        int
	AgentsInForce int
	// SeenAt is when the entry wrote this.
	SeenAt time.Time
	// Left means that the entry has completed a planned stop.
	Left bool
}

// WroteWithin reports whether the entry has not stopped and wrote the registration within
// span before now.
func (r Registration) WroteWithin(now time.Time, span time.Duration) bool {
	return !r.Left && now.Sub(r.SeenAt) < span
}

// storePoller polls the store for one entry, and writes its registration and the list of
// voters.
type storePoller struct {
	receiver *Receiver
	// registrationsRead is set by the first read of the registrations. No registration
	// is written before, since that read looks for entries that ran earlier.
	registrationsRead atomic.Bool
	// registeredVersion is the last bundle version that was registered at once.
	registeredVersion uint64
}

// pollBundle reads the bundle and the voters periodically until ctx ends.
func (p *storePoller) pollBundle(ctx context.Context) error {
	return p.poll(ctx, bundlePollInterval, func() error {
		beganAt := p.receiver.deps.Clock.Now()
		bundle, err := p.receiver.store.Get(ctx, BundleKey)
		if err != nil {
			return err
		}
		voters, err := p.receiver.store.Get(ctx, VotersKey)
		if err != nil {
			return err
		}
		return p.handleBundle(ctx, beganAt, bundle, voters)
	})
}

// handleBundle verifies and posts the bundle and the voters that were read. A new bundle
// version is registered at once, since its acceptance depends on that.
func (p *storePoller) handleBundle(ctx context.Context, beganAt time.Time, bundle, voters keeper.Pair) error {
	msg := bundleRead{beganAt: beganAt}
	if err := parseVoters(voters, &msg.voters); err != nil {
		return err
	}
	if bundle.Revision == 0 {
		return nil
	}
	if err := json.Unmarshal(bundle.Value, &msg.signed); err != nil {
		return &Error{Op: "read " + BundleKey, Kind: Invalid, Err: err}
	}
	b, err := p.receiver.cfg.Trust.Verify(msg.signed)
	if err != nil {
		return &Error{Op: "read " + BundleKey, Kind: Invalid, Err: err}
	}
	msg.bundle = b
	p.receiver.post(msg)
	if b.Version <= p.registeredVersion || !p.registrationsRead.Load() {
		return nil
	}
	p.registeredVersion = b.Version
	return p.writeRegistration(ctx, false)
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

// pollRegistrations periodically reads the registrations, writes the one of this entry
// and updates the list of voters, until ctx ends.
func (p *storePoller) pollRegistrations(ctx context.Context) error {
	return p.poll(ctx, registerInterval, func() error {
		list, err := p.readEntries(ctx)
		if err != nil {
			return err
		}
		if err := p.writeRegistration(ctx, false); err != nil {
			return err
		}
		return p.updateVoters(ctx, list)
	})
}

// readEntries reads the registrations and posts the recent ones.
func (p *storePoller) readEntries(ctx context.Context) ([]Registration, error) {
	r := p.receiver
	list, err := ReadRegistrations(ctx, r.store)
	if err != nil {
		return nil, err
	}
	now := r.deps.Clock.Now()
	msg := entriesRead{noEarlierEntries: !p.registrationsRead.Load() && noRecentRun(list, now)}
	for _, reg := range list {
		if reg.WroteWithin(now, registrationTTL) {
			msg.entries = append(msg.entries, reg.Entry)
		}
	}
	p.registrationsRead.Store(true)
	r.post(msg)
	return list, nil
}

// noRecentRun reports whether no entry of list can have run within RecordRetention. An
// entry without a planned stop may have run without the store for up to VoterTimeout
// after its last write.
func noRecentRun(list []Registration, now time.Time) bool {
	return !slices.ContainsFunc(list, func(reg Registration) bool {
		if reg.Left {
			return now.Sub(reg.SeenAt) < dispatcher.RecordRetention
		}
		return now.Sub(reg.SeenAt) < confirmer.VoterTimeout+dispatcher.RecordRetention
	})
}

// ReadRegistrations returns the registrations of the entries.
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

// writeRegistration writes the registration of this entry; left marks it as stopped.
func (p *storePoller) writeRegistration(ctx context.Context, left bool) error {
	answer, err := p.receiver.ask(registrationQuery{})
	if err != nil {
		return &Error{Op: "register", Kind: Unusable, Err: err}
	}
	reg := answer.(Registration)
	reg.Left = left
	raw, err := json.Marshal(reg)
	if err != nil {
		return &Error{Op: "register", Kind: Invalid, Err: err}
	}
	return p.receiver.store.Put(ctx, EntriesPrefix+p.receiver.cfg.ID, raw)
}

// updateVoters adds this entry to the list of voters and removes entries that no longer
// write to the store, one change at a time: a change waits until majorities of the last
// two lists have the last one in force.
func (p *storePoller) updateVoters(ctx context.Context, list []Registration) error {
	pair, err := p.receiver.store.Get(ctx, VotersKey)
	if err != nil {
		return err
	}
	var v confirmer.Voters
	if err := parseVoters(pair, &v); err != nil {
		return err
	}
	next, changed := nextVoters(v, list, p.receiver.cfg.ID, p.receiver.deps.Clock.Now())
	if !changed {
		return nil
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return &Error{Op: "update voters", Kind: Invalid, Err: err}
	}
	_, err = p.receiver.store.CompareAndSwap(ctx, VotersKey, pair.Revision, raw)
	return err
}

// VotersAccepted reports whether, in both lists of v, a majority of the entries have v in
// force or can no longer confirm any bundle.
func VotersAccepted(v confirmer.Voters, list []Registration, now time.Time) bool {
	if v.Version == 0 {
		return true
	}
	return v.Majority(func(id string) bool {
		reg, ok := findRegistration(list, id)
		return ok && (reg.VotersVersion >= v.Version || !reg.WroteWithin(now, confirmer.VoterTimeout))
	})
}

// BundleAccepted reports whether a majority of the voters have a bundle version in force
// or can no longer confirm any bundle.
func BundleAccepted(version uint64, v confirmer.Voters, list []Registration, now time.Time) bool {
	return len(v.Entries) > 0 && v.Majority(func(id string) bool {
		reg, ok := findRegistration(list, id)
		return ok && (reg.BundleVersion >= version || !reg.WroteWithin(now, confirmer.VoterTimeout))
	})
}

func findRegistration(list []Registration, id string) (Registration, bool) {
	for _, reg := range list {
		if reg.Entry.ID == id {
			return reg, true
		}
	}
	return Registration{}, false
}

// nextVoters returns the list that replaces v, or false if v does not change now.
func nextVoters(v confirmer.Voters, list []Registration, self string, now time.Time) (confirmer.Voters, bool) {
	if !VotersAccepted(v, list, now) {
		return v, false
	}
	if len(v.Previous) > 0 {
		return v.WithoutPrevious(), true
	}
	wanted := wantedVoters(v, list, self, now)
	if slices.Equal(wanted, v.Entries) {
		return v, false
	}
	return v.WithEntries(wanted), true
}

// wantedVoters returns the sorted list that v is to be changed to: self and the entries
// of v that still write to the store.
func wantedVoters(v confirmer.Voters, list []Registration, self string, now time.Time) []string {
	var out []string
	for _, id := range v.Entries {
		reg, ok := findRegistration(list, id)
		if id != self && ok && reg.WroteWithin(now, registrationTTL) {
			out = append(out, id)
		}
	}
	out = append(out, self)
	slices.Sort(out)
	return out
}

// poll calls fn at a jittered interval until ctx ends. It logs the first failure after a
// success and the first success after a failure.
func (p *storePoller) poll(ctx context.Context, interval time.Duration, fn func() error) error {
	log := p.receiver.deps.Log
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
		case <-p.receiver.deps.Clock.After(interval*3/4 + jitter):
		}
	}
}
