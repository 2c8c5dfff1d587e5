package messenger

import (
	"bufio"
	"bytes"
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
	// dialTimeout bounds the time to open a link. A machine without power never
	// answers; the farthest machine answers within 50 ms.
	dialTimeout = 120 * time.Millisecond
	// maxMessageBytes is the maximum size of one message, in bytes.
	maxMessageBytes = 1 << 20
	// maxListElements bounds each list in a message. A message of the greatest size has no
	// room for as many elements as are sent.
	maxListElements = 1 << 16
)

// messageTypes lists the message types; the index of a type is its number on the wire.
var messageTypes = []reflect.Type{
	reflect.TypeFor[Hello](),
	reflect.TypeFor[Heartbeat](),
	reflect.TypeFor[Place](),
	reflect.TypeFor[Withdraw](),
	reflect.TypeFor[Report](),
	reflect.TypeFor[Reserve](),
	reflect.TypeFor[LockJobs](),
	reflect.TypeFor[LockReply](),
	reflect.TypeFor[WitnessList](),
}

// Handler receives the messages of a link. Its methods are called from one goroutine of
// the link, in order.
type Handler interface {
	// Receive handles one message, a pointer to a message type of this package.
	Receive(l *Link, msg any)
	// Closed is called once, after the last Receive.
	Closed(l *Link)
}

// Link is one connection between an entry and an agent. Messages are encoded in CBOR,
// each preceded by its type and length; all queued messages go out in one write.
// Delivery is in order and at most once. A link that breaks, or on which nothing
// arrives for longer than IdleTimeout, closes for good, and undelivered messages are
// dropped.
type Link struct {
	*courier.Sender
	conn    courier.TimeoutConn
	handler Handler
	// accounted is nil if nobody accounts for what the connection holds.
	accounted accounted
}

// accounted is a connection whose owner accounts for the memory that messages take.
type accounted interface {
	// Exclusively calls a function while no other connection of the owner does: decoded, a
	// message may take many times its size.
	Exclusively(decode func())
	// FinishMessage is called when a message has been handled.
	FinishMessage()
}

// NewLink starts a link over conn. The link closes conn when it ends.
func NewLink(conn net.Conn, h Handler) *Link {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// Data still in flight when a link is closed must not arrive later.
		_ = tcp.SetLinger(0)
	}
	l := &Link{
		Sender:  courier.NewSender(func() { _ = conn.Close() }),
		conn:    courier.TimeoutConn{Conn: conn, Timeout: IdleTimeout},
		handler: h,
	}
	l.accounted, _ = conn.(accounted)
	go l.write()
	go l.read()
	return l
}

// Dial opens a link to addr.
func Dial(ctx context.Context, addr string, h Handler) (*Link, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return NewLink(conn, h), nil
}

func (l *Link) write() {
	defer l.Close()
	var batch []byte
	for {
		messages, ok := l.NextBatch()
		if !ok {
			return
		}
		batch = batch[:0]
		for _, msg := range messages {
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
	exclusively := func(decode func()) { decode() }
	if l.accounted != nil {
		exclusively = l.accounted.Exclusively
	}
	for {
		msg, err := readMessage(in, exclusively)
		if err != nil {
			return
		}
		l.handler.Receive(l, msg)
		if l.accounted != nil {
			l.accounted.FinishMessage()
		}
	}
}

// appendMessage appends the wire encoding of msg to buf.
func appendMessage(buf []byte, msg any) ([]byte, error) {
	number := -1
	for i, t := range messageTypes {
		if t == reflect.TypeOf(msg) {
			number = i
		}
	}
	if number < 0 {
		return buf, errors.Errorf("%T is not a message type", msg)
	}
	body, err := cbor.Marshal(msg)
	if err != nil {
		return buf, errors.Wrapf(err, "encode %T", msg)
	}
	buf = append(buf, byte(number))
	buf = binary.AppendUvarint(buf, uint64(len(body)))
	return append(buf, body...), nil
}

// readMessage reads one message and returns a pointer to it. It calls exclusively to decode
// the message.
func readMessage(r *bufio.Reader, exclusively func(decode func())) (any, error) {
	number, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if int(number) >= len(messageTypes) || size > maxMessageBytes {
		return nil, errors.Errorf("invalid message header: type %d, %d bytes", number, size)
	}
	// The buffer grows with what arrives, not with the size that is claimed.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return nil, err
	}
	msg := reflect.New(messageTypes[number]).Interface()
	var decodeErr error
	exclusively(func() { decodeErr = decoder.Unmarshal(body.Bytes(), msg) })
	if decodeErr != nil {
		return nil, errors.Wrapf(decodeErr, "decode %s", messageTypes[number].Name())
	}
	return msg, nil
}

// decoder decodes messages.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxListElements}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}
