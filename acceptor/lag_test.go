package acceptor

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func TestLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := lag{clock: clock}
	require.Zero(t, l.behind(), "nothing is known before the first tick")
	l.took(clock.Now())
	require.LessOrEqual(t, l.behind(), time.Duration(0))
	clock.Advance(200 * time.Millisecond)
	require.Greater(t, l.behind(), lagMost, "the core takes no ticks in")
	l.took(clock.Now().Add(-150 * time.Millisecond))
	require.Equal(t, 150*time.Millisecond, l.behind(), "the ticks are old")
	l.took(clock.Now())
	require.LessOrEqual(t, l.behind(), time.Duration(0), "it has caught up")
}

func TestRequestReadAfterAPauseMayBeAsOldAsThat(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := lag{clock: clock}
	l.took(clock.Now())
	clock.Advance(tickInterval)
	l.took(clock.Now())
	require.Zero(t, l.unread())
	clock.Advance(time.Second)
	l.took(clock.Now())
	clock.Advance(tickInterval)
	l.took(clock.Now())
	require.Equal(t, time.Second+tickInterval, l.unread())
	clock.Advance(time.Second - tickInterval)
	l.took(clock.Now())
	require.Equal(t, 2*time.Second, l.unread(), "one pause after the other")
	clock.Advance(catchUp + 1)
	require.Zero(t, l.unread())
}
