package acceptor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// newWitnessCandidates returns n agents in a number of data centres, all of which are
// registered and can be reached.
func newWitnessCandidates(n, dataCentres int) []candidate {
	candidates := newCandidates("entry-1", n)
	for i := range candidates {
		candidates[i].dataCentre = fmt.Sprintf("dc-%d", i%dataCentres)
		candidates[i].registered = true
		candidates[i].reachable = true
	}
	return candidates
}

// without returns the candidates except for one.
func without(candidates []candidate, agent string) []candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.agent == agent })
}

// noneGone reports that no witness is gone.
func noneGone(string) bool { return false }

// TestWitnessesAreFewAndInDifferentGroups guards against witnesses that are lost together
// with one data centre, and against links that grow with the number of agents.
func TestWitnessesAreFewAndInDifferentGroups(t *testing.T) {
	for _, tt := range []struct{ agents, dataCentres, groups int }{
		{11, 3, 3}, {58, 4, 4}, {240, 5, 5}, {30, 1, 3}, {30, 2, 6}, {1, 1, 1},
	} {
		t.Run(fmt.Sprintf("%d agents in %d data centres", tt.agents, tt.dataCentres), func(t *testing.T) {
			groups := make(map[string]int)
			for _, w := range chooseWitnesses(nil, newWitnessCandidates(tt.agents, tt.dataCentres), noneGone) {
				groups[w.Group]++
			}
			require.Len(t, groups, tt.groups)
			for group, n := range groups {
				require.LessOrEqual(t, n, witnessesPerGroup, group)
			}
		})
	}
}

// keeperFixture is the witness keeper of an entry that sees some agents.
type keeperFixture struct {
	*witnessKeeper
	clock      *clockwork.FakeClock
	candidates []candidate
	list       messenger.WitnessList
}

// newKeeperFixture returns the keeper of an entry whose list has the witnesses of 11 agents
// in three data centres.
func newKeeperFixture() *keeperFixture {
	clock := clockwork.NewFakeClock()
	f := &keeperFixture{
		witnessKeeper: newWitnessKeeper(clock, func(limit time.Duration) time.Duration { return limit / 2 }),
		clock:         clock,
		candidates:    newWitnessCandidates(11, 3),
	}
	f.list = messenger.WitnessList{Version: 1, Current: chooseWitnesses(nil, f.candidates, noneGone)}
	return f
}

// proposedWithin returns the list that is proposed within a time, if any.
func (f *keeperFixture) proposedWithin(limit time.Duration, change scheduler.WitnessChange) (messenger.WitnessList, bool) {
	for range limit / witnessInterval {
		if next, ok := f.propose(f.list, f.list.Version, f.candidates, change); ok {
			return next, true
		}
		f.clock.Advance(witnessInterval)
	}
	return messenger.WitnessList{}, false
}

// TestAnEntryThatCannotReachAWitnessKeepsIt guards against two entries that lock a job at
// different agents, since one of them cannot reach some for a while.
func TestAnEntryThatCannotReachAWitnessKeepsIt(t *testing.T) {
	f := newKeeperFixture()
	f.candidates[slices.IndexFunc(f.candidates, func(c candidate) bool { return c.agent == f.list.Current[0].Agent })].reachable = false
	_, proposed := f.proposedWithin(silentWitnessTimeout, scheduler.WitnessChange{})
	require.False(t, proposed)
}

// TestAWitnessThatIsGoneForGoodIsReplacedInTwoSteps guards against jobs that wait for a
// witness that will not come back, and against a change of the witnesses after which two
// entries have no witness in common.
func TestAWitnessThatIsGoneForGoodIsReplacedInTwoSteps(t *testing.T) {
	f := newKeeperFixture()
	gone := f.list.Current[0]
	f.candidates = without(f.candidates, gone.Agent)
	next, proposed := f.proposedWithin(departedWitnessTimeout+proposalSpread, scheduler.WitnessChange{})
	require.True(t, proposed)
	require.Equal(t, f.list.Version+1, next.Version)
	require.Equal(t, f.list.Current, next.Previous)
	require.NotContains(t, next.Current, gone)
	require.Len(t, next.Current, len(f.list.Current))
	require.Subset(t, next.Current, f.list.Current[1:], "the others stay")

	f.list = next
	_, proposed = f.proposedWithin(time.Minute, scheduler.WitnessChange{Unconfirmed: []string{gone.Agent, f.list.Current[1].Agent}})
	require.False(t, proposed, "jobs may be locked at the previous ones only")
	last, proposed := f.proposedWithin(proposalSpread, scheduler.WitnessChange{Settled: true})
	require.True(t, proposed)
	require.Equal(t, messenger.WitnessList{Version: next.Version + 1, Current: next.Current}, last)
}

