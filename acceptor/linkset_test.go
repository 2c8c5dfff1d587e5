package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/platform"
	"github.com/pomeloferry/pomeloferry/provider"
	"github.com/pomeloferry/pomeloferry/scheduler"
)

func TestRedialsComeOftenAtFirstAndSeldomInTheEnd(t *testing.T) {
	var total time.Duration
	const redials = 10
	for i := range redials {
		total += redialDelay(i)
	}
	// Machines that come back after an outage start within 300 ms of each other.
	require.LessOrEqual(t, total, 300*time.Millisecond)
	require.Equal(t, maxRedialDelay, redialDelay(100))
	require.Equal(t, maxRedialDelay, redialDelay(1_000_000))
}

// growingStore is a store whose watch returns one more agent with each call.
type growingStore struct{ calls int }

func (s *growingStore) List(context.Context, string) ([]platform.Item, int64, error) {
	return nil, 1, nil
}

func (s *growingStore) ReplaceWitnessList(context.Context, messenger.WitnessList, int64) error {
	return nil
}

func (s *growingStore) Watch(_ context.Context, _ string, revision int64, _ time.Duration) ([]platform.Item, int64, error) {
	s.calls++
	return []platform.Item{registrationItem(fmt.Sprintf("agent-%d", s.calls), "127.0.0.1:1")}, revision + 1, nil
}

// registrationItem returns the item by which an agent registers.
func registrationItem(agent, link string) platform.Item {
	value := fmt.Sprintf(`{"Agent":%q,"DataCentre":"dc","Link":%q}`, agent, link)
	return platform.Item{Key: platform.AgentPrefix + agent, Value: []byte(value)}
}

func TestAgentsThatRegisterTogetherDoNotCostTheStoreACallEach(t *testing.T) {
	store := &growingStore{}
	a := &Acceptor{deps: provider.NewDeps(io.Discard), cfg: Config{ID: "entry", DataCentre: "dc"}, store: store}
	s := newLinkSet(a)
	s.post = func(any) {}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for revision := int64(1); ctx.Err() == nil; {
		var err error
		revision, err = s.watchDirectory(ctx, revision)
		require.NoError(t, err)
	}
	// Hundreds of entries share a store that serves two thousand reads a second.
	require.LessOrEqual(t, store.calls, 5)
}

func TestFailedCallsToTheStoreAreSpacedByBackoff(t *testing.T) {
	var total time.Duration
	const failures = 10
	for i := range failures {
		total += storeBackoff(i + 1)
	}
	require.GreaterOrEqual(t, total, 5*time.Second)
	require.LessOrEqual(t, storeBackoff(1_000_000), maxStoreBackoff)
}

// newTestLinkSet returns a link set that posts to nobody.
func newTestLinkSet() *linkSet {
	s := newLinkSet(&Acceptor{deps: provider.NewDeps(io.Discard), cfg: Config{ID: "entry", DataCentre: "dc"}})
	s.post = func(any) {}
	return s
}

// TestRegistrationOfAnotherWriterClosesNoLink guards against an item under another key, or
// with another address, that costs an agent its link.
func TestRegistrationOfAnotherWriterClosesNoLink(t *testing.T) {
	tests := []struct {
		name string
		item platform.Item
		// want is the address that is dialled next.
		want string
	}{
		{"under another key", platform.Item{Key: platform.AgentPrefix + "odd", Value: registrationItem("agent", "127.0.0.1:9").Value}, "127.0.0.1:1"},
		{"with another address", registrationItem("agent", "127.0.0.1:9"), "127.0.0.1:9"},
		{"unreadable", platform.Item{Key: platform.AgentPrefix + "agent", Value: []byte("{")}, "127.0.0.1:1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestLinkSet()
			s.register(registrationItem("agent", "127.0.0.1:1"))
			closed := false
			s.agents["agent"].stopLink = func() { closed = true }
			s.register(tt.item)
			require.False(t, closed)
			require.Len(t, s.agents, 1)
			require.True(t, s.agents["agent"].registered)
			require.Equal(t, tt.want, s.linkAddr("agent"))
		})
	}
}

