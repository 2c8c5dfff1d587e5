package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/server"
)

const (
	// MaxBodyBytes limits the size of a submission's body.
	MaxBodyBytes = 4 << 20
	// maxKeyBytes limits the length of a key and of a team's name.
	maxKeyBytes = 128
	// queryTimeout limits the time to answer a query or a cancellation of a job.
	queryTimeout = 3 * time.Second
)

// Problem is the body of the response to an invalid request.
type Problem struct {
	// Field is the invalid field of the request, or "body".
	Field string
	// Detail states what was found and what is allowed.
	Detail string
}

// handler returns the HTTP API for callers and operators.
func (r *Receiver) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", r.serveSubmit)
	mux.HandleFunc("GET /v1/jobs/{team}/{key}", func(w http.ResponseWriter, req *http.Request) {
		r.serveQuery(w, req, false)
	})
	mux.HandleFunc("DELETE /v1/jobs/{team}/{key}", func(w http.ResponseWriter, req *http.Request) {
		r.serveQuery(w, req, true)
	})
	mux.Handle("GET /dump", server.NewDumpHandler(r))
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	return mux
}

func (r *Receiver) serveSubmit(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	raw, err := limiter.ReadBody(w, req, MaxBodyBytes)
	if err != nil {
		writeUnread(w, err)
		return
	}
	s, p := r.parse(raw)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	start := r.deps.Clock.Now()
	a := r.route(req.Context(), s)
	r.logAnswer(a, r.deps.Clock.Since(start))
	writeAnswer(w, a)
}

func (r *Receiver) logAnswer(a courier.Answer, elapsed time.Duration) {
	r.deps.Metrics.GetOrCreateCounter(fmt.Sprintf(
		`pomeloferry_answers_total{state=%q,reason=%q,bundle_version="%d"}`, a.State, a.Reason, a.BundleVersion)).Inc()
	r.deps.Metrics.GetOrCreateHistogram(`pomeloferry_answer_seconds`).Update(elapsed.Seconds())
	level := logrus.InfoLevel
	if a.State == courier.Complete {
		level = logrus.DebugLevel
	}
	r.deps.Log.WithFields(logrus.Fields{
		"job":            a.Job,
		"state":          a.State,
		"reason":         a.Reason,
		"bundle_version": a.BundleVersion,
		"millis":         elapsed.Milliseconds(),
	}).Log(level, "answered")
}

// parse decodes and validates a submission. It returns the first problem found, or nil.
func (r *Receiver) parse(raw []byte) (courier.Submission, *Problem) {
	var s courier.Submission
	if err := submissionShape.Check(raw); err != nil {
		return s, bodyProblem(err)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, bodyProblem(err)
	}
	return s, checkSubmission(s, r.deps.Clock.Now())
}

// submissionShape bounds the parts of a submission: it is decoded down to the fields of its
// tasks, and their payloads are kept as they are. A few tasks too many are reported as such.
var submissionShape = limiter.Shape{Elements: 2 * approver.MaxTaskLimit, Depth: 3}

func bodyProblem(err error) *Problem {
	return &Problem{Field: "body", Detail: "no submission in JSON: " + err.Error()}
}

// writeUnread answers a submission whose body was not read. Where there is no memory for it, the
// answer promises nothing about earlier attempts, as NotRun would.
func writeUnread(w http.ResponseWriter, err error) {
	if limiter.StatusOf(err) == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeProblem(w, Problem{Field: "body", Detail: err.Error()})
}

// checkSubmission validates s at the time now. It returns the first problem found, or nil.
func checkSubmission(s courier.Submission, now time.Time) *Problem {
	problem := func(field, format string, args ...any) *Problem {
		return &Problem{Field: field, Detail: fmt.Sprintf(format, args...)}
	}
	maxDeadline := approver.MaxDeadlineMillis * time.Millisecond
	switch {
	case !validName(s.Team):
		return problem("Team", "found %q, allowed 1 to %d characters without a slash", s.Team, maxKeyBytes)
	case !validName(s.Key):
		return problem("Key", "found %q, allowed 1 to %d characters without a slash", s.Key, maxKeyBytes)
	case s.Service == "":
		return problem("Service", "found none, allowed a service of the bundle")
	case s.Attempt < 1:
		return problem("Attempt", "found %d, allowed 1 for the first time and more for a resubmission", s.Attempt)
	case len(s.Tasks) < 1 || len(s.Tasks) > approver.MaxTaskLimit:
		return problem("Tasks", "found %d, allowed 1 to %d", len(s.Tasks), approver.MaxTaskLimit)
	case s.Deadline.IsZero():
		return problem("Deadline", "found none, allowed a time in RFC 3339 form")
	case !s.Deadline.After(now):
		return problem("Deadline", "found %s, which has passed; nothing was started by this request", s.Deadline.Format(time.RFC3339Nano))
	case s.Deadline.Sub(now) > maxDeadline:
		return problem("Deadline", "found %s ahead, allowed %s", s.Deadline.Sub(now).Round(time.Millisecond), maxDeadline)
	}
	return nil
}

func validName(s string) bool {
	return s != "" && len(s) <= maxKeyBytes && !strings.Contains(s, "/")
}

func (r *Receiver) serveQuery(w http.ResponseWriter, req *http.Request, cancel bool) {
	ctx, stop := context.WithTimeout(req.Context(), queryTimeout)
	defer stop()
	job := req.PathValue("team") + "/" + req.PathValue("key")
	a, err := r.routeQuery(ctx, job, cancel)
	if err != nil {
		http.Error(w, "the owner of the job does not answer", http.StatusServiceUnavailable)
		return
	}
	if a.State == courier.Unknown {
		writeJSON(w, http.StatusNotFound, a)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// statusOf returns the HTTP status of an answer.
func statusOf(a courier.Answer) int {
	switch {
	case a.State == courier.Complete:
		return http.StatusOK
	case a.State == courier.Conflict:
		return http.StatusConflict
	case a.State == courier.NotRun && a.Reason == courier.ReasonUnknownService:
		return http.StatusBadRequest
	case a.State == courier.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func writeAnswer(w http.ResponseWriter, a courier.Answer) {
	if a.State == courier.NotRun && a.RetryAfter > 0 {
		seconds := int(math.Ceil(a.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, statusOf(a), a)
}

func writeProblem(w http.ResponseWriter, p Problem) { writeJSON(w, http.StatusBadRequest, p) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Dump returns the state of the entry for operators.
func (r *Receiver) Dump() (any, error) {
	answer, err := r.ask(dumpQuery{})
	if err != nil {
		return nil, err
	}
	dump := answer.(Dump)
	dump.Requests = r.inFlight.Load()
	return dump, nil
}

func (r *Receiver) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if dump, err := r.ask(dumpQuery{}); err == nil {
		writeCounts(w, dump.(Dump))
	}
	r.deps.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
