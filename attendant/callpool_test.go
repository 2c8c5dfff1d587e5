package attendant

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallsDoNotWaitForEachOther(t *testing.T) {
	const many = 5 * pooledGoroutines
	c := newCallPool(t.Context())
	for range 3 {
		var began, ended sync.WaitGroup
		release := make(chan struct{})
		began.Add(many)
		ended.Add(many)
		for range many {
			c.run(func() {
				began.Done()
				<-release
				ended.Done()
			})
		}
		all := make(chan struct{})
		go func() {
			began.Wait()
			close(all)
		}()
		select {
		case <-all:
		case <-time.After(5 * time.Second):
			t.Fatal("a call waits for another one")
		}
		close(release)
		ended.Wait()
	}
	require.LessOrEqual(t, len(c.idleSlots), pooledGoroutines)
}
