package starter

import (
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// Dump is the state of a Ledger as it is shown to operators.
type Dump struct {
	Identity      Identity
	Upstream      Upstream
	Draining      bool
	Running       int
	Offers        int
	Records       int
	ResultBytes   int
	BundleVersion uint64
	// ConfirmedAge is the time since the bundle version was last known to be
	// the newest one.
	ConfirmedAge time.Duration
	Entries      []string
	Tasks        []courier.TaskID
}

// Dump returns the state of the Ledger.
func (l *Ledger) Dump() Dump {
	d := Dump{
		Identity:      l.identity,
		Upstream:      l.upstream,
		Draining:      l.draining,
		Running:       l.running,
		Offers:        len(l.offers),
		ResultBytes:   l.resultBytes,
		BundleVersion: l.policy.BundleVersion,
		ConfirmedAge:  l.clock.Since(l.confirmedAt),
	}
	for id := range l.entries {
		d.Entries = append(d.Entries, id)
	}
	for _, part := range l.records {
		d.Records += len(part)
		for id, r := range part {
			if r.Outcome == courier.Running {
				d.Tasks = append(d.Tasks, id)
			}
		}
	}
	return d
}
