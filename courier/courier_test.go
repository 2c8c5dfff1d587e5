package courier_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
)

// inbox is a Handler that stores the messages that it receives.
type inbox struct {
	messages chan any
	closed   chan struct{}
}

func newInbox() *inbox {
	return &inbox{messages: make(chan any, 16), closed: make(chan struct{})}
}

func (b *inbox) Receive(_ *courier.Link, msg any) { b.messages <- msg }
func (b *inbox) Closed(*courier.Link)             { close(b.closed) }

// newLinkPair returns the two ends of a link and their inboxes.
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

// TestAMessageOverTheLimitClosesTheLink guards against a message whose length has no bound.
func TestAMessageOverTheLimitClosesTheLink(t *testing.T) {
	near, far := net.Pipe()
	box := newInbox()
	courier.NewLink(context.Background(), near, box)
	_, err := far.Write(binary.AppendUvarint(nil, 1<<30))
	require.NoError(t, err)
	<-box.closed
	require.Empty(t, box.messages)
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
	require.True(t, near.IsClosed())
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// BenchmarkMessage measures the size and the time of the messages of a task and of
// heartbeats.
func BenchmarkMessage(b *testing.B) {
	id := courier.TaskID{Job: "wholesale/3f993dad-1256-4622-ad31-fb44411608c5", Index: 17}
	term := courier.Term{Number: 12, Holder: "entry-1"}
	load := courier.Load{Free: 3, Mine: 1, Seen: 123456}
	task := courier.StartTask{
		Number: 123456, Task: id, Digest: 1 << 63, Service: "price-report",
		Deadline: time.Date(2026, 12, 3, 12, 0, 0, 123456789, time.UTC), Term: term,
		Payload: json.RawMessage(`{"Millis":250,"Echo":"tomato"}`),
	}
	record := courier.Record{Task: id, Digest: 1 << 63, Outcome: courier.Succeeded, Result: json.RawMessage(`"tomato"`)}
	messages := []struct {
		name string
		msg  any
	}{
		{"Start of 1", courier.Start{LinkNumber: 3, BundleVersion: 3800, Tasks: []courier.StartTask{task}}},
		{"Start of 8", courier.Start{LinkNumber: 3, BundleVersion: 3800, Tasks: []courier.StartTask{task, task, task, task, task, task, task, task}}},
		{"Finished of 1", courier.Finished{Records: []courier.Record{record}, Load: load}},
		{"Acked of 1", courier.Acked{Tasks: []courier.TaskID{id}}},
		{"Announce", courier.Announce{
			Agent: "agent-11000", Incarnation: "ee5b2a9d-0306-4f2d-828f-a63901602183", DataCentre: "ost-wien", Rack: "rack-3667",
			Slots: 8, Services: []string{"price-report"}, LinkNumber: 3, Acked: []string{"entry-1", "entry-2", "entry-3"},
			BundleVersion: 3800, Stamp: time.Hour, Load: load,
		}},
		{"AnnounceReply", courier.AnnounceReply{
			Entry:   courier.EntryInfo{ID: "entry-1", Link: "127.0.0.1:23021"},
			Entries: []courier.EntryInfo{{ID: "entry-1", Link: "127.0.0.1:23021"}, {ID: "entry-2", Link: "127.0.0.1:23022"}, {ID: "entry-3", Link: "127.0.0.1:23023"}},
			Stamp:   time.Hour, Fresh: true, Age: 250 * time.Millisecond, BundleVersion: 3800,
		}},
	}
	for _, m := range messages {
		b.Run(m.name, func(b *testing.B) { benchmarkMessage(b, m.msg) })
	}
}

func benchmarkMessage(b *testing.B, msg any) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer listener.Close()
	socket, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(b, err)
	counted := &countingConn{Conn: socket}
	near := courier.NewLink(context.Background(), counted, newInbox())
	defer near.Close()
	far, err := listener.Accept()
	require.NoError(b, err)
	box := newInbox()
	defer courier.NewLink(context.Background(), far, box).Close()
	b.ResetTimer()
	for range b.N {
		near.Send(msg)
		<-box.messages
	}
	b.ReportMetric(float64(counted.written.Load())/float64(b.N), "bytes/message")
}
