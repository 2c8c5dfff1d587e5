package receiver

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/keeper"
)

const (
	// BundleKey is the key of the signed bundle in the store.
	BundleKey = "pomeloferry/bundle"
	// EntriesPrefix begins the keys of registered entries.
	EntriesPrefix = "pomeloferry/entries/"
	// followInterval is the mean time between two reads of the bundle.
	followInterval = 500 * time.Millisecond
	// registerInterval is the mean time between two registrations.
	registerInterval = 2 * time.Second
)

// registration is what an entry writes about itself.
type registration struct {
	Entry       courier.EntryInfo
	Incarnation string
	DataCentre  string
	// SeenAt is when the entry wrote this.
	SeenAt time.Time
}

// followBundle reads the bundle again and again until ctx ends. Each read that
// succeeds confirms that no newer bundle had been accepted when it began.
func (r *Receiver) followBundle(ctx context.Context) error {
	return r.repeat(ctx, followInterval, func() error {
		began := r.deps.Clock.Now()
		pair, err := r.store.Get(ctx, BundleKey)
		if err != nil || pair.Revision == 0 {
			return err
		}
		var signed approver.Signed
		if err := json.Unmarshal(pair.Value, &signed); err != nil {
			return &Error{Op: "read bundle", Kind: Invalid, Err: err}
		}
		b, err := r.cfg.Trust.Verify(signed)
		if err != nil {
			return &Error{Op: "read bundle", Kind: Invalid, Err: err}
		}
		r.post(bundleRead{signed: signed, bundle: b, at: began})
		return nil
	})
}

// register writes this entry into the store and reads the others, until ctx
// ends.
func (r *Receiver) register(ctx context.Context) error {
	first := true
	return r.repeat(ctx, registerInterval, func() error {
		list, err := r.store.List(ctx, EntriesPrefix)
		if err != nil {
			return err
		}
		msg := entriesRead{first: first && !anyRecent(list, r.deps.Clock.Now())}
		for _, pair := range list {
			var reg registration
			if err := json.Unmarshal(pair.Value, &reg); err != nil {
				r.deps.Log.WithField("key", pair.Key).WithError(err).Warn("registration cannot be read")
				continue
			}
			if r.deps.Clock.Since(reg.SeenAt) < dispatcher.RecordHorizon {
				msg.entries = append(msg.entries, reg.Entry)
			}
		}
		first = false
		r.post(msg)
		return r.writeRegistration(ctx)
	})
}

// anyRecent reports whether an entry of another start wrote to the store
// within the record horizon, so that agents unknown here may hold records.
func anyRecent(list []keeper.Pair, now time.Time) bool {
	for _, pair := range list {
		var reg registration
		if json.Unmarshal(pair.Value, &reg) != nil || now.Sub(reg.SeenAt) < dispatcher.RecordHorizon {
			return true
		}
	}
	return false
}

func (r *Receiver) writeRegistration(ctx context.Context) error {
	reg := registration{
		Entry:       r.info,
		Incarnation: r.incarnation,
		DataCentre:  r.cfg.DataCentre,
		SeenAt:      r.deps.Clock.Now(),
	}
	raw, err := json.Marshal(reg)
	if err != nil {
		return &Error{Op: "register", Kind: Invalid, Err: err}
	}
	return r.store.Put(ctx, EntriesPrefix+strings.ReplaceAll(r.cfg.ID, "/", "_"), raw)
}

// repeat calls f with jittered pauses until ctx ends. The first failure after
// a success is logged, and so is the first success after a failure.
func (r *Receiver) repeat(ctx context.Context, interval time.Duration, f func() error) error {
	failing := false
	for {
		err := f()
		switch {
		case err != nil && !failing && ctx.Err() == nil:
			r.deps.Log.WithError(err).Warn("store call failed")
		case err == nil && failing:
			r.deps.Log.Info("store calls succeed again")
		}
		failing = err != nil
		jitter := time.Duration(rand.Int64N(int64(interval / 2)))
		select {
		case <-ctx.Done():
			return nil
		case <-r.deps.Clock.After(interval*3/4 + jitter):
		}
	}
}
