package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/submitter"
)

const (
	// localMemory is the limit of the memory of a process of a settings file, in
	// megabytes, and localDescriptors that of its descriptors.
	localMemory      = 256
	localDescriptors = 4096
	// maxSubmissionBytes is the limit of a submission's body, in bytes.
	maxSubmissionBytes = 4 << 20
	// hugeBytes is a size that nothing inside the limits has, in bytes.
	hugeBytes    = 32 << 20
	localService = "quote"
)

// localDeployment is the deployment of a settings file: a store, an entry, and an agent and
// an upstream.
type localDeployment struct {
	t        *testing.T
	dir      string
	settings configurer.Settings
	store    string
	ended    *checker
	// processes are indexed by their names: store, entry, agent and upstream.
	processes map[string]*process
}

func newLocalDeployment(t *testing.T) *localDeployment {
	d := &localDeployment{t: t, dir: t.TempDir(), ended: newChecker(), processes: make(map[string]*process)}
	t.Cleanup(d.close)
	var addresses []string
	for _, port := range freePorts(t, 5) {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", port))
	}
	d.store = addresses[0]
	d.settings = configurer.Settings{
		Store:     "http://" + d.store,
		Entries:   []configurer.Entry{{ID: "entry", DataCentre: "wien", Listen: addresses[1], Link: addresses[2]}},
		Agents:    []configurer.Agent{{ID: "agent", DataCentre: "wien", Rack: "rack-1", Listen: addresses[3]}},
		Upstreams: []configurer.Upstream{{ID: "upstream", Agent: "agent", Listen: addresses[4], Slots: 8, Connections: 64, Services: []string{localService}}},
	}
	d.settings.Trust = approver.ApproverKeys{"berta": strings.TrimSpace(d.run("bundle", "key", d.path("key")))}
	d.write("settings.json", d.settings)
	d.start("store", "store", "--listen", d.store)
	d.rollOut()
	for _, name := range []string{"entry", "agent", "upstream"} {
		d.start(name, name, "--settings", d.path("settings.json"), "--id", name)
	}
	require.Eventually(t, d.servesJob, readyTimeout, sampleInterval, "the deployment is not ready")
	return d
}

// readyTimeout bounds the start of a deployment.
const readyTimeout = 20 * time.Second

func (d *localDeployment) path(name string) string { return filepath.Join(d.dir, name) }

func (d *localDeployment) write(name string, v any) {
	raw, err := json.Marshal(v)
	require.NoError(d.t, err)
	require.NoError(d.t, os.WriteFile(d.path(name), raw, 0o600))
}

// run runs a command of the program and returns its output.
func (d *localDeployment) run(args ...string) string {
	out, err := exec.Command(programPath, args...).Output()
	require.NoError(d.t, err, "%v", args)
	return string(out)
}

func (d *localDeployment) start(name string, args ...string) {
	log, err := os.Create(d.path(name + ".log"))
	require.NoError(d.t, err)
	p := &process{name: name, args: args, log: log, onUnexpectedExit: d.ended.recordUnexpectedExit}
	d.processes[name] = p
	p.start(d.t)
}

// rollOut writes a bundle to the store.
func (d *localDeployment) rollOut() {
	d.write("bundle.json", approver.Bundle{
		Version: 1, Author: "anna",
		Services:    []approver.Service{{Name: localService, TaskLimit: 1100, DeadlineLimitMillis: 60_000, ExpectedRunMillis: 100}},
		DataCentres: []approver.DataCentre{{Name: "wien", State: approver.In}},
		Teams:       []approver.Team{{Name: "team", TaskLimit: 100_000}},
		Limits:      approver.Limits{WaitingTaskLimit: 100_000, EjectPercent: 30, RetryPercent: 10},
	})
	signed := d.run("bundle", "sign", "--approver", "berta", "--key", d.path("key"), d.path("bundle.json"))
	require.NoError(d.t, os.WriteFile(d.path("signed.json"), []byte(signed), 0o600))
	require.Eventually(d.t, func() bool {
		out, err := exec.Command(programPath, "bundle", "roll-out", "--settings", d.path("settings.json"), "--wait", "0s", d.path("signed.json")).CombinedOutput()
		// Without entries the bundle is written but does not come into force, so that
		// the command fails.
		return err == nil || !bytes.Contains(out, []byte("refused"))
	}, readyTimeout, sampleInterval)
}

func (d *localDeployment) close() {
	for _, p := range d.processes {
		p.stop(syscall.SIGKILL)
		_ = p.log.Close()
	}
}

