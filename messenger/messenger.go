// Package messenger defines the messages between entries and agents and the links that
// carry them. The number in a field's tag identifies the field on the wire; its meaning
// never changes. The package belongs to the deployment on the platform's machines,
// whose processes are packages acceptor and supervisor.
package messenger

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats on a link.
	HeartbeatInterval = 120 * time.Millisecond
	// IdleTimeout is the time without incoming traffic after which a link closes.
	IdleTimeout = 400 * time.Millisecond
	// LockTTL is how long an agent keeps the locks of an entry from which nothing
	// arrives. By then all runs of that entry have ended: an agent that the entry
	// contacted last ends them within 1290 ms, and may have been contacted one
	// heartbeat and one tick later than this one.
	LockTTL = 1430 * time.Millisecond
	// CrashTTL is how long agents and entries remember the crash of a worker, so that a
	// job that is sent again does not crash more of them. Callers wait for a minute at
	// most.
	CrashTTL = 2 * time.Minute
)

// Resources is an amount of CPU, memory and GPUs: what a task needs, or what a worker has
// in all or free.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int `cbor:"1,keyasint,omitempty"`
	// Memory is in megabytes.
	Memory int `cbor:"2,keyasint,omitempty"`
	// GPU is the number of accelerators.
	GPU int `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Min returns the smaller of r and o for each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), Memory: min(r.Memory, o.Memory), GPU: min(r.GPU, o.GPU)}
}

// Max returns the larger of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), GPU: max(r.GPU, o.GPU)}
}

// NonNegative returns r with negative amounts replaced by 0.
func (r Resources) NonNegative() Resources { return r.Max(Resources{}) }

// IsZero reports whether all amounts of r are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// FitsIn reports whether capacity has at least r of each resource.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.Memory <= capacity.Memory && r.GPU <= capacity.GPU
}

// Run identifies one run of a task. The run numbers of a task increase from 1.
type Run struct {
	Task   string `cbor:"1,keyasint,omitempty"`
	Number int    `cbor:"2,keyasint,omitempty"`
}

// Incarnation identifies one incarnation of a worker.
type Incarnation struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// Born is its start time in Unix milliseconds.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// Hello is the first message of an entry on a link.
type Hello struct {
	Entry string `cbor:"1,keyasint,omitempty"`
	// Incarnation is higher for a later start of the entry.
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
	// Upstream is the worker that the entry last saw at this agent, for an agent that
	// has restarted and has received nothing from its worker yet.
	Upstream Upstream `cbor:"3,keyasint,omitempty"`
	// Crashes lists the crashes of workers under tasks that the entry knows to be isolated,
	// for the agent and, through it, for the other entries.
	Crashes []Crash `cbor:"4,keyasint,omitempty"`
}

// Heartbeat is the periodic message of an entry. Timestamp is read from the entry's
// clock. Echo is the agent's last Timestamp that has arrived; it tells the agent how
// old its last delivered report is.
type Heartbeat struct {
	Timestamp time.Duration `cbor:"1,keyasint,omitempty"`
	Echo      time.Duration `cbor:"2,keyasint,omitempty"`
	// Evacuations are those known to the entry. Their fields are among the heartbeat's own.
	Evacuations
	Backlog Backlog `cbor:"5,keyasint,omitempty"`
	// AckedOutcome is the LastOutcome of the last Report on the link. The agent drops
	// the outcomes up to it.
	AckedOutcome uint64 `cbor:"6,keyasint,omitempty"`
	// Unlocked lists the jobs whose locks the entry gives up; see LockJobs. Field 7
	// is no longer used.
	Unlocked []UnlockedJob `cbor:"8,keyasint,omitempty"`
}

// Evacuations is what a process knows of the evacuations. The agent applies what has the
// highest revision, whoever tells it.
type Evacuations struct {
	// Revision is the store's revision at which these data centres, and no others, were
	// evacuated.
	Revision    int64    `cbor:"3,keyasint,omitempty"`
	DataCentres []string `cbor:"4,keyasint,omitempty"`
	// Age is the time, as of the sending, since the store certainly held nothing newer.
	// Zero means that it is not known, as with processes of earlier versions.
	Age time.Duration `cbor:"9,keyasint,omitempty"`
}

// JobOutcome is the final outcome of a job, or "" if it has none: the job has not run to
// its end, so another entry may run it.
type JobOutcome string

// The final outcomes of a job.
const (
	JobComplete JobOutcome = "Complete"
	JobFailed   JobOutcome = "Failed"
)

// UnlockedJob is a job whose lock an entry gives up.
type UnlockedJob struct {
	Job     string     `cbor:"1,keyasint,omitempty"`
	Outcome JobOutcome `cbor:"2,keyasint,omitempty"`
}

// LockJobs asks an agent, as a witness, to lock jobs for the entry. An entry places the
// tasks of a job only while it has the job locked at a quorum of its witnesses, so that
// no two entries run one job at the same time. The agent answers with a LockReply if
// Jobs is not empty.
type LockJobs struct {
	// Number identifies the request. It rises with each one on the link, from 1.
	Number uint64   `cbor:"1,keyasint,omitempty"`
	Jobs   []string `cbor:"2,keyasint,omitempty"`
	// Unlocked lists the jobs whose locks the entry gives up. They are unlocked before
	// Jobs are locked.
	Unlocked []UnlockedJob `cbor:"3,keyasint,omitempty"`
	// Complete means that the entry gives up all locks that are not in Jobs.
	Complete bool `cbor:"4,keyasint,omitempty"`
}

// LockReply answers a LockJobs. Each of its jobs is in one of the lists.
type LockReply struct {
	// Number is the number of the request; 0 if there was none, with Wanted.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Locked lists the jobs that are now locked for the entry, Held those that another
	// entry has locked, and Ended those that another entry has run to their end.
	Locked []string      `cbor:"2,keyasint,omitempty"`
	Held   []string      `cbor:"3,keyasint,omitempty"`
	Ended  []UnlockedJob `cbor:"4,keyasint,omitempty"`
	// Wanted lists jobs that are locked for the receiver and that another entry has
	// asked for since.
	Wanted []string `cbor:"5,keyasint,omitempty"`
}

// Backlog counts and sums the tasks of an entry that wait for free capacity. Agents
// divide scarce capacity among the entries by it.
type Backlog struct {
	// Tasks is the number of waiting tasks, and Total their total demand.
	Tasks int       `cbor:"1,keyasint,omitempty"`
	Total Resources `cbor:"2,keyasint,omitempty"`
	// Min is the smallest demand of the tasks, for each resource on its own. With
	// less free capacity none of them can start.
	Min Resources `cbor:"3,keyasint,omitempty"`
	// WantsForecast asks for Report.Forecast.
	WantsForecast bool `cbor:"4,keyasint,omitempty"`
}

// With returns b with one more task, whose demand is d.
func (b Backlog) With(d Resources) Backlog {
	if b.Tasks == 0 {
		return Backlog{Tasks: 1, Total: d, Min: d, WantsForecast: b.WantsForecast}
	}
	return Backlog{Tasks: b.Tasks + 1, Total: b.Total.Plus(d), Min: b.Min.Min(d), WantsForecast: b.WantsForecast}
}

// Without returns b less the given number of tasks, whose total demand is total. Min is
// not raised and may be too low afterwards.
func (b Backlog) Without(tasks int, total Resources) Backlog {
	if tasks >= b.Tasks {
		return Backlog{}
	}
	return Backlog{Tasks: b.Tasks - tasks, Total: b.Total.Minus(total), Min: b.Min, WantsForecast: b.WantsForecast}
}

// Place asks an agent to run tasks of one step.
type Place struct {
	// Number counts the Place messages on a link.
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Job    string `cbor:"2,keyasint,omitempty"`
	Spec   string `cbor:"3,keyasint,omitempty"`
	// Service is the service that the upstream has to provide.
	Service string `cbor:"4,keyasint,omitempty"`
	Tasks   []Task `cbor:"5,keyasint,omitempty"`
	// MaxWait is how long a task may wait for free capacity before it is refused.
	MaxWait time.Duration `cbor:"6,keyasint,omitempty"`
	// Echo is the agent's last Timestamp that the entry has received. By it an agent
	// that was paused recognises an old message.
	Echo time.Duration `cbor:"7,keyasint,omitempty"`
	// Backlog is what still waits after this placement.
	Backlog Backlog `cbor:"8,keyasint,omitempty"`
	// Alone means that each of the tasks is to be the only run at the worker.
	Alone bool `cbor:"9,keyasint,omitempty"`
	// Unguarded means that the worker starts what exceeds its capacity.
	Unguarded bool `cbor:"10,keyasint,omitempty"`
	// Queue is the name of the job's queue.
	Queue string `cbor:"11,keyasint,omitempty"`
}

// Task is one run to start.
type Task struct {
	Run    `cbor:"1,keyasint"`
	Demand Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is the approximate duration of the task on a healthy worker.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// Crashed lists the workers that have crashed under the task.
	Crashed []Incarnation `cbor:"4,keyasint,omitempty"`
}

// Crash reports that a worker has crashed, or is assumed to have because no process
// listens at its address.
type Crash struct {
	Worker Incarnation `cbor:"1,keyasint,omitempty"`
	// Refuted means that the worker has answered again: it had not crashed.
	Refuted bool `cbor:"2,keyasint,omitempty"`
	// Tasks lists the tasks that had a run at the worker.
	Tasks []CrashedTask `cbor:"3,keyasint,omitempty"`
	// Age is the time since the crash became known.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// CrashedTask is a task that had a run at a worker which has crashed.
type CrashedTask struct {
	Task string `cbor:"1,keyasint,omitempty"`
	// Alone means that the task was placed to be alone, and no other job had one at the
	// worker.
	Alone bool `cbor:"2,keyasint,omitempty"`
	// Earlier lists the workers that had crashed under the task before.
	Earlier []Incarnation `cbor:"3,keyasint,omitempty"`
	// Queue is the name of the queue that the job was submitted to.
	Queue string `cbor:"4,keyasint,omitempty"`
}

// Withdraw asks an agent to cancel runs: those that wait are refused, and those that may
// have started are stopped.
type Withdraw struct {
	Runs []Run `cbor:"1,keyasint,omitempty"`
}

// Reserve asks an agent to reserve capacity for a large task of the entry. An agent has
// one reservation at a time; the reservation itself starts nothing.
type Reserve struct {
	// Number counts the requests for a reservation on a link. A cancellation has the
	// number of the request that it cancels.
	Number uint64    `cbor:"1,keyasint,omitempty"`
	Demand Resources `cbor:"2,keyasint,omitempty"`
	// TTL is the maximum lifetime of the reservation. Zero cancels it.
	TTL time.Duration `cbor:"3,keyasint,omitempty"`
}

// Backfill is capacity that an agent is collecting for a reservation that is not
// complete yet. Tasks that end within Window may use it in the meantime.
type Backfill struct {
	Resources Resources     `cbor:"1,keyasint,omitempty"`
	Window    time.Duration `cbor:"2,keyasint,omitempty"`
}

// Upstream describes the worker beside an agent.
type Upstream struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// Born is the start time of this incarnation of the worker, in Unix milliseconds.
	// Zero means that no upstream is known.
	Born       int64     `cbor:"2,keyasint,omitempty"`
	Service    string    `cbor:"3,keyasint,omitempty"`
	DataCentre string    `cbor:"4,keyasint,omitempty"`
	Labels     []string  `cbor:"5,keyasint,omitempty"`
	Capacity   Resources `cbor:"6,keyasint,omitempty"`
	// Draining means that the upstream is about to leave.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Remaining is the minimum time until it leaves.
	Remaining time.Duration `cbor:"8,keyasint,omitempty"`
}

// Incarnation returns the incarnation of the worker.
func (u Upstream) Incarnation() Incarnation { return Incarnation{ID: u.ID, Born: u.Born} }

// EndReason is the reason why a run ended.
type EndReason string

// The reasons for the end of a run.
const (
	RunDone   EndReason = "Done"
	RunFailed EndReason = "Failed"
	// RunStopped runs were ended by a stop.
	RunStopped EndReason = "Stopped"
	// RunLapsed runs ended because their lease ran out.
	RunLapsed EndReason = "Lapsed"
	// RunLost runs ended with their worker, or while their worker did not answer.
	RunLost EndReason = "Lost"
)

// RunEnd reports that a run has ended.
type RunEnd struct {
	Run    `cbor:"1,keyasint"`
	Reason EndReason `cbor:"2,keyasint,omitempty"`
}

// RefusalReason is the reason why a run was not started.
type RefusalReason string

// The reasons for which a run is refused.
const (
	RefusedNoRoom    RefusalReason = "NoRoom"
	RefusedLeaving   RefusalReason = "Leaving"
	RefusedNoWorker  RefusalReason = "NoWorker"
	RefusedUnhealthy RefusalReason = "Unhealthy"
	// RefusedSuperseded means that the worker has seen this run number or a higher one.
	RefusedSuperseded RefusalReason = "Superseded"
	// RefusedEvacuated means that nothing may start in the data centre.
	RefusedEvacuated RefusalReason = "Evacuated"
	// RefusedWithdrawn means that the run was withdrawn before it started, or that its
	// Place was too old when the agent processed it.
	RefusedWithdrawn RefusalReason = "Overtaken"
)

// Refusal reports that a run has not started and will not start.
type Refusal struct {
	Run    `cbor:"1,keyasint"`
	Reason RefusalReason `cbor:"2,keyasint,omitempty"`
}

// Progress is the progress of a run.
type Progress struct {
	Run `cbor:"1,keyasint"`
	// Percent is the part of the task's work that is done.
	Percent int `cbor:"2,keyasint,omitempty"`
	// Age is how long the run had been running when Percent was read. Zero means that
	// the progress has not been read.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Report is an agent's state and that of its worker and runs. It is sent as a heartbeat
// and when something has changed. Ended and Refused are reported once on a link, and
// again on the next link until they have been acknowledged.
type Report struct {
	Agent      string `cbor:"1,keyasint,omitempty"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
	// Incarnation is higher for a later start of the agent.
	Incarnation int64         `cbor:"3,keyasint,omitempty"`
	Timestamp   time.Duration `cbor:"4,keyasint,omitempty"`
	Echo        time.Duration `cbor:"5,keyasint,omitempty"`
	// AckedPlace is the number of the last Place that has been processed.
	AckedPlace uint64 `cbor:"6,keyasint,omitempty"`
	// Upstream is the worker; nil means unchanged since the last report on the link.
	Upstream *Upstream `cbor:"7,keyasint,omitempty"`
	// Free is the capacity that no run uses or waits for. An agent may report less of it
	// to an entry while part of it is reserved for a large task, or while it is another
	// entry's turn to use scarce capacity.
	Free Resources `cbor:"8,keyasint,omitempty"`
	// UnansweredCalls counts the calls to the worker without an answer since the last
	// call that was answered.
	UnansweredCalls int `cbor:"9,keyasint,omitempty"`
	// ConsecutiveFailedJobs counts the consecutive jobs that had a failed run.
	ConsecutiveFailedJobs int `cbor:"10,keyasint,omitempty"`
	// Pace is the median, over the last PaceJobs jobs, of work done over work
	// expected. A healthy worker has about 1.
	Pace     float64 `cbor:"11,keyasint,omitempty"`
	PaceJobs int     `cbor:"12,keyasint,omitempty"`
	// ConnectedEntries is the number of entries connected to the agent.
	ConnectedEntries int `cbor:"13,keyasint,omitempty"`
	// Leaving means that the agent is shutting down.
	Leaving bool `cbor:"14,keyasint,omitempty"`
	// RunsComplete means that Runs lists every run of the entry at the agent.
	RunsComplete bool       `cbor:"15,keyasint,omitempty"`
	Runs         []Progress `cbor:"16,keyasint,omitempty"`
	Ended        []RunEnd   `cbor:"17,keyasint,omitempty"`
	Refused      []Refusal  `cbor:"18,keyasint,omitempty"`
	// LastOutcome is the number of the last end or refusal that the agent has reported
	// to the entry, on this link or an earlier one.
	LastOutcome uint64 `cbor:"19,keyasint,omitempty"`
	// Speed is the estimated over the actual duration of the runs that have ended
	// recently, and SpeedJobs is its weight in jobs. Unlike Pace, it covers a window of
	// seconds. A Speed of zero means that both are unchanged since the last report on
	// the link.
	Speed     float64 `cbor:"21,keyasint,omitempty"`
	SpeedJobs int     `cbor:"22,keyasint,omitempty"`
	// Forecast is the capacity, in addition to Free, that is expected to have become
	// free after each of ForecastHorizons. It is reported while the entry asks for it.
	Forecast []Resources `cbor:"23,keyasint,omitempty"`
	// ReservationNumber is the number of the entry's Reserve that the agent has in
	// effect; zero means none.
	ReservationNumber uint64 `cbor:"24,keyasint,omitempty"`
	// Crashes lists the crashes of the agent's workers in the last CrashTTL. Each is
	// reported once on a link, and again when more is known of it.
	Crashes []Crash `cbor:"25,keyasint,omitempty"`
	// Holders identifies the entries that may have locks at the agent: witnesses at which
	// the same entries may have some have the same value. Zero means that it is unchanged
	// since the last report on the link.
	Holders uint64 `cbor:"26,keyasint,omitempty"`
	// Backfill is capacity, in addition to Free, that only tasks which end soon may
	// use.
	Backfill Backfill `cbor:"30,keyasint,omitempty"`
	// Evacuations are sent to an entry that knows older ones, or none that is confirmed.
	Evacuations *Evacuations `cbor:"31,keyasint,omitempty"`
}

// ForecastHorizons are the times after a report that the items of Report.Forecast stand
// for.
var ForecastHorizons = [...]time.Duration{
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
}
