// Package keeper reads and writes the platform's key-value service. It speaks
// the JSON gateway of etcd version 3: range and txn.
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

// CallTimeout bounds one call to the service.
const CallTimeout = time.Second

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Unavailable means that the service gave no answer. A write may have
	// taken effect all the same.
	Unavailable Kind = "Unavailable"
	// Malformed means that the service gave an answer that cannot be read.
	Malformed Kind = "Malformed"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pair is one key with its value.
type Pair struct {
	Key   string
	Value []byte
	// Revision rises with each change of the key. Zero means no such key.
	Revision int64
}

// Client is a client of the service. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Uint64
}

// NewClient returns a client of the service at base, a URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: CallTimeout}}
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get returns the pair of key, with Revision zero when there is none.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	list, err := c.read(ctx, RangeRequest{Key: encode(key)})
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
	return c.read(ctx, RangeRequest{Key: encode(prefix), RangeEnd: encode(prefixEnd(prefix))})
}

// Put writes value under key whatever is there.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	var reply TxnResponse
	return c.call(ctx, "put", "/v3/kv/txn", TxnRequest{Success: []TxnOp{putOp(key, value)}}, &reply)
}

// CompareAndSwap writes value under key if the key's revision is the given
// one, and the pairs of also together with it. It reports whether the write
// was made. After an Unavailable error the caller has to read the key to learn
// that.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, also ...Pair) (bool, error) {
	req := TxnRequest{
		Compare: []TxnCompare{{
			Key:         encode(key),
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

func (c *Client) read(ctx context.Context, req RangeRequest) ([]Pair, error) {
	var reply RangeResponse
	if err := c.call(ctx, "read", "/v3/kv/range", req, &reply); err != nil {
		return nil, err
	}
	out := make([]Pair, 0, len(reply.Kvs))
	for _, kv := range reply.Kvs {
		p, err := kv.pair()
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
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
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

func encode(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

func putOp(key string, value []byte) TxnOp {
	return TxnOp{RequestPut: &PutRequest{Key: encode(key), Value: base64.StdEncoding.EncodeToString(value)}}
}

// prefixEnd returns the first key after all keys that begin with prefix.
func prefixEnd(prefix string) string {
	b := []byte(prefix)
	b[len(b)-1]++
	return string(b)
}
