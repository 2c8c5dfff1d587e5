package courier

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the maximum size of one message, in bytes: a submission of the greatest
// size, of which each byte may be escaped in six.
const maxMessageBytes = 32 << 20

// accounted is a connection whose owner accounts for the memory that messages take.
type accounted interface {
	// FinishMessage is called when a message has been read.
	FinishMessage()
}

// codec is that of the library, but bounds the size of what it reads.
type codec struct {
	jsonrpc2.VarintObjectCodec
	// accounted is nil if nobody accounts for what the connection holds.
	accounted accounted
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return errors.Errorf("a message of %d bytes, more than %d", size, maxMessageBytes)
	}
	// The buffer grows with what arrives, not with the size that is claimed.
	var raw bytes.Buffer
	if _, err := io.CopyN(&raw, stream, int64(size)); err != nil {
		return err
	}
	if err := json.Unmarshal(raw.Bytes(), v); err != nil {
		return err
	}
	if c.accounted != nil {
		c.accounted.FinishMessage()
	}
	return nil
}
