package executor

import (
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// look is the state of the looks at the worker. One look follows the other;
// each renews the lease and brings the ends.
type look struct {
	number uint64
	// open is whether a look has not been answered.
	open   bool
	openAt time.Time
	token  uint64
	// quick is whether the open look asks for an answer at once.
	quick bool
	// urgent asks for a look now, beside an open one.
	urgent bool
	// notBefore is the earliest time of the next look.
	notBefore time.Time
	// answered is whether the worker has answered a look, and answeredAt when it
	// last did.
	answered   bool
	answeredAt time.Time
	// seen is the number of the last end that was taken in.
	seen int64
	// unanswered counts the calls without an answer since the last answer.
	unanswered int
}

func (l *look) reset() {
	*l = look{number: l.number}
}

// fences reports whether an open look shows soon what has become of a start, and
// keeps it from taking effect later.
func (l *look) fences(token uint64) bool { return l.open && l.quick && l.token > token }

// pause is how long to wait after a look that failed.
func (l *look) pause() time.Duration {
	const doublings = 4
	return min(retryPause<<min(max(l.unanswered-1, 0), doublings), retryMost)
}

// leaseEnd is when a lease has ended for certain that was asked for at t.
func leaseEnd(t time.Time) time.Time {
	most := time.Duration(float64(Lease) * (1 + leaseDrift))
	return t.Add(most + leaseSlack)
}

// nextLook sends the next look when it is due.
func (x *Executor) nextLook() {
	l := &x.look
	now := x.clock.Now()
	if x.departed && !x.busy() {
		x.withoutWorker()
	}
	if x.upstream.Born == 0 || (l.open && !l.urgent) || (now.Before(l.notBefore) && !l.urgent) {
		return
	}
	wait := idleWait
	if len(x.runs) > 0 {
		wait = busyWait
	}
	if l.unanswered > 0 || !l.answered || x.inDoubt() {
		// What runs is not known yet, and nothing is placed here before it is.
		wait = 0
	}
	l.number++
	l.open = true
	l.openAt = now
	l.token = x.token
	l.urgent = false
	l.quick = wait == 0
	look := Look{Number: l.number, Token: x.token, Seen: l.seen, Wait: wait, Upstream: x.upstream}
	// What is not answered must not keep runs alive for ever, nor what does not
	// end when it is stopped.
	if !x.silent() && !x.overdue(now) {
		look.Until = x.lease(now)
	}
	x.emit(look)
}

// lease notes that a call may lengthen the lease of all runs, and returns until
// when.
func (x *Executor) lease(now time.Time) time.Time {
	x.leasedAt = now
	for _, r := range x.runs {
		if r.phase == detached && r.worker == x.upstream.ID {
			r.over = leaseEnd(now)
		}
	}
	return now.Add(Lease)
}

// overdue reports whether a run goes on that has to end, or that an earlier
// incarnation of the agent started and no entry has claimed: its entry may have
// given it up, and counts on its lease.
func (x *Executor) overdue(now time.Time) bool {
	for _, r := range x.runs {
		unclaimed := r.owner == "" && !r.dropped
		if r.here() && (unclaimed || (!r.mustEnd.IsZero() && now.After(r.mustEnd))) {
			return true
		}
	}
	return false
}

// busy reports whether the worker may run anything of ours.
func (x *Executor) busy() bool {
	for _, r := range x.runs {
		if r.here() {
			return true
		}
	}
	return false
}

// inDoubt reports whether a run may have started or not.
func (x *Executor) inDoubt() bool {
	for _, r := range x.runs {
		if r.phase == doubtful {
			return true
		}
	}
	return false
}

// longInDoubt reports whether a run that may have started was sent so long ago that
// the worker should have answered.
func (x *Executor) longInDoubt() bool {
	for _, r := range x.runs {
		if r.phase == doubtful && x.clock.Since(r.sentAt) >= callTimeoutMost {
			return true
		}
	}
	return false
}

// silent reports whether the worker has left several calls unanswered.
func (x *Executor) silent() bool { return x.look.unanswered >= 2 }

// Ended is one end as the worker lists it.
type Ended struct {
	// Number rises with each end of one incarnation.
	Number int64
	messenger.RunEnd
}

// Seen is the worker's answer to a look.
type Seen struct {
	Number uint64
	// Born is the incarnation that answered; zero when it did not say.
	Born    int64
	Running []messenger.Progress
	Ended   []Ended
}

// LookFailed notes a look without an answer.
func (x *Executor) LookFailed(number uint64, out Outcome) {
	l := &x.look
	if number != l.number {
		return
	}
	l.open = false
	switch out {
	case Fenced:
		x.raise(l.token)
	case OtherWorker:
		x.misplaced()
		return
	case Unanswered:
		l.unanswered++
		x.token++
		if x.silent() {
			// The first one is looked into at once.
			l.notBefore = x.clock.Now().Add(l.pause())
		}
	default:
		l.unanswered++
		l.notBefore = x.clock.Now().Add(l.pause())
	}
	x.changed()
	x.nextLook()
}

// Looked takes in the answer to a look.
func (x *Executor) Looked(s Seen) {
	l := &x.look
	if s.Number != l.number {
		return
	}
	l.open = false
	l.notBefore = time.Time{}
	if s.Born != 0 && s.Born != x.upstream.Born {
		x.otherIncarnation(s.Born)
		return
	}
	if l.unanswered > 0 || !l.answered {
		l.unanswered = 0
		l.answered = true
		x.changed()
	}
	x.prior = messenger.Upstream{}
	x.settled = true
	x.takeEnds(s.Ended)
	x.takeRunning(s.Running)
	l.answeredAt = x.clock.Now()
	x.pump()
	x.nextLook()
}

// otherIncarnation notes that the worker has restarted. It counts as without
// room before it has announced itself, since it may be of another size. Its
// start may be the earlier one by its clock, which may have been set back.
func (x *Executor) otherIncarnation(born int64) {
	x.forgetWorker()
	x.upstream = messenger.Upstream{ID: x.upstream.ID, Born: born, Service: x.upstream.Service}
	x.doubtAll("worker restarted")
	x.upstreamChanged()
	x.nextLook()
}

func (x *Executor) takeEnds(ends []Ended) {
	for _, e := range ends {
		if e.Number <= x.look.seen {
			continue
		}
		x.look.seen = e.Number
		if r := x.runs[e.Run]; r != nil {
			x.settle(r, e.Reason)
			continue
		}
		// An earlier incarnation of the agent started it.
		x.unclaimed[e.Run] = unclaimedEnd{RunEnd: e.RunEnd, at: x.clock.Now()}
	}
}

// takeRunning compares what the worker runs with what is known.
func (x *Executor) takeRunning(list []messenger.Progress) {
	l := &x.look
	there := make(map[messenger.Run]bool, len(list))
	for _, p := range list {
		there[p.Run] = true
		r := x.runs[p.Run]
		if r == nil {
			x.adopt(p)
			continue
		}
		if r.phase == detached {
			x.attach(r)
		}
		r.percent = p.Percent
		r.age = x.clock.Since(r.sentAt)
		x.begun(r)
		x.pace(r)
	}
	for _, r := range x.sorted() {
		if there[r.Run] {
			continue
		}
		switch {
		case r.phase == doubtful && r.token <= l.token && !r.begunAt.IsZero():
			x.settle(r, messenger.RunLapsed)
		case r.phase == doubtful && r.token <= l.token:
			// The look came under a higher token: the start has done nothing
			// and can do nothing any more.
			x.again(r)
		case (r.phase == running || r.phase == stopping) && r.begunAt.Before(l.openAt):
			x.settle(r, messenger.RunLapsed)
		}
	}
}

// adopt keeps a run that this incarnation did not start until its owner claims
// it.
func (x *Executor) adopt(p messenger.Progress) {
	now := x.clock.Now()
	r := &run{
		Task:    messenger.Task{Run: p.Run},
		worker:  x.upstream.ID,
		phase:   running,
		sentAt:  now,
		begunAt: now,
		expires: now.Add(orphanPatience),
		percent: p.Percent,
	}
	x.add(r)
	x.emit(Note{Run: r.Run, Worker: r.worker, What: "run found at worker"})
	for _, e := range x.entries {
		e.complete = false
	}
	x.changed()
}
