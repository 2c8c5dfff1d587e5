package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// normalTaskCPU is the demand of a normal task and largeTaskCPU that of a large one,
	// in millicores. Two large tasks use most of a worker.
	normalTaskCPU = 3000
	largeTaskCPU  = 12_000
	// largeJobPrefix is the prefix of the IDs of jobs with large tasks, and
	// burstJobPrefix that of the other jobs of a burst.
	largeJobPrefix = "fffe"
	burstJobPrefix = "fffd"
	// burstJobs is the number of jobs in a burst of normal tasks, and burstLargeJobs
	// that in a burst of large ones.
	burstJobs      = 120
	burstLargeJobs = 12
	// slowWorkerFactor is the factor by which tasks take longer on the slower workers.
	slowWorkerFactor = 1.8
)

// taskCPU returns the CPU demand of each task of a job, in millicores.
func taskCPU(id string) int {
	if strings.HasPrefix(id, largeJobPrefix) {
		return largeTaskCPU
	}
	return normalTaskCPU
}

// loadFaults submit more work than there is capacity for, or make workers unequally
// fast.
var loadFaults = []fault{
	{"burst of jobs", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		d.submitBurst(rng, burstJobPrefix, burstJobs, duration)
	}},
	{"burst of large tasks", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		d.submitBurst(rng, largeJobPrefix, burstLargeJobs, duration)
	}},
	{"worker slow", func(d *deployment, rng *rand.Rand, duration time.Duration) {
		w := pick(rng, d.allInstances()).worker
		w.SetSlowdown(8)
		time.Sleep(duration)
		w.SetSlowdown(1)
	}},
}

// submitBurst submits jobs evenly spread over a duration and waits until all are
// answered.
func (d *deployment) submitBurst(rng *rand.Rand, prefix string, jobs int, duration time.Duration) {
	client := newCallerClient(d.proxiedFronts, false)
	defer client.CloseIdleConnections()
	burstID := rng.Uint32()
	var wg sync.WaitGroup
	for i := range jobs {
		time.Sleep(duration / time.Duration(jobs))
		wg.Add(1)
		go func(tasks, front int) {
			defer wg.Done()
			d.checker.submit(client, d.proxiedFronts, front, fmt.Sprintf("%s%08x%04x", prefix, burstID, i), tasks)
		}(1+rng.IntN(3), rng.IntN(len(d.proxiedFronts)))
	}
	wg.Wait()
}

// slowEveryThirdWorker slows every third worker down by a factor.
func (d *deployment) slowEveryThirdWorker(factor float64) {
	for i, inst := range d.allInstances() {
		if i%3 == 0 {
			inst.worker.SetSlowdown(factor)
		}
	}
}
