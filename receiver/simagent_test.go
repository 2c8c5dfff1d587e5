package receiver

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/starter"
)

// simAgent is a simulated agent: a real ledger with simulated connections and a simulated
// upstream.
type simAgent struct {
	sim         *simulation
	proc        *process
	ledger      *starter.Ledger
	id          starter.Identity
	slots       int
	links       map[*simConnEnd]*simLink
	linkByEntry map[string]*simLink
	number      uint64
	// upstreamDead makes running tasks end as lost; failAll makes every task fail.
	upstreamDead bool
	failAll      bool
	// leftAt is when the upstream announced that it leaves.
	leftAt time.Time
}

// simLink is an agent's connection to an entry.
type simLink struct {
	target *simEntry
	end    *simConnEnd
	number uint64
	entry  string
}

func (sim *simulation) addAgent(name string, generation int, dataCentre string, slots int) *simAgent {
	id := starter.Identity{
		Agent: name, Incarnation: fmt.Sprintf("%s-%d", name, generation), DataCentre: dataCentre, Rack: "rack-1",
	}
	a := &simAgent{
		sim: sim, proc: &process{name: name}, id: id, slots: slots,
		ledger:      starter.NewLedger(sim.clock, id),
		links:       make(map[*simConnEnd]*simLink),
		linkByEntry: make(map[string]*simLink),
	}
	a.ledger.SetUpstream(starter.Upstream{Address: "upstream", Slots: slots, Services: []string{"quote"}})
	sim.agents = append(sim.agents, a)
	sim.every(a.proc, TickInterval, func() { a.ledger.Tick(); a.applyEffects() })
	sim.every(a.proc, 100*time.Millisecond, a.dialEntries)
	sim.every(a.proc, 500*time.Millisecond, a.announceAll)
	return a
}

// restart kills the agent and starts its next incarnation.
func (a *simAgent) restart(generation int) *simAgent {
	a.sim.kill(a.proc)
	return a.sim.addAgent(a.id.Agent, generation, a.id.DataCentre, a.slots)
}

func (a *simAgent) dialEntries() {
	for _, e := range a.sim.entries {
		if a.linkTo(e) != nil {
			continue
		}
		near, far := a.sim.dial(a.proc, e.proc)
		if near == nil {
			continue
		}
		a.number++
		l := &simLink{target: e, end: near, number: a.number}
		a.links[near] = l
		near.receive = func(msg any) { a.receive(l, msg); a.applyEffects() }
		near.onClose = func() { a.closed(l); a.applyEffects() }
		e.accept(far)
		a.announce(l)
	}
}

func (a *simAgent) linkTo(e *simEntry) *simLink {
	for _, l := range a.links {
		if l.target == e {
			return l
		}
	}
	return nil
}

func (a *simAgent) announceAll() {
	for _, e := range a.sim.entries {
		if l := a.linkTo(e); l != nil {
			a.announce(l)
		}
	}
}

func (a *simAgent) announce(l *simLink) {
	msg := a.ledger.Announce(l.entry)
	msg.LinkNumber = l.number
	for id := range a.linkByEntry {
		msg.Acked = append(msg.Acked, id)
	}
	slices.Sort(msg.Acked)
	l.end.Send(msg)
}

func (a *simAgent) closed(l *simLink) {
	delete(a.links, l.end)
	if a.linkByEntry[l.entry] == l {
		delete(a.linkByEntry, l.entry)
		a.ledger.LinkDown(l.entry, l.number)
	}
}

func (a *simAgent) receive(l *simLink, msg any) {
	if r, ok := msg.(*courier.AnnounceReply); ok {
		if l.entry == "" {
			l.entry = r.Entry.ID
			a.linkByEntry[l.entry] = l
			a.ledger.LinkUp(l.entry, l.number)
			a.ledger.HandleAnnounceReply(*r)
			a.announceAll()
			return
		}
		a.ledger.HandleAnnounceReply(*r)
		return
	}
	if a.linkByEntry[l.entry] != l {
		return
	}
	switch m := msg.(type) {
	case *courier.Claim:
		a.ledger.Claim(l.entry, *m)
	case *courier.Forbid:
		a.ledger.Forbid(l.entry, *m)
	case *courier.Start:
		a.ledger.Start(l.entry, *m)
	case *courier.Acked:
		a.ledger.Acknowledge(*m)
	case *courier.Demand:
		a.ledger.SetDemand(l.entry, *m)
	case *courier.Decline:
		a.ledger.Decline(l.entry, *m)
	case *courier.Stop:
		a.ledger.Stop(*m)
	}
}

func (a *simAgent) applyEffects() {
	for _, e := range a.ledger.TakeEffects() {
		switch e := e.(type) {
		case starter.Send:
			if l := a.linkByEntry[e.To]; l != nil {
				l.end.Send(e.Msg)
			}
		case starter.Run:
			a.run(e.Task)
		}
	}
}

// run simulates the upstream: it records the start and ends the task after its run time.
func (a *simAgent) run(t courier.StartTask) {
	sim := a.sim
	sim.starts[t.Task]++
	sim.startLog = append(sim.startLog, startEvent{at: sim.clock.Now(), task: t.Task, agent: a})
	if sim.starts[t.Task] > 1 {
		sim.violation("%v: started more than once, now on %s", t.Task, a.id.Incarnation)
	}
	a.checkStart(t)
	sim.onStep("run", a.proc, a.proc)
	var p struct{ Millis int }
	_ = json.Unmarshal(t.Payload, &p)
	rec := courier.Record{Task: t.Task, Digest: t.Digest, Outcome: courier.Succeeded, Result: json.RawMessage(resultOf(t.Task))}
	if a.failAll {
		rec.Outcome = courier.Errored
		rec.Result = json.RawMessage(`"failed"`)
	}
	sim.after(time.Duration(p.Millis)*time.Millisecond, func() {
		if a.upstreamDead {
			rec.Outcome = courier.Lost
			rec.Result = nil
		}
		a.proc.exec(func() { a.ledger.Finish(rec); a.applyEffects() })
	})
}

// resultOf returns the result of a task, which differs between tasks.
func resultOf(id courier.TaskID) string { return fmt.Sprintf("%q", fmt.Sprint(id)) }

// checkStart records a violation if a task starts too late after its upstream has announced
// that it leaves, or after its data centre has been taken out.
func (a *simAgent) checkStart(t courier.StartTask) {
	const limit = 4 * time.Second
	sim := a.sim
	now := sim.clock.Now()
	if !a.leftAt.IsZero() && now.Sub(a.leftAt) > limit {
		sim.violation("%v: started on %s after it left", t.Task, a.id.Agent)
	}
	at, ok := sim.store.acceptedAt[sim.store.bundle.Version]
	if !ok || now.Sub(at) <= limit {
		return
	}
	for _, d := range sim.store.bundle.DataCentres {
		if d.Name == a.id.DataCentre && d.State == approver.Out {
			sim.violation("%v: started in %s, which had been taken out", t.Task, d.Name)
		}
	}
}

// announceLeaving makes the upstream announce that it leaves.
func (a *simAgent) announceLeaving() {
	a.leftAt = a.sim.clock.Now()
	a.ledger.SetUpstream(starter.Upstream{Slots: a.slots, Services: []string{"quote"}, Leaving: true})
}

// announceStaying makes the upstream announce that it stays.
func (a *simAgent) announceStaying() {
	a.leftAt = time.Time{}
	a.ledger.SetUpstream(starter.Upstream{Slots: a.slots, Services: []string{"quote"}})
}
