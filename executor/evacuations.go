package executor

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// An agent is told of evacuations by its entries, and by its own reads of the store. An entry
// that is cut off from the store cannot know that it is told nothing newer, so its word has
// an age, and an agent that no entry has told anything recent reads the store itself. It
// tells its entries what it has read, so that few agents read for all.

const (
	// DefaultEvacuationTimeout is the Config.EvacuationTimeout if none is configured.
	DefaultEvacuationTimeout = 5 * time.Second
	// readAfterShare is the age at which the known evacuations are read from the store,
	// and readSpreadShare the time over which agents spread their reads, as shares of the
	// timeout. The rest is for a read that has to be repeated.
	readAfterShare  = 0.4
	readSpreadShare = 0.2
	// evacuationRetryInterval is the time after a failed read until the next one.
	evacuationRetryInterval = 400 * time.Millisecond
	// storeRegainedDelay is how long after a failure of the store an agent waits for its
	// entries, which regain it too, before it reads the store itself.
	storeRegainedDelay = time.Second
)

// evacuationState is what an agent knows of the evacuations.
type evacuationState struct {
	evacuator.View
	// source names who has told the agent the revision of the view; empty for nobody.
	source string
	// readAfter is the age of the view at which the agent reads the store.
	readAfter time.Duration
	// firstReadDone is whether the first read of the store has succeeded or failed. Until
	// then nothing is started, unless an entry has told something that is confirmed.
	firstReadDone bool
	// reading is whether a read is in progress. nextReadAt is the earliest time of the next
	// one.
	reading    bool
	nextReadAt time.Time
	// storeAnswers is whether the store has answered the last call for the agent's
	// registration, and storeRegainedAt when it did so for the first time after a failure.
	storeAnswers    bool
	storeRegainedAt time.Time
}

// entryOf returns the entry that a source names, or "" if the agent has read the store itself.
func entryOf(source string) string {
	if source == evacuator.FromStore {
		return ""
	}
	return source
}

func newEvacuationState(agent string, timeout time.Duration) evacuationState {
	if timeout <= 0 {
		timeout = DefaultEvacuationTimeout
	}
	spread := float64(xxhash.Sum64String(agent)%1000) / 1000
	return evacuationState{readAfter: time.Duration((readAfterShare + readSpreadShare*spread) * float64(timeout))}
}

// known reports whether the agent knows of the evacuations, or cannot learn of them for now.
func (s *evacuationState) known(now time.Time) bool {
	return s.firstReadDone || !s.OlderThan(s.readAfter, now)
}

// evacuated reports whether the agent's data centre is evacuated.
func (x *Executor) evacuated() bool { return x.evacuations.Evacuated(x.identity.DataCentre) }

// learnEvacuations merges what an entry has told, or what the store has answered, into what
// is known.
func (x *Executor) learnEvacuations(v evacuator.View, source string) {
	now := x.clock.Now()
	wasKnown, wasEvacuated := x.evacuations.known(now), x.evacuated()
	if v.Revision > x.evacuations.Revision {
		x.evacuations.source = source
	}
	x.evacuations.View = x.evacuations.Merge(v)
	evacuated := x.evacuated()
	if evacuated != wasEvacuated {
		x.emit(Note{
			Owner: entryOf(source), What: "evacuation changed",
			Why: fmt.Sprintf("%t at revision %d, told by %s", evacuated, x.evacuations.Revision, source),
			Age: x.evacuations.age(now),
		})
		x.markCapacityChanged()
	}
	if evacuated {
		x.endReservation("data centre evacuated")
		x.refuseWaiting(messenger.RefusedEvacuated)
	}
	if !wasKnown && x.evacuations.known(now) {
		x.startWaiting()
	}
}

// HandleEvacuationsRead processes the answer to a ReadEvacuations.
func (x *Executor) HandleEvacuationsRead(v evacuator.View) {
	x.evacuations.firstReadDone = true
	x.evacuations.reading = false
	x.learnEvacuations(v, evacuator.FromStore)
	x.markStateChanged()
	x.startWaiting()
}

// HandleEvacuationsUnread records that a ReadEvacuations has failed.
func (x *Executor) HandleEvacuationsUnread() {
	x.evacuations.firstReadDone = true
	x.evacuations.reading = false
	x.evacuations.nextReadAt = x.clock.Now().Add(evacuationRetryInterval)
	x.startWaiting()
}

// HandleStoreCall records whether the store has answered a call of the agent that it makes
// for another purpose.
func (x *Executor) HandleStoreCall(answered bool) {
	s := &x.evacuations
	if answered && !s.storeAnswers {
		s.storeRegainedAt = x.clock.Now()
	}
	s.storeAnswers = answered
}

// readOldEvacuations reads the evacuations from the store if no entry has confirmed them for
// too long. It does not while the store answers no other call either: it would only cost
// the store a call, and what the entries know is all that can be known.
func (x *Executor) readOldEvacuations(now time.Time) {
	s := &x.evacuations
	if s.reading || !s.storeAnswers || !s.OlderThan(s.readAfter, now) ||
		now.Before(s.nextReadAt) || now.Sub(s.storeRegainedAt) < storeRegainedDelay {
		return
	}
	s.reading = true
	x.emit(Note{What: "evacuations not confirmed by entries", Why: fmt.Sprintf("revision %d told by %s, the store is read", s.Revision, s.source), Age: s.age(now)})
	x.emit(ReadEvacuations{})
}

// age returns the age of the view; zero if it is not known.
func (s *evacuationState) age(now time.Time) time.Duration {
	if s.ConfirmedAt.IsZero() {
		return 0
	}
	return now.Sub(s.ConfirmedAt)
}

// EvacuationsAge returns the time since the evacuations that the agent knows were certainly
// right; zero if it has never been known that they were.
func (x *Executor) EvacuationsAge() time.Duration { return x.evacuations.age(x.clock.Now()) }

// evacuationsFor returns what is told to an entry of the evacuations: nothing, unless it
// knows other ones that are older, or has had none confirmed for long.
func (x *Executor) evacuationsFor(e *entry, now time.Time) *messenger.Evacuations {
	s := &x.evacuations
	outdated := e.evacuations.Revision < s.Revision && !e.evacuations.SameDataCentres(s.View)
	unconfirmed := e.evacuations.OlderThan(s.readAfter, now) && !s.OlderThan(s.readAfter, now)
	if !outdated && !unconfirmed {
		return nil
	}
	m := s.Message(now)
	return &m
}
