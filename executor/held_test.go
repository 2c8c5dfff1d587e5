package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

func TestEntriesHearOfTheJobsThatOthersHold(t *testing.T) {
	b := newBench(t)
	b.x.Hello(messenger.Hello{Entry: "f", Incarnation: 1})
	b.x.Beat("f", messenger.Beat{Stamp: 1, Held: messenger.Held{Jobs: []string{"j"}}})
	b.clock.Advance(messenger.BeatInterval)
	b.x.Tick()
	b.drain()
	require.Equal(t, &messenger.Held{Jobs: []string{"j"}}, b.held["e"])
	b.clock.Advance(messenger.HeldFor)
	b.x.Beat("f", messenger.Beat{Stamp: 2, Held: messenger.Held{Jobs: []string{"j"}}})
	b.x.Tick()
	b.drain()
	require.Nil(t, b.held["e"], "nothing has changed")
	b.clock.Advance(messenger.HeldFor + time.Millisecond)
	b.x.Tick()
	b.drain()
	require.Equal(t, &messenger.Held{}, b.held["e"], "the other entry is silent")
}

func TestEntryHearsOfTheJobsThatOthersHoldOnEachLink(t *testing.T) {
	b := newBench(t)
	b.x.Hello(messenger.Hello{Entry: "f", Incarnation: 1})
	b.x.Beat("f", messenger.Beat{Stamp: 1, Held: messenger.Held{Jobs: []string{"j"}}})
	b.x.Hello(messenger.Hello{Entry: "e", Incarnation: 1})
	b.clock.Advance(messenger.BeatInterval)
	b.x.Tick()
	b.drain()
	require.Equal(t, &messenger.Held{Jobs: []string{"j"}}, b.held["e"])
}

func TestJobsOfAnEntryThatHasRestartedAreToldOf(t *testing.T) {
	b := newBench(t)
	b.x.Hello(messenger.Hello{Entry: "f", Incarnation: 1})
	b.x.Beat("f", messenger.Beat{Stamp: 1, Held: messenger.Held{Jobs: []string{"j"}}})
	b.x.Hello(messenger.Hello{Entry: "f", Incarnation: 2})
	b.x.Beat("f", messenger.Beat{Stamp: 1, Held: messenger.Held{Jobs: []string{"k"}}})
	b.clock.Advance(messenger.BeatInterval)
	b.x.Tick()
	b.drain()
	require.Equal(t, &messenger.Held{Jobs: []string{"k"}, Over: []string{"j"}}, b.held["e"])
	b.clock.Advance(messenger.HeldFor)
	b.x.Beat("f", messenger.Beat{Stamp: 2, Held: messenger.Held{Jobs: []string{"k"}}})
	b.x.Tick()
	b.drain()
	require.Equal(t, &messenger.Held{Jobs: []string{"k"}}, b.held["e"])
}
