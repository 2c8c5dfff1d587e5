// Package submitter is a client of an entry's HTTP interface. It submits jobs,
// submits them again through other entries when a connection breaks, and asks
// for or cancels them.
package submitter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/courier"
)

// resubmitPause is the pause before a broken request is sent again.
const resubmitPause = 100 * time.Millisecond

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Rejected means that the request is wrong; nothing was started.
	Rejected Kind = "Rejected"
	// Broken means that no answer came; the job may be running.
	Broken Kind = "Broken"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client calls entries. It is safe for concurrent use.
type Client struct {
	clock   clockwork.Clock
	http    *http.Client
	entries []string
}

// NewClient returns a client of the entries at the given hosts and ports. It
// keeps up to connections idle connections to each.
func NewClient(clock clockwork.Clock, entries []string, connections int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	return &Client{clock: clock, http: &http.Client{Transport: transport}, entries: entries}
}

// Once sends s to the i-th entry and returns its answer.
func (c *Client) Once(ctx context.Context, i int, s courier.Submission) (courier.Answer, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return courier.Answer{}, &Error{Op: "submit", Kind: Rejected, Err: err}
	}
	return c.call(ctx, "submit", http.MethodPost, c.url(i, "/v1/jobs"), raw)
}

// Submit sends s, and sends it again through the next entry, as a higher
// attempt, while no answer comes and the deadline has not passed.
func (c *Client) Submit(ctx context.Context, first int, s courier.Submission) (courier.Answer, error) {
	for i := first; ; i++ {
		a, err := c.Once(ctx, i, s)
		var e *Error
		if err == nil || !errors.As(err, &e) || e.Kind != Broken {
			return a, err
		}
		s.Attempt++
		if ctx.Err() != nil || !c.clock.Now().Add(resubmitPause).Before(s.Deadline) {
			return a, err
		}
		c.clock.Sleep(resubmitPause)
	}
}

// State asks the i-th entry for the state of a job.
func (c *Client) State(ctx context.Context, i int, job string) (courier.Answer, error) {
	return c.call(ctx, "state", http.MethodGet, c.url(i, "/v1/jobs/"+job), nil)
}

// Cancel cancels a job through the i-th entry.
func (c *Client) Cancel(ctx context.Context, i int, job string) (courier.Answer, error) {
	return c.call(ctx, "cancel", http.MethodDelete, c.url(i, "/v1/jobs/"+job), nil)
}

func (c *Client) url(i int, path string) string {
	return "http://" + c.entries[i%len(c.entries)] + path
}

func (c *Client) call(ctx context.Context, op, method, url string, body []byte) (courier.Answer, error) {
	var a courier.Answer
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return a, &Error{Op: op, Kind: Rejected, Err: err}
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return a, &Error{Op: op, Kind: Broken, Err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, &Error{Op: op, Kind: Broken, Err: err}
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return a, &Error{Op: op, Kind: Broken, Err: errors.Errorf("status %s: %s", resp.Status, raw)}
	}
	if resp.StatusCode == http.StatusBadRequest && a.State == "" {
		return a, &Error{Op: op, Kind: Rejected, Err: errors.Errorf("%s", bytes.TrimSpace(raw))}
	}
	return a, nil
}
