package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

func TestCrashUnderATaskAloneCountsWhenAnotherAgentNamesItWithoutDetails(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	task := jobID + ".0.0.0"
	first, second := messenger.Incarnation{ID: "v", Born: 1}, messenger.Incarnation{ID: "u", Born: 1}
	for _, c := range []messenger.Crash{
		{Worker: first, Tasks: []messenger.CrashedTask{{Task: task, Alone: true}}},
		{Worker: second, Tasks: []messenger.CrashedTask{{Task: task, Earlier: []messenger.Incarnation{first}}}},
		{Worker: second, Refuted: true},
	} {
		r := newReport("a", 0)
		r.Crashes = []messenger.Crash{c}
		f.s.HandleReport(r)
	}
	f.s.Submit(1, f.job(jobID, 1))
	f.takeEffects()
	require.Equal(t, scheduler.JobFailed, f.replies[1].Outcome)
}
