package evacuator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/messenger"
)

var epoch = time.Unix(1_700_000_000, 0)

// storeState is what the store holds from a time on.
type storeState struct {
	from        time.Time
	revision    int64
	dataCentres []string
}

// drawHistory draws the states of a store, one a second. Some changes are of other keys.
func drawHistory(t *rapid.T) []storeState {
	dataCentres := []string{"a", "b", "c"}
	history := []storeState{{from: epoch, revision: 1}}
	for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
		last := history[len(history)-1]
		next := storeState{from: epoch.Add(time.Duration(i+1) * time.Second), revision: last.revision + 1, dataCentres: slices.Clone(last.dataCentres)}
		dc := rapid.SampledFrom(append(dataCentres, "")).Draw(t, "changed")
		switch at := slices.Index(next.dataCentres, dc); {
		case dc == "":
		case at >= 0:
			next.dataCentres = slices.Delete(next.dataCentres, at, at+1)
		default:
			next.dataCentres = append(next.dataCentres, dc)
			slices.Sort(next.dataCentres)
		}
		history = append(history, next)
	}
	return history
}

// rightSince reports whether a view is what the store held at some time that is not before
// the one at which the view claims to be right.
func rightSince(v evacuator.View, history []storeState) bool {
	for i, s := range history {
		ends := i+1 < len(history) && !history[i+1].from.After(v.ConfirmedAt)
		if !ends && slices.Equal(v.DataCentres, s.dataCentres) {
			return true
		}
	}
	return false
}

// TestMergedViewsAreAtLeastAsNewAsTheyClaim guards against a process that takes old
// evacuations for confirmed ones after it has heard of several views, in any order.
func TestMergedViewsAreAtLeastAsNewAsTheyClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		span := int64(len(history)) * int64(time.Second)
		known := make([]evacuator.View, 3)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			to := rapid.IntRange(0, len(known)-1).Draw(t, "to")
			var learnt evacuator.View
			if rapid.Bool().Draw(t, "read") {
				beganAt := epoch.Add(time.Duration(rapid.Int64Range(0, span).Draw(t, "began")))
				answeredAt := beganAt.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "took")))
				state := history[0]
				for _, s := range history {
					if !s.from.After(answeredAt) {
						state = s
					}
				}
				learnt = evacuator.NewView(state.revision, state.dataCentres, beganAt)
			} else {
				sentAt := epoch.Add(time.Duration(rapid.Int64Range(0, 2*span).Draw(t, "sent")))
				echo := sentAt.Add(-time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "echoed"))).Sub(epoch)
				from := known[rapid.IntRange(0, len(known)-1).Draw(t, "from")]
				if sentAt.Before(from.ConfirmedAt) {
					continue
				}
				learnt = evacuator.Received(from.Message(sentAt), epoch, echo, sentAt)
			}
			known[to] = known[to].Merge(learnt)
			require.True(t, known[to].ConfirmedAt.IsZero() || rightSince(known[to], history), "%+v", known[to])
		}
	})
}

// TestViewWithoutAnEchoConfirmsNothing guards against a message that was held up, or one of an
// earlier version, whose evacuations count as new.
func TestViewWithoutAnEchoConfirmsNothing(t *testing.T) {
	for name, v := range map[string]evacuator.View{
		"no echo":                evacuator.Received(messenger.Evacuations{Revision: 5, Age: time.Second}, epoch, 0, epoch),
		"no age":                 evacuator.Received(messenger.Evacuations{Revision: 5}, epoch, 1, epoch.Add(1)),
		"an echo of the future":  evacuator.Received(messenger.Evacuations{Revision: 5, Age: 1}, epoch, time.Second, epoch),
		"a view that is unknown": evacuator.Received(evacuator.View{}.Message(epoch), epoch, 1, epoch.Add(1)),
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, v.OlderThan(time.Hour, epoch))
			merged := evacuator.NewView(4, []string{"a"}, epoch).Merge(v)
			require.Equal(t, epoch, merged.ConfirmedAt)
		})
	}
}

// TestAgeCountsFromTheEchoedTimestamp guards against a heartbeat that was read late and counts
// as sent when it was read.
func TestAgeCountsFromTheEchoedTimestamp(t *testing.T) {
	sent := evacuator.NewView(5, []string{"b", "a"}, epoch).Message(epoch.Add(2 * time.Second))
	v := evacuator.Received(sent, epoch, time.Minute, epoch.Add(time.Hour))
	require.Equal(t, epoch.Add(time.Minute-2*time.Second), v.ConfirmedAt)
	require.True(t, v.Evacuated("a") && v.Evacuated("b") && !v.Evacuated("c"))
	require.Equal(t, map[string]bool{"a": true, "b": true}, v.Set())
}
