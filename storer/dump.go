package storer

// Dump is the state of the stand-in.
type Dump struct {
	Fault  Fault
	Reads  int
	Writes int
	// Revisions holds the revision of each key.
	Revisions map[string]int64
}

// Dump returns the state of the stand-in. The error is always nil.
func (s *Store) Dump() (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{Fault: s.fault, Reads: s.reads, Writes: s.writes, Revisions: make(map[string]int64, len(s.pairs))}
	for key, p := range s.pairs {
		d.Revisions[key] = p.revision
	}
	return d, nil
}
