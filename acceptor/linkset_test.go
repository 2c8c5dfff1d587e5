package acceptor

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
)

func TestRedialsComeOftenAtFirstAndSeldomInTheEnd(t *testing.T) {
	var total time.Duration
	const redials = 10
	for i := range redials {
		total += redialDelay(i)
	}
	// Machines that come back after an outage start within 300 ms of each other.
	require.LessOrEqual(t, total, 300*time.Millisecond)
	require.Equal(t, maxRedialDelay, redialDelay(100))
	require.Equal(t, maxRedialDelay, redialDelay(1_000_000))
}

// growingStore is a store whose watch returns one more agent with each call.
type growingStore struct{ calls int }

func (s *growingStore) List(context.Context, string) ([]platform.Item, int64, error) {
	return nil, 1, nil
}

func (s *growingStore) Watch(_ context.Context, _ string, revision int64, _ time.Duration) ([]platform.Item, int64, error) {
	s.calls++
	value := fmt.Sprintf(`{"Agent":"agent-%d","DataCentre":"dc","Link":"127.0.0.1:1"}`, s.calls)
	return []platform.Item{{Key: platform.AgentPrefix + "agent", Value: []byte(value)}}, revision + 1, nil
}

func TestAgentsThatRegisterTogetherDoNotCostTheStoreACallEach(t *testing.T) {
	store := &growingStore{}
	a := &Acceptor{deps: provider.NewDeps(io.Discard), cfg: Config{ID: "entry", DataCentre: "dc"}, store: store}
	s := newLinkSet(a)
	s.post = func(any) {}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for revision := int64(1); ctx.Err() == nil; {
		var err error
		revision, err = s.watchDirectory(ctx, revision)
		require.NoError(t, err)
	}
	// Hundreds of entries share a store that serves two thousand reads a second.
	require.LessOrEqual(t, store.calls, 5)
}

func TestFailedCallsToTheStoreAreSpacedByBackoff(t *testing.T) {
	var total time.Duration
	const failures = 10
	for i := range failures {
		total += storeBackoff(i + 1)
	}
	require.GreaterOrEqual(t, total, 5*time.Second)
	require.LessOrEqual(t, storeBackoff(1_000_000), maxStoreBackoff)
}
