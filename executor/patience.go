package executor

import (
	"slices"
	"time"
)

const (
	// patienceLeast and patienceMost bound how long a start or a stop may take
	// before it counts as unanswered. The worker is one hop away.
	patienceLeast = 10 * time.Millisecond
	patienceMost  = 40 * time.Millisecond
	// patienceFactor is how many times as long as calls take lately one may take.
	patienceFactor = 8
	// patienceCalls is the number of calls that are kept, patienceEnough the
	// number that must be known, and patienceLife the age up to which they count:
	// after a pause a call may have to open a connection.
	patienceCalls  = 15
	patienceEnough = 8
	patienceLife   = 5 * time.Second
)

// patience is how long calls to the worker may take, by how long they took
// lately.
type patience struct {
	// calls are the last ones, the oldest first.
	calls []call
}

// call is how long a call took.
type call struct {
	took time.Duration
	at   time.Time
}

// answered notes a call that was answered.
func (p *patience) answered(took time.Duration, now time.Time) {
	p.calls = append(p.calls, call{took: took, at: now})
	if len(p.calls) > patienceCalls {
		p.calls = p.calls[1:]
	}
}

// unanswered notes a call that was not answered. It counts as one that took the
// longest time, so that calls which have become slower lengthen the wait.
func (p *patience) unanswered(now time.Time) { p.answered(patienceMost, now) }

// within returns how long a call may take now. The median keeps a few calls that
// were lost from lengthening it.
func (p *patience) within(now time.Time) time.Duration {
	var list []time.Duration
	for _, c := range p.calls {
		if now.Sub(c.at) <= patienceLife {
			list = append(list, c.took)
		}
	}
	if len(list) < patienceEnough {
		return patienceMost
	}
	slices.Sort(list)
	return min(max(patienceFactor*list[len(list)/2], patienceLeast), patienceMost)
}
