package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// callerConns is the number of idle connections that a caller keeps to one entry.
const callerConns = 8

// errResendRefused replaces the refusal of a resent request, because the entry that
// got the original request may have accepted it.
var errResendRefused = errors.New("resent request was refused")

// resender is an http.RoundTripper that resends a request at once when a reused
// connection breaks before any answer. It uses a new connection to one of the fronts.
type resender struct {
	pooled   http.RoundTripper
	unpooled http.RoundTripper
	fronts   []string
	resends  atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (r *resender) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn httptrace.GotConnInfo
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info },
	})
	resp, err := r.pooled.RoundTrip(req.WithContext(ctx))
	if err == nil || !conn.Reused || ctx.Err() != nil {
		return resp, err
	}
	resent := req.Clone(req.Context())
	if resent.Body, err = req.GetBody(); err != nil {
		return nil, err
	}
	// Every second resent request goes to the same entry as the original.
	if n := int(r.resends.Add(1)); n%2 == 0 {
		resent.URL.Host = r.fronts[n/2%len(r.fronts)]
	}
	if resp, err = r.unpooled.RoundTrip(resent); err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		_ = resp.Body.Close()
		return nil, errResendRefused
	}
	return resp, nil
}

// newCallerClient returns a client that keeps idle connections. With resend, it
// resends a request at once when a reused connection breaks.
func newCallerClient(fronts []string, resend bool) *http.Client {
	c := &http.Client{
		Timeout:   callerTimeout + time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: callerConns, IdleConnTimeout: callerTimeout},
	}
	if resend {
		c.Transport = &resender{
			pooled:   c.Transport,
			unpooled: &http.Transport{DisableKeepAlives: true},
			fronts:   fronts,
		}
	}
	return c
}

// resetCallersDuringRuns repeatedly resets the callers' connections while their jobs
// run. With links, it also resets the links of the first entry. The entry notices that
// its callers have disconnected after closeDelay.
func resetCallersDuringRuns(t *testing.T, fronts int, links bool, closeDelay time.Duration) {
	runParallel(t)
	const rounds = 20
	d := newDeployment(t, 2, 4)
	d.awaitReady(0)
	client := newCallerClient(d.proxiedFronts[:fronts], true)
	var wg sync.WaitGroup
	send := func(wg *sync.WaitGroup, job string) {
		for i := range callerConns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.checker.submit(client, d.proxiedFronts[:fronts], 0, fmt.Sprintf("%s%08x", job, i), 1)
			}()
		}
	}
	for round := range rounds {
		// The first jobs open the connections that the second jobs reuse.
		var opened sync.WaitGroup
		send(&opened, fmt.Sprintf("0%07x", round))
		opened.Wait()
		send(&wg, fmt.Sprintf("1%07x", round))
		time.Sleep(time.Duration(10+rand.IntN(60)) * time.Millisecond)
		d.logEvent("round %d", round)
		d.callerProxies[0].resetCallers(closeDelay)
		if links {
			for _, inst := range d.allInstances() {
				inst.linkProxy.resetFrom(d.entries[0].name)
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
	d.requireGuarantees("%d rounds", rounds)
}

func TestAJobSentAgainAtOnceToTheSameEntryRunsOnceAtATime(t *testing.T) {
	cases := []struct {
		name       string
		links      bool
		closeDelay time.Duration
	}{
		{"links stay open", false, 0},
		{"links break", true, 0},
		{"links break, entry notices late", true, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { resetCallersDuringRuns(t, 1, c.links, c.closeDelay) })
	}
}

func TestAJobSentAgainAtOnceToAnotherEntryRunsOnceAtATime(t *testing.T) {
	cases := []struct {
		name       string
		links      bool
		closeDelay time.Duration
	}{
		{"links stay open", false, 0},
		{"links of the first entry break", true, 0},
		{"first entry notices late", false, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { resetCallersDuringRuns(t, 2, c.links, c.closeDelay) })
	}
}

// resendDuringPause pauses an entry while jobs are in transit to it, breaks its
// callers' connections, and resumes it when the callers send their jobs to another
// entry.
func resendDuringPause(t *testing.T, closeDelay time.Duration) {
	runParallel(t)
	const (
		rounds = 4
		// resumeDelay is the time between the second submission and the resumption of
		// the entry.
		resumeDelay = 20 * time.Millisecond
	)
	d := newDeployment(t, 2, 4)
	d.awaitReady(0)
	for round := range rounds {
		client := newCallerClient(d.proxiedFronts, false)
		var wg sync.WaitGroup
		d.entries[0].signal(syscall.SIGSTOP)
		for i := range callerConns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.checker.submit(client, d.proxiedFronts, 0, fmt.Sprintf("%08x%08x", round, i), 2)
			}()
		}
		time.Sleep(resumeDelay)
		d.callerProxies[0].resetCallers(closeDelay)
		time.Sleep(resendDelay + resumeDelay)
		d.entries[0].signal(syscall.SIGCONT)
		wg.Wait()
	}
	d.requireGuarantees("%d rounds", rounds)
}

