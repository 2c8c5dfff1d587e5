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

// harness is a Dispatcher with simulated agents, which answer claims and run the tasks
// that they are sent.
type harness struct {
	clock      *clockwork.FakeClock
	dispatcher *Dispatcher
	slots      int
	lastNumber map[string]uint64
	running    map[string][]courier.StartTask
	replies    map[Waiter]courier.Answer
	lastWaiter Waiter
	// forbidden is what the agents report as answered NotRun.
	forbidden []courier.Forbidden
}

// testBundle returns a bundle with one service and one team.
func testBundle() approver.Bundle {
	return approver.Bundle{
		Version:  1,
		Services: []approver.Service{{Name: "quote", TaskLimit: 1100, DeadlineLimitMillis: 60_000, ExpectedRunMillis: 100}},
		Teams:    []approver.Team{{Name: "team", TaskLimit: 1_000_000}},
		Limits:   approver.Limits{WaitingTaskLimit: 1_000_000, EjectPercent: 30, RetryPercent: 10},
	}
}

// newHarness returns a harness whose Dispatcher serves all partitions and is linked to
// the agents.
func newHarness(agents, slots int) *harness {
	clock := clockwork.NewFakeClock()
	h := &harness{
		clock:      clock,
		dispatcher: NewDispatcher(clock, Config{Entry: "entry-1", Seed: 1}),
		slots:      slots,
		lastNumber: make(map[string]uint64),
		running:    make(map[string][]courier.StartTask),
		replies:    make(map[Waiter]courier.Answer),
	}
	h.dispatcher.SetRosterComplete()
	h.dispatcher.SetView([]string{"entry-1"}, nil)
	h.dispatcher.SetBundle(testBundle(), clock.Now().Add(time.Hour))
	for i := range agents {
		h.dispatcher.AgentLinkUp(h.announce(fmt.Sprintf("agent-%d", i)))
	}
	h.applyEffects()
	return h
}

func (h *harness) announce(name string) courier.Announce {
	return courier.Announce{
		Agent: name, Incarnation: name, Slots: h.slots, Services: []string{"quote"},
		LinkNumber: 1, Load: h.load(name),
	}
}

func (h *harness) load(name string) courier.Load {
	free := h.slots - len(h.running[name])
	return courier.Load{Free: free, Mine: free, Seen: h.lastNumber[name]}
}

// applyEffects applies the effects of the Dispatcher: claims are answered and starts
// run.
func (h *harness) applyEffects() {
	for effects := h.dispatcher.TakeEffects(); len(effects) > 0; effects = h.dispatcher.TakeEffects() {
		for _, e := range effects {
			switch e := e.(type) {
			case Reply:
				h.replies[e.Waiter] = e.Answer
			case Send:
				h.receive(e.To, e.Msg)
			}
		}
	}
}

// receive handles a message to an agent.
func (h *harness) receive(name string, msg any) {
	switch m := msg.(type) {
	case courier.Claim:
		h.dispatcher.HandleClaimReply(name, 1, courier.ClaimReply{
			Number: m.Number, Term: m.Term, Partitions: m.Partitions, Load: h.load(name), Forbidden: h.forbidden,
		})
	case courier.Forbid:
		h.dispatcher.HandleForbidden(name, 1, courier.Forbidden{Job: m.Job, Attempt: m.Attempt})
	case courier.Start:
		h.running[name] = append(h.running[name], m.Tasks...)
		h.lastNumber[name] = m.Tasks[len(m.Tasks)-1].Number
	}
}

// finish ends the oldest task of an agent and reports whether there was one.
func (h *harness) finish(name string, outcome courier.Outcome) bool {
	list := h.running[name]
	if len(list) == 0 {
		return false
	}
	h.running[name] = list[1:]
	rec := courier.Record{Task: list[0].Task, Outcome: outcome, Result: json.RawMessage(`"ok"`)}
	h.dispatcher.HandleFinished(name, 1, courier.Finished{Records: []courier.Record{rec}, Load: h.load(name)})
	h.applyEffects()
	return true
}

