package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// SetUpstream notes what the worker says of itself. Another incarnation runs
// nothing of what the last one ran.
func (x *Executor) SetUpstream(u messenger.Upstream) {
	if u.Born < x.upstream.Born {
		return
	}
	switch {
	case u.ID != x.upstream.ID:
		// Calls name the worker by its id, so none of ours can reach this one.
		x.lapseAll("another worker")
		x.forgetWorker()
	case u.Born != x.upstream.Born:
		x.forgetWorker()
		x.doubtAll("worker restarted")
	}
	if u.Draining && x.drainingSince.IsZero() {
		x.drainingSince = x.clock.Now()
	}
	x.upstream = u
	x.look.notBefore = time.Time{}
	x.upstreamChanged()
	x.nextLook()
}

// ClearUpstream notes that the worker has left.
func (x *Executor) ClearUpstream(id string) {
	if id != x.upstream.ID {
		return
	}
	x.lapseAll("worker left")
	x.withoutWorker()
}

// withoutWorker refuses what waits until another worker is known.
func (x *Executor) withoutWorker() {
	x.refuseWaiting(messenger.NoWorker)
	x.upstream = messenger.Upstream{ID: x.upstream.ID}
	x.forgetWorker()
	x.upstreamChanged()
}

// forgetWorker drops what was learned about one incarnation of the worker.
func (x *Executor) forgetWorker() {
	x.look.reset()
	x.paces = paces{}
	x.failures = failures{}
	x.drainingSince = time.Time{}
}

// Upstream returns what is known of the worker.
func (x *Executor) Upstream() messenger.Upstream { return x.upstream }
