package supervisor

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
)

// noWorker is the client of a worker to which no call can be sent.
type noWorker struct{}

func (noWorker) Start(context.Context, executor.Start) (executor.CallResult, error) {
	return executor.NotSent, nil
}

func (noWorker) Stop(context.Context, executor.Stop) (executor.CallResult, error) {
	return executor.NotSent, nil
}

func (noWorker) Poll(context.Context, executor.Poll) (executor.PollResult, executor.CallResult, error) {
	return executor.PollResult{}, executor.NotSent, nil
}

func (noWorker) ObserveClock(string, int64, float64) {}

// TestDrainingWorkerIsHandledAfterAHeartbeatOfAnotherWorker guards against a worker's
// heartbeat being ignored as outdated because of another worker's higher sequence number.
// The agent takes a later started worker for its own because of a heartbeat, until a poll
// turns out to be misdirected; then its own worker announces that it drains.
func TestDrainingWorkerIsHandledAfterAHeartbeatOfAnotherWorker(t *testing.T) {
	c := newAgentActor(&Supervisor{
		deps:            provider.NewDeps(io.Discard),
		cfg:             Config{DrainTimeout: 2 * time.Second},
		worker:          noWorker{},
		upstreamUpdates: make(chan messenger.Upstream, 1),
	})
	handleHeartbeat := func(id string, born, sequence int64, draining bool) {
		c.handleHeartbeat(platform.Heartbeat{
			Upstream: messenger.Upstream{ID: id, Born: born, Service: "quotes", Draining: draining},
			Sequence: sequence,
		})
	}
	handleHeartbeat("w", 1, 5, false)
	handleHeartbeat("other", 2, 1000, false)
	for _, e := range c.executor.TakeEffects() {
		if p, ok := e.(executor.Poll); ok {
			c.executor.HandlePollFailure(p.Number, executor.Misdirected)
		}
	}
	require.Equal(t, "w", c.executor.Upstream().ID)
	handleHeartbeat("w", 1, 6, true)
	require.True(t, c.executor.Upstream().Draining)
}

// TestReserveReachesTheExecutor guards against an actor that drops Reserve messages.
func TestReserveReachesTheExecutor(t *testing.T) {
	c := newAgentActor(&Supervisor{
		deps:            provider.NewDeps(io.Discard),
		worker:          noWorker{},
		upstreamUpdates: make(chan messenger.Upstream, 1),
	})
	capacity := messenger.Resources{CPU: 8000}
	c.handleHeartbeat(platform.Heartbeat{Upstream: messenger.Upstream{ID: "w", Born: 1, Service: "quotes", Capacity: capacity}, Sequence: 1})
	link := new(messenger.Link)
	c.handleLinkMessage(linkMessage{link: link, msg: &messenger.Hello{Entry: "e", Incarnation: 1}})
	demand := messenger.Resources{CPU: 4000}
	c.handleLinkMessage(linkMessage{link: link, msg: &messenger.Reserve{Number: 1, Demand: demand, TTL: time.Second}})
	require.Equal(t, demand, c.executor.ReservedCapacity())
}

// TestChangedCapacityIsRegistered guards against an agent that restarts with a capacity that
// its worker no longer has.
func TestChangedCapacityIsRegistered(t *testing.T) {
	s := &Supervisor{deps: provider.NewDeps(io.Discard), worker: noWorker{}, upstreamUpdates: make(chan messenger.Upstream, 1)}
	c := newAgentActor(s)
	for sequence, cpu := range []int{8000, 8000, 2000} {
		capacity := messenger.Resources{CPU: cpu}
		c.handleHeartbeat(platform.Heartbeat{Upstream: messenger.Upstream{ID: "w", Born: 1, Service: "quotes", Capacity: capacity}, Sequence: int64(sequence)})
		if sequence == 1 {
			require.Empty(t, s.upstreamUpdates, "nothing has changed")
			continue
		}
		require.Equal(t, capacity, (<-s.upstreamUpdates).Capacity)
	}
}

// heartbeatFixture is an agent's actor whose worker's heartbeats the test sends.
type heartbeatFixture struct {
	*agentActor
	clock *clockwork.FakeClock
}

func newHeartbeatFixture() *heartbeatFixture {
	clock := clockwork.NewFakeClock()
	deps := provider.NewDeps(io.Discard)
	deps.Clock = clock
	return &heartbeatFixture{newAgentActor(&Supervisor{deps: deps, worker: noWorker{}, upstreamUpdates: make(chan messenger.Upstream, 1)}), clock}
}

// send sends a heartbeat of the worker's incarnation that began at a time and reports whether
// it is acknowledged.
func (f *heartbeatFixture) send(born, sequence int64, cpu int, draining bool) bool {
	return f.handleHeartbeat(platform.Heartbeat{
		Upstream: messenger.Upstream{ID: "w", Born: born, Service: "quotes", Capacity: messenger.Resources{CPU: cpu}, Draining: draining},
		Sequence: sequence,
	})
}

// TestTrueHeartbeatsAreFollowedAfterAnOddSequence guards against a worker whose heartbeats
// are all ignored after one of another writer with a high sequence number, and against the
// acknowledgement of one that is ignored.
func TestTrueHeartbeatsAreFollowedAfterAnOddSequence(t *testing.T) {
	tests := []struct {
		name  string
		odd   int64
		after time.Duration
		want  bool
	}{
		{"far ahead", 1 << 40, time.Second, true},
		{"somewhat ahead, for long", 50, 3*time.Second + time.Millisecond, true},
		{"overtaken by a true one", 50, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newHeartbeatFixture()
			require.True(t, f.send(9, 7, 8000, false))
			require.True(t, f.send(9, tt.odd, 8000, false))
			f.clock.Advance(tt.after)
			require.Equal(t, tt.want, f.send(9, 8, 2000, false))
			require.Equal(t, tt.want, f.executor.Upstream().Capacity.CPU == 2000)
		})
	}
}

// Guards against tasks that start on a worker long after its draining was acknowledged, since
// a heartbeat of another writer has a higher sequence number.
func TestDrainingThatIsAcknowledgedHoldsForItsIncarnation(t *testing.T) {
	for _, odd := range []int64{5, 47, 1 << 40} {
		f := newHeartbeatFixture()
		f.send(9, 7, 8000, false)
		f.send(9, odd, 8000, false)
		require.True(t, f.send(9, 8, 8000, true), "odd sequence %d", odd)
		require.True(t, f.executor.Upstream().Draining)
		for _, sequence := range []int64{6, 9, odd + 1, 1 << 41} {
			f.clock.Advance(time.Second)
			f.send(9, sequence, 8000, false)
			require.True(t, f.executor.Upstream().Draining, "odd sequence %d, then %d", odd, sequence)
		}
		require.True(t, f.send(10, 1, 8000, false))
		require.False(t, f.executor.Upstream().Draining, "it has restarted under its ID")
		require.False(t, f.send(9, 1<<42, 8000, true), "late, of an earlier incarnation")
		require.False(t, f.executor.Upstream().Draining)
	}
}
