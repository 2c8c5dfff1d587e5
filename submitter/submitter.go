// Package submitter is a client of the entries' HTTP interface. It submits jobs,
// resubmits them through other entries if a connection fails, and queries and cancels
// jobs.
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

// resubmitDelay is the delay before a request without an answer is sent again.
const resubmitDelay = 100 * time.Millisecond

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Rejected means that the request is invalid. No task was started.
	Rejected Kind = "Rejected"
	// NoAnswer means that no valid answer was received. The job may be running.
	NoAnswer Kind = "Broken"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client is a client of a list of entries. It is safe for concurrent use.
type Client struct {
	clock   clockwork.Clock
	http    *http.Client
	entries []string
}

// NewClient returns a client of the entries at the given addresses (host and port). It
// keeps up to connections idle connections to each of them.
func NewClient(clock clockwork.Clock, entries []string, connections int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	return &Client{clock: clock, http: &http.Client{Transport: transport}, entries: entries}
}

// SubmitOnce sends s once, to the i-th entry modulo their number, and returns the answer.
func (c *Client) SubmitOnce(ctx context.Context, i int, s courier.Submission) (courier.Answer, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return courier.Answer{}, &Error{Op: "submit", Kind: Rejected, Err: err}
	}
	return c.call(ctx, "submit", http.MethodPost, c.entryURL(i, "/v1/jobs"), encoded)
}

// Submit sends s to the entry with the index first. As long as no answer is received
// and the deadline has not passed, it sends s again to the next entry, with the next
// attempt number.
func (c *Client) Submit(ctx context.Context, first int, s courier.Submission) (courier.Answer, error) {
	for i := first; ; i++ {
		a, err := c.SubmitOnce(ctx, i, s)
		var e *Error
		if err == nil || !errors.As(err, &e) || e.Kind != NoAnswer {
			return a, err
		}
		s.Attempt++
		if ctx.Err() != nil || !c.clock.Now().Add(resubmitDelay).Before(s.Deadline) {
			return a, err
		}
		c.clock.Sleep(resubmitDelay)
	}
}

// State queries the state of a job at the i-th entry.
func (c *Client) State(ctx context.Context, i int, job string) (courier.Answer, error) {
	return c.call(ctx, "state", http.MethodGet, c.entryURL(i, "/v1/jobs/"+job), nil)
}

// Cancel cancels a job through the i-th entry.
func (c *Client) Cancel(ctx context.Context, i int, job string) (courier.Answer, error) {
	return c.call(ctx, "cancel", http.MethodDelete, c.entryURL(i, "/v1/jobs/"+job), nil)
}

func (c *Client) entryURL(i int, path string) string {
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
		return a, &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return a, &Error{Op: op, Kind: NoAnswer, Err: errors.Errorf("status %s: %s", resp.Status, raw)}
	}
	if resp.StatusCode == http.StatusBadRequest && a.State == "" {
		return a, &Error{Op: op, Kind: Rejected, Err: errors.Errorf("%s", bytes.TrimSpace(raw))}
	}
	return a, nil
}
