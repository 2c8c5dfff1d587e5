package receiver

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
	"github.com/pomeloferry/pomeloferry/router"
	"github.com/pomeloferry/pomeloferry/tracker"
)

// TestAllEntriesReplaced kills all entries at once while tasks run on an agent that the
// new entry cannot reach. The new entry does not know of that agent, and must not start
// again the tasks that may be running there.
func TestAllEntriesReplaced(t *testing.T) {
	sim := newSimulation(t, 11, 3, 3, 4)
	c := sim.submit("job", 0, 12, 3000, 50*time.Second)
	sim.run(time.Second)
	require.Len(t, sim.starts, 12)
	for _, e := range sim.entries[:3] {
		sim.kill(e.proc)
	}
	replacement := sim.addEntry("entry-4")
	sim.disconnect(replacement.proc, sim.agents[0].proc, time.Minute)
	sim.run(5 * time.Second)
	c.entry = 3
	c.resubmit()
	sim.run(55 * time.Second)
	sim.check()
	require.Equal(t, courier.Failed, c.last().State, "%+v", c.last())
}

// TestAgentKnownToOneEntry adds an agent that only one entry can reach. That entry must
// not use it, since a successor would not know that it has to query this agent.
func TestAgentKnownToOneEntry(t *testing.T) {
	sim := newSimulation(t, 12, 3, 3, 1)
	unshared := sim.addAgent("agent-4", 0, "wien", 8)
	for _, e := range sim.entries[1:] {
		sim.disconnect(unshared.proc, e.proc, time.Hour)
	}
	sim.run(3 * time.Second)
	for i := range 12 {
		sim.submit(fmt.Sprintf("job-%d", i), 0, 4, 1000, 50*time.Second)
	}
	sim.run(1500 * time.Millisecond)
	sim.kill(sim.entries[0].proc)
	sim.run(55 * time.Second)
	sim.check()
	for _, s := range sim.startLog {
		require.NotEqual(t, unshared, s.agent, "%v was started on an agent that a successor cannot query", s.task)
	}
}

// newSimulationWithUnsharedAgent returns a simulation with two entries, of which the
// second never reaches the last of two agents, and that agent.
func newSimulationWithUnsharedAgent(t *testing.T, seed uint64) (*simulation, *simAgent) {
	sim := newSimulation(t, seed, 2, 1, 2)
	unshared := sim.addAgent("agent-2", 0, "graz", 8)
	sim.disconnect(unshared.proc, sim.entries[1].proc, time.Hour)
	sim.run(3 * time.Second)
	return sim, unshared
}

// TestAgentUnknownToAnEntryThatFellSilentIsNotUsed disconnects two entries from each other
// while only one of them reaches an agent. That entry must not use the agent, since the
// other may still be running and does not know it.
func TestAgentUnknownToAnEntryThatFellSilentIsNotUsed(t *testing.T) {
	sim, unshared := newSimulationWithUnsharedAgent(t, 21)
	sim.disconnect(sim.entries[0].proc, sim.entries[1].proc, time.Hour)
	sim.run(30 * time.Second)
	c := sim.submit("job", 0, 8, 3000, 50*time.Second)
	sim.run(time.Second)
	c.resubmit()
	sim.run(55 * time.Second)
	sim.check()
	require.Empty(t, sim.startsOn(unshared))
}

// TestResumedEntryDoesNotTakeASilentEntryForEnded disconnects a paused entry from the other
// one while only the paused entry reaches an agent. After the pause it must not conclude
// from the missing heartbeats that the other has ended, and must not use the agent.
func TestResumedEntryDoesNotTakeASilentEntryForEnded(t *testing.T) {
	sim, unshared := newSimulationWithUnsharedAgent(t, 26)
	sim.pause(sim.entries[0].proc, 8*time.Second)
	sim.disconnect(sim.entries[0].proc, sim.entries[1].proc, time.Hour)
	sim.run(30 * time.Second)
	for i := range 8 {
		c := sim.submit(fmt.Sprintf("job-%d", i), 0, 8, 3000, 50*time.Second)
		sim.run(500 * time.Millisecond)
		c.resubmit()
	}
	sim.run(55 * time.Second)
	sim.check()
	require.Empty(t, sim.startsOn(unshared))
}

