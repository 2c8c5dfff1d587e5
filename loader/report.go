package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomeloferry/pomeloferry/courier"
)

const (
	// ratioScale is the scale of ratios in the histograms, which hold integers: three
	// decimals are kept.
	ratioScale        = 1000
	maxRatio          = 10_000 * ratioScale
	significantDigits = 3
	// warmUpSeconds is the time at the start that SteadyUtilisation leaves out.
	warmUpSeconds = 5
)

// Quantiles summarises the ratio of response time to ideal time.
type Quantiles struct {
	Jobs int64
	P50  float64
	P99  float64
	P999 float64
	Max  float64
}

// SecondStats holds the work completed and the jobs answered in one second.
type SecondStats struct {
	// WorkSeconds is the total run time of the tasks of the completed jobs.
	WorkSeconds float64
	Complete    int
	Failed      int
	NotRun      int
}

// ProcessUsage is the resource usage of one process during the experiment.
type ProcessUsage struct {
	Process     string
	CPUSeconds  float64
	MemoryBytes float64
}

// Report is the result of an experiment.
type Report struct {
	Workload Workload
	Seconds  float64
	// Ratio is the ratio of the response time to the ideal time of the completed
	// jobs; the ideal time is the run time of the job's longest task. BySize groups
	// it by the number of tasks.
	Ratio  Quantiles
	BySize map[int]Quantiles
	// Answers counts the answers by state and reason, Broken the requests without an
	// answer.
	Answers map[string]int
	Broken  int
	// WrongResults counts completed jobs with results other than those expected for
	// their tasks.
	WrongResults int
	// Copies and Cancels count the second submissions and the cancellations that
	// were sent, CopiesFailed and CancelsFailed those without a final answer and an
	// answer, respectively.
	Copies        int
	CopiesFailed  int
	Cancels       int
	CancelsFailed int
	// Started counts the tasks sent to agents, Refused the starts that agents refused,
	// and Declined the offers that were not used.
	Started  float64
	Refused  float64
	Declined float64
	// MessagesPerTask is the number of messages between entries and agents for each
	// started task, without heartbeats. WastedPercent is the share of messages that
	// were refusals, declined offers, and the messages that these answer.
	MessagesPerTask float64
	WastedPercent   float64
	// Utilisation is the ratio of the completed work to the capacity of the slots.
	// SteadyUtilisation is the same without the first seconds and the time after the
	// last arrival.
	Utilisation       float64
	SteadyUtilisation float64
	Timeline          []SecondStats
	Events            []string
	Processes         []ProcessUsage
}

// results collects the measurements. It is safe for concurrent use.
type results struct {
	mu       sync.Mutex
	ratio    *hdrhistogram.Histogram
	bySize   map[int]*hdrhistogram.Histogram
	timeline []SecondStats
	work     time.Duration
	partial  Report
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, significantDigits) }

func newResults() *results {
	return &results{
		ratio:   newHistogram(),
		bySize:  make(map[int]*hdrhistogram.Histogram),
		partial: Report{Answers: make(map[string]int)},
	}
}

func (r *results) recordAnswer(j job, a courier.Answer, err error, took, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.partial.Broken++
		return
	}
	key := string(a.State)
	if a.Reason != "" {
		key += " " + string(a.Reason)
	}
	r.partial.Answers[key]++
	s := r.secondAt(at)
	switch a.State {
	case courier.Complete:
		s.Complete++
		s.WorkSeconds += j.work.Seconds()
		r.work += j.work
		r.recordRatio(j, took)
		r.checkResults(j, a)
	case courier.NotRun:
		s.NotRun++
	default:
		s.Failed++
	}
}

func (r *results) recordRatio(j job, took time.Duration) {
	v := int64(float64(took) / float64(j.longest) * ratioScale)
	_ = r.ratio.RecordValue(min(v, maxRatio))
	n := len(j.submission.Tasks)
	if r.bySize[n] == nil {
		r.bySize[n] = newHistogram()
	}
	_ = r.bySize[n].RecordValue(min(v, maxRatio))
}

func (r *results) checkResults(j job, a courier.Answer) {
	for i := range j.submission.Tasks {
		want := fmt.Sprintf("%q", fmt.Sprintf("%s#%d", j.submission.Key, i))
		if i >= len(a.Results) || string(a.Results[i]) != want {
			r.partial.WrongResults++
			return
		}
	}
}

func (r *results) secondAt(at time.Duration) *SecondStats {
	n := int(at / time.Second)
	for len(r.timeline) <= n {
		r.timeline = append(r.timeline, SecondStats{})
	}
	return &r.timeline[n]
}

