package courier

import (
	"encoding/json"
	"time"

	"github.com/pomeloferry/pomeloferry/router"
)

// Term orders the successive owners of a partition. The zero Term is lower
// than every term that an owner claims.
type Term struct {
	// Number rises with each claim of the partition.
	Number uint64
	// Holder is the entry that claimed the term; it breaks ties.
	Holder string
}

// Less reports whether t is lower than u.
func (t Term) Less(u Term) bool {
	if t.Number != u.Number {
		return t.Number < u.Number
	}
	return t.Holder < u.Holder
}

// TaskID identifies one task of one submission, across resubmissions.
type TaskID struct {
	// Job is the identity of the submission: team, a slash, and key.
	Job string
	// Index is the task's position in the submission, from 0.
	Index int
}

// Outcome is the outcome of a started task.
type Outcome string

// The outcomes of a started task.
const (
	// Running means that the task has started and has not ended.
	Running Outcome = "Running"
	// Succeeded means that the upstream returned a result.
	Succeeded Outcome = "Succeeded"
	// Errored means that the upstream ran the task and reported an error.
	Errored Outcome = "Errored"
	// Lost means that the task started and its outcome cannot be determined.
	Lost Outcome = "Lost"
	// Stopped means that the task started and was stopped by a cancellation.
	Stopped Outcome = "Stopped"
)

// Record is an agent's record of one task that it has started.
type Record struct {
	Task    TaskID
	Digest  uint64
	Outcome Outcome
	Result  json.RawMessage `json:",omitempty"`
}

// RefuseReason is the reason why an agent did not start a task. A refused task has not
// started, and that message can no longer start it.
type RefuseReason string

// The reasons why agents do not start tasks.
const (
	// RefusedBusy means that no slot was free.
	RefusedBusy RefuseReason = "Busy"
	// RefusedDraining means that the agent or its upstream is draining.
	RefusedDraining RefuseReason = "Draining"
	// RefusedNotFresh means that the agent's bundle version was not confirmed recently
	// enough, or that the entry's version is older.
	RefusedNotFresh RefuseReason = "NotFresh"
	// RefusedTakenOut means that the agent's data centre is taken out of use.
	RefusedTakenOut RefuseReason = "TakenOut"
	// RefusedStaleTerm means that the task's term is not that of its partition at the
	// agent.
	RefusedStaleTerm RefuseReason = "StaleTerm"
	// RefusedStaleLink means that the message does not belong to the present link.
	RefusedStaleLink RefuseReason = "StaleLink"
	// RefusedDeadlinePassed means that the task's deadline has passed.
	RefusedDeadlinePassed RefuseReason = "DeadlinePassed"
	// RefusedByUpstream means that the upstream is known not to have started the task.
	RefusedByUpstream RefuseReason = "NotStartedByUpstream"
)

// EntryInfo identifies an entry and the address at which other processes reach it.
type EntryInfo struct {
	ID string
	// Link is the host and port that agents and other entries connect to.
	Link string
}

// Load is an agent's report of its slots. Messages from an agent to an entry carry one,
// so that owners learn of free slots without a query.
type Load struct {
	// Free counts the available slots, in which any owner may start a task now; Mine
	// counts the preferred ones among them, which other owners use only when theirs are
	// taken.
	Free int
	Mine int
	// Seen is the Number of the last task of this link's Start messages that the agent
	// has processed. An owner subtracts the tasks that it has sent since from Free.
	Seen uint64
}

// Announce is an agent's heartbeat to an entry. The first one on a link introduces the
// agent.
type Announce struct {
	Agent       string
	Incarnation string
	DataCentre  string
	Rack        string
	Slots       int
	Services    []string
	// Draining means that no task may start now; Stopping, that this incarnation will
	// not start any task again.
	Draining bool
	Stopping bool `json:",omitempty"`
	// LinkNumber identifies this link among all links of the incarnation.
	LinkNumber uint64
	// Acked lists the entries that have this incarnation in their roster.
	Acked []string
	// BundleVersion is the version in force at the agent.
	BundleVersion uint64
	// Stamp is the agent's timestamp, as the time since its start.
	Stamp time.Duration
	Load  Load
}

// AgentPolicy is the part of a configuration bundle that agents need.
type AgentPolicy struct {
	BundleVersion uint64
	// OutDataCentres lists the data centres in which no task may start.
	OutDataCentres []string
}

