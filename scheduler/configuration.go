package scheduler

import (
	"strings"
	"time"
)

// Configuration is what the operators have set. It is immutable.
type Configuration struct {
	// Version only rises.
	Version uint64
	Queues  []Queue
	// Evacuated lists data centres in which nothing is to start.
	Evacuated map[string]bool
	// Revision is that of the directives as a whole; it rises with each change.
	Revision int64
	// BodyLimit bounds a request's body, in bytes.
	BodyLimit int64
	// FarFactor is how many times as long a task takes away from its data. It comes
	// from the entry's settings; 0 or 1 means that this makes no difference.
	FarFactor float64
}

// WithEvacuated returns a copy of c with the evacuated data centres as of a
// revision of the directives.
func (c Configuration) WithEvacuated(list map[string]bool, revision int64) Configuration {
	c.Evacuated = list
	c.Revision = revision
	return c
}

// WithFarFactor returns a copy of c with a far factor.
func (c Configuration) WithFarFactor(f float64) Configuration {
	c.FarFactor = f
	return c
}

// Queue takes jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the requests of the queue.
	Host    string
	Prefix  string
	Service string
	// Priority is 0 for the queue that comes first.
	Priority int
	// MaxAttempts is how often a task may fail before its job has failed.
	MaxAttempts int
	// Stretch and Slack give the latency objective: Stretch times the longest
	// chain of work, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds a request.
	Timeout time.Duration
	// Advised queues have a service that must be asked where a step may run.
	Advised bool
}

// Find returns the queue with the longest prefix of path at host, and what
// follows the prefix.
func (c Configuration) Find(host, path string) (Queue, string, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best = q
			found = true
		}
	}
	return best, strings.TrimPrefix(path, best.Prefix), found
}
