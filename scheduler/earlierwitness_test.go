package scheduler

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// otherWitnesses returns as many witnesses as newTestWitnesses, none of them the same.
func otherWitnesses(groups, perGroup int) []messenger.Witness {
	out := newTestWitnesses(groups, perGroup)
	for i := range out {
		out[i].Agent = "other-" + out[i].Agent
	}
	return out
}

// knownList and strangeList are two lists of which neither follows the other.
var (
	knownList   = messenger.WitnessList{Version: 7, Current: newTestWitnesses(3, 2)}
	strangeList = messenger.WitnessList{Version: 8, Current: otherWitnesses(3, 2)}
)

// witnessFixture is a scheduler that is linked to all agents of both lists.
type witnessFixture struct {
	*Scheduler
	clock *clockwork.FakeClock
}

func newWitnessFixture() *witnessFixture {
	clock := clockwork.NewFakeClock()
	f := &witnessFixture{Scheduler: NewScheduler(clock, "entry", "dc-0"), clock: clock}
	for _, w := range append(newTestWitnesses(3, 2), otherWitnesses(3, 2)...) {
		f.LinkOpened(w.Agent)
	}
	return f
}

// tell has some agents tell that they know a list.
func (f *witnessFixture) tell(list messenger.WitnessList, agents []messenger.Witness) {
	for _, w := range agents {
		f.HandleWitnessList(w.Agent, list)
	}
}

// lists returns the number of lists of which a lock needs a quorum.
func (f *witnessFixture) lists() int { return len(f.witnesses.panels(1, "dc-0")) }

// pass lets time pass, in ticks.
func (f *witnessFixture) pass(d time.Duration) {
	const tick = 10 * time.Millisecond
	for range d / tick {
		f.clock.Advance(tick)
		f.Tick()
	}
}

// Guards against two entries that each have a quorum, since one of them has taken over a list
// that another writer has left in the store.
func TestAListThatDoesNotFollowTheKnownOneNeedsAQuorumOfBoth(t *testing.T) {
	f := newWitnessFixture()
	f.ReadWitnesses(knownList)
	require.Equal(t, 1, f.lists())
	f.ReadWitnesses(strangeList)
	require.Equal(t, strangeList, f.witnesses.list)
	require.Equal(t, 2, f.lists())
	f.pass(time.Minute)
	require.Equal(t, 2, f.lists(), "an entry that does not know the list may lock jobs at the known witnesses")

	f.tell(strangeList, knownList.Current[:5])
	f.pass(messenger.LockTTL - time.Second)
	require.Equal(t, 2, f.lists(), "what was locked before has not expired")
	f.pass(time.Second + 10*time.Millisecond)
	require.Equal(t, 1, f.lists())
}

// Guards against an entry that waits for ever for witnesses that are gone.
func TestWitnessesOfAListThatWasNotFollowedAreDroppedOnceTheyAreGone(t *testing.T) {
	f := newWitnessFixture()
	f.ReadWitnesses(knownList)
	f.ReadWitnesses(strangeList)
	for _, w := range knownList.Current[:4] {
		f.LinkClosed(w.Agent)
	}
	f.pass(earlierLossTimeout - time.Second)
	require.Equal(t, 2, f.lists())
	f.pass(time.Second + 10*time.Millisecond)
	require.Equal(t, 1, f.lists())
}

// Guards against a second list that costs the first one's witnesses, in the course of a change
// or after an entry has missed some.
func TestWitnessesAreKeptUntilEachListHasBeenConfirmed(t *testing.T) {
	f := newWitnessFixture()
	f.ReadWitnesses(knownList)
	between := knownList.WithCurrent(otherWitnesses(3, 2))
	f.ReadWitnesses(between)
	require.Equal(t, 2, f.lists())
	f.ReadWitnesses(between.WithoutPrevious())
	require.Equal(t, 1, f.lists(), "the writer has found that the change is settled")

	f = newWitnessFixture()
	f.ReadWitnesses(between)
	f.ReadWitnesses(messenger.WitnessList{Version: 12, Current: newTestWitnesses(4, 2)})
	require.Equal(t, 3, f.lists())
}

// Guards against an entry that starts with what another writer has left in the store, and
// keeps to it although the others have replaced it.
func TestAListThatNoQuorumOfItsWitnessesKnowsGivesWayToTheOneInTheStore(t *testing.T) {
	far := messenger.WitnessList{Version: 1 << 52, Current: strangeList.Current}
	f := newWitnessFixture()
	f.ReadWitnesses(far)
	f.ReadWitnesses(knownList)
	require.Equal(t, knownList, f.witnesses.list)
	require.Equal(t, 1, f.lists())

	f = newWitnessFixture()
	f.ReadWitnesses(far)
	f.tell(far, far.Current[:3])
	f.ReadWitnesses(knownList)
	require.Equal(t, far, f.witnesses.list, "a quorum of its witnesses knows it")

	f = newWitnessFixture()
	f.ReadWitnesses(knownList)
	f.tell(knownList, knownList.Current)
	f.SetWitnesses(messenger.WitnessList{Version: 9, Current: knownList.Current})
	f.ReadWitnesses(strangeList)
	require.Equal(t, uint64(9), f.witnesses.list.Version, "a watch that lags behind what a witness has told")

	f = newWitnessFixture()
	sameVersion := messenger.WitnessList{Version: knownList.Version, Current: strangeList.Current}
	f.ReadWitnesses(sameVersion)
	f.tell(knownList, strangeList.Current)
	f.ReadWitnesses(knownList)
	require.Equal(t, knownList, f.witnesses.list, "its witnesses know another one of the same version")
}
