package worker

// Dump is a snapshot of the emulated upstream's state.
type Dump struct {
	Announcement Announcement
	Behaviour    Behaviour
	Leaving      bool
	Running      int
	// Busiest is the largest number of tasks that have run at the same time.
	Busiest int
	// Started is the number of different tasks that have started.
	Started int
}

// Dump returns a snapshot of the upstream's state. The error is always nil.
func (w *Worker) Dump() (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Dump{
		Announcement: w.cfg.Announcement,
		Behaviour:    w.behaviour,
		Leaving:      w.leaving,
		Running:      len(w.running),
		Busiest:      w.maxRunning,
		Started:      len(w.starts),
	}, nil
}
