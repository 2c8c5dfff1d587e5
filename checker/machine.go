package checker

import (
	"fmt"

	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// checkMachine judges the settings of a machine of the platform.
func (d document) checkMachine() []Finding {
	s, faults := platform.InspectSettings(string(d.raw))
	var out []Finding
	told := make(map[string]bool)
	for _, f := range faults {
		if !told[f.Key] {
			out = append(out, d.finding(Fault, f.Key, f.Text))
		}
		told[f.Key] = true
	}
	if len(out) > 0 {
		return out
	}
	return d.machineRules(s)
}

// machineRules finds the times that contradict each other.
func (d document) machineRules(s platform.Settings) []Finding {
	var out []Finding
	if s.DrainWithin > s.Grace {
		out = append(out, d.finding(Contradiction, platform.DrainWithinKey,
			fmt.Sprintf("tasks may start for %s, longer than %s: the process is killed after %s", s.DrainWithin, platform.GraceKey, s.Grace)))
	}
	if s.Resend < scheduler.AgentLossTimeout {
		out = append(out, d.finding(Contradiction, platform.ResendKey,
			fmt.Sprintf("callers send a job again after %s; the runs of a lost entry are over after %s", s.Resend, scheduler.AgentLossTimeout)))
	}
	if s.LastPort < s.InternalPort {
		out = append(out, d.finding(Contradiction, platform.InternalPortsKey,
			fmt.Sprintf("the last port, %d, is below the first, %d", s.LastPort, s.InternalPort)))
	}
	return out
}
