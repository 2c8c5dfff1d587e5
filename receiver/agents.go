package receiver

import (
	"github.com/pomeloferry/pomeloferry/courier"
)

// agentLink is the state of a link on which an agent has sent a heartbeat.
type agentLink struct {
	name   string
	number uint64
	// bundleVersion is the version in force at the agent.
	bundleVersion uint64
}

func (c *entryActor) receiveFromAgent(a agentLink, msg any) {
	switch m := msg.(type) {
	case *courier.ClaimReply:
		c.dispatcher.HandleClaimReply(a.name, a.number, *m)
	case *courier.Forbidden:
		c.dispatcher.HandleForbidden(a.name, a.number, *m)
	case *courier.Finished:
		c.dispatcher.HandleFinished(a.name, a.number, *m)
	case *courier.Refuse:
		c.dispatcher.HandleRefuse(a.name, a.number, *m)
	case *courier.Offer:
		c.dispatcher.HandleOffer(a.name, a.number, *m)
	case *courier.Superseded:
		c.dispatcher.HandleSuperseded(*m)
	}
}

// handleAnnounce handles an agent's heartbeat and answers it. On a new link, the answer is
// sent before any other message, since it identifies this entry.
func (c *entryActor) handleAnnounce(l link, an courier.Announce) {
	known, ok := c.agentLinks[l]
	reply := c.announceReply(an)
	if !ok {
		reply.Terms = c.dispatcher.Terms()
	}
	l.Send(reply)
	c.agentLinks[l] = agentLink{name: an.Agent, number: an.LinkNumber, bundleVersion: an.BundleVersion}
	if ok {
		if known.number == an.LinkNumber {
			c.dispatcher.AgentHeartbeat(an)
		}
		return
	}
	if old := c.linkByAgent[an.Agent]; old != nil {
		delete(c.agentLinks, old)
		old.Close()
	}
	c.linkByAgent[an.Agent] = l
	c.dispatcher.AgentLinkUp(an)
}

func (c *entryActor) announceReply(an courier.Announce) courier.AnnounceReply {
	confirmed := c.confirmer.ConfirmedAt()
	bundle := c.confirmer.Bundle()
	reply := courier.AnnounceReply{
		Entry:         c.self,
		Entries:       c.tracker.AliveEntries(),
		Stamp:         an.Stamp,
		Fresh:         !confirmed.IsZero(),
		Age:           max(0, c.deps.Clock.Since(confirmed)),
		BundleVersion: bundle.Version,
	}
	if an.BundleVersion < bundle.Version {
		reply.Policy = &courier.AgentPolicy{
			BundleVersion:  bundle.Version,
			OutDataCentres: bundle.OutDataCentres(),
		}
	}
	return reply
}
