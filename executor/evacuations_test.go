package executor_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

const evacuationTimeout = 5 * time.Second

// evacuationHarness is a harness whose agent has an entry "e" and a store, which evacuates
// the agent's data centre or does not.
type evacuationHarness struct {
	*harness
	// toldAt is when the entry last knew the directives for certain, and told what it tells.
	toldAt time.Time
	told   messenger.Evacuations
	// storeDown makes reads of the store fail.
	storeDown bool
	stored    messenger.Evacuations
	reads     int
}

// newEvacuationHarness returns an agent that has read the store, as its entry has.
func newEvacuationHarness(t *testing.T) *evacuationHarness {
	h := &evacuationHarness{harness: newHarness(t)}
	h.stored = messenger.Evacuations{Revision: 10}
	h.told = h.stored
	h.toldAt = h.clock.Now()
	h.x.HandleStoreCall(true)
	h.read()
	return h
}

// read answers a read of the store.
func (h *evacuationHarness) read() {
	if h.storeDown {
		h.x.HandleEvacuationsUnread()
		return
	}
	h.x.HandleEvacuationsRead(evacuator.NewView(h.stored.Revision, h.stored.DataCentres, h.clock.Now()))
}

// takeReads takes the effects, counts the reads among them and keeps the reports to "e".
func (h *evacuationHarness) takeReads() int {
	reads := 0
	for _, e := range h.x.TakeEffects() {
		switch e := e.(type) {
		case executor.ReadEvacuations:
			reads++
		case executor.SendReport:
			if e.Entry == "e" {
				h.reports = append(h.reports, e.Report)
				h.timestamp = e.Report.Timestamp
			}
		}
	}
	return reads
}

// advance lets time pass, in which the entry sends heartbeats and reads are answered.
func (h *evacuationHarness) advance(d time.Duration) {
	const step = 20 * time.Millisecond
	for i := range int(d / step) {
		h.clock.Advance(step)
		if i%6 == 0 {
			told := h.told
			told.Age = h.clock.Since(h.toldAt) + 1
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: told})
		}
		h.x.Tick()
		if n := h.takeReads(); n > 0 {
			h.reads += n
			h.read()
			h.takeReads()
		}
	}
}

// startsRun reports whether a new run is started, and withdraws it.
func (h *evacuationHarness) startsRun(number int) bool {
	h.place(messenger.Run{Task: "j.0.0.0", Number: number}, 100)
	started := len(h.starts) > 0
	for _, s := range h.starts {
		h.x.HandleStartResult(s.Run, s.Token, executor.Rejected)
	}
	h.collect()
	return started
}

// TestAgentLearnsOfAnEvacuationThatItsEntriesDoNotKnow guards against tasks that start in an
// evacuated data centre for as long as all entries are cut off from the store.
func TestAgentLearnsOfAnEvacuationThatItsEntriesDoNotKnow(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 4 * time.Second, 30 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			h := newEvacuationHarness(t)
			h.advance(after)
			h.stored = messenger.Evacuations{Revision: 11, DataCentres: []string{"dc"}}
			h.advance(evacuationTimeout)
			require.False(t, h.startsRun(1), "the evacuation is that old")
			h.stored = messenger.Evacuations{Revision: 12}
			h.advance(evacuationTimeout)
			require.True(t, h.startsRun(2), "the data centre was taken back that long ago")
		})
	}
}

// TestAgentLearnsOfAnEvacuationInTimeThoughAReadFails guards against a read that is repeated
// too late.
func TestAgentLearnsOfAnEvacuationInTimeThoughAReadFails(t *testing.T) {
	const callTimeout = 800 * time.Millisecond
	h := newEvacuationHarness(t)
	h.stored = messenger.Evacuations{Revision: 11, DataCentres: []string{"dc"}}
	h.storeDown = true
	evacuatedAt := h.clock.Now()
	for h.reads == 0 {
		h.advance(20 * time.Millisecond)
	}
	h.storeDown = false
	for h.reads == 1 {
		h.advance(20 * time.Millisecond)
	}
	require.Less(t, h.clock.Since(evacuatedAt)+callTimeout, evacuationTimeout)
	require.False(t, h.startsRun(1))
}

