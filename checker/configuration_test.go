package checker_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/checker"
	"github.com/pomeloferry/pomeloferry/platform"
)

type route struct {
	Name    string  `json:"name"`
	Host    string  `json:"host"`
	Prefix  string  `json:"prefix"`
	Stretch float64 `json:"stretch"`
}

// Guards against a queue that is reported as covered although requests reach it, and
// against one that is not reported although none does. The reference is the lookup of
// queues that the entries use.
func TestCoveredQueuesAreThoseThatNoRequestReaches(t *testing.T) {
	prefixes := []string{"", "/", "/q", "/q/", "/q/long/", "q/"}
	rapid.Check(t, func(t *rapid.T) {
		var routes []route
		for i := range rapid.IntRange(1, 8).Draw(t, "routes") {
			routes = append(routes, route{
				Name:    fmt.Sprint("r", i),
				Host:    rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "host"),
				Prefix:  rapid.SampledFrom(prefixes).Draw(t, "prefix"),
				Stretch: 1.6,
			})
		}
		raw, err := json.Marshal(map[string]any{"version": 1, "routes": routes})
		require.NoError(t, err)
		c, err := platform.ParseConfiguration(raw)
		require.NoError(t, err)
		reachable := make(map[string]bool)
		for _, host := range []string{"a", "b"} {
			for _, prefix := range prefixes {
				path := "/" + strings.TrimPrefix(prefix, "/")
				for _, rest := range []string{"", "0", "x/0"} {
					if q, _, ok := c.Find(host, path+rest); ok {
						reachable[q.Name] = true
					}
				}
			}
		}
		r, err := checker.Check(checker.File{Name: "c.json", Raw: raw}, checker.Options{})
		require.NoError(t, err)
		reported := make(map[string]bool)
		for _, f := range r.Findings {
			require.Equal(t, checker.Unmatched, f.Kind, f)
			reported[f.Key[:strings.IndexByte(f.Key, '.')]] = true
		}
		for i, rt := range routes {
			require.NotEqual(t, reachable[rt.Name], reported[fmt.Sprintf("routes[%d]", i)], "%s in %s: %v", rt.Name, raw, r.Findings)
		}
	})
}

// Guards against findings for a valid configuration, and against findings under the
// wrong key.
func TestConfigurationFindings(t *testing.T) {
	const valid = `{"version": 1, "routes": [{"host": "h", "prefix": "/", "target_latency_ms": 60, "timeout_ms": 1500, "stretch": 1.6}]}`
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"valid", "", "", nil},
		{"stretch just below one", "1.6", "0.9999999999999999", nil},
		{"text after the value", "]}", "]} more", []string{"c.json:1: Fault: text after the end of the JSON value is refused or not read"}},
		{"heads that no entry accepts", `"routes"`, `"limits": {"max_header_bytes": 1048577}, "routes"`, []string{
			"c.json:1: Contradiction: limits.max_header_bytes: entries refuse heads of more than 1048576 bytes",
		}},
		{"objective below the estimate", "1.6", "0.5", []string{
			"c.json:1: Contradiction: routes[0].stretch: a job whose longest chain is estimated at more than 120ms has an objective below that estimate",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := []byte(strings.Replace(valid, tt.old, tt.new, 1))
			r, err := checker.Check(checker.File{Name: "c.json", Raw: raw}, checker.Options{})
			require.NoError(t, err)
			var got []string
			for _, f := range r.Findings {
				got = append(got, f.String())
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a limit of bodies that the entries of the deployment have no memory for.
func TestBodyLimitIsComparedWithTheMemoryOfTheMachine(t *testing.T) {
	const configuration = `{"version": 1, "routes": [], "limits": {"max_body_bytes": 4194304}}`
	for _, tt := range []struct {
		name   string
		memory int
		want   string
	}{
		{"enough", 284, ""},
		{"too little", 64, "c.json:1: Contradiction: limits.max_body_bytes: an entry of limits.memory_mb=64 has room for a body of "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := fmt.Sprintf("node_name=n\nip=127.0.0.1\nzone=z\nplatform.address=127.0.0.1:1\ninternal_ports=1,2\nlimits.memory_mb=%d\n", tt.memory)
			r, err := checker.Check(checker.File{Name: "c.json", Raw: []byte(configuration)}, checker.Options{
				Deployment: &checker.File{Name: "machine.conf", Raw: []byte(settings)},
			})
			require.NoError(t, err)
			if tt.want == "" {
				require.Empty(t, r.Findings)
				return
			}
			require.Len(t, r.Findings, 1)
			require.True(t, strings.HasPrefix(r.Findings[0].String(), tt.want), r.Findings[0])
		})
	}
}
