package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunsAreNotLostWithALinkThatAnotherOneReplaces(t *testing.T) {
	tests := []struct {
		name   string
		reopen func(b *bench)
	}{
		{"before its end is known", func(b *bench) {
			b.clock.Advance(2 * time.Second)
			b.s.Report(report("a", 1))
			b.s.Report(report("b", 0))
			b.s.Opened("a")
		}},
		{"late, and its list has not come yet", func(b *bench) {
			b.s.Closed("a")
			b.clock.Advance(1195 * time.Millisecond)
			b.s.Opened("a")
			b.clock.Advance(10 * time.Millisecond)
			b.s.Report(report("b", 0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.open("a")
			b.open("b")
			b.s.Submit(1, b.lasting())
			b.drain()
			b.placed()
			tt.reopen(b)
			b.s.Tick()
			require.Empty(t, b.drain(), "run 1 may go on at its agent")
		})
	}
}

func TestAgentThatTakesLinksAndSaysNothingIsLostInTheEnd(t *testing.T) {
	b := newBench(t)
	b.open("a")
	b.open("b")
	b.s.Submit(1, b.lasting())
	b.drain()
	// The process is stopped; its machine goes on taking connections.
	for range 12 {
		b.s.Closed("a")
		b.clock.Advance(20 * time.Millisecond)
		b.s.Opened("a")
		b.clock.Advance(400 * time.Millisecond)
		b.beat("b", 0)
		b.s.Tick()
		if len(b.drain()) > 0 {
			return
		}
	}
	t.Fatal("placed nowhere in 5 s")
}
