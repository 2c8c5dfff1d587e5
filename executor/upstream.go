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
	switch {
	case u.Draining:
		x.endReservation("worker leaves")
	case x.reservation.active() && !x.reservation.demand.FitsIn(u.Capacity):
		x.endReservation("larger than the worker")
	}
	x.poll.notBefore = time.Time{}
	x.markUpstreamChanged()
	x.sendDuePoll()
}

// HandleWorkerDeparture notes that the worker has said that it leaves. That does not
// tell when its runs end, nor that the word is of its present life.
func (x *Executor) HandleWorkerDeparture(id string) {
	if id != x.upstream.ID || x.upstream.Born == 0 {
		return
	}
	x.departed = true
	x.endReservation("worker left")
	x.refuseWaiting(messenger.RefusedNoWorker)
	x.markUpstreamChanged()
	x.sendDuePoll()
}

// dropUpstream refuses what waits until another worker is known.
func (x *Executor) dropUpstream() {
	x.refuseWaiting(messenger.RefusedNoWorker)
	x.upstream = messenger.Upstream{ID: x.upstream.ID}
	x.departed = false
	x.resetWorkerState()
	x.markUpstreamChanged()
}

// handleMisdirected notes that the worker that was meant is not at its address: what
// ran there has ended. If it had only announced itself, the last one is looked
// at again.
func (x *Executor) handleMisdirected() {
	x.lapseRunsOf(x.upstream.ID)
	if x.previousUpstream.Born == 0 {
		x.dropUpstream()
		return
	}
	x.upstream = x.previousUpstream
	x.previousUpstream = messenger.Upstream{}
	x.resetWorkerState()
	x.markUpstreamChanged()
	x.sendDuePoll()
}

// resetWorkerState drops what was learned about one incarnation of the worker.
func (x *Executor) resetWorkerState() {
	x.endReservation("worker changed")
	x.poll.reset()
	x.paceSamples = paceSamples{}
	x.failures = failureStreak{}
	x.speedSamples = speedSamples{}
	x.callTimes = callTimes{}
	x.drainingSince = time.Time{}
}

// Upstream returns what is known of the worker.
func (x *Executor) Upstream() messenger.Upstream { return x.upstream }
