package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// panelSize is the number of witnesses of a job, if there are as many groups of them.
// Two of three are a quorum, so that a job can be locked while one of them is lost.
const panelSize = 3

const (
	// witnessSilenceTimeout is how long after its last report a witness is replaced for
	// the jobs that an entry has locked. Links without traffic are closed by then.
	witnessSilenceTimeout = messenger.IdleTimeout + 40*time.Millisecond
	// witnessLossTimeout is the same for jobs that an entry wants to lock. By then the
	// locks that the witness had granted have expired, so that the jobs of an entry
	// that has lost it as well have been locked elsewhere or given up.
	witnessLossTimeout = messenger.LockTTL
	// witnessAbsenceTimeout is the same for a witness whose process has ended, as a
	// refused link or its restart shows. The other entries learn that by their links,
	// and lock their jobs elsewhere at once.
	witnessAbsenceTimeout = 100 * time.Millisecond
)

// Witness is an agent that keeps locks of jobs.
type Witness struct {
	Agent string
	// Group names the agents that are likely to be lost together. A job has its
	// witnesses in different groups.
	Group string
	// Spare means that the agent is a witness only while all others of its group that
	// come before it in the list are lost.
	Spare bool
}

// witness is a Witness as an entry sees it.
type witness struct {
	Witness
	hash, groupHash uint64
	// knownSince is when the entry learned of the witness.
	knownSince time.Time
	// suspect means that another witness takes its place for jobs that this entry has
	// locked, and lost that one does for all jobs.
	suspect, lost bool
}

// witnessSet holds the witnesses that all entries have in common. Entries that know the
// same agents choose the same witnesses for a job, without asking each other.
type witnessSet struct {
	list []witness
	// version rises with each change that may change the panel of a job.
	version uint64
	// allStarted means that most of the witnesses have reported, and that none has run
	// for allStartedWithin: the whole deployment has just started.
	allStarted bool
	// degradedAt is when a witness was last replaced. Other entries notice that, and its
	// end, somewhat earlier or later.
	degradedAt time.Time
}

// allStartedWithin is the maximum uptime of a witness for all to count as just started. It
// exceeds the time for which a restarted one counts as such, by that within which the
// machines of a deployment start together.
const allStartedWithin = 2 * messenger.IdleTimeout

// SetWitnesses replaces the witnesses.
func (s *Scheduler) SetWitnesses(list []Witness) {
	now := s.clock.Now()
	next := make([]witness, 0, len(list))
	for _, w := range list {
		known := witness{Witness: w, hash: hashName(w.Agent), groupHash: hashName(w.Group), knownSince: now}
		if i := slices.IndexFunc(s.witnesses.list, func(o witness) bool { return o.Witness == w }); i >= 0 {
			known = s.witnesses.list[i]
		}
		next = append(next, known)
	}
	s.witnesses.list = next
	s.witnesses.version++
	s.advanceLocks(now)
}

// updateWitnesses marks the witnesses that have to be replaced, and updates allStarted and
// degradedAt.
func (s *Scheduler) updateWitnesses(now time.Time) {
	s.witnesses.allStarted = s.allWitnessesStarted()
	for i := range s.witnesses.list {
		w := &s.witnesses.list[i]
		if suspect, lost := s.witnessState(w, now); suspect != w.suspect || lost != w.lost {
			w.suspect, w.lost = suspect, lost
			s.witnesses.version++
		}
		if w.suspect {
			s.witnesses.degradedAt = now
		}
	}
}

// allWitnessesStarted reports whether all witnesses have just started, as far as known.
func (s *Scheduler) allWitnessesStarted() bool {
	witnesses, started := 0, 0
	for _, w := range s.witnesses.list {
		if w.Spare {
			continue
		}
		witnesses++
		a := s.agents[w.Agent]
		switch {
		case a == nil || !a.linked || a.report.Timestamp == 0:
		case a.report.Timestamp > allStartedWithin:
			return false
		default:
			started++
		}
	}
	return started >= majority(witnesses)
}

// remembers reports whether a witness knows of all locks that it may have granted. One that
// has restarted has forgotten them, until the entries have noticed that and have locked
// their jobs there again: links without traffic close. If all witnesses have just
// started, there is nothing that any of them could have forgotten.
func (s *Scheduler) remembers(a *agent) bool {
	return s.witnesses.allStarted || a.report.Timestamp > messenger.IdleTimeout
}

