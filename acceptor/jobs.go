package acceptor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/limiter"
	"github.com/pomeloferry/pomeloferry/scheduler"
	"github.com/pomeloferry/pomeloferry/server"
)

// Configuration implements platform.JobService.
func (a *Acceptor) Configuration() (scheduler.Configuration, bool) {
	c := a.configuration.Load()
	if c == nil {
		return scheduler.Configuration{}, false
	}
	return *c, true
}

// maxHeadBytes returns the bound of the head of a request, in bytes.
func (a *Acceptor) maxHeadBytes() int64 {
	if c := a.configuration.Load(); c != nil {
		return c.HeadLimit
	}
	return limiter.DefaultMaxHeadBytes
}

// AwaitConfiguration implements platform.JobService. The first read of the store takes
// milliseconds, so it is better for callers who arrive meanwhile to wait for its outcome
// than to try again later.
func (a *Acceptor) AwaitConfiguration(ctx context.Context) {
	select {
	case <-a.firstReadDone:
	case <-ctx.Done():
	}
}

// Submit implements platform.JobService.
func (a *Acceptor) Submit(ctx context.Context, j scheduler.Job) scheduler.Answer {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	receivedAt := a.deps.Clock.Now()
	if currentLag := a.lag.current(); currentLag > maxLag {
		a.RecordRejection(j.ID, "entry lags by "+currentLag.String())
		return scheduler.Answer{Outcome: scheduler.Overloaded, RetryAfter: time.Second, Why: "entry is behind"}
	}
	if server.PeerClosed(ctx) {
		a.RecordRejection(j.ID, "caller disconnected before the job was submitted")
		return scheduler.Answer{Outcome: scheduler.Cancelled, Why: "caller left"}
	}
	if a.endsAfterShutdown(j) {
		a.RecordRejection(j.ID, "entry shuts down before the job can end")
		return scheduler.Answer{Outcome: scheduler.Unavailable, RetryAfter: time.Second, Why: "entry stops"}
	}
	ticket := a.lastTicket.Add(1)
	reply := make(chan scheduler.Answer, 1)
	a.post(submitJob{ticket: ticket, job: j, reply: reply})
	var answer scheduler.Answer
	select {
	case answer = <-reply:
	case <-ctx.Done():
		a.post(callerDisconnected{ticket: ticket})
		answer = scheduler.Answer{Outcome: scheduler.Cancelled, Why: "caller left"}
	}
	a.recordAnswer(j, answer, receivedAt, a.deps.Clock.Since(receivedAt))
	return answer
}

// recordAnswer writes the log line and the metrics of an answer.
func (a *Acceptor) recordAnswer(j scheduler.Job, answer scheduler.Answer, receivedAt time.Time, elapsed time.Duration) {
	a.metrics.observeAnswer(answer.Outcome, elapsed.Seconds())
	line := a.deps.Log.WithFields(logrus.Fields{
		"job":      j.ID,
		"queue":    j.Queue.Name,
		"outcome":  answer.Outcome,
		"why":      answer.Why,
		"steps":    len(j.Steps),
		"tasks":    j.FirstStep().Count,
		"estimate": j.FirstStep().Estimate.Milliseconds(),
		"cpu":      j.FirstStep().Demand.CPU,
		"patience": j.Deadline.Sub(receivedAt).Milliseconds(),
		"took_ms":  elapsed.Milliseconds(),
	})
	if r := answer.Refusal; r.Point != "" {
		a.metrics.countRefusal(j.Queue.Name, r.Point)
		line = line.WithFields(logrus.Fields{
			"refused":          r.Point,
			"expected_wait_ms": r.Wait.Milliseconds(),
			"jobs_before":      r.JobsBefore,
			"started_a_second": r.StartRate,
			"window":           r.Window,
			"retry_after_ms":   answer.RetryAfter.Milliseconds(),
		})
	}
	line.Info("job answered")
}

// endsAfterShutdown reports whether the entry may shut down before a job has ended.
func (a *Acceptor) endsAfterShutdown(j scheduler.Job) bool {
	deadline := a.shutdownDeadline.Load()
	return deadline != 0 && a.deps.Clock.Now().Add(j.MaxDuration()).UnixNano() > deadline
}

// State implements platform.JobService.
func (a *Acceptor) State(id string) scheduler.Answer {
	return ask[scheduler.Answer](a, stateQuery{job: id})
}

// Cancel implements platform.JobService.
func (a *Acceptor) Cancel(id string) bool { return ask[bool](a, cancelJob{job: id}) }

// Waiting implements platform.JobService.
func (a *Acceptor) Waiting(queue string) int { return ask[int](a, waitingQuery{queue: queue}) }

// Stopping implements platform.JobService.
func (a *Acceptor) Stopping() bool { return a.shutdownDeadline.Load() != 0 }

// maxLoggedBytes bounds each of a rejected request's fields in the log, in bytes.
const maxLoggedBytes = 200

// RecordRejection implements platform.JobService. The ID and the reason may have what the
// caller sent in them.
func (a *Acceptor) RecordRejection(id, why string) {
	a.metrics.requestsRejected.Inc()
	a.deps.Log.WithField("job", id[:min(len(id), maxLoggedBytes)]).WithField("why", why[:min(len(why), maxLoggedBytes)]).Warn("request rejected")
}

// ask sends a query to the actor and returns the answer, or the zero T if there is none
// in time.
func ask[T any](a *Acceptor, query any) T {
	answer, err := a.ask(query)
	if err != nil {
		a.deps.Log.WithError(err).Warn("query to the actor not answered")
	}
	out, _ := answer.(T)
	return out
}
