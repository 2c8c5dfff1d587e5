package acceptor

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// lagMost is how far the core may be behind for requests to be handed to it.
// Beyond it, heartbeats would soon come too late and agents drop the runs.
const lagMost = 80 * time.Millisecond

// catchUp is how long after a pause requests are still read that came meanwhile.
const catchUp = 100 * time.Millisecond

// lag measures how far the core is behind what is sent to it. An entry that
// has fallen behind refuses new requests before they cost it more, so that it
// catches up.
type lag struct {
	clock clockwork.Clock
	// seen is when the core last took a tick in, and delay how old that was,
	// both in nanoseconds.
	seen  atomic.Int64
	delay atomic.Int64
	// wokeAt is when the last gap between two ticks ended that was longer than
	// lagMost, and gap how long it was, with those shortly before it, both in
	// nanoseconds.
	wokeAt atomic.Int64
	gap    atomic.Int64
}

// took notes that the core takes in a tick that was sent at a time.
func (l *lag) took(sent time.Time) {
	now := l.clock.Now()
	if last := l.seen.Swap(now.UnixNano()); last != 0 && now.UnixNano()-last > int64(lagMost) {
		l.gap.Store(now.UnixNano() - last + int64(l.unreadAt(last)))
		l.wokeAt.Store(now.UnixNano())
	}
	l.delay.Store(int64(now.Sub(sent)))
}

// behind returns how far the core is behind.
func (l *lag) behind() time.Duration {
	seen := l.seen.Load()
	if seen == 0 {
		return 0
	}
	waiting := time.Duration(l.clock.Now().UnixNano()-seen) - tickInterval
	return max(waiting, time.Duration(l.delay.Load()))
}

// unread returns how long a request that is taken on now may have waited to be
// read at most: after a pause of the process, as long as that was.
func (l *lag) unread() time.Duration { return l.unreadAt(l.clock.Now().UnixNano()) }

// unreadAt is unread at a time in nanoseconds.
func (l *lag) unreadAt(now int64) time.Duration {
	woke := l.wokeAt.Load()
	since := time.Duration(now - woke)
	if woke == 0 || since > catchUp {
		return 0
	}
	return time.Duration(l.gap.Load()) + since
}
