package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// Invalid means that a workload or an address is invalid.
	Invalid Kind = "Invalid"
	// Failed means that an experiment could not be run or its report not be drawn.
	Failed Kind = "Failed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("load: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// JobSize is a number of tasks of a job with its relative frequency.
type JobSize struct {
	Tasks  int
	Weight int
}

// RunTime is a range of tasks' run times with its relative frequency.
type RunTime struct {
	FromMillis int
	ToMillis   int
	Weight     int
}

// Wave is a number of jobs that arrive at the same time.
type Wave struct {
	AtMillis int
	Jobs     int
	// Cancel means that the jobs are cancelled after CancelAfterMillis.
	Cancel            bool
	CancelAfterMillis int
}

// EventKind says which change an Event makes.
type EventKind string

// The kinds of events. TakeOut and BringBack change the state of a data centre; the
// others change the behaviour of an upstream.
const (
	TakeOut   EventKind = "TakeOut"
	BringBack EventKind = "BringBack"
	FailAll   EventKind = "FailAll"
	RefuseAll EventKind = "RefuseAll"
	Slow      EventKind = "Slow"
	Recover   EventKind = "Recover"
)

// Event is a change of the deployment during the experiment.
type Event struct {
	AtMillis int
	Kind     EventKind
	// Name is the name of a data centre for TakeOut and BringBack, else the ID of an
	// upstream.
	Name string
}

// Workload describes one experiment.
type Workload struct {
	Seed           uint64
	DurationMillis int
	Team           string
	Service        string
	DeadlineMillis int
	// LoadPercent is the offered work as a percentage of the capacity of Slots.
	LoadPercent int
	Slots       int
	JobSizes    []JobSize
	RunTimes    []RunTime
	// ResubmitPercent is the percentage of jobs that are submitted a second time,
	// through another entry, while they run.
	ResubmitPercent int
	// FollowRetryAfter means that refused jobs are submitted again after the delay
	// that the answer gives.
	FollowRetryAfter bool
	Waves            []Wave
	Events           []Event
}

// The limits of a workload.
const (
	maxDuration    = 10 * time.Minute
	maxLoadPercent = 400
	maxWaveJobs    = 10_000
)

// LoadWorkload reads and checks the workload in the file at path.
func LoadWorkload(path string) (Workload, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, &Error{Op: "read workload", Kind: Invalid, Err: err}
	}
	var w Workload
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return w, &Error{Op: "parse " + path, Kind: Invalid, Err: err}
	}
	if invalid := w.validate(); len(invalid) > 0 {
		return w, &Error{Op: "check " + path, Kind: Invalid, Err: errors.New(strings.Join(invalid, "; "))}
	}
	return w, nil
}

func (w Workload) validate() []string {
	var invalid []string
	checkRange := func(key string, n, low, high int) {
		if n < low || n > high {
			invalid = append(invalid, fmt.Sprintf("%s: found %d, allowed %d to %d", key, n, low, high))
		}
	}
	checkRange("DurationMillis", w.DurationMillis, 1, int(maxDuration.Milliseconds()))
	checkRange("DeadlineMillis", w.DeadlineMillis, 1, 60_000)
	checkRange("LoadPercent", w.LoadPercent, 0, maxLoadPercent)
	checkRange("Slots", w.Slots, 1, 100_000)
	checkRange("ResubmitPercent", w.ResubmitPercent, 0, 100)
	checkRange("JobSizes", len(w.JobSizes), 1, 100)
	checkRange("RunTimes", len(w.RunTimes), 1, 100)
	for i, s := range w.JobSizes {
		checkRange(fmt.Sprintf("JobSizes[%d].Tasks", i), s.Tasks, 1, 1100)
		checkRange(fmt.Sprintf("JobSizes[%d].Weight", i), s.Weight, 1, 1_000_000)
	}
	for i, r := range w.RunTimes {
		checkRange(fmt.Sprintf("RunTimes[%d].FromMillis", i), r.FromMillis, 1, 60_000)
		checkRange(fmt.Sprintf("RunTimes[%d].ToMillis", i), r.ToMillis, r.FromMillis, 60_000)
		checkRange(fmt.Sprintf("RunTimes[%d].Weight", i), r.Weight, 1, 1_000_000)
	}
	for i, v := range w.Waves {
		checkRange(fmt.Sprintf("Waves[%d].Jobs", i), v.Jobs, 1, maxWaveJobs)
	}
	return invalid
}

// jobsPerSecond returns the arrival rate of jobs at which the offered work is
// LoadPercent of the capacity of the slots.
func (w Workload) jobsPerSecond() float64 {
	tasks, sizes := 0, 0
	for _, s := range w.JobSizes {
		tasks += s.Tasks * s.Weight
		sizes += s.Weight
	}
	millis, times := 0, 0
	for _, r := range w.RunTimes {
		millis += (r.FromMillis + r.ToMillis) * r.Weight
		times += 2 * r.Weight
	}
	workPerJob := float64(tasks) / float64(sizes) * float64(millis) / float64(times) / 1000
	return float64(w.LoadPercent) / 100 * float64(w.Slots) / workPerJob
}

func (w Workload) drawJobSize(rng *rand.Rand) int {
	total := 0
	for _, s := range w.JobSizes {
		total += s.Weight
	}
	n := rng.IntN(total)
	for _, s := range w.JobSizes {
		if n -= s.Weight; n < 0 {
			return s.Tasks
		}
	}
	return w.JobSizes[0].Tasks
}

func (w Workload) drawRunMillis(rng *rand.Rand) int {
	total := 0
	for _, r := range w.RunTimes {
		total += r.Weight
	}
	n := rng.IntN(total)
	for _, r := range w.RunTimes {
		if n -= r.Weight; n < 0 {
			return r.FromMillis + rng.IntN(r.ToMillis-r.FromMillis+1)
		}
	}
	return w.RunTimes[0].FromMillis
}