// TestAgentReadsNothingWhileAnEntryConfirmsTheEvacuations guards against calls to the store in
// calm, by each of thousands of agents.
func TestAgentReadsNothingWhileAnEntryConfirmsTheEvacuations(t *testing.T) {
	h := newEvacuationHarness(t)
	for range 20 {
		// What an entry tells is as old as its last watch but one.
		h.toldAt = h.clock.Now().Add(-1200 * time.Millisecond)
		h.advance(600 * time.Millisecond)
	}
	require.Zero(t, h.reads)
}

// TestAgentReadsNothingWhileTheStoreDoesNotAnswer guards against calls that an outage of the
// store, or its end, costs for each agent: their entries regain the store too.
func TestAgentReadsNothingWhileTheStoreDoesNotAnswer(t *testing.T) {
	h := newEvacuationHarness(t)
	h.x.HandleStoreCall(false)
	h.advance(30 * time.Second)
	require.Zero(t, h.reads, "during the outage")
	require.True(t, h.startsRun(1), "jobs are served by what is known")
	h.x.HandleStoreCall(true)
	h.advance(500 * time.Millisecond)
	h.toldAt = h.clock.Now()
	h.advance(time.Second)
	require.Zero(t, h.reads, "after the outage")
}

// TestHeldUpHeartbeatConfirmsNothing guards against an old word that counts as new because it
// was read late.
func TestHeldUpHeartbeatConfirmsNothing(t *testing.T) {
	h := newEvacuationHarness(t)
	h.advance(200 * time.Millisecond)
	held := messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: messenger.Evacuations{Revision: 10, Age: 1}}
	before := h.x.EvacuationsAge()
	h.clock.Advance(3 * time.Second)
	h.x.HandleHeartbeat("e", held)
	require.GreaterOrEqual(t, h.x.EvacuationsAge(), 3*time.Second)
	require.LessOrEqual(t, h.x.EvacuationsAge(), before+3*time.Second)
}

// TestEntryIsToldOfEvacuationsThatItDoesNotKnow guards against an entry that goes on offering
// tasks to agents which refuse them, or leaves workers unused that may be used again.
func TestEntryIsToldOfEvacuationsThatItDoesNotKnow(t *testing.T) {
	h := newEvacuationHarness(t)
	h.advance(200 * time.Millisecond)
	h.x.HandleHello(messenger.Hello{Entry: "other", Incarnation: 1})
	h.x.HandleHeartbeat("other", messenger.Heartbeat{Timestamp: 1, Evacuations: messenger.Evacuations{Revision: 11, DataCentres: []string{"dc"}}})
	h.collect()
	require.False(t, h.startsRun(1))
	h.reports = nil
	h.x.HandlePlace("e", messenger.Place{Number: 2, Job: "j", Service: "quotes", Echo: h.timestamp, Tasks: []messenger.Task{{Run: run1}}})
	h.takeReads()
	last := h.reports[len(h.reports)-1]
	require.Equal(t, messenger.RefusedEvacuated, last.Refused[0].Reason)
	require.Equal(t, &messenger.Evacuations{Revision: 11, DataCentres: []string{"dc"}, Age: last.Evacuations.Age}, last.Evacuations)

	h.told = messenger.Evacuations{Revision: 11, DataCentres: []string{"dc"}}
	h.toldAt = h.clock.Now()
	h.reports = nil
	h.advance(time.Second)
	for _, r := range h.reports {
		require.Nil(t, r.Evacuations, "the entry knows them now")
	}
	h.advance(4 * time.Second)
	require.Positive(t, h.reads)
	last = h.reports[len(h.reports)-1]
	require.NotNil(t, last.Evacuations, "the entry has had none confirmed for long")
}

