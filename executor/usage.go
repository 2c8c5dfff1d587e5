package executor

import (
	"fmt"
	"strings"
	"time"
)

// CapacityUse is what a part of the worker's capacity is used for at a moment.
type CapacityUse int

// The values of CapacityUse. Those after UseAbandoned are free capacity.
const (
	// UseRunning is the capacity of runs that an entry waits for.
	UseRunning CapacityUse = iota
	// UseStarting is the capacity of runs that the worker has not confirmed yet.
	UseStarting
	// UseAbandoned is the capacity of runs that no entry waits for any more.
	UseAbandoned
	// UseUnavailable is the capacity that no new run may use: the worker leaves, does
	// not answer or is evacuated, or the agent shuts down.
	UseUnavailable
	// UseReserved is the capacity that is reserved for a large task.
	UseReserved
	// UseFragmented is the capacity that is too small for every waiting task.
	UseFragmented
	// UseAwaited is the capacity into which a waiting task fits that has not been
	// placed yet.
	UseAwaited
	// UseIdle is the capacity while no task waits.
	UseIdle

	capacityUses
)

// CapacityUses lists the values of CapacityUse.
var CapacityUses = [capacityUses]CapacityUse{UseRunning, UseStarting, UseAbandoned, UseUnavailable, UseReserved, UseFragmented, UseAwaited, UseIdle}

// String returns the use as it is written into metrics, logs and dumps.
func (u CapacityUse) String() string {
	return [capacityUses]string{"running", "starting", "abandoned", "unavailable", "reserved", "fragmented", "awaited", "idle"}[u]
}

const (
	// usageNoteInterval is the minimum time between two notes on the use of capacity.
	usageNoteInterval = 2 * time.Second
	// minShortTime is the time in which tasks waited since the last note from which on
	// there is another one.
	minShortTime = usageNoteInterval / 10
)

// coresByUse has a number of cores, or of core-seconds, for each use.
type coresByUse [capacityUses]float64

// usageMeter adds up the use of the worker's capacity over time.
type usageMeter struct {
	// coreSeconds is the sum as of at, and cores the use since then.
	coreSeconds, cores coresByUse
	at                 time.Time
	// notedAt and noted are the time and the sum of the last note. shortTime is the time
	// since then in which tasks waited.
	notedAt   time.Time
	noted     coresByUse
	shortTime time.Duration
}

// advance adds the time since the last call, in which the capacity was used as it was
// then, and sets how it is used from now on.
func (m *usageMeter) advance(cores coresByUse, now time.Time) {
	if m.at.IsZero() {
		m.notedAt = now
		m.at = now
	}
	elapsed := now.Sub(m.at)
	for use, n := range m.cores {
		m.coreSeconds[use] += n * elapsed.Seconds()
	}
	if m.cores[UseFragmented] > 0 || m.cores[UseAwaited] > 0 {
		m.shortTime += elapsed
	}
	m.cores = cores
	m.at = now
}

// takeNote returns the text of the next note, or "" if none is due: how many cores were
// used for what since the last note, on average.
func (m *usageMeter) takeNote(now time.Time) string {
	elapsed := now.Sub(m.notedAt)
	if elapsed < usageNoteInterval {
		return ""
	}
	var parts []string
	for _, use := range CapacityUses {
		if n := m.coreSeconds[use] - m.noted[use]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %.2f", use, n/elapsed.Seconds()))
		}
	}
	short := m.shortTime >= minShortTime
	m.notedAt = now
	m.noted = m.coreSeconds
	m.shortTime = 0
	if !short {
		return ""
	}
	return strings.Join(parts, ", ")
}

// meterUsage records how the capacity is used from now on.
func (x *Executor) meterUsage() {
	now := x.clock.Now()
	x.usage.advance(x.capacityByUse(now), now)
	if text := x.usage.takeNote(now); text != "" {
		x.emit(Note{Worker: x.upstream.ID, What: "capacity short", Why: text})
	}
}

// CoreSeconds returns the core-seconds that the worker's capacity has been used for a
// purpose since the agent started.
func (x *Executor) CoreSeconds(use CapacityUse) float64 { return x.usage.coreSeconds[use] }

// capacityByUse returns how many of the worker's cores are used for what.
func (x *Executor) capacityByUse(now time.Time) coresByUse {
	var cores coresByUse
	for _, r := range x.runs {
		if r.holdsCapacity() {
			cores[r.use()] += inCores(r.Demand.CPU)
		}
	}
	free := x.freeCapacity().NonNegative()
	if x.reservation.active() {
		reserved := free.Min(x.reservation.demand)
		cores[UseReserved] = inCores(reserved.CPU)
		free = free.Minus(reserved)
	}
	if free.CPU > 0 {
		cores[x.useOfFreeCapacity(now)] += inCores(free.CPU)
	}
	return cores
}

// use returns what the capacity of a run that holds some is used for.
func (r *run) use() CapacityUse {
	switch {
	case r.cancelled || r.owner == "":
		return UseAbandoned
	case r.phase == running:
		return UseRunning
	}
	return UseStarting
}

// useOfFreeCapacity returns the use of the free capacity that is not reserved.
func (x *Executor) useOfFreeCapacity(now time.Time) CapacityUse {
	if !x.acceptsRuns() || x.poll.unanswered > 0 {
		return UseUnavailable
	}
	use := UseIdle
	for _, e := range x.sortedEntries {
		if !x.hasWaitingTasks(e, now) {
			continue
		}
		if e.backlog.Min.FitsIn(x.freeCapacity()) {
			return UseAwaited
		}
		use = UseFragmented
	}
	return use
}

// inCores converts thousandths of a core to cores.
func inCores(millicores int) float64 { return float64(millicores) / 1000 }
