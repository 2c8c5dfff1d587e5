// Package evacuator holds what a process knows of the data centres that the operators have
// evacuated, and how old that knowledge is.
//
// Processes read the evacuations in the store and tell each other of them. What one process
// believes may be old, since it may be cut off from the store, so a view has the store's
// revision, by which the newer of two is known, and the time at which it was certainly
// right.
package evacuator

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// FromStore is the source of what a process has read in the store itself. What others have
// told it has the sender's name as its source.
const FromStore = "store"

// View is what a process knows of the evacuations. It is immutable; the zero value knows
// nothing.
type View struct {
	// Revision is the store's revision of which the view is known. Of two views the one
	// with the higher revision is the newer one.
	Revision int64
	// DataCentres lists the evacuated data centres in ascending order.
	DataCentres []string
	// ConfirmedAt is a time, by the clock of this process, at which the store held nothing
	// newer; the zero time if none is known.
	ConfirmedAt time.Time
}

// NewView returns the view of a read of the store that began at a time and was answered at a
// revision.
func NewView(revision int64, dataCentres []string, beganAt time.Time) View {
	sorted := slices.Clone(dataCentres)
	slices.Sort(sorted)
	return View{Revision: revision, DataCentres: sorted, ConfirmedAt: beganAt}
}

// Received returns the view that another process has sent at or after the time of the
// timestamp that its message echoes. The timestamps of this process count from epoch. Without
// an echo (zero), or with one that is later than now, the age of the view is not known.
func Received(m messenger.Evacuations, epoch time.Time, echo time.Duration, now time.Time) View {
	v := NewView(m.Revision, m.DataCentres, time.Time{})
	sentAt := epoch.Add(echo)
	if m.Age > 0 && echo > 0 && !sentAt.After(now) {
		v.ConfirmedAt = sentAt.Add(-m.Age)
	}
	return v
}

// Message returns the view as it is sent to another process.
func (v View) Message(now time.Time) messenger.Evacuations {
	m := messenger.Evacuations{Revision: v.Revision, DataCentres: v.DataCentres}
	if !v.ConfirmedAt.IsZero() {
		m.Age = max(now.Sub(v.ConfirmedAt), 1)
	}
	return m
}

// Merge returns what two views say together. The store's revision only rises, so the view
// with the higher one is at least as new as the time at which the other one was right.
func (v View) Merge(o View) View {
	if o.ConfirmedAt.Before(v.ConfirmedAt) {
		o.ConfirmedAt = v.ConfirmedAt
	}
	if o.Revision < v.Revision {
		v.ConfirmedAt = o.ConfirmedAt
		return v
	}
	return o
}

// Evacuated reports whether a data centre is evacuated.
func (v View) Evacuated(dataCentre string) bool {
	_, found := slices.BinarySearch(v.DataCentres, dataCentre)
	return found
}

// Set returns the evacuated data centres as the keys of a map.
func (v View) Set() map[string]bool {
	out := make(map[string]bool, len(v.DataCentres))
	for _, dc := range v.DataCentres {
		out[dc] = true
	}
	return out
}

// SameDataCentres reports whether two views have the same data centres evacuated.
func (v View) SameDataCentres(o View) bool { return slices.Equal(v.DataCentres, o.DataCentres) }

// OlderThan reports whether the view may be older than an age.
func (v View) OlderThan(age time.Duration, now time.Time) bool {
	return v.ConfirmedAt.IsZero() || now.Sub(v.ConfirmedAt) > age
}
