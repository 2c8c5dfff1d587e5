package starter

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

const testEntry = "entry-1"

var testTerm = courier.Term{Number: 1, Holder: testEntry}

// newReadyLedger returns a ledger that starts tasks of entry-1.
func newReadyLedger(clock clockwork.Clock, slots int) *Ledger {
	l := NewLedger(clock, Identity{Agent: "agent-1", Incarnation: "a", DataCentre: "wien"})
	l.SetUpstream(Upstream{Slots: slots, Services: []string{"quote"}})
	l.LinkUp(testEntry, 1)
	l.HandleAnnounceReply(courier.AnnounceReply{
		Fresh: true, BundleVersion: 1, Stamp: clock.Since(l.startedAt), Policy: &courier.AgentPolicy{BundleVersion: 1},
	})
	var all []router.Partition
	for p := range router.Partitions {
		all = append(all, router.Partition(p))
	}
	l.Claim(testEntry, courier.Claim{Term: testTerm, Partitions: all})
	l.TakeEffects()
	return l
}

// newStart returns a Start message with one task, whose number is also its place on the
// link.
func newStart(clock clockwork.Clock, number uint64) courier.Start {
	return courier.Start{LinkNumber: 1, BundleVersion: 1, Tasks: []courier.StartTask{{
		Number:   number,
		Task:     courier.TaskID{Job: fmt.Sprintf("team/job-%d", number)},
		Deadline: clock.Now().Add(time.Minute),
		Term:     testTerm,
		Payload:  json.RawMessage(`{"Millis":100}`),
	}}}
}

// startOutcome returns the effect of a Start message: "run", the reason of a refusal,
// or "" for neither.
func startOutcome(l *Ledger) string {
	out := ""
	for _, e := range l.TakeEffects() {
		switch e := e.(type) {
		case Run:
			out += "run"
		case Send:
			if r, ok := e.Msg.(courier.Refuse); ok {
				out += string(r.Reason)
			}
		}
	}
	return out
}

func TestStart(t *testing.T) {
	tests := []struct {
		name   string
		change func(l *Ledger, clock *clockwork.FakeClock, s *courier.Start)
		want   string
	}{
		{"ready", func(*Ledger, *clockwork.FakeClock, *courier.Start) {}, "run"},
		{"lower term", func(_ *Ledger, _ *clockwork.FakeClock, s *courier.Start) { s.Tasks[0].Term.Number = 0 }, "StaleTerm"},
		{"other holder", func(_ *Ledger, _ *clockwork.FakeClock, s *courier.Start) { s.Tasks[0].Term.Holder = "entry-2" }, "StaleTerm"},
		{"old link", func(l *Ledger, _ *clockwork.FakeClock, _ *courier.Start) { l.LinkUp(testEntry, 2) }, "StaleLink"},
		{"number already handled", func(_ *Ledger, _ *clockwork.FakeClock, s *courier.Start) { s.Tasks[0].Number = 0 }, ""},
		{"deadline passed", func(_ *Ledger, c *clockwork.FakeClock, s *courier.Start) { s.Tasks[0].Deadline = c.Now() }, "DeadlinePassed"},
		{"draining", func(l *Ledger, _ *clockwork.FakeClock, _ *courier.Start) { l.SetDraining() }, "Draining"},
		{"upstream leaving", func(l *Ledger, _ *clockwork.FakeClock, _ *courier.Start) {
			l.SetUpstream(Upstream{Slots: 1, Leaving: true})
		}, "Draining"},
		{"bundle not confirmed for 3 s", func(_ *Ledger, c *clockwork.FakeClock, _ *courier.Start) { c.Advance(FreshnessLimit) }, "NotFresh"},
		{"older bundle", func(_ *Ledger, _ *clockwork.FakeClock, s *courier.Start) { s.BundleVersion = 0 }, "NotFresh"},
		{"data centre taken out", func(l *Ledger, c *clockwork.FakeClock, s *courier.Start) {
			l.HandleAnnounceReply(courier.AnnounceReply{
				Fresh: true, BundleVersion: 2, Stamp: c.Since(l.startedAt),
				Policy: &courier.AgentPolicy{BundleVersion: 2, OutDataCentres: []string{"wien"}},
			})
			s.BundleVersion = 2
		}, "TakenOut"},
		{"no free slot", func(l *Ledger, c *clockwork.FakeClock, s *courier.Start) {
			l.Start(testEntry, newStart(c, 1))
			l.TakeEffects()
			*s = newStart(c, 2)
		}, "Busy"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			l := newReadyLedger(clock, 1)
			s := newStart(clock, 1)
			tt.change(l, clock, &s)
			l.Start(testEntry, s)
			require.Equal(t, tt.want, startOutcome(l))
		})
	}
}

func TestStartOnANewLinkIsAnsweredFromTheRecord(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newReadyLedger(clock, 1)
	s := newStart(clock, 1)
	l.Start(testEntry, s)
	require.Equal(t, "run", startOutcome(l))
	l.Finish(courier.Record{Task: s.Tasks[0].Task, Outcome: courier.Succeeded, Result: json.RawMessage(`1`)})
	l.LinkUp(testEntry, 2)
	l.TakeEffects()
	s.LinkNumber = 2
	l.Start(testEntry, s)
	sent := l.TakeEffects()
	require.Len(t, sent, 1)
	f := sent[0].(Send).Msg.(courier.Finished)
	require.Equal(t, courier.Succeeded, f.Records[0].Outcome)
}

func TestStartExpiresWithItsConfirmationOrItsDeadline(t *testing.T) {
	for _, tt := range []struct {
		name     string
		deadline time.Duration
		want     time.Duration
	}{
		{"confirmation", time.Minute, FreshnessLimit - time.Second},
		{"deadline", 500 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			l := newReadyLedger(clock, 1)
			clock.Advance(time.Second)
			s := newStart(clock, 1)
			s.Tasks[0].Deadline = clock.Now().Add(tt.deadline)
			l.Start(testEntry, s)
			require.Equal(t, clock.Now().Add(tt.want), l.TakeEffects()[0].(Run).ExpiresAt)
		})
	}
}

func TestPolicyNeverReverts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newReadyLedger(clock, 1)
	for _, version := range []uint64{3, 2, 1} {
		l.HandleAnnounceReply(courier.AnnounceReply{
			Fresh: true, BundleVersion: version, Policy: &courier.AgentPolicy{BundleVersion: version},
		})
	}
	require.Equal(t, uint64(3), l.Dump().BundleVersion)
}

// BenchmarkStart measures a task from its start to its acknowledgement.
func BenchmarkStart(b *testing.B) {
	clock := clockwork.NewFakeClock()
	l := newReadyLedger(clock, 8)
	for i := range b.N {
		l.runOne(clock, uint64(i+1))
	}
}

// runOne starts, finishes and acknowledges one task.
func (l *Ledger) runOne(clock clockwork.Clock, number uint64) {
	s := newStart(clock, number)
	l.Start(testEntry, s)
	l.Finish(courier.Record{Task: s.Tasks[0].Task, Outcome: courier.Succeeded, Result: json.RawMessage(`"a result of some bytes"`)})
	l.Acknowledge(courier.Acked{Tasks: []courier.TaskID{s.Tasks[0].Task}})
	l.TakeEffects()
}

// BenchmarkMemory measures the memory that a ledger keeps for a task that has ended.
func BenchmarkMemory(b *testing.B) {
	clock := clockwork.NewFakeClock()
	l := newReadyLedger(clock, 8)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		l.runOne(clock, uint64(i+1))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "bytes/task")
	runtime.KeepAlive(l)
}
