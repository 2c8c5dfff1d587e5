package executor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

const (
	// maxNotedRuns bounds the runs that a note on a loss names.
	maxNotedRuns = 12
	// maxCrashes bounds the crashes that are kept for the entries.
	maxCrashes = 256
)

// loss is what was lost with one incarnation of the worker: the runs that it had when it
// was last known to answer. It is settled by the next answer: if that is another
// incarnation's, the worker has crashed, unless it had announced its end.
type loss struct {
	worker messenger.Incarnation
	runs   []*run
	at     time.Time
	// assumed means that no process listens at the worker's address, so that it counts
	// as crashed before that is certain.
	assumed bool
	// published is the number of runs with which the loss was last reported to entries as
	// a crash, and settled the number with which it was settled; zero before.
	published, settled int
}

// jobs counts the jobs of the lost runs.
func (l *loss) jobs() int {
	names := make(map[string]bool)
	for _, r := range l.runs {
		job, _, _ := strings.Cut(r.Run.Task, ".")
		names[job] = true
	}
	return len(names)
}

// String describes the loss for the log.
func (l *loss) String() string {
	var names []string
	for i, r := range l.runs {
		if i == maxNotedRuns {
			names = append(names, "...")
			break
		}
		names = append(names, fmt.Sprintf("%s run %d", r.Run.Task, r.Number))
	}
	return fmt.Sprintf("%d runs of %d jobs: %s", len(l.runs), l.jobs(), strings.Join(names, ", "))
}

// crash returns the loss as it is reported to entries.
func (l *loss) crash() messenger.Crash {
	c := messenger.Crash{Worker: l.worker}
	for _, r := range l.runs {
		alone := r.alone && l.jobs() == 1
		c.Tasks = append(c.Tasks, messenger.CrashedTask{Task: r.Run.Task, Alone: alone, Earlier: r.Crashed, Queue: r.queue})
	}
	return c
}

// notedCrash is a crash that is kept for the entries. The numbers rise.
type notedCrash struct {
	number int
	at     time.Time
	crash  messenger.Crash
}

// lose ends a run that went on at a worker which has ended or does not answer.
func (x *Executor) lose(r *run) {
	l := x.losses[r.worker]
	if l == nil {
		l = &loss{worker: r.worker, at: x.clock.Now()}
		x.losses[r.worker] = l
		x.emit(Note{
			Worker: r.worker.ID, What: "worker lost",
			Why: fmt.Sprintf("%d calls unanswered, no process at its address: %t", x.poll.unanswered, x.poll.noListener),
			Age: x.clock.Since(x.poll.answeredAt),
		})
	}
	l.runs = append(l.runs, r)
	l.assumed = l.assumed || (x.poll.noListener && r.worker != x.leaving)
	x.finish(r, messenger.RunLost)
}

// endUnlisted ends a run that the worker no longer lists, although it has not listed its
// end.
func (x *Executor) endUnlisted(r *run) {
	if r.worker != x.upstream.Incarnation() {
		x.lose(r)
		return
	}
	x.finish(r, messenger.RunLapsed)
}

// settleLosses concludes from the last answer which of the lost workers have crashed, and
// has the crashes reported, and those that are assumed.
func (x *Executor) settleLosses() {
	for _, l := range x.sortedLosses() {
		replaced := x.poll.answered && l.worker != x.upstream.Incarnation()
		switch {
		case l.settled == len(l.runs):
		case l.worker == x.upstream.Incarnation() && x.poll.answeredAt.After(l.at):
			x.refute(l)
		case replaced && l.worker == x.leaving:
			x.settle(l, "worker ended with runs")
		case replaced:
			x.publish(l)
			x.settle(l, "worker crashed")
		case l.assumed:
			x.publish(l)
		}
	}
}

// settle records what became of a lost worker.
func (x *Executor) settle(l *loss, what string) {
	l.settled = len(l.runs)
	x.emit(Note{Worker: l.worker.ID, What: what, Why: l.String(), Age: x.clock.Since(l.at)})
}

// refute removes the loss of a worker that has answered again.
func (x *Executor) refute(l *loss) {
	x.settle(l, "lost worker answers again")
	delete(x.losses, l.worker)
	if l.published > 0 {
		x.noteCrash(messenger.Crash{Worker: l.worker, Refuted: true})
	}
}

// publish has a crash reported to the entries, unless they know all of it.
func (x *Executor) publish(l *loss) {
	if l.published < len(l.runs) {
		l.published = len(l.runs)
		x.noteCrash(l.crash())
	}
}

// noteCrash keeps a crash for the entries.
func (x *Executor) noteCrash(c messenger.Crash) {
	x.lastCrash++
	x.crashes = append(x.crashes, notedCrash{number: x.lastCrash, at: x.clock.Now().Add(-c.Age), crash: c})
	if len(x.crashes) > maxCrashes {
		x.crashes = x.crashes[1:]
	}
}

// noteCrashesOf keeps the crashes that an entry knows of and the agent does not.
func (x *Executor) noteCrashesOf(h messenger.Hello) {
	for _, c := range h.Crashes {
		if !slices.ContainsFunc(x.crashes, func(o notedCrash) bool { return o.covers(c) }) {
			x.noteCrash(c)
		}
	}
}

// covers reports whether o lists the tasks of a crash of the same worker.
func (o notedCrash) covers(c messenger.Crash) bool {
	return o.crash.Worker == c.Worker && !slices.ContainsFunc(c.Tasks, func(t messenger.CrashedTask) bool {
		return !slices.ContainsFunc(o.crash.Tasks, func(known messenger.CrashedTask) bool { return known.Task == t.Task })
	})
}

// takeUnsentCrashes returns the crashes that have not been sent to an entry on its link,
// and marks them as sent.
func (x *Executor) takeUnsentCrashes(e *entry) []messenger.Crash {
	var out []messenger.Crash
	for _, c := range x.crashes {
		if c.number > e.crashesSent {
			c.crash.Age = x.clock.Since(c.at)
			out = append(out, c.crash)
		}
	}
	e.crashesSent = x.lastCrash
	return out
}

// sortedLosses returns the losses, the oldest first.
func (x *Executor) sortedLosses() []*loss {
	return slices.SortedFunc(maps.Values(x.losses), func(a, b *loss) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(a.worker.ID, b.worker.ID), cmp.Compare(a.worker.Born, b.worker.Born))
	})
}

// expireLosses removes the losses and the crashes that are older than
// messenger.CrashTTL.
func (x *Executor) expireLosses(now time.Time) {
	maps.DeleteFunc(x.losses, func(_ messenger.Incarnation, l *loss) bool { return now.Sub(l.at) > messenger.CrashTTL })
	x.crashes = slices.DeleteFunc(x.crashes, func(c notedCrash) bool { return now.Sub(c.at) > messenger.CrashTTL })
}
