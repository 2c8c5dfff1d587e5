package starter

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// slotSet records which slots of an upstream are in use, by slot number.
type slotSet struct {
	inUse []bool
}

// take marks a free slot as in use and returns its number. It prefers the slots below n
// for which preferred is true. If all slots are in use, it adds one.
func (s *slotSet) take(preferred func(slot int) bool, n int) int {
	s.grow(n)
	fallback := -1
	for i := range s.inUse {
		switch {
		case s.inUse[i]:
		case i < n && preferred(i):
			s.inUse[i] = true
			return i
		case fallback < 0:
			fallback = i
		}
	}
	if fallback < 0 {
		s.grow(len(s.inUse) + 1)
		fallback = len(s.inUse) - 1
	}
	s.inUse[fallback] = true
	return fallback
}

func (s *slotSet) release(slot int) { s.inUse[slot] = false }

// free counts the free slots below n for which preferred is true.
func (s *slotSet) free(preferred func(slot int) bool, n int) int {
	s.grow(n)
	count := 0
	for i := range n {
		if !s.inUse[i] && preferred(i) {
			count++
		}
	}
	return count
}

func (s *slotSet) grow(n int) {
	for len(s.inUse) < n {
		s.inUse = append(s.inUse, false)
	}
}

// preferredSlots returns a function that reports whether an entry uses a slot before
// the other entries do. The slots are distributed in turn over the linked entries, so
// that owners that choose from old reports seldom choose the same slot. The agent's
// name decides which entry is first.
func (l *Ledger) preferredSlots(entry string) func(slot int) bool {
	names := slices.Sorted(maps.Keys(l.entries))
	i := slices.Index(names, entry)
	if i < 0 {
		return func(int) bool { return false }
	}
	shift := int(xxhash.Sum64String(l.identity.Agent) % uint64(len(names)))
	return func(slot int) bool { return (slot+shift)%len(names) == i }
}
