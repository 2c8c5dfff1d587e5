package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// SetUpstream notes what the worker says of itself. The word of a worker under
// another id does not tell that the last one has ended what it runs.
func (x *Executor) SetUpstream(u messenger.Upstream) {
	if u.Born < x.upstream.Born {
		return
	}
	x.departed = false
	switch {
	case u.ID != x.upstream.ID:
		x.detachAll("another worker announced itself")
		if x.look.answered || x.prior.Born == 0 {
			x.prior = x.upstream
		}
		x.forgetWorker()
	case u.Born != x.upstream.Born:
		x.forgetWorker()
		x.doubtAll("worker restarted")
	}
	if u.Draining && x.drainingSince.IsZero() {
		x.drainingSince = x.clock.Now()
	}
	x.upstream = u
	switch {
	case u.Draining:
		x.endReservation("worker leaves")
	case x.reservation.held() && !x.reservation.demand.FitsIn(u.Capacity):
		x.endReservation("larger than the worker")
	}
	x.look.notBefore = time.Time{}
	x.upstreamChanged()
	x.nextLook()
}

// ClearUpstream notes that the worker has said that it leaves. That does not
// tell when its runs end, nor that the word is of its present life.
func (x *Executor) ClearUpstream(id string) {
	if id != x.upstream.ID || x.upstream.Born == 0 {
		return
	}
	x.departed = true
	x.endReservation("worker left")
	x.refuseWaiting(messenger.RefusedNoWorker)
	x.upstreamChanged()
	x.nextLook()
}

// withoutWorker refuses what waits until another worker is known.
func (x *Executor) withoutWorker() {
	x.refuseWaiting(messenger.RefusedNoWorker)
	x.upstream = messenger.Upstream{ID: x.upstream.ID}
	x.departed = false
	x.forgetWorker()
	x.upstreamChanged()
}

// misplaced notes that the worker that was meant is not at its address: what
// ran there has ended. If it had only announced itself, the last one is looked
// at again.
func (x *Executor) misplaced() {
	x.lapseAt(x.upstream.ID)
	if x.prior.Born == 0 {
		x.withoutWorker()
		return
	}
	x.upstream = x.prior
	x.prior = messenger.Upstream{}
	x.forgetWorker()
	x.upstreamChanged()
	x.nextLook()
}

// forgetWorker drops what was learned about one incarnation of the worker.
func (x *Executor) forgetWorker() {
	x.endReservation("worker changed")
	x.look.reset()
	x.paces = paces{}
	x.failures = failures{}
	x.speeds = speeds{}
	x.callTimes = callTimes{}
	x.drainingSince = time.Time{}
}

// Upstream returns what is known of the worker.
func (x *Executor) Upstream() messenger.Upstream { return x.upstream }
