package dispatcher

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
)

// harness is an owner with agents that answer as told.
type harness struct {
	clock   *clockwork.FakeClock
	owner   *Dispatcher
	slots   int
	seen    map[string]uint64
	running map[string][]courier.StartTask
	replies map[Waiter]courier.Answer
	waiter  Waiter
	// forbidden is what agents report as answered NotRun.
	forbidden []courier.Forbidden
}

func testBundle() approver.Bundle {
	return approver.Bundle{
		Version:  1,
		Services: []approver.Service{{Name: "quote", TaskLimit: 1100, DeadlineLimitMillis: 60_000, ExpectedRunMillis: 100}},
		Teams:    []approver.Team{{Name: "team", TaskLimit: 1_000_000}},
		Limits:   approver.Limits{WaitingTaskLimit: 1_000_000, EjectPercent: 30, RetryPercent: 10},
	}
}

func newHarness(agents, slots int) *harness {
	clock := clockwork.NewFakeClock()
	b := &harness{
		clock:   clock,
		owner:   NewDispatcher(clock, Config{Entry: "entry-1", Seed: 1}),
		slots:   slots,
		seen:    make(map[string]uint64),
		running: make(map[string][]courier.StartTask),
		replies: make(map[Waiter]courier.Answer),
	}
	b.owner.SetRosterComplete()
	b.owner.SetView([]string{"entry-1"}, nil)
	b.owner.SetBundle(testBundle(), clock.Now().Add(time.Hour))
	for i := range agents {
		b.owner.AgentLinkUp(b.announce(fmt.Sprintf("agent-%d", i)))
	}
	b.applyEffects()
	return b
}

func (b *harness) announce(name string) courier.Announce {
	return courier.Announce{
		Agent: name, Incarnation: name, Slots: b.slots, Services: []string{"quote"},
		LinkNumber: 1, Load: b.load(name),
	}
}

func (b *harness) load(name string) courier.Load {
	free := b.slots - len(b.running[name])
	return courier.Load{Free: free, Mine: free, Seen: b.seen[name]}
}

// applyEffects carries out the owner's effects: claims are answered and starts run.
func (b *harness) applyEffects() {
	for effects := b.owner.TakeEffects(); len(effects) > 0; effects = b.owner.TakeEffects() {
		for _, e := range effects {
			switch e := e.(type) {
			case Reply:
				b.replies[e.Waiter] = e.Answer
			case Send:
				b.receive(e.To, e.Msg)
			}
		}
	}
}

func (b *harness) receive(name string, msg any) {
	switch m := msg.(type) {
	case courier.Claim:
		b.owner.HandleClaimReply(name, 1, courier.ClaimReply{
			Number: m.Number, Term: m.Term, Partitions: m.Partitions, Load: b.load(name), Forbidden: b.forbidden,
		})
	case courier.Forbid:
		b.owner.HandleForbidden(name, 1, courier.Forbidden{Job: m.Job, Attempt: m.Attempt})
	case courier.Start:
		b.running[name] = append(b.running[name], m.Tasks...)
		b.seen[name] = m.Tasks[len(m.Tasks)-1].Number
	}
}

// finish ends the oldest task of an agent and reports whether there was one.
func (b *harness) finish(name string, outcome courier.Outcome) bool {
	list := b.running[name]
	if len(list) == 0 {
		return false
	}
	b.running[name] = list[1:]
	rec := courier.Record{Task: list[0].Task, Outcome: outcome, Result: json.RawMessage(`"ok"`)}
	b.owner.HandleFinished(name, 1, courier.Finished{Records: []courier.Record{rec}, Load: b.load(name)})
	b.applyEffects()
	return true
}

// submit submits a job of n tasks and returns its waiter.
func (b *harness) submit(key string, n int, deadline time.Duration) Waiter {
	b.waiter++
	s := courier.Submission{Team: "team", Key: key, Service: "quote", Attempt: 1, Deadline: b.clock.Now().Add(deadline)}
	for range n {
		s.Tasks = append(s.Tasks, courier.Task{Payload: json.RawMessage(`{"Millis":100}`)})
	}
	b.owner.Submit(Request{Submission: s, Digest: 1, Waiter: b.waiter})
	b.applyEffects()
	return b.waiter
}

