package acceptor

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxLag is the maximum lag of the actor at which it is still given requests. With
// more, heartbeats would soon be late and agents would drop the runs.
const maxLag = 80 * time.Millisecond

// catchUpWindow is how long after a pause of the process requests are still read that
// arrived during it.
const catchUpWindow = 100 * time.Millisecond

// lag measures how late the actor processes its messages. An entry that lags rejects new
// requests before they cost it more time, so that it catches up.
type lag struct {
	clock clockwork.Clock
	// lastTickAt is when the actor last processed a tick, in Unix nanoseconds, and
	// tickDelay how old that tick was, in nanoseconds.
	lastTickAt atomic.Int64
	tickDelay  atomic.Int64
	// resumedAt is when the last gap between two ticks ended that was longer than
	// maxLag, in Unix nanoseconds, and pauseLength how long it was, together with
	// those shortly before it, in nanoseconds.
	resumedAt   atomic.Int64
	pauseLength atomic.Int64
}

// observeTick records that the actor processes a tick now that was sent at sentAt.
func (l *lag) observeTick(sentAt time.Time) {
	now := l.clock.Now()
	if lastTick := l.lastTickAt.Swap(now.UnixNano()); lastTick != 0 && now.UnixNano()-lastTick > int64(maxLag) {
		l.pauseLength.Store(now.UnixNano() - lastTick + int64(l.maxUnreadAgeAt(lastTick)))
		l.resumedAt.Store(now.UnixNano())
	}
	l.tickDelay.Store(int64(now.Sub(sentAt)))
}

// current returns the present lag of the actor.
func (l *lag) current() time.Duration {
	lastTick := l.lastTickAt.Load()
	if lastTick == 0 {
		return 0
	}
	overdue := time.Duration(l.clock.Now().UnixNano()-lastTick) - tickInterval
	return max(overdue, time.Duration(l.tickDelay.Load()))
}

// maxUnreadAge returns the maximum time for which a request that is accepted now may
// have waited to be read: after a pause of the process, the length of that pause and the
// time since.
func (l *lag) maxUnreadAge() time.Duration { return l.maxUnreadAgeAt(l.clock.Now().UnixNano()) }

// maxUnreadAgeAt is maxUnreadAge at a time in Unix nanoseconds.
func (l *lag) maxUnreadAgeAt(now int64) time.Duration {
	resumedAt := l.resumedAt.Load()
	since := time.Duration(now - resumedAt)
	if resumedAt == 0 || since > catchUpWindow {
		return 0
	}
	return time.Duration(l.pauseLength.Load()) + since
}