// TestInvalidRegistrationIsLoggedOnce guards against a log that one odd item fills.
func TestInvalidRegistrationIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	s := newTestLinkSet()
	s.acceptor.deps = provider.NewDeps(&out)
	for range 3 {
		s.register(platform.Item{Key: platform.AgentPrefix + "odd", Value: []byte("null"), Revision: 7})
	}
	require.Equal(t, 1, strings.Count(out.String(), "invalid registration ignored"))
}

// TestRegistrationOfNoAgentIsNoWitness guards against jobs that wait for an agent that does
// not exist, since another writer has registered it.
func TestRegistrationOfNoAgentIsNoWitness(t *testing.T) {
	s := newTestLinkSet()
	s.register(registrationItem("odd", "127.0.0.1:1"))
	for range maxDialFailures {
		s.recordDial("odd", false)
	}
	s.register(registrationItem("agent", "127.0.0.1:2"))
	require.Equal(t, []messenger.Witness{{Agent: "agent", Group: groupAgents(map[string]string{"agent": "dc"})["agent"]}}, chooseWitnesses(nil, s.candidates(nil), noneGone))
}

// TestAnOddListOfWitnessesIsReplaced guards against another writer's item in place of the
// list of witnesses, after which entries that start have none.
func TestAnOddListOfWitnessesIsReplaced(t *testing.T) {
	for _, value := range []string{"", "null", "[]", "{", `{"Version":1}`, `{"Version":99999999999999999,"Current":[{"Agent":"a"}]}`, `{"Version":1,"Current":[{"Agent":"a"},{"Agent":"a"}]}`, `{"Version":1,"Current":[{"Group":"dc"}]}`} {
		t.Run(value, func(t *testing.T) {
			var out bytes.Buffer
			s := newTestLinkSet()
			s.acceptor.deps = provider.NewDeps(&out)
			posted := 0
			s.post = func(any) { posted++ }
			s.directoryRead = true
			for range 2 {
				s.readWitnesses(platform.Item{Key: platform.WitnessesKey, Value: []byte(value), Revision: 7})
			}
			require.Zero(t, posted)
			require.Equal(t, 1, strings.Count(out.String(), "invalid"))
			list := messenger.WitnessList{Version: 3, Current: []messenger.Witness{{Agent: "agent"}}}
			var next messenger.WitnessList
			var revision int64
			require.Eventually(t, func() (ok bool) {
				next, revision, ok = s.proposeWitnesses(list, scheduler.WitnessChange{})
				return ok
			}, 2*proposalSpread, time.Millisecond)
			require.Equal(t, list, next)
			require.Equal(t, int64(7), revision)
		})
	}
}

// TestAListOfWitnessesThatNoEntryCanHaveWrittenIsReplaced guards against a list of another
// writer after which no entry can write the next version.
func TestAListOfWitnessesThatNoEntryCanHaveWrittenIsReplaced(t *testing.T) {
	known := messenger.WitnessList{Version: 3, Current: []messenger.Witness{{Agent: "agent"}}}
	for _, tt := range []struct {
		name  string
		known messenger.WitnessList
		value string
	}{
		{"a version far ahead", known, `{"Version":9007199254740991,"Current":[{"Agent":"a"},{"Agent":"b"},{"Agent":"c"}]}`},
		{"another list of the same version", known, `{"Version":3,"Current":[{"Agent":"a"}]}`},
		{"a version without room, before the first list", messenger.WitnessList{}, `{"Version":9007199254740991,"Current":[{"Agent":"a"}]}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestLinkSet()
			s.register(registrationItem("agent", "127.0.0.1:1"))
			s.directoryRead = true
			s.acceptor.witnessList.Store(&tt.known)
			s.readWitnesses(platform.Item{Key: platform.WitnessesKey, Value: []byte(tt.value), Revision: 7})
			var next messenger.WitnessList
			var revision int64
			require.Eventually(t, func() (ok bool) {
				next, revision, ok = s.proposeWitnesses(tt.known, scheduler.WitnessChange{})
				return ok
			}, firstListDelay+2*proposalSpread, time.Millisecond)
			require.Equal(t, max(tt.known.Version, 1), next.Version)
			require.Equal(t, []messenger.Witness{{Agent: "agent", Group: next.Current[0].Group}}, next.Current)
			require.Equal(t, int64(7), revision)
		})
	}
}
