package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// conn is one connection of a client to an entry. It carries one request at a time.
type conn struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReader(c)}, nil
}

// answer is what a client got. The status is 0 if there was no response.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no response (%v)", a.err)
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// call sends one request and waits for its response until the deadline, after which the
// client closes the connection, as it does without a response.
func (c *conn) call(method, path, body string, deadline time.Duration) answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n", method, path, host, deadline.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		_ = c.Close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		_ = c.Close()
		return answer{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = c.Close()
		return answer{err: err}
	}
	if resp.Close {
		_ = c.Close()
	}
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(raw))}
}

// newID returns an ID for a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is one step of a job: its tasks, their demand, and how long they take.
type step struct {
	count    int
	demand   resources
	estimate int
	millis   int
	after    []int
}

// jobBody returns the body of the POST of a job.
func jobBody(steps ...step) string {
	var spec jobSpec
	list := []map[string]any{}
	for _, s := range steps {
		spec.Millis = append(spec.Millis, s.millis)
		spec.Demand = append(spec.Demand, s.demand)
		m := map[string]any{"count": s.count, "cpu": s.demand.CPU, "mem_mb": s.demand.Memory, "estimate_ms": s.estimate}
		if len(s.after) > 0 {
			m["after"] = s.after
		}
		list = append(list, m)
	}
	text, _ := json.Marshal(spec)
	raw, _ := json.Marshal(map[string]any{"spec": string(text), "steps": list, "best_effort": true})
	return string(raw)
}

// once opens a connection, makes one call and closes it.
func once(ctx context.Context, addr, method, path, body string, deadline time.Duration) answer {
	c, err := dial(addr)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	return c.call(method, path, body, deadline)
}
