package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// turnHarness is an executor with several entries, whose runs hold their capacity until
// freeOldest ends them.
type turnHarness struct {
	*harness
	names []string
	// reportedFree is the free capacity in the last report to each entry, in
	// millicores.
	reportedFree map[string]int
	// forecasts holds the forecast in the last report to each entry.
	forecasts  map[string][]messenger.Resources
	placedRuns int
	// endedRuns counts the runs that the worker has ended, and lastPollNumber is the
	// number of the last poll.
	endedRuns      int64
	lastPollNumber uint64
}

const (
	taskCPU   = 1000
	workerCPU = 8000
)

func newTurnHarness(t *testing.T, entries int) *turnHarness {
	h := &turnHarness{harness: newHarness(t), reportedFree: make(map[string]int), forecasts: make(map[string][]messenger.Resources), lastPollNumber: 1}
	h.x.HandleLinkClosed("e")
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		h.names = append(h.names, name)
		h.x.HandleHello(messenger.Hello{Entry: name, Incarnation: 1})
	}
	h.collectTurns()
	return h
}

// collectTurns collects what is reported to the entries.
func (h *turnHarness) collectTurns() {
	for _, e := range h.x.TakeEffects() {
		switch m := e.(type) {
		case executor.SendReport:
			h.reportedFree[m.Entry] = m.Report.Free.CPU
			h.forecasts[m.Entry] = m.Report.Forecast
			h.timestamp = m.Report.Timestamp
		case executor.Poll:
			h.lastPollNumber = m.Number
		case executor.Start:
			h.x.HandleStartResult(m.Run, m.Token, executor.Accepted)
		}
	}
}

// reportBacklog reports the backlog of an entry to the agent.
func (h *turnHarness) reportBacklog(name string, tasks int) {
	h.x.HandleHeartbeat(name, messenger.Heartbeat{Timestamp: 1, Backlog: backlogOf(tasks)})
	h.collectTurns()
}

// placeTask places one task of an entry at which others still wait.
func (h *turnHarness) placeTask(name string, waiting int) {
	h.placedRuns++
	r := taskRun(h.placedRuns)
	h.x.HandlePlace(name, messenger.Place{
		Number: uint64(h.placedRuns), Job: "j", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: h.timestamp,
		Tasks:   []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: taskCPU}, Estimate: time.Second}},
		Backlog: backlogOf(waiting),
	})
	h.collectTurns()
}

// backlogOf returns a backlog of equal tasks.
func backlogOf(tasks int) messenger.Backlog {
	return messenger.Backlog{Tasks: tasks, Total: messenger.Resources{CPU: tasks * taskCPU}, Min: messenger.Resources{CPU: taskCPU}}
}

func taskRun(i int) messenger.Run {
	return messenger.Run{Task: fmt.Sprintf("j%d.0.0.0", i), Number: 1}
}

// advance advances the clock and ticks.
func (h *turnHarness) advance(d time.Duration) {
	h.clock.Advance(d)
	h.x.Tick()
	h.collectTurns()
}

// entriesWithCapacity lists the entries to which capacity for a task is reported.
func (h *turnHarness) entriesWithCapacity() []string {
	var out []string
	for _, name := range h.names {
		if h.reportedFree[name] >= taskCPU {
			out = append(out, name)
		}
	}
	return out
}

func TestCapacityIsReportedToAllWhileOnlyOneEntryHasWaitingTasks(t *testing.T) {
	h := newTurnHarness(t, 3)
	h.reportBacklog("entry-1", 5)
	h.advance(50 * time.Millisecond)
	require.Equal(t, h.names, h.entriesWithCapacity())
}

func TestScarceCapacityIsReportedToOneEntryAtATime(t *testing.T) {
	h := newTurnHarness(t, 3)
	h.reportBacklog("entry-1", 15)
	h.reportBacklog("entry-2", 15)
	h.advance(time.Millisecond)
	first := h.entriesWithCapacity()
	require.Len(t, first, 1)
	require.NotContains(t, first, "entry-0", "it has no backlog")
	h.advance(10 * time.Millisecond)
	second := h.entriesWithCapacity()
	require.Len(t, second, 1)
	require.NotEqual(t, first, second, "an unused turn goes to the next entry")
}