// witnessState reports whether a witness is suspect or lost. An agent that has become
// known only recently is neither, nor is one whose reports were not read during a pause
// of the entry.
func (s *Scheduler) witnessState(w *witness, now time.Time) (suspect, lost bool) {
	seenAt := w.knownSince
	if s.resumedAt.After(seenAt) {
		seenAt = s.resumedAt
	}
	a := s.agents[w.Agent]
	if a != nil && a.reportedAt.After(seenAt) {
		seenAt = a.reportedAt
	}
	silence := now.Sub(seenAt)
	if a != nil && a.ended(s.remembers(a)) {
		return true, silence > witnessLossTimeout || now.Sub(a.linkLostAt) > witnessAbsenceTimeout
	}
	return silence > witnessSilenceTimeout, silence > witnessLossTimeout
}

// ended reports whether a process of the agent has ended recently: none listens at its
// address, or another one reports that does not remember the locks of the first.
func (a *agent) ended(remembers bool) bool {
	return a.refusedLink || a.linked && a.report.Timestamp > 0 && !remembers
}

// replaced reports whether another witness takes the place of w: for a job that the entry
// has locked, or for one that it wants to lock.
func (w witness) replaced(locked bool) bool { return w.lost || locked && w.suspect }

// witnessGroup is a group of witnesses as seen from one job.
type witnessGroup struct {
	name string
	rank uint64
	// first is the first witness of the group, by its rank for the job, that is not
	// replaced. If all are, it is the first one, and lost is set.
	first witness
	lost  bool
	// substitute means that another witness of the group would come before.
	substitute bool
}

// panel returns the names of the agents that are the witnesses of a job, at most
// panelSize, in the order in which this entry asks them. They are chosen by hashes of
// the job and the names. Groups that are lost are replaced as long as no more than half
// of the groups are: of two parts of a deployment that cannot reach each other, at most
// one goes on, unless they are equal. locked is whether the entry has locked the job; it
// then looks for substitutes earlier than entries that want the job.
func (x *witnessSet) panel(jobHash uint64, dataCentre string, locked bool) []string {
	groups := x.groupsByRank(jobHash, locked)
	usable := slices.DeleteFunc(slices.Clone(groups), func(g witnessGroup) bool { return g.lost })
	first := groups[:min(panelSize, len(groups))]
	chosen := first
	if 2*len(usable) >= len(groups) {
		chosen = usable[:min(panelSize, len(usable))]
	}
	// Substitutes come last: other entries may be able to reach the first choice.
	order := func(g witnessGroup) int {
		switch {
		case g.substitute || !slices.ContainsFunc(first, func(o witnessGroup) bool { return o.name == g.name }):
			return 2
		case g.name != dataCentre:
			return 1
		}
		return 0
	}
	chosen = slices.Clone(chosen)
	slices.SortStableFunc(chosen, func(a, b witnessGroup) int { return cmp.Compare(order(a), order(b)) })
	var out []string
	for _, g := range chosen {
		out = append(out, g.first.Agent)
	}
	return out
}

// groupsByRank returns the groups of witnesses in the order of a job.
func (x *witnessSet) groupsByRank(jobHash uint64, locked bool) []witnessGroup {
	var groups []witnessGroup
	for _, w := range x.byRank(jobHash) {
		i := slices.IndexFunc(groups, func(g witnessGroup) bool { return g.name == w.Group })
		switch {
		case i < 0:
			groups = append(groups, witnessGroup{name: w.Group, rank: mixHashes(jobHash, w.groupHash), first: w, lost: w.replaced(locked)})
		case groups[i].lost && !w.replaced(locked):
			groups[i].first = w
			groups[i].lost = false
			groups[i].substitute = true
		}
	}
	slices.SortFunc(groups, func(a, b witnessGroup) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return groups
}

// byRank returns the witnesses in the order of a job, followed by the spare ones in the
// order of the list.
func (x *witnessSet) byRank(jobHash uint64) []witness {
	out := slices.Clone(x.list)
	slices.SortStableFunc(out, func(a, b witness) int {
		switch {
		case a.Spare && b.Spare:
			return 0
		case a.Spare:
			return 1
		case b.Spare:
			return -1
		}
		return cmp.Or(cmp.Compare(mixHashes(jobHash, a.hash), mixHashes(jobHash, b.hash)), cmp.Compare(a.Agent, b.Agent))
	})
	return out
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
