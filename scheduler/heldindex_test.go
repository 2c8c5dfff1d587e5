package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// TestHeldJobIndexAgreesWithTheAgents guards against a job that counts as not held
// although an agent lists it, and against an index that keeps jobs that none lists.
func TestHeldJobIndexAgreesWithTheAgents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		s := NewScheduler(clock, "dc")
		ids := rapid.SliceOfN(rapid.SampledFrom([]string{"j0", "j1", "j2", "j3"}), 0, 4)
		for range rapid.IntRange(1, 30).Draw(rt, "reports") {
			clock.Advance(time.Duration(rapid.IntRange(0, 700).Draw(rt, "elapsed")) * time.Millisecond)
			r := messenger.Report{
				Agent:       fmt.Sprintf("a%d", rapid.IntRange(0, 2).Draw(rt, "agent")),
				Incarnation: int64(rapid.IntRange(1, 3).Draw(rt, "incarnation")),
			}
			if rapid.Bool().Draw(rt, "lists jobs") {
				r.HeldJobs = &messenger.HeldJobs{Running: ids.Draw(rt, "running"), Yielding: ids.Draw(rt, "yielding"), Finished: ids.Draw(rt, "finished")}
			}
			s.HandleReport(r)
			want := make(heldJobIndex)
			for _, a := range s.agentsByName {
				want.add(a)
			}
			if fmt.Sprint(want) != fmt.Sprint(s.heldJobs) {
				rt.Fatalf("index %v, agents list %v", s.heldJobs, want)
			}
		}
	})
}
