package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// RestoreUpstream uses a worker of which the agent knows from an earlier incarnation or from
// an entry. Its capacity may have changed since.
func (x *Executor) RestoreUpstream(u messenger.Upstream) {
	x.SetUpstream(u)
	x.capacityReported = false
}

// SetUpstream processes a heartbeat of the worker. That a worker with another ID
// announces itself does not show that the runs of the last one have ended.
func (x *Executor) SetUpstream(u messenger.Upstream) {
	if u.Born < x.upstream.Born {
		return
	}
	x.departed = false
	x.capacityReported = true
	switch {
	case u.ID != x.upstream.ID:
		x.detachAll("another worker announced itself")
		if x.poll.answered || x.previousUpstream.Born == 0 {
			x.previousUpstream = x.upstream
		}
		x.resetWorkerState()
	case u.Born != x.upstream.Born:
		x.resetWorkerState()
		x.markAllUnconfirmed("worker restarted")
	}
	if u.Draining && x.drainingSince.IsZero() {
		x.drainingSince = x.clock.Now()
	}
	x.upstream = u
	x.recordLeaving(u.Draining)
	switch {
	case u.Draining:
		x.endReservation("worker draining")
	case x.reservation.active() && !x.reservation.demand.FitsIn(u.Capacity):
		x.endReservation("demand exceeds the worker's capacity")
	}
	x.poll.notBefore = time.Time{}
	x.markUpstreamChanged()
	x.sendDuePoll()
}

// HandleWorkerDeparture processes the worker's notice that it leaves for good. The
// notice does not show when its runs end, nor that it comes from its present
// incarnation.
func (x *Executor) HandleWorkerDeparture(id string) {
	if id != x.upstream.ID || x.upstream.Born == 0 {
		return
	}
	x.departed = true
	x.recordLeaving(true)
	x.endReservation("worker left")
	x.refuseWaiting(messenger.RefusedNoWorker)
	x.markUpstreamChanged()
	x.sendDuePoll()
}

// dropUpstream refuses the waiting runs and accepts no more until another worker is
// known.
func (x *Executor) dropUpstream() {
	x.refuseWaiting(messenger.RefusedNoWorker)
	x.upstream = messenger.Upstream{ID: x.upstream.ID}
	x.departed = false
	x.resetWorkerState()
	x.markUpstreamChanged()
}

// handleMisdirected records that the intended worker is not at its address: its runs
// have ended. If no poll of it has been answered since it announced itself, the worker
// before it is polled again.
func (x *Executor) handleMisdirected() {
	x.lapseRunsOf(x.upstream.ID)
	if x.previousUpstream.Born == 0 {
		x.dropUpstream()
		return
	}
	x.upstream = x.previousUpstream
	x.capacityReported = false
	x.previousUpstream = messenger.Upstream{}
	x.resetWorkerState()
	x.markUpstreamChanged()
	x.sendDuePoll()
}

// resetWorkerState clears what was learned about one incarnation of the worker.
func (x *Executor) resetWorkerState() {
	x.endReservation("worker changed")
	x.poll.reset()
	x.paceSamples = paceSamples{}
	x.failures = failureStreak{}
	x.speedSamples = speedSamples{}
	x.callTimes = callTimes{}
	x.drainingSince = time.Time{}
}

// Upstream returns the last known state of the worker.
func (x *Executor) Upstream() messenger.Upstream { return x.upstream }

// recordLeaving records whether the present incarnation of the worker has announced its
// end.
func (x *Executor) recordLeaving(leaving bool) {
	switch {
	case leaving:
		x.leaving = x.upstream.Incarnation()
	case x.leaving == x.upstream.Incarnation():
		x.leaving = messenger.Incarnation{}
	}
}
