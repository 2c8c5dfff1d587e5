package server_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/server"
)

func TestPeerClosedReportsACallerThatHasDisconnected(t *testing.T) {
	tests := []struct {
		name       string
		disconnect func(t *testing.T, c *net.TCPConn)
		closed     bool
	}{
		{"waits", func(*testing.T, *net.TCPConn) {}, false},
		{"closed", func(t *testing.T, c *net.TCPConn) { require.NoError(t, c.Close()) }, true},
		{"reset", func(t *testing.T, c *net.TCPConn) {
			require.NoError(t, c.SetLinger(0))
			require.NoError(t, c.Close())
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			arrived, proceed, closed := make(chan bool), make(chan bool), make(chan bool, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := &http.Server{
				ReadHeaderTimeout: time.Second,
				ConnContext:       limiter.ContextWithConn,
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					arrived <- true
					<-proceed
					closed <- server.PeerClosed(r.Context())
				}),
			}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: front\r\nContent-Length: 0\r\n\r\n"))
			require.NoError(t, err)
			<-arrived
			tt.disconnect(t, c.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond) // Time for the packet to cross loopback.
			close(proceed)
			require.Equal(t, tt.closed, <-closed)
		})
	}
}
