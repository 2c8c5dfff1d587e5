package courier

import (
	"encoding/json"
	"time"
)

// Task is one task of a submission.
type Task struct {
	Payload json.RawMessage
	// DeclaredMillis is the caller's estimate of the run time, in milliseconds.
	DeclaredMillis int `json:",omitempty"`
}

// Submission is a caller's request to run a job. A resubmission repeats it with a higher
// Attempt and all other fields unchanged.
type Submission struct {
	Team    string
	Key     string
	Service string
	// Attempt is 1 when the caller sends the submission for the first time, and rises
	// with each resubmission.
	Attempt int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Detached keeps the job running when its caller disconnects.
	Detached bool `json:",omitempty"`
	Tasks    []Task
}

// JobID returns the identity of the submission: team, a slash, and key.
func (s Submission) JobID() string { return s.Team + "/" + s.Key }

// State is the state of a job as its caller sees it.
type State string

// The states of a job. Complete, Failed and NotRun are final answers.
const (
	// Complete means that every task succeeded and all results are present.
	Complete State = "Complete"
	// Failed means that the job ended without the results of all tasks, and that some
	// tasks may have run.
	Failed State = "Failed"
	// NotRun means that no task of the submission has started, and that none
	// will because of this attempt or an earlier one.
	NotRun State = "NotRun"
	// Pending means that the job has not ended.
	Pending State = "Pending"
	// Unknown means that the queried entry knows nothing about the job.
	Unknown State = "Unknown"
	// Moved is never shown to callers: another entry owns the job now.
	Moved State = "Moved"
	// Conflict means that the key is in use with another body.
	Conflict State = "Conflict"
)

// Reason is the reason why a job was not completed.
type Reason string

// The reasons in answers.
const (
	ReasonOverload           Reason = "Overload"
	ReasonTeamQuota          Reason = "TeamQuota"
	ReasonDeadline           Reason = "DeadlinePassed"
	ReasonCancelled          Reason = "Cancelled"
	ReasonTaskFailed         Reason = "TaskFailed"
	ReasonOutcomeUnknown     Reason = "OutcomeUnknown"
	ReasonNoWorker           Reason = "NoWorkerForService"
	ReasonUnknownService     Reason = "UnknownService"
	ReasonBundleNotConfirmed Reason = "ConfigurationNotConfirmed"
	ReasonKeyReused          Reason = "KeyUsedByAnotherBody"
	ReasonAttemptRefused     Reason = "AttemptRefusedBefore"
)

// Answer is the single answer to a submission.
type Answer struct {
	Job    string
	State  State
	Reason Reason `json:",omitempty"`
	// Detail explains the reason in a sentence.
	Detail string `json:",omitempty"`
	// BundleVersion is the version of the configuration that the answer is based on.
	BundleVersion uint64
	// Entry is the entry that owned the job.
	Entry string
	// Results holds the result of each task, in order; only when State is Complete.
	Results []json.RawMessage `json:",omitempty"`
	// MayHaveRun lists the tasks that started or may have started; only when State is
	// Failed.
	MayHaveRun []int `json:",omitempty"`
	// RetryAfter is how long to wait before a resubmission; only when State is NotRun.
	RetryAfter time.Duration `json:",omitempty"`
	// Owner is set when State is Moved and the owner is known.
	Owner string `json:",omitempty"`
	// Admitted is set when State is Moved and the job had been admitted, so that tasks
	// may have started.
	Admitted bool `json:",omitempty"`
}

// Final reports whether callers receive an answer of this state.
func (a Answer) Final() bool {
	return a.State == Complete || a.State == Failed || a.State == NotRun || a.State == Conflict
}
