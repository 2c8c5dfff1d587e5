package provider_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.written.Write(p)
}

func TestLogNeverBlocksAndTellsOfWhatItDropped(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	nonBlocking := provider.NewNonBlockingWriter(blocked)
	deps := provider.NewDeps(nonBlocking)
	const lines = 20_000
	done := make(chan struct{})
	go func() {
		for range lines {
			deps.Log.Info("decision")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocks on a writer that is blocked")
	}
	require.Positive(t, nonBlocking.Dropped())
	close(blocked.release)
	nonBlocking.Close()
	require.Contains(t, blocked.written.String(), "log lines dropped")
	require.Less(t, strings.Count(blocked.written.String(), "decision"), lines)
}
