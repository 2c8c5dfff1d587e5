package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/provider"
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

func testTask(index int) courier.StartTask {
	return courier.StartTask{
		Task:     courier.TaskID{Job: "team/job", Index: index},
		Deadline: time.Now().Add(time.Minute),
		Payload:  []byte(`{}`),
	}
}

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

func TestStartAnsweredByARedirectIsNotTakenForOneThatWasNotSent(t *testing.T) {
	elsewhere := "http://" + closedAddress(t)
	r := newTestRunner(t, clockwork.NewRealClock(), func(w http.ResponseWriter, req *http.Request) {
		http.Redirect(w, req, elsewhere, http.StatusFound)
	})
	done := r.run(testTask(0))
	require.False(t, done.notStarted)
	require.Equal(t, courier.Lost, done.record.Outcome)
}
