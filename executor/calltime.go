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
	// callTimeoutFactor is the ratio of a call's timeout to the median duration of
	// recent calls.
	callTimeoutFactor = 8
	// maxCallSamples bounds the samples that are kept, minCallSamples is the number
	// that is needed, and callSampleTTL is the age up to which they count: after a
	// quiet period a call may have to open a connection.
	maxCallSamples = 15
	minCallSamples = 8
	callSampleTTL  = 5 * time.Second
)

// callTimes holds the durations of recent calls to the worker, from which the timeout
// of the next ones is derived.
type callTimes struct {
	// samples is ordered by age, the oldest first.
	samples []callSample
}

// callSample is the duration of a call and the time at which it ended.
type callSample struct {
	took time.Duration
	at   time.Time
}

// addAnswered adds the sample of an answered call.
func (t *callTimes) addAnswered(took time.Duration, now time.Time) {
	t.samples = append(t.samples, callSample{took: took, at: now})
	if len(t.samples) > maxCallSamples {
		t.samples = t.samples[1:]
	}
}

// addUnanswered adds the sample of an unanswered call. It counts as one that took the
// longest timeout, so that calls that have become slower raise the timeout.
func (t *callTimes) addUnanswered(now time.Time) { t.addAnswered(maxCallTimeout, now) }

// timeout returns the timeout of a call that is sent now. It follows the median, so
// that a few lost calls do not raise it.
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
