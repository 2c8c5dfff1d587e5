package acceptor

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxLag is the maximum lag of the actor at which it is still given requests. With
// more, heartbeats would soon be late and agents would drop the runs.
const maxLag = 80 * time.Millisecond

// maxReadyLag is the lag from which the entry says that it is not ready. One that is only
// loaded catches up sooner, and refuses new requests meanwhile.
const maxReadyLag = time.Second

// lag measures how late the actor processes its messages. An entry that lags rejects new
// requests before they cost it more time, so that it catches up.
type lag struct {
	clock clockwork.Clock
	// lastTickAt is when the actor last processed a tick, in Unix nanoseconds, and
	// tickDelay how old that tick was, in nanoseconds.
	lastTickAt atomic.Int64
	tickDelay  atomic.Int64
}

// observeTick records that the actor processes a tick now that was sent at sentAt.
func (l *lag) observeTick(sentAt time.Time) {
	now := l.clock.Now()
	l.lastTickAt.Store(now.UnixNano())
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
