package scheduler

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// view is how an entry sees one witness.
type view int

const (
	reached view = iota
	// silent witnesses have not been heard of lately.
	silent
	// refused means that no process listens on the witness's machine.
	refused
	// restarted witnesses may have forgotten locks.
	restarted
	// unknown witnesses are not in the entry's directory.
	unknown
	views
)

// quorumModel finds all quorums that an entry can have for a job, by the scheduler's own
// rule.
type quorumModel struct {
	s   *Scheduler
	now time.Time
	// numbers maps the names of all witnesses to their bits.
	numbers map[string]int
}

func newQuorumModel(list messenger.WitnessList, numbers map[string]int) *quorumModel {
	clock := clockwork.NewFakeClock()
	s := NewScheduler(clock, "entry", "dc-0")
	s.SetWitnesses(list)
	return &quorumModel{s: s, now: clock.Now(), numbers: numbers}
}

// see sets how the entry sees a witness.
func (m *quorumModel) see(name string, v view) {
	delete(m.s.agents, name)
	a := &agent{name: name, linked: true, contactAt: m.now}
	a.report.Timestamp = time.Hour
	switch v {
	case unknown:
		return
	case silent:
		a.contactAt = m.now.Add(-maxContactAge)
	case refused:
		a.linked = false
	case restarted:
		a.report.Timestamp = time.Millisecond
	}
	m.s.agents[name] = a
}

