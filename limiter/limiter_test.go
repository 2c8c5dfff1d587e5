package limiter

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/provider"
)

// pipe is a listener of connections that a test opens, all within the process.
type pipe struct {
	net.Listener
	opened chan net.Conn
}

func (p pipe) Accept() (net.Conn, error) {
	c, ok := <-p.opened
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// fixture is a pool whose connections a test opens.
type fixture struct {
	t     *testing.T
	pool  *Pool
	in    pipe
	l     net.Listener
	clock *clockwork.FakeClock
}

func newFixture(t *testing.T, cfg Config) *fixture {
	cfg.Name = t.Name()
	cfg.Price = Price{HeadByte: 1, BodyByte: 1}
	f := &fixture{t: t, in: pipe{opened: make(chan net.Conn, 1)}, clock: clockwork.NewFakeClock()}
	f.pool = NewPool(provider.NewDeps(io.Discard).WithClock(f.clock), cfg)
	f.l = f.pool.Listener(f.in)
	return f
}

// open opens a connection and returns its two ends. A connection that is evicted ends at once.
func (f *fixture) open() (*Conn, net.Conn) {
	near, far := net.Pipe()
	f.t.Cleanup(func() { _ = far.Close() })
	f.clock.Advance(time.Millisecond)
	f.in.opened <- near
	c, err := f.l.Accept()
	require.NoError(f.t, err)
	conn := c.(*Conn)
	conn.Conn = &endsWhenClosed{Conn: near, conn: conn}
	return conn, far
}

// endsWhenClosed is a connection whose server notices its end.
type endsWhenClosed struct {
	net.Conn
	conn *Conn
	once sync.Once
}

func (c *endsWhenClosed) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { go c.conn.Close() })
	return err
}

// receive sends bytes to a connection and returns the error of its reader.
func (f *fixture) receive(c *Conn, far net.Conn, n int) error {
	go func() { _, _ = far.Write(make([]byte, n)) }()
	_, err := io.ReadFull(c, make([]byte, n))
	return err
}

func (f *fixture) requireOpen(open bool, c *Conn) {
	f.t.Helper()
	require.Equal(f.t, !open, c.isEvicted())
}

// room is room for a number of connections and bytes beside what is left for those that are
// being closed.
func room(conns int, bytes int64) int64 {
	open := int64(conns)*ConnBytes + bytes
	return open*closingShare/(closingShare-1) + closingShare
}

func TestTheLongestUnfinishedRequestMakesWayForOneThatHasJustCome(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(3, 2000)})
	oldest, farOldest := f.open()
	older, farOlder := f.open()
	newest, farNewest := f.open()
	require.NoError(t, f.receive(oldest, farOldest, 1000))
	require.NoError(t, f.receive(older, farOlder, 900))
	// Progress does not make a request younger.
	require.NoError(t, f.receive(oldest, farOldest, 50))
	require.NoError(t, f.receive(newest, farNewest, 500))
	f.requireOpen(false, oldest)
	f.requireOpen(true, older)
	f.requireOpen(true, newest)
}

func TestIdleConnectionsMakeWayBeforeUnfinishedRequests(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(3, 2000)})
	unfinished, farUnfinished := f.open()
	require.NoError(t, f.receive(unfinished, farUnfinished, 1500))
	idle, _ := f.open()
	f.clock.Advance(minIdleTime)
	newest, farNewest := f.open()
	require.NoError(t, f.receive(newest, farNewest, 1500))
	f.requireOpen(false, idle)
	f.requireOpen(true, unfinished)
}

// TestANewConnectionIsNotTakenForAnIdleOne guards against a caller who never gets to send a
// request, since a crowd's requests take the place of each connection that has just opened.
func TestANewConnectionIsNotTakenForAnIdleOne(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(3, 2000)})
	unfinished, farUnfinished := f.open()
	require.NoError(t, f.receive(unfinished, farUnfinished, 1500))
	opened, _ := f.open()
	newest, farNewest := f.open()
	require.NoError(t, f.receive(newest, farNewest, 1500))
	f.requireOpen(true, opened)
	f.requireOpen(false, unfinished)
}

func TestARequestInProgressIsNotCutOff(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(2, 2000)})
	busy, farBusy := f.open()
	require.NoError(t, f.receive(busy, farBusy, 1500))
	busy.finishBody()
	newest, farNewest := f.open()
	err := f.receive(newest, farNewest, 1500)
	var e *Error
	require.True(t, errors.As(err, &e))
	require.Equal(t, Full, e.Kind)
	f.requireOpen(true, busy)
	busy.finishRequest()
	require.NoError(t, f.receive(newest, farNewest, 1500), "there is room again")
}

func TestARequestThatCannotFitEvictsNobody(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(2, 2000)})
	other, farOther := f.open()
	require.NoError(t, f.receive(other, farOther, 100))
	c, _ := f.open()
	require.Error(t, c.hold(1<<30))
	f.requireOpen(true, other)
}

