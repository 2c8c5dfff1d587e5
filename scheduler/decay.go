package scheduler

import (
	"math"
	"time"
)

// decayFactor returns the factor by which a decaying count shrinks in the time elapsed.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
