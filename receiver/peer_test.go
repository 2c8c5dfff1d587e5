package receiver

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/courier"
	"github.com/pomeloferry/pomeloferry/provider"
)

// TestPeersThatAreForgottenAreDropped checks that the address of an entry that is no
// longer known, such as a replaced one, is not dialled for ever.
func TestPeersThatAreForgottenAreDropped(t *testing.T) {
	const configured, learned = "127.0.0.1:1", "127.0.0.1:2"
	r := &Receiver{deps: provider.NewDeps(io.Discard), cfg: Config{Peers: []string{configured}}}
	s := newPeerSet(r)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.ctx = ctx
	s.add(configured, "")
	s.setEntries([]courier.EntryInfo{{ID: "entry-2", Link: learned}})
	require.Len(t, s.peers, 2)
	s.setEntries(nil)
	require.Len(t, s.peers, 1)
	require.Contains(t, s.peers, configured)
}