func TestAPeerThatDoesNotReadMakesWay(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(2, 2000)})
	deaf, farDeaf := f.open()
	require.NoError(t, f.receive(deaf, farDeaf, 1500))
	deaf.finishBody()
	go func() { _, _ = deaf.Write(make([]byte, 10)) }()
	require.Eventually(t, func() bool {
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		return deaf.writing
	}, time.Second, time.Millisecond)
	newest, farNewest := f.open()
	require.NoError(t, f.receive(newest, farNewest, 1500))
	f.requireOpen(false, deaf)
}

func TestAnIdleConnectionMakesWayForANewOne(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 8, MaxBytes: room(100, 0)})
	var conns []*Conn
	for range 8 {
		c, _ := f.open()
		conns = append(conns, c)
	}
	f.requireOpen(false, conns[0])
	f.requireOpen(true, conns[1])
	f.requireOpen(true, conns[7])
}

func TestANewConnectionIsClosedIfAllOthersAreBusy(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 1, MaxBytes: room(100, 0)})
	busy, _ := f.open()
	busy.finishBody()
	near, far := net.Pipe()
	f.in.opened <- near
	close(f.in.opened)
	_, err := f.l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	f.requireOpen(true, busy)
}

func TestAnEstablishedLinkIsNotEvictedBetweenMessages(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 2, MaxBytes: room(100, 0)})
	link, farLink := f.open()
	require.NoError(t, f.receive(link, farLink, 10))
	link.FinishMessage()
	silent, _ := f.open()
	_, _ = f.open()
	f.requireOpen(true, link)
	f.requireOpen(false, silent)
}

// TestHeadersReadWithTheRequestBeforeAreCharged guards against a head that is sent with the
// request before it and counts for nothing.
func TestHeadersReadWithTheRequestBeforeAreCharged(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(2, 10_000)})
	c, far := f.open()
	require.NoError(t, f.receive(c, far, 3000))
	c.finishHead()
	c.finishRequest()
	require.Equal(t, int64(ConnBytes+3000), f.pool.usage().held)
}

func TestAHeadOverTheLimitIsAnswered(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 100, MaxBytes: room(2, 1<<20), MaxHeadBytes: func() int64 { return 1000 }})
	c, far := f.open()
	go func() { _, _ = far.Write(make([]byte, 1000+readAheadBytes+1)) }()
	answer := make(chan string)
	go func() {
		b := make([]byte, len(refusedTooLarge))
		_, _ = io.ReadFull(far, b)
		answer <- string(b)
	}()
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "for a server the connection has just ended")
	require.Equal(t, refusedTooLarge, <-answer)
}

func TestShortHeadersCostMoreThanTheirBytes(t *testing.T) {
	p := RequestPrice()
	require.Equal(t, 2*p.HeadLine+8*p.HeadByte, p.of([]byte("a:\r\nb:\r\n"), false))
	require.Equal(t, 8*p.BodyByte, p.of([]byte("a:\r\nb:\r\n"), true))
}

// TestAPoolStaysWithinItsBounds guards against an order of events after which what the
// connections take is not counted, or counted twice.
func TestAPoolStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, Config{MaxConns: 9, MaxBytes: room(6, 3000)})
		var conns []*Conn
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if len(conns) == 0 || rapid.IntRange(0, 3).Draw(rt, "open") == 0 {
				c, _ := f.open()
				conns = append(conns, c)
			}
			c := conns[rapid.IntRange(0, len(conns)-1).Draw(rt, "conn")]
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1, 2:
				_ = c.received(make([]byte, rapid.IntRange(1, 2000).Draw(rt, "bytes")))
			case 3:
				c.finishHead()
			case 4:
				if f.busy() < 3 {
					c.finishBody()
				}
			case 5:
				c.setWriting(rapid.Bool().Draw(rt, "writing"))
			case 6:
				c.finishRequest()
			case 7:
				_ = c.Close()
			}
			f.requireConsistent(rt, conns)
		}
	})
}

// busy returns the number of connections that cannot be evicted.
func (f *fixture) busy() int {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	listed := 0
	for i := range f.pool.evictable {
		listed += f.pool.evictable[i].Len()
	}
	return f.pool.open.conns - listed
}

func (f *fixture) requireConsistent(t require.TestingT, conns []*Conn) {
	p := f.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	var open, closing usage
	var reclaimable int64
	for _, c := range conns {
		switch {
		case c.phase == closed:
			continue
		case c.evicted:
			closing.add(c)
		default:
			open.add(c)
		}
		if c.element != nil {
			reclaimable += c.held
		}
	}
	require.Equal(t, open, p.open)
	require.Equal(t, closing, p.closing)
	require.Equal(t, reclaimable, p.reclaimable)
	require.LessOrEqual(t, p.open.held+p.closing.held, p.cfg.MaxBytes)
	require.LessOrEqual(t, p.open.conns+p.closing.conns, p.cfg.MaxConns)
}
