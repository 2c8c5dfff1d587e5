package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or an event that deleted it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	renewed time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// cut holds the machines that are partitioned from the store: their calls get no
	// answer and are not carried out.
	cut map[string]bool
	// downSince is since when the store is down and answers 503 to all machines; zero while
	// it is not. Leases pause meanwhile.
	downSince time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), cut: map[string]bool{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve serves one machine at an address of its own, so that it can be cut off by itself.
func (s *store) serve(machine string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(machine, w, r) }))
	}()
	return l.Addr().String(), nil
}

func (s *store) setCut(machine string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[machine] = cut
}

// setDown takes the store down, or up again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.downSince = time.Now()
		s.wake()
		return
	}
	for _, l := range s.leases {
		l.renewed = l.renewed.Add(time.Since(s.downSince))
	}
	s.downSince = time.Time{}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downSince.IsZero()
}

func (s *store) isCut(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[machine]
}

// put writes a key as the operator does.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, raw, 0)
	s.wake()
}

func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// write writes a key at the present revision. The caller holds mu.
func (s *store) write(key string, value []byte, lease int64) {
	old, ok := s.items[key]
	created := s.revision
	if ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

// erase deletes a key at the present revision. The caller holds mu.
func (s *store) erase(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.downSince.IsZero() {
		return
	}
	for id, l := range s.leases {
		if time.Since(l.renewed) > l.ttl {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.erase(key)
		}
	}
	s.wake()
}

func (s *store) handle(machine string, w http.ResponseWriter, r *http.Request) {
	if s.isCut(machine) {
		<-r.Context().Done()
		return
	}
	time.Sleep(2 * time.Millisecond)
	if s.isDown() {
		answer(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/api/kv-key":
		s.handleKey(w, q)
	case r.URL.Path == "/api/kv-range":
		s.handleRange(w, q)
	case r.URL.Path == "/api/kv-watch":
		s.handleWatch(machine, w, r, q)
	case r.URL.Path == "/api/kv-txn":
		s.handleTxn(w, r)
	case r.URL.Path == "/api/kv-lease":
		s.handleLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		s.handleKeep(w, strings.TrimPrefix(r.URL.Path, "/api/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.handleLeaseEnd(w, strings.TrimPrefix(r.URL.Path, "/api/kv-lease-end/"))
	default:
		answer(w, http.StatusBadRequest, struct{}{})
	}
}

func (s *store) handleKey(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	i, ok := s.items[q.Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) handleRange(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "at_rev": s.revision})
}

func (s *store) handleWatch(machine string, w http.ResponseWriter, r *http.Request, q url.Values) {
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_timeout_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if s.isDown() {
			answer(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		if len(events) > 0 && !s.isCut(machine) {
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			if s.isCut(machine) {
				<-r.Context().Done()
				return
			}
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "at_rev": at})
			return
		case <-changed:
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range req.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[p.Key]}})
			return
		}
	}
	for _, p := range req.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range req.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range req.Remove {
		s.erase(key)
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || req.TTL < 1000 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: time.Duration(req.TTL) * time.Millisecond, renewed: time.Now()}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": req.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.renewed = time.Now()
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(n)
	answer(w, http.StatusOK, struct{}{})
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("answer: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
