package commander_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/checker"
	"github.com/pomeloferry/pomeloferry/commander"
	"github.com/pomeloferry/pomeloferry/configurer"
	"github.com/pomeloferry/pomeloferry/keeper"
	"github.com/pomeloferry/pomeloferry/publisher"
	"github.com/pomeloferry/pomeloferry/storer"
)

const (
	exampleBundle   = "../examples/marktblick-bundle.json"
	exampleSettings = "../examples/marktblick.json"
)

// writeChangedCopy writes a copy of a file in which old is replaced by new, and returns
// its path.
func writeChangedCopy(t *testing.T, path, old, new string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(raw), old)
	out := filepath.Join(t.TempDir(), filepath.Base(path))
	require.NoError(t, os.WriteFile(out, []byte(strings.Replace(string(raw), old, new, 1)), 0o600))
	return out
}

// runCheck runs the check command and returns its exit status and output.
func runCheck(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = commander.Main(append([]string{"check"}, args...), &o, &e)
	return status, o.String(), e.String()
}

// Guards against exit statuses by which a script takes a check with findings, or one
// that could not be performed, for a clean one and deploys the file.
func TestCheckExitStatus(t *testing.T) {
	faulty := writeChangedCopy(t, exampleBundle, `"EjectPercent": 30`, `"EjectPercent": 300`)
	nextVersion := writeChangedCopy(t, exampleBundle, `"Version": 1`, `"Version": 2`)
	unknownForm := filepath.Join(t.TempDir(), "odd.json")
	require.NoError(t, os.WriteFile(unknownForm, []byte(`{"Seed": 1}`), 0o600))
	oversized := filepath.Join(t.TempDir(), "big.json")
	require.NoError(t, os.WriteFile(oversized, bytes.Repeat([]byte(" "), 9<<20), 0o600))
	closed := httptest.NewServer(http.NotFoundHandler())
	closedAddr := closed.Listener.Addr().String()
	closed.Close()
	tests := []struct {
		name   string
		args   []string
		status int
		// out and errs are parts of standard output and standard error.
		out, errs string
	}{
		{"clean bundle", []string{exampleBundle}, 0, "Bundle: clean", ""},
		{"clean settings", []string{exampleSettings}, 0, "Settings: clean", ""},
		{"clean against the settings", []string{"--settings", exampleSettings, exampleBundle}, 0, "clean", ""},
		{"same as in force", []string{"--against", exampleBundle, exampleBundle}, 0, "clean", ""},
		{"fault", []string{faulty}, 1, faulty + ":44: Fault: Limits.EjectPercent: found 300, allowed 0 to 100", ""},
		{"difference", []string{"--against", exampleBundle, nextVersion}, 1, "-Version = 1\n+Version = 2\n", ""},
		{"no such file", []string{"nowhere.json"}, 2, "", "nowhere.json: no such file"},
		{"directory", []string{"../examples"}, 2, "", "is a directory"},
		{"file of another form", []string{unknownForm}, 2, "", "odd.json: found none of the top-level keys"},
		{"file too large", []string{oversized}, 2, "", "big.json: found more than"},
		{"no such file in force", []string{"--against", "nowhere.json", exampleBundle}, 2, "", "nowhere.json: no such file"},
		{"no such settings", []string{"--settings", "nowhere.json", exampleBundle}, 2, "", "nowhere.json: no such file"},
		{"entry not reached", []string{"--entry", closedAddr, "--settings", exampleSettings, exampleBundle}, 2, "", closedAddr},
		{"entry without settings", []string{"--entry", closedAddr, exampleBundle}, 2, "", "--settings is needed"},
		{"both versions in force", []string{"--entry", closedAddr, "--against", exampleBundle, exampleBundle}, 2, "", "--against"},
		{"no file", nil, 2, "", "<file>"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errs := runCheck(tt.args...)
			require.Equal(t, tt.status, status, errs)
			require.Contains(t, out, tt.out)
			require.Contains(t, errs, tt.errs)
			if tt.status < 2 {
				require.Empty(t, errs)
			}
		})
	}
}

// Guards against JSON output that scripts cannot decode, also if there are no findings.
func TestCheckJSON(t *testing.T) {
	status, out, _ := runCheck("--json", exampleBundle)
	require.Zero(t, status)
	require.JSONEq(t, fmt.Sprintf(`{"File": %q, "Form": "Bundle", "Findings": []}`, exampleBundle), out)

	nextVersion := writeChangedCopy(t, exampleBundle, `"Version": 1`, `"Version": 2`)
	status, out, _ = runCheck("--json", "--against", exampleBundle, nextVersion)
	require.Equal(t, 1, status)
	var r checker.Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Findings, 1)
	require.Equal(t, checker.Changed, r.Findings[0].Kind)
	require.Equal(t, "Version", r.Findings[0].Change.Path)
	require.Equal(t, "1", *r.Findings[0].Change.Was)
	require.Equal(t, "2", *r.Findings[0].Change.Is)
}

// publishExample publishes the example bundle in a store and returns the path of
// settings with its address.
func publishExample(t *testing.T) string {
	t.Helper()
	clock := clockwork.NewRealClock()
	store := httptest.NewServer(storer.NewStore(clock))
	t.Cleanup(store.Close)
	path := writeChangedCopy(t, exampleSettings, "http://127.0.0.1:23000", store.URL)
	settings, err := configurer.Load(path)
	require.NoError(t, err)
	raw, err := os.ReadFile(exampleBundle)
	require.NoError(t, err)
	b, err := approver.Parse(raw)
	require.NoError(t, err)
	text, err := os.ReadFile("../examples/example-approver.key")
	require.NoError(t, err)
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	s, err := approver.Sign(b, "example-approver", ed25519.NewKeyFromSeed(seed))
	require.NoError(t, err)
	require.NoError(t, publisher.NewPublisher(clock, keeper.NewClient(store.URL), settings.Trust).Publish(t.Context(), s))
	return path
}

// Guards against differences from a version other than the one in force at the entry,
// and against a check that succeeds although the version could not be read from the
// entry or the store.
func TestCheckAgainstEntry(t *testing.T) {
	settings := publishExample(t)
	nextVersion := writeChangedCopy(t, exampleBundle, `"Version": 1`, `"Version": 2`)
	tests := []struct {
		name      string
		code      int
		dump      string
		status    int
		out, errs string
	}{
		{"version 1 in force", http.StatusOK, `{"BundleVersion": 1, "Owner": {"Jobs": 3}}`, 1, "--- version 1 at ", ""},
		{"no bundle in force", http.StatusOK, `{"BundleVersion": 0}`, 2, "", "no bundle is in force"},
		{"version that the store does not have", http.StatusOK, `{"BundleVersion": 9}`, 2, "", "no version 9 was published"},
		{"no dump", http.StatusOK, `[]`, 2, "", "dump"},
		{"refused", http.StatusServiceUnavailable, `{}`, 2, "", "503"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(tt.code)
				fmt.Fprint(w, tt.dump)
			}))
			defer entry.Close()
			status, out, errs := runCheck("--entry", entry.Listener.Addr().String(), "--settings", settings, nextVersion)
			require.Equal(t, tt.status, status, errs)
			require.Contains(t, out, tt.out)
			require.Contains(t, errs, tt.errs)
		})
	}
}
