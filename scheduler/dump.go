package scheduler

import "github.com/pomeloferry/pomeloferry/messenger"

// Dump is the state of a scheduler in readable form, for operators.
type Dump struct {
	Version   uint64
	Evacuated map[string]bool
	Jobs      int
	// Contested counts the jobs that wait because another entry has locked them.
	Contested int
	// Witnesses is the version of the list of witnesses, and WitnessesInContact the number of
	// those that were heard of lately.
	Witnesses          uint64
	WitnessesInContact int
	Waiting            []JobDump
	Agents             []AgentDump
}

// JobDump is the state of one job with ready tasks.
type JobDump struct {
	ID     string
	Queue  string
	Ready  int
	Placed int
	// AgeMS is the time since the job arrived, in milliseconds.
	AgeMS int64
}

// AgentDump is the state of one agent and its worker as last reported.
type AgentDump struct {
	Name string
	// Open means that the agent is synced. ReportMS is the age of its last report, in
	// milliseconds.
	Open     bool
	ReportMS int64
	Upstream messenger.Upstream
	Free     messenger.Resources
	Tasks    int
	Ejected  bool
	// SetAsideFor is the confined queue that the worker is set aside for.
	SetAsideFor string
	// Pace is the pace that the agent last reported.
	Pace float64
	// Speed is the speed of the worker relative to the others of its service.
	Speed float64
	// Failed is the number of consecutive jobs with a failed run at the worker.
	Failed int
}

// Dump returns the current state.
func (s *Scheduler) Dump() Dump {
	dump := Dump{Version: s.config.Version, Evacuated: s.config.Evacuated, Jobs: len(s.jobs), Contested: s.contestedLocks()}
	dump.Witnesses = s.witnesses.list.Version
	dump.WitnessesInContact = s.witnessesInContact(s.clock.Now())
	for _, j := range s.queue {
		if n := len(j.tasksIn(ready)); n > 0 {
			dump.Waiting = append(dump.Waiting, JobDump{
				ID:     j.ID,
				Queue:  j.Queue.Name,
				Ready:  n,
				Placed: len(j.tasksIn(placed)),
				AgeMS:  s.clock.Since(j.arrived).Milliseconds(),
			})
		}
	}
	for _, a := range s.agentsByName {
		dump.Agents = append(dump.Agents, AgentDump{
			Name:     a.name,
			Open:     a.synced,
			ReportMS: s.clock.Since(a.reportedAt).Milliseconds(),
			Upstream: a.upstream,
			Free:     a.free(),
			Tasks:    len(a.tasks),
			Ejected:  a.health.ejected,

			SetAsideFor: s.bulkhead.shards[a.name],
			Pace:        a.report.Pace,
			Speed:       a.speed.relative,
			Failed:      a.report.ConsecutiveFailedJobs,
		})
	}
	return dump
}
