package receiver

import (
	"encoding/json"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/confirmer"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/starter"
)

// handleBundleRead handles a read of the bundle and the voters from the store.
func (c *entryActor) handleBundleRead(m bundleRead) {
	old := c.confirmer.Bundle().Version
	c.confirmer.HandleStoreRead(m.beganAt, m.signed, m.bundle, m.voters)
	c.applyBundle(old, "store")
}

// applyBundle logs the bundle in force if it is newer than version old, and passes it to
// the dispatcher.
func (c *entryActor) applyBundle(old uint64, source string) {
	if b := c.confirmer.Bundle(); b.Version != old {
		c.deps.BundleVersion.Store(b.Version)
		c.deps.Log.WithField("bundle_version", b.Version).WithField("source", source).Info("bundle in force")
	}
	c.refreshBundle()
}

func (c *entryActor) refreshBundle() {
	c.dispatcher.SetBundle(c.confirmer.Bundle(), c.confirmer.ConfirmedAt().Add(starter.FreshnessLimit))
}

// adoptFromPeer adopts a newer bundle and a newer list of voters from a heartbeat. It
// verifies the bundle's signature, since peers are not trusted to have done so.
func (c *entryActor) adoptFromPeer(h courier.PeerHello) {
	var voters confirmer.Voters
	if len(h.Voters) > 0 && json.Unmarshal(h.Voters, &voters) == nil {
		c.confirmer.AdoptVoters(voters)
	}
	if len(h.Bundle) == 0 {
		return
	}
	var signed approver.SignedBundle
	err := json.Unmarshal(h.Bundle, &signed)
	if err == nil {
		var b approver.Bundle
		if b, err = c.cfg.Trust.Verify(signed); err == nil {
			c.confirmer.Adopt(signed, b)
		}
	}
	if err != nil {
		c.deps.Log.WithError(err).WithField("from", h.Entry.ID).Error("bundle rejected")
	}
}

// registration returns the registration of this entry.
func (c *entryActor) registration() Registration {
	reg := Registration{
		Entry:         c.self,
		Incarnation:   c.incarnation,
		DataCentre:    c.cfg.DataCentre,
		BundleVersion: c.confirmer.Bundle().Version,
		VotersVersion: c.confirmer.Voters().Version,
		Agents:        len(c.agentLinks),
		SeenAt:        c.deps.Clock.Now(),
	}
	for _, a := range c.agentLinks {
		if a.bundleVersion == reg.BundleVersion {
			reg.AgentsInForce++
		}
	}
	return reg
}
