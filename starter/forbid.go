package starter

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// forbiddenAttempt records that all attempts up to attempt were answered NotRun.
type forbiddenAttempt struct {
	attempt   int
	expiresAt time.Time
}

// Forbid records a forbidden attempt and confirms it to the owner. A message of an old
// link or term is ignored.
func (l *Ledger) Forbid(entry string, f courier.Forbid) {
	e := l.entries[entry]
	if e == nil || e.link != f.LinkNumber || l.terms[router.PartitionOf(f.Job)] != f.Term {
		return
	}
	old := l.forbidden[f.Job]
	l.forbidden[f.Job] = forbiddenAttempt{
		attempt:   max(old.attempt, f.Attempt),
		expiresAt: f.Deadline.Add(RecordRetentionGrace),
	}
	l.send(entry, courier.Forbidden{Job: f.Job, Attempt: f.Attempt})
}

// forbiddenIn returns the forbidden attempts in the given partitions, by job.
func (l *Ledger) forbiddenIn(parts []router.Partition) []courier.Forbidden {
	var out []courier.Forbidden
	for _, job := range slices.Sorted(maps.Keys(l.forbidden)) {
		if slices.Contains(parts, router.PartitionOf(job)) {
			out = append(out, courier.Forbidden{Job: job, Attempt: l.forbidden[job].attempt})
		}
	}
	return out
}

// expireForbidden deletes the forbidden attempts that have expired.
func (l *Ledger) expireForbidden(now time.Time) {
	for job, f := range l.forbidden {
		if f.expiresAt.Before(now) {
			delete(l.forbidden, job)
		}
	}
}
