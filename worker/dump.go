package worker

// Dump is the state of the stand-in.
type Dump struct {
	Announcement Announcement
	Behaviour    Behaviour
	Leaving      bool
	Running      int
	Busiest      int
	// Started counts the tasks that have started.
	Started int
}

// Dump returns the state of the stand-in. The error is always nil.
func (w *Worker) Dump() (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Dump{
		Announcement: w.cfg.Announcement,
		Behaviour:    w.behaviour,
		Leaving:      w.leaving,
		Running:      len(w.running),
		Busiest:      w.busiest,
		Started:      len(w.starts),
	}, nil
}
