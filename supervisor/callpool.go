package supervisor

import "context"

// pooledGoroutines is the maximum number of goroutines that are kept for reuse.
const pooledGoroutines = 8

// callPool runs calls to the worker concurrently with the actor. It reuses goroutines,
// since a new one would have to grow its stack for each call.
type callPool struct {
	ctx  context.Context
	work chan func()
	// idleSlots holds a token for each goroutine that is kept for reuse.
	idleSlots chan struct{}
}

func newCallPool(ctx context.Context) *callPool {
	return &callPool{ctx: ctx, work: make(chan func()), idleSlots: make(chan struct{}, pooledGoroutines)}
}

// run calls f at once on a goroutine of the pool, or on a new one if none is idle. It
// does not block.
func (c *callPool) run(f func()) {
	select {
	case c.work <- f:
	default:
		go c.runAndReuse(f)
	}
}

// runAndReuse calls f. If the pool has a free slot, it then calls further functions until
// the pool's context ends.
func (c *callPool) runAndReuse(f func()) {
	f()
	select {
	case c.idleSlots <- struct{}{}:
	default:
		return
	}
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.work:
			f()
		}
	}
}
