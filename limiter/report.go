package limiter

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/provider"
)

// logInterval is the shortest time between two log lines of a pool.
const logInterval = time.Second

// reason says why a connection was closed or a request refused.
type reason string

const (
	// idleEvicted, unfinishedEvicted and lingeringEvicted are for connections that were
	// closed to make room: they carried no request, their peer had kept a request
	// unfinished or an answer unread, or they had been refused already.
	idleEvicted       reason = "idle"
	unfinishedEvicted reason = "unfinished"
	lingeringEvicted  reason = "refused"
	// headTooLarge is for a head over the limit.
	headTooLarge reason = "head_too_large"
	// noConnection and noMemory are for new connections and requests that came while
	// those in progress needed all the room.
	noConnection reason = "no_connection"
	noMemory     reason = "no_memory"
)

func evictionReason(ph phase) reason {
	return [evictablePhases]reason{lingering: lingeringEvicted, idle: idleEvicted, unfinished: unfinishedEvicted}[ph]
}

// report counts what a pool closes and refuses, and logs it at a bounded rate.
type report struct {
	deps     provider.Deps
	name     string
	counters map[reason]*metrics.Counter

	mu sync.Mutex
	// unlogged counts by reason since the last line, which was written at loggedAt.
	unlogged map[reason]int
	loggedAt time.Time
}

func newReport(deps provider.Deps, name string) *report {
	r := &report{deps: deps, name: name, counters: make(map[reason]*metrics.Counter), unlogged: make(map[reason]int)}
	for _, why := range []reason{idleEvicted, unfinishedEvicted, lingeringEvicted, headTooLarge, noConnection, noMemory} {
		r.counters[why] = deps.Metrics.GetOrCreateCounter(
			fmt.Sprintf("pomeloferry_connections_closed_total{listener=%q,reason=%q}", name, why))
	}
	return r
}

// count counts one connection or request, and logs it with what the connections take. What
// follows within logInterval of a line is logged with the next one.
func (r *report) count(why reason, now usage) {
	r.counters[why].Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[why]++
	if r.deps.Clock.Since(r.loggedAt) < logInterval {
		return
	}
	r.loggedAt = r.deps.Clock.Now()
	fields := logrus.Fields{"listener": r.name, "connections": now.conns, "bytes": now.held}
	for why, n := range r.unlogged {
		fields[string(why)] = n
	}
	clear(r.unlogged)
	r.deps.Log.WithFields(fields).Warn("connections closed or refused")
}
