// Package courier transports typed messages between the processes of the system.
// Messages are sent as JSON-RPC notifications over one TCP connection, a Link. A Link
// delivers in order and at most once. When the connection fails, or nothing arrives for
// longer than IdleTimeout, the Link closes for good, and the process that dialled it opens
// a new one. The package belongs to the deployment described by a settings file,
// whose processes are packages receiver and agent; package messenger uses its Sender
// and TimeoutConn.
package courier

import (
	"context"
	"encoding/json"
	"net"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// IdleTimeout is the time without an incoming message after which a link is closed.
	// Both sides send several heartbeats in this time.
	IdleTimeout = 1500 * time.Millisecond
	// DialTimeout limits the time to open a link.
	DialTimeout = 500 * time.Millisecond
	// OutboxSize is the maximum number of messages queued for a slow receiver; the link
	// is closed when it is exceeded.
	OutboxSize = 8192
)

// Handler receives the messages of a link. Its methods are called from one goroutine of
// the link, in order.
type Handler interface {
	// Receive handles one message, a pointer to a message type of this package.
	Receive(l *Link, msg any)
	// Closed is called once, after the last Receive.
	Closed(l *Link)
}

// messageTypes maps the method name of a notification to its message type.
var messageTypes = typesByName(
	Announce{}, AnnounceReply{}, Claim{}, ClaimReply{}, Superseded{}, Start{},
	Refuse{}, Finished{}, Acked{}, Demand{}, Offer{}, Decline{}, Stop{},
	Forbid{}, Forbidden{}, PeerHello{}, Relay{}, RelayReply{}, RelayLeave{}, RelayQuery{},
)

func typesByName(values ...any) map[string]reflect.Type {
	m := make(map[string]reflect.Type, len(values))
	for _, v := range values {
		t := reflect.TypeOf(v)
		m[t.Name()] = t
	}
	return m
}

// Link is one connection to another process.
type Link struct {
	*Sender
	conn    *jsonrpc2.Conn
	handler Handler
}

// NewLink starts a link over socket. Closing the link closes socket.
func NewLink(ctx context.Context, socket net.Conn, h Handler) *Link {
	l := &Link{handler: h}
	l.Sender = NewSender(func() {
		_ = socket.Close()
		_ = l.conn.Close()
	})
	ready := make(chan struct{})
	var read codec
	read.accounted, _ = socket.(accounted)
	stream := jsonrpc2.NewBufferedStream(TimeoutConn{Conn: socket, Timeout: IdleTimeout}, read)
	receive := func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
		<-ready
		l.receive(r)
	}
	l.conn = jsonrpc2.NewConn(ctx, stream, handlerFunc(receive), jsonrpc2.SetLogger(discardLogger{}))
	close(ready)
	go l.writeLoop(ctx)
	go l.awaitDisconnect()
	return l
}

// Dial opens a link to addr.
func Dial(ctx context.Context, addr string, h Handler) (*Link, error) {
	d := net.Dialer{Timeout: DialTimeout}
	socket, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return NewLink(ctx, socket, h), nil
}

func (l *Link) writeLoop(ctx context.Context) {
	for {
		list, ok := l.NextBatch()
		if !ok {
			return
		}
		for _, msg := range list {
			if err := l.notify(ctx, msg); err != nil {
				l.Close()
				return
			}
		}
	}
}

// notify sends msg as a JSON string, since the JSON-RPC library reorders the keys of
// objects in params, and payloads have to arrive unchanged.
func (l *Link) notify(ctx context.Context, msg any) error {
	var raw strings.Builder
	e := json.NewEncoder(&raw)
	e.SetEscapeHTML(false)
	if err := e.Encode(msg); err != nil {
		return err
	}
	return l.conn.Notify(ctx, reflect.TypeOf(msg).Name(), raw.String())
}

func (l *Link) awaitDisconnect() {
	<-l.conn.DisconnectNotify()
	l.Close()
	l.handler.Closed(l)
}

func (l *Link) receive(r *jsonrpc2.Request) {
	t, ok := messageTypes[r.Method]
	if !ok || r.Params == nil {
		return
	}
	msg := reflect.New(t).Interface()
	if err := decode(*r.Params, msg); err != nil {
		l.Close()
		return
	}
	l.handler.Receive(l, msg)
}

func decode(params json.RawMessage, msg any) error {
	var raw string
	if err := json.Unmarshal(params, &raw); err != nil {
		return err
	}
	return json.Unmarshal([]byte(raw), msg)
}

type handlerFunc func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) { f(ctx, c, r) }

// discardLogger discards the library's messages about closed connections.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