// TestRestartedAgentStartsNothingBeforeItKnowsOfTheEvacuations guards against an agent that has
// just started and takes the word of an entry that is cut off from the store.
func TestRestartedAgentStartsNothingBeforeItKnowsOfTheEvacuations(t *testing.T) {
	tests := []struct {
		name   string
		learn  func(h *evacuationHarness)
		starts bool
	}{
		{"nothing known", func(*evacuationHarness) {}, false},
		{"an entry that has known nothing newer for long", func(h *evacuationHarness) {
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: messenger.Evacuations{Revision: 10, Age: time.Minute}})
		}, false},
		{"an entry that knows", func(h *evacuationHarness) {
			h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp, Evacuations: messenger.Evacuations{Revision: 10, Age: 1}})
		}, true},
		{"the store", func(h *evacuationHarness) { h.read() }, true},
		{"the store, which has it evacuated", func(h *evacuationHarness) {
			h.stored = messenger.Evacuations{Revision: 11, DataCentres: []string{"dc"}}
			h.read()
		}, false},
		{"the store does not answer", func(h *evacuationHarness) { h.x.HandleEvacuationsUnread() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &evacuationHarness{harness: &harness{t: t, clock: clockwork.NewFakeClock()}, stored: messenger.Evacuations{Revision: 10}}
			h.x = executor.NewExecutor(h.clock, executor.Identity{Agent: "a", DataCentre: "dc", Incarnation: 2, Token: 100}, executor.Config{})
			h.x.HandleHello(messenger.Hello{Entry: "e", Incarnation: 1})
			h.x.SetUpstream(upstream(1))
			h.clock.Advance(time.Millisecond)
			h.x.Tick()
			h.collect()
			h.clock.Advance(time.Millisecond)
			tt.learn(h)
			h.collect()
			require.Equal(t, tt.starts, h.startsRun(1))
		})
	}
}

// TestAStartIsNotRepeatedOnceNoRunIsAdmitted guards against a start that had no effect and is
// sent again when the data centre is evacuated or the worker has drained for too long.
func TestAStartIsNotRepeatedOnceNoRunIsAdmitted(t *testing.T) {
	drain := func(h *harness) {
		draining := upstream(1)
		draining.Draining, draining.Remaining = true, time.Minute
		h.x.SetUpstream(draining)
		h.collect()
		h.waitInTouch(1400 * time.Millisecond)
	}
	for _, tt := range []struct {
		name           string
		before, during func(h *harness)
		reason         messenger.RefusalReason
	}{
		{"the data centre is evacuated", func(*harness) {}, func(h *harness) {
			h.x.HandleEvacuationsRead(evacuator.NewView(11, []string{"dc"}, h.clock.Now()))
			h.collect()
		}, messenger.RefusedEvacuated},
		{"the worker has drained for too long", drain, func(h *harness) { h.waitInTouch(500 * time.Millisecond) }, messenger.RefusedLeaving},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			tt.before(h)
			h.place(run1, 1000)
			require.Len(t, h.starts, 1)
			h.x.HandleStartResult(run1, h.starts[0].Token, executor.Unanswered)
			h.collect()
			poll := h.lastPoll
			tt.during(h)
			h.answerPoll(poll, nil)
			require.Empty(t, h.starts)
			require.Equal(t, []messenger.Refusal{{Run: run1, Reason: tt.reason}}, h.refused())
		})
	}
}

// waitInTouch lets time pass in which the entry sends heartbeats.
func (h *harness) waitInTouch(d time.Duration) {
	const step = 100 * time.Millisecond
	for range int(d / step) {
		h.clock.Advance(step)
		h.x.HandleHeartbeat("e", messenger.Heartbeat{Timestamp: 1, Echo: h.timestamp})
		h.x.Tick()
		h.collect()
	}
}
