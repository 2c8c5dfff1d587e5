package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// forecast returns the capacity that runs are expected to have freed after each of
// messenger.ForecastHorizons, or nil if they free none.
func (x *Executor) forecast(now time.Time) []messenger.Resources {
	if !x.acceptsRuns() {
		return nil
	}
	out := make([]messenger.Resources, len(messenger.ForecastHorizons))
	for _, r := range x.runs {
		if !r.holdsCapacity() || !r.endIsPredictable() {
			continue
		}
		after := x.expectedEnd(r, now).Sub(now)
		for i, horizon := range messenger.ForecastHorizons {
			if after <= horizon {
				out[i] = out[i].Plus(r.Demand)
			}
		}
	}
	if out[len(out)-1].IsZero() {
		return nil
	}
	return out
}

// acceptsRuns reports whether capacity that becomes free may be used for new runs.
func (x *Executor) acceptsRuns() bool {
	return !x.shuttingDown && !x.evacuated() && !x.departed && !x.upstream.Draining && x.upstream.Born != 0
}

// endIsPredictable reports whether the run has an estimate or enough progress to
// predict its end. A run that was found at the worker has no estimate.
func (r *run) endIsPredictable() bool {
	return r.Estimate > 0 || (r.percent >= minProgressPercent && r.progressAge > 0)
}
