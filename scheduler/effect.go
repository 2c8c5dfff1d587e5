package scheduler

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Outcome is what became of a job.
type Outcome string

// The outcomes.
const (
	// Complete jobs have all tasks done.
	Complete Outcome = "Complete"
	// JobFailed jobs had a task that failed too often.
	JobFailed Outcome = "Failed"
	// Unsettled jobs were given up here after a task may have started. They may
	// be sent again.
	Unsettled Outcome = "Unsettled"
	// Overloaded jobs have not run and will not run; there was no room.
	Overloaded Outcome = "Overloaded"
	// Unavailable jobs have not run and will not run; nothing can run them now.
	Unavailable Outcome = "Unavailable"
	// Impossible jobs have not run; no worker could ever run them.
	Impossible Outcome = "Impossible"
	// Cancelled jobs were given up by their caller.
	Cancelled Outcome = "Cancelled"
	// Running jobs have no outcome yet.
	Running Outcome = "Running"
	// Unknown jobs are not known here.
	Unknown Outcome = "Unknown"
)

// Answer is what a caller gets.
type Answer struct {
	Outcome Outcome
	// RetryAfter is when to come back; zero when it would not help.
	RetryAfter time.Duration
	// Why explains the outcome, for the log.
	Why string
	// Refusal tells more of a refusal for lack of room.
	Refusal Refusal
}

// RefusalPoint is when a job was refused for lack of room.
type RefusalPoint string

// The points.
const (
	// AtOnce is on arrival.
	AtOnce RefusalPoint = "AtOnce"
	// AfterWaiting is once it had waited in vain.
	AfterWaiting RefusalPoint = "AfterWaiting"
)

// Refusal is what was known when a job was refused for lack of room. It is empty
// for all other answers.
type Refusal struct {
	Point RefusalPoint
	// Wait is how long the job was expected to wait, from then on.
	Wait time.Duration
	// JobsBefore counts the jobs of its queue that waited before it.
	JobsBefore int
	// StartRate is how many jobs of its queue were started a second; zero when that
	// was not known.
	StartRate float64
}

// Effect is something that the entry process has to do.
type Effect interface{ effect() }

// Send sends a message to an agent.
type Send struct {
	Agent   string
	Message any
}

// Reply answers the request with a ticket.
type Reply struct {
	Ticket uint64
	Answer Answer
}

// Note is a line for the log about one job or agent.
type Note struct {
	Job   string
	Queue string
	Run   messenger.Run
	Agent string
	What  string
	Why   string
	// Age is how long ago the job arrived, or how old the agent's last report is.
	Age time.Duration
	// Size and Wait are set where tasks are placed: how large they are, and how
	// long they have waited.
	Size Size
	Wait time.Duration
}

func (Send) effect()  {}
func (Reply) effect() {}
func (Note) effect()  {}
