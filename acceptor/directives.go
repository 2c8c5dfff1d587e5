package acceptor

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/scheduler"
	"github.com/pomeloferry/pomeloferry/server"
)

// directiveWatchTimeout is how long one watch of the directives waits. It bounds how
// long a connection that no longer responds can hide a change.
const directiveWatchTimeout = 600 * time.Millisecond

// directives follows the operators' directives in the store.
type directives struct {
	acceptor *Acceptor
	// revision is the store's revision up to which the directives have been read;
	// zero if they have to be listed anew.
	revision int64
	// lastError is the text of the store's last error; "" if the last call succeeded.
	lastError        string
	configuration    scheduler.Configuration
	hasConfiguration bool
	// evacuated holds the data centres under evacuation.
	evacuated map[string]bool
}

func newDirectives(a *Acceptor) *directives {
	return &directives{acceptor: a, evacuated: make(map[string]bool)}
}

// follow keeps the configuration up to date until ctx ends.
func (d *directives) follow(ctx context.Context) error {
	a := d.acceptor
	var firstRead sync.Once
	retry := storeBackoffTimer{clock: a.deps.Clock}
	for ctx.Err() == nil {
		err := d.sync(ctx)
		firstRead.Do(func() { close(a.firstReadDone) })
		if ctx.Err() != nil {
			return nil
		}
		d.lastError = server.LogDependency(a.deps, "store", d.lastError, err)
		if err != nil {
			d.revision = 0
		}
		retry.wait(err)
	}
	return nil
}

// sync applies the result of one list, or of one watch if the directives have been
// listed before.
func (d *directives) sync(ctx context.Context) error {
	store := d.acceptor.store
	if d.revision == 0 {
		items, revision, err := store.List(ctx, platform.OperatorPrefix)
		if err != nil {
			return err
		}
		d.revision = revision
		d.evacuated = make(map[string]bool)
		d.apply(items)
		return nil
	}
	items, revision, err := store.Watch(ctx, platform.OperatorPrefix, d.revision, directiveWatchTimeout)
	if err != nil {
		return err
	}
	d.revision = revision
	if len(items) > 0 {
		d.apply(items)
	}
	return nil
}

// apply parses items and puts all of them into force in one configuration.
func (d *directives) apply(items []platform.Item) {
	log := d.acceptor.deps.Log
	for _, item := range items {
		directive, err := platform.ParseDirective(item)
		switch {
		case err != nil:
			log.WithError(err).WithField("key", item.Key).Warn("invalid directive ignored")
		case directive.Configuration != nil:
			d.setConfiguration(*directive.Configuration)
		case directive.DataCentre != "" && directive.EndEvacuation:
			delete(d.evacuated, directive.DataCentre)
		case directive.DataCentre != "":
			d.evacuated[directive.DataCentre] = true
		}
	}
	if !d.hasConfiguration {
		return
	}
	a := d.acceptor
	next := d.configuration.WithEvacuated(maps.Clone(d.evacuated), d.revision).WithFarFactor(a.cfg.FarFactor)
	a.configuration.Store(&next)
	a.deps.BundleVersion.Store(next.Version)
	a.post(configurationChanged{configuration: next})
	log.WithFields(logrus.Fields{
		"version":   next.Version,
		"queues":    len(next.Queues),
		"evacuated": len(next.Evacuated),
		"revision":  d.revision,
	}).Info("configuration in force")
}

// setConfiguration sets the configuration, unless c is older than the present one.
func (d *directives) setConfiguration(c scheduler.Configuration) {
	if d.hasConfiguration && c.Version < d.configuration.Version {
		d.acceptor.deps.Log.WithField("version", c.Version).Warn("older configuration ignored")
		return
	}
	d.configuration = c
	d.hasConfiguration = true
}