func (r *results) recordCopy(a courier.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial.Copies++
	if err != nil || !a.Final() {
		r.partial.CopiesFailed++
	}
}

func (r *results) recordCancel(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial.Cancels++
	if err != nil {
		r.partial.CancelsFailed++
	}
}

func (r *results) recordEvent(e Event, at time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%.1fs %s %s", at.Seconds(), e.Kind, e.Name)
	if err != nil {
		line += ": " + err.Error()
	}
	r.partial.Events = append(r.partial.Events, line)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / ratioScale }
	return Quantiles{Jobs: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / ratioScale}
}

func (r *results) buildReport(w Workload, took time.Duration, before, after map[string]processMetrics) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.partial
	out.Workload = w
	out.Seconds = took.Seconds()
	out.Ratio = quantiles(r.ratio)
	out.BySize = make(map[int]Quantiles)
	for n, h := range r.bySize {
		out.BySize[n] = quantiles(h)
	}
	out.Timeline = r.timeline
	out.Utilisation = r.work.Seconds() / (took.Seconds() * float64(w.Slots))
	out.SteadyUtilisation = r.steadyUtilisation(w)
	out.addProcesses(before, after)
	return out
}

// steadyUtilisation returns the utilisation without the warm-up and the time after the
// last arrival.
func (r *results) steadyUtilisation(w Workload) float64 {
	end := min(w.DurationMillis/1000, len(r.timeline))
	if end <= warmUpSeconds {
		return 0
	}
	work := 0.0
	for _, s := range r.timeline[warmUpSeconds:end] {
		work += s.WorkSeconds
	}
	return work / float64((end-warmUpSeconds)*w.Slots)
}

// addProcesses adds the differences between the processes' metrics before and after
// the experiment.
func (g *Report) addProcesses(before, after map[string]processMetrics) {
	var messages float64
	for _, name := range slices.Sorted(maps.Keys(after)) {
		a, b := after[name], before[name]
		g.Processes = append(g.Processes, ProcessUsage{
			Process:     name,
			CPUSeconds:  a.cpuSeconds - b.cpuSeconds,
			MemoryBytes: a.memoryBytes,
		})
		g.Started += a.started - b.started
		messages += a.messages - b.messages
		g.Refused += a.refused - b.refused
		g.Declined += a.declined - b.declined
	}
	wasted := 2*g.Refused + 2*g.Declined
	if g.Started > 0 {
		g.MessagesPerTask = messages / g.Started
	}
	if messages > 0 {
		g.WastedPercent = 100 * wasted / messages
	}
}

// Print writes the report as text.
func (g Report) Print(w io.Writer) {
	fmt.Fprintf(w, "load %d%% of %d slots for %.1f s; utilisation %.3f, steady %.3f\n",
		g.Workload.LoadPercent, g.Workload.Slots, g.Seconds, g.Utilisation, g.SteadyUtilisation)
	printQuantiles(w, "all jobs", g.Ratio)
	for _, n := range slices.Sorted(maps.Keys(g.BySize)) {
		printQuantiles(w, fmt.Sprintf("%d tasks", n), g.BySize[n])
	}
	for _, key := range slices.Sorted(maps.Keys(g.Answers)) {
		fmt.Fprintf(w, "  %-36s %d\n", key, g.Answers[key])
	}
	fmt.Fprintf(w, "broken %d, wrong results %d, copies %d (%d without answer), cancellations %d (%d failed)\n",
		g.Broken, g.WrongResults, g.Copies, g.CopiesFailed, g.Cancels, g.CancelsFailed)
	fmt.Fprintf(w, "started %.0f tasks (%.0f refused, %.0f offers declined), %.2f messages a task, %.2f%% of messages wasted\n",
		g.Started, g.Refused, g.Declined, g.MessagesPerTask, g.WastedPercent)
	for _, e := range g.Events {
		fmt.Fprintln(w, "event", e)
	}
	for _, p := range g.Processes {
		fmt.Fprintf(w, "  %-24s %6.2f%% of a core, %5.1f MB\n", p.Process, 100*p.CPUSeconds/g.Seconds, p.MemoryBytes/1e6)
	}
}

func printQuantiles(w io.Writer, name string, q Quantiles) {
	fmt.Fprintf(w, "%-10s %6d jobs, response over ideal p50 %.3f p99 %.3f p99.9 %.3f max %.3f\n", name, q.Jobs, q.P50, q.P99, q.P999, q.Max)
}
