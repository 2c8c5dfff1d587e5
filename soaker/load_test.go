package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// usualCPU is what a task takes, and largeCPU what one of a large job takes, in
	// thousandths of a core. Two large ones fill most of a worker.
	usualCPU = 3000
	largeCPU = 12_000
	// largePrefix begins the ids of jobs with large tasks, burstPrefix those of the
	// other jobs of a burst.
	largePrefix = "fffe"
	burstPrefix = "fffd"
	// burstJobs is how many jobs a burst has, and burstLarge how many one of large
	// tasks has.
	burstJobs  = 120
	burstLarge = 12
	// unevenness is how many times as long tasks take on the slower workers.
	unevenness = 1.8
)

// taskCPU returns what a task of a job takes, in thousandths of a core.
func taskCPU(id string) int {
	if strings.HasPrefix(id, largePrefix) {
		return largeCPU
	}
	return usualCPU
}

// loadFaults bring more work than there is room for, or make workers unequal.
var loadFaults = []fault{
	{"burst of jobs", func(d *deployment, rng *rand.Rand, span time.Duration) {
		d.burst(rng, burstPrefix, burstJobs, span)
	}},
	{"burst of large tasks", func(d *deployment, rng *rand.Rand, span time.Duration) {
		d.burst(rng, largePrefix, burstLarge, span)
	}},
	{"worker slow", func(d *deployment, rng *rand.Rand, span time.Duration) {
		w := pick(rng, d.all()).worker
		w.SetSlowdown(8)
		time.Sleep(span)
		w.SetSlowdown(1)
	}},
}

// burst sends jobs spread over a span and waits until all are answered.
func (d *deployment) burst(rng *rand.Rand, prefix string, jobs int, span time.Duration) {
	client := newCaller(d.balanced, false)
	defer client.CloseIdleConnections()
	burst := rng.Uint32()
	var wg sync.WaitGroup
	for i := range jobs {
		time.Sleep(span / time.Duration(jobs))
		wg.Add(1)
		go func(tasks, front int) {
			defer wg.Done()
			d.watch.submit(client, d.balanced, front, fmt.Sprintf("%s%08x%04x", prefix, burst, i), tasks)
		}(1+rng.IntN(3), rng.IntN(len(d.balanced)))
	}
	wg.Wait()
}

// slowDown makes every third worker slower than the others.
func (d *deployment) slowDown(times float64) {
	for i, s := range d.all() {
		if i%3 == 0 {
			s.worker.SetSlowdown(times)
		}
	}
}
