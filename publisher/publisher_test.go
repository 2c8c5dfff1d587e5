package publisher_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/publisher"
	"github.com/pomeloferry/pomeloferry/storer"
)

// fixture is a store with a publisher and a key that signs bundles.
type fixture struct {
	store     *storer.Store
	publisher *publisher.Publisher
	key       ed25519.PrivateKey
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := clockwork.NewRealClock()
	store := storer.NewStore(clock)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	public, private, err := ed25519.GenerateKey(strings.NewReader(strings.Repeat("seed", 16)))
	require.NoError(t, err)
	trust := approver.ApproverKeys{"berta": base64.StdEncoding.EncodeToString(public)}
	return &fixture{
		store:     store,
		publisher: publisher.NewPublisher(clock, keeper.NewClient(server.URL), trust),
		key:       private,
	}
}

func (f *fixture) sign(t *testing.T, version uint64, author string) approver.SignedBundle {
	t.Helper()
	s, err := approver.Sign(approver.Bundle{
		Version:     version,
		Author:      author,
		Services:    []approver.Service{{Name: "quote", TaskLimit: 10, DeadlineLimitMillis: 1000, ExpectedRunMillis: 300}},
		DataCentres: []approver.DataCentre{{Name: "wien", State: approver.In}},
		Teams:       []approver.Team{{Name: "team", TaskLimit: 10}},
		Limits:      approver.Limits{WaitingTaskLimit: 10},
	}, "berta", f.key)
	require.NoError(t, err)
	return s
}

func requireVersionConflict(t *testing.T, err error, want string) {
	t.Helper()
	var e *publisher.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, publisher.VersionConflict, e.Kind)
	require.ErrorContains(t, err, want)
}

func TestPublishIsSettledWhenAnswersAreLost(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.store.SetFault(storer.Fault{LoseAnswers: true})
	require.NoError(t, f.publisher.Publish(ctx, f.sign(t, 1, "anna")))
	_, writes := f.store.Calls()
	require.Equal(t, 1, writes, "the write was repeated")
	f.store.SetFault(storer.Fault{})
	_, got, err := f.publisher.Current(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(1), got.Version)
}

func TestPublishTwiceIsOnce(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	s := f.sign(t, 1, "anna")
	require.NoError(t, f.publisher.Publish(ctx, s))
	require.NoError(t, f.publisher.Publish(ctx, s))
	list, err := f.publisher.History(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1)
}

func TestPublishOfARacerNamesTheWinner(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	require.NoError(t, f.publisher.Publish(ctx, f.sign(t, 1, "anna")))
	requireVersionConflict(t, f.publisher.Publish(ctx, f.sign(t, 1, "carl")), "version 1 by anna, approved by berta")
}

func TestPublishSkipsNoVersion(t *testing.T) {
	f := newFixture(t)
	requireVersionConflict(t, f.publisher.Publish(context.Background(), f.sign(t, 3, "anna")), "version 0")
}

func TestExactlyOneOfManyRacersWins(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	const publishers = 8
	errs := make([]error, publishers)
	var wg sync.WaitGroup
	for i := range publishers {
		s := f.sign(t, 1, fmt.Sprintf("racer-%d", i))
		wg.Go(func() { errs[i] = f.publisher.Publish(ctx, s) })
	}
	wg.Wait()
	_, won, err := f.publisher.Current(ctx)
	require.NoError(t, err)
	for i, err := range errs {
		if author := fmt.Sprintf("racer-%d", i); author == won.Author {
			require.NoError(t, err, author)
			continue
		}
		requireVersionConflict(t, err, "version 1 by "+won.Author)
	}
}

func TestPublishRefusesAlteredBundles(t *testing.T) {
	f := newFixture(t)
	s := f.sign(t, 1, "anna")
	s.Bundle = []byte(strings.Replace(string(s.Bundle), "wien", "graz", 1))
	require.ErrorContains(t, f.publisher.Publish(context.Background(), s), "does not match")
	_, writes := f.store.Calls()
	require.Zero(t, writes)
}
