package provider_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/provider"
)

func TestLogLinesNameTheBundle(t *testing.T) {
	var out bytes.Buffer
	deps := provider.NewDeps(&out)
	deps.BundleVersion.Store(7)
	deps.WithField("entry", "entry-1").Log.Info("started")
	require.Contains(t, out.String(), `"bundle_version":7`)
	out.Reset()
	deps.Log.WithField("bundle_version", 6).Info("answered")
	require.Contains(t, out.String(), `"bundle_version":6`)
}
