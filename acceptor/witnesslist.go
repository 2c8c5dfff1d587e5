package acceptor

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
	"github.com/pomeloferry/pomeloferry/server"
)

// witnessInterval is the time between two checks of the list of witnesses.
const witnessInterval = 100 * time.Millisecond

// witnesses returns the list of witnesses in force; its version is zero before the first.
func (a *Acceptor) witnesses() messenger.WitnessList {
	if l := a.witnessList.Load(); l != nil {
		return *l
	}
	return messenger.WitnessList{}
}

// formerWitnesses returns the agents that are no witnesses any more by the list in force, but
// at which jobs may still be locked.
func (a *Acceptor) formerWitnesses() []string {
	if kept := a.keptWitnesses.Load(); kept != nil {
		return *kept
	}
	return nil
}

const (
	// maxVersionStep is the greatest difference between the version of the list in the store
	// and of the known one. It leaves room for changes after a version that another writer
	// has written.
	maxVersionStep = 1 << 40
	// maxFirstVersion is the greatest version from which an entry can start.
	maxFirstVersion = 1 << 52
)

// checkVersion returns an error if no entry can have written the version of a list: changes
// count up by one.
func checkVersion(list, known messenger.WitnessList) error {
	limit := uint64(maxFirstVersion)
	if known.Version > 0 {
		limit = known.Version + maxVersionStep
	}
	if list.Version > limit {
		return errors.Errorf("version %d, the known one is %d", list.Version, known.Version)
	}
	return nil
}

// readWitnesses processes the list of witnesses in the store. An odd one is logged, and
// replaced in time.
func (s *linkSet) readWitnesses(item platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedWitnesses, s.witnessRevision = 0, 0
	if item.Deleted {
		return
	}
	s.witnessRevision = item.Revision
	known := s.acceptor.witnesses()
	list, err := platform.ParseWitnessList(item)
	if err == nil {
		err = checkVersion(list, known)
	}
	if err != nil {
		s.logInvalid(item, "list of witnesses", err)
		return
	}
	if list.Version != known.Version || list.Equal(known) {
		s.storedWitnesses = list.Version
	}
	s.post(witnessesRead{list: list})
}

// keepWitnesses changes the list of witnesses in the store as necessary until ctx ends.
func (s *linkSet) keepWitnesses(ctx context.Context) {
	// Tick ends with ctx and has no other error.
	_ = server.Tick(ctx, s.acceptor.deps.Clock, witnessInterval, func() {
		list := s.acceptor.witnesses()
		var change scheduler.WitnessChange
		if len(list.Previous) > 0 {
			change = ask[scheduler.WitnessChange](s.acceptor, witnessChangeQuery{})
		}
		next, revision, ok := s.proposeWitnesses(list, change)
		if !ok {
			return
		}
		s.writeWitnesses(ctx, next, revision)
	})
}

// proposeWitnesses returns the list of witnesses to write, if any, and the revision of the
// one that it replaces.
func (s *linkSet) proposeWitnesses(list messenger.WitnessList, change scheduler.WitnessChange) (messenger.WitnessList, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directoryRead {
		return messenger.WitnessList{}, 0, false
	}
	next, ok := s.witnessKeeper.propose(list, s.storedWitnesses, s.candidates(nil), change)
	return next, s.witnessRevision, ok
}

// writeWitnesses writes a list of witnesses. The watch of the directory tells of it, and of
// that of another entry which came before.
func (s *linkSet) writeWitnesses(ctx context.Context, list messenger.WitnessList, revision int64) {
	err := s.acceptor.store.ReplaceWitnessList(ctx, list, revision)
	line := s.acceptor.deps.Log.WithField("version", list.Version)
	switch {
	case err == nil:
		line.Info("list of witnesses changed")
	case !errors.Is(err, &platform.Error{Kind: platform.Conflict}):
		line.WithError(err).Warn("list of witnesses not changed")
	}
}
