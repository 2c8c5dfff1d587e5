package scheduler

import (
	"fmt"
	"time"
)

// quorumLossTimeout is how long no quorum of the witnesses may be in contact before the entry
// says that it cannot serve. Most restarts and cuts are shorter.
const quorumLossTimeout = 3 * time.Second

// quorumContact is whether the entry is in contact with so many witnesses that jobs can be
// locked.
type quorumContact struct {
	// lostSince is since when it is not; zero while it is.
	lostSince time.Time
	// reported is whether the entry process was told that it is not.
	reported bool
}

// updateQuorumContact tells the entry process that no quorum of the witnesses has been in
// contact for long, and that one is again.
func (s *Scheduler) updateQuorumContact(now time.Time) {
	c := &s.quorumContact
	inContact := s.witnessesInContact(now)
	switch {
	case inContact >= majority(len(s.witnesses.current)):
		c.lostSince = time.Time{}
	case c.lostSince.IsZero():
		c.lostSince = now
	}
	lost := !c.lostSince.IsZero() && now.Sub(c.lostSince) >= quorumLossTimeout
	if lost == c.reported {
		return
	}
	c.reported = lost
	what := "enough witnesses in contact"
	if lost {
		what = "too few witnesses in contact"
	}
	s.emit(Note{What: what, Why: fmt.Sprintf("%d of %d", inContact, len(s.witnesses.current))})
	s.emit(QuorumContactChanged{Lost: lost})
}

// witnessesInContact counts the witnesses that were heard of lately.
func (s *Scheduler) witnessesInContact(now time.Time) int {
	return s.countWitnesses(s.witnesses.current, func(a *agent) bool { return a.inContact(now) })
}
