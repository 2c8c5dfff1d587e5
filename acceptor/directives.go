package acceptor

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/announcer"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// directiveWait is how long one watch of the directives waits. It bounds how
// long a connection that has gone silent hides a change.
const directiveWait = 600 * time.Millisecond

// directives follows what the operators ask for in the store.
type directives struct {
	acceptor  *Acceptor
	revision  int64
	last      string
	current   scheduler.Configuration
	known     bool
	evacuated map[string]bool
}

func newDirectives(a *Acceptor) *directives {
	return &directives{acceptor: a, evacuated: make(map[string]bool)}
}

// follow keeps the configuration up to date until ctx ends.
func (d *directives) follow(ctx context.Context) error {
	a := d.acceptor
	var first sync.Once
	retry := storeRetry{clock: a.deps.Clock}
	for ctx.Err() == nil {
		err := d.next(ctx)
		first.Do(func() { close(a.read) })
		if ctx.Err() != nil {
			return nil
		}
		d.last = announcer.Dependency(a.deps, "store", d.last, err)
		if err != nil {
			d.revision = 0
		}
		retry.after(err)
	}
	return nil
}

// next takes in one list or one watch.
func (d *directives) next(ctx context.Context) error {
	store := d.acceptor.store
	if d.revision == 0 {
		items, revision, err := store.List(ctx, platform.OperatorPrefix)
		if err != nil {
			return err
		}
		d.revision = revision
		d.evacuated = make(map[string]bool)
		d.take(items)
		return nil
	}
	items, revision, err := store.Watch(ctx, platform.OperatorPrefix, d.revision, directiveWait)
	if err != nil {
		return err
	}
	d.revision = revision
	if len(items) > 0 {
		d.take(items)
	}
	return nil
}

// take puts items into force, all at once.
func (d *directives) take(items []platform.Item) {
	log := d.acceptor.deps.Log
	for _, i := range items {
		directive, err := platform.ReadDirective(i)
		switch {
		case err != nil:
			log.WithError(err).WithField("key", i.Key).Warn("directive passed over")
		case directive.Configuration != nil:
			d.adopt(*directive.Configuration)
		case directive.Evacuate != "" && directive.TakeBack:
			delete(d.evacuated, directive.Evacuate)
		case directive.Evacuate != "":
			d.evacuated[directive.Evacuate] = true
		}
	}
	if !d.known {
		return
	}
	a := d.acceptor
	next := d.current.WithEvacuated(maps.Clone(d.evacuated), d.revision).WithFarFactor(a.cfg.FarFactor)
	a.configuration.Store(&next)
	a.deps.BundleVersion.Store(next.Version)
	a.post(configured{configuration: next})
	log.WithFields(logrus.Fields{
		"version":   next.Version,
		"queues":    len(next.Queues),
		"evacuated": len(next.Evacuated),
		"revision":  d.revision,
	}).Info("configuration in force")
}

// adopt takes a configuration that is not older than the present one.
func (d *directives) adopt(c scheduler.Configuration) {
	if d.known && c.Version < d.current.Version {
		d.acceptor.deps.Log.WithField("version", c.Version).Warn("older configuration passed over")
		return
	}
	d.current = c
	d.known = true
}
