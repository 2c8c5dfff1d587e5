package receiver

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/registrar"
	"github.com/pomeloferry/pomeloferry/router"
)

// TestAllEntriesReplaced loses every entry at once while tasks run on an agent
// that the new entry cannot reach. The new entry knows nothing of that agent,
// and must not run again what may be running there.
func TestAllEntriesReplaced(t *testing.T) {
	w := newSimulation(t, 11, 3, 3, 4)
	c := w.submit("job", 0, 12, 3000, 50*time.Second)
	w.run(time.Second)
	require.Len(t, w.starts, 12)
	for _, e := range w.entries[:3] {
		w.kill(e.proc)
	}
	fresh := w.addEntry("entry-4")
	w.disconnect(fresh.proc, w.agents[0].proc, time.Minute)
	w.run(5 * time.Second)
	c.entry = 3
	c.resubmit()
	w.run(55 * time.Second)
	w.check()
	require.Equal(t, courier.Failed, c.last().State, "%+v", c.last())
}

// TestAgentKnownToOneEntry adds an agent that only one entry can reach. That
// entry must not use it, since a successor would not know whom to ask.
func TestAgentKnownToOneEntry(t *testing.T) {
	w := newSimulation(t, 12, 3, 3, 1)
	lonely := w.addAgent("agent-4", 0, "wien", 8)
	for _, e := range w.entries[1:] {
		w.disconnect(lonely.proc, e.proc, time.Hour)
	}
	w.run(3 * time.Second)
	for i := range 12 {
		w.submit(fmt.Sprintf("job-%d", i), 0, 4, 1000, 50*time.Second)
	}
	w.run(1500 * time.Millisecond)
	w.kill(w.entries[0].proc)
	w.run(55 * time.Second)
	w.check()
	for _, s := range w.startLog {
		require.NotEqual(t, lonely, s.agent, "%v was started where a successor cannot ask", s.task)
	}
}

// newSimulationWithUnsharedAgent returns two entries, of which the second never reaches the last of two agents.
func newSimulationWithUnsharedAgent(t *testing.T, seed uint64) (*simulation, *simAgent) {
	w := newSimulation(t, seed, 2, 1, 2)
	lonely := w.addAgent("agent-2", 0, "graz", 8)
	w.disconnect(lonely.proc, w.entries[1].proc, time.Hour)
	w.run(3 * time.Second)
	return w, lonely
}

// TestAgentUnknownToAnEntryThatFellSilentIsNotUsed cuts two entries off from each other while an agent is in reach of one.
func TestAgentUnknownToAnEntryThatFellSilentIsNotUsed(t *testing.T) {
	w, lonely := newSimulationWithUnsharedAgent(t, 21)
	w.disconnect(w.entries[0].proc, w.entries[1].proc, time.Hour)
	w.run(30 * time.Second)
	c := w.submit("job", 0, 8, 3000, 50*time.Second)
	w.run(time.Second)
	c.resubmit()
	w.run(55 * time.Second)
	w.check()
	require.Empty(t, w.startsOn(lonely))
}

// TestResumedEntryDoesNotTakeASilentEntryForEnded cuts a paused entry off from the other while an agent is in reach of it alone.
func TestResumedEntryDoesNotTakeASilentEntryForEnded(t *testing.T) {
	w, lonely := newSimulationWithUnsharedAgent(t, 26)
	w.pause(w.entries[0].proc, 8*time.Second)
	w.disconnect(w.entries[0].proc, w.entries[1].proc, time.Hour)
	w.run(30 * time.Second)
	for i := range 8 {
		c := w.submit(fmt.Sprintf("job-%d", i), 0, 8, 3000, 50*time.Second)
		w.run(500 * time.Millisecond)
		c.resubmit()
	}
	w.run(55 * time.Second)
	w.check()
	require.Empty(t, w.startsOn(lonely))
}

