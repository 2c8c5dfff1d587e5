package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Guards against an entry that says that it is ready although it can lock no job.
func TestAnEntryThatHasNoQuorumOfWitnessesForLongSaysSo(t *testing.T) {
	f := newWitnessFixture()
	lost := false
	run := func(d time.Duration) bool {
		for range d / (100 * time.Millisecond) {
			f.pass(100 * time.Millisecond)
			for _, e := range f.TakeEffects() {
				if e, ok := e.(QuorumContactChanged); ok {
					lost = e.Lost
				}
			}
		}
		return lost
	}
	hear := func(agents []messenger.Witness) {
		for _, w := range agents {
			a := f.agents[w.Agent]
			a.recordContact(f.clock.Now(), f.clock.Now())
		}
	}
	f.ReadWitnesses(knownList)
	require.False(t, run(quorumLossTimeout))
	require.True(t, run(maxContactAge+100*time.Millisecond))
	hear(knownList.Current[:3])
	require.True(t, run(100*time.Millisecond), "half of them are no quorum")
	hear(knownList.Current[:4])
	require.False(t, run(100*time.Millisecond))
}
