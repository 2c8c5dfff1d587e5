package acceptor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

// The witnesses, which keep the locks of jobs, are the same for all entries: those of the
// list in the store. There are few of them, since each entry keeps a link to each. Which
// of them an entry can reach itself changes nothing, but that it may propose another list.

const (
	// minWitnessGroups is the minimum number of groups that the witnesses are divided
	// into. Each data centre is a group, or several if there are too few.
	minWitnessGroups = 3
	// witnessesPerGroup is the number of witnesses in a group.
	witnessesPerGroup = 2
	// firstListDelay is how long an entry waits for more agents to register before it
	// proposes the first list.
	firstListDelay = 400 * time.Millisecond
	// departedWitnessTimeout is after which time without a registration a witness that
	// cannot be reached is replaced, and silentWitnessTimeout after which time one that
	// is registered. Most restarts and cuts are shorter.
	departedWitnessTimeout = 1500 * time.Millisecond
	silentWitnessTimeout   = 8 * time.Second
	// goneForGoodTimeout is after which time a departed witness need not confirm a change.
	goneForGoodTimeout = 3 * time.Second
	// proposalSpread is the time over which entries spread their proposals, so that most
	// of them see that of another one first.
	proposalSpread = 300 * time.Millisecond
	// firstProposalSpread is the same for the first list, for which jobs wait.
	firstProposalSpread = 100 * time.Millisecond
)

// witnessKeeper decides when the list of witnesses has to be changed, and how.
type witnessKeeper struct {
	clock clockwork.Clock
	// jitter returns a random duration below a limit.
	jitter func(limit time.Duration) time.Duration
	// knownSince is when an agent was first known, and version the version in force,
	// which has been known since versionSince.
	knownSince   time.Time
	version      uint64
	versionSince time.Time
	// silentSince has, for each witness that is registered, since when it could not be
	// reached, and departedSince since when one is neither registered nor reached.
	silentSince, departedSince map[string]time.Time
	// proposeAt is when a change that was found necessary is proposed; zero if none is.
	proposeAt time.Time
}

func newWitnessKeeper(clock clockwork.Clock, jitter func(time.Duration) time.Duration) *witnessKeeper {
	return &witnessKeeper{clock: clock, jitter: jitter, silentSince: make(map[string]time.Time), departedSince: make(map[string]time.Time)}
}

// propose returns the list that is to replace the one in force now, if any. stored is the
// version of the list in the store, and change the progress of the present change.
func (k *witnessKeeper) propose(list messenger.WitnessList, stored uint64, candidates []candidate, change scheduler.WitnessChange) (messenger.WitnessList, bool) {
	now := k.clock.Now()
	k.observe(list, candidates, now)
	next, needed := k.next(list, stored, candidates, change, now)
	switch {
	case !needed:
		k.proposeAt = time.Time{}
		return messenger.WitnessList{}, false
	case k.proposeAt.IsZero():
		k.proposeAt = now.Add(k.jitter(k.spread(list)))
	}
	if now.Before(k.proposeAt) {
		return messenger.WitnessList{}, false
	}
	k.proposeAt = time.Time{}
	return next, true
}

// spread returns the time over which proposals are spread.
func (k *witnessKeeper) spread(list messenger.WitnessList) time.Duration {
	if list.Version == 0 {
		return firstProposalSpread
	}
	return proposalSpread
}

// observe records which witnesses can be reached and are registered.
func (k *witnessKeeper) observe(list messenger.WitnessList, candidates []candidate, now time.Time) {
	if list.Version != k.version {
		k.version = list.Version
		k.versionSince = now
	}
	if k.knownSince.IsZero() && len(candidates) > 0 {
		k.knownSince = now
	}
	reachable, registered := make(map[string]bool), make(map[string]bool)
	for _, c := range candidates {
		reachable[c.agent] = c.reachable
		registered[c.agent] = c.registered
	}
	agents := list.Agents()
	isNoWitness := func(agent string, _ time.Time) bool { return !slices.Contains(agents, agent) }
	maps.DeleteFunc(k.silentSince, isNoWitness)
	maps.DeleteFunc(k.departedSince, isNoWitness)
	for _, agent := range agents {
		since(k.silentSince, agent, !reachable[agent] && registered[agent], now)
		since(k.departedSince, agent, !reachable[agent] && !registered[agent], now)
	}
}

// since keeps in m since when something has been so for a name.
func since(m map[string]time.Time, name string, isSo bool, now time.Time) {
	if !isSo {
		delete(m, name)
		return
	}
	if _, ok := m[name]; !ok {
		m[name] = now
	}
}

// gone reports whether a witness is to be replaced.
func (k *witnessKeeper) gone(agent string, now time.Time) bool {
	silentSince, silent := k.silentSince[agent]
	return k.departed(agent, departedWitnessTimeout, now) || silent && now.Sub(silentSince) >= silentWitnessTimeout
}

