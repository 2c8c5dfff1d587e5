package acceptor

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/messenger"
	"github.com/pomeloferry/pomeloferry/provider"
)

// deaf takes no messages.
type deaf struct{}

func (deaf) Receive(*messenger.Link, any) {}
func (deaf) Closed(*messenger.Link)       {}

func newTestLink(t *testing.T) *messenger.Link {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = theirs.Close() })
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	l := messenger.NewLink(ours, deaf{})
	t.Cleanup(l.Close)
	return l
}

func TestLinkThatEndedBeforeItWasTakenInLeavesNoOldOneBehind(t *testing.T) {
	c := newCore(&Acceptor{deps: provider.NewDeps(io.Discard)})
	first, second := newTestLink(t), newTestLink(t)
	c.opened(linkOpened{agent: "a", link: first})
	require.Len(t, c.links, 1)
	second.Close()
	c.opened(linkOpened{agent: "a", link: second})
	require.Empty(t, c.links)
	require.True(t, first.Ended())
}
