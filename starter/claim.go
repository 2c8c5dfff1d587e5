package starter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/router"
)

// raiseTerms raises the terms of the partitions to the given ones, where these are
// higher.
func (l *Ledger) raiseTerms(terms []courier.Term) {
	for p, t := range terms {
		if p < len(l.terms) && l.terms[p].Less(t) {
			l.terms[p] = t
		}
	}
}

// Claim fences the partitions of c against lower terms, and reports the tasks that were
// started in them.
func (l *Ledger) Claim(entry string, c courier.Claim) {
	reply := courier.ClaimReply{Number: c.Number, Term: c.Term}
	superseded := make(map[string][]router.Partition)
	for _, p := range c.Partitions {
		if p < 0 || p >= router.Partitions {
			continue
		}
		old := l.terms[p]
		if c.Term.Less(old) {
			reply.Refused = withRefused(reply.Refused, p, old)
			continue
		}
		if old.Holder != c.Term.Holder && old.Holder != "" {
			superseded[old.Holder] = append(superseded[old.Holder], p)
		}
		l.terms[p] = c.Term
		reply.Partitions = append(reply.Partitions, p)
		reply.Records = l.appendRecords(reply.Records, p)
	}
	reply.Forbidden = l.forbiddenIn(reply.Partitions)
	reply.Load = l.load(entry)
	l.send(entry, reply)
	for _, holder := range slices.Sorted(maps.Keys(superseded)) {
		l.send(holder, courier.Superseded{Term: c.Term, Partitions: superseded[holder]})
	}
}

// withRefused adds a refused partition and its term to m, which may be nil.
func withRefused(m map[router.Partition]courier.Term, p router.Partition, t courier.Term) map[router.Partition]courier.Term {
	if m == nil {
		m = make(map[router.Partition]courier.Term)
	}
	m[p] = t
	return m
}

// appendRecords appends the records of a partition, by job and index.
func (l *Ledger) appendRecords(out []courier.Record, p router.Partition) []courier.Record {
	first := len(out)
	for _, r := range l.records[p] {
		out = append(out, r.Record)
	}
	slices.SortFunc(out[first:], func(a, b courier.Record) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}