// TestAgentThatRestartsInReachOfASupersededEntryRunsNothingForIt lets a job wait at an
// entry that is disconnected while the other entry takes the job over. An agent that then
// restarts and reaches only the superseded entry must not start the job's tasks again.
func TestAgentThatRestartsInReachOfASupersededEntryRunsNothingForIt(t *testing.T) {
	sim := newSimulation(t, 27, 2, 2, 2)
	cutOff, successor := sim.entries[0], sim.entries[1]
	far, near := sim.agents[0], sim.agents[1]
	key := ownedBy("entry-1")
	sim.submit("busy", 1, 4, 4000, 50*time.Second)
	sim.run(100 * time.Millisecond)
	c := sim.submit(key, 0, 2, 20_000, 50*time.Second)
	sim.run(100 * time.Millisecond)
	require.Len(t, sim.starts, 4)
	for _, p := range []*process{successor.proc, near.proc} {
		sim.disconnect(cutOff.proc, p, time.Hour)
	}
	sim.disconnect(cutOff.proc, far.proc, 5*time.Second)
	sim.run(3 * time.Second)
	c.resubmit()
	sim.run(2 * time.Second)
	sim.disconnect(far.proc, successor.proc, time.Hour)
	far.restart(1)
	sim.run(45 * time.Second)
	require.NotZero(t, sim.startsOf("team/"+key))
	sim.check()
}

// TestUpstreamThatStaysAfterAllKeepsItsAgentInTheRoster disconnects an entry while an
// upstream announces that it leaves; the upstream then stays and runs tasks again. Its
// agent must stay in the roster, or the entries start the same task twice.
func TestUpstreamThatStaysAfterAllKeepsItsAgentInTheRoster(t *testing.T) {
	sim := newSimulation(t, 28, 2, 2, 4)
	far := sim.agents[0]
	far.announceLeaving()
	sim.run(time.Second)
	sim.disconnect(sim.entries[1].proc, far.proc, time.Hour)
	sim.disconnect(sim.entries[1].proc, sim.entries[0].proc, time.Hour)
	sim.run(3 * time.Second)
	far.announceStaying()
	sim.run(2 * dispatcher.RecordRetention)
	for i := range 8 {
		c := sim.submit(fmt.Sprintf("job-%d", i), 0, 8, 3000, 50*time.Second)
		sim.run(500 * time.Millisecond)
		c.resubmit()
	}
	sim.run(55 * time.Second)
	sim.check()
}

// TestAgentThatJoinsAfterAnEntryDiedIsUsed checks that an agent that joins after an entry
// has died is used once the registration of the dead entry in the store has expired too.
func TestAgentThatJoinsAfterAnEntryDiedIsUsed(t *testing.T) {
	sim := newSimulation(t, 24, 2, 1, 2)
	sim.kill(sim.entries[1].proc)
	late := sim.addAgent("agent-2", 0, "graz", 8)
	sim.run(registrationTTL + tracker.MayRunTimeout + 2*registerInterval)
	sim.submit("job", 0, 8, 300, 50*time.Second)
	sim.run(5 * time.Second)
	sim.check()
	require.NotEmpty(t, sim.startsOn(late))
}

// TestEntryThatStartsAfterALongOutageAsksTheOthersForTheRoster starts an entry when the
// others have not been able to write to the store for longer than RecordRetention. The new
// entry must not conclude that no entry has run recently, and needs their roster.
func TestEntryThatStartsAfterALongOutageAsksTheOthersForTheRoster(t *testing.T) {
	sim := newSimulation(t, 25, 3, 2, 4)
	sim.store.down = true
	sim.run(2 * dispatcher.RecordRetention)
	c := sim.submit("job", 0, 8, 20_000, 50*time.Second)
	sim.run(time.Second)
	require.Len(t, sim.starts, 8)
	sim.store.down = false
	started := sim.addEntry("entry-4")
	sim.disconnect(started.proc, sim.agents[1].proc, time.Hour)
	for _, e := range sim.entries[:3] {
		sim.store.unreachableFrom[e.proc.name] = true
		sim.disconnect(started.proc, e.proc, time.Hour)
	}
	sim.run(5 * time.Second)
	c.entry = 2
	c.resubmit()
	sim.run(55 * time.Second)
	sim.check()
}

