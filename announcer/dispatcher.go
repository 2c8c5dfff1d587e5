package announcer

import (
	"context"
	"sync"

	"github.com/asynkron/protoactor-go/actor"
)

// dispatcherThroughput is how many messages an actor takes in before it lets
// others go on.
const dispatcherThroughput = 300

// singleGoroutineDispatcher runs one actor on a goroutine that it keeps. A goroutine for each
// batch of messages would have to grow its stack each time.
type singleGoroutineDispatcher struct {
	work chan func()

	mu sync.Mutex
	// stopped means that the goroutine takes nothing more.
	stopped bool
}

// NewDispatcher returns a dispatcher for one actor. Its goroutine ends with ctx.
func NewDispatcher(ctx context.Context) actor.Dispatcher {
	// An actor schedules itself at most once while it runs.
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

// stop lets what is scheduled go on elsewhere.
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

// Schedule implements actor.Dispatcher. After the end of the context the actor
// still takes in what tells it to stop.
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
