package acceptor

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// entryMetrics are the counters and histograms of an entry.
type entryMetrics struct {
	set              *metrics.Set
	messagesSent     *metrics.Counter
	requestsRejected *metrics.Counter
	// evacuationsAge is the time in seconds since the evacuations that the entry knows were
	// certainly right.
	evacuationsAge *metrics.Gauge
}

func newEntryMetrics(set *metrics.Set) entryMetrics {
	return entryMetrics{
		set:              set,
		messagesSent:     set.NewCounter("pomeloferry_entry_messages_out_total"),
		requestsRejected: set.NewCounter("pomeloferry_entry_requests_turned_down_total"),
		evacuationsAge:   set.NewGauge("pomeloferry_entry_evacuations_age_seconds", nil),
	}
}

// setEvacuationsAge sets the gauge of the age of the known evacuations.
func (m entryMetrics) setEvacuationsAge(v evacuator.View, now time.Time) {
	if !v.ConfirmedAt.IsZero() {
		m.evacuationsAge.Set(now.Sub(v.ConfirmedAt).Seconds())
	}
}

// observeAnswer counts an answer by its outcome and records the seconds it took.
func (m entryMetrics) observeAnswer(o scheduler.Outcome, seconds float64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_entry_answers_total{outcome=%q}", o)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("pomeloferry_entry_answer_seconds{outcome=%q}", o)).Update(seconds)
}

// countDecision counts a logged decision.
func (m entryMetrics) countDecision(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_entry_decisions_total{what=%q}", what)).Inc()
}

// countRefusal counts a refusal for lack of capacity by its queue and point.
func (m entryMetrics) countRefusal(queue string, point scheduler.RefusalPoint) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pomeloferry_entry_refusals_total{queue=%q,point=%q}", queue, point)).Inc()
}

// observeWait records the seconds for which the tasks of a placement waited, by the
// size of the tasks.
func (m entryMetrics) observeWait(size scheduler.Size, seconds float64) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("pomeloferry_entry_wait_seconds{size=%q}", size)).Update(seconds)
}
