package server_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/server"
)

// startServer serves a handler on loopback until the test ends. It returns the server,
// its address and a channel with the result of Serve.
func startServer(t *testing.T, h http.HandlerFunc) (*server.GracefulServer, string, chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := server.NewGracefulServer(clockwork.NewRealClock(), &http.Server{Handler: h, ReadHeaderTimeout: time.Second}, l)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- g.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Close()
	})
	return g, l.Addr().String(), served
}

// sendRequest sends a request on an open connection and returns the status of the
// response, or the error if the connection ends without a response.
func sendRequest(c net.Conn) (int, error) {
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
	g, addr, _ := startServer(t, func(http.ResponseWriter, *http.Request) {})
	usedConn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer usedConn.Close()
	status, err := sendRequest(usedConn)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	newConn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer newConn.Close()
	drained := make(chan int, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, time.Second, time.Millisecond, "the server still accepts connections")
	status, err = sendRequest(newConn)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	_, err = sendRequest(usedConn)
	require.Error(t, err, "an idle connection is closed, so that it carries no late request")
	require.Zero(t, <-drained)
}

func TestDrainWaitsForRequestsInProgressAndNotForUnusedConnections(t *testing.T) {
	started, proceed := make(chan bool), make(chan bool)
	g, addr, served := startServer(t, func(http.ResponseWriter, *http.Request) {
		started <- true
		<-proceed
	})
	unusedConn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer unusedConn.Close()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := sendRequest(c)
		answered <- err
	}()
	<-started
	shortCtx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	require.Equal(t, 1, g.Drain(shortCtx), "the end of the context ends the wait")
	require.Empty(t, served, "Serve returns before the end of its context")
	close(proceed)
	require.NoError(t, <-answered)
	require.Zero(t, g.Drain(context.Background()))
}
