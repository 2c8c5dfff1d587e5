package executor

import (
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Effect is an action for the agent process: a Start, Stop, Poll, SendReport,
// SendLockReply, SendWitnesses, ReadEvacuations, TickAfter or Note.
type Effect interface{ effect() }

// Start sends a start to the worker.
type Start struct {
	Run  messenger.Run
	Spec string
	// Token fences off all earlier calls.
	Token uint64
	// LeaseUntil is when the lease of the run expires, and when the start has to have
	// arrived at the latest. It is set when the start is decided on, so that a delayed
	// start does not extend the lease unnoticed.
	LeaseUntil time.Time
	// Timeout is how long the call may take before it counts as unanswered.
	Timeout time.Duration
	// Upstream is the incarnation of the worker that the start is meant for.
	Upstream messenger.Upstream
}

// Stop asks the worker to end a run.
type Stop struct {
	Run   messenger.Run
	Token uint64
	// Timeout is how long the call may take before it counts as unanswered.
	Timeout  time.Duration
	Upstream messenger.Upstream
}

// Poll asks the worker which runs it has and which have ended.
type Poll struct {
	Number uint64
	Token  uint64
	// AckedEnd is the number of the last end that has been processed.
	AckedEnd int64
	// LeaseUntil is when the leases of the runs expire; zero renews nothing.
	LeaseUntil time.Time
	// MaxWait is how long the worker may hold the poll open, waiting for an end.
	MaxWait  time.Duration
	Upstream messenger.Upstream
}

// SendReport sends a report to an entry.
type SendReport struct {
	Entry  string
	Report messenger.Report
}

// SendLockReply sends a LockReply to an entry.
type SendLockReply struct {
	Entry string
	Reply messenger.LockReply
}

// SendWitnesses sends the list of witnesses to an entry.
type SendWitnesses struct {
	Entry string
	List  messenger.WitnessList
}

// ReadEvacuations reads the evacuations from the store. The answer goes to
// HandleEvacuationsRead, a failure to HandleEvacuationsUnread.
type ReadEvacuations struct{}

// TickAfter asks for a call of Tick after a delay.
type TickAfter struct {
	Delay time.Duration
}

// Note is a log entry about a decision, mostly on one run.
type Note struct {
	Run   messenger.Run
	Owner string
	// Worker is the ID of the worker that the run was sent to.
	Worker string
	What   string
	Why    string
	Age    time.Duration
}

func (Start) effect()           {}
func (Stop) effect()            {}
func (Poll) effect()            {}
func (SendLockReply) effect()   {}
func (SendWitnesses) effect()   {}
func (SendReport) effect()      {}
func (ReadEvacuations) effect() {}
func (TickAfter) effect()       {}
func (Note) effect()            {}

func compareRuns(a, b messenger.Run) int {
	if c := strings.Compare(a.Task, b.Task); c != 0 {
		return c
	}
	return a.Number - b.Number
}
