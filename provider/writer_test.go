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
	got     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.got.Write(p)
}

func TestLogNeverBlocksAndTellsOfWhatItDropped(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	ring := provider.NewNonBlockingWriter(w)
	deps := provider.NewDeps(ring)
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
	require.Positive(t, ring.Dropped())
	close(w.release)
	ring.Close()
	require.Contains(t, w.got.String(), "log lines dropped")
	require.Less(t, strings.Count(w.got.String(), "decision"), lines)
}
