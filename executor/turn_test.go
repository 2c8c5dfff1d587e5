package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
)

// turnHarness is an executor with several entries, whose room is full until leave.
type turnHarness struct {
	*harness
	names []string
	// reportedFree is the room that each entry was last told of, in thousandths of a
	// core.
	reportedFree map[string]int
	// forecasts is the forecast in the last report to each entry.
	forecasts map[string][]messenger.Resources
	runs      int
	// ended counts the runs that the worker has ended, and look is the number of
	// its last look.
	ended          int64
	lastPollNumber uint64
}

const (
	taskCPU   = 1000
	workerCPU = 8000
)

func newTurnHarness(t *testing.T, entries int) *turnHarness {
	c := &turnHarness{harness: newHarness(t), reportedFree: make(map[string]int), forecasts: make(map[string][]messenger.Resources), lastPollNumber: 1}
	c.x.HandleLinkClosed("e")
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		c.names = append(c.names, name)
		c.x.HandleHello(messenger.Hello{Entry: name, Incarnation: 1})
	}
	c.collectTurns()
	return c
}

// collectTurns notes what the entries are told.
func (c *turnHarness) collectTurns() {
	for _, e := range c.x.TakeEffects() {
		switch m := e.(type) {
		case executor.SendReport:
			c.reportedFree[m.Entry] = m.Report.Free.CPU
			c.forecasts[m.Entry] = m.Report.Forecast
			c.stamp = m.Report.Timestamp
		case executor.Poll:
			c.lastPollNumber = m.Number
		case executor.Start:
			c.x.HandleStartResult(m.Run, m.Token, executor.Accepted)
		}
	}
}

// want tells the agent what waits at an entry.
func (c *turnHarness) want(name string, tasks int) {
	c.x.HandleHeartbeat(name, messenger.Heartbeat{Timestamp: 1, Backlog: backlogOf(tasks)})
	c.collectTurns()
}

// placeTask places one task of an entry with some still waiting.
func (c *turnHarness) placeTask(name string, waiting int) {
	c.runs++
	r := taskRun(c.runs)
	c.x.HandlePlace(name, messenger.Place{
		Number: uint64(c.runs), Job: "j", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: c.stamp,
		Tasks:   []messenger.Task{{Run: r, Demand: messenger.Resources{CPU: taskCPU}, Estimate: time.Second}},
		Backlog: backlogOf(waiting),
	})
	c.collectTurns()
}

// backlogOf returns what tells of tasks that wait.
func backlogOf(tasks int) messenger.Backlog {
	return messenger.Backlog{Tasks: tasks, Total: messenger.Resources{CPU: tasks * taskCPU}, Min: messenger.Resources{CPU: taskCPU}}
}

func taskRun(i int) messenger.Run {
	return messenger.Run{Task: fmt.Sprintf("j%d.0.0.0", i), Number: 1}
}

// advance lets time go on.
func (c *turnHarness) advance(d time.Duration) {
	c.clock.Advance(d)
	c.x.Tick()
	c.collectTurns()
}

// entriesWithCapacity lists the entries that have been told of room.
func (c *turnHarness) entriesWithCapacity() []string {
	var out []string
	for _, name := range c.names {
		if c.reportedFree[name] >= taskCPU {
			out = append(out, name)
		}
	}
	return out
}

func TestRoomIsToldToAllWhileOnlyOneEntryHasTasksThatWait(t *testing.T) {
	c := newTurnHarness(t, 3)
	c.want("entry-1", 5)
	c.advance(50 * time.Millisecond)
	require.Equal(t, c.names, c.entriesWithCapacity())
}

