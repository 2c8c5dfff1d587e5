package starter

import (
	"time"

	"github.com/pomeloferry/pomeloferry/courier"
)

// SetDemand sets how many tasks of an entry wait.
func (l *Ledger) SetDemand(entry string, d courier.Demand) {
	e := l.entries[entry]
	if e == nil {
		return
	}
	now := l.clock.Now()
	e.demand = demand{waiting: d.Waiting, dueAt: now.Add(-d.Age), expiresAt: now.Add(DemandTTL)}
	l.offerFree()
}

// Decline ends an offer that its entry does not use, and offers the slot to the next
// demand.
func (l *Ledger) Decline(entry string, d courier.Decline) {
	slot, ok := l.takeOffer(entry, d.Offer)
	if !ok {
		return
	}
	l.slots.release(slot)
	if e := l.entries[entry]; e != nil {
		e.demand.waiting = 0
	}
	l.offerFree()
}

// takeOffer ends the offer if it was made to entry, and returns its slot, which stays
// in use.
func (l *Ledger) takeOffer(entry string, id uint64) (int, bool) {
	o, ok := l.offers[id]
	if !ok || o.entry != entry {
		return 0, false
	}
	delete(l.offers, id)
	return o.slot, true
}

// endOffer ends an offer and frees its slot.
func (l *Ledger) endOffer(id uint64) {
	l.slots.release(l.offers[id].slot)
	delete(l.offers, id)
}

// offerFree offers free slots to the entries whose tasks have waited longest.
func (l *Ledger) offerFree() {
	for l.availableSlots() > 0 {
		entry := l.longestWaiting()
		if entry == "" {
			return
		}
		id := l.createOffer(entry)
		l.send(entry, courier.Offer{Offer: id, Load: l.load(entry)})
	}
}

// piggybackOffer creates an offer for entry if its tasks have waited longest, so that
// the offer can be sent with another message. It returns 0 otherwise.
func (l *Ledger) piggybackOffer(entry string) uint64 {
	if l.availableSlots() <= 0 || l.longestWaiting() != entry || entry == "" {
		return 0
	}
	return l.createOffer(entry)
}

// createOffer reserves a free slot for entry and returns the number of the offer.
func (l *Ledger) createOffer(entry string) uint64 {
	l.lastOffer++
	slot := l.slots.take(l.preferredSlots(entry), l.upstream.Slots)
	l.offers[l.lastOffer] = offer{entry: entry, slot: slot, expiresAt: l.clock.Now().Add(OfferTTL)}
	l.entries[entry].demand.waiting--
	return l.lastOffer
}

// longestWaiting returns the entry with the oldest demand that has not expired, or "".
func (l *Ledger) longestWaiting() string {
	now := l.clock.Now()
	var best string
	var dueAt time.Time
	for id, e := range l.entries {
		d := e.demand
		if d.waiting <= 0 || !d.expiresAt.After(now) {
			continue
		}
		if best == "" || d.dueAt.Before(dueAt) || (d.dueAt.Equal(dueAt) && id < best) {
			best, dueAt = id, d.dueAt
		}
	}
	return best
}
