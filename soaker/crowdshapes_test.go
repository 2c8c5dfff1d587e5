package soaker

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// maxHeadBytes and maxBodyBytes are the limits of a request in the deployment's
	// configuration, in bytes.
	maxHeadBytes = 16_384
	maxBodyBytes = 262_144
	// oversizeHead is the size of a head that is far over the limit, in bytes.
	oversizeHead = 1 << 20
	// pieceBytes is the size of a piece of what is sent piece by piece, and pieceDelay
	// the time between two.
	pieceBytes = 4096
	pieceDelay = 5 * time.Millisecond
	// missingBytes is how much of a body is not sent.
	missingBytes = 100
	// dribbleDelay is the time between two bytes of a request that is kept unfinished.
	dribbleDelay = 300 * time.Millisecond
)

// shape is what each member of a crowd does on its connection. After that it has nothing
// more to send; the connection then stays open. The fields are exported since a crowd's
// process is told them.
type shape struct {
	// Beginning is sent first, with an ID of its own on each connection in place of
	// anyID.
	Beginning []byte
	// PieceBytes is the size of the pieces in which the beginning is sent, with
	// pieceDelay between two; 0 means all at once.
	PieceBytes int
	// Rest is sent again and again after the beginning, with a pause of RestDelay before
	// each time. Nothing is sent again if it is empty.
	Rest      []byte
	RestDelay time.Duration
	// Closes means that the member closes its connection, reconnectDelay after it has
	// sent all.
	Closes bool
	// Deaf means that the members read no answers.
	Deaf bool
}

// anyID stands in a shape for an ID that each connection makes anew. It has the form of one.
const anyID = "fedcba9876543210"

// send does on a connection what the shape says.
func (s shape) send(c net.Conn) {
	rest := s.Beginning
	if bytes.Contains(rest, []byte(anyID)) {
		rest = bytes.ReplaceAll(rest, []byte(anyID), fmt.Appendf(nil, "%016x", rand.Uint64()))
	}
	if s.PieceBytes == 0 {
		s.PieceBytes = len(rest)
	}
	for len(rest) > 0 {
		n := min(len(rest), s.PieceBytes)
		if _, err := c.Write(rest[:n]); err != nil {
			return
		}
		if rest = rest[n:]; len(rest) > 0 {
			time.Sleep(pieceDelay)
		}
	}
	for len(s.Rest) > 0 {
		time.Sleep(s.RestDelay)
		if _, err := c.Write(s.Rest); err != nil {
			return
		}
	}
	if s.Closes {
		time.Sleep(reconnectDelay)
		_ = c.Close()
	}
}

// sending returns the shape that sends some bytes.
func sending(b []byte) shape { return shape{Beginning: b} }

// inPieces returns the shape that sends the same piece by piece.
func inPieces(b []byte) shape { return shape{Beginning: b, PieceBytes: pieceBytes} }

// withoutEnd returns the shape that sends a beginning, and then the rest again and again.
func withoutEnd(beginning, rest []byte) shape {
	return shape{Beginning: beginning, Rest: bytes.Repeat(rest, 1+1<<14/len(rest))}
}

// keptUnfinished returns the shape that sends a beginning, and then one byte after the other.
func keptUnfinished(beginning []byte) shape {
	return shape{Beginning: beginning, Rest: []byte(" "), RestDelay: dribbleDelay}
}

// deaf returns the shape without the reading of answers.
func deaf(s shape) shape {
	s.Deaf = true
	return s
}

// idle sends nothing.
var idle shape

// requestLines returns the first lines of a request's head.
func requestLines(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostName)
}

// headOf returns a head of about the given size that ends with a number of short lines, each
// made by a function from its number. Its last line is not ended.
func headOf(method, path string, size int, line func(i int) string) []byte {
	var b bytes.Buffer
	b.WriteString(requestLines(method, path))
	for i := 0; b.Len() < size-10; i++ {
		b.WriteString(line(i))
	}
	return b.Bytes()
}

func anotherName(i int) string { return fmt.Sprintf("a%x:\r\n", i) }
func sameName(int) string      { return "a:b\r\n" }

// ended returns a head with its end.
func ended(head []byte) []byte { return append(head, "\r\n"...) }

// withBody returns a request for a job with a length of its body and what is sent of it.
func withBody(path string, length int, body []byte) []byte {
	return fmt.Appendf(nil, "%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", requestLines("POST", path), length, body)
}

// jobPath returns the path of a new job.
func jobPath() string { return fmt.Sprintf("%s%016x", pathPrefix, rand.Uint64()) }

// unfinishedBody returns a request whose body lacks its last bytes.
func unfinishedBody(path string, length int) []byte {
	const beginning = `{"best_effort":true,"spec":"`
	return withBody(path, length, []byte(beginning+strings.Repeat("a", length-len(beginning)-missingBytes)))
}

// bodyOfParts returns a body of a length that is a list of very many empty objects.
func bodyOfParts(beginning, end string, length int) []byte {
	n := (length - len(beginning) - len(end) - 2) / len("{},")
	body := beginning + strings.Repeat("{},", n) + "{}" + end
	return []byte(body + strings.Repeat(" ", length-len(body)))
}

// jobOfParts returns a request for a job of very many steps.
func jobOfParts() []byte {
	return withBody(pathPrefix+anyID, maxBodyBytes, bodyOfParts(`{"best_effort":true,"spec":"","steps":[`, "]}", maxBodyBytes))
}

// jobRequest returns a whole request for a new job of one step, whose caller waits for a minute.
func jobRequest(count, cpu, estimateMillis int) []byte {
	body := fmt.Sprintf(`{"best_effort":true,"spec":"spec","steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`, count, cpu, estimateMillis)
	return fmt.Appendf(nil, "%sDeadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", requestLines("POST", pathPrefix+anyID), len(body), body)
}

// frame returns the beginning of a message of a link between an entry and an agent: its
// type, its length and what is sent of it.
func frame(messageType byte, length int, body []byte) []byte {
	out := binary.AppendUvarint([]byte{messageType}, uint64(length))
	return append(out, body...)
}
