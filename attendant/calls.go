package attendant

import "context"

// callersKept is the number of goroutines that are kept for calls to the worker.
const callersKept = 8

// calls runs calls to the worker beside the actor, on goroutines that it keeps: a
// new one would have to grow its stack for each call.
type calls struct {
	ctx  context.Context
	work chan func()
	// kept has a token for each goroutine that is kept.
	kept chan struct{}
}

func newCalls(ctx context.Context) *calls {
	return &calls{ctx: ctx, work: make(chan func()), kept: make(chan struct{}, callersKept)}
}

// do has f called at once. It does not wait.
func (c *calls) do(f func()) {
	select {
	case c.work <- f:
	default:
		go c.serve(f)
	}
}

// serve calls f, and what comes after it if the goroutine is kept.
func (c *calls) serve(f func()) {
	f()
	select {
	case c.kept <- struct{}{}:
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
