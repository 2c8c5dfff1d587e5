package acceptor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pomeloferry/pomeloferry/scheduler"
)

// meters are the counters and histograms of an entry.
type meters struct {
	set    *metrics.Set
	sent   *metrics.Counter
	turned *metrics.Counter
}

func newMeters(set *metrics.Set) meters {
	return meters{
		set:    set,
		sent:   set.NewCounter("pomeloferry_entry_messages_out_total"),
		turned: set.NewCounter("pomeloferry_entry_requests_turned_down_total"),
	}
}

// answered counts an answer and the seconds it took.
func (m meters) answered(o scheduler.Outcome, seconds float64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_entry_answers_total{outcome=%q}", o)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("pomeloferry_entry_answer_seconds{outcome=%q}", o)).Update(seconds)
}

// decided counts a decision that the log tells of.
func (m meters) decided(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_entry_decisions_total{what=%q}", what)).Inc()
}

// refused counts a refusal for lack of room by its queue and point.
func (m meters) refused(queue string, point scheduler.RefusalPoint) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_entry_refusals_total{queue=%q,point=%q}", queue, point)).Inc()
}

// waited counts a placement and the seconds for which its tasks waited.
func (m meters) waited(size scheduler.Size, seconds float64) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("pomeloferry_entry_wait_seconds{size=%q}", size)).Update(seconds)
}
