package executor

import (
	"slices"
	"time"
)

const (
	// minCallTimeout and maxCallTimeout bound how long a start or a stop may take
	// before it counts as unanswered. The worker is one hop away.
	minCallTimeout = 10 * time.Millisecond
	maxCallTimeout = 40 * time.Millisecond
	// callTimeoutFactor is the timeout of a call over the median time of recent ones.
	callTimeoutFactor = 8
	// maxCallSamples bounds the calls that are kept, minCallSamples is the number that must be
	// known, and callSampleTTL the age up to which they count: after a pause a call may have
	// to open a connection.
	maxCallSamples = 15
	minCallSamples = 8
	callSampleTTL  = 5 * time.Second
)

// callTimes holds the times of recent calls to the worker, from which the timeout of
// the next ones is derived.
type callTimes struct {
	// samples is ordered by age, the oldest first.
	samples []callSample
}

// callSample is the duration of a call and when it ended.
type callSample struct {
	took time.Duration
	at   time.Time
}

// addAnswered notes a call that was answered.
func (t *callTimes) addAnswered(took time.Duration, now time.Time) {
	t.samples = append(t.samples, callSample{took: took, at: now})
	if len(t.samples) > maxCallSamples {
		t.samples = t.samples[1:]
	}
}

// addUnanswered notes a call that was not answered. It counts as one that took the
// longest time, so that calls which have become slower lengthen the wait.
func (t *callTimes) addUnanswered(now time.Time) { t.addAnswered(maxCallTimeout, now) }

// timeout returns how long a call may take now. The median keeps a few calls that
// were lost from lengthening it.
func (t *callTimes) timeout(now time.Time) time.Duration {
	var list []time.Duration
	for _, c := range t.samples {
		if now.Sub(c.at) <= callSampleTTL {
			list = append(list, c.took)
		}
	}
	if len(list) < minCallSamples {
		return maxCallTimeout
	}
	slices.Sort(list)
	return min(max(callTimeoutFactor*list[len(list)/2], minCallTimeout), maxCallTimeout)
}
