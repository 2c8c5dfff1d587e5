package courier

import "sync"

// Outbox is a bounded queue of messages to send. It allocates memory only for queued
// messages, since most links are idle most of the time.
type Outbox struct {
	// Ready can be received from while messages are queued.
	Ready chan struct{}

	mu   sync.Mutex
	list []any
}

// NewOutbox returns an empty queue.
func NewOutbox() *Outbox { return &Outbox{Ready: make(chan struct{}, 1)} }

// Put queues msg and reports whether the queue had space for it.
func (o *Outbox) Put(msg any) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.list) >= OutboxSize {
		return false
	}
	o.list = append(o.list, msg)
	select {
	case o.Ready <- struct{}{}:
	default:
	}
	return true
}

// TakeAll returns all queued messages in order and empties the queue.
func (o *Outbox) TakeAll() []any {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.list
	o.list = nil
	return list
}
