package acceptor

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// minStoreBackoff is the delay after a failed call to the store, without jitter.
	// It doubles with each further failure up to maxStoreBackoff.
	minStoreBackoff = 150 * time.Millisecond
	maxStoreBackoff = 600 * time.Millisecond
)

// storeBackoffTimer delays the next call to the store after failed ones.
type storeBackoffTimer struct {
	clock clockwork.Clock
	// failures is the number of failed calls since the last successful one.
	failures int
}

// wait sleeps if err, the outcome of the last call, is not nil.
func (r *storeBackoffTimer) wait(err error) {
	if err == nil {
		r.failures = 0
		return
	}
	r.failures++
	r.clock.Sleep(jittered(storeBackoff(r.failures)))
}

// storeBackoff returns the delay after a number of failed calls to the store in a row,
// without jitter.
func storeBackoff(failures int) time.Duration {
	return min(minStoreBackoff<<min(max(failures-1, 0), 2), maxStoreBackoff)
}

// jittered returns a random duration from half to one and a half times d.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