// departed reports whether a witness has been gone, by the store and by this entry, for a
// time.
func (k *witnessKeeper) departed(agent string, d time.Duration, now time.Time) bool {
	since, departed := k.departedSince[agent]
	return departed && now.Sub(since) >= d
}

// settled reports whether the previous witnesses are needed no more: by the progress of the
// change, or since those that have not confirmed it are gone for good.
func (k *witnessKeeper) settled(change scheduler.WitnessChange, now time.Time) bool {
	if change.Settled {
		return true
	}
	left := slices.ContainsFunc(change.Unconfirmed, func(agent string) bool { return !k.departed(agent, goneForGoodTimeout, now) })
	return len(change.Unconfirmed) > 0 && !left && now.Sub(k.versionSince) >= messenger.LockTTL
}

// next returns the list that has to follow the one in force, if any.
func (k *witnessKeeper) next(list messenger.WitnessList, stored uint64, candidates []candidate, change scheduler.WitnessChange, now time.Time) (messenger.WitnessList, bool) {
	switch {
	case stored > list.Version:
		return messenger.WitnessList{}, false // It is about to be adopted.
	case stored < list.Version:
		return list, true // The store has lost it, or another writer has replaced it.
	case list.Version > 0 && 2*len(k.silentSince) >= len(list.Agents()):
		return messenger.WitnessList{}, false // This entry is rather cut off itself.
	case len(list.Previous) > 0:
		return list.WithoutPrevious(), k.settled(change, now)
	}
	gone := func(agent string) bool { return k.gone(agent, now) }
	current := chooseWitnesses(list.Current, candidates, gone)
	if list.Version == 0 {
		complete := len(current) >= minWitnessGroups*witnessesPerGroup
		return messenger.WitnessList{Version: 1, Current: current}, complete || len(current) > 0 && now.Sub(k.knownSince) >= firstListDelay
	}
	return list.WithCurrent(current), len(current) > 0 && !sameWitnesses(current, list.Current)
}

// sameWitnesses reports whether two lists have the same witnesses, in any order.
func sameWitnesses(a, b []messenger.Witness) bool {
	byName := func(x, y messenger.Witness) int {
		return cmp.Or(cmp.Compare(x.Group, y.Group), cmp.Compare(x.Agent, y.Agent))
	}
	return slices.Equal(slices.SortedFunc(slices.Values(a), byName), slices.SortedFunc(slices.Values(b), byName))
}

// chooseWitnesses returns the witnesses of the next list: those that are witnesses already,
// unless they are gone, and in each group that lacks some the first of the agents that are
// registered and can be reached, in an order that all entries share. Those that are about to
// leave come last, so that they are replaced while they can still confirm it.
func chooseWitnesses(current []messenger.Witness, candidates []candidate, gone func(agent string) bool) []messenger.Witness {
	eligible, leaving := make(map[string]string), make(map[string]bool)
	for _, c := range candidates {
		if c.reachable && c.registered {
			eligible[c.agent] = c.dataCentre
			leaving[c.agent] = c.leaving
		}
	}
	isWitness := make(map[string]bool)
	for _, w := range current {
		if !gone(w.Agent) {
			isWitness[w.Agent] = true
			if _, ok := eligible[w.Agent]; !ok {
				eligible[w.Agent] = dataCentreOf(w, candidates)
			}
		}
	}
	groups := make(map[string][]string)
	for agent, group := range groupAgents(eligible) {
		groups[group] = append(groups[group], agent)
	}
	var out []messenger.Witness
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		agents := groups[group]
		slices.SortFunc(agents, func(a, b string) int {
			return cmp.Or(
				compareBools(leaving[a], leaving[b]),
				compareBools(isWitness[b], isWitness[a]),
				cmp.Compare(witnessRank(a), witnessRank(b)),
				cmp.Compare(a, b),
			)
		})
		for _, agent := range agents[:min(len(agents), witnessesPerGroup)] {
			out = append(out, messenger.Witness{Agent: agent, Group: group})
		}
	}
	return out[:min(len(out), messenger.MaxWitnesses)]
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// dataCentreOf returns the data centre of a witness, as far as known.
func dataCentreOf(w messenger.Witness, candidates []candidate) string {
	if i := slices.IndexFunc(candidates, func(c candidate) bool { return c.agent == w.Agent }); i >= 0 {
		return candidates[i].dataCentre
	}
	return w.Group
}

// groupAgents returns the group of each agent, by the data centres of all.
func groupAgents(dataCentres map[string]string) map[string]string {
	different := make(map[string]bool)
	for _, dc := range dataCentres {
		different[dc] = true
	}
	out := make(map[string]string, len(dataCentres))
	for agent, dc := range dataCentres {
		out[agent] = dc
		if len(different) < minWitnessGroups {
			out[agent] = fmt.Sprintf("%s/%d", dc, xxhash.Sum64String(agent)%minWitnessGroups)
		}
	}
	return out
}

// witnessRank returns the position of an agent in the order in which all entries choose
// witnesses.
func witnessRank(agent string) uint64 { return xxhash.Sum64String("witness/" + agent) }