// submit submits a job of n tasks and returns its waiter.
func (h *harness) submit(key string, n int, deadline time.Duration) Waiter {
	h.lastWaiter++
	s := courier.Submission{Team: "team", Key: key, Service: "quote", Attempt: 1, Deadline: h.clock.Now().Add(deadline)}
	for range n {
		s.Tasks = append(s.Tasks, courier.Task{Payload: json.RawMessage(`{"Millis":100}`)})
	}
	h.dispatcher.Submit(Request{Submission: s, Digest: 1, Waiter: h.lastWaiter})
	h.applyEffects()
	return h.lastWaiter
}

// TestLargeJobsThatAreKeptLeaveMemoryForSmallOnes guards against payloads and results that fill
// the memory of an entry after their callers have left, and against a job that is forgotten but
// still counts.
func TestLargeJobsThatAreKeptLeaveMemoryForSmallOnes(t *testing.T) {
	const payload, deadline = 1 << 20, 10 * time.Second
	h := newHarness(1, 100)
	h.dispatcher.cfg.MaxKeptBytes = 16 * payload
	submit := func(key string, bytes int) courier.State {
		h.lastWaiter++
		h.dispatcher.Submit(Request{Waiter: h.lastWaiter, Digest: 1, Submission: courier.Submission{
			Team: "team", Key: key, Service: "quote", Attempt: 1, Detached: true, Deadline: h.clock.Now().Add(deadline),
			Tasks: []courier.Task{{Payload: make(json.RawMessage, bytes)}},
		}})
		h.applyEffects()
		return h.replies[h.lastWaiter].State
	}
	kept := 0
	for ; submit(fmt.Sprint("large-", kept), payload) != courier.NotRun; kept++ {
		require.Less(t, kept, 16, "large jobs are not refused")
	}
	require.Equal(t, 12+1, kept, "the last quarter is for smaller jobs")
	require.NotEqual(t, courier.NotRun, submit("small", 100))
	require.Equal(t, int64(kept)*payload+100, h.dispatcher.keptBytes)
	for h.finish("agent-0", courier.Succeeded) {
	}
	require.Equal(t, int64(kept+1)*int64(len(`"ok"`)), h.dispatcher.keptBytes, "results are kept, payloads are not")
	h.clock.Advance(deadline + AnswerRetention + time.Second)
	h.dispatcher.Tick()
	require.Zero(t, h.dispatcher.keptBytes)
	require.Empty(t, h.dispatcher.jobs)
}

func TestFailingAgentIsEjected(t *testing.T) {
	h := newHarness(10, 4)
	started := 0
	for i := range 40 {
		h.submit(fmt.Sprintf("job-%d", i), 10, 10*time.Second)
		for h.finish("agent-0", courier.Errored) {
			started++
		}
		for a := 1; a < 10; a++ {
			for h.finish(fmt.Sprintf("agent-%d", a), courier.Succeeded) {
			}
		}
	}
	require.Less(t, started, 20, "tasks sent to the failing agent")
}

func TestNeverMoreThanTheShareIsEjected(t *testing.T) {
	h := newHarness(10, 4)
	for i := range 40 {
		h.submit(fmt.Sprintf("job-%d", i), 20, 10*time.Second)
		for a := range 10 {
			for h.finish(fmt.Sprintf("agent-%d", a), courier.Errored) {
			}
		}
	}
	ejected := 0
	for _, a := range h.dispatcher.Dump().Agents {
		if a.Ejected {
			ejected++
		}
	}
	require.Equal(t, 3, ejected)
}

func TestOverloadIsRefusedAtOnceWithGrowingRetryAfter(t *testing.T) {
	h := newHarness(1, 1)
	h.submit("long", 50, 10*time.Second)
	first := h.replies[h.submit("first", 10, time.Second)]
	second := h.replies[h.submit("second", 10, time.Second)]
	require.Equal(t, courier.NotRun, first.State)
	require.Equal(t, courier.ReasonOverload, first.Reason)
	backlog := 49 * 100 * time.Millisecond
	require.Greater(t, first.RetryAfter, backlog/2)
	require.Less(t, first.RetryAfter, backlog*2)
	require.Greater(t, second.RetryAfter, first.RetryAfter)
}