// TestTurnLastsAsLongAsItsEntryTakesToAnswer guards against turns that end before an
// answer from another data centre can arrive, so that the same capacity is reported to
// two entries.
func TestTurnLastsAsLongAsItsEntryTakesToAnswer(t *testing.T) {
	const answerTime = 5 * time.Millisecond
	h := newTurnHarness(t, 2)
	inTime := 0
	for range 12 {
		h.reportBacklog("entry-0", 15)
		h.reportBacklog("entry-1", 15)
		h.advance(time.Millisecond)
		first := h.entriesWithCapacity()
		require.Len(t, first, 1)
		timestamp := h.timestamp
		h.advance(answerTime)
		if now := h.entriesWithCapacity(); len(now) == 1 && now[0] == first[0] {
			inTime++
		}
		h.timestamp = timestamp
		h.placeTask(first[0], 15)
		h.freeOldest()
		h.advance(20 * time.Millisecond)
	}
	require.GreaterOrEqual(t, inTime, 9, "turns in which the answer came in time")
}

func TestCapacityIsSharedInProportionToTheBacklogs(t *testing.T) {
	h := newTurnHarness(t, 3)
	used := make(map[string]int)
	for range 400 {
		for i, name := range h.names {
			h.reportBacklog(name, 10*(1+i))
		}
		h.advance(2 * time.Millisecond)
		for i, name := range h.names {
			if h.reportedFree[name] >= taskCPU {
				h.placeTask(name, 10*(1+i))
				used[name]++
				break
			}
		}
		h.freeOldest()
	}
	total := used["entry-0"] + used["entry-1"] + used["entry-2"]
	require.Greater(t, total, 100)
	for i, name := range h.names {
		require.InDelta(t, float64(1+i)/6, float64(used[name])/float64(total), 0.05, name)
	}
}

// freeOldest ends the oldest run once all capacity is used.
func (h *turnHarness) freeOldest() {
	if h.placedRuns-int(h.endedRuns) < workerCPU/taskCPU {
		return
	}
	h.endedRuns++
	result := executor.PollResult{Number: h.lastPollNumber, Born: 1, Ended: []executor.EndRecord{
		{Number: h.endedRuns, RunEnd: messenger.RunEnd{Run: taskRun(int(h.endedRuns)), Reason: messenger.RunDone}},
	}}
	for i := int(h.endedRuns) + 1; i <= h.placedRuns; i++ {
		result.Running = append(result.Running, messenger.Progress{Run: taskRun(i)})
	}
	h.x.HandlePollResult(result)
	h.collectTurns()
}

// TestUnusedTurnKeepsTheRequestForTheForecast guards against tasks that are deferred
// for a near worker and then go to a far one because their entry has left a turn
// unused.
func TestUnusedTurnKeepsTheRequestForTheForecast(t *testing.T) {
	h := newTurnHarness(t, 2)
	h.x.HandlePlace("entry-0", messenger.Place{
		Number: 1, Job: "j", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: h.timestamp,
		Tasks: []messenger.Task{{Run: taskRun(1), Demand: messenger.Resources{CPU: taskCPU}, Estimate: 200 * time.Millisecond}},
	})
	h.collectTurns()
	backlog := backlogOf(15)
	backlog.WantsForecast = true
	for _, name := range h.names {
		h.x.HandleHeartbeat(name, messenger.Heartbeat{Timestamp: 1, Backlog: backlog})
	}
	h.collectTurns()
	for at := time.Duration(0); at <= messenger.HeartbeatInterval; at += 5 * time.Millisecond {
		h.advance(5 * time.Millisecond)
	}
	for _, name := range h.names {
		require.NotEmpty(t, h.forecasts[name], name)
	}
}
