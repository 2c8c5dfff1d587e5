package executor

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomeloferry/pomeloferry/messenger"
)

// entry is what the agent knows of one entry.
type entry struct {
	name        string
	incarnation int64
	// heard is when the entry is last known to have been there.
	heard time.Time
	// echo is the entry's last stamp.
	echo time.Duration
	// seen is the number of the last Place.
	seen uint64
	// placedAt is when the last Place came.
	placedAt time.Time
	// open is whether a link is open.
	open bool
	// complete is whether the entry has had a list of all its runs on this link.
	complete bool
	// upstream is whether the entry has had what is known of the worker.
	upstream bool
	// changed is whether the entry has not heard of the present state, and
	// roomChanged whether that is of the room alone.
	changed     bool
	roomChanged bool
	toldAt      time.Time
	// told is the room that the entry was last told of.
	told messenger.Resources
	// toldBackfill is the same of the room for tasks that end soon.
	toldBackfill messenger.Resources
	// toldSpeed is the speed of the worker that the entry was last told of.
	toldSpeed speed
	// want is what waits there, and share the room that it has had in
	// proportion to that.
	want  messenger.Backlog
	share float64
	// wantsSince is since when tasks have waited there.
	wantsSince time.Time
	// offered is the stamp of the report that began its last turn, zero once it
	// has been answered, and reaction the mean time that it takes to answer.
	offered  time.Duration
	reaction time.Duration
	// lastHeartbeatAt is when the progress of runs was last told.
	beatAt   time.Time
	outcomes outcomes
	held     held
}

// Hello opens a link of an entry. Runs of an earlier incarnation are dropped,
// since their callers are gone.
func (x *Executor) Hello(h messenger.Hello) {
	now := x.clock.Now()
	x.dropSilent(now)
	e := x.entries[h.Entry]
	if e == nil {
		e = &entry{name: h.Entry}
		x.entries[h.Entry] = e
		x.order = append(x.order, e)
		slices.SortFunc(x.order, func(a, b *entry) int { return strings.Compare(a.name, b.name) })
	}
	if e.incarnation != h.Incarnation {
		x.disown(h.Entry)
		e.incarnation = h.Incarnation
		e.outcomes = outcomes{}
		e.held.restart()
	}
	if !x.owes(h.Entry) {
		// A Hello that was read late must not keep runs alive.
		e.heard = now
	}
	x.endReservationOf(e, "link of its entry replaced")
	e.seen = 0
	e.echo = 0
	e.open = true
	e.outcomes.told = 0
	e.complete = false
	e.upstream = false
	e.toldSpeed = speed{value: 1}
	e.held.told = false
	e.changed = true
	e.want = messenger.Backlog{}
	if x.upstream.Born == 0 && x.upstream.ID == "" && h.Upstream.Born != 0 {
		x.SetUpstream(h.Upstream)
	}
}

// Closed notes that the link of an entry has ended.
func (x *Executor) Closed(name string) {
	if e := x.entries[name]; e != nil {
		e.open = false
		x.endReservationOf(e, "link of its entry closed")
	}
}

// Beat notes an entry's heartbeat.
func (x *Executor) Beat(name string, b messenger.Heartbeat) {
	e := x.entries[name]
	if e == nil {
		return
	}
	if b.Timestamp-e.echo > 2*messenger.HeartbeatInterval {
		// The entry was paused and waits for an echo.
		e.changed = true
	}
	e.echo = b.Timestamp
	e.outcomes.heard(b.AckedOutcome)
	x.direct(name, b)
	x.wants(e, b.Backlog)
	x.holds(e, b.HeldJobs)
	x.contact(e, b.Echo)
	// The answer goes out while both sides are awake for this one.
	if now := x.clock.Now(); e.open && now.Sub(e.beatAt) >= beatEarly {
		x.tell(e, now, true)
	}
}

