package scheduler

import (
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// earlierWitnesses are witnesses at which jobs may still be locked by entries that do not
// know the present list.
type earlierWitnesses struct {
	list []witness
	// inList means that they are the previous ones of the present list. Others are those of
	// a list that this entry knew before and that the present one does not follow; only this
	// entry keeps them.
	inList bool
	// confirmedSince is since when so many of them know the present list that no entry that
	// does not can get a quorum of them; zero if they don't.
	confirmedSince time.Time
	// reachedAt is when a quorum could last be had of them.
	reachedAt time.Time
}

// earlierLossTimeout is after which time without a quorum kept witnesses count as gone.
const earlierLossTimeout = messenger.LockTTL + 3*time.Second

// keptFor returns the earlier witnesses that are kept with a newer list: those that are kept
// already and, unless the list follows the present one, those of the present one.
func (x *witnessSet) keptFor(list messenger.WitnessList, now time.Time) []earlierWitnesses {
	var out []earlierWitnesses
	follows := list.Follows(x.list)
	for _, e := range x.earlier {
		if !e.inList || !follows {
			out = append(out, earlierWitnesses{list: e.list, reachedAt: now})
		}
	}
	if !follows && len(x.current) > 0 {
		out = append(out, earlierWitnesses{list: x.current, reachedAt: now})
	}
	return out
}

// keptAgents returns the names of the earlier witnesses that only this entry keeps.
func (x *witnessSet) keptAgents() []string {
	var out []string
	for _, e := range x.earlier {
		if e.inList {
			continue
		}
		for _, w := range e.list {
			out = append(out, w.Agent)
		}
	}
	return out
}

// lists returns the current witnesses and all earlier ones.
func (x *witnessSet) lists() [][]witness {
	out := [][]witness{x.current}
	for _, e := range x.earlier {
		out = append(out, e.list)
	}
	return out
}

// has reports whether an agent is among the current or earlier witnesses.
func (x *witnessSet) has(agent string) bool {
	return slices.ContainsFunc(x.lists(), func(list []witness) bool {
		return slices.ContainsFunc(list, func(w witness) bool { return w.Agent == agent })
	})
}

// updateEarlier updates what is known of the earlier witnesses, and drops those that only
// this entry keeps and that are needed no more, or gone.
func (s *Scheduler) updateEarlier(now time.Time) {
	for i := range s.witnesses.earlier {
		e := &s.witnesses.earlier[i]
		size := min(maxPanelSize, len(e.list))
		switch {
		case len(s.unconfirmed(e.list)) > size-majority(size):
			e.confirmedSince = time.Time{}
		case e.confirmedSince.IsZero():
			e.confirmedSince = now
		}
		if s.countWitnesses(e.list, func(a *agent) bool { return a.linked }) >= majority(size) {
			e.reachedAt = now
		}
	}
	needed := len(s.witnesses.earlier)
	s.witnesses.earlier = slices.DeleteFunc(s.witnesses.earlier, func(e earlierWitnesses) bool {
		return !e.inList && (e.settled(now) || now.Sub(e.reachedAt) >= earlierLossTimeout)
	})
	if len(s.witnesses.earlier) < needed {
		s.witnesses.version++
		s.emit(WitnessesChanged{List: s.witnesses.list, Kept: s.witnesses.keptAgents()})
	}
}

// settled reports whether no job can be locked at these witnesses only: an entry that does
// not know the present list has no quorum of them any more, and what it had locked has
// expired.
func (e earlierWitnesses) settled(now time.Time) bool {
	return !e.confirmedSince.IsZero() && now.Sub(e.confirmedSince) >= messenger.LockTTL
}

// unconfirmed returns those of some witnesses that are not known to know the present list.
func (s *Scheduler) unconfirmed(list []witness) []string {
	var out []string
	for _, w := range list {
		if a := s.agents[w.Agent]; a == nil || a.witnessVersion < s.witnesses.list.Version {
			out = append(out, w.Agent)
		}
	}
	return out
}

// countWitnesses counts those of some witnesses whose agents are known and match.
func (s *Scheduler) countWitnesses(list []witness, matches func(a *agent) bool) int {
	n := 0
	for _, w := range list {
		if a := s.agents[w.Agent]; a != nil && matches(a) {
			n++
		}
	}
	return n
}

// listConfirmed reports whether a quorum of the current witnesses knows the present list.
func (s *Scheduler) listConfirmed() bool {
	size := min(maxPanelSize, len(s.witnesses.current))
	return len(s.witnesses.current)-len(s.unconfirmed(s.witnesses.current)) >= majority(size)
}

// WitnessChange is the progress of a change of the witnesses.
type WitnessChange struct {
	// Settled means that no job can be locked at the previous witnesses only.
	Settled bool
	// Unconfirmed are the previous witnesses that are not known to know the present list.
	Unconfirmed []string
}

// WitnessChange returns the progress of the present change.
func (s *Scheduler) WitnessChange() WitnessChange {
	i := slices.IndexFunc(s.witnesses.earlier, func(e earlierWitnesses) bool { return e.inList })
	if i < 0 {
		return WitnessChange{}
	}
	previous := s.witnesses.earlier[i]
	return WitnessChange{Settled: previous.settled(s.clock.Now()), Unconfirmed: s.unconfirmed(previous.list)}
}
