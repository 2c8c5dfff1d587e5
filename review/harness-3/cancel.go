package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["cancel"] = cancelElsewhere }

// cancelElsewhere cancels a job that one node runs through another node. Without the trouble,
// the cancel goes to the node that runs the job.
func cancelElsewhere(rec *recorder, trouble bool) (verdict, error) {
	const (
		cancelTime = 3 * time.Second
		stopTime   = 50 * time.Millisecond
		taskTime   = 4500 * time.Millisecond
	)
	d, err := deploy(rec, 3, 6)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	id := jobID()
	shape := step{"count": 3, "cpu": 3100, "mem_mb": 64, "estimate_ms": taskTime.Milliseconds()}
	second := step{"count": 3, "cpu": 3100, "mem_mb": 64, "estimate_ms": taskTime.Milliseconds(), "after": []int{0}}
	answered := make(chan reply, 1)
	go func() {
		rec.note("client sends job %s to %s", id, d.entries[0].name)
		r := request(context.Background(), "POST", d.entries[0].front(), prefix+id, jobBody(fmt.Sprintf("ms=%d cpu=3100", taskTime.Milliseconds()), shape, second), 20*time.Second)
		rec.note("client gets for job %s: %v", id, r)
		answered <- r
	}()
	time.Sleep(time.Second)
	node := d.entries[0]
	if trouble {
		node = d.entries[1]
	}
	rec.note("client sends the cancel of job %s to %s", id, node.name)
	cancelled := request(context.Background(), "DELETE", node.front(), prefix+id, nil, 2*time.Second)
	acknowledged := time.Now()
	rec.note("client gets for the cancel of job %s: %v", id, cancelled)
	if cancelled.status/100 != 2 && cancelled.status != 410 {
		return verdict{}, fmt.Errorf("%w: the cancel was not acknowledged: %v", errCannotRun, cancelled)
	}
	posted := <-answered
	time.Sleep(500 * time.Millisecond)
	started, ranOn := 0, 0
	for _, r := range rec.snapshot() {
		if r.started.Sub(acknowledged) > cancelTime {
			started++
		}
		if r.ended.IsZero() || r.ended.Sub(acknowledged) > cancelTime+stopTime {
			ranOn++
		}
	}
	return verdict{
		broken: started > 0 || ranOn > 0,
		text: fmt.Sprintf("UNASKED: the cancel was answered with %v; %d tasks were started later than %v after that, and %d ran on later than %v; the job was answered with %v",
			cancelled, started, cancelTime, ranOn, cancelTime+stopTime, posted),
	}, nil
}
