package checker

import (
	"fmt"

	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// checkMachine checks the settings of a machine of the platform.
func (d document) checkMachine() []Finding {
	s, faults := platform.InspectSettings(string(d.raw))
	var out []Finding
	reported := make(map[string]bool)
	for _, f := range faults {
		if !reported[f.Key] {
			out = append(out, d.finding(Fault, f.Key, f.Problem))
		}
		reported[f.Key] = true
	}
	if len(out) > 0 {
		return out
	}
	return d.checkMachineLimits(s)
}

// checkMachineLimits finds times and ports that contradict each other.
func (d document) checkMachineLimits(s platform.Settings) []Finding {
	var out []Finding
	if s.DrainTimeout > s.GracePeriod {
		out = append(out, d.finding(Contradiction, platform.DrainTimeoutKey,
			fmt.Sprintf("tasks may start for %s, longer than %s: the process is killed after %s", s.DrainTimeout, platform.GracePeriodKey, s.GracePeriod)))
	}
	if s.MinResendDelay < scheduler.AgentLossTimeout {
		out = append(out, d.finding(Contradiction, platform.MinResendDelayKey,
			fmt.Sprintf("callers send a job again after %s; the runs of a lost entry are over after %s", s.MinResendDelay, scheduler.AgentLossTimeout)))
	}
	if s.LastInternalPort < s.FirstInternalPort {
		out = append(out, d.finding(Contradiction, platform.InternalPortsKey,
			fmt.Sprintf("the last port, %d, is below the first, %d", s.LastInternalPort, s.FirstInternalPort)))
	}
	return out
}
