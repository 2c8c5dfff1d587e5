package acceptor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

func TestLinksFallAgainAfterAnOverload(t *testing.T) {
	const agents = 240
	now := time.Unix(0, 0)
	b := newLinkBudget()
	adjustFor := func(shortage bool, duration time.Duration) {
		for range duration / reselectInterval {
			now = now.Add(reselectInterval)
			b.adjust(scheduler.CapacityNeed{Shortage: shortage, Workers: 1}, agents, now)
		}
	}
	adjustFor(true, 2*time.Second)
	require.Equal(t, maxLinks, b.limit, "within two seconds of an overload")
	adjustFor(false, linkShrinkInterval/2)
	require.Equal(t, maxLinks, b.limit, "between two bursts")
	adjustFor(false, 30*time.Second)
	require.Equal(t, baseLinks, b.limit, "long after the overload")
}

func TestLinksDoNotGrowBeyondTheFleet(t *testing.T) {
	b := newLinkBudget()
	require.False(t, b.adjust(scheduler.CapacityNeed{Shortage: true}, 11, time.Unix(1, 0)))
	require.Equal(t, baseLinks, b.limit)
}

func TestEntryThatKeepsManyWorkersBusyKeepsTheirLinks(t *testing.T) {
	const busyWorkers = 15.0
	b := newLinkBudget()
	for i := range 100 {
		b.adjust(scheduler.CapacityNeed{Workers: busyWorkers}, 240, time.Unix(int64(i), 0))
		require.Equal(t, int(linksPerBusyWorker*busyWorkers), b.limit)
	}
}

func TestEntryWithoutCallersKeepsFewLinksUntilTheyCome(t *testing.T) {
	b := newLinkBudget()
	for i := range 20 {
		b.adjust(scheduler.CapacityNeed{}, 240, time.Unix(int64(i), 0))
	}
	require.Equal(t, idleLinks, b.limit)
	require.True(t, b.adjust(scheduler.CapacityNeed{Workers: 1}, 240, time.Unix(20, 0)))
	require.Equal(t, baseLinks, b.limit)
}
