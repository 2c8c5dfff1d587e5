package server

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/provider"
)

// Failed means that the state of a process cannot be relied on any more, since processing
// a message has panicked. Unread means that a query panicked, which has changed nothing.
const (
	Failed Kind = "Failed"
	Unread Kind = "Unread"
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	// Process names the kind of the process in metrics.
	Process string
	// MailboxSize bounds the messages that wait.
	MailboxSize int
	// AskTimeout bounds the wait for the answer to a query.
	AskTimeout time.Duration
	// OnlyReads reports whether processing a message changes no state.
	OnlyReads func(msg any) bool
	// Dispatcher runs the actor; nil for that of the library.
	Dispatcher actor.Dispatcher
}

// Owner runs the actor that owns the state of a process.
//
// If the actor panics, its state may be half changed. The library would restart it with
// empty state: callers would wait for ever, and what keeps tasks from running twice would
// be gone. So the actor processes nothing more, and Wait returns an error, with which the
// process ends: callers see a closed connection at once, and the state is rebuilt as after
// any other end of the process. Only a message that changes no state is refused by itself.
type Owner struct {
	deps   provider.Deps
	cfg    OwnerConfig
	system *actor.ActorSystem
	pid    *actor.PID
	// failed is closed after err has been set.
	failed chan struct{}
	err    error
}

// StartOwner starts an actor. It runs until Stop.
func StartOwner(deps provider.Deps, cfg OwnerConfig, a actor.Actor) *Owner {
	o := &Owner{deps: deps, cfg: cfg, system: newActorSystem(deps), failed: make(chan struct{})}
	options := []actor.PropsOption{actor.WithMailbox(actor.Bounded(cfg.MailboxSize))}
	if cfg.Dispatcher != nil {
		options = append(options, actor.WithDispatcher(cfg.Dispatcher))
	}
	o.pid = o.system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) { o.receive(ctx, a) }, options...))
	return o
}

// receive has a process a message, unless an earlier one has panicked.
func (o *Owner) receive(ctx actor.Context, a actor.Actor) {
	if o.Failed() {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			o.handlePanic(ctx, cause)
		}
	}()
	a.Receive(ctx)
}

// handlePanic refuses the message that is being processed if it only reads, and declares
// the actor failed otherwise.
func (o *Owner) handlePanic(ctx actor.Context, cause any) {
	message := fmt.Sprintf("%T", ctx.Message())
	o.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("pomeloferry_%s_panics_total{message=%q}", o.cfg.Process, message)).Inc()
	line := o.deps.Log.WithField("message", message).WithField("cause", fmt.Sprint(cause)).WithField("stack", string(debug.Stack()))
	err := errors.Errorf("%s: %v", message, cause)
	if o.cfg.OnlyReads(ctx.Message()) {
		line.Error("query panicked")
		ctx.Respond(&Error{Op: "query", Kind: Unread, Err: err})
		return
	}
	line.Error("message panicked, process ends")
	o.err = &Error{Op: "message", Kind: Failed, Err: err}
	close(o.failed)
}

// Post sends a message to the actor. It blocks while the mailbox is full.
func (o *Owner) Post(msg any) { o.system.Root.Send(o.pid, msg) }

// Ask sends a query to the actor and returns the answer.
func (o *Owner) Ask(query any) (any, error) {
	answer, err := o.system.Root.RequestFuture(o.pid, query, o.cfg.AskTimeout).Result()
	if refused, ok := answer.(*Error); ok {
		return nil, refused
	}
	return answer, err
}

// Failed reports whether the actor has failed.
func (o *Owner) Failed() bool {
	select {
	case <-o.failed:
		return true
	default:
		return false
	}
}

// Wait waits until the actor has failed, and returns the error. It returns nil when ctx
// ends before.
func (o *Owner) Wait(ctx context.Context) error {
	select {
	case <-o.failed:
		return o.err
	case <-ctx.Done():
		return nil
	}
}

// Stop stops the actor.
func (o *Owner) Stop() { o.system.Shutdown() }
