package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/courier"
)

const (
	// dialTimeout bounds the opening of a link. A machine without power leaves
	// it unanswered; the farthest one answers within 50 ms.
	dialTimeout = 120 * time.Millisecond
	// maxMessageBytes bounds one message, in bytes.
	maxMessageBytes = 1 << 20
)

// messageTypes are the message types; the index of a type is its number on the wire.
var messageTypes = []reflect.Type{
	reflect.TypeFor[Hello](),
	reflect.TypeFor[Heartbeat](),
	reflect.TypeFor[Place](),
	reflect.TypeFor[Withdraw](),
	reflect.TypeFor[Report](),
	reflect.TypeFor[Reserve](),
}

// Handler receives what arrives on a link. Its methods are called from one
// goroutine of the link, in order.
type Handler interface {
	// Receive takes one message, a pointer to a type of this package.
	Receive(l *Link, msg any)
	// Closed is called once, after the last Receive.
	Closed(l *Link)
}

// Link is one connection between an entry and an agent. It carries messages in
// CBOR, each after its type and length; all that is queued goes out in one
// write. It delivers in order and at most once. When it breaks, or stays silent
// for longer than IdleTimeout, it closes for good, and what was not delivered
// is dropped.
type Link struct {
	*courier.Sender
	conn    courier.TimeoutConn
	handler Handler
}

// NewLink starts a link over socket. The link closes socket in the end.
func NewLink(socket net.Conn, h Handler) *Link {
	if tcp, ok := socket.(*net.TCPConn); ok {
		// What is on its way when a link is given up must not arrive later.
		_ = tcp.SetLinger(0)
	}
	l := &Link{
		Sender:  courier.NewSender(func() { _ = socket.Close() }),
		conn:    courier.TimeoutConn{Conn: socket, Timeout: IdleTimeout},
		handler: h,
	}
	go l.write()
	go l.read()
	return l
}

// Dial opens a link to addr.
func Dial(ctx context.Context, addr string, h Handler) (*Link, error) {
	d := net.Dialer{Timeout: dialTimeout}
	socket, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return NewLink(socket, h), nil
}

func (l *Link) write() {
	defer l.Close()
	var batch []byte
	for {
		list, ok := l.NextBatch()
		if !ok {
			return
		}
		batch = batch[:0]
		for _, msg := range list {
			var err error
			if batch, err = appendMessage(batch, msg); err != nil {
				return
			}
		}
		if _, err := l.conn.Write(batch); err != nil {
			return
		}
	}
}

func (l *Link) read() {
	defer l.handler.Closed(l)
	defer l.Close()
	in := bufio.NewReader(l.conn)
	for {
		msg, err := readMessage(in)
		if err != nil {
			return
		}
		l.handler.Receive(l, msg)
	}
}

// appendMessage appends msg as it goes over the wire.
func appendMessage(out []byte, msg any) ([]byte, error) {
	number := -1
	for i, t := range messageTypes {
		if t == reflect.TypeOf(msg) {
			number = i
		}
	}
	if number < 0 {
		return out, errors.Errorf("%T is no message", msg)
	}
	body, err := cbor.Marshal(msg)
	if err != nil {
		return out, errors.Wrapf(err, "encode %T", msg)
	}
	out = append(out, byte(number))
	out = binary.AppendUvarint(out, uint64(len(body)))
	return append(out, body...), nil
}

// readMessage reads one message and returns a pointer to it.
func readMessage(in *bufio.Reader) (any, error) {
	number, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	size, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, err
	}
	if int(number) >= len(messageTypes) || size > maxMessageBytes {
		return nil, errors.Errorf("message of type %d and %d bytes", number, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	msg := reflect.New(messageTypes[number]).Interface()
	if err := cbor.Unmarshal(body, msg); err != nil {
		return nil, errors.Wrapf(err, "decode %s", messageTypes[number].Name())
	}
	return msg, nil
}
