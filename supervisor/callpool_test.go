package supervisor

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallsDoNotWaitForEachOther(t *testing.T) {
	const calls = 5 * pooledGoroutines
	c := newCallPool(t.Context())
	for range 3 {
		var started, ended sync.WaitGroup
		release := make(chan struct{})
		started.Add(calls)
		ended.Add(calls)
		for range calls {
			c.run(func() {
				started.Done()
				<-release
				ended.Done()
			})
		}
		allStarted := make(chan struct{})
		go func() {
			started.Wait()
			close(allStarted)
		}()
		select {
		case <-allStarted:
		case <-time.After(5 * time.Second):
			t.Fatal("a call waits for another call")
		}
		close(release)
		ended.Wait()
	}
	require.LessOrEqual(t, len(c.idleSlots), pooledGoroutines)
}
