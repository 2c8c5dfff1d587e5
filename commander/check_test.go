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

// changed writes a copy of a file with old replaced by new, and returns its path.
func changed(t *testing.T, path, old, new string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(raw), old)
	out := filepath.Join(t.TempDir(), filepath.Base(path))
	require.NoError(t, os.WriteFile(out, []byte(strings.Replace(string(raw), old, new, 1)), 0o600))
	return out
}

// check runs the command and returns its exit status and what it printed.
func check(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = commander.Main(append([]string{"check"}, args...), &o, &e)
	return status, o.String(), e.String()
}

// Guards against a script that sends a file because a check that found
// something, or could not be done, looked like one that was clean.
func TestCheckExitStatus(t *testing.T) {
	faulty := changed(t, exampleBundle, `"EjectPercent": 30`, `"EjectPercent": 300`)
	second := changed(t, exampleBundle, `"Version": 1`, `"Version": 2`)
	odd := filepath.Join(t.TempDir(), "odd.json")
	require.NoError(t, os.WriteFile(odd, []byte(`{"Seed": 1}`), 0o600))
	big := filepath.Join(t.TempDir(), "big.json")
	require.NoError(t, os.WriteFile(big, bytes.Repeat([]byte(" "), 9<<20), 0o600))
	closed := httptest.NewServer(http.NotFoundHandler())
	nobody := closed.Listener.Addr().String()
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
		{"difference", []string{"--against", exampleBundle, second}, 1, "-Version = 1\n+Version = 2\n", ""},
		{"no such file", []string{"nowhere.json"}, 2, "", "nowhere.json: no such file"},
		{"directory", []string{"../examples"}, 2, "", "is a directory"},
		{"file of another form", []string{odd}, 2, "", "odd.json: found none of the top-level keys"},
		{"file too large", []string{big}, 2, "", "big.json: found more than"},
		{"no such file in force", []string{"--against", "nowhere.json", exampleBundle}, 2, "", "nowhere.json: no such file"},
		{"no such settings", []string{"--settings", "nowhere.json", exampleBundle}, 2, "", "nowhere.json: no such file"},
		{"entry not reached", []string{"--entry", nobody, "--settings", exampleSettings, exampleBundle}, 2, "", nobody},
		{"entry without settings", []string{"--entry", nobody, exampleBundle}, 2, "", "--settings is needed"},
		{"both versions in force", []string{"--entry", nobody, "--against", exampleBundle, exampleBundle}, 2, "", "--against"},
		{"no file", nil, 2, "", "<file>"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errs := check(tt.args...)
			require.Equal(t, tt.status, status, errs)
			require.Contains(t, out, tt.out)
			require.Contains(t, errs, tt.errs)
			if tt.status < 2 {
				require.Empty(t, errs)
			}
		})
	}
}

// Guards against JSON that scripts cannot read back, also when nothing is found.
func TestCheckJSON(t *testing.T) {
	status, out, _ := check("--json", exampleBundle)
	require.Zero(t, status)
	require.JSONEq(t, fmt.Sprintf(`{"File": %q, "Form": "Bundle", "Findings": []}`, exampleBundle), out)

	second := changed(t, exampleBundle, `"Version": 1`, `"Version": 2`)
	status, out, _ = check("--json", "--against", exampleBundle, second)
	require.Equal(t, 1, status)
	var r checker.Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Findings, 1)
	require.Equal(t, checker.Changed, r.Findings[0].Kind)
	require.Equal(t, "Version", r.Findings[0].Change.Path)
	require.Equal(t, "1", *r.Findings[0].Change.Was)
	require.Equal(t, "2", *r.Findings[0].Change.Is)
}

// published writes the example bundle to a store, and returns settings of it.
func published(t *testing.T) string {
	t.Helper()
	clock := clockwork.NewRealClock()
	store := httptest.NewServer(storer.NewStore(clock))
	t.Cleanup(store.Close)
	path := changed(t, exampleSettings, "http://127.0.0.1:23000", store.URL)
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

// Guards against differences from another version than the one that the entry
// has in force, and against a check that passes although the entry or the store
// could not tell.
func TestCheckAgainstEntry(t *testing.T) {
	settings := published(t)
	second := changed(t, exampleBundle, `"Version": 1`, `"Version": 2`)
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
			status, out, errs := check("--entry", entry.Listener.Addr().String(), "--settings", settings, second)
			require.Equal(t, tt.status, status, errs)
			require.Contains(t, out, tt.out)
			require.Contains(t, errs, tt.errs)
		})
	}
}
