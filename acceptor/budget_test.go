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
	b := newBudget()
	play := func(short bool, span time.Duration) {
		for range span / reselectInterval {
			now = now.Add(reselectInterval)
			b.adjust(scheduler.CapacityNeed{Shortage: short, Workers: 1}, agents, now)
		}
	}
	play(true, 2*time.Second)
	require.Equal(t, linksMost, b.most, "within two seconds of an overload")
	play(false, linksRest/2)
	require.Equal(t, linksMost, b.most, "between two bursts")
	play(false, 30*time.Second)
	require.Equal(t, linksBase, b.most, "in the end")
}

func TestLinksDoNotGrowBeyondTheFleet(t *testing.T) {
	b := newBudget()
	require.False(t, b.adjust(scheduler.CapacityNeed{Shortage: true}, 11, time.Unix(1, 0)))
	require.Equal(t, linksBase, b.most)
}

func TestEntryThatKeepsManyWorkersBusyKeepsTheirLinks(t *testing.T) {
	const busy = 15.0
	b := newBudget()
	for i := range 100 {
		b.adjust(scheduler.CapacityNeed{Workers: busy}, 240, time.Unix(int64(i), 0))
		require.Equal(t, int(linksPerWorker*busy), b.most)
	}
}

func TestEntryWithoutCallersKeepsFewLinksUntilTheyCome(t *testing.T) {
	b := newBudget()
	for i := range 20 {
		b.adjust(scheduler.CapacityNeed{}, 240, time.Unix(int64(i), 0))
	}
	require.Equal(t, linksIdle, b.most)
	require.True(t, b.adjust(scheduler.CapacityNeed{Workers: 1}, 240, time.Unix(20, 0)))
	require.Equal(t, linksBase, b.most)
}
