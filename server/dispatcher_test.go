package server

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
)

// counter counts the numbers that it receives and answers queries for the count.
type counter struct{ n int }

func (c *counter) Receive(ctx actor.Context) {
	switch ctx.Message().(type) {
	case int:
		c.n++
	case string:
		ctx.Respond(c.n)
	}
}

func TestActorOnItsOwnGoroutineTakesAllMessagesIn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	system := newActorSystem(provider.NewDeps(io.Discard))
	pid := system.Root.Spawn(actor.PropsFromProducer(
		func() actor.Actor { return &counter{} },
		actor.WithMailbox(actor.Bounded(1<<14)),
		actor.WithDispatcher(NewDispatcher(ctx)),
	))
	const senders, messages = 8, 1000
	sent := make(chan struct{})
	for range senders {
		go func() {
			for i := range messages {
				system.Root.Send(pid, i)
			}
			sent <- struct{}{}
		}()
	}
	for range senders {
		<-sent
	}
	n, err := system.Root.RequestFuture(pid, "count", time.Second).Result()
	require.NoError(t, err)
	require.Equal(t, senders*messages, n)
	cancel()
	n, err = system.Root.RequestFuture(pid, "count", time.Second).Result()
	require.NoError(t, err, "after the context has ended")
	require.Equal(t, senders*messages, n)
	system.Shutdown()
}
