package executor

import (
	"slices"
	"time"
)

const (
	// callTimeoutLeast and callTimeoutMost bound how long a start or a stop may take
	// before it counts as unanswered. The worker is one hop away.
	callTimeoutLeast = 10 * time.Millisecond
	callTimeoutMost  = 40 * time.Millisecond
	// callTimeoutFactor is the timeout of a call over the median time of recent ones.
	callTimeoutFactor = 8
	// callsKept bounds the calls that are kept, callsEnough is the number that must be
	// known, and callLife the age up to which they count: after a pause a call may have
	// to open a connection.
	callsKept   = 15
	callsEnough = 8
	callLife    = 5 * time.Second
)

// callTimes holds the times of recent calls to the worker, from which the timeout of
// the next ones is derived.
type callTimes struct {
	// calls is ordered by age, the oldest first.
	calls []call
}

// call is the duration of a call and when it ended.
type call struct {
	took time.Duration
	at   time.Time
}

// answered notes a call that was answered.
func (t *callTimes) answered(took time.Duration, now time.Time) {
	t.calls = append(t.calls, call{took: took, at: now})
	if len(t.calls) > callsKept {
		t.calls = t.calls[1:]
	}
}

// unanswered notes a call that was not answered. It counts as one that took the
// longest time, so that calls which have become slower lengthen the wait.
func (t *callTimes) unanswered(now time.Time) { t.answered(callTimeoutMost, now) }

// timeout returns how long a call may take now. The median keeps a few calls that
// were lost from lengthening it.
func (t *callTimes) timeout(now time.Time) time.Duration {
	var list []time.Duration
	for _, c := range t.calls {
		if now.Sub(c.at) <= callLife {
			list = append(list, c.took)
		}
	}
	if len(list) < callsEnough {
		return callTimeoutMost
	}
	slices.Sort(list)
	return min(max(callTimeoutFactor*list[len(list)/2], callTimeoutLeast), callTimeoutMost)
}
