package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// deploy starts a deployment with a number of edge and of side machines, spread over the
// zones, and waits until the entries are ready.
func deploy(rec *recorder, entries, sides int) (*deployment, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return nil, err
	}
	d.configure(defaultRoute())
	for i := range sides {
		if _, err := d.addSide(d.zones[i%len(d.zones)]); err != nil {
			d.close()
			return nil, err
		}
	}
	for i := range entries {
		if _, err := d.addEntry(d.zones[i%len(d.zones)]); err != nil {
			d.close()
			return nil, err
		}
	}
	if err := d.awaitReady(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

const (
	// smallTask is the length of a task of a small job, and smallDeadline how long its
	// client waits.
	smallTask     = 60 * time.Millisecond
	smallDeadline = 1500 * time.Millisecond
)

// smallJob is a job like a spot quote.
func smallJob() map[string]any {
	return jobBody(fmt.Sprintf("ms=%d cpu=3100", smallTask.Milliseconds()),
		step{"count": 2, "cpu": 3100, "mem_mb": 64, "estimate_ms": smallTask.Milliseconds()})
}

// sent is a small job that a client has sent.
type sent struct {
	node   string
	at     time.Time
	answer reply
}

// traffic is small jobs that arrive at a steady rate.
type traffic struct {
	rec  *recorder
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu   sync.Mutex
	sent []sent
}

var lastJob int

// jobID returns a new ID of a job.
func jobID() string {
	lastJob++
	return fmt.Sprintf("7c0e7a21%08x", lastJob)
}

// startTraffic sends small jobs to some nodes in turn, at an interval.
func startTraffic(rec *recorder, nodes []*process, interval time.Duration) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{rec: rec, stop: cancel}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			t.wg.Add(1)
			go t.send(nodes[i%len(nodes)], jobID())
		}
	}()
	return t
}

func (t *traffic) send(node *process, id string) {
	defer t.wg.Done()
	at := time.Now()
	t.rec.note("client sends job %s to %s", id, node.name)
	r := request(context.Background(), "POST", node.front(), prefix+id, smallJob(), smallDeadline)
	t.rec.note("client gets for job %s: %v", id, r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, sent{node: node.name, at: at, answer: r})
}

// end stops the traffic and returns what was sent.
func (t *traffic) end() []sent {
	t.stop()
	t.wg.Wait()
	return t.sent
}

// count counts the jobs that were sent between two times to a node, or to all for "", and
// those of them that were served.
func count(list []sent, node string, from, to time.Time) (all, served int) {
	for _, s := range list {
		if (node == "" || s.node == node) && !s.at.Before(from) && s.at.Before(to) {
			all++
			if s.answer.status == 200 {
				served++
			}
		}
	}
	return all, served
}
