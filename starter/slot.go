package starter

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// slotSet tells which slots of an upstream are taken, by number.
type slotSet struct {
	taken []bool
}

// take takes a free slot below n and returns its number. It prefers the slots
// for which owned is true.
func (s *slotSet) take(owned func(slot int) bool, n int) int {
	s.grow(n)
	fallback := -1
	for i := range s.taken {
		switch {
		case s.taken[i]:
		case i < n && owned(i):
			s.taken[i] = true
			return i
		case fallback < 0:
			fallback = i
		}
	}
	if fallback < 0 {
		s.grow(len(s.taken) + 1)
		fallback = len(s.taken) - 1
	}
	s.taken[fallback] = true
	return fallback
}

func (s *slotSet) release(slot int) { s.taken[slot] = false }

// free counts the free slots below n for which owned is true.
func (s *slotSet) free(owned func(slot int) bool, n int) int {
	s.grow(n)
	count := 0
	for i := range n {
		if !s.taken[i] && owned(i) {
			count++
		}
	}
	return count
}

func (s *slotSet) grow(n int) {
	for len(s.taken) < n {
		s.taken = append(s.taken, false)
	}
}

// owned returns which slots an entry uses before the other entries do. The
// slots are dealt out in turn over the linked entries, so that owners that
// choose from old reports seldom choose the same slot.
func (l *Ledger) owned(entry string) func(slot int) bool {
	names := slices.Sorted(maps.Keys(l.entries))
	i := slices.Index(names, entry)
	if i < 0 {
		return func(int) bool { return false }
	}
	shift := int(xxhash.Sum64String(l.self.Agent) % uint64(len(names)))
	return func(slot int) bool { return (slot+shift)%len(names) == i }
}