func TestFailingAgentIsEjected(t *testing.T) {
	b := newHarness(10, 4)
	taken := 0
	for i := range 40 {
		b.submit(fmt.Sprintf("job-%d", i), 10, 10*time.Second)
		for b.finish("agent-0", courier.Errored) {
			taken++
		}
		for a := 1; a < 10; a++ {
			for b.finish(fmt.Sprintf("agent-%d", a), courier.Succeeded) {
			}
		}
	}
	require.Less(t, taken, 20, "tasks that the failing agent has taken")
}

func TestNeverMoreThanTheShareIsEjected(t *testing.T) {
	b := newHarness(10, 4)
	for i := range 40 {
		b.submit(fmt.Sprintf("job-%d", i), 20, 10*time.Second)
		for a := range 10 {
			for b.finish(fmt.Sprintf("agent-%d", a), courier.Errored) {
			}
		}
	}
	ejected := 0
	for _, a := range b.owner.Dump().Agents {
		if a.Ejected {
			ejected++
		}
	}
	require.Equal(t, 3, ejected)
}

func TestOverloadIsRefusedAtOnceWithGrowingRetryAfter(t *testing.T) {
	b := newHarness(1, 1)
	b.submit("long", 50, 10*time.Second)
	first := b.replies[b.submit("first", 10, time.Second)]
	second := b.replies[b.submit("second", 10, time.Second)]
	require.Equal(t, courier.NotRun, first.State)
	require.Equal(t, courier.ReasonOverload, first.Reason)
	backlog := 49 * 100 * time.Millisecond
	require.Greater(t, first.RetryAfter, backlog/2)
	require.Less(t, first.RetryAfter, backlog*2)
	require.Greater(t, second.RetryAfter, first.RetryAfter)
}

func TestJobThatNoWorkerRunsIsRefusedAtOnce(t *testing.T) {
	b := newHarness(0, 1)
	a := b.replies[b.submit("job", 1, time.Second)]
	require.Equal(t, courier.NotRun, a.State)
	require.Equal(t, courier.ReasonNoWorker, a.Reason)
}

func TestRefusalsByTheUpstreamSpendABudget(t *testing.T) {
	b := newHarness(2, 8)
	w := b.submit("job", 4, 10*time.Second)
	refusals := 0
	for range 1000 {
		for _, name := range []string{"agent-0", "agent-1"} {
			list := b.running[name]
			if len(list) == 0 {
				continue
			}
			b.running[name] = list[1:]
			refusals++
			b.owner.HandleRefuse(name, 1, courier.Refuse{
				Number: list[0].Number, Task: list[0].Task, Reason: courier.RefusedByUpstream, Load: b.load(name),
			})
			b.applyEffects()
		}
	}
	require.Less(t, refusals, 20)
	require.Contains(t, b.replies, w, "the job is given up at once")
}

// TestRefusalByTheUpstreamIsHeardAfterTheLinkWasReplaced has a task on record as the link breaks that the upstream refuses later.
func TestRefusalByTheUpstreamIsHeardAfterTheLinkWasReplaced(t *testing.T) {
	b := newHarness(1, 1)
	w := b.submit("job", 1, 10*time.Second)
	sent := b.running["agent-0"][0]
	b.owner.AgentLinkDown("agent-0", 1)
	an := b.announce("agent-0")
	an.LinkNumber = 2
	b.owner.AgentLinkUp(an)
	for _, e := range b.owner.TakeEffects() {
		if m, ok := e.(Send).Msg.(courier.Claim); ok {
			b.owner.HandleClaimReply("agent-0", 2, courier.ClaimReply{
				Number: m.Number, Term: m.Term, Partitions: m.Partitions, Load: b.load("agent-0"),
				Records: []courier.Record{{Task: sent.Task, Digest: 1, Outcome: courier.Running}},
			})
		}
	}
	b.running["agent-0"] = nil
	b.owner.HandleRefuse("agent-0", 2, courier.Refuse{
		Number: sent.Number, Task: sent.Task, Reason: courier.RefusedByUpstream, Load: b.load("agent-0"),
	})
	b.applyEffects()
	require.Equal(t, courier.NotRun, b.replies[w].State, "the retry budget is spent")
}

