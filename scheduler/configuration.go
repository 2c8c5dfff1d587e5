package scheduler

import (
	"strings"
	"time"
)

// Configuration is what the operators have configured. It is immutable.
type Configuration struct {
	// Version never decreases.
	Version uint64
	Queues  []Queue
	// Evacuated lists the data centres in which no task is started.
	Evacuated map[string]bool
	// Revision is that of the operators' directives as a whole; it rises with each
	// change.
	Revision int64
	// HeadLimit bounds the head of a request, and BodyLimit its body, in bytes.
	HeadLimit, BodyLimit int64
	// FarFactor is the factor by which a task takes longer on a worker away from its
	// data. It comes from the entry's settings; with 0 or 1 it makes no difference
	// where the task runs.
	FarFactor float64
}

// WithEvacuated returns a copy of c with the evacuated data centres as of a revision of
// the directives.
func (c Configuration) WithEvacuated(evacuated map[string]bool, revision int64) Configuration {
	c.Evacuated = evacuated
	c.Revision = revision
	return c
}

// WithFarFactor returns a copy of c with a far factor.
func (c Configuration) WithFarFactor(factor float64) Configuration {
	c.FarFactor = factor
	return c
}

// Queue describes a queue, which accepts the jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the requests that belong to the queue.
	Host    string
	Prefix  string
	Service string
	// Priority is 0 for the most urgent queues.
	Priority int
	// MaxAttempts is the number of failed runs of one task at which its job fails.
	MaxAttempts int
	// Stretch and Slack give the latency objective: Stretch times the critical path,
	// plus Slack.
	Stretch float64
	Slack   time.Duration
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// Unguarded means that the service's workers start what exceeds their capacity.
	Unguarded bool
	// Advised means that the queue has a service that must be queried about where a
	// step may run.
	Advised bool
}

// Find returns the queue at host with the longest prefix of path, and the rest of the
// path after the prefix.
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
