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
	// Invalid means that a workload is wrong.
	Invalid Kind = "Invalid"
	// Failed means that an experiment could not be carried out.
	Failed Kind = "Failed"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("load: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// JobSize is one size of jobs and how often it comes.
type JobSize struct {
	Tasks  int
	Weight int
}

// RunTime is one range of run times and how often it comes.
type RunTime struct {
	FromMillis int
	ToMillis   int
	Weight     int
}

// Wave is a number of jobs at one time.
type Wave struct {
	AtMillis int
	Jobs     int
	// Cancel makes the jobs be cancelled after CancelAfterMillis.
	Cancel            bool
	CancelAfterMillis int
}

// EventKind tells what happens in an Event.
type EventKind string

// The kinds of events.
const (
	TakeOut   EventKind = "TakeOut"
	BringBack EventKind = "BringBack"
	FailAll   EventKind = "FailAll"
	RefuseAll EventKind = "RefuseAll"
	Slow      EventKind = "Slow"
	Recover   EventKind = "Recover"
)

// Event is a change of the deployment during the load.
type Event struct {
	AtMillis int
	Kind     EventKind
	// Name is a data centre for TakeOut and BringBack, and otherwise the ID
	// of an upstream.
	Name string
}

// Workload describes one experiment.
type Workload struct {
	Seed           uint64
	DurationMillis int
	Team           string
	Service        string
	DeadlineMillis int
	// LoadPercent is the offered work as a share of what Slots can do.
	LoadPercent int
	Slots       int
	JobSizes    []JobSize
	RunTimes    []RunTime
	// ResubmitPercent is the share of jobs that are sent a second time,
	// through another entry, while they run.
	ResubmitPercent int
	// FollowRetryAfter makes refused jobs come back when they are told to.
	FollowRetryAfter bool
	Waves            []Wave
	Events           []Event
}

// The limits of a workload.
const (
	maxDuration = 10 * time.Minute
	maxLoad     = 400
	maxWave     = 10_000
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
	if faults := w.check(); len(faults) > 0 {
		return w, &Error{Op: "check " + path, Kind: Invalid, Err: errors.New(strings.Join(faults, "; "))}
	}
	return w, nil
}

func (w Workload) check() []string {
	var faults []string
	between := func(key string, n, low, high int) {
		if n < low || n > high {
			faults = append(faults, fmt.Sprintf("%s: found %d, allowed %d to %d", key, n, low, high))
		}
	}
	between("DurationMillis", w.DurationMillis, 1, int(maxDuration.Milliseconds()))
	between("DeadlineMillis", w.DeadlineMillis, 1, 60_000)
	between("LoadPercent", w.LoadPercent, 0, maxLoad)
	between("Slots", w.Slots, 1, 100_000)
	between("ResubmitPercent", w.ResubmitPercent, 0, 100)
	between("JobSizes", len(w.JobSizes), 1, 100)
	between("RunTimes", len(w.RunTimes), 1, 100)
	for i, s := range w.JobSizes {
		between(fmt.Sprintf("JobSizes[%d].Tasks", i), s.Tasks, 1, 1100)
		between(fmt.Sprintf("JobSizes[%d].Weight", i), s.Weight, 1, 1_000_000)
	}
	for i, r := range w.RunTimes {
		between(fmt.Sprintf("RunTimes[%d].FromMillis", i), r.FromMillis, 1, 60_000)
		between(fmt.Sprintf("RunTimes[%d].ToMillis", i), r.ToMillis, r.FromMillis, 60_000)
		between(fmt.Sprintf("RunTimes[%d].Weight", i), r.Weight, 1, 1_000_000)
	}
	for i, v := range w.Waves {
		between(fmt.Sprintf("Waves[%d].Jobs", i), v.Jobs, 1, maxWave)
	}
	return faults
}

// jobsPerSecond returns the rate that offers LoadPercent of the slots' work.
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

func (w Workload) jobSize(rng *rand.Rand) int {
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

func (w Workload) runMillis(rng *rand.Rand) int {
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
