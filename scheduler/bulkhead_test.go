package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// confinements returns the notes on confined queues since the last call.
func (f *fixture) confinements() []string {
	var out []string
	for _, e := range f.s.TakeEffects() {
		if n, ok := e.(scheduler.Note); ok && n.What == "confined queues changed" {
			out = append(out, n.Why)
		}
	}
	return out
}

// reportCrash has an agent report the crash of a worker that had tasks of the queues.
func (f *fixture) reportCrash(agent string, born int64, queues ...string) {
	c := messenger.Crash{Worker: messenger.Incarnation{ID: "w-" + agent, Born: born}}
	for i, q := range queues {
		c.Tasks = append(c.Tasks, messenger.CrashedTask{Task: fmt.Sprintf("%016x.0.0.0", i), Queue: q})
	}
	r := newReport(agent, 0)
	r.Crashes = []messenger.Crash{c}
	f.s.HandleReport(r)
}

// newStormFixture returns a fixture with ten agents and jobs of two queues.
func newStormFixture(t *testing.T) *fixture {
	f := newFixture(t)
	for i := range 10 {
		f.connect(fmt.Sprintf("a%d", i))
	}
	for i, name := range []string{"quotes", "index"} {
		j := f.job(fmt.Sprintf("%016x", i), 1)
		j.Queue.Name = name
		f.s.Submit(uint64(i), j)
	}
	f.confinements()
	return f
}

// storm has three workers crash one after another, with tasks of both queues.
func (f *fixture) storm() {
	for i := range 3 {
		f.reportCrash(fmt.Sprintf("a%d", i), 1, "quotes", "index")
		f.clock.Advance(500 * time.Millisecond)
	}
}

func TestQueueIsConfinedOnlyWhileItsTasksMayCrashWorkers(t *testing.T) {
	const both, none = "[index quotes], agents set aside: 10 of 11", "[], agents set aside: 0 of 11"
	t.Run("crashes of one moment have another reason", func(t *testing.T) {
		f := newStormFixture(t)
		for i := range 6 {
			f.reportCrash(fmt.Sprintf("a%d", i), 1, "quotes", "index")
			f.clock.Advance(10 * time.Millisecond)
		}
		require.Empty(t, f.confinements())
	})
	t.Run("without further crashes all are released", func(t *testing.T) {
		f := newStormFixture(t)
		f.storm()
		require.Equal(t, []string{both}, f.confinements())
		f.clock.Advance(2 * time.Second)
		f.s.Tick()
		require.Equal(t, []string{none}, f.confinements())
	})
	t.Run("crashes without its tasks release a queue", func(t *testing.T) {
		f := newStormFixture(t)
		f.storm()
		f.confinements()
		f.reportCrash("a3", 1, "quotes")
		f.reportCrash("a4", 1, "quotes")
		require.Len(t, f.confinements(), 1)
		for i := range 10 {
			f.heartbeat(fmt.Sprintf("a%d", i), 0)
		}
		require.Equal(t, map[string]bool{"quotes": true}, f.confinedQueues())
	})
}

func TestCrashThatIsReportedAgainReleasesNoConfinedQueue(t *testing.T) {
	f := newStormFixture(t)
	f.storm()
	require.Len(t, f.confinements(), 1)
	for i := range 3 {
		r := newReport("a5", 0)
		r.Crashes = []messenger.Crash{{
			Worker: messenger.Incarnation{ID: fmt.Sprintf("w-a%d", i), Born: 1},
			Tasks:  []messenger.CrashedTask{{Task: "0000000000000009.0.0.0"}},
		}}
		f.s.HandleReport(r)
	}
	require.Empty(t, f.confinements())
}

// confinedQueues returns the queues for which agents are set aside.
func (f *fixture) confinedQueues() map[string]bool {
	out := make(map[string]bool)
	for _, a := range f.s.Dump().Agents {
		if a.SetAsideFor != "" {
			out[a.SetAsideFor] = true
		}
	}
	return out
}