// TestResubmissionOfAForgottenJobIsNotAnsweredNotRun sends a job again that has completed and is past its deadline.
func TestResubmissionOfAForgottenJobIsNotAnsweredNotRun(t *testing.T) {
	b := newHarness(1, 1)
	s := courier.Submission{
		Team: "team", Key: "job", Service: "quote", Attempt: 1, Deadline: b.clock.Now().Add(time.Second),
		Tasks: []courier.Task{{Payload: json.RawMessage(`{}`)}},
	}
	b.owner.Submit(Request{Submission: s, Digest: 1, Waiter: 1})
	b.applyEffects()
	require.True(t, b.finish("agent-0", courier.Succeeded))
	require.Equal(t, courier.Complete, b.replies[1].State)
	b.clock.Advance(time.Second + AnswerRetention)
	b.owner.Tick()
	s.Attempt = 2
	b.owner.Submit(Request{Submission: s, Digest: 1, Waiter: 2})
	b.applyEffects()
	require.Equal(t, courier.Failed, b.replies[2].State)
	require.Equal(t, []int{0}, b.replies[2].MayHaveRun)
}

// TestResumedOwnerHonoursARefusal wakes an owner with a queued job that its
// successor has answered NotRun meanwhile.
func TestResumedOwnerHonoursARefusal(t *testing.T) {
	b := newHarness(1, 1)
	b.submit("running", 1, 30*time.Second)
	w := b.submit("queued", 1, 30*time.Second)
	b.forbidden = []courier.Forbidden{{Job: "team/queued", Attempt: 1}}
	b.clock.Advance(2 * PauseThreshold)
	b.owner.Tick()
	b.applyEffects()
	b.finish("agent-0", courier.Succeeded)
	require.Equal(t, courier.NotRun, b.replies[w].State)
	require.Empty(t, b.running["agent-0"])
}

func TestWhatTheBundleDoesNotAllowIsNamed(t *testing.T) {
	b := newHarness(1, 1)
	bundle := testBundle()
	bundle.Version = 2
	bundle.Services[0].TaskLimit = 2
	b.owner.SetBundle(bundle, b.clock.Now().Add(time.Hour))
	many := b.replies[b.submit("many", 3, time.Second)]
	require.Equal(t, courier.NotRun, many.State)
	require.Contains(t, many.Detail, "Tasks: found 3, allowed up to 2")
	s := courier.Submission{Team: "team", Key: "odd", Service: "odd", Attempt: 1, Deadline: b.clock.Now().Add(time.Second)}
	b.owner.Submit(Request{Submission: s, Waiter: 99})
	b.applyEffects()
	require.Contains(t, b.replies[99].Detail, `Service: found "odd", allowed a service of bundle version 2`)
}

// TestCancellationWave cancels 1,000 waiting jobs: the slots stay in use for
// others, and every caller is answered.
func TestCancellationWave(t *testing.T) {
	b := newHarness(2, 2)
	var waiters []Waiter
	for i := range 1000 {
		waiters = append(waiters, b.submit(fmt.Sprintf("job-%d", i), 1, 59*time.Second))
	}
	for i := range 1000 {
		b.owner.Cancel(fmt.Sprintf("team/job-%d", i))
		b.applyEffects()
	}
	for _, w := range waiters {
		require.Contains(t, []courier.State{courier.NotRun, courier.Failed}, b.replies[w].State)
	}
	require.Zero(t, b.owner.Dump().WaitingTasks)
	require.Zero(t, b.owner.Dump().Unfinished)
}

// BenchmarkTask measures one task from its submission to its answer, with
// other agents idle and other jobs waiting.
func BenchmarkTask(bm *testing.B) {
	for _, agents := range []int{11, 33, 110, 1100} {
		for _, jobs := range []int{10, 1000, 10_000} {
			bm.Run(fmt.Sprintf("agents=%d/waiting=%d", agents, jobs), func(bm *testing.B) {
				b := newHarness(agents, 8)
				for i := range jobs + agents*8 {
					b.submit(fmt.Sprintf("job-%d", i), 1, 59*time.Second)
				}
				messages := b.owner.Counts().Messages
				bm.ResetTimer()
				for i := range bm.N {
					b.submit(fmt.Sprintf("more-%d", i), 1, 59*time.Second)
					b.finish(fmt.Sprintf("agent-%d", i%agents), courier.Succeeded)
				}
				bm.ReportMetric(float64(b.owner.Counts().Messages-messages)/float64(bm.N), "messages/op")
			})
		}
	}
}

// BenchmarkMemory measures what an owner keeps for a finished job of one task.
func BenchmarkMemory(bm *testing.B) {
	b := newHarness(1, 1_000_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range bm.N {
		b.submit(fmt.Sprintf("job-%d", i), 1, 59*time.Second)
		b.finish("agent-0", courier.Succeeded)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bm.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(bm.N), "bytes/job")
	runtime.KeepAlive(b)
}
