package scheduler

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Outcome is the state or result of a job.
type Outcome string

// The outcomes.
const (
	// Complete means that all tasks are done.
	Complete Outcome = "Complete"
	// JobFailed means that a task failed in all its attempts.
	JobFailed Outcome = "Failed"
	// Unsettled means that this entry gave the job up after a task may have started.
	// The job may be sent again.
	Unsettled Outcome = "Unsettled"
	// Overloaded means that the job has not run and will not run, for lack of capacity.
	Overloaded Outcome = "Overloaded"
	// Unavailable means that the job has not run and will not run, because nothing can
	// run it now.
	Unavailable Outcome = "Unavailable"
	// Impossible means that the job has not run, because no worker could ever run it.
	Impossible Outcome = "Impossible"
	// Cancelled means that the caller cancelled the job or left.
	Cancelled Outcome = "Cancelled"
	// Running means that the job has no result yet.
	Running Outcome = "Running"
	// Unknown means that this entry has neither the job nor a record of it.
	Unknown Outcome = "Unknown"
)

// Answer is the answer to a caller.
type Answer struct {
	Outcome Outcome
	// RetryAfter is the time after which a retry makes sense; zero if none does.
	RetryAfter time.Duration
	// Why explains the outcome, for the log and the caller.
	Why string
	// Refusal has the details of a refusal for lack of capacity.
	Refusal Refusal
}

// RefusalPoint is the stage at which a job was refused for lack of capacity.
type RefusalPoint string

// The refusal points.
const (
	// AtOnce means on arrival.
	AtOnce RefusalPoint = "AtOnce"
	// AfterWaiting means after the job had waited for capacity.
	AfterWaiting RefusalPoint = "AfterWaiting"
)

// Refusal is what was known when a job was refused for lack of capacity. It is empty
// for all other answers.
type Refusal struct {
	Point RefusalPoint
	// Wait is how long the job was expected to wait from then on.
	Wait time.Duration
	// JobsBefore counts the jobs of its queue that waited before it.
	JobsBefore int
	// StartRate is the number of jobs of its queue started per second; zero if unknown.
	StartRate float64
	// Window is the number of jobs that could wait before a new one.
	Window float64
}

// Effect is an action for the entry process: a Send, a Reply, a WitnessesChanged, a
// QuorumContactChanged or a Note.
type Effect interface{ effect() }

// Send sends a message to an agent.
type Send struct {
	Agent   string
	Message any
}

// Reply answers the request that was submitted with a ticket.
type Reply struct {
	Ticket uint64
	Answer Answer
}

// WitnessesChanged tells that the entry has adopted a list of witnesses, which are to be
// linked.
type WitnessesChanged struct {
	List messenger.WitnessList
	// Kept are the agents that were witnesses before, by a list that this one does not
	// follow, and that are to be linked as well.
	Kept []string
}

// QuorumContactChanged tells whether the entry has been out of contact with most witnesses for
// so long that it is better not to send it jobs.
type QuorumContactChanged struct{ Lost bool }

// Note is a log entry about a job or an agent.
type Note struct {
	Job   string
	Queue string
	Run   messenger.Run
	Agent string
	What  string
	Why   string
	// Age is the time since the job arrived or the run was placed, or the age of the
	// agent's last report.
	Age time.Duration
	// Size and Wait are set when tasks are placed: their size, and how long they have
	// waited.
	Size Size
	Wait time.Duration
}

func (Send) effect()                 {}
func (Reply) effect()                {}
func (WitnessesChanged) effect()     {}
func (QuorumContactChanged) effect() {}
func (Note) effect()                 {}
