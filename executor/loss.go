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
	// lossTTL is how long a loss is kept that no answer of a worker has settled.
	lossTTL = time.Minute
	// maxNotedRuns bounds the runs that a note on a loss names.
	maxNotedRuns = 12
)

// loss is what was lost with one incarnation of the worker: the runs that it had when it
// was last known to answer. It is settled by the next answer: if that is another
// incarnation's, the worker has crashed.
type loss struct {
	worker messenger.Incarnation
	runs   []messenger.Run
	// jobs counts the jobs of the runs.
	jobs map[string]bool
	at   time.Time
}

// String describes the loss for the log.
func (l *loss) String() string {
	var names []string
	for i, r := range l.runs {
		if i == maxNotedRuns {
			names = append(names, "...")
			break
		}
		names = append(names, fmt.Sprintf("%s run %d", r.Task, r.Number))
	}
	return fmt.Sprintf("%d runs of %d jobs: %s", len(l.runs), len(l.jobs), strings.Join(names, ", "))
}

// lose ends a run that went on at a worker which has ended or does not answer.
func (x *Executor) lose(r *run) {
	l := x.losses[r.worker]
	if l == nil {
		l = &loss{worker: r.worker, jobs: make(map[string]bool), at: x.clock.Now()}
		x.losses[r.worker] = l
		x.emit(Note{
			Worker: r.worker.ID, What: "worker lost",
			Why: fmt.Sprintf("%d calls unanswered, no process at its address: %t", x.poll.unanswered, x.poll.noListener),
			Age: x.clock.Since(x.poll.answeredAt),
		})
	}
	l.runs = append(l.runs, r.Run)
	l.jobs[r.job] = true
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

// settleLosses concludes, once a worker has answered, which of the lost ones have
// crashed: those that another incarnation has replaced, unless they had announced their
// end.
func (x *Executor) settleLosses() {
	for _, l := range x.sortedLosses() {
		delete(x.losses, l.worker)
		what := "worker crashed"
		switch l.worker {
		case x.upstream.Incarnation():
			what = "lost worker answers again"
		case x.leaving:
			what = "worker ended with runs"
		}
		x.emit(Note{Worker: l.worker.ID, What: what, Why: l.String(), Age: x.clock.Since(l.at)})
	}
}

// sortedLosses returns the losses, the oldest first.
func (x *Executor) sortedLosses() []*loss {
	return slices.SortedFunc(maps.Values(x.losses), func(a, b *loss) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(a.worker.ID, b.worker.ID))
	})
}

// expireLosses removes the losses that nothing has settled within lossTTL.
func (x *Executor) expireLosses(now time.Time) {
	for worker, l := range x.losses {
		if now.Sub(l.at) > lossTTL {
			delete(x.losses, worker)
		}
	}
}
