package announcer_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/announcer"
)

// startFront serves a handler on loopback until the test ends. It returns the server, its
// address and a channel with the result of Serve.
func startFront(t *testing.T, h http.HandlerFunc) (*announcer.GracefulServer, string, chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := announcer.NewGracefulServer(clockwork.NewRealClock(), &http.Server{Handler: h, ReadHeaderTimeout: time.Second}, l)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		f.Close()
	})
	return f, l.Addr().String(), served
}

// ask sends a request on an open connection and returns the status of the response, or
// the error if the connection ends without a response.
func ask(c net.Conn) (int, error) {
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: front\r\n\r\n")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func TestRequestOnAnOpenConnectionIsAnsweredAfterTheStopHasBegun(t *testing.T) {
	f, addr, _ := startFront(t, func(http.ResponseWriter, *http.Request) {})
	used, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer used.Close()
	status, err := ask(used)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	fresh, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer fresh.Close()
	drained := make(chan int, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, time.Second, time.Millisecond, "the server still accepts connections")
	status, err = ask(fresh)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	_, err = ask(used)
	require.Error(t, err, "an idle connection is closed, so that it carries no late request")
	require.Zero(t, <-drained)
}

func TestDrainWaitsForRequestsInProgressAndNotForUnusedConnections(t *testing.T) {
	began, proceed := make(chan bool), make(chan bool)
	f, addr, served := startFront(t, func(http.ResponseWriter, *http.Request) {
		began <- true
		<-proceed
	})
	unused, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer unused.Close()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := ask(c)
		answered <- err
	}()
	<-began
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	require.Equal(t, 1, f.Drain(short), "the end of the context ends the wait")
	require.Empty(t, served, "Serve returns before the end of its context")
	close(proceed)
	require.NoError(t, <-answered)
	require.Zero(t, f.Drain(context.Background()))
}
