package soaker

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdMemory is the limit of the memory of each process, in megabytes, and
	// crowdDescriptors that of its descriptors.
	crowdMemory      = 96
	crowdDescriptors = 2600
	// fewDescriptors is a limit that a crowd of many idle connections exceeds.
	fewDescriptors = 400
	// crowdWork is the duration of a task in the test of requests that are followed by
	// more bytes.
	crowdWork = 2 * time.Second
)

// crowdDeployment is a deployment of one entry and three agents with limits.
type crowdDeployment struct {
	*deployment
	// maxDescriptors is the limit of the descriptors of a process.
	maxDescriptors int
}

func newCrowdDeployment(t *testing.T, descriptors int) crowdDeployment {
	limits := fmt.Sprintf("limits.memory_mb=%d\nlimits.max_fds=%d\n", crowdMemory, descriptors)
	return deployForCrowd(t, descriptors, options{limits: limits})
}

func deployForCrowd(t *testing.T, descriptors int, o options) crowdDeployment {
	d := deploy(t, 1, 3, o)
	d.awaitReady(0)
	return crowdDeployment{d, descriptors}
}

// target returns a process of the deployment as the target of a crowd.
func (d crowdDeployment) target(p *process, address string) target {
	return target{pid: p.pid, address: address, memory: crowdMemory * megabyte, descriptors: d.maxDescriptors, serves: d.servesJob}
}

// servesJob sends one job on a new connection and reports whether it was completed.
func (d crowdDeployment) servesJob() bool {
	client := newCallerClient(d.fronts, false)
	defer client.CloseIdleConnections()
	return d.checker.submit(client, d.fronts, 0, fmt.Sprintf("%016x", rand.Uint64()), 1) == "complete"
}

// setting returns the value of a key in the settings of a process.
func (d crowdDeployment) setting(p *process, key string) string {
	for line := range strings.Lines(p.text) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), key+"="); ok {
			return value
		}
	}
	d.t.Fatalf("%s has no setting %s", p.name, key)
	return ""
}

// internalAddress returns the address at the first or the last internal port of a process.
func (d crowdDeployment) internalAddress(p *process, index int) string {
	ports := strings.Split(d.setting(p, "internal_ports"), ",")
	return "127.0.0.1:" + ports[index]
}

const (
	linkPort    = 0
	metricsPort = 1
)

// TestACrowdOfCallersEndsNoEntry guards against callers outside the limits whose requests
// fill the memory of an entry or take all of its descriptors.
func TestACrowdOfCallersEndsNoEntry(t *testing.T) {
	path := jobPath()
	names := headOf("POST", path, oversizeHead, anotherName)
	tests := []struct {
		name        string
		members     int
		descriptors int
		shape       shape
		takesRoom   bool
	}{
		{"heads of very many names", 100, crowdDescriptors, sending(ended(names)), false},
		{"heads of one name again and again", 100, crowdDescriptors, sending(ended(headOf("POST", path, oversizeHead, sameName))), false},
		{"heads that do not end", 100, crowdDescriptors, sending(names), false},
		{"a header line without end", 300, crowdDescriptors, withoutEnd([]byte(requestLines("POST", path)+"a: "), []byte("a")), false},
		{"a request line without end", 300, crowdDescriptors, withoutEnd([]byte("POST "+path), []byte("a")), false},
		{"empty lines without end", 100, crowdDescriptors, withoutEnd(nil, []byte("\r\n")), false},
		{"empty lines without end after a request", 100, crowdDescriptors, withoutEnd(withBody(path, 2, []byte("{}")), []byte("\r\n")), false},
		{"many heads of short lines left open", 2000, crowdDescriptors, sending(headOf("POST", path, 4096, anotherName)), false},
		{"many heads of short lines with a tenth of the body", 2000, crowdDescriptors, sending(headWithTenth(path)), false},
		{"heads that claim a body of the greatest size", 2000, crowdDescriptors, sending(withBody(path, maxBodyBytes, []byte("{"))), false},
		{"bodies that stop short", 300, crowdDescriptors, sending(unfinishedBody(path, maxBodyBytes)), false},
		{"bodies in pieces that stop short", 300, crowdDescriptors, inPieces(unfinishedBody(path, maxBodyBytes)), false},
		{"chunked bodies without end", 300, crowdDescriptors, withoutEnd([]byte(requestLines("POST", path)+"Transfer-Encoding: chunked\r\n\r\n"), []byte("1\r\na\r\n")), false},
		{"bodies of very many parts", 100, crowdDescriptors, sending(jobOfParts()), false},
		{"jobs of very many tasks", 300, crowdDescriptors, sending(jobRequest(10_000, 1, 1)), true},
		{"requests whose answers are not read", 200, crowdDescriptors, deaf(withoutEnd(nil, []byte(requestLines("GET", pathPrefix)+"\r\n"))), false},
		{"idle connections, more than descriptors", 600, fewDescriptors, idle, false},
		{"bodies that stop short, more than descriptors", 600, fewDescriptors, sending(unfinishedBody(path, maxBodyBytes)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newCrowdDeployment(t, tt.descriptors)
			d.target(d.entries[0], d.fronts[0]).withstands(t, tt.members, tt.shape, tt.takesRoom)
		})
	}
}

