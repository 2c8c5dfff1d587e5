package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// ahead returns the room that runs are expected to have given back after each of
// messenger.ForecastHorizons; nil when none is.
func (x *Executor) ahead(now time.Time) []messenger.Resources {
	if !x.refillable() {
		return nil
	}
	out := make([]messenger.Resources, len(messenger.ForecastHorizons))
	for _, r := range x.runs {
		if !r.here() || !r.foreseeable() {
			continue
		}
		after := x.expectedEnd(r, now).Sub(now)
		for i, span := range messenger.ForecastHorizons {
			if after <= span {
				out[i] = out[i].Plus(r.Demand)
			}
		}
	}
	if out[len(out)-1].IsZero() {
		return nil
	}
	return out
}

// refillable reports whether room that falls free may be used for new runs.
func (x *Executor) refillable() bool {
	return !x.leaving && !x.evacuated && !x.departed && !x.upstream.Draining && x.upstream.Born != 0
}

// foreseeable reports whether anything is known of how long a run takes. A run
// that was found at the worker has no estimate.
func (r *run) foreseeable() bool {
	return r.Estimate > 0 || (r.percent >= progressLeast && r.age > 0)
}
