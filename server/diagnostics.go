// Package server provides what entry and agent processes share to serve requests and to
// expose their state: listeners, an HTTP server with graceful shutdown, the set-up of
// actors and their log, a handler for metrics, and state dumps over HTTP and on a
// signal.
package server

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"

	"github.com/pomeloferry/pomeloferry/provider"
)

// newActorSystem returns an actor system that logs its errors to the log of deps.
func newActorSystem(deps provider.Deps) *actor.ActorSystem {
	handler := slog.NewJSONHandler(deps.Log.Logger.Out, &slog.HandlerOptions{Level: slog.LevelError})
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(handler)
	}))
}

// Dumper is a process that can return its state for diagnosis.
type Dumper interface {
	Dump() (any, error)
}

// NewDumpHandler returns a handler that writes the state of d as JSON. It answers 503
// if there is no state.
func NewDumpHandler(d Dumper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		dump, err := d.Dump()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(dump)
	})
}

// DumpOnSignal logs the state of d whenever the process receives SIGUSR1, until ctx
// ends.
func DumpOnSignal(ctx context.Context, deps provider.Deps, d Dumper) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGUSR1)
	defer signal.Stop(ch)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ch:
			logDump(deps, d)
		}
	}
}

func logDump(deps provider.Deps, d Dumper) {
	dump, err := d.Dump()
	if err != nil {
		deps.Log.WithError(err).Warn("state dump failed")
		return
	}
	raw, err := json.Marshal(dump)
	if err != nil {
		deps.Log.WithError(err).Warn("state dump failed")
		return
	}
	deps.Log.WithField("dump", json.RawMessage(raw)).Info("state dump")
}

// NewMetricsHandler returns the handler of a process's metrics and state dump.
func NewMetricsHandler(deps provider.Deps, d Dumper) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		deps.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.Handle("GET /dump", NewDumpHandler(d))
	return mux
}

// LogDependency logs when a dependency of the process fails, fails with another error
// or works again. err is its current error, nil if there is none. It returns the text
// to pass as last to the next call.
func LogDependency(deps provider.Deps, name, last string, err error) string {
	now := ""
	if err != nil {
		now = err.Error()
	}
	switch {
	case now == last:
	case now == "":
		deps.Log.WithField("dependency", name).Info("dependency regained")
	default:
		deps.Log.WithField("dependency", name).WithField("error", now).Warn("dependency lost")
	}
	return now
}
