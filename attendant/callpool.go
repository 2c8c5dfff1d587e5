package attendant

import "context"

// pooledGoroutines is the number of goroutines that are kept for calls to the worker.
const pooledGoroutines = 8

// callPool runs calls to the worker beside the actor, on goroutines that it keeps: a
// new one would have to grow its stack for each call.
type callPool struct {
	ctx  context.Context
	work chan func()
	// idleSlots has a token for each goroutine that is kept.
	idleSlots chan struct{}
}

func newCallPool(ctx context.Context) *callPool {
	return &callPool{ctx: ctx, work: make(chan func()), idleSlots: make(chan struct{}, pooledGoroutines)}
}

// run has f called at once. It does not wait.
func (c *callPool) run(f func()) {
	select {
	case c.work <- f:
	default:
		go c.runAndReuse(f)
	}
}

// runAndReuse calls f, and what comes after it if the goroutine is kept.
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