// contact notes that an entry was there when it had seen one of our stamps. The
// message may have been read late.
func (x *Executor) contact(e *entry, echo time.Duration) {
	if echo == 0 {
		return
	}
	said := x.began.Add(echo + echoCredit)
	if now := x.clock.Now(); said.After(now) {
		said = now
	}
	if said.After(e.heard) {
		e.heard = said
	}
}

// owes reports whether an entry has runs here.
func (x *Executor) owes(name string) bool {
	for _, r := range x.runs {
		if r.owner == name {
			return true
		}
	}
	return false
}

// disown drops the runs of an earlier incarnation of an entry. The next one may
// claim them.
func (x *Executor) disown(name string) {
	x.dropOwned(name)
	for _, r := range x.runs {
		if r.owner == name {
			r.owner = ""
		}
	}
}

// direct takes in the operators' directives, unless newer ones are known.
func (x *Executor) direct(name string, b messenger.Heartbeat) {
	if b.Revision < x.directives {
		return
	}
	evacuated := slices.Contains(b.Evacuated, x.identity.DataCentre)
	if evacuated != x.evacuated {
		x.emit(Note{Owner: name, What: "evacuation changed", Why: strconv.FormatBool(evacuated)})
	}
	x.directives = b.Revision
	x.evacuated = evacuated
	if evacuated {
		x.endReservation("data centre evacuated")
		x.refuseWaiting(messenger.RefusedEvacuated)
	}
}

// dropSilent drops the runs of entries that have been silent for too long, so
// that their callers may have the jobs run elsewhere.
func (x *Executor) dropSilent(now time.Time) {
	for _, e := range slices.Clone(x.order) {
		if now.Sub(e.heard) <= entryPatience {
			continue
		}
		x.dropOwned(e.name)
		x.endReservationOf(e, "its entry is silent")
		if !e.open && now.Sub(e.heard) > entryMemory {
			delete(x.entries, e.name)
			x.order = slices.DeleteFunc(x.order, func(o *entry) bool { return o == e })
		}
	}
	unclaimed := func(r *run) bool { return r.owner == "" && !r.dropped && now.After(r.expires) }
	for _, r := range x.runsThat(unclaimed) {
		x.abandon(r, now)
	}
}

func (x *Executor) dropOwned(owner string) {
	for _, r := range x.runsThat(func(r *run) bool { return r.owner == owner && !r.dropped }) {
		x.emit(Note{Run: r.Run, Owner: owner, What: "run dropped", Why: "entry silent or restarted"})
		x.abandon(r, x.clock.Now())
	}
}

// abandon drops a run that nobody waits for any more, and that has to end soon.
func (x *Executor) abandon(r *run, now time.Time) {
	x.drop(r)
	r.mustEnd = now.Add(stopPatience)
}

// changed marks that entries have not heard of the present state.
func (x *Executor) changed() {
	for _, e := range x.entries {
		e.changed = true
	}
}

// changeRoom marks that entries have not heard of the present room.
func (x *Executor) changeRoom() {
	for _, e := range x.entries {
		e.roomChanged = true
	}
}

// upstreamChanged marks that entries have not heard of the present worker.
func (x *Executor) upstreamChanged() {
	for _, e := range x.entries {
		e.upstream = false
	}
	x.changed()
}

// tellChanged reports to the entries that have something to hear.
func (x *Executor) tellChanged() {
	now := x.clock.Now()
	x.nextTurn(now)
	interval := roomInterval * time.Duration(x.inTouch())
	for _, e := range x.order {
		if e.open && x.due(e, interval, now) {
			x.tell(e, now, now.Sub(e.beatAt) >= beatEarly)
		}
	}
}

// due reports whether an entry has something to hear now. Interval is the least
// time between two reports of room.
func (x *Executor) due(e *entry, interval time.Duration, now time.Time) bool {
	since := now.Sub(e.toldAt)
	switch {
	case e.outcomes.waiting(), x.readyUnreported(e), x.turns.contended && x.offerChanged(e, now):
		return true
	case e.changed, e.roomChanged && e.want.Tasks > 0:
		return since >= interval
	case e.roomChanged && now.Sub(e.placedAt) < idleAfter:
		return since >= max(interval, calmInterval)
	}
	return false
}

