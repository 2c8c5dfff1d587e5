package executor

import "github.com/pomeloferry/pomeloferry/messenger"

// Dump is the state of an executor in a form for operators.
type Dump struct {
	Identity Identity
	Token    uint64
	Upstream messenger.Upstream
	Free     messenger.Resources
	// Kept is the part of Free that is reserved for a large task of the entry Holder.
	Kept       messenger.Resources
	Holder     string
	Leaving    bool
	Unanswered int
	// Speed is the estimated speed of the worker, and SpeedJobs the weight of the
	// samples behind it, in jobs.
	Speed     float64
	SpeedJobs int
	// CoreSeconds is what the worker's capacity has been used for since the agent
	// started, in core-seconds.
	CoreSeconds map[string]float64
	Runs        []RunDump
	Entries     []string
	// Evacuated is whether the data centre is evacuated, as of EvacuationsRevision, which
	// EvacuationsFrom has told. EvacuationsAgeMS is the time since that was certainly right,
	// in milliseconds; zero if it never was.
	Evacuated           bool
	EvacuationsRevision int64
	EvacuationsFrom     string
	EvacuationsAgeMS    int64
}

// RunDump is the state of one run.
type RunDump struct {
	messenger.Run
	Owner   string
	Phase   string
	Percent int
}

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"Waiting", "Starting", "Doubtful", "Running", "Stopping", "Detached"}[p]
}

// Dump returns the present state of the executor.
func (x *Executor) Dump() Dump {
	d := Dump{
		Identity:   x.identity,
		Token:      x.token,
		Upstream:   x.upstream,
		Free:       x.freeCapacity(),
		Kept:       x.ReservedCapacity(),
		Leaving:    x.shuttingDown,
		Unanswered: x.poll.unanswered,

		Evacuated:           x.evacuated(),
		EvacuationsRevision: x.evacuations.Revision,
		EvacuationsFrom:     x.evacuations.source,
		EvacuationsAgeMS:    x.EvacuationsAge().Milliseconds(),
	}
	if x.reservation.active() {
		d.Holder = x.reservation.holder.name
	}
	s := x.speedSamples.estimate(x.clock.Now())
	d.Speed, d.SpeedJobs = s.value, s.jobs
	d.CoreSeconds = make(map[string]float64)
	for _, use := range CapacityUses {
		d.CoreSeconds[use.String()] = x.CoreSeconds(use)
	}
	for _, r := range x.sortedRuns() {
		d.Runs = append(d.Runs, RunDump{Run: r.Run, Owner: r.owner, Phase: r.phase.String(), Percent: r.percent})
	}
	for name, e := range x.entries {
		if e.linkOpen {
			d.Entries = append(d.Entries, name)
		}
	}
	return d
}
