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
	// Leaving asks the others to take over the entry's partitions.
	Leaving bool
	// RosterCertain tells that the roster holds every agent that may keep
	// records of tasks that are not past their deadline.
	RosterCertain bool
	// Roster lists agent incarnations that may hold such records.
	Roster []RosterAgent
	// Entries lists the entries that the sender knows.
	Entries []EntryInfo
	// BundleVersion is the version in force at the sender.
	BundleVersion uint64
	// Bundle is the signed bundle, when the receiver is known to lack it.
	Bundle json.RawMessage `json:",omitempty"`
	// VotersVersion is the version of the list of registered entries.
	VotersVersion uint64
	// Voters is that list, when the receiver is known to lack it.
	Voters json.RawMessage `json:",omitempty"`
	// Witness means that the sender's word on the bundle counts.
	Witness bool
	// Stamp is the sender's own clock, as the time since its start; Echo is
	// the last Stamp of the receiver's that has arrived. Echo dates what the
	// sender says by the receiver's clock, if the stamp is of the incarnation
	// EchoOf.
	Stamp  time.Duration
	Echo   time.Duration
	EchoOf string `json:",omitempty"`
}

// EchoFor returns the echoed stamp, or zero when it is not of incarnation.
func (h PeerHello) EchoFor(incarnation string) time.Duration {
	if h.EchoOf != incarnation {
		return 0
	}
	return h.Echo
}

// AgentRef names one incarnation of an agent.
type AgentRef struct {
	Agent       string
	Incarnation string
}

// RosterAgent is an agent in a roster.
type RosterAgent struct {
	AgentRef
	// Lapsed is how much has passed of the time for which an agent matters
	// that was lost; it is zero for one in use.
	Lapsed time.Duration `json:",omitempty"`
}

// Relay passes a caller's submission to the entry that owns it.
type Relay struct {
	// ID pairs the RelayReply with the Relay on this link.
	ID         uint64
	Submission Submission
	// Resent marks a copy that may not be the first one sent to an owner.
	Resent bool
}

// RelayReply carries the answer back.
type RelayReply struct {
	ID     uint64
	Answer Answer
}

// RelayLeave tells the owner that the caller of a Relay has left.
type RelayLeave struct {
	ID uint64
}

// RelayQuery asks the owner for the state of a job, or cancels the job.
type RelayQuery struct {
	ID     uint64
	Job    string
	Cancel bool
}
