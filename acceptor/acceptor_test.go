package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// fixedStore holds a configuration with one queue, and no agents.
type fixedStore struct{}

func (fixedStore) List(_ context.Context, prefix string) ([]platform.Item, int64, error) {
	if prefix != platform.OperatorPrefix {
		return nil, 1, nil
	}
	value := `{"version":1,"routes":[{"name":"quotes","host":"q.example","prefix":"/q/","service":"quotes","stretch":1,"target_latency_ms":60000}]}`
	return []platform.Item{{Key: platform.OperatorPrefix + "config", Value: []byte(value)}}, 1, nil
}

func (fixedStore) ReplaceWitnessList(context.Context, messenger.WitnessList, int64) error { return nil }

func (fixedStore) Watch(ctx context.Context, _ string, revision int64, _ time.Duration) ([]platform.Item, int64, error) {
	<-ctx.Done()
	return nil, revision, ctx.Err()
}

// runAcceptor runs an entry on loopback and returns it together with the error with which
// it ends.
func runAcceptor(t *testing.T, deps provider.Deps) (*Acceptor, chan error) {
	a, err := NewAcceptor(deps, Config{ID: "entry", DataCentre: "dc", FrontAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", MetricsAddr: "127.0.0.1:0", GracePeriod: time.Second}, fixedStore{})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(t.Context()) }()
	require.Eventually(t, func() bool { return a.configuration.Load() != nil }, time.Second, time.Millisecond)
	return a, ended
}

// submitAsync sends a job that waits for a worker, and returns the error of the call.
func submitAsync(a *Acceptor) chan error {
	failed := make(chan error, 1)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/01", a.listeners.front.Addr()), strings.NewReader(`{"best_effort":true,"steps":[{"count":1,"estimate_ms":60}]}`))
		request.Host = "q.example"
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			err = fmt.Errorf("answered with %d", response.StatusCode)
			_ = response.Body.Close()
		}
		failed <- err
	}()
	return failed
}

// Guards against an entry that goes on with empty state after a panic, so that callers wait
// in vain and its locks count for nothing.
func TestAnEntryWhoseActorPanicsEndsAtOnce(t *testing.T) {
	a, ended := runAcceptor(t, provider.NewDeps(io.Discard))
	a.hasLinks.Store(true)
	a.witnessList.Store(&messenger.WitnessList{})
	require.True(t, a.isReady())
	failed := submitAsync(a)
	require.Eventually(t, func() bool { return a.inFlight.Load() == 1 }, time.Second, time.Millisecond)

	a.post(linkOpened{agent: "agent"}) // Without a link.

	require.ErrorContains(t, <-failed, "EOF", "the caller's connection is closed")
	require.ErrorContains(t, <-ended, "acceptor.linkOpened: runtime error: invalid memory address")
	require.False(t, a.isReady())
	var metrics bytes.Buffer
	a.deps.Metrics.WritePrometheus(&metrics)
	require.Contains(t, metrics.String(), `pomeloferry_entry_panics_total{message="acceptor.linkOpened"} 1`)
}

// Guards against a dump or a question of a caller's that ends the process by a panic.
func TestOnlyMessagesThatReadAreSurvived(t *testing.T) {
	for _, msg := range []any{dumpQuery{}, stateQuery{}, waitingQuery{}, witnessChangeQuery{}} {
		require.True(t, onlyReads(msg), "%T", msg)
	}
	for _, msg := range []any{
		tick{},
		submitJob{},
		callerDisconnected{},
		configurationChanged{},
		cancelJob{},
		needQuery{},
		witnessesRead{},
		releaseLinks{},
		linkOpened{},
		linkMessage{},
		linkClosed{},
	} {
		require.False(t, onlyReads(msg), "%T", msg)
	}
}

// Guards against an entry that the balancer sends callers although it answers none of them.
func TestAnEntryThatDoesNotGetOnIsNotReady(t *testing.T) {
	a := &Acceptor{deps: provider.NewDeps(io.Discard)}
	a.lag.clock = a.deps.Clock
	a.owner = a.startOwner(t.Context(), actor.ReceiveFunc(func(actor.Context) {}))
	t.Cleanup(a.owner.Stop)
	a.configuration.Store(&scheduler.Configuration{})
	a.hasLinks.Store(true)
	a.witnessList.Store(&messenger.WitnessList{})
	a.lag.observeTick(a.deps.Clock.Now())
	require.True(t, a.isReady())
	a.quorumLost.Store(true)
	require.False(t, a.isReady(), "it can lock no job")
	a.quorumLost.Store(false)
	a.lag.observeTick(a.deps.Clock.Now().Add(-maxReadyLag))
	require.False(t, a.isReady())
}
