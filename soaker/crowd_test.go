package soaker

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

const (
	// crowdTime is how long a crowd stays at the least.
	crowdTime = 3 * time.Second
	// serveTimeout is how long an ordinary caller goes on trying.
	serveTimeout = 30 * time.Second
	// reconnectDelay is the time after which a member whose connection was closed opens
	// another one.
	reconnectDelay = 50 * time.Millisecond
	// sampleInterval is the time between two looks at a process.
	sampleInterval = 50 * time.Millisecond
	// megabyte is the unit of memory in the platform's settings, in bytes.
	megabyte = 1_000_000
	// abortMemory is the memory of a process at which its crowd is ended early, in bytes, so
	// that a failure does not take the whole machine with it.
	abortMemory = 3_000 * megabyte
)

// crowd is a process of its own, this test program once more, that keeps a set of
// connections open which all do the same. In the process of the test, hundreds of members
// that never pause would keep the stand-ins of store and workers from answering in time.
type crowd struct {
	t   *testing.T
	cmd *exec.Cmd
	// orders is the crowd's standard input. The crowd ends when it is closed, so that
	// it does not outlive the test.
	orders io.WriteCloser
}

// crowdVariable is the environment variable that makes the test program a crowd.
const crowdVariable = "POMELOFERRY_SOAKER_CROWD"

// crowdOrders is what a crowd is told on its standard input.
type crowdOrders struct {
	Address string
	Members int
	Shape   shape
}

// startCrowd starts a process that opens a number of connections to an address. A member
// whose connection is closed opens another one, until the crowd is ended.
func startCrowd(t *testing.T, address string, members int, s shape) *crowd {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), crowdVariable+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	require.NoError(t, gob.NewEncoder(in).Encode(crowdOrders{address, members, s}))
	_, err = io.ReadFull(out, make([]byte, len(crowdHasCome)))
	require.NoError(t, err, "the crowd did not start")
	return &crowd{t: t, cmd: cmd, orders: in}
}

// end ends the process and with it all connections.
func (c *crowd) end() {
	c.t.Helper()
	require.NoError(c.t, c.orders.Close())
	require.NoError(c.t, c.cmd.Wait(), "the crowd ended early")
}

// crowdHasCome is what a crowd writes to its standard output once its members begin.
const crowdHasCome = "here\n"

// beCrowd is the main function of a crowd's process.
func beCrowd() error {
	var orders crowdOrders
	if err := gob.NewDecoder(os.Stdin).Decode(&orders); err != nil {
		return errors.Wrap(err, "read a crowd's orders")
	}
	for range orders.Members {
		go func() {
			for {
				orders.Shape.attend(orders.Address)
				time.Sleep(reconnectDelay)
			}
		}()
	}
	if _, err := os.Stdout.WriteString(crowdHasCome); err != nil {
		return errors.Wrap(err, "say that the crowd has come")
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// attend keeps one connection open until the other side closes it.
func (s shape) attend(address string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	if s.Deaf {
		s.send(c)
		select {}
	}
	go s.send(c)
	_, _ = io.Copy(io.Discard, c)
}

// target is a process that a crowd is sent to, with what it may hold of its machine.
type target struct {
	pid func() int
	// address is where the crowd connects.
	address string
	// memory is the limit of its memory, in bytes, and descriptors that of its
	// descriptors.
	memory      int64
	descriptors int
	// serves sends one ordinary request to the system and reports whether it was served.
	serves func() bool
}

// withstands sends a crowd to a process. It requires that the process lives and stays
// within its limits, and that an ordinary request is served while the crowd is there,
// unless it takes the workers' room, and afterwards.
func (g target) withstands(t *testing.T, members int, s shape, takesRoom bool) {
	t.Helper()
	pid := g.pid()
	w := startWatcher(pid, g.address)
	c := startCrowd(t, g.address, members, s)
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && w.memory("VmRSS:") < abortMemory; {
		time.Sleep(sampleInterval)
	}
	during := takesRoom || (w.memory("VmRSS:") < abortMemory && g.servesOne())
	c.end()
	afterwards := g.servesOne()
	peak := w.end()
	t.Logf("at its peak %.1f MB in memory, %.1f MB with what its sockets hold, %d descriptors; served while the crowd was there: %t, afterwards: %t",
		float64(peak.memory)/megabyte, float64(peak.total)/megabyte, peak.descriptors, during, afterwards)
	require.Equal(t, pid, g.pid(), "the process has ended")
	require.LessOrEqual(t, peak.memory, g.memory, "memory, in bytes")
	require.LessOrEqual(t, peak.total, g.memory, "memory and unread bytes, in bytes")
	require.LessOrEqual(t, peak.descriptors, g.descriptors, "descriptors")
	require.True(t, during, "no ordinary request was served while the crowd was there")
	require.True(t, afterwards, "no ordinary request was served after the crowd had left")
}

// servesOne reports whether an ordinary request is served within serveTimeout.
func (g target) servesOne() bool {
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); {
		if g.serves() {
			return true
		}
		time.Sleep(sampleInterval)
	}
	return false
}

// footprint is what a process holds of its machine.
type footprint struct {
	// memory is its resident memory, and total that with the bytes that its sockets
	// hold, both in bytes.
	memory, total int64
	descriptors   int
}

// watcher looks at a process again and again and keeps the peaks.
type watcher struct {
	pid  int
	port string
	stop chan struct{}
	done chan struct{}
	peak footprint
}

// startWatcher watches a process and the sockets at an address of its own.
func startWatcher(pid int, address string) *watcher {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	w := &watcher{pid: pid, port: fmt.Sprintf("%04X", n), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *watcher) run() {
	defer close(w.done)
	for {
		memory := w.memory("VmRSS:")
		w.peak.memory = max(w.peak.memory, w.memory("VmHWM:"))
		w.peak.total = max(w.peak.total, memory+w.queued())
		w.peak.descriptors = max(w.peak.descriptors, w.descriptors())
		select {
		case <-w.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// end returns the peaks.
func (w *watcher) end() footprint {
	close(w.stop)
	<-w.done
	return w.peak
}

// memory returns a line of the kernel's account of the process's memory, in bytes, or 0
// if the process has ended.
func (w *watcher) memory(line string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), line)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// descriptors returns the number of open descriptors of the process.
func (w *watcher) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// queued returns the bytes that wait in the sockets at the address: received and not yet
// read, and written and not yet taken by the other side.
func (w *watcher) queued() int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	var sum int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		// The fields are the number, the local and the other address, the state, and
		// the bytes to be sent and to be read.
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], ":"+w.port) || fields[3] == listening {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		sum += parseHex(sent) + parseHex(received)
	}
	return sum
}

// listening is the state of a socket that accepts connections, in /proc/net/tcp.
const listening = "0A"

func parseHex(s string) int64 {
	n, _ := strconv.ParseInt(s, 16, 64)
	return n
}