func TestJobThatNoWorkerRunsIsRefusedAtOnce(t *testing.T) {
	h := newHarness(0, 1)
	a := h.replies[h.submit("job", 1, time.Second)]
	require.Equal(t, courier.NotRun, a.State)
	require.Equal(t, courier.ReasonNoWorker, a.Reason)
}

func TestRefusalsByTheUpstreamSpendABudget(t *testing.T) {
	h := newHarness(2, 8)
	w := h.submit("job", 4, 10*time.Second)
	refusals := 0
	for range 1000 {
		for _, name := range []string{"agent-0", "agent-1"} {
			list := h.running[name]
			if len(list) == 0 {
				continue
			}
			h.running[name] = list[1:]
			refusals++
			h.dispatcher.HandleRefuse(name, 1, courier.Refuse{
				Number: list[0].Number, Task: list[0].Task, Reason: courier.RefusedByUpstream, Load: h.load(name),
			})
			h.applyEffects()
		}
	}
	require.Less(t, refusals, 20)
	require.Contains(t, h.replies, w, "the job is aborted at once")
}

// TestRefusalByTheUpstreamIsProcessedAfterTheLinkWasReplaced guards against ignoring a
// refusal by the upstream of a task that was on record when the link to the agent
// ended: on the new link, the task is known only from the record.
func TestRefusalByTheUpstreamIsProcessedAfterTheLinkWasReplaced(t *testing.T) {
	h := newHarness(1, 1)
	w := h.submit("job", 1, 10*time.Second)
	sent := h.running["agent-0"][0]
	h.dispatcher.AgentLinkDown("agent-0", 1)
	an := h.announce("agent-0")
	an.LinkNumber = 2
	h.dispatcher.AgentLinkUp(an)
	for _, e := range h.dispatcher.TakeEffects() {
		if m, ok := e.(Send).Msg.(courier.Claim); ok {
			h.dispatcher.HandleClaimReply("agent-0", 2, courier.ClaimReply{
				Number: m.Number, Term: m.Term, Partitions: m.Partitions, Load: h.load("agent-0"),
				Records: []courier.Record{{Task: sent.Task, Digest: 1, Outcome: courier.Running}},
			})
		}
	}
	h.running["agent-0"] = nil
	h.dispatcher.HandleRefuse("agent-0", 2, courier.Refuse{
		Number: sent.Number, Task: sent.Task, Reason: courier.RefusedByUpstream, Load: h.load("agent-0"),
	})
	h.applyEffects()
	require.Equal(t, courier.NotRun, h.replies[w].State, "the retry budget is spent")
}

// TestResubmissionOfAnExpiredJobIsNotAnsweredNotRun submits a completed job again
// after its deadline, when its answer has expired. NotRun would be wrong, since the
// tasks have run.
func TestResubmissionOfAnExpiredJobIsNotAnsweredNotRun(t *testing.T) {
	h := newHarness(1, 1)
	s := courier.Submission{
		Team: "team", Key: "job", Service: "quote", Attempt: 1, Deadline: h.clock.Now().Add(time.Second),
		Tasks: []courier.Task{{Payload: json.RawMessage(`{}`)}},
	}
	h.dispatcher.Submit(Request{Submission: s, Digest: 1, Waiter: 1})
	h.applyEffects()
	require.True(t, h.finish("agent-0", courier.Succeeded))
	require.Equal(t, courier.Complete, h.replies[1].State)
	h.clock.Advance(time.Second + AnswerRetention)
	h.dispatcher.Tick()
	s.Attempt = 2
	h.dispatcher.Submit(Request{Submission: s, Digest: 1, Waiter: 2})
	h.applyEffects()
	require.Equal(t, courier.Failed, h.replies[2].State)
	require.Equal(t, []int{0}, h.replies[2].MayHaveRun)
}