// TestAWitnessThatIsAboutToLeaveIsReplaced guards against jobs that find no witnesses when
// workers are replaced one after the other.
func TestAWitnessThatIsAboutToLeaveIsReplaced(t *testing.T) {
	f := newKeeperFixture()
	leaving := f.list.Current[0]
	f.candidates[slices.IndexFunc(f.candidates, func(c candidate) bool { return c.agent == leaving.Agent })].leaving = true
	next, proposed := f.proposedWithin(proposalSpread, scheduler.WitnessChange{})
	require.True(t, proposed)
	require.NotContains(t, next.Current, leaving)
	require.Contains(t, next.Previous, leaving)
	require.Len(t, next.Current, len(f.list.Current))
	for i := range f.candidates {
		f.candidates[i].leaving = true
	}
	require.Len(t, chooseWitnesses(f.list.Current, f.candidates, noneGone), len(f.list.Current), "better than none")
}

// TestWitnessesThatAreAllGoneForGoodAreReplaced guards against a service that does not come
// back after most of the witnesses have been lost together.
func TestWitnessesThatAreAllGoneForGoodAreReplaced(t *testing.T) {
	f := newKeeperFixture()
	for _, w := range f.list.Current[:5] {
		f.candidates = without(f.candidates, w.Agent)
	}
	next, proposed := f.proposedWithin(departedWitnessTimeout+proposalSpread, scheduler.WitnessChange{})
	require.True(t, proposed)
	change := scheduler.WitnessChange{}
	for _, w := range f.list.Current[:5] {
		change.Unconfirmed = append(change.Unconfirmed, w.Agent)
	}
	f.list = next
	f.propose(f.list, f.list.Version, f.candidates, change)
	last, proposed := f.proposedWithin(goneForGoodTimeout+proposalSpread+witnessInterval, change)
	require.True(t, proposed)
	require.Empty(t, last.Previous)
	require.GreaterOrEqual(t, len(last.Current), 5)
}

// TestAnEntryThatIsCutOffProposesNothing guards against an entry that has all witnesses
// replaced since it can reach the store only.
func TestAnEntryThatIsCutOffProposesNothing(t *testing.T) {
	f := newKeeperFixture()
	for i := range f.candidates {
		f.candidates[i].reachable = i%2 == 0
	}
	_, proposed := f.proposedWithin(time.Minute, scheduler.WitnessChange{})
	require.False(t, proposed)
}

// TestTheFirstListWaitsForEnoughAgents guards against witnesses in one data centre only,
// since the agents of the others registered later, and against an entry that waits for ever
// where there are few.
func TestTheFirstListWaitsForEnoughAgents(t *testing.T) {
	f := newKeeperFixture()
	all := f.candidates
	f.list = messenger.WitnessList{}
	f.candidates = all[:4]
	_, proposed := f.proposedWithin(firstListDelay/2, scheduler.WitnessChange{})
	require.False(t, proposed)
	f.candidates = all
	first, proposed := f.proposedWithin(firstListDelay/2, scheduler.WitnessChange{})
	require.True(t, proposed)
	require.Len(t, first.Current, 6)

	f = newKeeperFixture()
	f.list = messenger.WitnessList{}
	f.candidates = all[:1]
	first, proposed = f.proposedWithin(time.Second, scheduler.WitnessChange{})
	require.True(t, proposed)
	require.Len(t, first.Current, 1)
	f.list = first
	f.candidates = all
	next, proposed := f.proposedWithin(2*time.Second, scheduler.WitnessChange{})
	require.True(t, proposed)
	require.Len(t, next.Current, 6)
}

// TestAListThatTheStoreHasLostIsWrittenAgain guards against entries that start without the
// witnesses that the others have.
func TestAListThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	f := newKeeperFixture()
	f.propose(f.list, 0, f.candidates, scheduler.WitnessChange{})
	f.clock.Advance(proposalSpread)
	next, proposed := f.propose(f.list, 0, f.candidates, scheduler.WitnessChange{})
	require.True(t, proposed)
	require.Equal(t, f.list, next)
}