// headWithTenth returns a request of a head of 4 KB with one byte of ten of its body.
func headWithTenth(path string) []byte {
	head := append(headOf("POST", path, 4096, anotherName), "Content-Length: 10\r\n\r\n"...)
	return append(head, '{')
}

// TestACrowdLeavesDescriptorsToOtherCallers guards against a crowd that takes all descriptors
// which the kernel allows.
func TestACrowdLeavesDescriptorsToOtherCallers(t *testing.T) {
	tests := []struct {
		name  string
		shape shape
	}{
		{"idle connections", idle},
		{"bodies that stop short", sending(unfinishedBody(jobPath(), maxBodyBytes))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := deployForCrowd(t, fewDescriptors, options{
				limits:      fmt.Sprintf("limits.memory_mb=%d\n", crowdMemory),
				descriptors: fewDescriptors,
			})
			d.target(d.entries[0], d.fronts[0]).withstands(t, 600, tt.shape, false)
		})
	}
}

// TestBytesAfterARequestEndNoEntry guards against callers who send on while their jobs run,
// which nothing reads by then.
func TestBytesAfterARequestEndNoEntry(t *testing.T) {
	d := newCrowdDeployment(t, crowdDescriptors)
	d.checker.fixedWork.Store(int64(crowdWork))
	s := withoutEnd(jobRequest(1, taskCPU(""), int(crowdWork.Milliseconds())), []byte("a"))
	d.target(d.entries[0], d.fronts[0]).withstands(t, 100, s, true)
}

// TestACrowdAtTheInternalPortsEndsNoEntry guards against an entry that limits only what its
// callers send.
func TestACrowdAtTheInternalPortsEndsNoEntry(t *testing.T) {
	heads := sending(ended(headOf("GET", "/api/readyz", oversizeHead, anotherName)))
	tests := []struct {
		name    string
		address func(d crowdDeployment) string
		members int
		shape   shape
	}{
		{"heads at the readiness check", crowdDeployment.readyAddress, 100, heads},
		{"idle connections at the readiness check", crowdDeployment.readyAddress, 3000, idle},
		{"heads at the metrics", crowdDeployment.entryMetrics, 100, heads},
		{"metrics that are not read", crowdDeployment.entryMetrics, 300, deaf(withoutEnd(nil, []byte(requestLines("GET", "/metrics")+"\r\n")))},
		{"dumps that are not read", crowdDeployment.entryMetrics, 300, deaf(withoutEnd(nil, []byte(requestLines("GET", "/dump")+"\r\n")))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newCrowdDeployment(t, crowdDescriptors)
			d.target(d.entries[0], tt.address(d)).withstands(t, tt.members, tt.shape, false)
		})
	}
}

func (d crowdDeployment) readyAddress() string { return d.setting(d.entries[0], "listen.ready") }

func (d crowdDeployment) entryMetrics() string { return d.internalAddress(d.entries[0], metricsPort) }

// TestACrowdEndsNoAgent guards against an agent whose memory is filled by heartbeats or by
// messages of a link, whole or not.
func TestACrowdEndsNoAgent(t *testing.T) {
	const heartbeatPath = "/api/instances/i-1"
	// place is the number of the message type Place, and placeOfParts such a message of
	// very many empty tasks.
	const place, parts = 2, 131_000
	placeOfParts := append([]byte{0xa1, 0x05, 0x9a, 0, parts >> 16, parts >> 8 & 0xff, parts & 0xff}, strings.Repeat("\xa0", parts)...)
	heartbeat := unfinishedBody(heartbeatPath, 4<<20)
	heads := sending(ended(headOf("GET", "/metrics", oversizeHead, anotherName)))
	tests := []struct {
		name    string
		address func(d crowdDeployment, p *process) string
		members int
		shape   shape
	}{
		{"heads of heartbeats", crowdDeployment.controlAddress, 100, heads},
		{"heartbeats that stop short", crowdDeployment.controlAddress, 100, sending(append([]byte("PUT"), heartbeat[len("POST"):]...))},
		{"heartbeats of very many parts", crowdDeployment.controlAddress, 30, sending(heartbeatOfParts(heartbeatPath))},
		{"idle connections for heartbeats", crowdDeployment.controlAddress, 3000, idle},
		{"heads at the metrics", crowdDeployment.agentMetrics, 100, heads},
		{"messages that claim a megabyte", crowdDeployment.linkAddress, 1000, keptUnfinished(frame(place, 1<<20, nil))},
		{"messages that stop short", crowdDeployment.linkAddress, 200, keptUnfinished(frame(place, 1<<20, make([]byte, 1<<20-200)))},
		{"messages of very many parts", crowdDeployment.linkAddress, 50, withoutEnd(nil, frame(place, len(placeOfParts), placeOfParts))},
		{"idle connections for links", crowdDeployment.linkAddress, 3000, idle},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newCrowdDeployment(t, crowdDescriptors)
			agent := d.allInstances()[0].agent
			d.target(agent, tt.address(d, agent)).withstands(t, tt.members, tt.shape, false)
		})
	}
}

