// Package keeper is a client of the platform's key-value service. It uses the
// range and txn calls of the JSON gateway of etcd version 3.
package keeper

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// CallTimeout is the timeout of one call to the service.
const CallTimeout = time.Second

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Unavailable means that the service did not answer the call. A write may
	// have taken effect nevertheless.
	Unavailable Kind = "Unavailable"
	// Malformed means that a request could not be encoded or that the service's
	// answer could not be decoded.
	Malformed Kind = "Malformed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pair is a key and its value.
type Pair struct {
	Key   string
	Value []byte
	// Revision rises with each change of the key. Zero means that the key does
	// not exist.
	Revision int64
}

// Client is a client of the service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	calls   atomic.Uint64
}

// NewClient returns a client of the service at the URL base.
func NewClient(base string) *Client {
	return &Client{baseURL: base, http: &http.Client{Timeout: CallTimeout}}
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get returns the pair of key. Its Revision is zero if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	list, err := c.readRange(ctx, RangeRequest{Key: encodeBase64(key)})
	if err != nil {
		return Pair{}, err
	}
	if len(list) == 0 {
		return Pair{Key: key}, nil
	}
	return list[0], nil
}

// List returns the pairs whose keys begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	return c.readRange(ctx, RangeRequest{Key: encodeBase64(prefix), RangeEnd: encodeBase64(prefixEnd(prefix))})
}

// Put writes value under key unconditionally.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	var reply TxnResponse
	return c.call(ctx, "put", "/v3/kv/txn", TxnRequest{Success: []TxnOp{putOp(key, value)}}, &reply)
}

// CompareAndSwap writes value under key, and the pairs of also in the same
// transaction, if the key has the given revision. It reports whether the write
// was made. After an Unavailable error this is unknown and the caller has to
// read the key to find out.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, also ...Pair) (bool, error) {
	req := TxnRequest{
		Compare: []TxnCompare{{
			Key:         encodeBase64(key),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: strconv.FormatInt(revision, 10),
		}},
		Success: []TxnOp{putOp(key, value)},
	}
	for _, p := range also {
		req.Success = append(req.Success, putOp(p.Key, p.Value))
	}
	var reply TxnResponse
	if err := c.call(ctx, "compare and swap", "/v3/kv/txn", req, &reply); err != nil {
		return false, err
	}
	return reply.Succeeded, nil
}

func (c *Client) readRange(ctx context.Context, req RangeRequest) ([]Pair, error) {
	var reply RangeResponse
	if err := c.call(ctx, "read", "/v3/kv/range", req, &reply); err != nil {
		return nil, err
	}
	out := make([]Pair, 0, len(reply.Kvs))
	for _, kv := range reply.Kvs {
		p, err := kv.decode()
		if err != nil {
			return nil, &Error{Op: "read", Kind: Malformed, Err: err}
		}
		out = append(out, p)
	}
	return out, nil
}

func (c *Client) call(ctx context.Context, op, path string, req, reply any) error {
	c.calls.Add(1)
	body, err := json.Marshal(req)
	if err != nil {
		return &Error{Op: op, Kind: Malformed, Err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: Malformed, Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return &Error{Op: op, Kind: Unavailable, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &Error{Op: op, Kind: Unavailable, Err: errors.Errorf("status %s", resp.Status)}
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return &Error{Op: op, Kind: Unavailable, Err: err}
	}
	return nil
}

func encodeBase64(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

func putOp(key string, value []byte) TxnOp {
	return TxnOp{RequestPut: &PutRequest{Key: encodeBase64(key), Value: base64.StdEncoding.EncodeToString(value)}}
}

// prefixEnd returns the first key after all keys that begin with prefix.
func prefixEnd(prefix string) string {
	b := []byte(prefix)
	b[len(b)-1]++
	return string(b)
}
