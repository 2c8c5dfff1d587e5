package receiver

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/dispatcher"
)

const (
	// routeRetryDelay is the delay before a request is routed again.
	routeRetryDelay = 20 * time.Millisecond
	// ownerAnswerGrace is how long past the deadline an entry waits for the owner's
	// answer.
	ownerAnswerGrace = 250 * time.Millisecond
)

// newRequest returns the request to the owner for submission s.
func newRequest(s courier.Submission, resent bool, w dispatcher.Waiter) dispatcher.Request {
	return dispatcher.Request{Submission: s, Digest: digest(s), Resent: resent, Waiter: w}
}

// digest returns a hash of the fields that a resubmission has to repeat.
func digest(s courier.Submission) uint64 {
	s.Attempt = 0
	raw, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}

// route sends s to its owner, again whenever the owner changes, and returns the final
// answer. It stops ownerAnswerGrace after the deadline, or when ctx ends.
func (r *Receiver) route(ctx context.Context, s courier.Submission) courier.Answer {
	deadlineCtx, cancel := context.WithDeadline(ctx, s.Deadline.Add(ownerAnswerGrace))
	defer cancel()
	admitted := false
	for {
		a, sent, err := r.routeOnce(deadlineCtx, s, admitted)
		if err == nil && a.State != courier.Moved {
			return a
		}
		admitted = admitted || a.Admitted || (sent && err != nil)
		select {
		case <-deadlineCtx.Done():
			a := noOwnerAnswer(r.cfg.ID, s, admitted)
			a.BundleVersion = r.deps.BundleVersion.Load()
			return a
		case <-r.deps.Clock.After(routeRetryDelay):
		}
	}
}

// routeOnce sends s to the entry that should own it, and reports whether anything was
// sent.
func (r *Receiver) routeOnce(ctx context.Context, s courier.Submission, resent bool) (courier.Answer, bool, error) {
	a, err := r.submitHere(ctx, s, resent)
	if err != nil || a.State != courier.Moved || a.Admitted {
		return a, true, err
	}
	p := r.peers.linkedPeer(a.Owner)
	if p == nil {
		return a, false, nil
	}
	id, answer, err := p.sendRequest(func(l *courier.Link, id uint64) {
		l.Send(courier.Relay{ID: id, Submission: s, Resent: resent})
	})
	if err != nil {
		return courier.Answer{}, false, err
	}
	a, err = p.awaitAnswer(ctx, id, answer)
	return a, true, err
}

// submitHere submits s to the dispatcher of this process.
func (r *Receiver) submitHere(ctx context.Context, s courier.Submission, resent bool) (courier.Answer, error) {
	answer := make(chan courier.Answer, 1)
	waiter := make(chan dispatcher.Waiter, 1)
	r.post(submitRequest{
		request:  newRequest(s, resent, 0),
		answer:   func(a courier.Answer) { answer <- a },
		onWaiter: func(w dispatcher.Waiter) { waiter <- w },
	})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		go func() { r.post(callerLeft{waiter: <-waiter}) }()
		return courier.Answer{}, ctx.Err()
	}
}

// noOwnerAnswer returns the answer to a submission that no owner has answered in time.
func noOwnerAnswer(entry string, s courier.Submission, admitted bool) courier.Answer {
	a := courier.Answer{Job: s.JobID(), Entry: entry, Reason: courier.ReasonDeadline}
	if s.Attempt == 1 && !admitted {
		a.State = courier.NotRun
		a.Detail = "no owner could be reached before the deadline"
		a.RetryAfter = time.Second
		return a
	}
	a.State = courier.Failed
	a.Detail = "the owner was lost and none answered before the deadline"
	for i := range s.Tasks {
		a.MayHaveRun = append(a.MayHaveRun, i)
	}
	return a
}

// routeQuery queries the owner for the state of a job, or cancels the job. It retries
// until ctx ends.
func (r *Receiver) routeQuery(ctx context.Context, job string, cancel bool) (courier.Answer, error) {
	for {
		a, err := r.queryOnce(ctx, job, cancel)
		if err == nil && a.State != courier.Moved {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-r.deps.Clock.After(routeRetryDelay):
		}
	}
}

func (r *Receiver) queryOnce(ctx context.Context, job string, cancel bool) (courier.Answer, error) {
	answer := make(chan courier.Answer, 1)
	r.post(jobQuery{job: job, cancel: cancel, answer: answer})
	a := <-answer
	if a.State != courier.Moved {
		return a, nil
	}
	p := r.peers.linkedPeer(a.Owner)
	if p == nil {
		return a, nil
	}
	id, relayed, err := p.sendRequest(func(l *courier.Link, id uint64) {
		l.Send(courier.RelayQuery{ID: id, Job: job, Cancel: cancel})
	})
	if err != nil {
		return a, err
	}
	return p.awaitAnswer(ctx, id, relayed)
}
