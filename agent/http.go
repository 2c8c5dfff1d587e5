package agent

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/server"
	"github.com/pomeloferry/pomeloferry/worker"
)

// maxAnnouncementBytes limits the size of an announcement, in bytes: a thousand services take
// less.
const maxAnnouncementBytes = 64 << 10

// handler returns the HTTP API for the upstream and for operators.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", a.serveAnnounce)
	mux.Handle("GET /dump", server.NewDumpHandler(a))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		a.deps.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

func (a *Agent) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	raw, err := limiter.ReadBody(w, r, maxAnnouncementBytes)
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), limiter.StatusOf(err))
		return
	}
	var an worker.Announcement
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&an); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if an.Slots < 1 || an.Connections < 1 || an.Address == "" {
		http.Error(w, "announcement: Address, Slots and Connections are needed", http.StatusBadRequest)
		return
	}
	a.post(upstreamAnnounced{announcement: an})
	w.WriteHeader(http.StatusNoContent)
}

// Dump returns the state of the ledger for operators.
func (a *Agent) Dump() (any, error) { return a.ask(dumpQuery{}) }
