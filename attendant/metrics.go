package attendant

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the counters of an agent.
type meters struct {
	set     *metrics.Set
	starts  *metrics.Counter
	stops   *metrics.Counter
	looks   *metrics.Counter
	reports *metrics.Counter
	// reserved is the room kept for a large task, in thousandths of a core.
	reserved *metrics.Gauge
}

func newMeters(set *metrics.Set) meters {
	return meters{
		set:      set,
		starts:   set.NewCounter("pomeloferry_agent_starts_total"),
		stops:    set.NewCounter("pomeloferry_agent_stops_total"),
		looks:    set.NewCounter("pomeloferry_agent_looks_total"),
		reports:  set.NewCounter("pomeloferry_agent_reports_total"),
		reserved: set.NewGauge("pomeloferry_agent_reserved_millicores", nil),
	}
}

// decided counts a decision that the log tells of.
func (m meters) decided(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_agent_decisions_total{what=%q}", what)).Inc()
}
