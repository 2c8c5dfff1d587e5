package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// recorder collects what was sent, answered and run. Times are counted from its start.
type recorder struct {
	start time.Time

	mu    sync.Mutex
	lines []line
	runs  []*taskRun
}

type line struct {
	at   time.Duration
	text string
}

// taskRun is one run of a task as its worker saw it.
type taskRun struct {
	job, task string
	step      int
	number    int
	worker    string
	// wkey identifies the worker's life.
	wkey      string
	startedAt time.Duration
	// endedAt is zero while the run goes on.
	endedAt time.Duration
	how     string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

func (r *recorder) now() time.Duration { return time.Since(r.start) }

// note adds a line to the record.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{r.now(), fmt.Sprintf(format, args...)})
}

func (r *recorder) began(run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.startedAt = r.now()
	r.runs = append(r.runs, run)
	r.lines = append(r.lines, line{run.startedAt, fmt.Sprintf("worker %s: task %s run %d starts", run.worker, run.task, run.number)})
}

func (r *recorder) ended(run *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.endedAt = r.now()
	run.how = how
	r.lines = append(r.lines, line{run.endedAt, fmt.Sprintf("worker %s: task %s run %d ends %s", run.worker, run.task, run.number, how)})
}

// allRuns returns a copy of the runs, those that still go on ending now.
func (r *recorder) allRuns() []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]taskRun, 0, len(r.runs))
	for _, run := range r.runs {
		c := *run
		if c.how == "" {
			c.endedAt = r.now()
			c.how = "(goes on)"
		}
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].startedAt < out[j].startedAt })
	return out
}

// overlaps returns the pairs of runs of one task that went on at the same time.
func (r *recorder) overlaps() []string {
	byTask := make(map[string][]taskRun)
	for _, run := range r.allRuns() {
		byTask[run.task] = append(byTask[run.task], run)
	}
	var out []string
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.startedAt < a.endedAt {
					together := min(a.endedAt, b.endedAt) - b.startedAt
					out = append(out, fmt.Sprintf("task %s: run %d on %s from %s to %s (%s), run %d on %s from %s to %s (%s): %s at the same time",
						task, a.number, a.worker, ms(a.startedAt), ms(a.endedAt), a.how, b.number, b.worker, ms(b.startedAt), ms(b.endedAt), b.how, ms(together)))
				}
			}
		}
	}
	sort.Strings(out)
	return out
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}

// write writes the record to a file.
func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		fmt.Fprintf(f, "%10.1f  %s\n", float64(l.at.Microseconds())/1000, l.text)
	}
	return f.Close()
}