// servesJob submits one job on a new connection and reports whether it was completed.
func (d *localDeployment) servesJob() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	client := submitter.NewClient(clockwork.NewRealClock(), []string{d.settings.Entries[0].Listen}, 0)
	a, err := client.SubmitOnce(ctx, 0, courier.Submission{
		Team: "team", Key: fmt.Sprint(rand.Uint64()), Service: localService, Attempt: 1,
		Deadline: time.Now().Add(callerTimeout).UTC(),
		Tasks:    []courier.Task{{Payload: json.RawMessage(`{"Millis":10,"Echo":"a"}`)}},
	})
	return err == nil && a.State == courier.Complete
}

func (d *localDeployment) target(name, address string) target {
	return target{pid: d.processes[name].pid, address: address, memory: localMemory * megabyte, descriptors: localDescriptors, serves: d.servesJob}
}

// TestJobsThatOutlastTheirCallersEndNoProcessOfASettingsFile guards against large submissions,
// and answers to them, that are kept when their callers have left.
func TestJobsThatOutlastTheirCallersEndNoProcessOfASettingsFile(t *testing.T) {
	d := newLocalDeployment(t)
	s := sending(detachedSubmission(maxSubmissionBytes * 3 / 4))
	s.Closes = true
	d.target("entry", d.settings.Entries[0].Listen).withstands(t, 100, s, true)
	require.Empty(t, d.ended.violations)
}

// detachedSubmission returns a request for a job that goes on without its caller, and whose
// result has a number of bytes.
func detachedSubmission(resultBytes int) []byte {
	raw, err := json.Marshal(courier.Submission{
		Team: "team", Key: anyID, Service: localService, Attempt: 1, Detached: true,
		Deadline: time.Now().Add(serveTimeout).UTC(),
		Tasks:    []courier.Task{{Payload: json.RawMessage(`{"Millis":10,"Echo":"` + strings.Repeat("a", resultBytes) + `"}`)}},
	})
	if err != nil {
		panic(err) // The value above can always be encoded.
	}
	return withBody("/v1/jobs", len(raw), raw)
}

// TestACrowdEndsNoProcessOfASettingsFile guards against requests and messages that fill the
// memory of a process that runs without the platform.
func TestACrowdEndsNoProcessOfASettingsFile(t *testing.T) {
	heads := sending(ended(headOf("GET", "/dump", oversizeHead, anotherName)))
	hugeBody := func(path string) shape { return sending(unfinishedBody(path, hugeBytes)) }
	hugeMessage := frame(0, hugeBytes, []byte(`{"jsonrpc":"2.0","method":"Claim","params":"`+strings.Repeat("a", hugeBytes-missingBytes)))[1:]
	store := func(d *localDeployment) (string, string) { return "store", d.store }
	entry := func(d *localDeployment) (string, string) { return "entry", d.settings.Entries[0].Listen }
	link := func(d *localDeployment) (string, string) { return "entry", d.settings.Entries[0].Link }
	agent := func(d *localDeployment) (string, string) { return "agent", d.settings.Agents[0].Listen }
	upstream := func(d *localDeployment) (string, string) { return "upstream", d.settings.Upstreams[0].Listen }
	const submissionPath = "/v1/jobs"
	submissionOfParts := bodyOfParts(`{"Tasks":[`, "]}", maxSubmissionBytes)
	tests := []struct {
		name    string
		target  func(d *localDeployment) (name, address string)
		members int
		shape   shape
	}{
		{"heads at the store", store, 50, heads},
		{"heads at the entry", entry, 50, heads},
		{"heads at the agent", agent, 50, heads},
		{"heads at the upstream", upstream, 50, heads},
		{"idle connections at the entry, more than descriptors", entry, 5000, idle},
		{"heads that claim a submission of the greatest size", entry, 2000, sending(withBody(submissionPath, maxSubmissionBytes, []byte("{")))},
		{"submissions that stop short", entry, 200, sending(unfinishedBody(submissionPath, maxSubmissionBytes))},
		{"submissions of very many parts", entry, 10, sending(withBody(submissionPath, maxSubmissionBytes, submissionOfParts))},
		{"huge bodies at the store", store, 20, hugeBody("/v3/kv/range")},
		{"huge bodies at the agent", agent, 20, hugeBody("/announce")},
		{"huge bodies at the upstream", upstream, 20, hugeBody("/run")},
		{"huge messages at the link", link, 20, sending(hugeMessage)},
		{"dumps that are not read", entry, 300, deaf(withoutEnd(nil, []byte(requestLines("GET", "/dump")+"\r\n")))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newLocalDeployment(t)
			name, address := tt.target(d)
			d.target(name, address).withstands(t, tt.members, tt.shape, false)
			require.Empty(t, d.ended.violations)
		})
	}
}