// TestResumedOwnerHonoursARefusal guards against an owner that resumes after a pause
// and starts a queued job that its successor has answered NotRun meanwhile.
func TestResumedOwnerHonoursARefusal(t *testing.T) {
	h := newHarness(1, 1)
	h.submit("running", 1, 30*time.Second)
	w := h.submit("queued", 1, 30*time.Second)
	h.forbidden = []courier.Forbidden{{Job: "team/queued", Attempt: 1}}
	h.clock.Advance(2 * PauseThreshold)
	h.dispatcher.Tick()
	h.applyEffects()
	h.finish("agent-0", courier.Succeeded)
	require.Equal(t, courier.NotRun, h.replies[w].State)
	require.Empty(t, h.running["agent-0"])
}

func TestViolationOfTheBundleIsNamedInTheAnswer(t *testing.T) {
	h := newHarness(1, 1)
	bundle := testBundle()
	bundle.Version = 2
	bundle.Services[0].TaskLimit = 2
	h.dispatcher.SetBundle(bundle, h.clock.Now().Add(time.Hour))
	many := h.replies[h.submit("many", 3, time.Second)]
	require.Equal(t, courier.NotRun, many.State)
	require.Contains(t, many.Detail, "Tasks: found 3, allowed up to 2")
	s := courier.Submission{Team: "team", Key: "odd", Service: "odd", Attempt: 1, Deadline: h.clock.Now().Add(time.Second)}
	h.dispatcher.Submit(Request{Submission: s, Waiter: 99})
	h.applyEffects()
	require.Contains(t, h.replies[99].Detail, `Service: found "odd", allowed a service of bundle version 2`)
}

// TestCancellationWave cancels 1,000 waiting jobs. No job may stay queued or
// unfinished, so that the slots stay in use for others, and every caller is answered.
func TestCancellationWave(t *testing.T) {
	h := newHarness(2, 2)
	var waiters []Waiter
	for i := range 1000 {
		waiters = append(waiters, h.submit(fmt.Sprintf("job-%d", i), 1, 59*time.Second))
	}
	for i := range 1000 {
		h.dispatcher.Cancel(fmt.Sprintf("team/job-%d", i))
		h.applyEffects()
	}
	for _, w := range waiters {
		require.Contains(t, []courier.State{courier.NotRun, courier.Failed}, h.replies[w].State)
	}
	require.Zero(t, h.dispatcher.Dump().WaitingTasks)
	require.Zero(t, h.dispatcher.Dump().Unfinished)
}

// BenchmarkTask measures one task from its submission to its answer while other agents
// are idle and other jobs wait.
func BenchmarkTask(b *testing.B) {
	for _, agents := range []int{11, 33, 110, 1100} {
		for _, jobs := range []int{10, 1000, 10_000} {
			b.Run(fmt.Sprintf("agents=%d/waiting=%d", agents, jobs), func(b *testing.B) {
				h := newHarness(agents, 8)
				for i := range jobs + agents*8 {
					h.submit(fmt.Sprintf("job-%d", i), 1, 59*time.Second)
				}
				messages := h.dispatcher.Counts().Messages
				b.ResetTimer()
				for i := range b.N {
					h.submit(fmt.Sprintf("more-%d", i), 1, 59*time.Second)
					h.finish(fmt.Sprintf("agent-%d", i%agents), courier.Succeeded)
				}
				b.ReportMetric(float64(h.dispatcher.Counts().Messages-messages)/float64(b.N), "messages/op")
			})
		}
	}
}

// BenchmarkMemory measures the memory that a Dispatcher keeps for a finished job of one
// task.
func BenchmarkMemory(b *testing.B) {
	h := newHarness(1, 1_000_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		h.submit(fmt.Sprintf("job-%d", i), 1, 59*time.Second)
		h.finish("agent-0", courier.Succeeded)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "bytes/job")
	runtime.KeepAlive(h)
}
