package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store plays the platform's store. Each reader has a view of its own, by which the
// network between the machines is laid out: where a machine reads the address at which
// another one listens, it gets that of the proxy that plays the link between the two.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*storeLease
	last     int64
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

// put writes a key as the operator does.
func (s *store) put(key string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, raw, 0)
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.publish(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publish(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have run out. The caller holds mu.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// handler serves the store to one machine. view replaces the values that it reads.
func (s *store) handler(view func(key string, value []byte) []byte) http.Handler {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, status int, v any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
	seen := func(i item) item {
		if view != nil && !i.Deleted {
			i.Value = view(i.Key, i.Value)
		}
		return i
	}
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		i, ok := s.items[r.FormValue("key")]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, seen(i))
	})
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		list := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
				list = append(list, seen(i))
			}
		}
		rev := s.revision
		s.mu.Unlock()
		slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		answer(w, http.StatusOK, map[string]any{"items": list, "truncated": false, "at_rev": rev})
	})
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
		wait, _ := strconv.Atoi(r.FormValue("wait_timeout_ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			s.expire()
			events := []item{}
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
					events = append(events, seen(i))
				}
			}
			rev, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(events) == 0 {
				select {
				case <-changed:
					continue
				case <-end:
				case <-r.Context().Done():
				}
			}
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": rev})
			return
		}
	})
	mux.HandleFunc("POST /api/kv-txn", func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			Precondition []struct {
				Key      string
				Revision int64
			}
			Puts []struct {
				Key   string
				Value []byte
				Lease int64
			}
			Remove []string
		}
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		for _, p := range b.Precondition {
			if s.items[p.Key].Revision != p.Revision {
				answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
				return
			}
		}
		for _, p := range b.Puts {
			if p.Lease != 0 && s.leases[p.Lease] == nil {
				answer(w, http.StatusNotFound, struct{}{})
				return
			}
		}
		for _, p := range b.Puts {
			s.write(p.Key, p.Value, p.Lease)
		}
		for _, key := range b.Remove {
			s.remove(key)
		}
		answer(w, http.StatusOK, map[string]any{"revision": s.revision})
	})
	mux.HandleFunc("POST /api/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.last++
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.leases[s.last] = &storeLease{ttl, time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]any{"lease": s.last, "ttl_ms": b.TTL})
	})
	mux.HandleFunc("POST /api/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		if l == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		l.ends = time.Now().Add(l.ttl)
		answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		answer(w, http.StatusOK, struct{}{})
	})
	return mux
}