// TestPausedEntryForgetsItsRoster pauses an entry while an agent joins, and kills the owner
// that used the agent before the paused entry resumes. Heartbeats that the owner sent
// before the agent joined may wait in a buffer in the meantime.
func TestPausedEntryForgetsItsRoster(t *testing.T) {
	for _, connected := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprintf("connected for %v", connected), func(t *testing.T) {
			sim := newSimulation(t, 13, 2, 1, 1)
			paused, owner := sim.entries[0], sim.entries[1]
			mayRun := registrationTTL + tracker.MayRunTimeout + 2*registerInterval
			sim.pause(paused.proc, mayRun+10*time.Second)
			sim.run(connected)
			sim.disconnect(paused.proc, owner.proc, time.Hour)
			sim.run(mayRun + 4*time.Second)
			late := sim.addAgent("agent-2", 0, "graz", 8)
			sim.disconnect(paused.proc, late.proc, time.Hour)
			sim.run(2 * time.Second)
			c := sim.submit("job", 1, 6, 6000, 50*time.Second)
			sim.run(time.Second)
			require.NotEmpty(t, sim.startsOn(late), "the owner did not use the new agent")
			sim.kill(owner.proc)
			sim.run(55 * time.Second)
			sim.check()
			require.NotEqual(t, courier.NotRun, c.last().State)
		})
	}
}

// TestOwnerAndAgentDieTogether kills the owner of a relayed job together with the only
// agent that has a record of it. The entry that relayed the job sends it to the next
// owner, which must not treat that copy as the first one.
func TestOwnerAndAgentDieTogether(t *testing.T) {
	sim := newSimulation(t, 14, 3, 3, 4)
	key := ownedBy("entry-2")
	c := sim.submit(key, 0, 1, 3000, 50*time.Second)
	sim.run(time.Second)
	require.Len(t, sim.startLog, 1)
	sim.kill(sim.startLog[0].agent.proc)
	sim.kill(sim.entries[1].proc)
	sim.run(55 * time.Second)
	sim.check()
	require.Equal(t, courier.Failed, c.last().State, "%+v", c.last())
}

// ownedBy returns a key whose partition a given one of three entries owns.
func ownedBy(entry string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%d", i)
		p := router.PartitionOf("team/" + key)
		if router.Owner(p, []string{"entry-1", "entry-2", "entry-3"}) == entry {
			return key
		}
	}
}

// startsOn returns the starts of tasks on an agent.
func (sim *simulation) startsOn(a *simAgent) []startEvent {
	var out []startEvent
	for _, s := range sim.startLog {
		if s.agent == a {
			out = append(out, s)
		}
	}
	return out
}

// TestAgentLostHereButUsedByAnotherOwnerStaysInTheRoster disconnects one entry from an
// agent for longer than UnreachableAgentRetention while another owner uses the agent. When
// that owner dies, the first entry must not start again the tasks on the agent.
func TestAgentLostHereButUsedByAnotherOwnerStaysInTheRoster(t *testing.T) {
	sim := newSimulation(t, 22, 2, 2, 4)
	owner, far := sim.entries[1], sim.agents[0]
	sim.disconnect(sim.entries[0].proc, far.proc, 2*time.Hour)
	sim.run(dispatcher.UnreachableAgentRetention + dispatcher.AgentTimeout)
	c := sim.submit("job", 1, 8, 6000, 50*time.Second)
	sim.run(time.Second)
	require.NotEmpty(t, sim.startsOn(far))
	sim.kill(owner.proc)
	sim.run(55 * time.Second)
	sim.check()
	require.Equal(t, courier.Failed, c.last().State, "%+v", c.last())
}

// TestLostAgentIsForgottenByAllEntriesInTheEnd checks that an agent that two entries lose
// at slightly different times is removed from the rosters of both.
func TestLostAgentIsForgottenByAllEntriesInTheEnd(t *testing.T) {
	sim := newSimulation(t, 23, 2, 2, 4)
	sim.disconnect(sim.entries[0].proc, sim.agents[0].proc, 2*time.Hour)
	sim.run(300 * time.Millisecond)
	sim.kill(sim.agents[0].proc)
	sim.run(dispatcher.UnreachableAgentRetention + time.Minute)
	for _, e := range sim.entries {
		roster, _ := e.actor.dispatcher.Roster()
		require.Len(t, roster, 1, "%s", e.proc.name)
	}
}