// TestAgentThatRestartsInReachOfASupersededEntryRunsNothingForIt lets a job wait at an entry that is cut off as the other takes it over.
func TestAgentThatRestartsInReachOfASupersededEntryRunsNothingForIt(t *testing.T) {
	w := newSimulation(t, 27, 2, 2, 2)
	cutOff, successor := w.entries[0], w.entries[1]
	far, near := w.agents[0], w.agents[1]
	key := ownedBy("entry-1")
	w.submit("busy", 1, 4, 4000, 50*time.Second)
	w.run(100 * time.Millisecond)
	c := w.submit(key, 0, 2, 20_000, 50*time.Second)
	w.run(100 * time.Millisecond)
	require.Len(t, w.starts, 4)
	for _, p := range []*process{successor.proc, near.proc} {
		w.disconnect(cutOff.proc, p, time.Hour)
	}
	w.disconnect(cutOff.proc, far.proc, 5*time.Second)
	w.run(3 * time.Second)
	c.resubmit()
	w.run(2 * time.Second)
	w.disconnect(far.proc, successor.proc, time.Hour)
	far.restart(1)
	w.run(45 * time.Second)
	require.NotZero(t, w.startsOf("team/"+key))
	w.check()
}

// TestUpstreamThatStaysAfterAllKeepsItsAgentInTheRoster cuts an entry off while an upstream is leaving that then stays.
func TestUpstreamThatStaysAfterAllKeepsItsAgentInTheRoster(t *testing.T) {
	w := newSimulation(t, 28, 2, 2, 4)
	far := w.agents[0]
	far.announceLeaving()
	w.run(time.Second)
	w.disconnect(w.entries[1].proc, far.proc, time.Hour)
	w.disconnect(w.entries[1].proc, w.entries[0].proc, time.Hour)
	w.run(3 * time.Second)
	far.announceStaying()
	w.run(2 * dispatcher.RecordRetention)
	for i := range 8 {
		c := w.submit(fmt.Sprintf("job-%d", i), 0, 8, 3000, 50*time.Second)
		w.run(500 * time.Millisecond)
		c.resubmit()
	}
	w.run(55 * time.Second)
	w.check()
}

// TestAgentThatJoinsAfterAnEntryDiedIsUsed waits until the dead entry is taken for silent in the store too.
func TestAgentThatJoinsAfterAnEntryDiedIsUsed(t *testing.T) {
	w := newSimulation(t, 24, 2, 1, 2)
	w.kill(w.entries[1].proc)
	late := w.addAgent("agent-2", 0, "graz", 8)
	w.run(registrationTTL + registrar.MayRunTimeout + 2*registerInterval)
	w.submit("job", 0, 8, 300, 50*time.Second)
	w.run(5 * time.Second)
	w.check()
	require.NotEmpty(t, w.startsOn(late))
}

// TestEntryThatStartsAfterALongOutageAsksTheOthersForTheRoster starts where the others could not write to the store.
func TestEntryThatStartsAfterALongOutageAsksTheOthersForTheRoster(t *testing.T) {
	w := newSimulation(t, 25, 3, 2, 4)
	w.store.down = true
	w.run(2 * dispatcher.RecordRetention)
	c := w.submit("job", 0, 8, 20_000, 50*time.Second)
	w.run(time.Second)
	require.Len(t, w.starts, 8)
	w.store.down = false
	fresh := w.addEntry("entry-4")
	w.disconnect(fresh.proc, w.agents[1].proc, time.Hour)
	for _, e := range w.entries[:3] {
		w.store.unreachableFrom[e.proc.name] = true
		w.disconnect(fresh.proc, e.proc, time.Hour)
	}
	w.run(5 * time.Second)
	c.entry = 2
	c.resubmit()
	w.run(55 * time.Second)
	w.check()
}

