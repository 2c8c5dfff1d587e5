package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/starter"
)

// newTestRunner returns a runner that reaches h over one connection.
func newTestRunner(t *testing.T, clock clockwork.Clock, h http.HandlerFunc) *runner {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	r := newRunner(provider.NewDeps(io.Discard).WithClock(clock), func(any) {})
	r.setUpstream(s.Listener.Addr().String(), 1)
	return r
}

func testRun(now time.Time, index int) starter.Run {
	return starter.Run{
		Task: courier.StartTask{
			Task:     courier.TaskID{Job: "team/job", Index: index},
			Deadline: now.Add(time.Minute),
			Payload:  []byte(`{}`),
		},
		ExpiresAt: now.Add(starter.FreshnessLimit),
	}
}

// closedAddress returns an address on which no process listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// A redirect to a closed port must not count as a failed dial: the upstream that answered
// with it may have started the task.
func TestStartAnsweredByARedirectIsNotTakenForOneThatWasNotSent(t *testing.T) {
	redirectURL := "http://" + closedAddress(t)
	r := newTestRunner(t, clockwork.NewRealClock(), func(w http.ResponseWriter, req *http.Request) {
		http.Redirect(w, req, redirectURL, http.StatusFound)
	})
	done := r.run(testRun(time.Now(), 0))
	require.False(t, done.notStarted)
	require.Equal(t, courier.Lost, done.record.Outcome)
}

// A call that waits for the only connection until it has expired must not reach the
// upstream's handler.
func TestStartThatWaitedForAConnectionExpires(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	var started atomic.Int64
	entered, leave := make(chan struct{}), make(chan struct{})
	r := newTestRunner(t, clock, func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if started.Add(1) == 1 {
			close(entered)
			<-leave
		}
		_, _ = io.WriteString(w, `{"Result":1}`)
	})
	first, second := make(chan taskDone, 1), make(chan taskDone, 1)
	go func() { first <- r.run(testRun(clock.Now(), 0)) }()
	<-entered
	late := testRun(clock.Now(), 1)
	go func() { second <- r.run(late) }()
	clock.Advance(starter.FreshnessLimit)
	close(leave)
	require.Equal(t, courier.Succeeded, (<-first).record.Outcome)
	require.True(t, (<-second).notStarted)
	require.EqualValues(t, 1, started.Load())
}
