package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunsAreNotLostWithALinkThatAnotherOneReplaces(t *testing.T) {
	tests := []struct {
		name   string
		reopen func(f *fixture)
	}{
		{"before its close is known", func(f *fixture) {
			f.clock.Advance(2 * time.Second)
			f.s.HandleReport(newReport("a", 1))
			f.s.HandleReport(newReport("b", 0))
			f.s.LinkOpened("a")
		}},
		{"after long, and its list of runs has not arrived yet", func(f *fixture) {
			f.s.LinkClosed("a")
			f.clock.Advance(1195 * time.Millisecond)
			f.s.LinkOpened("a")
			f.clock.Advance(10 * time.Millisecond)
			f.s.HandleReport(newReport("b", 0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.connect("a")
			f.connect("b")
			f.s.Submit(1, f.longJob())
			f.takeEffects()
			f.placed()
			tt.reopen(f)
			f.s.Tick()
			require.Empty(t, f.takeEffects(), "run 1 may still be at its agent")
		})
	}
}

func TestAgentThatAcceptsLinksAndSendsNothingIsLost(t *testing.T) {
	f := newFixture(t)
	f.connect("a")
	f.connect("b")
	f.s.Submit(1, f.longJob())
	f.takeEffects()
	// The process is suspended, but its machine still accepts connections.
	for range 12 {
		f.s.LinkClosed("a")
		f.clock.Advance(20 * time.Millisecond)
		f.s.LinkOpened("a")
		f.clock.Advance(400 * time.Millisecond)
		f.heartbeat("b", 0)
		f.s.Tick()
		if len(f.takeEffects()) > 0 {
			return
		}
	}
	t.Fatal("not placed at another agent within 5 s")
}