func TestScarceRoomIsToldToOneEntryAtATime(t *testing.T) {
	c := newTurnHarness(t, 3)
	c.want("entry-1", 15)
	c.want("entry-2", 15)
	c.advance(time.Millisecond)
	first := c.entriesWithCapacity()
	require.Len(t, first, 1)
	require.NotContains(t, first, "entry-0", "nothing waits there")
	c.advance(10 * time.Millisecond)
	second := c.entriesWithCapacity()
	require.Len(t, second, 1)
	require.NotEqual(t, first, second, "a turn that is not used passes on")
}

// TestTurnLastsAsLongAsItsEntryTakesToAnswer guards against turns that end before an
// answer from another data centre can arrive, so that the same room is told twice.
func TestTurnLastsAsLongAsItsEntryTakesToAnswer(t *testing.T) {
	const answerTime = 5 * time.Millisecond
	c := newTurnHarness(t, 2)
	met := 0
	for range 12 {
		c.want("entry-0", 15)
		c.want("entry-1", 15)
		c.advance(time.Millisecond)
		first := c.entriesWithCapacity()
		require.Len(t, first, 1)
		stamp := c.stamp
		c.advance(answerTime)
		if now := c.entriesWithCapacity(); len(now) == 1 && now[0] == first[0] {
			met++
		}
		c.stamp = stamp
		c.placeTask(first[0], 15)
		c.freeOldest()
		c.advance(20 * time.Millisecond)
	}
	require.GreaterOrEqual(t, met, 9, "turns in which the answer came in time")
}

func TestRoomIsSharedInProportionToWhatWaits(t *testing.T) {
	c := newTurnHarness(t, 3)
	used := make(map[string]int)
	for range 400 {
		for i, name := range c.names {
			c.want(name, 10*(1+i))
		}
		c.advance(2 * time.Millisecond)
		for i, name := range c.names {
			if c.reportedFree[name] >= taskCPU {
				c.placeTask(name, 10*(1+i))
				used[name]++
				break
			}
		}
		c.freeOldest()
	}
	total := used["entry-0"] + used["entry-1"] + used["entry-2"]
	require.Greater(t, total, 100)
	for i, name := range c.names {
		require.InDelta(t, float64(1+i)/6, float64(used[name])/float64(total), 0.05, name)
	}
}

// freeOldest ends the oldest run once the room is full.
func (c *turnHarness) freeOldest() {
	if c.runs-int(c.ended) < workerCPU/taskCPU {
		return
	}
	c.ended++
	seen := executor.PollResult{Number: c.lastPollNumber, Born: 1, Ended: []executor.EndRecord{
		{Number: c.ended, RunEnd: messenger.RunEnd{Run: taskRun(int(c.ended)), Reason: messenger.RunDone}},
	}}
	for i := int(c.ended) + 1; i <= c.runs; i++ {
		seen.Running = append(seen.Running, messenger.Progress{Run: taskRun(i)})
	}
	c.x.HandlePollResult(seen)
	c.collectTurns()
}

// TestUnusedTurnKeepsTheRequestForTheForecast guards against tasks held for a near
// worker that go far since their entry has left a turn unused.
func TestUnusedTurnKeepsTheRequestForTheForecast(t *testing.T) {
	c := newTurnHarness(t, 2)
	c.x.HandlePlace("entry-0", messenger.Place{
		Number: 1, Job: "j", Service: "quotes", MaxWait: 12 * time.Millisecond, Echo: c.stamp,
		Tasks: []messenger.Task{{Run: taskRun(1), Demand: messenger.Resources{CPU: taskCPU}, Estimate: 200 * time.Millisecond}},
	})
	c.collectTurns()
	want := backlogOf(15)
	want.WantsForecast = true
	for _, name := range c.names {
		c.x.HandleHeartbeat(name, messenger.Heartbeat{Timestamp: 1, Backlog: want})
	}
	c.collectTurns()
	for at := time.Duration(0); at <= messenger.HeartbeatInterval; at += 5 * time.Millisecond {
		c.advance(5 * time.Millisecond)
	}
	for _, name := range c.names {
		require.NotEmpty(t, c.forecasts[name], name)
	}
}
