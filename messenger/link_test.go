package messenger_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// inbox collects what arrives on a link and records when it closes.
type inbox struct {
	received chan any
	closed   chan struct{}
}

func newInbox() *inbox { return &inbox{received: make(chan any, 100), closed: make(chan struct{})} }

func (h *inbox) Receive(_ *messenger.Link, msg any) { h.received <- msg }
func (h *inbox) Closed(*messenger.Link)             { close(h.closed) }

// newLinkPair returns the two ends of a link and their handlers.
func newLinkPair(t *testing.T) (a, b *messenger.Link, ha, hb *inbox) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ha, hb = newInbox(), newInbox()
	a, err = messenger.Dial(context.Background(), listener.Addr().String(), ha)
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	b = messenger.NewLink(accepted, hb)
	t.Cleanup(func() {
		a.Close()
		b.Close()
	})
	return a, b, ha, hb
}

func TestMessagesArriveWholeAndInOrder(t *testing.T) {
	a, b, ha, hb := newLinkPair(t)
	upstream := messenger.Upstream{ID: "w", Born: 17, Service: "s", DataCentre: "d", Labels: []string{"x"}, Capacity: messenger.Resources{CPU: 1, Memory: 2, GPU: 3}, Draining: true, Remaining: time.Second}
	run := messenger.Run{Task: "j.0.0.1", Number: 2}
	toAgent := []any{
		messenger.Hello{Entry: "e", Incarnation: 3, Upstream: upstream},
		messenger.Place{Number: 1, Job: "j", Spec: "spec", Service: "s", MaxWait: time.Millisecond, Echo: 5, Tasks: []messenger.Task{{Run: run, Demand: messenger.Resources{CPU: 3100}, Estimate: time.Second}}},
		messenger.Withdraw{Runs: []messenger.Run{run}},
		messenger.Reserve{Number: 4, Demand: messenger.Resources{CPU: 16_000}, TTL: time.Second},
		messenger.Heartbeat{Timestamp: 7, Echo: 8, Unlocked: []messenger.UnlockedJob{{Job: "j", Outcome: messenger.JobComplete}}},
		messenger.LockJobs{Number: 9, Jobs: []string{"j"}, Unlocked: []messenger.UnlockedJob{{Job: "k"}}, Complete: true},
	}
	for _, m := range toAgent {
		a.Send(m)
	}
	report := messenger.Report{
		Agent: "a", DataCentre: "d", Incarnation: 1, Timestamp: 2, Echo: 3, AckedPlace: 4, Upstream: &upstream, Free: messenger.Resources{CPU: -5}, UnansweredCalls: 6, ConsecutiveFailedJobs: 7,
		Pace: 0.5, PaceJobs: 3, ConnectedEntries: 2, Leaving: true, RunsComplete: true,
		Forecast: []messenger.Resources{{}, {CPU: 1}}, ReservationNumber: 4,
		Backfill: messenger.Backfill{Resources: messenger.Resources{CPU: 2}, Window: time.Millisecond},
		Runs:     []messenger.Progress{{Run: run, Percent: 41, Age: time.Second}},
		Ended:    []messenger.RunEnd{{Run: run, Reason: messenger.RunDone}},
		Refused:  []messenger.Refusal{{Run: run, Reason: messenger.RefusedNoRoom}},
	}
	b.Send(report)
	reply := messenger.LockReply{Number: 9, Locked: []string{"j"}, Held: []string{"k"}, Ended: []messenger.UnlockedJob{{Job: "l", Outcome: messenger.JobFailed}}, Wanted: []string{"m"}}
	b.Send(reply)
	require.Equal(t, &report, <-ha.received)
	require.Equal(t, &reply, <-ha.received)
	require.Equal(t, toAgent[0], *(<-hb.received).(*messenger.Hello))
	require.Equal(t, toAgent[1], *(<-hb.received).(*messenger.Place))
	require.Equal(t, toAgent[2], *(<-hb.received).(*messenger.Withdraw))
	require.Equal(t, toAgent[3], *(<-hb.received).(*messenger.Reserve))
	require.Equal(t, toAgent[4], *(<-hb.received).(*messenger.Heartbeat))
	require.Equal(t, toAgent[5], *(<-hb.received).(*messenger.LockJobs))
}