// TestPausedEntryForgetsItsRoster pauses an entry while an agent joins, and
// kills the owner that used the agent before the paused entry wakes. What the
// owner said before the agent joined may wait in a buffer meanwhile.
func TestPausedEntryForgetsItsRoster(t *testing.T) {
	for _, heard := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprintf("heard for %v", heard), func(t *testing.T) {
			w := newSimulation(t, 13, 2, 1, 1)
			sleeper, owner := w.entries[0], w.entries[1]
			mayRun := registrationTTL + registrar.MayRunTimeout + 2*registerInterval
			w.pause(sleeper.proc, mayRun+10*time.Second)
			w.run(heard)
			w.disconnect(sleeper.proc, owner.proc, time.Hour)
			w.run(mayRun + 4*time.Second)
			late := w.addAgent("agent-2", 0, "graz", 8)
			w.disconnect(sleeper.proc, late.proc, time.Hour)
			w.run(2 * time.Second)
			c := w.submit("job", 1, 6, 6000, 50*time.Second)
			w.run(time.Second)
			require.NotEmpty(t, w.startsOn(late), "the owner did not use the new agent")
			w.kill(owner.proc)
			w.run(55 * time.Second)
			w.check()
			require.NotEqual(t, courier.NotRun, c.last().State)
		})
	}
}

// TestOwnerAndAgentDieTogether loses the owner of a relayed job together with
// the only agent that has a record of it. The entry that relayed it sends it to
// the next owner, which must not take that copy for the first one.
func TestOwnerAndAgentDieTogether(t *testing.T) {
	w := newSimulation(t, 14, 3, 3, 4)
	key := ownedBy("entry-2")
	c := w.submit(key, 0, 1, 3000, 50*time.Second)
	w.run(time.Second)
	require.Len(t, w.startLog, 1)
	w.kill(w.startLog[0].agent.proc)
	w.kill(w.entries[1].proc)
	w.run(55 * time.Second)
	w.check()
	require.Equal(t, courier.Failed, c.last().State, "%+v", c.last())
}

// ownedBy returns a key that falls to one of three entries.
func ownedBy(entry string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%d", i)
		p := router.PartitionOf("team/" + key)
		if router.Owner(p, []string{"entry-1", "entry-2", "entry-3"}) == entry {
			return key
		}
	}
}

// startsOn returns the starts on an agent.
func (w *simulation) startsOn(a *simAgent) []startEvent {
	var out []startEvent
	for _, s := range w.startLog {
		if s.agent == a {
			out = append(out, s)
		}
	}
	return out
}

// TestAgentLostHereButUsedByAnotherOwnerStaysInTheRoster cuts one entry off from an agent for longer than a silent agent matters.
func TestAgentLostHereButUsedByAnotherOwnerStaysInTheRoster(t *testing.T) {
	w := newSimulation(t, 22, 2, 2, 4)
	owner, far := w.entries[1], w.agents[0]
	w.disconnect(w.entries[0].proc, far.proc, 2*time.Hour)
	w.run(dispatcher.UnreachableAgentRetention + dispatcher.AgentTimeout)
	c := w.submit("job", 1, 8, 6000, 50*time.Second)
	w.run(time.Second)
	require.NotEmpty(t, w.startsOn(far))
	w.kill(owner.proc)
	w.run(55 * time.Second)
	w.check()
	require.Equal(t, courier.Failed, c.last().State, "%+v", c.last())
}

// TestLostAgentIsForgottenByAllEntriesInTheEnd loses an agent at one entry a little later than at the other.
func TestLostAgentIsForgottenByAllEntriesInTheEnd(t *testing.T) {
	w := newSimulation(t, 23, 2, 2, 4)
	w.disconnect(w.entries[0].proc, w.agents[0].proc, 2*time.Hour)
	w.run(300 * time.Millisecond)
	w.kill(w.agents[0].proc)
	w.run(dispatcher.UnreachableAgentRetention + time.Minute)
	for _, e := range w.entries {
		roster, _ := e.core.dispatcher.Roster()
		require.Len(t, roster, 1, "%s", e.proc.name)
	}
}
