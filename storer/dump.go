package storer

// Dump is a snapshot of the emulated store's state.
type Dump struct {
	Fault Fault
	// Reads and Writes are the numbers of calls so far.
	Reads  int
	Writes int
	// Revisions maps each key to its revision.
	Revisions map[string]int64
}

// Dump returns a snapshot of the store's state. The error is always nil.
func (s *Store) Dump() (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{Fault: s.fault, Reads: s.reads, Writes: s.writes, Revisions: make(map[string]int64, len(s.pairs))}
	for key, p := range s.pairs {
		d.Revisions[key] = p.revision
	}
	return d, nil
}
