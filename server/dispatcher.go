package server

import (
	"context"
	"sync"

	"github.com/asynkron/protoactor-go/actor"
)

// dispatcherThroughput is the number of messages that an actor processes before it
// yields.
const dispatcherThroughput = 300

// singleGoroutineDispatcher runs one actor on one long-lived goroutine. A new goroutine
// for each batch of messages would have to grow its stack each time.
type singleGoroutineDispatcher struct {
	work chan func()

	mu sync.Mutex
	// stopped is whether the goroutine has ended and takes no more work.
	stopped bool
}

// NewDispatcher returns a dispatcher for one actor. Its goroutine ends with ctx.
func NewDispatcher(ctx context.Context) actor.Dispatcher {
	// An actor schedules itself at most once while it runs, so one slot is enough.
	d := &singleGoroutineDispatcher{work: make(chan func(), 1)}
	go d.run(ctx)
	return d
}

func (d *singleGoroutineDispatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			d.stop()
			return
		case f := <-d.work:
			f()
		}
	}
}

// stop ends the dispatcher. Work that is scheduled already runs on a new goroutine.
func (d *singleGoroutineDispatcher) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	select {
	case f := <-d.work:
		go f()
	default:
	}
}

// Schedule implements actor.Dispatcher. After the end of the context the actor runs on
// new goroutines, so that it still processes the message that stops it.
func (d *singleGoroutineDispatcher) Schedule(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		go f()
		return
	}
	d.work <- f
}

// Throughput implements actor.Dispatcher.
func (d *singleGoroutineDispatcher) Throughput() int { return dispatcherThroughput }
