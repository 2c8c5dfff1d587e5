package server

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
)

// Messages of fragile.
type (
	add       struct{ n int }
	addAndDie struct{ n int }
	sumQuery  struct{}
	badQuery  struct{}
)

// fragile adds up numbers, and panics on some messages.
type fragile struct{ sum int }

func (f *fragile) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case add:
		f.sum += m.n
	case addAndDie:
		f.sum += m.n
		panic("half-way")
	case sumQuery:
		ctx.Respond(f.sum)
	case badQuery:
		panic("unreadable")
	}
}

func startFragile(t *testing.T, out io.Writer) *Owner {
	deps := provider.NewDeps(out)
	o := StartOwner(deps, OwnerConfig{
		Process:     "test",
		MailboxSize: 16,
		AskTimeout:  200 * time.Millisecond,
		OnlyReads:   func(msg any) bool { return msg == sumQuery{} || msg == badQuery{} },
	}, &fragile{})
	t.Cleanup(o.Stop)
	return o
}

// Guards against a process that goes on with empty state after a panic.
func TestAPanicEndsTheOwnerWithItsCause(t *testing.T) {
	var out bytes.Buffer
	o := startFragile(t, &out)
	o.Post(add{1})
	require.False(t, o.Failed())
	o.Post(addAndDie{2})
	err := o.Wait(t.Context())
	require.ErrorContains(t, err, "server.addAndDie: half-way")
	require.True(t, o.Failed())
	require.Contains(t, out.String(), `"cause":"half-way"`)
	require.Contains(t, out.String(), `"message":"server.addAndDie"`)
	var metrics bytes.Buffer
	o.deps.Metrics.WritePrometheus(&metrics)
	require.Contains(t, metrics.String(), `pomeloferry_test_panics_total{message="server.addAndDie"} 1`)
	for range 100 { // More than the mailbox holds.
		o.Post(add{1})
	}
	_, err = o.Ask(sumQuery{})
	require.Error(t, err, "nothing more is processed")
}

func TestAQueryThatPanicsIsRefusedByItself(t *testing.T) {
	o := startFragile(t, io.Discard)
	o.Post(add{3})
	_, err := o.Ask(badQuery{})
	require.ErrorContains(t, err, "server.badQuery: unreadable")
	require.False(t, o.Failed())
	sum, err := o.Ask(sumQuery{})
	require.NoError(t, err)
	require.Equal(t, 3, sum)
}

func TestWaitReturnsNoErrorAtTheEndOfTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, startFragile(t, io.Discard).Wait(ctx))
}