func TestAnEntryThatWasPausedBeginsNoJobWhoseCallerHasLeft(t *testing.T) {
	resendDuringPause(t, 0)
}

func TestAnEntryThatWasPausedBeginsNoJobThatWasSentAgainMeanwhile(t *testing.T) {
	resendDuringPause(t, callerTimeout)
}

func TestAJobIsNotPlacedAgainOnceItsCallerMayHaveSentItAgain(t *testing.T) {
	runParallel(t)
	const rounds = 6
	d := newDeployment(t, 2, 4)
	d.awaitReady(0)
	for round := range rounds {
		client := newCallerClient(d.proxiedFronts, false)
		var wg sync.WaitGroup
		// Starts take effect but are not answered until the callers resend their jobs.
		for _, inst := range d.allInstances() {
			inst.callProxy.dropOut.Store(true)
		}
		for i := range callerConns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.checker.submit(client, d.proxiedFronts, 0, fmt.Sprintf("%08x%08x", round, i), 1)
			}()
		}
		time.Sleep(50 * time.Millisecond)
		d.callerProxies[0].resetCallers(callerTimeout)
		time.Sleep(resendDelay - 150*time.Millisecond)
		for _, inst := range d.allInstances() {
			inst.callProxy.dropOut.Store(false)
			inst.callProxy.reset()
		}
		wg.Wait()
	}
	d.requireGuarantees("%d rounds", rounds)
}

func TestAJobWhoseEntryMissesTheCallersDisconnectRunsOnceAtATime(t *testing.T) {
	runParallel(t)
	const (
		rounds = 4
		// work is long enough for the first run to be active when the job is resent.
		work = 1400 * time.Millisecond
	)
	d := newDeployment(t, 2, 4)
	d.awaitReady(0)
	d.checker.fixedWork.Store(int64(work))
	for round := range rounds {
		client := newCallerClient(d.proxiedFronts, false)
		var wg sync.WaitGroup
		for i := range callerConns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.checker.submit(client, d.proxiedFronts, 0, fmt.Sprintf("%08x%08x", round, i), 2)
			}()
		}
		time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
		d.callerProxies[0].resetCallers(callerTimeout)
		wg.Wait()
	}
	d.requireGuarantees("%d rounds", rounds)
}

func TestACallerWhoseJobAnotherEntryRunsIsAnsweredWithItsEnd(t *testing.T) {
	runParallel(t)
	const (
		jobs = 12
		// offset is the time between the first and the second submission of a job.
		offset   = 15 * time.Millisecond
		interval = 100 * time.Millisecond
	)
	d := newDeployment(t, 2, 1)
	d.awaitReady(0)
	var wg sync.WaitGroup
	for i := range jobs {
		id := fmt.Sprintf("00000001%08x", i)
		for f, front := range d.fronts {
			wg.Add(1)
			time.AfterFunc(time.Duration(f)*offset, func() {
				defer wg.Done()
				d.checker.submit(newCallerClient(d.fronts, false), []string{front}, 0, id, 1)
			})
		}
		time.Sleep(interval)
	}
	wg.Wait()
	d.requireGuarantees("%d jobs", jobs)
	require.Zero(t, d.checker.counts["failed"], "callers whose job was reported as failed, or that got no final answer in time")
}
