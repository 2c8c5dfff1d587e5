// Package router maps job identities to partitions, and partitions to entries. Every
// process computes the same mapping from the same set of entries, so that no message is
// needed to agree on it.
package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of hash partitions of the job identities. Ownership, terms and
// takeovers apply to whole partitions.
const Partitions = 64

// Partition is the number of a partition, from 0 to Partitions-1.
type Partition int

// PartitionOf returns the partition of a job identity.
func PartitionOf(job string) Partition {
	return Partition(xxhash.Sum64String(job) % Partitions)
}

// Owner returns the entry that owns p: the one with the highest rendezvous weight, so
// that adding or removing an entry moves only the partitions of that entry. It returns ""
// if entries is empty.
func Owner(p Partition, entries []string) string {
	var best string
	var bestWeight uint64
	for _, id := range entries {
		w := weight(p, id)
		if best == "" || w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best
}

func weight(p Partition, entry string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(p))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
