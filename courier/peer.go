package courier

import (
	"encoding/json"
	"time"
)

// PeerHello is an entry's heartbeat to another entry.
type PeerHello struct {
	Entry EntryInfo
	// Incarnation changes when the entry restarts.
	Incarnation string
	// Ready means that the entry owns partitions.
	Ready bool
	// Leaving means that the others take over the entry's partitions.
	Leaving bool
	// RosterCertain means that the roster is complete: it lists every agent that may
	// keep records of tasks that are not past their deadline.
	RosterCertain bool
	// Roster lists agent incarnations that may keep such records.
	Roster []RosterAgent
	// Entries lists the entries that are alive according to the sender.
	Entries []EntryInfo
	// BundleVersion is the version in force at the sender.
	BundleVersion uint64
	// Bundle is the signed bundle, if the receiver is not known to have it.
	Bundle json.RawMessage `json:",omitempty"`
	// VotersVersion is the version of the list of registered entries.
	VotersVersion uint64
	// Voters is that list, if the receiver is not known to have it.
	Voters json.RawMessage `json:",omitempty"`
	// Witness means that the sender's attestation of the bundle counts.
	Witness bool
	// Stamp is the sender's timestamp, as the time since its start; Echo is the last
	// Stamp received from the receiver, sent by its incarnation EchoOf. Echo dates this
	// heartbeat by the receiver's clock if EchoOf is the receiver's present incarnation.
	Stamp  time.Duration
	Echo   time.Duration
	EchoOf string `json:",omitempty"`
}

// EchoFor returns the echoed timestamp, or zero if another incarnation sent it.
func (h PeerHello) EchoFor(incarnation string) time.Duration {
	if h.EchoOf != incarnation {
		return 0
	}
	return h.Echo
}

// AgentRef identifies one incarnation of an agent.
type AgentRef struct {
	Agent       string
	Incarnation string
}

// RosterAgent is an agent in a roster.
type RosterAgent struct {
	AgentRef
	// Lapsed is how much of its retention time has passed for an unreachable agent; it
	// is zero for an agent in use.
	Lapsed time.Duration `json:",omitempty"`
}

// Relay forwards a caller's submission to the entry that owns its partition.
type Relay struct {
	// ID matches the RelayReply to the Relay on this link.
	ID         uint64
	Submission Submission
	// Resent means that the submission may have been sent to an owner before.
	Resent bool
}

// RelayReply returns the answer to a Relay or a RelayQuery.
type RelayReply struct {
	ID     uint64
	Answer Answer
}

// RelayLeave tells the owner that the caller of a Relay has disconnected.
type RelayLeave struct {
	ID uint64
}

// RelayQuery queries the owner for the state of a job, or cancels the job.
type RelayQuery struct {
	ID     uint64
	Job    string
	Cancel bool
}
