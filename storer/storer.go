// Package storer emulates the platform's key-value service for tests, the demo and
// measurements. It keeps its pairs in memory, serves the calls that package keeper
// makes, and injects faults of the service on request.
package storer

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/server"
)

const (
	// maxCallBytes bounds the body of a call, in bytes: a few values of a megabyte, in
	// base64.
	maxCallBytes = 8 << 20
	// maxCallElements bounds the comparisons and the writes of a call.
	maxCallElements = 256
)

// Fault describes the faults that the emulated service injects.
type Fault struct {
	// Down makes every call fail with status 503.
	Down bool
	// LoseAnswers closes the connection of every write after it has taken effect,
	// without an answer.
	LoseAnswers bool
	// Delay is a delay before every call.
	Delay time.Duration
}

// Store is the emulated service. It is safe for concurrent use.
type Store struct {
	clock clockwork.Clock

	mu       sync.Mutex
	pairs    map[string]pair
	revision int64
	fault    Fault
	reads    int
	writes   int
}

type pair struct {
	value    string
	revision int64
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{clock: clock, pairs: make(map[string]pair)}
}

// SetFault sets the faults of the calls from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the numbers of reads and writes so far.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if f.Delay > 0 {
		s.clock.Sleep(f.Delay)
	}
	if f.Down {
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v3/kv/range":
		serveJSON(w, r, s.readRange)
	case "/v3/kv/txn":
		serveJSON(w, r, s.commitTxn)
		if f.LoseAnswers {
			panic(http.ErrAbortHandler)
		}
	default:
		http.NotFound(w, r)
	}
}

// serveJSON decodes the body of r, calls f with it and writes the encoded result.
func serveJSON[Request, Response any](w http.ResponseWriter, r *http.Request, call func(Request) Response) {
	var req Request
	if !readJSON(w, r, &req) {
		return
	}
	_ = json.NewEncoder(w).Encode(call(req))
}

// readJSON decodes the body of a call, or answers it with an error and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	limit := limiter.BodyLimit{Bytes: maxCallBytes, Shape: limiter.Shape{Elements: maxCallElements}}
	if err := limiter.ReadJSON(w, r, limit, v); err != nil {
		http.Error(w, err.Error(), limiter.StatusOf(err))
		return false
	}
	return true
}

func (s *Store) readRange(req keeper.RangeRequest) keeper.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	key, end := decodeBase64(req.Key), decodeBase64(req.RangeEnd)
	var out keeper.RangeResponse
	for _, k := range s.sortedKeys() {
		if k == key || (end != "" && k >= key && k < end) {
			out.Kvs = append(out.Kvs, keeper.KeyValue{
				Key:         base64.StdEncoding.EncodeToString([]byte(k)),
				Value:       s.pairs[k].value,
				ModRevision: strconv.FormatInt(s.pairs[k].revision, 10),
			})
		}
	}
	return out
}

func (s *Store) sortedKeys() []string {
	out := make([]string, 0, len(s.pairs))
	for k := range s.pairs {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (s *Store) commitTxn(req keeper.TxnRequest) keeper.TxnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	for _, c := range req.Compare {
		if strconv.FormatInt(s.pairs[decodeBase64(c.Key)].revision, 10) != c.ModRevision {
			return keeper.TxnResponse{}
		}
	}
	s.revision++
	for _, op := range req.Success {
		if op.RequestPut != nil {
			s.pairs[decodeBase64(op.RequestPut.Key)] = pair{value: op.RequestPut.Value, revision: s.revision}
		}
	}
	return keeper.TxnResponse{Succeeded: true}
}

func decodeBase64(s string) string {
	b, _ := base64.StdEncoding.DecodeString(s)
	return string(b)
}

// Handler returns the HTTP interface of the service, which includes for experiments
// /fault to set a Fault, /calls to read the numbers of calls, and /dump.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v3/", s)
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if readJSON(w, r, &f) {
			s.SetFault(f)
		}
	})
	mux.Handle("GET /dump", server.NewDumpHandler(s))
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		reads, writes := s.Calls()
		_ = json.NewEncoder(w).Encode(map[string]int{"Reads": reads, "Writes": writes})
	})
	return mux
}
