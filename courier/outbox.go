package courier

import "sync"

// outbox is a bounded queue of messages to send. It holds memory only for what
// is queued, since most links are idle most of the time.
type outbox struct {
	// ready holds a token while messages are queued.
	ready chan struct{}

	mu   sync.Mutex
	list []any
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// put queues msg and reports whether there was room.
func (o *outbox) put(msg any) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.list) >= OutboxSize {
		return false
	}
	o.list = append(o.list, msg)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return true
}

// take returns all queued messages in order and empties the queue.
func (o *outbox) take() []any {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.list
	o.list = nil
	return list
}
