package receiver

import (
	"github.com/pomeloferry/pomeloferry/courier"
)

// relayKey identifies a request that another entry has relayed.
type relayKey struct {
	link link
	id   uint64
}

func (c *entryActor) handleRelay(l link, m courier.Relay) {
	key := relayKey{link: l, id: m.ID}
	w := c.newWaiter(func(a courier.Answer) {
		delete(c.relays, key)
		l.Send(courier.RelayReply{ID: m.ID, Answer: a})
	})
	c.relays[key] = w
	c.dispatcher.Submit(newRequest(m.Submission, m.Resent, w))
}

func (c *entryActor) handleRelayLeave(key relayKey) {
	w, ok := c.relays[key]
	if !ok {
		return
	}
	delete(c.relays, key)
	delete(c.answerFuncs, w)
	c.dispatcher.CallerLeft(w)
}
