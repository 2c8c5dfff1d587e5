package courier_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
)

// inbox is a Handler that keeps what it receives.
type inbox struct {
	messages chan any
	closed   chan struct{}
}

func newInbox() *inbox {
	return &inbox{messages: make(chan any, 16), closed: make(chan struct{})}
}

func (b *inbox) Receive(_ *courier.Link, msg any) { b.messages <- msg }
func (b *inbox) Closed(*courier.Link)             { close(b.closed) }

// newLinkPair returns two linked ends and their inboxes.
func newLinkPair(t *testing.T) (near, far *courier.Link, nearBox, farBox *inbox) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	nearBox, farBox = newInbox(), newInbox()
	near, err = courier.Dial(context.Background(), listener.Addr().String(), nearBox)
	require.NoError(t, err)
	socket, err := listener.Accept()
	require.NoError(t, err)
	far = courier.NewLink(context.Background(), socket, farBox)
	t.Cleanup(near.Close)
	t.Cleanup(far.Close)
	return near, far, nearBox, farBox
}

func TestLinkKeepsBytesOfPayloads(t *testing.T) {
	near, _, _, farBox := newLinkPair(t)
	payload := json.RawMessage(`{"Z":1,"A":18446744073709551615,"M":"<&>"}`)
	near.Send(courier.Start{Tasks: []courier.StartTask{{Digest: 1<<64 - 1, Payload: payload}}})
	got := (<-farBox.messages).(*courier.Start)
	require.Equal(t, string(payload), string(got.Tasks[0].Payload))
	require.Equal(t, uint64(1<<64-1), got.Tasks[0].Digest)
}

func TestLinkDeliversInOrder(t *testing.T) {
	near, _, _, farBox := newLinkPair(t)
	for i := range 16 {
		near.Send(courier.Decline{Offer: uint64(i)})
	}
	for i := range 16 {
		require.Equal(t, &courier.Decline{Offer: uint64(i)}, <-farBox.messages)
	}
}

func TestLinkClosesBothEnds(t *testing.T) {
	near, far, nearBox, farBox := newLinkPair(t)
	far.Close()
	<-nearBox.closed
	<-farBox.closed
	require.True(t, near.Ended())
}