// heartbeatOfParts returns a heartbeat of very many labels.
func heartbeatOfParts(path string) []byte {
	const length = 4 << 20
	body := bodyOfParts(`{"labels":[`, "]}", length)
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", requestLines("PUT", path), len(body), strings.ReplaceAll(string(body), "{}", `""`))
}

func (d crowdDeployment) controlAddress(p *process) string { return d.setting(p, "listen.control") }

func (d crowdDeployment) linkAddress(p *process) string { return d.internalAddress(p, linkPort) }

func (d crowdDeployment) agentMetrics(p *process) string { return d.internalAddress(p, metricsPort) }

// TestALargeRequestInsideTheLimitsIsServed guards against limits that a caller inside those
// of the configuration meets.
func TestALargeRequestInsideTheLimitsIsServed(t *testing.T) {
	d := newCrowdDeployment(t, crowdDescriptors)
	tests := []struct {
		name  string
		shape func(request []byte) shape
		head  int
		body  int
	}{
		{"a head of the greatest size", sending, maxHeadBytes, 1000},
		{"a head of the greatest size in pieces", inPieces, maxHeadBytes, 1000},
		{"a body of the greatest size", sending, 1000, maxBodyBytes},
		{"a body of the greatest size in pieces", inPieces, 1000, maxBodyBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, _ := d.send(tt.shape(largeRequest(tt.head, tt.body)))
			require.Equal(t, http.StatusOK, status)
		})
	}
}

// TestTheRefusalOfALargeRequestIsRead guards against a refusal that its caller cannot read,
// since the connection is reset under the rest of the request.
func TestTheRefusalOfALargeRequestIsRead(t *testing.T) {
	d := newCrowdDeployment(t, crowdDescriptors)
	tests := []struct {
		name       string
		head, body int
	}{
		{"a body over the limit", 1000, maxBodyBytes + 1},
		{"a body far over the limit", 1000, 16 * maxBodyBytes},
		{"a head over the limit", 2 * maxHeadBytes, 1000},
		{"a head far over the limit", oversizeHead, 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, closed := d.send(sending(largeRequest(tt.head, tt.body)))
			require.Contains(t, []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge}, status)
			require.True(t, closed, "the connection stays open")
		})
	}
}

// largeRequest returns a request for a job of one task whose head and body have exactly the
// given sizes.
func largeRequest(head, body int) []byte {
	job := fmt.Sprintf(`{"best_effort":true,"spec":"spec","steps":[{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":170}]}`, taskCPU(""))
	end := fmt.Sprintf("Content-Length: %d\r\n\r\n", body)
	b := headOf("POST", jobPath(), head-len(end)-len(anotherName(head)), anotherName)
	b = fmt.Appendf(b, "b:%s\r\n%s", strings.Repeat("b", head-len(b)-len(end)-len("b:\r\n")), end)
	return fmt.Appendf(b, "%s%s", job, strings.Repeat(" ", body-len(job)))
}

// send sends a request in a shape and returns the status of its answer, 0 if there is none,
// and whether the connection is closed after it.
func (d crowdDeployment) send(s shape) (status int, closed bool) {
	c, err := net.Dial("tcp", d.fronts[0])
	require.NoError(d.t, err)
	defer c.Close()
	require.NoError(d.t, c.SetDeadline(time.Now().Add(serveTimeout)))
	go s.send(c)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		d.t.Logf("no answer: %v", err)
		return 0, false
	}
	return resp.StatusCode, resp.Close
}

// TestAnEntryUnderACrowdStops guards against a planned stop that waits for a crowd.
func TestAnEntryUnderACrowdStops(t *testing.T) {
	d := newCrowdDeployment(t, crowdDescriptors)
	c := startCrowd(t, d.fronts[0], 300, sending(unfinishedBody(jobPath(), maxBodyBytes)))
	time.Sleep(crowdTime)
	entry := d.entries[0]
	entry.mu.Lock()
	exited, cmd := entry.exited, entry.cmd
	entry.mu.Unlock()
	entry.stop(syscall.SIGTERM)
	c.end()
	<-exited
	require.Equal(t, 0, cmd.ProcessState.ExitCode(), "the entry did not stop within the grace period")
}