// addQuorums adds the least sets of witnesses that grant a job to the entry, as bits, with
// the witnesses seen as they are.
func (m *quorumModel) addQuorums(out map[uint]bool, jobHash uint64, acquired bool) {
	m.s.witnesses.allStarted = m.s.allWitnessesStarted()
	l := &jobLock{hash: jobHash, acquired: acquired}
	var members []string
	for _, panel := range m.s.panelsOf(l) {
		members = append(members, panel...)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	for granted := range uint(1) << len(members) {
		l.votes = make(map[string]*vote)
		var set uint
		for i, name := range members {
			if granted>>i&1 == 1 {
				l.votes[name] = &vote{state: locked}
				set |= 1 << m.numbers[name]
			}
		}
		if set != 0 && m.s.agentsKnown(l) && m.s.quorum(l, m.now) {
			out[set] = true
		}
	}
}

// agentsKnown reports whether all voters are known; others have not granted anything.
func (s *Scheduler) agentsKnown(l *jobLock) bool {
	for name := range l.votes {
		if s.agents[name] == nil {
			return false
		}
	}
	return true
}

// quorums returns all quorums that an entry with a list can have for a job, however it sees
// the witnesses, unless all have just started. For the witnesses that the job does not have,
// only some views are tried: they matter for that exception alone.
func quorums(list messenger.WitnessList, numbers map[string]int, jobHash uint64) map[uint]bool {
	m := newQuorumModel(list, numbers)
	out := make(map[uint]bool)
	panel := slices.Sorted(maps.Keys(panelMembers(m.s, jobHash)))
	for _, others := range []view{reached, unknown} {
		for _, name := range list.Agents() {
			m.see(name, others)
		}
		total := 1
		for range panel {
			total *= int(views)
		}
		for combination := range total {
			for _, name := range panel {
				m.see(name, view(combination%int(views)))
				combination /= int(views)
			}
			if !m.s.allWitnessesStarted() {
				m.addQuorums(out, jobHash, false)
				m.addQuorums(out, jobHash, true)
			}
		}
	}
	return out
}

func panelMembers(s *Scheduler, jobHash uint64) map[string]bool {
	out := make(map[string]bool)
	for _, panel := range s.witnesses.panels(jobHash, "dc-0") {
		for _, name := range panel {
			out[name] = true
		}
	}
	return out
}

// minimal drops the sets that contain another one.
func minimal(sets map[uint]bool) []uint {
	var out []uint
	for _, set := range slices.SortedFunc(maps.Keys(sets), func(a, b uint) int { return bits.OnesCount(a) - bits.OnesCount(b) }) {
		if !slices.ContainsFunc(out, func(o uint) bool { return o&set == o }) {
			out = append(out, set)
		}
	}
	return out
}

// Guards against two entries that each lock a job at a quorum of its witnesses without one
// in common, since they see the witnesses differently.
func TestAnyTwoQuorumsHaveAWitnessInCommonHoweverEntriesSeeThem(t *testing.T) {
	for dataCentres := 1; dataCentres <= 5; dataCentres++ {
		for agents := 1; agents <= 3; agents++ {
			t.Run(fmt.Sprintf("%d data centres of %d", dataCentres, agents), func(t *testing.T) {
				t.Parallel()
				list := messenger.WitnessList{Version: 1, Current: newTestWitnesses(dataCentres, agents)}
				numbers := numberOf(list)
				for jobHash := range uint64(3) {
					requireCommonWitness(t, minimal(quorums(list, numbers, jobHash)), minimal(quorums(list, numbers, jobHash)))
				}
			})
		}
	}
}

// Guards against the same while the list of witnesses is being changed: an entry may know
// the version before or after that of another.
func TestAnyTwoQuorumsHaveAWitnessInCommonWhileTheWitnessesChange(t *testing.T) {
	for dataCentres := 1; dataCentres <= 5; dataCentres++ {
		for replaced := 1; replaced <= 2*dataCentres; replaced++ {
			before := messenger.WitnessList{Version: 1, Current: newTestWitnesses(dataCentres, 2)}
			next := slices.Clone(before.Current)
			for i := range replaced {
				next[i].Agent = "new-" + next[i].Agent
			}
			between := before.WithCurrent(next)
			after := between.WithoutPrevious()
			numbers := numberOf(between)
			for jobHash := range uint64(2) {
				var sets [][]uint
				for _, list := range []messenger.WitnessList{before, between, after} {
					sets = append(sets, minimal(reachedQuorums(list, numbers, jobHash)))
				}
				requireCommonWitness(t, sets[0], sets[1])
				requireCommonWitness(t, sets[1], sets[1])
				requireCommonWitness(t, sets[1], sets[2])
			}
		}
	}
}

// reachedQuorums returns all quorums of an entry that reaches all witnesses. By the other
// test it has no others if it does not.
func reachedQuorums(list messenger.WitnessList, numbers map[string]int, jobHash uint64) map[uint]bool {
	m := newQuorumModel(list, numbers)
	for _, name := range list.Agents() {
		m.see(name, reached)
	}
	out := make(map[uint]bool)
	m.addQuorums(out, jobHash, false)
	return out
}

// Guards against a change that is completed while an entry that does not know of it can
// still lock jobs at the previous witnesses.
func TestAChangeIsCompletedOnlyWhenNobodyCanLockAtThePreviousWitnessesAlone(t *testing.T) {
	for dataCentres := 1; dataCentres <= 5; dataCentres++ {
		before := messenger.WitnessList{Version: 1, Current: newTestWitnesses(dataCentres, 2)}
		between := before.WithCurrent(newTestWitnesses(dataCentres+1, 1))
		numbers := numberOf(before)
		m := newQuorumModel(between, numbers)
		for confirmed := range uint(1) << len(before.Current) {
			for _, w := range before.Current {
				m.s.findOrAddAgent(w.Agent).witnessVersion = uint64(confirmed>>numbers[w.Agent]&1) * between.Version
			}
			m.s.updateEarlier(m.now)
			if m.s.witnesses.earlier[0].confirmedSince.IsZero() {
				continue
			}
			for jobHash := range uint64(8) {
				for _, quorum := range minimal(reachedQuorums(before, numbers, jobHash)) {
					require.NotZero(t, quorum&confirmed, "%b of %d data centres confirmed", confirmed, dataCentres)
				}
			}
		}
	}
}

// numberOf numbers the witnesses of a list.
func numberOf(list messenger.WitnessList) map[string]int {
	numbers := make(map[string]int)
	for i, name := range list.Agents() {
		numbers[name] = i
	}
	return numbers
}

// requireCommonWitness requires that each set of a has a member in common with each of b.
func requireCommonWitness(t *testing.T, a, b []uint) {
	t.Helper()
	require.NotEmpty(t, a)
	for _, x := range a {
		for _, y := range b {
			require.NotZero(t, x&y, "quorums %b and %b", x, y)
		}
	}
}
