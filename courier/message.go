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

// TaskID identifies one task of one submission for good.
type TaskID struct {
	// Job is the identity of the submission: team, a slash, and key.
	Job string
	// Index is the task's place in the submission, from 0.
	Index int
}

// Outcome tells how a started task ended.
type Outcome string

// The outcomes of a started task.
const (
	// Running means that the task has started and has not ended.
	Running Outcome = "Running"
	// Succeeded means that the upstream returned a result.
	Succeeded Outcome = "Succeeded"
	// Errored means that the upstream ran the task and reported an error.
	Errored Outcome = "Errored"
	// Lost means that the task started and nobody can tell how it ended.
	Lost Outcome = "Lost"
	// Stopped means that the task started and was stopped by a cancellation.
	Stopped Outcome = "Stopped"
)

// Record is what an agent knows about one task that it has started.
type Record struct {
	Task    TaskID
	Digest  uint64
	Outcome Outcome
	Result  json.RawMessage `json:",omitempty"`
}

// RefuseReason is the reason why an agent did not start a task. A refused task has
// not started and cannot start from that message any more.
type RefuseReason string

// The reasons of an agent's refusal.
const (
	RefusedBusy           RefuseReason = "Busy"
	RefusedDraining       RefuseReason = "Draining"
	RefusedNotFresh       RefuseReason = "NotFresh"
	RefusedTakenOut       RefuseReason = "TakenOut"
	RefusedStaleTerm      RefuseReason = "StaleTerm"
	RefusedStaleLink      RefuseReason = "StaleLink"
	RefusedDeadlinePassed RefuseReason = "DeadlinePassed"
	RefusedByUpstream     RefuseReason = "NotStartedByUpstream"
)

// EntryInfo names an entry and where other processes reach it.
type EntryInfo struct {
	ID string
	// Link is the host and port that agents and other entries connect to.
	Link string
}

// Load is an agent's report of its slots. Every message from an agent to an
// entry carries one, so that owners learn of free slots without asking.
type Load struct {
	// Free counts the slots that any owner may start into now; Mine counts
	// those among them that other owners use only when theirs are taken.
	Free int
	Mine int
	// Seen is the Number of the last task of this link's Start messages that
	// was handled. An owner subtracts what it sent since from Free.
	Seen uint64
}

// Announce is an agent's heartbeat to an entry. The first one on a link makes
// the agent known.
type Announce struct {
	Agent       string
	Incarnation string
	DataCentre  string
	Rack        string
	Slots       int
	Services    []string
	// Draining means that nothing may start now; Stopping, that this
	// incarnation will start nothing any more.
	Draining bool
	Stopping bool `json:",omitempty"`
	// LinkNumber identifies this link among all links of the incarnation.
	LinkNumber uint64
	// Acked lists the entries that have this incarnation in their roster.
	Acked []string
	// BundleVersion is the version that the agent works under.
	BundleVersion uint64
	// Stamp is the agent's own clock, as the time since its start.
	Stamp time.Duration
	Load  Load
}

// AgentPolicy is the part of a configuration bundle that agents need.
type AgentPolicy struct {
	BundleVersion uint64
	// OutDataCentres lists the data centres where nothing may start.
	OutDataCentres []string
}

// AnnounceReply is an entry's answer to Announce.
type AnnounceReply struct {
	Entry   EntryInfo
	Entries []EntryInfo
	// Stamp is the Stamp of the Announce that this answers.
	Stamp time.Duration
	// Fresh tells whether the entry could confirm its bundle version at all.
	Fresh bool
	// Age is how long before the receipt of the Announce the entry last
	// confirmed that no newer bundle was accepted.
	Age time.Duration
	// BundleVersion is the version that was confirmed.
	BundleVersion uint64
	// Policy is set when the agent's version differs.
	Policy *AgentPolicy `json:",omitempty"`
	// Terms holds the highest term known for each partition, on the first
	// answer of a link, so that a restarted agent refuses old owners.
	Terms []Term `json:",omitempty"`
}

// Claim asks an agent to refuse lower terms for some partitions, and to
// report what it has started in them.
type Claim struct {
	// Number rises by one with each claim on the link.
	Number     uint64
	Term       Term
	Partitions []router.Partition
}

// ClaimReply answers Claim. Partitions where the agent knows a higher term are
// in Refused with that term; the others are fenced.
type ClaimReply struct {
	Number     uint64
	Term       Term
	Partitions []router.Partition
	Refused    map[router.Partition]Term `json:",omitempty"`
	Records    []Record                  `json:",omitempty"`
	// Forbidden lists the attempts that were answered NotRun.
	Forbidden []Forbidden `json:",omitempty"`
	Load      Load
}

// Forbid asks an agent to remember that the attempts at a job up to Attempt
// are answered NotRun. One agent is enough: an entry that claims the partition
// later learns of it, or knows that it could not ask that agent.
type Forbid struct {
	LinkNumber uint64
	Term       Term
	Job        string
	Attempt    int
	Deadline   time.Time
}

// Forbidden answers Forbid. It comes only when the agent will remember.
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
	// Number rises by one with each task sent on the link, from 1. An agent
	// drops numbers that it has seen, so that a doubled message does nothing.
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
	// LinkNumber is the LinkNumber of the Announce on the same link. An agent
	// refuses other links, so that a message left in a buffer starts nothing.
	LinkNumber    uint64
	BundleVersion uint64
	// Offer is the offered slot that the first task uses, or 0.
	Offer uint64 `json:",omitempty"`
	Tasks []StartTask
}

// Refuse reports a task of a Start that was not started.
type Refuse struct {
	// Number is the Number of the refused StartTask.
	Number uint64
	Task   TaskID
	Reason RefuseReason
	// Term is the higher term when Reason is RefusedStaleTerm.
	Term Term
	Load Load
}

// Finished reports tasks that have ended.
type Finished struct {
	Records []Record
	// Offer is a slot held for the receiver for a short time, or 0.
	Offer uint64 `json:",omitempty"`
	Load  Load
}

// Acked tells an agent that the results of tasks have arrived.
type Acked struct {
	Tasks []TaskID
}

// Demand tells an agent that an owner has tasks waiting for a slot.
type Demand struct {
	// Waiting counts the tasks. Zero withdraws the demand.
	Waiting int
	// Age is how long ago the first of them was due, by its owner's order. It
	// is below zero when that is yet to come. The highest Age goes first.
	Age time.Duration
}

// Offer holds a free slot for an owner with waiting tasks.
type Offer struct {
	Offer uint64
	Load  Load
}

// Decline gives an offered slot back unused.
type Decline struct {
	Offer uint64
}

// Stop asks an agent to stop the running tasks of a job.
type Stop struct {
	Tasks []TaskID
}