// AnnounceReply is an entry's answer to Announce.
type AnnounceReply struct {
	Entry   EntryInfo
	Entries []EntryInfo
	// Stamp echoes the Stamp of the Announce that this message answers.
	Stamp time.Duration
	// Fresh reports whether the entry has confirmed its bundle version at all.
	Fresh bool
	// Age is the time from the entry's last confirmation that no newer bundle had been
	// accepted to the receipt of the Announce.
	Age time.Duration
	// BundleVersion is the version that was confirmed.
	BundleVersion uint64
	// Policy is set when the agent's version is older.
	Policy *AgentPolicy `json:",omitempty"`
	// Terms holds the highest term known for each partition, in the first reply on a
	// link, so that a restarted agent refuses old owners.
	Terms []Term `json:",omitempty"`
}

// Claim asks an agent to refuse lower terms for some partitions, and to report the tasks
// that it has started in them.
type Claim struct {
	// Number rises by one with each claim on the link.
	Number     uint64
	Term       Term
	Partitions []router.Partition
}

// ClaimReply answers Claim. Partitions for which the agent knows a higher term are in
// Refused with that term; the others are fenced.
type ClaimReply struct {
	Number     uint64
	Term       Term
	Partitions []router.Partition
	Refused    map[router.Partition]Term `json:",omitempty"`
	Records    []Record                  `json:",omitempty"`
	// Forbidden lists the forbidden attempts, which were answered NotRun.
	Forbidden []Forbidden `json:",omitempty"`
	Load      Load
}

// Forbid asks an agent to record that the attempts of a job up to Attempt are answered
// NotRun. One agent is enough: an entry that claims the partition later either learns of
// it, or knows that it could not query that agent.
type Forbid struct {
	LinkNumber uint64
	Term       Term
	Job        string
	Attempt    int
	Deadline   time.Time
}

// Forbidden answers Forbid. It is sent only if the agent has recorded the attempt.
type Forbidden struct {
	Job     string
	Attempt int
}

// Superseded tells an entry that another one has claimed its partitions.
type Superseded struct {
	Term       Term
	Partitions []router.Partition
}

// StartTask asks for one task to be started.
type StartTask struct {
	// Number rises by one with each task sent on the link, from 1. An agent ignores
	// numbers that it has processed, so that a duplicated message has no effect.
	Number   uint64
	Task     TaskID
	Digest   uint64
	Service  string
	Deadline time.Time
	Term     Term
	Payload  json.RawMessage
}

// Start asks an agent to start tasks into free slots, or to refuse them.
type Start struct {
	// LinkNumber is the LinkNumber of the Announce on the same link. An agent refuses
	// other link numbers, so that a message left in a buffer starts no task.
	LinkNumber    uint64
	BundleVersion uint64
	// Offer is the number of the offer whose slot the first task uses, or 0.
	Offer uint64 `json:",omitempty"`
	Tasks []StartTask
}

// Refuse reports that a task of a Start message was not started.
type Refuse struct {
	// Number is the Number of the refused StartTask.
	Number uint64
	Task   TaskID
	Reason RefuseReason
	// Term is the higher term, if Reason is RefusedStaleTerm.
	Term Term
	Load Load
}

// Finished reports tasks that have ended.
type Finished struct {
	Records []Record
	// Offer is the number of the offer of a slot that is reserved for the receiver for a
	// short time, or 0.
	Offer uint64 `json:",omitempty"`
	Load  Load
}

// Acked tells an agent that the records of ended tasks have arrived.
type Acked struct {
	Tasks []TaskID
}

// Demand tells an agent that an owner has tasks waiting for a slot.
type Demand struct {
	// Waiting counts the tasks. Zero withdraws the demand.
	Waiting int
	// Age is the time since the first of them was due, by its owner's order; it is
	// negative if the task is not due yet. The demand with the highest Age is served
	// first.
	Age time.Duration
}

// Offer tells an owner with waiting tasks that a free slot is reserved for it.
type Offer struct {
	Offer uint64
	Load  Load
}

// Decline returns an offered slot unused.
type Decline struct {
	Offer uint64
}

// Stop asks an agent to stop the running tasks of a job.
type Stop struct {
	Tasks []TaskID
}
