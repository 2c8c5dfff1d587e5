package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// maxPanelSize is the number of witnesses of a job, if there are as many. Three of five are
// a quorum, so that a job can be locked while two of them are lost. None of them is
// replaced because an entry cannot reach it: others may, and two entries that choose
// different witnesses can each find a quorum.
const maxPanelSize = 5

// witness is a messenger.Witness with its hashes.
type witness struct {
	messenger.Witness
	hash, groupHash uint64
}

// witnessSet holds the witnesses that all entries have in common.
type witnessSet struct {
	list    messenger.WitnessList
	current []witness
	// earlier are those at which jobs may still be locked by entries that do not know the
	// list. A lock needs a quorum of each.
	earlier []earlierWitnesses
	// version rises with each change of the panels.
	version int
	// unproved means that no quorum of the witnesses of a list has told it since the entry
	// started. Another writer may have left the first one in the store.
	unproved bool
	// allStarted means that most of the witnesses have reported, and that none has run
	// for allStartedWithin: the whole deployment has just started.
	allStarted bool
}

// allStartedWithin is the maximum uptime of a witness for all to count as just started. It
// exceeds the time for which a restarted one has forgotten locks, by that within which the
// machines of a deployment start together.
const allStartedWithin = messenger.LockTTL + messenger.IdleTimeout

// SetWitnesses adopts a list of witnesses, if it is newer than the present one, and tells
// it to the witnesses.
func (s *Scheduler) SetWitnesses(list messenger.WitnessList) {
	if list.Version > s.witnesses.list.Version {
		s.adoptWitnesses(list, s.witnesses.keptFor(list, s.clock.Now()))
	}
}

// ReadWitnesses processes the list in the store. An older one takes the place of an unproved
// one.
func (s *Scheduler) ReadWitnesses(list messenger.WitnessList) {
	known := s.witnesses.list
	if s.witnesses.unproved && list.Version <= known.Version && !list.Equal(known) {
		s.adoptWitnesses(list, nil)
		return
	}
	s.SetWitnesses(list)
}

// adoptWitnesses adopts a list of witnesses, together with earlier ones that are kept.
func (s *Scheduler) adoptWitnesses(list messenger.WitnessList, kept []earlierWitnesses) {
	now := s.clock.Now()
	unproved := s.witnesses.unproved || s.witnesses.list.Version == 0
	earlier := kept
	if len(list.Previous) > 0 {
		earlier = append(earlier, earlierWitnesses{list: newWitnesses(list.Previous), inList: true})
	}
	s.witnesses = witnessSet{list: list, current: newWitnesses(list.Current), earlier: earlier, version: s.witnesses.version + 1, unproved: unproved}
	s.emit(WitnessesChanged{List: list, Kept: s.witnesses.keptAgents()})
	for _, a := range s.agentsByName {
		s.tellWitnesses(a)
		if a.linked {
			s.relock(a, now)
		}
	}
	s.updateWitnesses(now)
	s.advanceLocks(now)
}

// HandleWitnessList processes the newest list that an agent knows.
func (s *Scheduler) HandleWitnessList(name string, list messenger.WitnessList) {
	s.SetWitnesses(list)
	if known := s.witnesses.list; list.Version != known.Version || list.Equal(known) {
		s.findOrAddAgent(name).witnessVersion = list.Version
	}
	s.witnesses.unproved = s.witnesses.unproved && !s.listConfirmed()
}

// tellWitnesses tells an agent that is a witness the list.
func (s *Scheduler) tellWitnesses(a *agent) {
	if a.linked && s.witnesses.has(a.name) {
		s.emit(Send{Agent: a.name, Message: s.witnesses.list})
	}
}

func newWitnesses(list []messenger.Witness) []witness {
	out := make([]witness, 0, len(list))
	for _, w := range list {
		out = append(out, witness{Witness: w, hash: hashName(w.Agent), groupHash: hashName(w.Group)})
	}
	return out
}

