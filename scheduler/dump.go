package scheduler

import "github.com/pomeloferry/pomeloferry/messenger"

// Dump is the state of a scheduler, for people.
type Dump struct {
	Version   uint64
	Evacuated map[string]bool
	Jobs      int
	// Yielding counts the jobs that wait since another entry holds them.
	Yielding int
	Waiting  []JobDump
	Agents   []AgentDump
}

// JobDump is the state of one job that waits.
type JobDump struct {
	ID     string
	Queue  string
	Ready  int
	Placed int
	AgeMS  int64
}

// AgentDump is what is known of one agent.
type AgentDump struct {
	Name     string
	Open     bool
	ReportMS int64
	Upstream messenger.Upstream
	Free     messenger.Resources
	Tasks    int
	Ejected  bool
	Pace     float64
	// Speed is the relative speed of the worker.
	Speed  float64
	Failed int
}

// Dump returns the state.
func (s *Scheduler) Dump() Dump {
	d := Dump{Version: s.config.Version, Evacuated: s.config.Evacuated, Jobs: len(s.jobs), Yielding: len(s.yielding)}
	for _, j := range s.queue {
		if n := len(j.tasksIn(ready)); n > 0 {
			d.Waiting = append(d.Waiting, JobDump{
				ID:     j.ID,
				Queue:  j.Queue.Name,
				Ready:  n,
				Placed: len(j.tasksIn(placed)),
				AgeMS:  s.clock.Since(j.arrived).Milliseconds(),
			})
		}
	}
	for _, a := range s.agentsByName {
		d.Agents = append(d.Agents, AgentDump{
			Name:     a.name,
			Open:     a.synced,
			ReportMS: s.clock.Since(a.reportedAt).Milliseconds(),
			Upstream: a.upstream,
			Free:     a.free(),
			Tasks:    len(a.tasks),
			Ejected:  a.health.ejected,
			Pace:     a.report.Pace,
			Speed:    a.speed.relative,
			Failed:   a.report.ConsecutiveFailedJobs,
		})
	}
	return d
}
