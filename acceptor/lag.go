package acceptor

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxLag is how far the core may be behind for requests to be handed to it.
// Beyond it, heartbeats would soon come too late and agents drop the runs.
const maxLag = 80 * time.Millisecond

// catchUpWindow is how long after a pause requests are still read that came meanwhile.
const catchUpWindow = 100 * time.Millisecond

// lag measures how far the core is behind what is sent to it. An entry that
// has fallen behind refuses new requests before they cost it more, so that it
// catches up.
type lag struct {
	clock clockwork.Clock
	// lastTickAt is when the core last took a tick in, and delay how old that was,
	// both in nanoseconds.
	lastTickAt atomic.Int64
	tickDelay  atomic.Int64
	// resumedAt is when the last gap between two ticks ended that was longer than
	// maxLag, and gap how long it was, with those shortly before it, both in
	// nanoseconds.
	resumedAt   atomic.Int64
	pauseLength atomic.Int64
}

// observeTick notes that the core takes in a tick that was sent at a time.
func (l *lag) observeTick(sentAt time.Time) {
	now := l.clock.Now()
	if lastTick := l.lastTickAt.Swap(now.UnixNano()); lastTick != 0 && now.UnixNano()-lastTick > int64(maxLag) {
		l.pauseLength.Store(now.UnixNano() - lastTick + int64(l.maxUnreadAgeAt(lastTick)))
		l.resumedAt.Store(now.UnixNano())
	}
	l.tickDelay.Store(int64(now.Sub(sentAt)))
}

// current returns how far the core is behind.
func (l *lag) current() time.Duration {
	lastTick := l.lastTickAt.Load()
	if lastTick == 0 {
		return 0
	}
	overdue := time.Duration(l.clock.Now().UnixNano()-lastTick) - tickInterval
	return max(overdue, time.Duration(l.tickDelay.Load()))
}

// maxUnreadAge returns how long a request that is taken on now may have waited to be
// read at most: after a pause of the process, as long as that was.
func (l *lag) maxUnreadAge() time.Duration { return l.maxUnreadAgeAt(l.clock.Now().UnixNano()) }

// maxUnreadAgeAt is unread at a time in nanoseconds.
func (l *lag) maxUnreadAgeAt(now int64) time.Duration {
	resumedAt := l.resumedAt.Load()
	since := time.Duration(now - resumedAt)
	if resumedAt == 0 || since > catchUpWindow {
		return 0
	}
	return time.Duration(l.pauseLength.Load()) + since
}
