// Package provider holds the dependencies that all parts of a process share: the
// clock, the log and the metrics. They are created once at start-up and passed down,
// so that no package keeps global state.
package provider

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Deps are the shared dependencies of a process. There is one value per process.
type Deps struct {
	// Clock is the source of time. Tests use a fake clock.
	Clock clockwork.Clock
	// Log writes JSON lines. It is never nil.
	Log *logrus.Entry
	// Metrics is served at /metrics. It is never nil.
	Metrics *metrics.Set
	// BundleVersion is the version of the bundle that is in force at the process.
	// Every log line contains it.
	BundleVersion *atomic.Uint64
}

// NewDeps returns dependencies with the real clock and a JSON log written to w.
func NewDeps(w io.Writer) Deps {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	version := &atomic.Uint64{}
	log.AddHook(versionHook{version: version})
	return Deps{
		Clock:         clockwork.NewRealClock(),
		Log:           logrus.NewEntry(log),
		Metrics:       metrics.NewSet(),
		BundleVersion: version,
	}
}

// versionHook adds the version of the bundle in force to log lines that do not have
// a version yet.
type versionHook struct {
	version *atomic.Uint64
}

// Levels implements logrus.Hook.
func (versionHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h versionHook) Fire(e *logrus.Entry) error {
	const field = "bundle_version"
	if _, ok := e.Data[field]; !ok {
		e.Data[field] = h.version.Load()
	}
	return nil
}

// WithField returns a copy of d that adds a field to its log lines.
func (d Deps) WithField(key string, value any) Deps {
	d.Log = d.Log.WithField(key, value)
	return d
}

// WithClock returns a copy of d that uses clock.
func (d Deps) WithClock(clock clockwork.Clock) Deps {
	d.Clock = clock
	return d
}
