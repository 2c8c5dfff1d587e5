package commander_test

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/commander"
)

// writeSettings writes a settings file in which an entry listens at addr and returns
// its path.
func writeSettings(t *testing.T, addr string) string {
	t.Helper()
	text := strings.ReplaceAll(`{
  "Store": "http://127.0.0.1:1",
  "Entries": [{"ID": "entry-1", "DataCentre": "wien", "Listen": "ADDR", "Link": "127.0.0.1:2"}]
}`, "ADDR", addr)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestFailedStartsReportTheCause(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	inUse := writeSettings(t, taken.Addr().String())
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"address in use", []string{"entry", "--settings", inUse, "--id", "entry-1"}, []string{inUse, "entry-1", "Listen", taken.Addr().String()}},
		{"no such entry", []string{"entry", "--settings", inUse, "--id", "entry-9"}, []string{inUse, "entry-9"}},
		{"no such file", []string{"entry", "--settings", "nowhere.json", "--id", "entry-1"}, []string{"nowhere.json"}},
		{"bad address", []string{"settings", "check", writeSettings(t, "here")}, []string{"Entries[0].Listen", `"here"`, "an IP number and a port"}},
		{"unknown command", []string{"fly"}, []string{"fly"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			require.NotZero(t, commander.Main(tt.args, &out, &errs))
			for _, want := range tt.want {
				require.Contains(t, errs.String(), want)
			}
		})
	}
}
