package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunsAreNotLostWithALinkThatAnotherOneReplaces(t *testing.T) {
	tests := []struct {
		name   string
		reopen func(b *fixture)
	}{
		{"before its close is known", func(b *fixture) {
			b.clock.Advance(2 * time.Second)
			b.s.HandleReport(newReport("a", 1))
			b.s.HandleReport(newReport("b", 0))
			b.s.LinkOpened("a")
		}},
		{"after long, and its list of runs has not arrived yet", func(b *fixture) {
			b.s.LinkClosed("a")
			b.clock.Advance(1195 * time.Millisecond)
			b.s.LinkOpened("a")
			b.clock.Advance(10 * time.Millisecond)
			b.s.HandleReport(newReport("b", 0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			b.connect("a")
			b.connect("b")
			b.s.Submit(1, b.longJob())
			b.drain()
			b.placed()
			tt.reopen(b)
			b.s.Tick()
			require.Empty(t, b.drain(), "run 1 may still be at its agent")
		})
	}
}

func TestAgentThatAcceptsLinksAndSendsNothingIsLost(t *testing.T) {
	b := newFixture(t)
	b.connect("a")
	b.connect("b")
	b.s.Submit(1, b.longJob())
	b.drain()
	// The process is suspended, but its machine still accepts connections.
	for range 12 {
		b.s.LinkClosed("a")
		b.clock.Advance(20 * time.Millisecond)
		b.s.LinkOpened("a")
		b.clock.Advance(400 * time.Millisecond)
		b.heartbeat("b", 0)
		b.s.Tick()
		if len(b.drain()) > 0 {
			return
		}
	}
	t.Fatal("not placed at another agent within 5 s")
}
