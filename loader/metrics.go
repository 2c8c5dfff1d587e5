package loader

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// metricsTimeout is the timeout of reading one process's metrics.
const metricsTimeout = 5 * time.Second

// processMetrics holds the metrics of one process.
type processMetrics struct {
	cpuSeconds  float64
	memoryBytes float64
	started     float64
	messages    float64
	refused     float64
	declined    float64
}

func readMetrics(ctx context.Context, cfg Config) (map[string]processMetrics, error) {
	out := make(map[string]processMetrics)
	for _, addr := range append(append([]string{}, cfg.Entries...), cfg.Agents...) {
		m, err := readProcessMetrics(ctx, addr)
		if err != nil {
			return nil, &Error{Op: "read metrics of " + addr, Kind: Failed, Err: err}
		}
		out[addr] = m
	}
	return out, nil
}

func readProcessMetrics(ctx context.Context, addr string) (processMetrics, error) {
	var m processMetrics
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return m, errors.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return m, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		m.addLine(s.Text())
	}
	return m, s.Err()
}

// addLine adds one line of the Prometheus exposition format.
func (m *processMetrics) addLine(line string) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return
	}
	v, err := strconv.ParseFloat(line[i+1:], 64)
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(line[:i], "{")
	switch name {
	case "process_cpu_seconds_total":
		m.cpuSeconds = v
	case "process_resident_memory_bytes":
		m.memoryBytes = v
	case "pomeloferry_started_total":
		m.started = v
	case "pomeloferry_refused_total":
		m.refused = v
	case "pomeloferry_declined_total":
		m.declined = v
	case "pomeloferry_messages_total", "pomeloferry_agent_messages_out_total":
		m.messages += v
	}
}
