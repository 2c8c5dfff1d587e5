package acceptor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRedialsComeOftenAtFirstAndSeldomInTheEnd(t *testing.T) {
	var first time.Duration
	const early = 10
	for i := range early {
		first += redialPause(i)
	}
	// Machines that return from an outage start within 300 ms of each other.
	require.LessOrEqual(t, first, 300*time.Millisecond)
	require.Equal(t, redialMost, redialPause(100))
	require.Equal(t, redialMost, redialPause(1_000_000))
}
