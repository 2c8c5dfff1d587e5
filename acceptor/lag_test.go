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
	require.Zero(t, l.current(), "before the first tick there is no lag")
	l.observeTick(clock.Now())
	require.LessOrEqual(t, l.current(), time.Duration(0))
	clock.Advance(200 * time.Millisecond)
	require.Greater(t, l.current(), maxLag, "the actor processes no ticks")
	l.observeTick(clock.Now().Add(-150 * time.Millisecond))
	require.Equal(t, 150*time.Millisecond, l.current(), "the ticks are processed late")
	l.observeTick(clock.Now())
	require.LessOrEqual(t, l.current(), time.Duration(0), "the actor has caught up")
}
