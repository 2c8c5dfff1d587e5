package acceptor

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/evacuator"
	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// inForce holds the directives that the entry follows. The evacuations come from the store
// and from agents, which may know newer ones while the entry is cut off from it.
type inForce struct {
	mu sync.Mutex
	// configuration is the newest one in the store, without the evacuations; nil before the
	// first one.
	configuration *scheduler.Configuration
	evacuations   evacuator.View
}

// evacuations returns what the entry knows of the evacuations.
func (a *Acceptor) evacuations() evacuator.View {
	a.inForce.mu.Lock()
	defer a.inForce.mu.Unlock()
	return a.inForce.evacuations
}

// putInForce puts a configuration into force, unless it is nil or older than the present one, and
// evacuations, unless newer ones are known. It reports whether that changed the entry's
// configuration. source names who has told the directives.
func (a *Acceptor) putInForce(c *scheduler.Configuration, v evacuator.View, source string) bool {
	f := &a.inForce
	f.mu.Lock()
	defer f.mu.Unlock()
	log := a.deps.Log
	if c != nil && f.configuration != nil && c.Version < f.configuration.Version {
		log.WithField("version", c.Version).Warn("older configuration ignored")
		c = nil
	}
	if c != nil {
		f.configuration = c
	}
	merged := f.evacuations.Merge(v)
	changed := c != nil || !merged.SameDataCentres(f.evacuations)
	f.evacuations = merged
	if !changed || f.configuration == nil {
		return false
	}
	next := f.configuration.WithEvacuated(merged.Set(), merged.Revision).WithFarFactor(a.cfg.FarFactor)
	a.configuration.Store(&next)
	a.deps.BundleVersion.Store(next.Version)
	log.WithFields(logrus.Fields{
		"version":   next.Version,
		"queues":    len(next.Queues),
		"evacuated": len(next.Evacuated),
		"revision":  next.Revision,
		"told_by":   source,
	}).Info("configuration in force")
	return true
}

// configure makes the scheduler follow the configuration in force.
func (c *entryActor) configure() {
	if configuration, ok := c.acceptor.Configuration(); ok {
		c.scheduler.Configure(configuration)
	}
}

// receiveEvacuations processes what an agent tells of the evacuations in a report.
func (c *entryActor) receiveEvacuations(agent string, r *messenger.Report) {
	if r.Evacuations == nil {
		return
	}
	told := evacuator.Received(*r.Evacuations, c.links[agent].openedAt, r.Echo, c.acceptor.deps.Clock.Now())
	if c.acceptor.putInForce(nil, told, agent) {
		c.configure()
	}
}