// beat reports to the entries that have heard nothing for a while.
func (x *Executor) beat(now time.Time) {
	for _, e := range x.order {
		if e.open && now.Sub(e.beatAt) >= messenger.HeartbeatInterval {
			x.tell(e, now, true)
		}
	}
}

// tell sends one report, with the progress of runs in a heartbeat. Ends and
// refusals are kept for the next link when none is open.
func (x *Executor) tell(e *entry, now time.Time, beat bool) {
	r := messenger.Report{
		Agent:                 x.identity.Agent,
		DataCentre:            x.identity.DataCentre,
		Incarnation:           x.identity.Incarnation,
		Timestamp:             x.stamp(),
		Echo:                  e.echo,
		AckedPlace:            e.seen,
		Free:                  x.offer(e),
		UnansweredCalls:       x.look.unanswered,
		ConsecutiveFailedJobs: x.failures.jobs,
		ConnectedEntries:      x.inTouch(),
		Leaving:               x.leaving,
		ReservationNumber:     x.reservedFor(e),
		Backfill:              x.backfillFor(e, now),
	}
	r.Ended, r.Refused, r.LastOutcome = e.outcomes.tell()
	r.Pace, r.PaceJobs = x.paces.median(now)
	if e.want.WantsForecast {
		r.Forecast = x.ahead(now)
	}
	s := x.tellSpeed(e, now, beat)
	r.Speed, r.SpeedJobs = s.value, s.jobs
	if !e.upstream {
		up := x.usable()
		r.Upstream = &up
		e.upstream = true
	}
	if (beat || !e.complete) && !e.held.told {
		others := x.heldBeside(e)
		r.HeldJobs = &others
		e.held.told = true
	}
	// A list of runs is complete only after the worker has been seen.
	if !e.complete && x.settled {
		r.RunsComplete = true
		e.complete = true
		r.Ended = append(r.Ended, x.unclaimedEnds()...)
	}
	if beat || r.RunsComplete {
		e.beatAt = now
		r.Runs = x.runsFor(e, r.RunsComplete)
	}
	if r.RunsComplete {
		x.emit(Note{Owner: e.name, Worker: x.upstream.ID, What: "list of runs sent", Why: fmt.Sprintf("%d runs", len(r.Runs)), Age: x.clock.Since(x.look.openAt)})
	}
	e.changed = false
	e.roomChanged = false
	e.told = r.Free
	e.toldBackfill = r.Backfill.Resources
	e.toldAt = now
	x.emit(Tell{Entry: e.name, Report: r})
}

// inTouch counts the entries with an open link.
func (x *Executor) inTouch() int {
	n := 0
	for _, e := range x.order {
		if e.open {
			n++
		}
	}
	return n
}

// runsFor lists the runs of an entry, and those that it may claim in a complete
// list.
func (x *Executor) runsFor(e *entry, complete bool) []messenger.Progress {
	var out []messenger.Progress
	for _, r := range x.sorted() {
		if r.owner == e.name || (complete && r.owner == "") {
			out = append(out, x.progress(r))
		}
		out = append(out, r.joinedBy(e.name)...)
	}
	return out
}

// joinedBy lists the placements of an entry that get the outcome of a run.
func (r *run) joinedBy(name string) []messenger.Progress {
	var out []messenger.Progress
	for _, c := range r.joined {
		if c.entry == name {
			out = append(out, messenger.Progress{Run: c.run})
		}
	}
	return out
}

func (x *Executor) progress(r *run) messenger.Progress {
	return messenger.Progress{Run: r.Run, Percent: r.percent, Age: r.age}
}

// usable returns the worker as entries may use it.
func (x *Executor) usable() messenger.Upstream {
	if x.departed {
		return messenger.Upstream{ID: x.upstream.ID}
	}
	return x.upstream
}
