package supervisor

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/executor"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
)

// trueHeartbeat is what the worker of these tests says of itself.
const trueHeartbeat = `{"service":"quotes","address":"10.0.0.1:80","zone":"dc","version":"v1","task_slots":8,"cold_left_ms":0,"state":"ready","capacity":{"cpu":8000,"mem_mb":1000},"labels":["a"],"clock_ms":5000,"sequence":8,"born":1700000000000}`

// heartbeatSink hands heartbeats to an agent's actor.
type heartbeatSink struct{ c *agentActor }

func (s heartbeatSink) HandleHeartbeat(h platform.Heartbeat) bool { return s.c.handleHeartbeat(h) }
func (s heartbeatSink) HandleDeparture(string)                    {}
func (s heartbeatSink) HandleInvalid(error)                       {}

// answerPolls has the worker, which was born with the true heartbeat, answer all polls.
func answerPolls(c *agentActor) {
	for _, e := range c.executor.TakeEffects() {
		if p, ok := e.(executor.Poll); ok {
			c.executor.HandlePollResult(executor.PollResult{Number: p.Number, Born: 1_700_000_000_000})
		}
	}
}

// FuzzOddHeartbeat guards against a heartbeat of another writer under the worker's ID that
// ends the agent, or after which the next true one is not followed.
func FuzzOddHeartbeat(f *testing.F) {
	for _, field := range []string{"cpu", "mem_mb", "clock_ms", "sequence", "born"} {
		for _, value := range []string{"-1", "9e18", "1e300", "9223372036854775807", "null", "{}"} {
			i := strings.Index(trueHeartbeat, `"`+field+`":`) + len(field) + 3
			end := i + strings.IndexAny(trueHeartbeat[i:], ",}")
			f.Add(trueHeartbeat[:i] + value + trueHeartbeat[end:])
		}
	}
	f.Add(strings.Replace(trueHeartbeat, "1700000000000", "1700000000001", 1))
	f.Add(strings.Replace(trueHeartbeat, `"sequence":8`, `"sequence":9007199254740992`, 1))
	f.Add(strings.Repeat("[", 100_000))
	f.Add(strings.Replace(trueHeartbeat, "ready", "draining", 1))
	f.Fuzz(func(t *testing.T, odd string) {
		clock := clockwork.NewFakeClock()
		deps := provider.NewDeps(io.Discard)
		deps.Clock = clock
		c := newAgentActor(&Supervisor{deps: deps, worker: noWorker{}, upstreamUpdates: make(chan messenger.Upstream, 1)})
		handler := platform.NewHeartbeatHandler(heartbeatSink{c})
		send := func(body string) int {
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, httptest.NewRequest("PUT", "/api/instances/w", strings.NewReader(body)))
			answerPolls(c)
			return response.Code
		}
		require.Equal(t, http.StatusOK, send(trueHeartbeat))
		want := c.executor.Upstream()
		send(odd)
		if up := c.executor.Upstream(); up.Incarnation() == want.Incarnation() && up.Draining {
			// A complete heartbeat says that the worker drains, which it never takes back.
			want.Draining = true
			want.Remaining = up.Remaining
		}
		clock.Advance(maxHeartbeatDelay + time.Millisecond)
		require.Equal(t, http.StatusOK, send(strings.Replace(trueHeartbeat, `"sequence":8`, `"sequence":9`, 1)))
		require.Equal(t, want, c.executor.Upstream())
	})
}
