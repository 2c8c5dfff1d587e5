package acceptor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomeloferry/pomeloferry/evacuator"
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
	lastError string
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
	beganAt := d.acceptor.deps.Clock.Now()
	items, revision, err := d.read(ctx)
	if err != nil {
		return err
	}
	if d.revision == 0 {
		d.evacuated = make(map[string]bool)
	}
	d.revision = revision
	configuration := d.apply(items)
	evacuations := evacuator.NewView(revision, slices.Collect(maps.Keys(d.evacuated)), beganAt)
	if d.acceptor.putInForce(configuration, evacuations, evacuator.FromStore) {
		d.acceptor.post(configurationChanged{})
	}
	return nil
}

// read lists the directives, or waits for changes of those that were listed before. It
// returns the revision as of which they are known.
func (d *directives) read(ctx context.Context) ([]platform.Item, int64, error) {
	store := d.acceptor.store
	if d.revision == 0 {
		return store.List(ctx, platform.OperatorPrefix)
	}
	return store.Watch(ctx, platform.OperatorPrefix, d.revision, directiveWatchTimeout)
}

// apply applies items to evacuated, and returns the configuration among them, or nil if
// there is none.
func (d *directives) apply(items []platform.Item) *scheduler.Configuration {
	var configuration *scheduler.Configuration
	for _, item := range items {
		directive, err := platform.ParseDirective(item)
		switch {
		case err != nil:
			d.acceptor.deps.Log.WithError(err).WithField("key", item.Key).Warn("invalid directive ignored")
		case directive.Configuration != nil:
			configuration = directive.Configuration
		case directive.DataCentre != "" && directive.EndEvacuation:
			delete(d.evacuated, directive.DataCentre)
		case directive.DataCentre != "":
			d.evacuated[directive.DataCentre] = true
		}
	}
	return configuration
}
