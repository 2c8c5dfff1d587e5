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

// TestLongLogLinesAreBoundedInBytes guards against a log whose buffer is filled by lines that
// have what a caller sent in them.
func TestLongLogLinesAreBoundedInBytes(t *testing.T) {
	const lineBytes, maxBytes = 64 << 10, 6 << 20
	blocked := &blockedWriter{release: make(chan struct{})}
	nonBlocking := provider.NewNonBlockingWriter(blocked)
	line := bytes.Repeat([]byte("x"), lineBytes)
	for range 1000 {
		_, err := nonBlocking.Write(line)
		require.NoError(t, err)
	}
	require.Positive(t, nonBlocking.Dropped())
	close(blocked.release)
	nonBlocking.Close()
	require.Less(t, blocked.written.Len(), maxBytes)
}
