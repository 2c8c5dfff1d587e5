package supervisor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pomeloferry/pomeloferry/executor"
)

// agentMetrics are the counters of an agent.
type agentMetrics struct {
	set     *metrics.Set
	starts  *metrics.Counter
	stops   *metrics.Counter
	polls   *metrics.Counter
	reports *metrics.Counter
	// evacuationReads counts the agent's own reads of the evacuations after its start, and
	// evacuationsAge is the time in seconds since those that it knows were certainly right.
	evacuationReads *metrics.Counter
	evacuationsAge  *metrics.Gauge
	// reservedMillicores is the capacity reserved for a large task, in thousandths of
	// a core.
	reservedMillicores *metrics.Gauge
	// coreSeconds is what the worker's capacity is used for.
	coreSeconds map[executor.CapacityUse]*metrics.FloatCounter
}

func newAgentMetrics(set *metrics.Set) agentMetrics {
	coreSeconds := make(map[executor.CapacityUse]*metrics.FloatCounter)
	for _, use := range executor.CapacityUses {
		coreSeconds[use] = set.NewFloatCounter(fmt.Sprintf("pomeloferry_agent_core_seconds_total{use=%q}", use.String()))
	}
	return agentMetrics{
		set:                set,
		starts:             set.NewCounter("pomeloferry_agent_starts_total"),
		stops:              set.NewCounter("pomeloferry_agent_stops_total"),
		polls:              set.NewCounter("pomeloferry_agent_looks_total"),
		reports:            set.NewCounter("pomeloferry_agent_reports_total"),
		evacuationReads:    set.NewCounter("pomeloferry_agent_evacuation_reads_total"),
		evacuationsAge:     set.NewGauge("pomeloferry_agent_evacuations_age_seconds", nil),
		reservedMillicores: set.NewGauge("pomeloferry_agent_reserved_millicores", nil),
		coreSeconds:        coreSeconds,
	}
}

// countDecision counts a logged decision.
func (m agentMetrics) countDecision(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_agent_decisions_total{what=%q}", what)).Inc()
}

// setUsage sets the gauges and counters of the worker's capacity.
func (m agentMetrics) setUsage(x *executor.Executor) {
	m.reservedMillicores.Set(float64(x.ReservedCapacity().CPU))
	for use, c := range m.coreSeconds {
		c.Set(x.CoreSeconds(use))
	}
}
