package executor

import (
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// Effect is something that the agent process has to do.
type Effect interface{ effect() }

// Start sends a start to the worker.
type Start struct {
	Run  messenger.Run
	Spec string
	// Token fences off all earlier calls.
	Token uint64
	// LeaseUntil is how long the run may go on without word, and when the start has
	// to have arrived. It is set when the start is decided on, so that one that
	// is held up does not lengthen the lease unseen.
	LeaseUntil time.Time
	// Timeout is how long the call may take before it counts as unanswered.
	Timeout time.Duration
	// Upstream is the incarnation that is meant.
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

// Poll asks the worker for what it runs and what has ended.
type Poll struct {
	Number uint64
	Token  uint64
	// AckedEnd is the number of the last end that was taken in.
	AckedEnd int64
	// LeaseUntil is how long the runs may go on; zero renews nothing.
	LeaseUntil time.Time
	// MaxWait is how long the worker may wait for an end before it answers.
	MaxWait  time.Duration
	Upstream messenger.Upstream
}

// SendReport sends a report to an entry.
type SendReport struct {
	Entry  string
	Report messenger.Report
}

// TickAfter asks for a Tick after a while.
type TickAfter struct {
	Delay time.Duration
}

// Note is a line for the log about one run.
type Note struct {
	Run   messenger.Run
	Owner string
	// Worker is the id of the worker that the run was sent to.
	Worker string
	What   string
	Why    string
	Age    time.Duration
}

func (Start) effect()      {}
func (Stop) effect()       {}
func (Poll) effect()       {}
func (SendReport) effect() {}
func (TickAfter) effect()  {}
func (Note) effect()       {}

func compareRuns(a, b messenger.Run) int {
	if c := strings.Compare(a.Task, b.Task); c != 0 {
		return c
	}
	return a.Number - b.Number
}