// updateWitnesses updates allStarted, and what is known of earlier witnesses.
func (s *Scheduler) updateWitnesses(now time.Time) {
	s.witnesses.allStarted = s.allWitnessesStarted()
	s.updateEarlier(now)
}

// allWitnessesStarted reports whether all witnesses have just started, as far as can be
// known.
func (s *Scheduler) allWitnessesStarted() bool {
	started := 0
	for _, w := range s.witnesses.current {
		a := s.agents[w.Agent]
		switch {
		case a == nil || !a.linked || a.report.Timestamp == 0:
		case a.report.Timestamp > allStartedWithin:
			return false
		default:
			started++
		}
	}
	return started >= majority(len(s.witnesses.current))
}

// remembers reports whether a witness knows of all locks that it may have granted. One that
// has restarted has forgotten them until they have expired, or until all entries that may
// have any have told it. If all witnesses have just started, there is nothing that any of
// them could have forgotten.
func (s *Scheduler) remembers(a *agent) bool {
	return s.witnesses.allStarted || a.report.Timestamp > messenger.LockTTL || s.hasAllHolders(a)
}

// hasAllHolders reports whether all entries that may have locks at the other witnesses have
// told this one, which has restarted, theirs.
func (s *Scheduler) hasAllHolders(a *agent) bool {
	others := 0
	for _, w := range s.witnesses.current {
		o := s.agents[w.Agent]
		if o == nil || !o.linked || o.report.Timestamp <= messenger.LockTTL {
			continue
		}
		if o.holders == 0 || o.holders != a.holders {
			return false
		}
		others++
	}
	return others > 0
}

// panels returns the names of the agents that are the witnesses of a job, in the order in
// which this entry asks them: those in its own data centre first. While there are earlier
// witnesses, the job has a panel of them too.
func (x *witnessSet) panels(jobHash uint64, dataCentre string) [][]string {
	var out [][]string
	for _, list := range x.lists() {
		if panel := choosePanel(list, jobHash); len(panel) > 0 {
			out = append(out, askingOrder(panel, dataCentre))
		}
	}
	return out
}

// choosePanel chooses a job's witnesses by hashes of the job and the names, from as many
// groups as possible.
func choosePanel(list []witness, jobHash uint64) []witness {
	var panel []witness
	rounds := rankInGroups(list, jobHash)
	for _, round := range rounds {
		panel = append(panel, round[:min(len(round), maxPanelSize-len(panel))]...)
	}
	return panel
}

// rankInGroups returns the first witnesses of all groups, then the second ones, and so on,
// each time in the order that the groups have for a job.
func rankInGroups(list []witness, jobHash uint64) [][]witness {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b witness) int {
		return cmp.Or(
			cmp.Compare(mixHashes(jobHash, a.groupHash), mixHashes(jobHash, b.groupHash)),
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(mixHashes(jobHash, a.hash), mixHashes(jobHash, b.hash)),
			cmp.Compare(a.Agent, b.Agent),
		)
	})
	var rounds [][]witness
	round := 0
	for i, w := range sorted {
		if i == 0 || w.Group != sorted[i-1].Group {
			round = 0
		}
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], w)
		round++
	}
	return rounds
}

// askingOrder returns the names of a panel, those in a data centre first.
func askingOrder(panel []witness, dataCentre string) []string {
	var local, remote []string
	for _, w := range panel {
		if w.Group == dataCentre {
			local = append(local, w.Agent)
			continue
		}
		remote = append(remote, w.Agent)
	}
	return append(local, remote...)
}

func majority(n int) int { return n/2 + 1 }

// mixHashes returns a hash of two hashes.
func mixHashes(a, b uint64) uint64 {
	// An odd multiplier that mixes all bits, as in Fibonacci hashing.
	const multiplier = 0x9E3779B97F4A7C15
	mixed := (a ^ b) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}

// hashName returns the hash of a name.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }
