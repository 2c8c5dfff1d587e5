package soaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/platform"
)

// oddItems are values that another writer may leave among the registrations of agents.
func oddItems(agent string) []string {
	registration := func(link, upstream string) string {
		return fmt.Sprintf(`{"Agent":%q,"DataCentre":"dc-0","Link":%q,"Upstream":%s}`, agent, link, upstream)
	}
	return []string{
		registration("127.0.0.1:1", "{}"),
		registration("127.0.0.1:99999", "{}"),
		registration("127.0.0.1:1", `{"Born":99999999999999999999}`),
		registration("127.0.0.1:1", `{"Born":-1}`),
		strings.Repeat(`{"Agent":`, 100_000),
		"null", "[]", "", "\xff\x00",
	}
}

// TestOddItemsCostNobodyTheirAnswers guards against an item that another writer leaves among
// the registrations, and that ends a process or costs an agent its link.
func TestOddItemsCostNobodyTheirAnswers(t *testing.T) {
	runParallel(t)
	d := newDeployment(t, 2, 4)
	d.awaitReady(0)
	for _, inst := range d.allInstances() {
		for i, value := range oddItems(inst.agent.name) {
			d.store.Put(fmt.Sprintf("%sodd-%s-%d", platform.AgentPrefix, inst.agent.name, i), []byte(value))
		}
	}
	time.Sleep(heartbeatInterval)
	d.requireAllServed("odd items")
}

// TestOddHeartbeatsCostNobodyTheirAnswers guards against a heartbeat of another writer under
// a worker's ID after which the next true ones are not followed.
func TestOddHeartbeatsCostNobodyTheirAnswers(t *testing.T) {
	for _, field := range []string{"cpu", "mem_mb", "clock_ms", "sequence", "born", "remaining_ms"} {
		t.Run(field, func(t *testing.T) {
			runParallel(t)
			d := newDeployment(t, 2, 4)
			d.awaitReady(0)
			for _, inst := range d.allInstances() {
				for _, value := range []string{"-1", "9000000000000000000", "1e300", "1e14"} {
					inst.worker.SendOddHeartbeat(d.ctx, field, value)
				}
			}
			time.Sleep(2 * heartbeatInterval)
			d.requireAllServed("odd " + field)
		})
	}
}

// TestAListOfWitnessesOfAnotherWriterCostsNobodyTheirAnswers guards against an item in place
// of the list of witnesses after which no entry serves a job any more.
func TestAListOfWitnessesOfAnotherWriterCostsNobodyTheirAnswers(t *testing.T) {
	for _, tt := range []struct{ name, value string }{
		{"the greatest version, of agents that do not exist", `{"Version":9007199254740991,"Current":[{"Agent":"a"},{"Agent":"b"},{"Agent":"c"}]}`},
		{"a great version, of agents that do not exist", `{"Version":1000000,"Current":[{"Agent":"a"},{"Agent":"b"},{"Agent":"c"}]}`},
		{"the next version, of agents that do not exist", `{"Version":2,"Current":[{"Agent":"a"},{"Agent":"b"},{"Agent":"c"}]}`},
		{"an older version", `{"Version":1,"Current":[{"Agent":"a"}]}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runParallel(t)
			d := newDeployment(t, 2, 6)
			d.awaitReady(0)
			d.store.Put(platform.WitnessesKey, []byte(tt.value))
			// By then witnesses that are gone for good have been replaced, in two steps.
			time.Sleep(7 * time.Second)
			d.requireAllServed("list of witnesses of another writer")
		})
	}
}

// requireAllServed requires that each of a number of jobs is completed.
func (d *deployment) requireAllServed(what string) {
	const jobs = 60
	client := newCallerClient(d.fronts, false)
	for i := range jobs {
		require.Equal(d.t, "complete", d.checker.submit(client, d.fronts, i%len(d.fronts), fmt.Sprintf("%016x", i+1), 2), "job %d", i)
	}
	d.requireGuarantees("%s", what)
}
