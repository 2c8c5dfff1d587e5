package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/starter"
	"github.com/pomeloferry/pomeloferry/worker"
)

const (
	// resultGrace is how long past the task's deadline the runner waits for the
	// upstream's result before it records the task as lost.
	resultGrace = 5 * time.Second
	// stopTimeout limits the call that stops a task.
	stopTimeout = 2 * time.Second
)

// upstreamTarget is the address of the upstream and the client for calls to it.
type upstreamTarget struct {
	address     string
	connections int
	client      *http.Client
}

// runner calls the upstream, with one goroutine for each running task. The ledger limits
// their number to the upstream's slots.
type runner struct {
	deps   provider.Deps
	post   func(any)
	target atomic.Pointer[upstreamTarget]
}

func newRunner(deps provider.Deps, post func(any)) *runner {
	r := &runner{deps: deps, post: post}
	r.target.Store(&upstreamTarget{client: &http.Client{}})
	return r
}

// setUpstream makes later calls go to address, over at most n connections.
func (r *runner) setUpstream(address string, n int) {
	old := r.target.Load()
	if old.address == address && old.connections == n {
		return
	}
	r.target.Store(&upstreamTarget{address: address, connections: n, client: newClient(n)})
	old.client.CloseIdleConnections()
}

// newClient returns a client with at most n connections. It does not follow redirects,
// since the upstream that answers with one may have started the task.
func newClient(n int) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxConnsPerHost: n, MaxIdleConnsPerHost: n},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// start runs the task of s and posts its end.
func (r *runner) start(s starter.Run) {
	go func() { r.post(r.run(s)) }()
}

func (r *runner) run(s starter.Run) taskDone {
	t := s.Task
	done := taskDone{record: courier.Record{Task: t.Task, Digest: t.Digest}}
	ctx, cancel := context.WithDeadline(context.Background(), t.Deadline.Add(resultGrace))
	defer cancel()
	var result worker.RunResult
	expired := func() bool { return !r.deps.Clock.Now().Before(s.ExpiresAt) }
	err := r.call(ctx, "/run", worker.RunRequest{
		Job:     t.Task.Job,
		Index:   t.Task.Index,
		Service: t.Service,
		Payload: t.Payload,
	}, expired, &result)
	switch {
	case dialFailed(err), errors.Is(err, errExpired):
		done.notStarted = true
	case err != nil:
		r.deps.Log.WithError(err).WithField("job", t.Task.Job).Warn("task lost")
		done.record.Outcome = courier.Lost
	case result.NotStarted:
		done.notStarted = true
	case result.Error != "":
		done.record.Outcome = courier.Errored
		done.record.Result, _ = json.Marshal(result.Error)
	default:
		done.record.Outcome = courier.Succeeded
		done.record.Result = result.Result
	}
	return done
}

// dialFailed reports whether err means that the connection failed, so that no byte of the
// call was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// stop asks the upstream to stop a task.
func (r *runner) stop(id courier.TaskID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		never := func() bool { return false }
		err := r.call(ctx, "/stop", worker.RunRequest{Job: id.Job, Index: id.Index}, never, nil)
		if err != nil {
			r.deps.Log.WithError(err).WithField("job", id.Job).Warn("task not stopped")
		}
	}()
}

// errExpired means that a call expired before its body was sent. The upstream does nothing
// without the body.
var errExpired = errors.New("call expired before it was sent")

// callBody is the body of a call. Since it is none of the types that http.NewRequest
// recognises, the client cannot replay it by itself. It returns no data if the call has
// expired by the time it is sent.
type callBody struct {
	reader  *bytes.Reader
	expired func() bool
}

// Read implements io.Reader.
func (b *callBody) Read(p []byte) (int, error) {
	if int64(b.reader.Len()) == b.reader.Size() && b.expired() {
		return 0, errExpired
	}
	return b.reader.Read(p)
}

func (r *runner) call(ctx context.Context, path string, req worker.RunRequest, expired func() bool, reply any) error {
	t := r.target.Load()
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address+path,
		&callBody{reader: bytes.NewReader(body), expired: expired})
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	hr.ContentLength = int64(len(body))
	resp, err := t.client.Do(hr)
	if err != nil {
		return errors.Wrap(err, "call upstream")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("upstream answered %s", resp.Status)
	}
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}
