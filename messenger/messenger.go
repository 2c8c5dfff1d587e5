// Package messenger holds the messages between entries and agents, and the
// values in them, and the links that carry them. The number in a field's tag
// is its name on the wire and never changes its meaning.
package messenger

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats on a link.
	HeartbeatInterval = 120 * time.Millisecond
	// IdleTimeout ends a link on which nothing arrived for so long.
	IdleTimeout = 400 * time.Millisecond
	// HeldJobsTTL is how long agents tell of the jobs in an entry's last heartbeat.
	HeldJobsTTL = 1290 * time.Millisecond
)

// Resources is an amount of a worker's resources.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int `cbor:"1,keyasint,omitempty"`
	// Memory is in megabytes.
	Memory int `cbor:"2,keyasint,omitempty"`
	// GPU is a number of accelerators.
	GPU int `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of d and o.
func (d Resources) Plus(o Resources) Resources {
	return Resources{CPU: d.CPU + o.CPU, Memory: d.Memory + o.Memory, GPU: d.GPU + o.GPU}
}

// Minus returns d less o.
func (d Resources) Minus(o Resources) Resources {
	return Resources{CPU: d.CPU - o.CPU, Memory: d.Memory - o.Memory, GPU: d.GPU - o.GPU}
}

// Min returns the smaller of d and o in each respect.
func (d Resources) Min(o Resources) Resources {
	return Resources{CPU: min(d.CPU, o.CPU), Memory: min(d.Memory, o.Memory), GPU: min(d.GPU, o.GPU)}
}

// Max returns the larger of d and o in each respect.
func (d Resources) Max(o Resources) Resources {
	return Resources{CPU: max(d.CPU, o.CPU), Memory: max(d.Memory, o.Memory), GPU: max(d.GPU, o.GPU)}
}

// NonNegative returns d with 0 in place of what is below it.
func (d Resources) NonNegative() Resources { return d.Max(Resources{}) }

// IsZero reports whether d takes nothing.
func (d Resources) IsZero() bool { return d == Resources{} }

// FitsIn reports whether d can be taken out of room.
func (d Resources) FitsIn(room Resources) bool {
	return d.CPU <= room.CPU && d.Memory <= room.Memory && d.GPU <= room.GPU
}

// Run names one run of a task. Run numbers of a task rise from 1.
type Run struct {
	Task   string `cbor:"1,keyasint,omitempty"`
	Number int    `cbor:"2,keyasint,omitempty"`
}

// Hello is an entry's first message on a link.
type Hello struct {
	Entry string `cbor:"1,keyasint,omitempty"`
	// Incarnation is later for a later start of the entry.
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
	// Upstream is the worker that the entry last saw at this agent, for an
	// agent that has restarted and has not heard its worker yet.
	Upstream Upstream `cbor:"3,keyasint,omitempty"`
}

// Heartbeat is an entry's heartbeat. Stamp is by the sender's clock; Echo is the
// last Stamp of the receiver's that has arrived. Echo tells the receiver how
// old the last of its words is that got through.
type Heartbeat struct {
	Timestamp time.Duration `cbor:"1,keyasint,omitempty"`
	Echo      time.Duration `cbor:"2,keyasint,omitempty"`
	// Revision is that of the operators' directives as the entry knows them,
	// and Evacuated lists the data centres in which nothing is to start. The
	// agent goes by the highest Revision that it hears, so that an entry that
	// the store cannot reach starts nothing there either.
	Revision  int64    `cbor:"3,keyasint,omitempty"`
	Evacuated []string `cbor:"4,keyasint,omitempty"`
	Backlog   Backlog  `cbor:"5,keyasint,omitempty"`
	// AckedOutcome is the Outcomes of the last Report on the link. The agent drops
	// those outcomes.
	AckedOutcome uint64 `cbor:"6,keyasint,omitempty"`
	// HeldJobs are the jobs that other entries have to know of.
	HeldJobs HeldJobs `cbor:"7,keyasint,omitempty"`
}

// HeldJobs are jobs that an entry holds and that their callers might soon send to
// another one, or have sent.
type HeldJobs struct {
	// Running go on at the entry.
	Running []string `cbor:"1,keyasint,omitempty"`
	// Yielding lists jobs that wait since another entry holds them.
	Yielding []string `cbor:"2,keyasint,omitempty"`
	// Finished lists jobs that are over and whose runs may go on.
	Finished []string `cbor:"3,keyasint,omitempty"`
}

// Backlog is what waits at an entry for room. Agents share scarce room out by it.
type Backlog struct {
	// Tasks is how many tasks wait, and Sum what they take together.
	Tasks int       `cbor:"1,keyasint,omitempty"`
	Total Resources `cbor:"2,keyasint,omitempty"`
	// Min is the room without which none of them can start.
	Min Resources `cbor:"3,keyasint,omitempty"`
	// WantsForecast asks for Report.Ahead.
	WantsForecast bool `cbor:"4,keyasint,omitempty"`
}

// With returns w with one more task.
func (w Backlog) With(d Resources) Backlog {
	if w.Tasks == 0 {
		return Backlog{Tasks: 1, Total: d, Min: d, WantsForecast: w.WantsForecast}
	}
	return Backlog{Tasks: w.Tasks + 1, Total: w.Total.Plus(d), Min: w.Min.Min(d), WantsForecast: w.WantsForecast}
}

// Without returns w less some of its tasks, which take sum together. Least may
// be too low from then on.
func (w Backlog) Without(tasks int, sum Resources) Backlog {
	if tasks >= w.Tasks {
		return Backlog{}
	}
	return Backlog{Tasks: w.Tasks - tasks, Total: w.Total.Minus(sum), Min: w.Min, WantsForecast: w.WantsForecast}
}

// Place asks an agent to run tasks of one step.
type Place struct {
	// Number counts the Place messages of a link.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Job    string `cbor:"2,keyasint,omitempty"`
	Spec   string `cbor:"3,keyasint,omitempty"`
	// Service is what the upstream has to serve.
	Service string `cbor:"4,keyasint,omitempty"`
	Tasks   []Task `cbor:"5,keyasint,omitempty"`
	// MaxWait is how long a task may wait for room before it is refused.
	MaxWait time.Duration `cbor:"6,keyasint,omitempty"`
	// Echo is the agent's last Stamp that the entry has seen. An agent that
	// has been paused tells by it that the message is old.
	Echo time.Duration `cbor:"7,keyasint,omitempty"`
	// Backlog is what still waits after this.
	Backlog Backlog `cbor:"8,keyasint,omitempty"`
}

// Task is one run to start.
type Task struct {
	Run    `cbor:"1,keyasint"`
	Demand Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is about how long the task takes on a sound worker.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
}

// Withdraw asks an agent to drop or stop runs.
type Withdraw struct {
	Runs []Run `cbor:"1,keyasint,omitempty"`
}

// Reserve asks an agent to keep room for a large task of the entry's. The agent
// keeps one reservation at a time; nothing is started for it.
type Reserve struct {
	// Number counts the Reserve messages of a link.
	Number uint64    `cbor:"1,keyasint,omitempty"`
	Demand Resources `cbor:"2,keyasint,omitempty"`
	// TTL is how long the room is kept at most. Zero ends the reservation.
	TTL time.Duration `cbor:"3,keyasint,omitempty"`
}

// Backfill is room that an agent keeps for a large task and that is not complete
// yet. Tasks that end within For may use it meanwhile.
type Backfill struct {
	Resources Resources     `cbor:"1,keyasint,omitempty"`
	Window    time.Duration `cbor:"2,keyasint,omitempty"`
}

// Upstream describes the worker beside an agent.
type Upstream struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// Born is when this incarnation started, in Unix milliseconds. Zero means
	// that no upstream is known.
	Born       int64     `cbor:"2,keyasint,omitempty"`
	Service    string    `cbor:"3,keyasint,omitempty"`
	DataCentre string    `cbor:"4,keyasint,omitempty"`
	Labels     []string  `cbor:"5,keyasint,omitempty"`
	Capacity   Resources `cbor:"6,keyasint,omitempty"`
	// Draining means that the upstream is about to leave.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Remaining is the least time until it does.
	Remaining time.Duration `cbor:"8,keyasint,omitempty"`
}

// EndReason says how a run ended.
type EndReason string

// The ends of runs.
const (
	RunDone   EndReason = "Done"
	RunFailed EndReason = "Failed"
	// RunStopped runs were ended by an order.
	RunStopped EndReason = "Stopped"
	// RunLapsed runs were ended since their lease ran out or their worker died.
	RunLapsed EndReason = "Lapsed"
)

// RunEnd is the end of a run.
type RunEnd struct {
	Run    `cbor:"1,keyasint"`
	Reason EndReason `cbor:"2,keyasint,omitempty"`
}

// RefusalReason says why a run was not started.
type RefusalReason string

// The reasons.
const (
	RefusedNoRoom    RefusalReason = "NoRoom"
	RefusedLeaving   RefusalReason = "Leaving"
	RefusedNoWorker  RefusalReason = "NoWorker"
	RefusedUnhealthy RefusalReason = "Unhealthy"
	// RefusedSuperseded means that the worker has seen this run number or a higher one.
	RefusedSuperseded RefusalReason = "Superseded"
	// RefusedEvacuated means that nothing is to start in the data centre.
	RefusedEvacuated RefusalReason = "Evacuated"
	// RefusedWithdrawn means that the run was withdrawn before it started.
	RefusedWithdrawn RefusalReason = "Overtaken"
)

// Refusal tells that a run has not started and will not start.
type Refusal struct {
	Run    `cbor:"1,keyasint"`
	Reason RefusalReason `cbor:"2,keyasint,omitempty"`
}

// Progress is how far a run has come.
type Progress struct {
	Run `cbor:"1,keyasint"`
	// Percent is the share of the task's work that is done.
	Percent int `cbor:"2,keyasint,omitempty"`
	// Age is how long the run had been going when Percent was read. Zero means
	// that it has not been read.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Report is an agent's word on its worker. It is sent as a heartbeat and when
// something has changed. Ended and Refused are reported once on a link, and
// again on the next one until they have been acknowledged.
type Report struct {
	Agent      string `cbor:"1,keyasint,omitempty"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
	// Incarnation is later for a later start of the agent.
	Incarnation int64         `cbor:"3,keyasint,omitempty"`
	Timestamp   time.Duration `cbor:"4,keyasint,omitempty"`
	Echo        time.Duration `cbor:"5,keyasint,omitempty"`
	// AckedPlace is the number of the last Place that has been taken in.
	AckedPlace uint64 `cbor:"6,keyasint,omitempty"`
	// Upstream is the worker; nil means as in the last report on the link.
	Upstream *Upstream `cbor:"7,keyasint,omitempty"`
	// Free is the room that no run holds or waits for.
	Free Resources `cbor:"8,keyasint,omitempty"`
	// UnansweredCalls counts the calls to the worker that got no answer since one
	// got an answer.
	UnansweredCalls int `cbor:"9,keyasint,omitempty"`
	// ConsecutiveFailedJobs counts the jobs in a row that had a failed run.
	ConsecutiveFailedJobs int `cbor:"10,keyasint,omitempty"`
	// Pace is the median, over the last PaceJobs jobs, of work done over work
	// expected. A sound worker has about 1.
	Pace     float64 `cbor:"11,keyasint,omitempty"`
	PaceJobs int     `cbor:"12,keyasint,omitempty"`
	// ConnectedEntries counts the entries that are in touch with the agent.
	ConnectedEntries int `cbor:"13,keyasint,omitempty"`
	// Leaving means that the agent is stopping.
	Leaving bool `cbor:"14,keyasint,omitempty"`
	// RunsComplete means that Runs lists every run of the entry's at the agent.
	RunsComplete bool       `cbor:"15,keyasint,omitempty"`
	Runs         []Progress `cbor:"16,keyasint,omitempty"`
	Ended        []RunEnd   `cbor:"17,keyasint,omitempty"`
	Refused      []Refusal  `cbor:"18,keyasint,omitempty"`
	// LastOutcome is the number of the last of all ends and refusals that the
	// agent has told the entry of, on this link or an earlier one.
	LastOutcome uint64 `cbor:"19,keyasint,omitempty"`
	// HeldJobs are the jobs of the other entries, as of their last heartbeats; nil
	// means as in the last report on the link.
	HeldJobs *HeldJobs `cbor:"20,keyasint,omitempty"`
	// Speed is estimated over taken time of the runs that have ended lately, and
	// SpeedJobs the weight behind it in jobs. Unlike Pace it covers seconds. A
	// Speed of zero means both as in the last report on the link.
	Speed     float64 `cbor:"21,keyasint,omitempty"`
	SpeedJobs int     `cbor:"22,keyasint,omitempty"`
	// Forecast is the room, beside Free, that is expected to have fallen free after
	// each of ForecastHorizons. It is told while the entry asks for it.
	Forecast []Resources `cbor:"23,keyasint,omitempty"`
	// ReservationNumber is the number of the entry's Reserve that the agent keeps; zero
	// means none.
	ReservationNumber uint64 `cbor:"24,keyasint,omitempty"`
	// Backfill is room beside Free that only tasks which end soon may use.
	Backfill Backfill `cbor:"30,keyasint,omitempty"`
}

// ForecastHorizons are the times that the items of Report.Ahead stand for.
var ForecastHorizons = [...]time.Duration{
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
}
