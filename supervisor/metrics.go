package supervisor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// agentMetrics are the counters of an agent.
type agentMetrics struct {
	set     *metrics.Set
	starts  *metrics.Counter
	stops   *metrics.Counter
	polls   *metrics.Counter
	reports *metrics.Counter
	// reservedMillicores is the capacity reserved for a large task, in thousandths of
	// a core.
	reservedMillicores *metrics.Gauge
}

func newAgentMetrics(set *metrics.Set) agentMetrics {
	return agentMetrics{
		set:                set,
		starts:             set.NewCounter("pomeloferry_agent_starts_total"),
		stops:              set.NewCounter("pomeloferry_agent_stops_total"),
		polls:              set.NewCounter("pomeloferry_agent_looks_total"),
		reports:            set.NewCounter("pomeloferry_agent_reports_total"),
		reservedMillicores: set.NewGauge("pomeloferry_agent_reserved_millicores", nil),
	}
}

// countDecision counts a logged decision.
func (m agentMetrics) countDecision(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_agent_decisions_total{what=%q}", what)).Inc()
}
