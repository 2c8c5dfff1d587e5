package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond
	pageItems    = 500
)

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeEvent
	leases   map[int64]*storeLease
	// lastLease is the number of the last lease.
	lastLease int64
	changed   chan struct{}
	server    *http.Server
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type storeEvent struct {
	storeItem
	Deleted bool `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore(addr string) (*store, error) {
	s := &store{revision: 100, items: make(map[string]storeItem), leases: make(map[int64]*storeLease), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.revoke)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a key as the operator does.
func (s *store) put(key string, v any) {
	raw, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, raw, 0)
	s.wake()
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, storeEvent{storeItem: i})
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, storeEvent{storeItem: storeItem{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	found := false
	for key, i := range s.items {
		if i.Lease == id {
			if !found {
				s.revision++
				found = true
			}
			s.removeLocked(key)
		}
	}
	if found {
		s.wake()
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"at_rev": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AtRev int64 `json:"at_rev"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > pageItems
	if truncated {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "at_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_timeout_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range req.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[c.Key]}})
			return
		}
	}
	for _, p := range req.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range req.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range req.Remove {
		s.removeLocked(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(req.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLeaseLocked(id)
	reply(w, http.StatusOK, map[string]any{})
}