func TestLinkClosesForBothWhenOneCloses(t *testing.T) {
	a, b, ha, hb := newLinkPair(t)
	a.Close()
	<-ha.closed
	<-hb.closed
	require.True(t, b.IsClosed())
}

func TestSilentLinkCloses(t *testing.T) {
	_, _, ha, _ := newLinkPair(t)
	select {
	case <-ha.closed:
	case <-time.After(20 * messenger.IdleTimeout):
		t.Fatal("the link is still open without incoming traffic")
	}
}

// TestAClaimedSizeTakesNoMemory guards against messages of which only the length is sent, and
// that take as much memory as they claim.
func TestAClaimedSizeTakesNoMemory(t *testing.T) {
	const links, claimed = 64, 1 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range links {
		near, far := net.Pipe()
		l := messenger.NewLink(near, newInbox())
		t.Cleanup(l.Close)
		_, err := far.Write(append(binary.AppendUvarint([]byte{1}, claimed), 0))
		require.NoError(t, err)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(links*claimed/8))
}

// TestAListOfVeryManyElementsClosesTheLink guards against a message that takes many times its
// size once it is decoded.
func TestAListOfVeryManyElementsClosesTheLink(t *testing.T) {
	const place, elements = 2, 1<<16 + 1
	body := append([]byte{0xa1, 0x05, 0x9a, 0, elements >> 16, elements >> 8 & 0xff, elements & 0xff}, bytes.Repeat([]byte{0xa0}, elements)...)
	near, far := net.Pipe()
	h := newInbox()
	messenger.NewLink(near, h)
	go func() { _, _ = far.Write(append(binary.AppendUvarint([]byte{place}, uint64(len(body))), body...)) }()
	<-h.closed
	require.Empty(t, h.received)
}

func TestInvalidMessageClosesTheLink(t *testing.T) {
	for name, raw := range map[string][]byte{
		"unknown type": {99, 1, 0},
		"too long":     {1, 0xff, 0xff, 0xff, 0xff, 0x0f},
		"not CBOR":     {1, 2, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			accepted, err := listener.Accept()
			require.NoError(t, err)
			h := newInbox()
			messenger.NewLink(accepted, h)
			_, err = conn.Write(raw)
			require.NoError(t, err)
			<-h.closed
			require.Empty(t, h.received)
		})
	}
}

// TestProcessesOfEarlierVersionsFollowEvacuations guards against a data centre that is not
// evacuated while a new version is rolled out.
func TestProcessesOfEarlierVersionsFollowEvacuations(t *testing.T) {
	type earlierHeartbeat struct {
		Timestamp time.Duration `cbor:"1,keyasint,omitempty"`
		Revision  int64         `cbor:"3,keyasint,omitempty"`
		Evacuated []string      `cbor:"4,keyasint,omitempty"`
	}
	raw, err := cbor.Marshal(messenger.Heartbeat{Timestamp: 1, Evacuations: messenger.Evacuations{Revision: 5, DataCentres: []string{"dc"}, Age: 2}})
	require.NoError(t, err)
	var earlier earlierHeartbeat
	require.NoError(t, cbor.Unmarshal(raw, &earlier))
	require.Equal(t, earlierHeartbeat{Timestamp: 1, Revision: 5, Evacuated: []string{"dc"}}, earlier)

	raw, err = cbor.Marshal(earlier)
	require.NoError(t, err)
	var h messenger.Heartbeat
	require.NoError(t, cbor.Unmarshal(raw, &h))
	require.Equal(t, messenger.Evacuations{Revision: 5, DataCentres: []string{"dc"}}, h.Evacuations)
}
